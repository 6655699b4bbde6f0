// Package feed decides from where a node learns of changes in the store. One node,
// the root, watches the store; the heads of the zones follow it, and all others
// follow a head of their zone, so that the number of calls to the store does not
// grow with the number of nodes. A node whose upstream is lost tries another one, and
// goes to the store only if that fails as well: otherwise all followers of a lost
// node would go there at the same moment.
//
// It is a pure state machine: messages, changes and ticks go in, messages and
// changes to apply come out. There is neither I/O nor a clock inside, and it must
// be driven by one goroutine at a time.
//
// Invariant (freshness): a node that does not watch the store itself has a copy that
// was confirmed within maxAge. It holds because Watching is computed from that age,
// and because an age is never renewed by a message: a heartbeat carries the age that
// the sender's own clock measured, and the follower adds the time since it arrived.
// A node whose upstreams are stopped, frozen, cut off, or cut off from the store
// therefore goes back to the store by itself, without any agreement on who does what.
package feed

import (
	"time"

	"github.com/micahaven/micahaven/internal/topo"
)

const (
	// heartbeatInterval is the pause between two heartbeats to a follower.
	heartbeatInterval = 200 * time.Millisecond
	// followInterval is the pause between two requests to follow.
	followInterval = 400 * time.Millisecond
	// firstFollowInterval is that pause until the upstream answers: what is sent while
	// the connection to it is made is lost.
	firstFollowInterval = 100 * time.Millisecond
	// missedPause is the pause between two requests for changes that were missed: longer
	// than what was sent before the first one takes to arrive, as a rule.
	missedPause = 150 * time.Millisecond
	// followMemory is how long a follower that is not heard is still served.
	followMemory = 1500 * time.Millisecond
	// silence is after how long without a heartbeat an upstream counts as lost.
	silence = 650 * time.Millisecond
	// maxAge is how old the confirmation of this node's copy may be.
	maxAge = 1600 * time.Millisecond
	// headSwitchAge and switchAge are the ages from which a head, and any other node,
	// looks for an upstream with a newer confirmation. The root confirms within
	// confirmInterval and the time of a call; heads look first, so that what they
	// find reaches the others before these look for it too.
	headSwitchAge = 1100 * time.Millisecond
	switchAge     = 1350 * time.Millisecond
	// tryPatience is how long a node waits for a word of an upstream that it turned
	// to because the one before failed.
	tryPatience = 400 * time.Millisecond
	// avoidance is for how long an upstream that failed is not turned to if there are
	// others.
	avoidance = 5 * time.Second
	// triesBeforeStore is how many upstreams fail before a node goes to the store.
	triesBeforeStore = 2
	// lagLimit is how long a node may stay behind its upstream's copy.
	lagLimit = 400 * time.Millisecond
	// joinPatience is how long a node waits for the first heartbeat of an upstream
	// before it watches the store itself.
	joinPatience = 500 * time.Millisecond
	// confirmInterval is the age of its last confirmation at which the root asks the
	// store for its revision; each head that watches too waits for confirmStep
	// longer, because the first one tells the others.
	confirmInterval = 600 * time.Millisecond
	confirmStep     = 150 * time.Millisecond
	// confirmSteps bounds the steps, so that every head asks within maxAge.
	confirmSteps = 4
	// outageAge is the age of the last confirmation from which the store counts as
	// away: entries of its servers lapse only after several missed heartbeats.
	outageAge = 1800 * time.Millisecond
	// lapseGrace is within which time after the store's return live servers have
	// written their entries again.
	lapseGrace = 2 * time.Second
	// logLimit is how many bytes of changes are kept for followers that missed
	// some; changeBytes is what a change counts beside its value or delta.
	logLimit    = 256 << 10
	changeBytes = 64
)

// Message is what one node tells another. Exactly one field is set.
type Message struct {
	// To is the receiver's address.
	To        string
	Follow    *Follow
	Heartbeat *Heartbeat
	Batch     *topo.Batch
}

// Follow asks a node to pass changes after a revision on.
type Follow struct{ Revision int64 }

// Heartbeat tells how new the sender's copy is.
type Heartbeat struct {
	Revision int64
	// ConfirmedAge is how long ago the store surely had nothing newer.
	ConfirmedAge time.Duration
}

