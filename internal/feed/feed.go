// Package feed decides from which source a node receives the changes of the store. One node, the
// root, watches the store; the zone heads follow the root, and all other nodes follow a head of
// their zone, so that the number of store calls does not grow with the number of nodes. A node that
// loses its upstream tries another one first and goes to the store only if that fails as well:
// otherwise all followers of a lost node would go to the store at the same moment.
//
// The package is a pure state machine: messages, changes and ticks are its input; messages and
// batches to apply are its output. It performs no I/O, reads no clock, and must be driven by one
// goroutine at a time.
//
// Invariant (freshness): a node that does not watch the store itself has a copy that was confirmed
// as current within maxConfirmationAge plus its fallback delay, which is 0 for heads and in small
// systems. It holds because Watching is computed from that age, and
// because the arrival of a message never resets the age: a heartbeat carries the age measured by
// the sender's own clock, and the follower adds the time since the heartbeat arrived. A node whose
// upstreams are stopped, frozen, partitioned, or cut off from the store therefore goes back to the
// store on its own, without agreement between nodes.
package feed

import (
	"time"

	"github.com/micahaven/micahaven/internal/topo"
)

const (
	// heartbeatInterval is the time between two heartbeats to a follower.
	heartbeatInterval = 200 * time.Millisecond
	// followInterval is the time between two follow requests.
	followInterval = 400 * time.Millisecond
	// firstFollowInterval is the same until the upstream answers: requests sent while the
	// connection to it is being established are lost.
	firstFollowInterval = 100 * time.Millisecond
	// resyncInterval is the minimum time between two requests for missed changes. It is normally
	// longer than the messages that were sent before the first request take to arrive.
	resyncInterval = 150 * time.Millisecond
	// followerTimeout is how long changes are sent to a follower that has stopped sending follow
	// requests.
	followerTimeout = 1500 * time.Millisecond
	// heartbeatTimeout is the time without a heartbeat or changes after which an upstream counts as
	// lost.
	heartbeatTimeout = 650 * time.Millisecond
	// maxConfirmationAge is the maximum age of the last confirmation of this node's copy.
	maxConfirmationAge = 1600 * time.Millisecond
	// headSwitchAge and switchAge are the confirmation ages from which a head and any other node,
	// respectively, look for an upstream with a newer confirmation. The root confirms within
	// confirmInterval plus the duration of a call; heads switch first, so that the confirmation
	// they find reaches their followers before these switch too.
	headSwitchAge = 1100 * time.Millisecond
	switchAge     = 1350 * time.Millisecond
	// nextUpstreamTimeout is how long a node waits for the first heartbeat of an upstream that it
	// selected because the previous one failed.
	nextUpstreamTimeout = 400 * time.Millisecond
	// upstreamBackoff is how long an upstream that failed is not selected while there are others.
	upstreamBackoff = 5 * time.Second
	// maxUpstreamFailures is how many upstreams have to fail before a node goes to the store.
	maxUpstreamFailures = 2
	// maxLag is how long a node may stay behind its upstream's copy before it watches the store.
	maxLag = 400 * time.Millisecond
	// firstUpstreamTimeout is how long a node waits for the first heartbeat of its upstream, while
	// none has failed yet, before it selects the next one or, without another one, watches the
	// store itself.
	firstUpstreamTimeout = 500 * time.Millisecond
	// confirmInterval is the confirmation age at which the root reads the store's revision. Each
	// further head that watches the store waits confirmStagger longer, because the first one
	// informs the others.
	confirmInterval = 600 * time.Millisecond
	confirmStagger  = 150 * time.Millisecond
	// maxStaggerSteps bounds the number of confirmStagger steps, so that every head reads the
	// revision within maxConfirmationAge.
	maxStaggerSteps = 4
	// minOutageThreshold is the confirmation age from which the store counts as unavailable to a node
	// that turns to it without a delay. Server entries expire only after several missed heartbeats.
	minOutageThreshold = 1800 * time.Millisecond
	// reregistrationGrace is the time after an outage of the store within which live servers have
	// registered again.
	reregistrationGrace = 2 * time.Second
	// defaultMaxCopyAge is the default of the age set by SetMaxCopyAge.
	defaultMaxCopyAge = 2 * time.Second
	// maxLogBytes limits the log of changes that all followers have; maxUnconfirmedLogBytes limits
	// it while a follower has not confirmed some of them. changeOverheadBytes is what each change
	// counts in addition to its value or delta.
	maxLogBytes            = 256 << 10
	maxUnconfirmedLogBytes = 8 << 20
	changeOverheadBytes    = 64
	// largeBatchBytes is the size of a batch from which it delays the heartbeats behind it.
	largeBatchBytes = 32 << 10
)

