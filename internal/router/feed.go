package router

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/micahaven/micahaven/internal/feed"
	"github.com/micahaven/micahaven/internal/topo"
	"github.com/micahaven/micahaven/internal/transport"
	"github.com/micahaven/micahaven/internal/view"
	"github.com/micahaven/micahaven/internal/wire"
)

const (
	// feedTick is the interval between two ticks of the feed.
	feedTick = 50 * time.Millisecond
	// fallbackInterval is the mean interval between two comparisons with the store's revision
	// by any of the nodes that watch the store because they lost their upstream.
	fallbackInterval = time.Second
)

// changeFeed drives the state machine of package feed with this node's messages and clock. It
// implements mirror.Observer. Its mutex is acquired while the mirror's is held, so the mirror
// must not be called with it held. Messages are queued under the mutex: a heartbeat that overtakes
// the changes it reports makes followers request them again.
type changeFeed struct {
	client *transport.Client
	logger *zap.Logger
	start  time.Time

	mutex    sync.Mutex
	core     *feed.Feed
	watching bool
}

func newChangeFeed(self view.Node, client *transport.Client, logger *zap.Logger) *changeFeed {
	return &changeFeed{client: client, logger: logger, start: time.Now(), core: feed.New(memberOf(self)), watching: true}
}

// setMaxCopyAge sets the age that the copy of the store may reach. It must be called before the feed
// runs.
func (c *changeFeed) setMaxCopyAge(age time.Duration) { c.core.SetMaxCopyAge(age) }

func memberOf(node view.Node) feed.Member {
	return feed.Member{Name: node.Name, Zone: node.Zone, Address: node.Address, Share: node.Share}
}

func (c *changeFeed) now() time.Duration { return time.Since(c.start) }

// updateMembers passes the registered nodes of a view to the feed.
func (c *changeFeed) updateMembers(current *view.View) {
	if current.Unchanged.Nodes {
		return
	}
	members := make([]feed.Member, 0, current.Nodes.Len())
	for _, node := range current.Nodes.All() {
		members = append(members, memberOf(node))
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.core.SetMembers(c.now(), members)
}

// Changed implements mirror.Observer.
func (c *changeFeed) Changed(batch topo.Batch) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.send(c.core.Changed(c.now(), batch))
}

// Restored implements mirror.Observer.
func (c *changeFeed) Restored() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.core.Restored(c.now())
}

// Confirmed implements mirror.Observer.
func (c *changeFeed) Confirmed(at time.Time, revision int64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.core.Confirm(at.Sub(c.start), revision)
}

// ConfirmedByPeer implements mirror.Observer.
func (c *changeFeed) ConfirmedByPeer(at time.Time, revision int64) { c.confirmFromPeer(at, revision) }

// confirmFromPeer records that another node read the store's revision at a point in time. It
// reports whether this node's copy has reached that revision.
func (c *changeFeed) confirmFromPeer(at time.Time, revision int64) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.core.ConfirmFromPeer(at.Sub(c.start), revision)
}

// Watching implements mirror.Observer.
func (c *changeFeed) Watching() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.core.Watching(c.now())
}

// lapsedUntil implements view.Lapse.
func (c *changeFeed) lapsedUntil() (time.Time, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	until, lapsed := c.core.LapsedUntil(c.now())
	return c.start.Add(until), lapsed
}

// lateness implements view.Lateness.
func (c *changeFeed) lateness() time.Duration {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.core.Lateness(c.now())
}

// step handles another node's message and returns the changes to apply, if any.
func (c *changeFeed) step(from string, message feed.Message) *topo.Batch {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	before := c.core.Requests()
	messages, batch := c.core.Step(c.now(), from, message)
	c.send(messages)
	if requests := c.core.Requests(); requests != before {
		missedChangesTotal.Inc()
		c.logger.Info("changes lost in transit, requested again", zap.String("upstream", from), zap.Uint32("request", requests))
	}
	return batch
}

// tick sends the messages that are due and updates whether the node has to watch the store.
func (c *changeFeed) tick() {
	c.mutex.Lock()
	now := c.now()
	c.send(c.core.Tick(now))
	reason := c.core.WatchReason(now)
	watching := reason != feed.ReasonNone
	changed := watching != c.watching
	c.watching = watching
	upstream, following := c.core.Upstream()
	compares := c.core.ComparesRevision(now)
	age, _ := c.core.ConfirmedAge(now)
	c.mutex.Unlock()
	if !changed {
		return
	}
	feedChangesTotal.WithLabelValues(reason.String()).Inc()
	c.logger.Info("source of changes switched", zap.Bool("store", watching), zap.Stringer("reason", reason), zap.Duration("copy_age", age),
		zap.Bool("compares", compares), zap.Bool("following", following), zap.String("upstream", upstream.Name))
}

