package simulation

import (
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/micahaven/micahaven/internal/holder"
	"github.com/micahaven/micahaven/internal/identity"
	"github.com/micahaven/micahaven/internal/ownership"
	"github.com/micahaven/micahaven/internal/replication"
	"github.com/micahaven/micahaven/internal/wire"
)

const groupName = "simulated"

var timing = replication.Timing{
	Heartbeat:      100 * time.Millisecond,
	Lease:          300 * time.Millisecond,
	ElectionSpread: 100 * time.Millisecond,
}

var ownershipOptions = ownership.Options{
	Group:             groupName,
	SessionTTL:        450 * time.Millisecond,
	RenewInterval:     150 * time.Millisecond,
	CallTimeout:       150 * time.Millisecond,
	RetryInterval:     30 * time.Millisecond,
	HoldTimeout:       time.Second,
	MovesPerServer:    4,
	Tolerance:         0.1,
	RebalanceInterval: 10 * time.Second,
}

// node is one simulated member of the group.
type node struct {
	process
	world   *world
	member  *wire.Member
	replica *replication.Replica
	state   *ownership.State
	manager *ownership.Manager
	ledTerm uint64
	// life tells timers of an earlier life that they have none any more.
	life int
}

func (w *world) foundingRecord() *wire.Snapshot {
	membership := &wire.Membership{Version: 1}
	for _, n := range w.nodes {
		n.member = &wire.Member{Node: n.name, Incarnation: w.random.Uint64() | 1, Address: n.name}
		membership.Members = append(membership.Members, n.member)
	}
	const firstGeneration = 1
	return &wire.Snapshot{
		Membership: membership,
		State:      ownership.InitialState(w.options.Slices, firstGeneration),
	}
}

// join creates the node's replica.
func (n *node) join(founding *wire.Snapshot) {
	seed := n.world.random.Uint64()
	n.state = ownership.NewState()
	n.manager = ownership.NewManager(ownershipOptions, n.state)
	n.ledTerm = 0
	n.life++
	promiseShare := 1.0
	if n.world.options.Weakness == NoPromise {
		promiseShare = 0.01
	}
	n.replica = replication.New(replication.Options{
		Group:      groupName,
		Generation: founding.GetState().GetGeneration(),
		Self:       n.member,
		Timing:     timing,
		Machine:    n.state,
		Random:     rand.New(rand.NewPCG(seed, seed)),

		PromiseShare: promiseShare,
	}, proto.CloneOf(founding), n.clock(n.world.now))
	n.world.checker.founding = founding
}

func (n *node) tick() {
	if n.replica == nil {
		return
	}
	n.replica.Tick(n.clock(n.world.now))
	n.repairMembership()
	n.pump()
}

// pump carries out what the replica and the manager want done.
func (n *node) pump() {
	now := n.clock(n.world.now)
	for range 8 {
		n.updateLead(now)
		messages, committed := n.replica.Ready()
		for _, message := range messages {
			n.send(message)
		}
		n.world.checker.committed(n, committed)
		progressed := len(committed) > 0
		if n.manager.IsLeading() && n.replica.HasAuthority(now) {
			progressed = n.stepManager(now) || progressed
		}
		if !progressed {
			return
		}
	}
}

func (n *node) updateLead(now time.Duration) {
	stillLeads := n.replica.Role() == replication.Leader && n.replica.Term() == n.ledTerm
	if n.manager.IsLeading() && !stillLeads {
		n.manager.Resign()
	}
	if !n.manager.IsLeading() && n.replica.HasAuthority(now) {
		n.ledTerm = n.replica.Term()
		n.manager.SetServers(now, n.world.specs())
		n.manager.Lead(now)
		n.world.result.Leads++
	}
}

func (n *node) stepManager(now time.Duration) bool {
	effects := n.manager.Step(now)
	for _, call := range effects.Calls {
		n.call(call)
	}
	for _, slice := range effects.Changed {
		// No requests run in this world, so a held slice is idle at once.
		n.manager.SliceIdle(slice)
	}
	if effects.Assign != nil {
		entry := &wire.Entry{Command: &wire.Entry_Assign{Assign: effects.Assign}}
		if _, _, err := n.replica.Propose(now, entry); err != nil {
			n.manager.AssignFailed()
		}
	}
	return len(effects.Changed) > 0 || effects.Assign != nil
}

