// Package replication keeps the state of one ownership group equal on its
// members and lets exactly one of them lead at a time.
//
// It is a Raft state machine (Ongaro and Ousterhout, 2014) that keeps nothing
// on disk, with two additions: the leader holds a time-bounded lease, and a
// process that restarts is a new member, because it has forgotten its votes.
// The package does no I/O, reads no clock and starts no goroutine: Step and
// Tick take the time, and Ready returns what has to be sent.
package replication

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/micahaven/micahaven/internal/clock"
	"github.com/micahaven/micahaven/internal/identity"
	"github.com/micahaven/micahaven/internal/wire"
)

// Role is what a replica currently does in its group.
type Role int

// The roles of a replica.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String names the role for logs and status pages.
func (r Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}

// StateMachine is the state that the log builds. Its methods are called in log
// order from within Step, Tick and Propose, and must not do I/O.
type StateMachine interface {
	// Apply executes one committed entry.
	Apply(entry *wire.Entry)
	// Snapshot returns a deep copy of the state.
	Snapshot() *wire.GroupState
	// Restore replaces the state.
	Restore(state *wire.GroupState)
}

// Timing holds the durations of the protocol.
type Timing struct {
	// Heartbeat is the interval between a leader's messages to each follower.
	Heartbeat time.Duration
	// Lease is how long a follower that heard from a leader helps no other.
	Lease time.Duration
	// ElectionSpread bounds the random wait before standing for election.
	ElectionSpread time.Duration
}

// Options configures a replica.
type Options struct {
	Group      string
	Generation uint64
	Self       *wire.Member
	Timing     Timing
	Machine    StateMachine
	// Random spreads elections; a seeded source makes runs repeatable.
	Random *rand.Rand
	// PromiseShare scales the promise that followers make. Anything below 1 is
	// unsafe; simulations use it to show that their checks notice. 0 means 1.
	PromiseShare float64
}

// compactAfter is the number of applied entries kept for followers that lag,
// before the log is cut and they need a snapshot.
const compactAfter = 4096

// maxEntriesPerMessage bounds one append, so that a heartbeat is never stuck
// behind a frame of unbounded size.
const maxEntriesPerMessage = 512

// progress is what a leader knows about one other member.
type progress struct {
	member      *wire.Member
	match       uint64
	next        uint64
	ackedSentAt time.Duration
	hasAcked    bool
	// pausedUntil delays the next snapshot while one is on its way.
	pausedUntil time.Duration
}

// Replica is one member's part of the protocol. It is not safe for concurrent
// use.
type Replica struct {
	options Options
	self    identity.MemberKey

	term     uint64
	votedFor identity.MemberKey
	role     Role
	leader   identity.MemberKey

	log             entryLog
	commit          uint64
	applied         uint64
	membership      *wire.Membership
	membershipIndex uint64
	baseMembership  *wire.Membership

	// promiseUntil and promiseTerm are this replica's part of a leader's lease:
	// it helps nobody else to lead before that time.
	promiseUntil time.Duration
	promiseTerm  uint64
	electionAt   time.Duration
	releasedTerm uint64

	followers     map[identity.MemberKey]*progress
	votes         map[identity.MemberKey]bool
	termStart     uint64
	nextHeartbeat time.Duration
	leadingSince  time.Duration
	transferTo    *wire.Member
	// transferUntil is when a transfer that has not been sent is abandoned.
	transferUntil time.Duration

	sealed    bool
	outbox    []*wire.ReplicaMessage
	committed []*wire.Entry
}

// New creates a replica that starts from a snapshot. Every member of a
// generation must start from the same snapshot, and a process must call New at
// most once per group and generation: a second call would forget its votes.
func New(options Options, snapshot *wire.Snapshot, now time.Duration) *Replica {
	r := &Replica{
		options: options,
		self:    identity.KeyOf(options.Self),
		term:    snapshot.GetTerm(),
	}
	r.installSnapshot(snapshot)
	r.resetElectionTimer(now)
	return r
}

// Ready returns the messages to send and the entries applied since the last
// call.
func (r *Replica) Ready() ([]*wire.ReplicaMessage, []*wire.Entry) {
	messages, committed := r.outbox, r.committed
	r.outbox, r.committed = nil, nil
	return messages, committed
}

// Role returns the current role.
func (r *Replica) Role() Role { return r.role }

// Term returns the current term.
func (r *Replica) Term() uint64 { return r.term }

// CommitIndex returns the newest position known to be committed.
func (r *Replica) CommitIndex() uint64 { return r.commit }

// Membership returns the members in force. The caller must not change it.
func (r *Replica) Membership() *wire.Membership { return r.membership }

// Leader returns the member believed to lead, and false if none is known.
func (r *Replica) Leader() (*wire.Member, bool) {
	for _, member := range r.membership.GetMembers() {
		if identity.KeyOf(member) == r.leader {
			return member, true
		}
	}
	return nil, false
}

// IsSettled reports whether the membership in force is committed.
func (r *Replica) IsSettled() bool { return r.commit >= r.membershipIndex }

// Snapshot returns the applied state and its position.
func (r *Replica) Snapshot() *wire.Snapshot {
	term, _ := r.log.term(r.applied)
	return &wire.Snapshot{
		Term:       term,
		Index:      r.applied,
		Membership: r.membershipAt(r.applied),
		State:      r.options.Machine.Snapshot(),
	}
}