// schedule implements mirror.Schedule: the root compares its copy and notifies the heads; other
// nodes that have to watch the store compare at an interval that grows with the number of
// nodes.
func (c *changeFeed) schedule(nodes int) (time.Duration, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := c.now()
	if c.core.ComparesRevision(now) {
		return feedTick, c.core.ConfirmationDue(now)
	}
	if !c.core.Watching(now) {
		return fallbackInterval, false
	}
	return fallbackInterval * time.Duration(max(1, nodes)), true
}

// confirmedAge returns how long ago this node's copy was confirmed to be the newest revision of
// the store; false if it was never confirmed.
func (c *changeFeed) confirmedAge() (time.Duration, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.core.ConfirmedAge(c.now())
}

// setBootstrapPeer records which node this one got its copy from.
func (c *changeFeed) setBootstrapPeer(peer feed.Member) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.core.SetBootstrapPeer(c.now(), peer)
}

// root reports whether this node watches the store on behalf of all others.
func (c *changeFeed) root() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.core.Root()
}

// headMembers returns the nodes that relay changes to their zones.
func (c *changeFeed) headMembers() []feed.Member {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.core.Heads()
}

func (c *changeFeed) heads() []string {
	heads := c.headMembers()
	addresses := make([]string, 0, len(heads))
	for _, head := range heads {
		addresses = append(addresses, head.Address)
	}
	return addresses
}

func (c *changeFeed) followers() []string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.core.Followers()
}

// send queues messages in order. It does not block. The caller holds the mutex.
func (c *changeFeed) send(messages []feed.Message) {
	for _, message := range messages {
		c.client.Send(message.To, encodeMessage(message))
	}
}

func encodeMessage(message feed.Message) *wire.Envelope {
	switch {
	case message.Follow != nil:
		return &wire.Envelope{Body: &wire.Envelope_FollowRequest{FollowRequest: &wire.FollowRequest{
			Revision: message.Follow.Revision, Request: message.Follow.Request,
		}}}
	case message.Heartbeat != nil:
		return &wire.Envelope{Body: &wire.Envelope_FeedHeartbeat{FeedHeartbeat: &wire.FeedHeartbeat{
			Revision:           message.Heartbeat.Revision,
			ConfirmedAgeMillis: uint32(message.Heartbeat.ConfirmedAge.Milliseconds()),
			Request:            message.Heartbeat.Request,
		}}}
	default:
		encoded := &wire.ChangeBatch{After: message.Batch.After, Revision: message.Batch.Revision, Difference: message.Batch.Difference}
		for _, event := range message.Batch.Events {
			encoded.Changes = append(encoded.Changes, encodeChange(event))
		}
		return &wire.Envelope{Body: &wire.Envelope_ChangeBatch{ChangeBatch: encoded}}
	}
}

func decodeFollow(received *wire.FollowRequest) *feed.Follow {
	return &feed.Follow{Revision: received.GetRevision(), Request: received.GetRequest()}
}

func decodeHeartbeat(received *wire.FeedHeartbeat) *feed.Heartbeat {
	return &feed.Heartbeat{
		Revision:     received.GetRevision(),
		ConfirmedAge: time.Duration(received.GetConfirmedAgeMillis()) * time.Millisecond,
		Request:      received.GetRequest(),
	}
}

func decodeBatch(received *wire.ChangeBatch) *topo.Batch {
	batch := &topo.Batch{After: received.GetAfter(), Revision: received.GetRevision(), Difference: received.GetDifference()}
	for _, change := range received.GetChanges() {
		batch.Events = append(batch.Events, decodeChange(change))
	}
	return batch
}

// encodeChange returns the wire form of a change, which omits the value if there is a delta.
func encodeChange(event topo.Event) *wire.StoreItem {
	encoded := &wire.StoreItem{
		Key: event.Key, Value: event.Value, Revision: event.Revision, Lease: int64(event.Lease), Deleted: event.Deleted,
		Delta: event.Delta, BaseRevision: event.BaseRevision,
	}
	if event.Delta != nil {
		encoded.Value = nil
	}
	return encoded
}

func decodeChange(received *wire.StoreItem) topo.Event {
	return topo.Event{
		Item: decodeItem(received), Deleted: received.GetDeleted(),
		Delta: received.GetDelta(), BaseRevision: received.GetBaseRevision(),
	}
}

func decodeItem(received *wire.StoreItem) topo.Item {
	return topo.Item{
		Key: received.GetKey(), Value: received.GetValue(), Revision: received.GetRevision(), Lease: topo.LeaseID(received.GetLease()),
	}
}
