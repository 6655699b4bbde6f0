package ownership

import (
	"time"

	"github.com/micahaven/micahaven/internal/clock"
	"github.com/micahaven/micahaven/internal/holder"
	"github.com/micahaven/micahaven/internal/identity"
	"github.com/micahaven/micahaven/internal/wire"
)

// Phase is what the leader is doing with a slice.
type Phase int

// The phases of a slice. A planned move passes Serving, Holding, Revoking,
// Assigning, Granting and back to Serving; a lost server's slice goes from
// wherever it was to Assigning once the server's session has lapsed.
const (
	// Vacant slices have no owner.
	Vacant Phase = iota
	// Assigning slices wait for a change of owner to be committed.
	Assigning
	// Granting slices have an owner that has not confirmed the grant.
	Granting
	// Serving slices are granted: requests may be sent to the owner.
	Serving
	// Holding slices wait for their running requests to end before a move.
	Holding
	// Revoking slices wait for their owner to give them up.
	Revoking
	// Recovering slices were assigned in an earlier generation, whose last
	// changes may be lost: any server may hold them until its session lapses.
	Recovering
)

// String names the phase for status pages.
func (p Phase) String() string {
	return [...]string{"vacant", "assigning", "granting", "serving", "holding", "revoking", "recovering"}[p]
}

// settleCalls is how many call timeouts a plan waits for the first answer of a
// server, so that the first server to answer is not given everything.
const settleCalls = 2

// Options configures a manager.
type Options struct {
	Group string
	// SessionTTL is the length of a server's session.
	SessionTTL time.Duration
	// RenewInterval is the pause between renewals of one session.
	RenewInterval time.Duration
	// CallTimeout is when an unanswered call counts as failed.
	CallTimeout time.Duration
	// RetryInterval is the pause before a failed call is tried again.
	RetryInterval time.Duration
	// HoldTimeout bounds how long a move waits for running requests.
	HoldTimeout time.Duration
	// MovesPerServer bounds the slices that leave one server at a time.
	MovesPerServer int
	// Tolerance is the imbalance accepted before slices are moved.
	Tolerance float64
	// RebalanceInterval is the pause between plans made for load alone.
	RebalanceInterval time.Duration
}

// Effects is what the manager wants done after a step.
type Effects struct {
	Calls []Call
	// Assign, if not nil, is to be proposed to the group.
	Assign *wire.AssignSlices
	// Changed lists slices whose route has changed.
	Changed []uint32
}

type sliceControl struct {
	phase Phase
	// target is the owner wanted by the latest plan.
	target identity.ServerID
	// session is the server session that confirmed the grant.
	session   uint64
	heldSince time.Duration
}

// Route tells the dispatcher where requests of a slice go.
type Route struct {
	Server  identity.ServerID
	Address string
	Fence   *wire.Fence
	// Serving is false while requests must wait.
	Serving bool
}

// Manager is the leader's part of the ownership protocol. It is not safe for
// concurrent use.
type Manager struct {
	options  Options
	state    *State
	leading  bool
	sessions map[identity.ServerID]*session
	slices   []sliceControl
	loads    []float64

	// recoveredAt is when no session of an earlier leader can be valid any more.
	recoveredAt     time.Duration
	seenAssigned    uint64
	proposalPending bool
	planDue         bool
	nextRebalance   time.Duration
	changed         []uint32
}

// NewManager returns a manager that does nothing until Lead is called.
func NewManager(options Options, state *State) *Manager {
	return &Manager{
		options:  options,
		state:    state,
		sessions: make(map[identity.ServerID]*session),
	}
}

