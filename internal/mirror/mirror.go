// Package mirror keeps a local copy of the store's keys by listing them once and
// watching for changes.
package mirror

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/micahaven/micahaven/internal/periodic"
	"github.com/micahaven/micahaven/internal/topo"
)

const (
	// watchWait is how long a watch waits. A watch that was cut off unnoticed is
	// found sooner by the node's heartbeat, which calls Resume.
	watchWait  = 15 * time.Second
	retryPause = 150 * time.Millisecond
	// maxRetryPause bounds the pause after repeated failures: each call costs,
	// refused ones too, and other nodes tell of changes meanwhile.
	maxRetryPause = 1200 * time.Millisecond
	// batchPause is the pause after changes, so that those that come together
	// are told of in one call.
	batchPause = 200 * time.Millisecond
	// freshnessSlack is how much later than a change a watch may tell of it.
	freshnessSlack = batchPause + 150*time.Millisecond
	// followPause is the pause between two looks at whether the copy has to be
	// kept by a watch.
	followPause = 50 * time.Millisecond
)

// Receiver takes in changes. It is called by one goroutine at a time.
type Receiver interface {
	// Replace takes a complete copy.
	Replace(items []topo.Item, revision int64)
	// Apply takes changes in order.
	Apply(events []topo.Event, revision int64)
}

// Observer is told what the mirror learns, and tells it whether to watch.
type Observer interface {
	// Changed is called with each change of the copy, in order, under the mirror's
	// lock.
	Changed(batch topo.Batch)
	// Confirmed is called when the store is known to have had a revision at a
	// moment.
	Confirmed(at time.Time, revision int64)
	// Watching reports whether the mirror has to watch the store. Otherwise
	// changes come through Take.
	Watching() bool
}

// Copy is a complete copy of the store at a revision.
type Copy struct {
	Items    []topo.Item
	Revision int64
	// ConfirmedAt is when the store surely had nothing newer.
	ConfirmedAt time.Time
}

// Copies gets copies of the store from other nodes, which spares the store a list.
type Copies interface {
	// Copy returns a copy at a revision or a later one, or false if no node gave one.
	Copy(ctx context.Context, atLeast int64) (Copy, bool)
}

// alone is the observer of a mirror that always watches, and its copies are none.
type alone struct{}

func (alone) Changed(topo.Batch)         {}
func (alone) Confirmed(time.Time, int64) {}
func (alone) Watching() bool             { return true }

func (alone) Copy(context.Context, int64) (Copy, bool) { return Copy{}, false }

// Mirror follows the store. Its copy never goes back to an older revision.
type Mirror struct {
	store    topo.Store
	receiver Receiver
	observer Observer
	copies   Copies
	logger   *zap.Logger

	mutex sync.Mutex
	items map[string]topo.Item
	// offered holds the deltas of items that came ahead of the watch.
	offered  map[string]offeredDelta
	revision int64
	// listed is true once the copy is complete.
	listed bool
	// wanted is a revision that the store has and that the watch did not bring; the
	// copy is made anew until it has reached it. 0 means none.
	wanted int64
	// awaited is a revision that the store has and that the copy lacks: until it is
	// reached the node watches the store, whatever the observer says.
	awaited int64
	// lost is true while the store does not answer this node.
	lost atomic.Bool
	// cancelWatch ends the watch that is waiting.
	cancelWatch context.CancelFunc
}

// New returns a mirror that has nothing yet.
func New(store topo.Store, receiver Receiver, logger *zap.Logger) *Mirror {
	return &Mirror{store: store, receiver: receiver, observer: alone{}, copies: alone{}, logger: logger, items: make(map[string]topo.Item), offered: make(map[string]offeredDelta)}
}

// Observe sets the observer. It must be called before Run.
func (m *Mirror) Observe(observer Observer) { m.observer = observer }

// TakeFrom sets where copies come from. It must be called before Run.
func (m *Mirror) TakeFrom(copies Copies) { m.copies = copies }

// Run follows the store until the context ends.
func (m *Mirror) Run(ctx context.Context) error {
	retry := retryPause
	for ctx.Err() == nil {
		if m.follows() {
			m.lost.Store(false)
			retry = retryPause
			periodic.Pause(ctx, followPause)
			continue
		}
		err := m.step(ctx)
		switch {
		case err == nil:
			if m.lost.Swap(false) {
				m.logger.Info("store regained", zap.Int64("revision", m.Revision()))
			}
			retry = retryPause
			continue
		case errors.Is(err, topo.ErrCompacted):
			m.logger.Info("history compacted, listing again", zap.Int64("revision", m.Revision()))
			m.listAgain(m.Revision() + 1)
			continue
		case errors.Is(err, context.Canceled):
			continue
		case !m.lost.Swap(true):
			m.logger.Warn("store lost", zap.Int64("revision", m.Revision()), zap.Error(err))
		}
		periodic.Pause(ctx, retry)
		retry = min(2*retry, maxRetryPause)
	}
	return nil
}