// Message is a message from one node to another. Exactly one field besides To is set.
type Message struct {
	// To is the receiver's address.
	To        string
	Follow    *Follow
	Heartbeat *Heartbeat
	Batch     *topo.Batch
}

// Follow asks a node to send changes as they occur. Messages between two nodes arrive in order
// unless they are lost, so changes that were sent are sent again only if the follower asks for them.
type Follow struct {
	// Revision is the revision of the follower's copy.
	Revision int64
	// Request numbers the follower's requests for lost changes. A new number asks for all changes
	// after Revision; 0, from nodes that do not number their requests, always does.
	Request uint32
}

// Heartbeat reports how current the sender's copy is.
type Heartbeat struct {
	Revision int64
	// ConfirmedAge is the time since the store was last known to have nothing newer.
	ConfirmedAge time.Duration
	// Request is the number of the receiver's last request that the sender has answered. All changes
	// up to Revision that the request asks for were sent before this heartbeat.
	Request uint32
}

// follower is the state of a node that has asked this one for changes.
type follower struct {
	lastRequestAt time.Duration
	// request is the number of the last request for lost changes.
	request uint32
	// confirmedRevision is the revision that the follower is known to have reached, and sentRevision
	// the one up to which changes have been sent.
	confirmedRevision, sentRevision int64
	// nextHeartbeatAt is when the next heartbeat is due.
	nextHeartbeatAt time.Duration
}

// Feed is the state of one node. All times are offsets on the node's own clock.
type Feed struct {
	self  Member
	heads []Member
	// watchPriority holds the heads in the order in which they watch the store; the first one is
	// the root.
	watchPriority []Member
	upstream      Member
	following     bool
	// upstreams are the nodes that this one may follow, most preferred first; backoffUntil holds,
	// by address, until when an upstream that failed is not selected.
	upstreams    []Member
	backoffUntil map[string]time.Duration
	// reselectAt is when the choice of the upstream is reconsidered, so that a preferred one that
	// failed is tried again.
	reselectAt time.Duration
	// failures counts the upstreams that failed since the last heartbeat with a recent
	// confirmation; failedAt is when the last of the first maxUpstreamFailures ones failed.
	failures int
	failedAt time.Duration
	// maxCopyAge is the confirmation age at which the node falls back to watching the store, at the
	// latest, and fallbackDelay how much longer than a head it waits for other nodes.
	maxCopyAge, fallbackDelay time.Duration
	// head is true if this node sends changes to the nodes of its zone, root if it watches the
	// store for all nodes.
	head, root bool

	// revision is the revision of this node's copy; log holds the most recent changes to it, and
	// logBytes their size.
	revision int64
	log      []topo.Batch
	logBytes int

	// confirmedAt is when the store was last known to have nothing newer than this copy; it is
	// valid if confirmed is set.
	confirmedAt time.Duration
	confirmed   bool
	// relayConfirmedAt is the confirmation time that this node advertises to heads; it is valid if
	// relayConfirmed is set. It comes from the node's own store calls and, unless the node is the
	// root, from its upstream. Confirmations obtained by the heads after it in watchPriority are
	// not sent back to them: they would rely on each other, and none would ask the store.
	relayConfirmedAt time.Duration
	relayConfirmed   bool

	// storeRecoveredAt is when the store was confirmed again after an outage; it is valid if
	// storeRecovered is set.
	storeRecovered   bool
	storeRecoveredAt time.Duration

	// hasCopy is true once this node's copy is complete.
	hasCopy bool
	// bootstrapPeer is the node that supplied this one's first copy, if any; it is followed until
	// registered nodes are known.
	bootstrapPeer *Member

	// upstreamSince is when this node selected its upstream, and lastMessageAt when a heartbeat or
	// changes arrived from it. The next fields describe the last heartbeat from it.
	upstreamSince     time.Duration
	lastMessageAt     time.Duration
	heartbeatReceived bool
	upstreamRevision  int64
	// upstreamConfirmedAt is when the store was last known to have nothing newer than the
	// upstream's copy.
	upstreamConfirmedAt time.Duration
	behindSince         time.Duration
	behind              bool
	// request is the number of the last request for lost changes, and answeredRequest the one that
	// the upstream has answered. While they differ, the changes asked for are in transit.
	request, answeredRequest uint32

	// nextFollowAt is when the next follow request is sent, and nextResyncAt the earliest time of
	// the next request for missed changes.
	nextFollowAt time.Duration
	nextResyncAt time.Duration
	followers    map[string]*follower
}

