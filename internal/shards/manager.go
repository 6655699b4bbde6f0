package shards

import (
	"cmp"
	"slices"
	"time"

	"github.com/micahaven/micahaven/internal/discovery"
)

// fenceEpochShift leaves the lower 20 bits of a fence, about a million values, for the sequence
// number within one epoch.
const fenceEpochShift = 20

// maxRaisedFences leaves half of an epoch's fences for changes of owners.
const maxRaisedFences = 1 << (fenceEpochShift - 1)

// maxIssuedFences is the number of fences from which a manager should be succeeded. It leaves room for
// what is issued until then.
const maxIssuedFences = 15 << (fenceEpochShift - 4)

// EpochOf returns the epoch of the manager that issued a fence.
func EpochOf(fence uint64) uint64 { return fence >> fenceEpochShift }

// Manager assigns the keys of one service to servers. It is not safe for concurrent use; one
// goroutine must drive it.
//
// Invariant (single owner): only the owner that the committed map names holds a key, under a
// fence of the map's author or a lower one.
//
// The invariant holds because a manager grants a range only to the owner that the committed map
// names, and only if every map whose commit may have succeeded without the manager's knowledge
// names the same owner. The fence is that of the map, or a later one of the same manager if the
// range was released and then restored to its owner, or if a grant got no answer. A manager commits
// a different owner only after the previous one has acknowledged a release under a higher fence
// (from then on it rejects delayed grants), another server has answered a release at its address,
// or it can no longer hold the range by any grant that was ever sent. Commits are conditional on
// the manager's lock and on the map that it last read, so of two managers only one can change
// owners.
//
// Commands address a server by its address and instance id, which a restarted server keeps. The
// restarted server knows no fences and accepts renewals of grants made to its earlier incarnation.
// The registration of a later incarnation is therefore no evidence that nobody holds the range,
// and a release is sent only while no grant of the range is in flight.
//
// A manager sends no command before it has committed a map of its own epoch. The author of the
// map that a manager finds is therefore the last manager that sent commands, and all earlier
// managers have stopped except the pending ones that the map lists.
//
// A map that was read from a restored store may lack changes of owners. A manager that
// continues from such a map fences off all servers first (see fencing).
//
// The first map of a manager keeps the owner of each range but assigns a fence of its own. Once
// the owner has accepted that fence, it rejects commands of earlier managers, so that it no
// longer matters whether they have stopped. Until then the range is inherited.
type Manager struct {
	service string
	epoch   uint64
	author  Author
	// sequence counts the maps that this manager has written.
	sequence uint64
	// fencing is nil once the map is known to name the only possible owners.
	fencing *fencing
	// continued is true while the manager renews grants made before the store was restored.
	continued bool
	// incomplete is true until the map is verified if servers that this manager does not know may hold keys.
	incomplete bool
	// frozen is true if the manager only renews existing grants.
	frozen bool
	// installed is true once a map of this epoch is committed.
	installed bool
	resigned  bool
	// inheritedUntil is when the last lease granted by any earlier manager can end, and
	// lastAuthorUntil is the same for the author of the previous map alone. pendingAuthors are
	// the earlier managers that may still send commands.
	inheritedUntil  time.Duration
	lastAuthorUntil time.Duration
	pendingAuthors  []Author
	// fromUnverified is true if the map that this manager continues from is unverified, so that
	// records of unanswered grants may be missing from it.
	fromUnverified bool
	// lastAuthor is the author of the map that this manager continues from.
	lastAuthor Author
	// inheritedWriteAt is when to write a map that records which ranges are no longer
	// inherited; 0 if the stored map is up to date in this respect.
	inheritedWriteAt time.Duration
	options          Options
	// fenceSequence is the sequence number of the last fence that this manager issued.
	fenceSequence uint64

	shards  []*shard
	servers map[discovery.ServerID]Server
	// acceptingServers caches the servers that may be given keys, sorted by ID; nil if it has to be
	// recomputed.
	acceptingServers []Server
	// addresses caches the addresses of the known incarnations by instance id; nil if it has to be
	// recomputed.
	addresses map[string][]string
	// ownerNumbers are the numbers of the owners in the last map.
	ownerNumbers map[discovery.ServerID]uint32

	// uncommitted is true while the map differs from the one in the store, and commitInFlight
	// while a map is being written.
	uncommitted    bool
	commitInFlight bool
	storeHealthy   bool

	// load is the long window, whose load is balanced. mediumWindow and shortWindow show recent
	// increases in load.
	load         *LoadWindow
	mediumWindow *LoadWindow
	shortWindow  *LoadWindow
	balancing    balancingState
	// vacated are the ranges vacated since the last tick.
	vacated []Vacancy
	// reaches records for each known server whether commands reach it. unconfirmed has those that may
	// not be given keys until they answer, and reachChanges the changes since the last tick.
	reaches, unconfirmed map[discovery.ServerID]*reach
	reachChanges         []ReachChange
}