// follows reports whether the copy is kept through Take instead of a watch.
func (m *Mirror) follows() bool { return !m.mustList() && !m.mustWatch() && !m.observer.Watching() }

func (m *Mirror) mustWatch() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.awaited > m.revision
}

func (m *Mirror) mustList() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return !m.listed || m.wanted > 0
}

// Resume ends a watch that may have been cut off and asks for the changes since
// then at once.
func (m *Mirror) Resume() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.cancelWatch != nil {
		m.cancelWatch()
	}
}

// Lost reports whether the store does not answer this node.
func (m *Mirror) Lost() bool { return m.lost.Load() }

// Revision returns the store's revision that the copy reflects.
func (m *Mirror) Revision() int64 {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.revision
}

// Size returns how many keys the copy has.
func (m *Mirror) Size() int {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return len(m.items)
}

// Snapshot returns all items and their revision, and false before the first list.
func (m *Mirror) Snapshot() ([]topo.Item, int64, bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	items := make([]topo.Item, 0, len(m.items))
	for _, item := range m.items {
		items = append(items, item)
	}
	return items, m.revision, m.listed
}

// listAgain makes the store be listed until the copy has reached a revision.
func (m *Mirror) listAgain(revision int64) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.wanted = max(m.wanted, revision)
}

// reached takes in that the copy is at its revision. The caller holds the mutex.
func (m *Mirror) reached() {
	if m.revision >= m.wanted {
		m.wanted = 0
	}
	revisionSeen.Set(float64(m.revision))
}

func (m *Mirror) step(ctx context.Context) error {
	m.mutex.Lock()
	revision := m.revision
	watch, cancel := context.WithCancel(ctx)
	m.cancelWatch = cancel
	m.mutex.Unlock()
	defer cancel()
	if m.mustList() {
		return m.list(ctx)
	}
	events, at, err := m.store.Watch(watch, "", revision, watchWait)
	countCall("watch", err)
	if err != nil {
		// Without the store, what is awaited can only come from other nodes.
		m.stopAwaiting()
		if watch.Err() != nil && ctx.Err() == nil {
			return errors.Mark(err, context.Canceled)
		}
		return err
	}
	if missing := gaps(events, revision, at); missing > 0 {
		m.logger.Warn("watch passed over changes, listing again",
			zap.Int64("after", revision), zap.Int64("revision", at), zap.Int64("missing", missing))
		m.listAgain(at)
		return nil
	}
	m.Take(topo.Batch{After: revision, Revision: at, Events: events})
	m.observer.Confirmed(time.Now(), at)
	if len(events) > 0 {
		periodic.Pause(ctx, batchPause)
	}
	return nil
}

// list makes the copy anew: from another node if one has what is wanted, because a
// list takes a call for each page of keys, and otherwise from the store.
func (m *Mirror) list(ctx context.Context) error {
	m.mutex.Lock()
	wanted := m.wanted
	m.mutex.Unlock()
	copied, found := m.copies.Copy(ctx, wanted)
	countCopy(found)
	if !found {
		return m.listStore(ctx)
	}
	m.logger.Info("copy taken from another node", zap.Int64("revision", copied.Revision), zap.Int("items", len(copied.Items)),
		zap.Duration("confirmed_ago", time.Since(copied.ConfirmedAt)))
	m.Adopt(copied.Items, copied.Revision)
	m.observer.Confirmed(copied.ConfirmedAt, copied.Revision)
	return nil
}

func (m *Mirror) listStore(ctx context.Context) error {
	sentAt := time.Now()
	items, at, err := m.store.List(ctx, "")
	countCall("list", err)
	if err != nil {
		return err
	}
	m.Adopt(items, at)
	m.mutex.Lock()
	m.wanted = 0
	m.mutex.Unlock()
	m.observer.Confirmed(sentAt, at)
	return nil
}

// gaps returns how many revisions a watch of all keys passed over: each revision
// is a change of at least one key.
func gaps(events []topo.Event, after, at int64) int64 {
	seen := make(map[int64]struct{}, len(events))
	for _, event := range events {
		seen[event.Revision] = struct{}{}
	}
	return at - after - int64(len(seen))
}

// Schedule says how long to wait before the next comparison with the store's
// revision, and whether to make it then.
type Schedule func() (pause time.Duration, compare bool)