// follower is a node that asked this one to pass changes on.
type follower struct {
	askedAt time.Duration
	// sent is the revision up to which changes were passed on.
	sent int64
	// beatAt is when the next heartbeat is due.
	beatAt time.Duration
}

// Feed is the state of one node. Times are those of the node's own clock.
type Feed struct {
	self  Member
	heads []Member
	// order holds the heads in the order in which they are to watch the store; the
	// first one is the root.
	order     []Member
	upstream  Member
	following bool
	// upstreams are the nodes that this one may follow, the preferred one first;
	// avoided tells until when those that failed are not turned to, by address.
	upstreams []Member
	avoided   map[string]time.Duration
	// reviewAt is when an upstream that was left may be turned to again.
	reviewAt time.Duration
	// failures counts the upstreams that failed since one was of use.
	failures int
	// head is true if this node passes changes on to its zone, and root if it is to
	// watch the store.
	head, root bool

	// revision is that of this node's copy; log holds the last changes to it.
	revision int64
	log      []topo.Batch
	logged   int

	// confirmedAt is when the store surely had nothing newer than this copy.
	confirmedAt time.Duration
	confirmed   bool
	// passedAt is the same as this node tells it to heads: from its own calls to the
	// store, and from its upstream unless it is the root. What the heads behind it in the
	// order found out is not passed back to them: they would rely on each other, and none
	// would ask the store.
	passedAt time.Duration
	passes   bool

	// returnedAt is when the store was confirmed again after it had been away.
	returned   bool
	returnedAt time.Duration

	// joined is true once the copy is complete.
	joined bool
	// giver is the node that gave this one its first copy, if one did; it is followed
	// until registered nodes are known.
	giver *Member

	// upstreamSince is when this node began to follow its upstream; what follows
	// is what the upstream told last.
	upstreamSince    time.Duration
	heardAt          time.Duration
	heard            bool
	upstreamRevision int64
	// upstreamConfirmedAt is when the store surely had nothing newer than the
	// upstream's copy.
	upstreamConfirmedAt time.Duration
	behindSince         time.Duration
	behind              bool

	// followAt is when the upstream is asked next to pass changes on, and askMissedAt from
	// when it may be asked for those that were missed.
	followAt    time.Duration
	askMissedAt time.Duration
	followers   map[string]*follower
}

// New returns the feed of a node that knows no other one.
func New(self Member) *Feed {
	return &Feed{self: self, head: true, root: true, followers: make(map[string]*follower), avoided: make(map[string]time.Duration)}
}

// SetMembers takes in which nodes are registered.
func (f *Feed) SetMembers(now time.Duration, members []Member) {
	ranked := Rank(members)
	f.heads = headsOf(ranked)
	f.order = watchOrder(f.heads)
	root, _ := first(f.order)
	f.root = len(members) == 0 && f.giver == nil || root.Name == f.self.Name
	f.head = f.root || positionOf(f.self, f.heads) >= 0
	switch {
	case f.root:
		f.upstreams = withoutSelf(f.self, f.order)
	case len(members) == 0:
		f.upstreams = []Member{*f.giver}
	default:
		f.upstreams = upstreamsOf(f.self, f.order)
	}
	f.chooseUpstream(now)
}

// Given takes in which node gives this one its copy.
func (f *Feed) Given(now time.Duration, giver Member) {
	f.giver = &giver
	if len(f.heads) == 0 {
		f.SetMembers(now, nil)
	}
}

// Heads returns the nodes that pass changes on to their zones.
func (f *Feed) Heads() []Member { return f.heads }

// Root reports whether this node is to watch the store for all others.
func (f *Feed) Root() bool { return f.root && len(f.heads) > 0 }

// ConfirmedAge returns how long ago the store surely had nothing newer than this
// node's copy; false if that was never known.
func (f *Feed) ConfirmedAge(now time.Duration) (time.Duration, bool) {
	return f.confirmedAge(now), f.confirmed
}

// confirmedAge is how long ago the store surely had nothing newer.
func (f *Feed) confirmedAge(now time.Duration) time.Duration {
	const never = time.Hour
	if !f.confirmed {
		return never
	}
	return now - f.confirmedAt
}