// NewManager returns a manager that continues from the map of an earlier one, or starts without
// a map if previous is nil.
func NewManager(service string, epoch uint64, author Author, previous *Map, options Options, now time.Duration) *Manager {
	m := &Manager{
		service:      service,
		epoch:        epoch,
		author:       author,
		sequence:     1,
		options:      options,
		servers:      make(map[discovery.ServerID]Server),
		reaches:      make(map[discovery.ServerID]*reach),
		unconfirmed:  make(map[discovery.ServerID]*reach),
		storeHealthy: true,
		load:         NewLoadWindow(longWindowLength),
		mediumWindow: NewLoadWindow(mediumWindowLength),
		shortWindow:  NewLoadWindow(shortWindowLength),
		balancing:    balancingState{heavyMovedAt: make(map[uint32]time.Duration)},
	}
	if previous == nil {
		m.installed = true
		return m
	}
	m.installed = len(previous.Ranges) == 0
	m.uncommitted = !m.installed
	m.pendingAuthors = authorsPendingAfter(previous)
	m.lastAuthor = previous.Author
	m.inheritedUntil = now + options.PredecessorRenewal + options.MaxCommandDelay + m.maxLease()
	m.lastAuthorUntil = m.inheritedUntil
	for _, r := range previous.Ranges {
		s := &shard{Range: r, phase: owned, renewAt: now, anyEarlierGrant: r.Inherited || previous.Unverified}
		if r.Owner == "" {
			s.phase = vacant
		} else {
			s.Fence = m.nextFence()
			s.Inherited = true
		}
		if r.Late {
			s.leaseUntil = now + options.MaxCommandDelay + m.maxLease()
		}
		m.shards = append(m.shards, s)
	}
	if previous.Unverified {
		m.fromUnverified = true
		m.recordUnknownGrants(now)
		wait := registrationGrace
		if previous.Incomplete {
			m.incomplete, wait = true, max(wait, m.maxLease())
		}
		m.fencing = newFencing(m.nextFence(), now+wait)
	}
	if previous.Unverified && previous.Continued {
		m.resumeRenewals(previous)
	}
	m.tightenInheritedBounds(now)
	return m
}

// maxLease is the longest time that a lease can last by this manager's clock.
func (m *Manager) maxLease() time.Duration {
	return time.Duration(float64(m.options.Lease) * m.options.ClockDrift)
}

// Started reports whether the manager has a map.
func (m *Manager) Started() bool { return len(m.shards) > 0 }

// Map returns the current map, which may not be committed yet.
func (m *Manager) Map(now time.Duration) *Map {
	current := &Map{
		Service: m.service, Epoch: m.epoch, Ranges: make([]Range, 0, len(m.shards)),
		Author: m.author, Pending: append([]Author(nil), m.pendingAuthors...), Resigned: m.resigned,
		Sequence: m.sequence, Unverified: m.fencing != nil, Continued: m.continued, Incomplete: m.incomplete,
	}
	for _, s := range m.shards {
		current.Ranges = append(current.Ranges, m.rangeInMap(s))
	}
	m.ownerNumbers = assignOwnerNumbers(m.ownerNumbers, current.Ranges)
	current.ownerNumbers = m.ownerNumbers
	return current
}