// CheckFreshness compares the copy with the store's revision until the context
// ends: a watch may be cut off, or stay silent although there were changes,
// without an error. It passes each revision that the store had to found, before
// this node has caught up with it.
func (m *Mirror) CheckFreshness(ctx context.Context, schedule Schedule, found func(revision int64)) error {
	for {
		pause, compare := schedule()
		spread := 0.8 + 0.4*rand.Float64()
		periodic.Pause(ctx, time.Duration(spread*float64(pause)))
		if ctx.Err() != nil {
			return nil
		}
		if !compare {
			continue
		}
		sentAt := time.Now()
		current, err := m.store.Revision(ctx)
		countCall("revision", err)
		if err != nil {
			periodic.Pause(ctx, maxRetryPause/2)
			continue
		}
		m.observer.Confirmed(sentAt, current)
		found(current)
		m.CatchUp(ctx, current)
	}
}

// CatchUp makes sure that the copy reaches a revision that the store surely had. What
// does not come by itself is asked for with a new watch, and if that brings nothing
// either, the copy is made anew. It reports whether that had to be done.
func (m *Mirror) CatchUp(ctx context.Context, revision int64) bool {
	if revision <= m.Revision() {
		return false
	}
	// Give the watch the time that it normally takes.
	periodic.Pause(ctx, freshnessSlack)
	if m.Revision() >= revision || ctx.Err() != nil {
		return false
	}
	m.watchAgain(revision)
	periodic.Pause(ctx, freshnessSlack)
	seen := m.Revision()
	if seen >= revision || ctx.Err() != nil {
		return false
	}
	m.logger.Warn("watch is silent, listing again", zap.Int64("revision", seen), zap.Int64("store", revision))
	m.listAgain(revision)
	m.Resume()
	return true
}

func (m *Mirror) stopAwaiting() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.awaited = 0
}

// watchAgain asks the store for the changes up to a revision with a new watch.
func (m *Mirror) watchAgain(revision int64) {
	m.mutex.Lock()
	m.awaited = max(m.awaited, revision)
	m.mutex.Unlock()
	m.Resume()
}

// Offer takes one item that a node has just written, ahead of the watch. The
// copy's revision stays: the watch tells of the same change later. It returns the
// change with its value and, if that is worth it, its delta, and reports whether
// it was new.
func (m *Mirror) Offer(event topo.Event) (topo.Event, bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	own := m.items[event.Key]
	if !m.listed || own.Revision >= event.Revision || event.Revision <= m.revision {
		return event, false
	}
	resolved, complete := m.valueOf(own, event)
	if !complete {
		return event, false
	}
	m.items[event.Key] = resolved.Item
	m.offered[event.Key] = offeredDelta{revision: resolved.Revision, base: resolved.BaseRevision, delta: resolved.Delta}
	m.receiver.Apply([]topo.Event{{Item: resolved.Item}}, m.revision)
	return resolved, true
}

// Adopt takes a complete copy, from the store or from another node, unless this
// one is newer.
func (m *Mirror) Adopt(items []topo.Item, revision int64) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if revision < m.revision {
		return
	}
	adopted := make(map[string]topo.Item, len(items))
	for _, item := range items {
		adopted[item.Key] = item
	}
	batch := topo.Batch{After: m.revision, Revision: revision, Events: difference(m.items, adopted, revision)}
	first := !m.listed
	m.items = adopted
	m.revision = revision
	m.listed = true
	m.reached()
	if first {
		m.receiver.Replace(items, revision)
	} else {
		// Most entries are as they were; decoding all again would take a small
		// machine some hundred milliseconds.
		m.receiver.Apply(batch.Events, revision)
	}
	m.observer.Changed(batch)
}

// difference returns the changes that lead from one copy to another, which
// reflects a revision.
func difference(before, after map[string]topo.Item, revision int64) []topo.Event {
	var events []topo.Event
	for key, item := range after {
		if before[key].Revision != item.Revision {
			events = append(events, withDelta(before[key], topo.Event{Item: item}))
		}
	}
	for key := range before {
		if _, present := after[key]; !present {
			events = append(events, topo.Event{Item: topo.Item{Key: key, Revision: revision}, Deleted: true})
		}
	}
	return events
}

// Take takes all changes between two revisions, from the store or from another
// node. It does nothing if the copy has not reached the first of them.
func (m *Mirror) Take(batch topo.Batch) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if !m.listed || batch.Revision < m.revision || batch.After > m.revision {
		return
	}
	fresh, complete := m.resolve(batch.Events)
	if !complete {
		m.logger.Warn("change cannot be made from its delta, listing again", zap.Int64("revision", m.revision))
		m.wanted = max(m.wanted, batch.Revision)
		return
	}
	for _, event := range fresh {
		if event.Deleted {
			delete(m.items, event.Key)
			continue
		}
		m.items[event.Key] = event.Item
	}
	after := m.revision
	m.revision = batch.Revision
	m.reached()
	if len(fresh) > 0 {
		m.receiver.Apply(fresh, batch.Revision)
	}
	if batch.Revision > after {
		m.observer.Changed(topo.Batch{After: after, Revision: batch.Revision, Events: fresh})
	}
}