// New returns the feed of a node that has not discovered any other node.
func New(self Member) *Feed {
	return &Feed{
		self: self, head: true, root: true, maxCopyAge: defaultMaxCopyAge,
		followers: make(map[string]*follower), backoffUntil: make(map[string]time.Duration),
	}
}

// SetMaxCopyAge sets the confirmation age of the copy at which this node falls back to watching the
// store, at the latest. It takes effect at the next SetMembers.
func (f *Feed) SetMaxCopyAge(age time.Duration) { f.maxCopyAge = age }

// SetMembers sets the registered nodes.
func (f *Feed) SetMembers(now time.Duration, members []Member) {
	ranked := Rank(members)
	f.heads = headsOf(ranked)
	f.watchPriority = watchOrder(f.heads)
	root, _ := first(f.watchPriority)
	f.root = len(members) == 0 && f.bootstrapPeer == nil || root.Name == f.self.Name
	f.head = f.root || positionOf(f.self, f.heads) >= 0
	f.fallbackDelay = f.computeFallbackDelay(len(members))
	switch {
	case f.root:
		f.upstreams = withoutSelf(f.self, f.watchPriority)
	case len(members) == 0:
		f.upstreams = []Member{*f.bootstrapPeer}
	default:
		f.upstreams = upstreamsOf(f.self, f.watchPriority)
	}
	f.selectUpstream(now)
}

// SetBootstrapPeer sets the node that supplies this one's first copy.
func (f *Feed) SetBootstrapPeer(now time.Duration, bootstrapPeer Member) {
	f.bootstrapPeer = &bootstrapPeer
	if len(f.heads) == 0 {
		f.SetMembers(now, nil)
	}
}

// Heads returns the nodes that send changes to the nodes of their zones.
func (f *Feed) Heads() []Member { return f.heads }

// Root reports whether this node watches the store for all others.
func (f *Feed) Root() bool { return f.root && len(f.heads) > 0 }

// ConfirmedAge returns the time since the store was last known to have nothing newer than this
// node's copy, and false if it was never confirmed.
func (f *Feed) ConfirmedAge(now time.Duration) (time.Duration, bool) {
	return f.confirmedAge(now), f.confirmed
}

// confirmedAge returns the time since the last confirmation, or an hour if there was none.
func (f *Feed) confirmedAge(now time.Duration) time.Duration {
	const never = time.Hour
	if !f.confirmed {
		return never
	}
	return now - f.confirmedAt
}

// ConfirmationDue reports whether this node has to read the store's revision now, to detect that
// its watch has missed changes.
func (f *Feed) ConfirmationDue(now time.Duration) bool {
	if !f.ComparesRevision(now) {
		return false
	}
	steps := 0
	if index := positionOf(f.self, f.watchPriority); index >= 0 {
		// Heads that come earlier in the order replace the root first.
		steps = index
	}
	return f.confirmedAge(now) > confirmInterval+time.Duration(min(steps, maxStaggerSteps))*confirmStagger
}

// Confirm records that the store answered this node and had a revision at the given time. It
// reports whether this node's copy has reached that revision.
func (f *Feed) Confirm(at time.Duration, revision int64) bool {
	return f.confirm(at, revision, true)
}

