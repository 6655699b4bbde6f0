// Package group runs one node's part of one ownership group: it joins the pure
// packages replication, ownership, journal and admission to the network, the
// servers and the clock.
//
// Lock order: Group.mutex is taken last. Nothing that blocks is called with it
// held; sends and tasks are queued.
package group

import (
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/micahaven/micahaven/internal/admission"
	"github.com/micahaven/micahaven/internal/backend"
	"github.com/micahaven/micahaven/internal/clock"
	"github.com/micahaven/micahaven/internal/identity"
	"github.com/micahaven/micahaven/internal/ownership"
	"github.com/micahaven/micahaven/internal/replication"
	"github.com/micahaven/micahaven/internal/table"
	"github.com/micahaven/micahaven/internal/wire"
	"github.com/micahaven/micahaven/internal/workers"
)

// Sender sends one-way envelopes to nodes.
type Sender interface {
	Send(address string, envelope *wire.Envelope)
}

// Dependencies is what a group needs of its node.
type Dependencies struct {
	Self     *wire.Member
	Clock    clock.Clock
	Sender   Sender
	Backend  backend.Server
	Requests *workers.Pool
	Sessions *workers.Pool
	Logger   *zap.Logger
	// OnView is called when this node starts to lead; it must not block.
	OnView func(view *wire.GroupView)
	// AddressOf returns the inner address of a node, or "".
	AddressOf func(node string) string
}

// Settings is how a group behaves.
type Settings struct {
	Timing           replication.Timing
	Ownership        ownership.Options
	JournalRetention time.Duration
	JournalBytes     int
}

// Group is this node's part of one group. It is safe for concurrent use.
type Group struct {
	name       string
	generation uint64
	settings   Settings
	deps       Dependencies
	logger     *zap.Logger

	mutex     sync.Mutex
	replica   *replication.Replica
	state     *ownership.State
	manager   *ownership.Manager
	scheduler *admission.Scheduler
	budget    *admission.RetryBudget
	policy    table.Policy
	servers   map[identity.ServerID]Server

	// isLeading is set from the first moment of authority in a term until the
	// replica stops being the leader of that term.
	isLeading bool
	ledTerm   uint64
	// isHandingOver is set from the start of a planned stop: new requests are
	// sent elsewhere while the running ones end.
	isHandingOver bool
	// managerDue is set when the manager may have something to do. Requests
	// alone do not set it: a step of the manager looks at every slice.
	managerDue   bool
	leadingSince time.Duration
	commits      map[uint64]commitWaiter
	keyed        map[string]*attempt
	attempts     map[string]*attempt
	load         loadMeter
	trims        trimmer
	away         awayMeter
	counters     Counters
}

// Server is a server with the limits of its row.
type Server struct {
	Spec        ownership.ServerSpec
	Slots       int
	Connections int
}

// commitWaiter is told once whether the entry at its index was committed in its
// term.
type commitWaiter struct {
	term uint64
	done func(committed bool)
}

// New creates a group from a snapshot, as replication.New demands.
func New(name string, generation uint64, snapshot *wire.Snapshot, settings Settings, deps Dependencies) *Group {
	now := deps.Clock()
	state := ownership.NewState()
	settings.Ownership.Group = name
	g := &Group{
		name:       name,
		generation: generation,
		settings:   settings,
		deps:       deps,
		logger:     deps.Logger.With(zap.String("service", name), zap.Uint64("generation", generation)),
		state:      state,
		budget:     admission.NewRetryBudget(),
		servers:    make(map[identity.ServerID]Server),
		commits:    make(map[uint64]commitWaiter),
		keyed:      make(map[string]*attempt),
		attempts:   make(map[string]*attempt),
	}
	g.replica = replication.New(replication.Options{
		Group:      name,
		Generation: generation,
		Self:       deps.Self,
		Timing:     settings.Timing,
		Machine:    state,
		Random:     rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}, snapshot, now)
	g.manager = ownership.NewManager(settings.Ownership, state)
	g.scheduler = admission.New(0, 0)
	return g
}

// Configure hands the group its policy and its servers.
func (g *Group) Configure(policy table.Policy, servers []Server) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.policy = policy
	clear(g.servers)
	specs := make([]ownership.ServerSpec, 0, len(servers))
	for _, server := range servers {
		g.servers[server.Spec.ID] = server
		specs = append(specs, server.Spec)
		if g.isLeading {
			g.deps.Backend.Limit(server.Spec.Address, server.Connections)
		}
	}
	now := g.deps.Clock()
	g.manager.SetTolerance(policy.Tolerance)
	g.manager.SetServers(now, specs)
	g.applyLimits(now)
	g.managerDue = true
	g.pump(now)
}

func (g *Group) applyLimits(now time.Duration) {
	g.scheduler.SetHeldLimit(g.policy.QueueLimit)
	for id, server := range g.servers {
		limits := admission.Limits{Slots: server.Slots, Queue: g.policy.QueueLimit}
		g.scheduler.SetServer(now, id, limits)
	}
}

// Step handles a message of another replica.
func (g *Group) Step(message *wire.ReplicaMessage) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	now := g.deps.Clock()
	g.replica.Step(now, message)
	g.pump(now)
}

// Tick lets time pass.
func (g *Group) Tick() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	now := g.deps.Clock()
	g.replica.Tick(now)
	g.managerDue = true
	g.scheduler.Expire(now)
	if g.isLeading {
		g.manager.SetLoads(g.load.rates(now, g.state.SliceCount()))
		g.trimJournal(now)
		g.abandonImport(now)
	}
	g.pump(now)
}