// SetServers replaces the known servers.
func (m *Manager) SetServers(servers []Server) {
	m.servers, m.acceptingServers, m.addresses = make(map[discovery.ServerID]Server, len(servers)), nil, nil
	for _, server := range servers {
		m.servers[server.ID] = server
	}
	m.updateReach()
}

// SetStoreHealthy sets whether the store can be written. While it cannot, no range
// is released, because no other owner could be committed.
func (m *Manager) SetStoreHealthy(healthy bool) { m.storeHealthy = healthy }

// RecordLoad adds requests to the measured load; each key stands for weight requests.
func (m *Manager) RecordLoad(now time.Duration, keys []uint32, weight float64) {
	m.load.Add(now, keys, weight)
	m.mediumWindow.Add(now, keys, weight)
	m.shortWindow.Add(now, keys, weight)
}

// RequestRate returns the mean number of requests per second in the long load window.
func (m *Manager) RequestRate(now time.Duration) float64 {
	return m.load.Total(now) / longWindowLength.Seconds()
}

// Start creates the first map, in which each accepting server owns an equal part of the keys.
func (m *Manager) Start() {
	if m.Started() || m.fencing != nil {
		return
	}
	accepting := m.accepting()
	if len(accepting) == 0 {
		return
	}
	count := len(accepting) * initialRangesPerServer(len(accepting))
	for index := range count {
		first := uint32(index * KeyCount / count)
		last := uint32((index+1)*KeyCount/count - 1)
		m.shards = append(m.shards, &shard{Range: Range{First: first, Last: last}, target: accepting[index%len(accepting)].ID})
	}
}

const (
	// smallFleetRanges is the initial number of ranges per server, so that the ranges of a
	// draining server go to different servers.
	smallFleetRanges = 2
	// largeFleetServers is the number of servers from which each has one range initially: each
	// range costs memory on every node and renewals on the manager, and with this many servers
	// the range of one server is a small addition for another.
	largeFleetServers = 500
)

func initialRangesPerServer(servers int) int {
	if servers >= largeFleetServers {
		return 1
	}
	return smallFleetRanges
}

// accepting returns the servers that may be given keys: those that accept keys, are reached and are
// not warming up or, if there are none, those that are warming up or, if there are none either, those
// that have left no command unanswered. The caller must not modify the slice.
func (m *Manager) accepting() []Server {
	if m.acceptingServers == nil {
		m.acceptingServers = m.selectAccepting()
	}
	return m.acceptingServers
}

func (m *Manager) selectAccepting() []Server {
	var found, warming, untried []Server
	for _, server := range m.servers {
		unconfirmed := m.unconfirmed[server.ID]
		switch {
		case !server.Accepting:
		case unconfirmed != nil && unconfirmed.silent == 0:
			untried = append(untried, server)
		case unconfirmed != nil:
		case server.Warming:
			warming = append(warming, server)
		default:
			found = append(found, server)
		}
	}
	if len(found) == 0 {
		found = warming
	}
	if len(found) == 0 {
		found = untried
	}
	slices.SortFunc(found, func(a, b Server) int { return cmp.Compare(a.ID, b.ID) })
	return found
}

// mayReceive reports whether a server accepts keys and is reached.
func (m *Manager) mayReceive(server Server) bool {
	return server.Accepting && m.unconfirmed[server.ID] == nil
}

// Tick advances the manager to the given time and returns the commands to execute.
func (m *Manager) Tick(now time.Duration) Commands {
	var commands Commands
	m.advance(now, &commands)
	commands.Vacated, m.vacated = m.vacated, nil
	commands.ReachChanges, m.reachChanges = m.reachChanges, nil
	return commands
}