// Lead starts work as the leader. Any server may still act under a session that
// an earlier leader renewed with a challenge received before its lease ended,
// which was before now; so each may act for one session from now.
func (m *Manager) Lead(now time.Duration) {
	m.leading = true
	m.recoveredAt = now + clock.Stretch(m.options.SessionTTL)
	m.proposalPending = false
	m.planDue = true
	m.slices = make([]sliceControl, m.state.SliceCount())
	m.loads = make([]float64, m.state.SliceCount())
	m.seenAssigned = m.state.Assigned()
	earlier := m.sessions
	m.sessions = make(map[identity.ServerID]*session)
	for id, known := range earlier {
		if known.inTable {
			m.sessions[id] = &session{spec: known.spec, inTable: true}
		}
	}
	for slice := range m.slices {
		owner := m.owner(uint32(slice))
		if owner == "" {
			continue
		}
		m.slices[slice] = sliceControl{phase: Granting, target: owner}
		if m.state.Assignment(uint32(slice)).GetFence().GetGeneration() != m.state.generation {
			m.slices[slice].phase = Recovering
		}
		if m.sessions[owner] == nil {
			m.sessions[owner] = &session{spec: ServerSpec{ID: owner}}
		}
	}
	for _, known := range m.sessions {
		known.actsUntil = now + clock.Stretch(m.options.SessionTTL)
		known.settleUntil = now + settleCalls*m.options.CallTimeout
	}
}

// Resign stops all work as the leader.
func (m *Manager) Resign() {
	m.leading = false
	m.changed = nil
}

// IsLeading reports whether Lead was called last.
func (m *Manager) IsLeading() bool { return m.leading }

// SetServers replaces the servers that the table and the machine list name.
func (m *Manager) SetServers(now time.Duration, specs []ServerSpec) {
	for _, known := range m.sessions {
		known.inTable = false
	}
	for _, spec := range specs {
		known := m.sessions[spec.ID]
		if known == nil {
			known = &session{settleUntil: now + settleCalls*m.options.CallTimeout}
			m.sessions[spec.ID] = known
		}
		known.spec = spec
		known.inTable = true
	}
	m.planDue = true
}

// SetTolerance changes the imbalance accepted before slices are moved.
func (m *Manager) SetTolerance(tolerance float64) {
	if m.options.Tolerance != tolerance {
		m.options.Tolerance = tolerance
		m.planDue = true
	}
}

// SetLoads gives the measured load of each slice, used from the next plan on.
func (m *Manager) SetLoads(loads []float64) {
	if len(loads) == len(m.loads) {
		m.loads = loads
	}
}

// Answered handles the reply to a call.
func (m *Manager) Answered(now time.Duration, server identity.ServerID, sequence uint64, reply *holder.Reply) {
	known := m.sessions[server]
	if known == nil || known.sequence != sequence || !m.leading {
		return
	}
	known.endCall(now, m.options.RenewInterval)
	known.hasReplied = true
	known.lastReplyAt = now
	if known.instance != reply.Instance {
		known.changeInstance(reply.Instance)
		m.dropConfirmations(server, 0)
		m.planDue = true
	}
	// The challenge was received now; the reply to the latest call is the only
	// one taken, so it is also the newest.
	known.challenge = reply.Challenge
	known.challengeReceivedAt = now
	if known.server != reply.Session {
		m.dropConfirmations(server, reply.Session)
		known.server = reply.Session
		m.planDue = true
	}
	if reply.Session == 0 {
		known.urgent = true
	}
	m.confirmGrants(server, reply)
	m.confirmRevokes(server, reply)
}

// Failed handles a call that got no answer. Nothing is concluded from it but
// that it has to be tried again.
func (m *Manager) Failed(now time.Duration, server identity.ServerID, sequence uint64) {
	known := m.sessions[server]
	if known == nil || known.sequence != sequence {
		return
	}
	known.endCall(now, m.options.RetryInterval)
}

// SliceIdle tells that no request of a slice runs any more. It reports whether
// that lets a move go on, so that Step has something to do.
func (m *Manager) SliceIdle(slice uint32) bool {
	if !m.leading || int(slice) >= len(m.slices) || m.slices[slice].phase != Holding {
		return false
	}
	m.startRevoking(slice)
	return true
}

// AssignFailed tells that the last proposal will not be committed.
func (m *Manager) AssignFailed() { m.proposalPending = false }

// Route returns where requests of a slice go.
func (m *Manager) Route(slice uint32) Route {
	assignment := m.state.Assignment(slice)
	owner := identity.ServerID(assignment.GetServer())
	route := Route{Server: owner, Fence: assignment.GetFence()}
	if known := m.sessions[owner]; known != nil {
		route.Address = known.spec.Address
	}
	if m.leading && int(slice) < len(m.slices) {
		route.Serving = m.slices[slice].phase == Serving
	}
	return route
}

