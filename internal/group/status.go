package group

import (
	"cmp"
	"slices"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/micahaven/micahaven/internal/backend"
	"github.com/micahaven/micahaven/internal/identity"
	"github.com/micahaven/micahaven/internal/ownership"
	"github.com/micahaven/micahaven/internal/placement"
	"github.com/micahaven/micahaven/internal/wire"
)

// SliceStatus is the state of one slice as its leader sees it.
type SliceStatus struct {
	Slice  uint32            `json:"slice"`
	Server identity.ServerID `json:"server"`
	Fence  string            `json:"fence"`
	Phase  string            `json:"phase"`
	// LoadPerSec is the measured number of requests a second.
	LoadPerSec float64 `json:"load_per_second"`
}

// ServerStatus is the state of one server as its leader sees it.
type ServerStatus struct {
	ID         identity.ServerID `json:"id"`
	Address    string            `json:"address"`
	Weight     float64           `json:"weight"`
	Leaving    bool              `json:"leaving"`
	Live       bool              `json:"live"`
	Slices     int               `json:"slices"`
	Running    int               `json:"running"`
	LoadPerSec float64           `json:"load_per_second"`
	// MayStop is true when the server is leaving, owns nothing and runs nothing.
	MayStop bool `json:"may_stop"`
}

// Status is the state of a group as one of its members sees it.
type Status struct {
	Service    string         `json:"service"`
	Generation uint64         `json:"generation"`
	Term       uint64         `json:"term"`
	Role       string         `json:"role"`
	Leader     string         `json:"leader"`
	Members    []string       `json:"members"`
	Leading    bool           `json:"leading"`
	Waiting    int            `json:"waiting"`
	Imbalance  float64        `json:"imbalance"`
	Counters   Counters       `json:"counters"`
	Journal    int            `json:"journal_records"`
	Servers    []ServerStatus `json:"servers,omitempty"`
	Slices     []SliceStatus  `json:"slices,omitempty"`
}

// Status describes the group. Servers and slices are listed by the leader only.
func (g *Group) Status() Status {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	now := g.deps.Clock()
	status := Status{
		Service:    g.name,
		Generation: g.generation,
		Term:       g.replica.Term(),
		Role:       g.replica.Role().String(),
		Leading:    g.isLeading && g.replica.HasAuthority(now),
		Counters:   g.counters,
		Journal:    g.state.Journal().Len(),
	}
	for _, member := range g.replica.Membership().GetMembers() {
		status.Members = append(status.Members, member.GetNode())
	}
	if leader, known := g.replica.Leader(); known {
		status.Leader = leader.GetNode()
	}
	if !status.Leading {
		return status
	}
	status.Waiting = g.scheduler.Waiting()
	g.describeSlices(&status)
	g.describeServers(&status)
	return status
}

func (g *Group) describeSlices(status *Status) {
	rates := g.load.rates(g.deps.Clock(), g.state.SliceCount())
	for slice := range uint32(g.state.SliceCount()) {
		assignment := g.state.Assignment(slice)
		status.Slices = append(status.Slices, SliceStatus{
			Slice:  slice,
			Server: identity.ServerID(assignment.GetServer()),
			Fence:  backend.FormatFence(assignment.GetFence()),
			Phase:  g.manager.PhaseOf(slice).String(),

			LoadPerSec: rates[slice],
		})
	}
}

func (g *Group) describeServers(status *Status) {
	now := g.deps.Clock()
	owned := make(map[identity.ServerID]int)
	load := make(map[identity.ServerID]float64)
	rates := g.load.rates(now, g.state.SliceCount())
	for slice := range uint32(g.state.SliceCount()) {
		server := identity.ServerID(g.state.Assignment(slice).GetServer())
		if g.manager.PhaseOf(slice) != ownership.Vacant {
			owned[server]++
		}
		load[server] += rates[slice]
	}
	var targets []placement.Target
	for id, server := range g.servers {
		running := g.scheduler.Running(id)
		status.Servers = append(status.Servers, ServerStatus{
			ID:         id,
			Address:    server.Spec.Address,
			Weight:     server.Spec.Weight,
			Leaving:    server.Spec.Leaving,
			Live:       g.manager.IsLive(now, id),
			Slices:     owned[id],
			Running:    running,
			LoadPerSec: load[id],
			MayStop:    server.Spec.Leaving && owned[id] == 0 && running == 0,
		})
		if !server.Spec.Leaving && server.Spec.Weight > 0 {
			targets = append(targets, placement.Target{Server: id, Weight: server.Spec.Weight})
		}
	}
	slices.SortFunc(status.Servers, func(a, b ServerStatus) int { return cmp.Compare(a.ID, b.ID) })
	if len(targets) > 0 {
		status.Imbalance = placement.Imbalance(placement.Input{Loads: rates, Targets: targets}, g.state.Owners())
	}
}

// Owners returns the committed owner of each slice.
func (g *Group) Owners() []identity.ServerID {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.state.Owners()
}

// Membership returns the membership in force, and whether this node leads.
func (g *Group) Membership() (membership *wire.Membership, leading bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.replica.Membership(), g.isLeading && g.replica.HasAuthority(g.deps.Clock())
}

// Durable returns the state to be written to the key-value service, without the
// journal, and a number that grows whenever an owner changes.
func (g *Group) Durable() (*wire.Snapshot, uint64) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	snapshot := g.replica.Snapshot()
	snapshot.State.Journal = nil
	return snapshot, g.state.Assigned()
}

// Generation returns the generation that this replica takes part in.
func (g *Group) Generation() uint64 { return g.generation }

// IsSealed reports whether the replica was sealed.
func (g *Group) IsSealed() bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.replica.IsSealed()
}

// ErrNotLeading means that this node cannot do what only a leader may.
var ErrNotLeading = errors.New("this node does not lead the group")

// ChangeMembership proposes a membership that differs by one member.
func (g *Group) ChangeMembership(membership *wire.Membership) error {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	now := g.deps.Clock()
	err := g.replica.ProposeMembership(now, membership)
	g.pump(now)
	if err != nil {
		return errors.Mark(err, ErrNotLeading)
	}
	return nil
}

// HandOver gives the lead to another member, once no request runs here any
// more. It reports whether this node does not lead; the caller tries again
// until it does not.
func (g *Group) HandOver() bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if !g.isLeading {
		return true
	}
	g.isHandingOver = true
	now := g.deps.Clock()
	g.scheduler.GiveUpAll(wire.Reason_REASON_NOT_LEADER)
	if len(g.attempts) > 0 {
		g.pump(now)
		return false
	}
	successor, found := g.replica.Successor(now)
	if !found {
		// Nobody can take over, and without followers there is no lease either.
		return !g.replica.HasAuthority(now)
	}
	if err := g.replica.Transfer(now, successor); err != nil {
		g.logger.Debug("hand over", zap.Error(err))
	}
	g.pump(now)
	return !g.isLeading
}

// KnowsLeader reports whether this node has heard from a leader of the group.
func (g *Group) KnowsLeader() bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	_, known := g.replica.Leader()
	return known
}

// ImportJournal proposes journal records of an earlier generation.
func (g *Group) ImportJournal(batch *wire.JournalImport) error {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	now := g.deps.Clock()
	entry := &wire.Entry{Command: &wire.Entry_Import{Import: batch}}
	_, _, err := g.replica.Propose(now, entry)
	g.pump(now)
	if err != nil {
		return errors.Mark(err, ErrNotLeading)
	}
	return nil
}