func (m *Manager) advance(now time.Duration, commands *Commands) {
	if m.frozen {
		m.renew(now, commands)
		return
	}
	m.expirePendingAuthors(now)
	if !m.installed || m.resigned {
		m.commit(now, commands)
		return
	}
	if m.fencing != nil {
		m.advanceFencing(now, commands)
	}
	if m.fencing != nil {
		m.commit(now, commands)
		m.renew(now, commands)
		return
	}
	m.checkServers(now, commands)
	m.vacateUnreached(now)
	m.evacuate(now)
	if m.storeHealthy {
		m.balance(now)
	}
	m.release(now, commands)
	if !m.storeHealthy {
		m.restore(now, commands)
	}
	m.assign(now)
	m.commit(now, commands)
	m.renew(now, commands)
}

func (m *Manager) nextFence() uint64 {
	m.fenceSequence++
	return m.lastFence()
}

// NearlyOutOfFences reports whether another manager should take over, under another epoch, before this
// one issues fences of the next epoch.
func (m *Manager) NearlyOutOfFences() bool { return m.fenceSequence >= maxIssuedFences }

// lastFence returns the fence that was issued last, or one below all fences of this manager.
func (m *Manager) lastFence() uint64 { return m.epoch<<fenceEpochShift | m.fenceSequence }

// assign gives vacant ranges new owners, which are then to be committed.
func (m *Manager) assign(now time.Duration) {
	if m.commitInFlight {
		return
	}
	accepting := m.accepting()
	if len(accepting) == 0 {
		return
	}
	var loads map[discovery.ServerID]float64
	remaining := m.remaining(accepting)
	for _, s := range m.shards {
		if s.phase != vacant {
			continue
		}
		if loads == nil {
			loads = m.serverLoads(now)
		}
		target, known := m.servers[s.target]
		if !known || !m.mayReceive(target) || target.Warming {
			target = m.nextOwner(now, accepting, remaining, loads)
		}
		loads[target.ID] += m.load.Requests(now, s.First, s.Last) + unrequestedLoad(s.Range)
		s.Owner = target.ID
		s.Address = target.Address
		s.Fence = m.nextFence()
		s.target = ""
		s.phase = committing
		m.uncommitted = true
	}
}

func leastLoaded(servers []Server, loads map[discovery.ServerID]float64) Server {
	best := servers[0]
	for _, server := range servers[1:] {
		if loads[server.ID]/server.Capacity < loads[best.ID]/best.Capacity {
			best = server
		}
	}
	return best
}

// commit requests a write of the map if it has changed. Owners do not change while a commit is
// in flight: assign waits for its result.
func (m *Manager) commit(now time.Duration, commands *Commands) {
	if m.inheritedWriteAt > 0 && now >= m.inheritedWriteAt {
		m.uncommitted = true
	}
	if !m.uncommitted || m.commitInFlight {
		return
	}
	m.commitInFlight = true
	m.uncommitted = false
	m.inheritedWriteAt = 0
	m.sequence++
	written := m.Map(now)
	for _, s := range m.shards {
		s.inFlightOwner = s.Owner
	}
	commands.Commit = &Commit{Map: written}
}

// InitialMapCommitted reports that Map, as it was when the manager was created, is in the store.
func (m *Manager) InitialMapCommitted(now time.Duration) {
	m.uncommitted = false
	for _, s := range m.shards {
		s.inFlightOwner = s.Owner
	}
	m.CommitDone(now)
}

// CommitDone reports that the map of the last commit is in the store.
func (m *Manager) CommitDone(now time.Duration) {
	if m.frozen {
		return
	}
	m.commitInFlight = false
	m.installed = true
	for _, s := range m.shards {
		s.committedOwner = s.inFlightOwner
		if s.phase == committing {
			s.phase = owned
			s.renewAt = now
			s.leaseUntil = now
		}
	}
}

// split divides a shard in two so that the second one begins at first. Both keep the state of
// the original.
func (m *Manager) split(index int, first uint32) {
	left := m.shards[index]
	right := *left
	right.First = first
	left.Last = first - 1
	m.shards = append(m.shards, nil)
	copy(m.shards[index+2:], m.shards[index+1:])
	m.shards[index+1] = &right
}