func (n *node) send(message *wire.ReplicaMessage) {
	for _, to := range n.world.nodes {
		if to.name != message.GetTo() {
			continue
		}
		copied := proto.CloneOf(message)
		n.world.countReplica(copied)
		n.world.transmit(&n.process, &to.process, func() {
			if to.replica != nil {
				to.replica.Step(to.clock(to.world.now), copied)
				to.pump()
			}
		})
	}
}

// call sends a session message to a server and brings the answer back.
func (n *node) call(call ownership.Call) {
	life := n.life
	manager := n.manager
	for _, to := range n.world.servers {
		if to.name != call.Address {
			continue
		}
		n.world.transmit(&n.process, &to.process, func() {
			reply := to.handle(call.Message)
			n.world.countSession(call.Message, reply)
			n.world.transmit(&to.process, &n.process, func() {
				if n.life == life && n.replica != nil {
					manager.Answered(n.clock(n.world.now), call.Server, call.Sequence, reply)
					n.pump()
				}
			})
		})
	}
}

// restart loses everything the node knew. A new life is a new member; with the
// weakness it goes on as the old one.
func (n *node) restart() {
	if n.world.options.Weakness != AmnesiacVote {
		n.member = proto.CloneOf(n.member)
		n.member.Incarnation = n.world.random.Uint64() | 1
	}
	n.join(n.world.checker.founding)
}

// repairMembership replaces members that have a new life, one step at a time,
// as the leader.
func (n *node) repairMembership() {
	now := n.clock(n.world.now)
	if !n.manager.IsLeading() || !n.replica.HasAuthority(now) {
		return
	}
	present := n.replica.Membership()
	next := proto.CloneOf(present)
	next.Version++
	next.Members = nil
	removed := false
	for _, member := range present.GetMembers() {
		if !removed && !n.world.lives(member) {
			removed = true
			continue
		}
		next.Members = append(next.Members, member)
	}
	if !removed {
		added := n.world.outsider(present)
		if added == nil {
			return
		}
		next.Members = append(next.Members, added)
	}
	// An earlier change that is not committed yet makes this fail; the next
	// tick tries again.
	_ = n.replica.ProposeMembership(now, next)
}

func (w *world) lives(member *wire.Member) bool {
	for _, n := range w.nodes {
		if identity.KeyOf(n.member) == identity.KeyOf(member) {
			return true
		}
	}
	return false
}

// outsider returns a living node that is not in a membership, or nil.
func (w *world) outsider(membership *wire.Membership) *wire.Member {
	for _, n := range w.nodes {
		isMember := false
		for _, member := range membership.GetMembers() {
			isMember = isMember || identity.KeyOf(member) == identity.KeyOf(n.member)
		}
		if !isMember {
			return n.member
		}
	}
	return nil
}

func (w *world) specs() []ownership.ServerSpec {
	var specs []ownership.ServerSpec
	for _, s := range w.servers {
		specs = append(specs, ownership.ServerSpec{ID: identity.ServerID(s.name), Address: s.name, Weight: 1})
	}
	return specs
}

// server is one simulated server.
type server struct {
	process
	world  *world
	holder *holder.Holder
}

func newServer(w *world, name string) *server {
	s := &server{world: w, process: w.newProcess(name)}
	s.restart()
	return s
}

func (s *server) restart() { s.holder = holder.New(s.world.random.Uint64) }

// handle takes a session message in, with the weakness of the run.
func (s *server) handle(message *holder.Message) *holder.Reply {
	now := s.clock(s.world.now)
	copied := *message
	switch s.world.options.Weakness {
	case NoChallenge:
		copied.Challenge = s.holder.Handle(now, &holder.Message{}).Challenge
	case NoWait:
		copied.TTL *= 4
	case NoFence:
		// A server that forgets what was revoked, and drops nothing.
		copied.Revokes = nil
		reply := s.holder.Handle(now, &copied)
		for _, revoked := range message.Revokes {
			reply.Revoked = append(reply.Revoked, revoked.Slice)
		}
		return reply
	}
	return s.holder.Handle(now, &copied)
}