// Seal stops this replica for good and returns what it holds.
func (g *Group) Seal() (*wire.Snapshot, uint64) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	now := g.deps.Clock()
	snapshot, term := g.replica.Seal(now)
	g.pump(now)
	return snapshot, term
}

// maxPumpRounds bounds one pump; what is left is done at the next tick.
const maxPumpRounds = 16

// pump carries out everything that the pure parts want done. The caller holds
// the mutex.
func (g *Group) pump(now time.Duration) {
	for range maxPumpRounds {
		g.updateLead(now)
		messages, committed := g.replica.Ready()
		for _, message := range messages {
			g.send(message)
		}
		for _, entry := range committed {
			g.settle(entry)
		}
		progressed := len(committed) > 0
		if g.managerDue && g.isLeading && g.replica.HasAuthority(now) {
			g.managerDue = g.stepManager(now)
			progressed = g.managerDue || progressed
		}
		if !progressed {
			return
		}
	}
}

func (g *Group) send(message *wire.ReplicaMessage) {
	address := g.addressOf(message.GetTo(), message.GetToIncarnation())
	if address == "" {
		return
	}
	g.deps.Sender.Send(address, &wire.Envelope{Body: &wire.Envelope_Replica{Replica: message}})
}

// addressOf finds a replica's address in the membership, or for a candidate of
// another membership, in the machine list.
func (g *Group) addressOf(node string, incarnation uint64) string {
	for _, member := range g.replica.Membership().GetMembers() {
		if member.GetNode() == node && member.GetIncarnation() == incarnation {
			return member.GetAddress()
		}
	}
	return g.deps.AddressOf(node)
}

// updateLead starts or ends the leader's work when the replica's role changed.
func (g *Group) updateLead(now time.Duration) {
	isStillLeader := g.replica.Role() == replication.Leader && g.replica.Term() == g.ledTerm
	if g.isLeading && !isStillLeader {
		g.resign()
	}
	if !g.isLeading && g.replica.HasAuthority(now) {
		g.lead(now)
	}
}

func (g *Group) lead(now time.Duration) {
	g.isLeading = true
	g.managerDue = true
	g.ledTerm = g.replica.Term()
	g.leadingSince = now
	g.scheduler = admission.New(uint32(g.state.SliceCount()), g.policy.QueueLimit)
	g.load.reset(now, g.state.SliceCount())
	g.trims.reset()
	g.away.reset(now, g.state.SliceCount())
	g.manager.Lead(now)
	for _, server := range g.servers {
		g.deps.Backend.Limit(server.Spec.Address, server.Connections)
	}
	g.applyLimits(now)
	g.logger.Info("leading", zap.Uint64("term", g.ledTerm))
	leaderChanges.Inc()
	g.deps.OnView(g.view())
}

func (g *Group) resign() {
	g.isLeading = false
	g.manager.Resign()
	g.logger.Info("no longer leading", zap.Uint64("term", g.ledTerm))
	g.scheduler.GiveUpAll(wire.Reason_REASON_NOT_LEADER)
	waiters := g.commits
	g.commits = make(map[uint64]commitWaiter)
	for _, waiter := range waiters {
		waiter.done(false)
	}
	g.deps.Backend.Release()
}

func (g *Group) view() *wire.GroupView {
	return &wire.GroupView{
		Group:      g.name,
		Generation: g.generation,
		Term:       g.replica.Term(),
		Leader:     g.deps.Self,
		Membership: g.replica.Membership(),
	}
}

// settle tells whoever proposed an entry that it is committed.
func (g *Group) settle(entry *wire.Entry) {
	g.managerDue = g.managerDue || entry.GetAssign() != nil
	waiter, found := g.commits[entry.GetIndex()]
	if !found {
		return
	}
	delete(g.commits, entry.GetIndex())
	waiter.done(waiter.term == entry.GetTerm())
}

// propose appends an entry; done is called later, with the mutex held.
func (g *Group) propose(now time.Duration, entry *wire.Entry, done func(committed bool)) {
	term, index, err := g.replica.Propose(now, entry)
	if err != nil {
		done(false)
		return
	}
	g.commits[index] = commitWaiter{term: term, done: done}
}

// stepManager carries out the manager's effects and reports whether there were
// any that may lead to more.
func (g *Group) stepManager(now time.Duration) bool {
	effects := g.manager.Step(now)
	for _, call := range effects.Calls {
		g.startCall(call)
	}
	for _, slice := range effects.Changed {
		g.updateRoute(now, slice)
	}
	if effects.Assign != nil {
		churn.WithLabelValues(g.name).Add(float64(len(effects.Assign.GetAssignments())))
		g.counters.Moved += len(effects.Assign.GetAssignments())
		entry := &wire.Entry{Command: &wire.Entry_Assign{Assign: effects.Assign}}
		g.propose(now, entry, func(committed bool) {
			if !committed {
				g.manager.AssignFailed()
			}
		})
	}
	return len(effects.Changed) > 0 || effects.Assign != nil
}

func (g *Group) updateRoute(now time.Duration, slice uint32) {
	route := g.manager.Route(slice)
	g.away.observe(now, slice, route.Serving, g.name)
	g.scheduler.SetRoute(now, slice, admission.Route{
		Server:  route.Server,
		Address: route.Address,
		Fence:   route.Fence,
		Serving: route.Serving,
	})
	if route.Serving {
		g.abandonEarlier(slice, route.Server)
	}
	if g.scheduler.RunningOn(slice) == 0 {
		g.manager.SliceIdle(slice)
	}
}

// startCall sends a session message from a worker.
func (g *Group) startCall(call ownership.Call) {
	taken := g.deps.Sessions.TrySubmit(func() { g.runCall(call) })
	if !taken {
		g.manager.Failed(g.deps.Clock(), call.Server, call.Sequence)
	}
}