// ConfirmFromPeer records that another node read the store's revision and announced it. It reports
// whether this node's copy has reached that revision.
func (f *Feed) ConfirmFromPeer(at time.Duration, revision int64) bool {
	return f.confirm(at, revision, false)
}

func (f *Feed) confirm(at time.Duration, revision int64, relay bool) bool {
	if f.revision < revision {
		return false
	}
	if relay && (!f.relayConfirmed || at > f.relayConfirmedAt) {
		f.relayConfirmed, f.relayConfirmedAt = true, at
	}
	if f.confirmed && at-f.confirmedAt > f.outageThreshold() {
		f.storeRecovered, f.storeRecoveredAt = true, at
	}
	if f.confirmed && at-f.confirmedAt > headSwitchAge {
		// Send heartbeats at once, so that followers need not look for an upstream with a newer
		// confirmation.
		for _, known := range f.followers {
			known.nextHeartbeatAt = 0
		}
	}
	if !f.confirmed || at > f.confirmedAt {
		f.confirmed, f.confirmedAt = true, at
	}
	return true
}

// LapsedUntil returns until when entries that are now found missing may be written again, because
// the store was unavailable until recently. It returns false if this node has no record of an
// outage.
func (f *Feed) LapsedUntil(now time.Duration) (time.Duration, bool) {
	switch {
	case !f.confirmed:
		return 0, false
	case f.confirmedAge(now) > f.outageThreshold():
		// The change that is being applied is the first sign of the store since then.
		return now + reregistrationGrace, true
	default:
		until := f.storeRecoveredAt + reregistrationGrace
		return until, f.storeRecovered && now < until
	}
}

// Restored records that the store was restored from an older copy: entries written since that copy
// are missing until their servers write them again.
func (f *Feed) Restored(now time.Duration) { f.storeRecovered, f.storeRecoveredAt = true, now }

// Changed records a change of this node's copy, the first time when the copy is complete, and
// returns the messages to its followers.
func (f *Feed) Changed(now time.Duration, batch topo.Batch) []Message {
	f.hasCopy = true
	if batch.Revision <= f.revision {
		return nil
	}
	if batch.After > f.revision {
		// The changes in between are not known to this node.
		f.log, f.logBytes = nil, 0
	}
	messages := f.heartbeatsBefore(now, batch)
	f.revision = batch.Revision
	f.log = append(f.log, withoutValues(batch))
	f.logBytes += batchSize(batch)
	f.trimLog()
	f.updateLag(now)
	for address := range f.followers {
		messages = f.appendUnsent(messages, address)
	}
	return messages
}

// Step processes a message from the node with the given address. It returns the messages to send
// and the changes to apply to this node's copy, if any.
func (f *Feed) Step(now time.Duration, from string, message Message) ([]Message, *topo.Batch) {
	switch {
	case message.Follow != nil:
		return f.handleFollow(now, from, message.Follow), nil
	case message.Heartbeat != nil:
		return f.handleHeartbeat(now, from, message.Heartbeat), nil
	case message.Batch != nil:
		return f.handleBatch(now, from, message.Batch)
	}
	return nil, nil
}

// Tick advances the feed to the given time and returns the messages that are due.
func (f *Feed) Tick(now time.Duration) []Message {
	var messages []Message
	if f.following && f.hasCopy && f.upstreamFailed(now) {
		f.abandonUpstream(now)
	} else if f.root || now >= f.reselectAt {
		// A preferred upstream may have become usable again. The root follows an upstream only
		// while the store does not answer it, so it reconsiders on every tick.
		f.reselectAt = now + upstreamBackoff
		f.selectUpstream(now)
	}
	if f.following && f.hasCopy && now >= f.nextFollowAt {
		f.nextFollowAt = now + f.followDelay()
		messages = append(messages, f.followMessage())
	}
	servesFollowers := f.servesFollowers(now)
	for address, known := range f.followers {
		if !servesFollowers || now-known.lastRequestAt > followerTimeout {
			delete(f.followers, address)
			continue
		}
		messages = f.appendDueHeartbeat(messages, now, address)
	}
	return messages
}