// PhaseOf returns the phase of a slice, for status pages and checks.
func (m *Manager) PhaseOf(slice uint32) Phase {
	if int(slice) >= len(m.slices) {
		return Vacant
	}
	return m.slices[slice].phase
}

// IsLive reports whether a server holds a session that has not lapsed.
func (m *Manager) IsLive(now time.Duration, server identity.ServerID) bool {
	known := m.sessions[server]
	return known != nil && known.isLive(now)
}

// Step lets time pass and returns what has to be done. It must be called after
// every call that changes something, after an assignment was applied, and from
// time to time. Its cost grows with the number of slices.
func (m *Manager) Step(now time.Duration) Effects {
	if !m.leading {
		return Effects{}
	}
	m.takeCommitted()
	m.expireSessions(now)
	m.plan(now)
	m.startMoves(now)
	effects := Effects{Assign: m.proposal()}
	effects.Calls = m.calls(now)
	effects.Changed = m.changed
	m.changed = nil
	return effects
}

// takeCommitted moves slices whose new owner is committed on to Granting.
func (m *Manager) takeCommitted() {
	if m.seenAssigned == m.state.Assigned() {
		return
	}
	m.seenAssigned = m.state.Assigned()
	m.proposalPending = false
	for slice := range m.slices {
		control := &m.slices[slice]
		if control.phase != Assigning || m.owner(uint32(slice)) == "" {
			continue
		}
		control.phase = Granting
		control.session = 0
		m.markUrgent(m.owner(uint32(slice)))
		m.markChanged(uint32(slice))
	}
}

// expireSessions notices servers whose session has surely lapsed. Their grants
// are void, so their slices may be given to others.
func (m *Manager) expireSessions(now time.Duration) {
	for id, known := range m.sessions {
		if known.mayAct(now) {
			continue
		}
		if known.server != 0 {
			known.server = 0
			m.dropConfirmations(id, 0)
			m.planDue = true
		}
		known.hasReplied = known.hasReplied && now < known.lastReplyAt+m.options.SessionTTL
		if !known.inTable && !m.ownsAny(id) {
			delete(m.sessions, id)
		}
	}
	for slice := range m.slices {
		control := &m.slices[slice]
		if control.phase == Vacant || control.phase == Assigning {
			continue
		}
		if control.phase == Recovering && now < m.recoveredAt {
			continue
		}
		if control.phase != Recovering && !m.ownerHasLapsed(now, uint32(slice)) {
			continue
		}
		control.phase = Vacant
		m.planDue = true
		m.markChanged(uint32(slice))
	}
}

// ownerHasLapsed reports whether the process that owns a slice surely cannot
// act any more and will not answer as that process again.
func (m *Manager) ownerHasLapsed(now time.Duration, slice uint32) bool {
	owner := m.sessions[m.owner(slice)]
	if owner == nil {
		return true
	}
	isEarlier := owner.instance != 0 && owner.instance != m.state.Assignment(slice).GetInstance()
	if isEarlier {
		return now >= owner.earlierUntil
	}
	return !owner.mayAct(now) && !owner.hasReplied
}

func (m *Manager) owner(slice uint32) identity.ServerID {
	return identity.ServerID(m.state.Assignment(slice).GetServer())
}

// isOwnedBy reports whether a slice is assigned to this instance of its owner.
func (m *Manager) isOwnedBy(slice uint32, instance uint64) bool {
	return m.state.Assignment(slice).GetInstance() == instance
}

func (m *Manager) ownsAny(server identity.ServerID) bool {
	for slice := range m.slices {
		if m.owner(uint32(slice)) == server && m.slices[slice].phase != Vacant {
			return true
		}
	}
	return false
}

func (m *Manager) markUrgent(server identity.ServerID) {
	if known := m.sessions[server]; known != nil {
		known.urgent = true
	}
}

func (m *Manager) markChanged(slice uint32) {
	m.changed = append(m.changed, slice)
}
