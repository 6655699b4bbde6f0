// Package mirror keeps a local copy of the store's keys by listing them once and
// watching for changes.
package mirror

import (
	"context"
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
	// Restored is called before the first change of a new era: the store was restored from
	// an older copy, so that keys may be missing for a moment.
	Restored()
	// Confirmed is called when the store told this node that it had a revision at a
	// moment, and Told when another node did.
	Confirmed(at time.Time, revision int64)
	Told(at time.Time, revision int64)
	// Watching reports whether the mirror has to watch the store. Otherwise
	// changes come through Take.
	Watching() bool
}

// alone is the observer of a mirror that always watches, and its copies are none.
type alone struct{}

func (alone) Changed(topo.Batch)         {}
func (alone) Restored()                  {}
func (alone) Confirmed(time.Time, int64) {}
func (alone) Told(time.Time, int64)      {}
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
	// items are the keys as of revision, and ahead those that were offered since and are
	// newer. Changes are passed on as deltas of items, because all nodes have the same
	// ones at a revision, and not of what some of them were offered.
	items    map[string]topo.Item
	ahead    map[string]topo.Item
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
	// era is the store's era that was logged last.
	era atomic.Int64
	// cancelWatch ends the watch that is waiting.
	cancelWatch context.CancelFunc
}

// New returns a mirror that has nothing yet.
func New(store topo.Store, receiver Receiver, logger *zap.Logger) *Mirror {
	return &Mirror{store: store, receiver: receiver, observer: alone{}, copies: alone{}, logger: logger, items: make(map[string]topo.Item), ahead: make(map[string]topo.Item)}
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
		m.logEra()
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
		case errors.Is(err, topo.ErrRestored):
			m.logger.Warn("store restored from an older copy, listing again", zap.Int64("revision", m.Revision()), zap.Int64("era", m.store.Era()))
			m.listAgain(topo.RevisionIn(m.store.Era(), 0))
			continue
		case errors.Is(err, context.Canceled):
			continue
		case !m.lost.Swap(true):
			m.logger.Warn("store lost", zap.Int64("revision", m.Revision()), zap.Error(err))
		}
		m.pauseInEra(ctx, retry)
		retry = min(2*retry, maxRetryPause)
	}
	return nil
}

// pauseInEra pauses after a failed call, but no longer than until another call has shown that
// the store answers in a new era.
func (m *Mirror) pauseInEra(ctx context.Context, length time.Duration) {
	era := m.store.Era()
	for end := time.Now().Add(length); ctx.Err() == nil && m.store.Era() == era; {
		left := time.Until(end)
		if left <= 0 {
			return
		}
		periodic.Pause(ctx, min(left, followPause))
	}
}

// logEra logs a new era of the store.
func (m *Mirror) logEra() {
	era := m.store.Era()
	if before := m.era.Swap(era); before != era {
		eraSeen.Set(float64(era))
		m.logger.Info("store era", zap.Int64("era", era), zap.Int64("before", before), zap.Int64("revision", m.Revision()))
	}
}

// follows reports whether the copy is kept through Take instead of a watch.
func (m *Mirror) follows() bool { return !m.mustList() && !m.mustWatch() && !m.observer.Watching() }

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

// Offer takes one item that a node has just written, ahead of the watch. The
// copy's revision stays: the watch tells of the same change later. It returns the
// change with its value and, if that is worth it, its delta, and reports whether
// it was new.
func (m *Mirror) Offer(event topo.Event) (topo.Event, bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	own, offered := m.ahead[event.Key]
	if !offered {
		own = m.items[event.Key]
	}
	if !m.listed || own.Revision >= event.Revision || event.Revision <= m.revision {
		return event, false
	}
	resolved, complete := valueFrom(own, event)
	if !complete && offered {
		resolved, complete = valueFrom(m.items[event.Key], event)
	}
	if !complete {
		return event, false
	}
	m.ahead[event.Key] = resolved.Item
	m.receiver.Apply([]topo.Event{{Item: resolved.Item}}, m.revision)
	return resolved, true
}

// Take takes all changes between two revisions, from the store or from another
// node. It does nothing if the copy has not reached the first of them.
func (m *Mirror) Take(batch topo.Batch) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if !m.listed || batch.Revision < m.revision || batch.After > m.revision {
		return
	}
	if batch.CrossesEras() && batch.After != m.revision {
		// What this copy has beyond the batch's beginning may be lost in the new era.
		m.wanted = max(m.wanted, batch.Revision)
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
	if batch.CrossesEras() {
		m.beginEra()
	}
	m.reached()
	if news := m.news(fresh); len(news) > 0 {
		m.receiver.Apply(news, batch.Revision)
	}
	if batch.Revision > after {
		m.observer.Changed(topo.Batch{After: after, Revision: batch.Revision, Events: fresh})
	}
}

// beginEra drops what was offered in earlier eras. The caller holds the mutex.
func (m *Mirror) beginEra() {
	m.dropOffered()
	m.observer.Restored()
}

// dropOffered drops what was offered before the copy's revision. The caller holds the mutex.
func (m *Mirror) dropOffered() {
	for key, offered := range m.ahead {
		if offered.Revision <= m.revision {
			delete(m.ahead, key)
		}
	}
}

// news returns those of some changes that are no older than what was offered of their
// keys. What was offered is not ahead any more then. The caller holds the mutex.
func (m *Mirror) news(events []topo.Event) []topo.Event {
	news := make([]topo.Event, 0, len(events))
	for _, event := range events {
		if m.ahead[event.Key].Revision > event.Revision {
			continue
		}
		delete(m.ahead, event.Key)
		news = append(news, event)
	}
	return news
}