// ConfirmationDue reports whether this node is to ask the store for its revision,
// to learn whether its watch has missed anything.
func (f *Feed) ConfirmationDue(now time.Duration) bool {
	if !f.Compares(now) {
		return false
	}
	steps := 0
	if index := positionOf(f.self, f.order); index >= 0 {
		// The heads next to the root take its place first.
		steps = index
	}
	return f.confirmedAge(now) > confirmInterval+time.Duration(min(steps, confirmSteps))*confirmStep
}

// Confirm takes in that the store answered this node and had a revision at a moment. It
// reports whether this node's copy had reached it.
func (f *Feed) Confirm(at time.Duration, revision int64) bool {
	return f.confirm(at, revision, true)
}

// ConfirmTold takes in that another node asked the store and told its revision. It
// reports whether this node's copy had reached it.
func (f *Feed) ConfirmTold(at time.Duration, revision int64) bool {
	return f.confirm(at, revision, false)
}

func (f *Feed) confirm(at time.Duration, revision int64, passOn bool) bool {
	if f.revision < revision {
		return false
	}
	if passOn && (!f.passes || at > f.passedAt) {
		f.passes, f.passedAt = true, at
	}
	if f.confirmed && at-f.confirmedAt > outageAge {
		f.returned, f.returnedAt = true, at
	}
	if f.confirmed && at-f.confirmedAt > headSwitchAge {
		// Followers that look for a newer confirmation need not any more.
		for _, known := range f.followers {
			known.beatAt = 0
		}
	}
	if !f.confirmed || at > f.confirmedAt {
		f.confirmed, f.confirmedAt = true, at
	}
	return true
}

// LapsedUntil tells until when entries that are found missing now may still come
// back, because the store was away until a moment ago; false if it was not, as far
// as this node knows.
func (f *Feed) LapsedUntil(now time.Duration) (time.Duration, bool) {
	switch {
	case !f.confirmed:
		return 0, false
	case f.confirmedAge(now) > outageAge:
		// The change that is being taken in is the first word since then.
		return now + lapseGrace, true
	default:
		until := f.returnedAt + lapseGrace
		return until, f.returned && now < until
	}
}

// Restored records that the store was restored from an older copy: entries that were written
// since are missing until their servers have written them again.
func (f *Feed) Restored(now time.Duration) { f.returned, f.returnedAt = true, now }

// Changed takes in that this node's copy changed, the first time that it is there
// at all, and returns what its followers have to be told.
func (f *Feed) Changed(now time.Duration, batch topo.Batch) []Message {
	f.joined = true
	if batch.Revision <= f.revision {
		return nil
	}
	if batch.After > f.revision {
		// What lies between is not known here.
		f.log, f.logged = nil, 0
	}
	f.revision = batch.Revision
	f.log = append(f.log, withoutValues(batch))
	f.logged += size(batch)
	for len(f.log) > 1 && f.logged > logLimit {
		f.logged -= size(f.log[0])
		f.log = f.log[1:]
	}
	f.updateBehind(now)
	var messages []Message
	for address := range f.followers {
		messages = f.passOn(messages, address)
	}
	return messages
}

// Step takes in a message from another node's address. It returns messages to
// send and the changes that this node's copy has to take, if any.
func (f *Feed) Step(now time.Duration, from string, message Message) ([]Message, *topo.Batch) {
	switch {
	case message.Follow != nil:
		return f.stepFollow(now, from, message.Follow), nil
	case message.Heartbeat != nil:
		f.stepHeartbeat(now, from, message.Heartbeat)
	case message.Batch != nil:
		return f.stepBatch(now, from, message.Batch)
	}
	return nil, nil
}

// Tick advances the feed to a moment and returns the messages that are due.
func (f *Feed) Tick(now time.Duration) []Message {
	var messages []Message
	if f.following && f.joined && f.upstreamFailed(now) {
		f.leaveUpstream(now)
	} else if f.root || now >= f.reviewAt {
		// An upstream that is preferred may be turned to again, and the root follows
		// one only while the store does not answer it.
		f.reviewAt = now + avoidance
		f.chooseUpstream(now)
	}
	if f.following && f.joined && now >= f.followAt {
		f.followAt = now + f.followPause()
		messages = append(messages, Message{To: f.upstream.Address, Follow: &Follow{Revision: f.revision}})
	}
	serves := f.serves(now)
	for address, known := range f.followers {
		if !serves || now-known.askedAt > followMemory {
			delete(f.followers, address)
			continue
		}
		messages = f.beat(messages, now, address)
	}
	return messages
}