// HasAuthority reports whether this replica may act as the leader at the given
// time: it leads, has committed an entry of its own term, holds its lease, and
// is not handing over.
func (r *Replica) HasAuthority(now time.Duration) bool {
	if r.role != Leader || r.sealed || r.transferTo != nil {
		return false
	}
	return r.commit >= r.termStart && now < r.LeaseUntil(now)
}

// LeaseUntil returns the end of the leader's lease.
//
// The lease is safe because every follower counted here promised, when it
// received a message sent at or after the lease's start, to help no other
// candidate for the stretched lease; a majority did, so any other majority
// contains one that refuses until this lease, counted from the earlier moment
// of sending and shortened, has ended.
func (r *Replica) LeaseUntil(now time.Duration) time.Duration {
	members := r.membership.GetMembers()
	acknowledged := make([]time.Duration, 0, len(members))
	for _, member := range members {
		key := identity.KeyOf(member)
		if key == r.self {
			acknowledged = append(acknowledged, now)
			continue
		}
		if follower := r.followers[key]; follower != nil && follower.hasAcked {
			acknowledged = append(acknowledged, follower.ackedSentAt)
		}
	}
	quorum := len(members)/2 + 1
	if len(acknowledged) < quorum {
		return 0
	}
	slices.SortFunc(acknowledged, func(a, b time.Duration) int { return int(b - a) })
	return acknowledged[quorum-1] + clock.Shorten(r.options.Timing.Lease)
}

// Seal makes the replica refuse, for ever, to take part in its generation, and
// returns everything it holds, applied or not: an entry that a majority holds
// may have been acknowledged, so the recovery must keep it.
func (r *Replica) Seal(now time.Duration) (*wire.Snapshot, uint64) {
	r.sealed = true
	r.becomeFollower(now, r.term, identity.MemberKey{})
	r.applyUpTo(r.log.lastIndex())
	// Nobody may take these entries for committed ones.
	r.committed = nil
	return r.Snapshot(), r.term
}

// IsSealed reports whether Seal was called.
func (r *Replica) IsSealed() bool { return r.sealed }

func (r *Replica) installSnapshot(snapshot *wire.Snapshot) {
	r.log.reset(snapshot.GetTerm(), snapshot.GetIndex())
	r.commit = snapshot.GetIndex()
	r.applied = snapshot.GetIndex()
	r.baseMembership = snapshot.GetMembership()
	r.adoptMembership(snapshot.GetMembership(), snapshot.GetIndex())
	r.options.Machine.Restore(snapshot.GetState())
}

func (r *Replica) quorum() int {
	return len(r.membership.GetMembers())/2 + 1
}

func (r *Replica) isMember(key identity.MemberKey) bool {
	return slices.ContainsFunc(r.membership.GetMembers(), func(m *wire.Member) bool {
		return identity.KeyOf(m) == key
	})
}

// others calls visit for every member but this one.
func (r *Replica) others(visit func(member *wire.Member)) {
	for _, member := range r.membership.GetMembers() {
		if identity.KeyOf(member) != r.self {
			visit(member)
		}
	}
}

func (r *Replica) send(to *wire.Member, message *wire.ReplicaMessage) {
	message.Group = r.options.Group
	message.Generation = r.options.Generation
	message.From = string(r.self.Node)
	message.FromIncarnation = uint64(r.self.Incarnation)
	message.To = to.GetNode()
	message.ToIncarnation = to.GetIncarnation()
	if message.Term == 0 {
		message.Term = r.term
	}
	r.outbox = append(r.outbox, message)
}

func (r *Replica) resetElectionTimer(now time.Duration) {
	wait := time.Duration(0)
	if spread := r.options.Timing.ElectionSpread; spread > 0 {
		wait = time.Duration(r.options.Random.Int64N(int64(spread)))
	}
	r.electionAt = max(now, r.promiseUntil) + wait
}

func (r *Replica) becomeFollower(now time.Duration, term uint64, leader identity.MemberKey) {
	if term > r.term {
		r.term = term
		r.votedFor = identity.MemberKey{}
	}
	r.role = Follower
	r.leader = leader
	r.followers = nil
	r.transferTo = nil
	r.resetElectionTimer(now)
}

func (r *Replica) adoptMembership(membership *wire.Membership, index uint64) {
	r.membership = membership
	r.membershipIndex = index
	if r.role != Leader {
		return
	}
	known := r.followers
	r.followers = make(map[identity.MemberKey]*progress)
	r.others(func(member *wire.Member) {
		key := identity.KeyOf(member)
		if known[key] != nil {
			r.followers[key] = known[key]
			return
		}
		r.followers[key] = &progress{member: member, next: r.log.lastIndex() + 1}
	})
}

// membershipAt returns the membership in force at a log position.
func (r *Replica) membershipAt(index uint64) *wire.Membership {
	for i := index; i > r.log.baseIndex; i-- {
		if membership := r.log.at(i).GetMembership(); membership != nil {
			return membership
		}
	}
	return r.baseMembership
}

func (r *Replica) applyUpTo(index uint64) {
	r.commit = max(r.commit, index)
	for r.applied < r.commit {
		r.applied++
		entry := r.log.at(r.applied)
		r.options.Machine.Apply(entry)
		r.committed = append(r.committed, entry)
	}
	if r.applied-r.log.baseIndex > 2*compactAfter {
		r.baseMembership = r.membershipAt(r.applied - compactAfter)
		r.log.compact(r.applied - compactAfter)
	}
}
