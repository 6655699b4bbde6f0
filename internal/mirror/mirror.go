// Package mirror keeps a local copy of the store's keys by listing them once and
// watching for changes.
package mirror

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/micahaven/micahaven/internal/periodic"
	"github.com/micahaven/micahaven/internal/topo"
)

const (
	// watchTimeout is how long a watch call waits for changes. A watch whose connection was lost
	// unnoticed is detected sooner by the node's heartbeat, which calls Resume.
	watchTimeout  = 15 * time.Second
	minRetryDelay = 150 * time.Millisecond
	// maxRetryDelay limits the delay after repeated failures: each call has a cost, refused ones
	// included, and meanwhile other nodes send the changes.
	maxRetryDelay = 1200 * time.Millisecond
	// batchDelay is the delay after a watch that returned changes, so that changes that occur close
	// together are returned by one call.
	batchDelay = 200 * time.Millisecond
	// backlogEvents is the number of changes from which a watch is repeated without a delay: the
	// store has more to report than fits into one result.
	backlogEvents = 300
	// maxWatchDelay is the maximum delay with which a working watch normally reports a change.
	maxWatchDelay = batchDelay + 150*time.Millisecond
	// followPollInterval is how often the mirror checks whether it has to watch the store.
	followPollInterval = 50 * time.Millisecond
)

// Receiver applies changes. It is called by one goroutine at a time.
type Receiver interface {
	// Replace sets the complete contents.
	Replace(items []topo.Item, revision int64)
	// Apply applies changes in order.
	Apply(events []topo.Event, revision int64)
}

// Observer is notified of changes and confirmations of the mirror, and decides whether the mirror
// watches the store.
type Observer interface {
	// Changed is called with each change of the copy, in order, while the mirror's lock is held.
	Changed(batch topo.Batch)
	// Restored is called before the first change of a new era. The store was restored from an older
	// copy, so keys may be missing for a short time.
	Restored()
	// Confirmed is called when the store reported to this node that it had a revision at the given
	// time, ConfirmedByPeer when another node reported it. The mirror's lock is held for the
	// confirmation of a copy that has just been loaded: no reader sees that copy before.
	Confirmed(at time.Time, revision int64)
	ConfirmedByPeer(at time.Time, revision int64)
	// Watching reports whether the mirror has to watch the store. Otherwise changes arrive through
	// ApplyBatch.
	Watching() bool
}

// standalone is the default observer, with which the mirror always watches the store, and the
// default source of copies, which supplies none.
type standalone struct{}

func (standalone) Changed(topo.Batch)               {}
func (standalone) Restored()                        {}
func (standalone) Confirmed(time.Time, int64)       {}
func (standalone) ConfirmedByPeer(time.Time, int64) {}
func (standalone) Watching() bool                   { return true }

func (standalone) Copy(context.Context, int64) (Copy, bool) { return Copy{}, false }

// Mirror maintains the local copy of the store. The copy never goes back to an older revision.
type Mirror struct {
	store    topo.Store
	receiver Receiver
	observer Observer
	copies   Copies
	logger   *zap.Logger

	mutex sync.Mutex
	// items are the keys as of revision, and pushed holds newer items that were received through
	// ApplyPushed since. Changes are sent to followers as deltas of items, which are the same on all
	// nodes at a given revision, and not of pushed items, which only some nodes have.
	items    map[string]topo.Item
	pushed   map[string]topo.Item
	revision int64
	// deletions are the deletions that led to the copy.
	deletions Deletions
	// synced is true once the copy is complete.
	synced bool
	// relistRevision is a revision that the store has and the watch did not bring; the copy is
	// loaded again until it has reached it. 0 means that no list is needed.
	relistRevision int64
	// watchRevision is a revision that the store has and the copy lacks. Until it is reached the
	// node watches the store, whatever the observer says.
	watchRevision int64
	// unreachable is true while the store does not answer this node.
	unreachable atomic.Bool
	// era is the era of the store that was logged last.
	era atomic.Int64
	// cancelWatch cancels the current watch call.
	cancelWatch context.CancelFunc
	// catchingUp is true while a call of CatchUp acts.
	catchingUp bool
	// lastProgress is when a part of the result of a watch arrived last, in nanoseconds after
	// createdAt.
	lastProgress atomic.Int64
	createdAt    time.Time
	// loadingSince is when the pending load of the whole copy became necessary; it is valid while
	// one is pending.
	loadingSince time.Time
}

// New returns a mirror without a copy. It has no observer and no source of copies besides the
// store.
func New(store topo.Store, receiver Receiver, logger *zap.Logger) *Mirror {
	return &Mirror{store: store, receiver: receiver, observer: standalone{}, copies: standalone{}, logger: logger, items: make(map[string]topo.Item), pushed: make(map[string]topo.Item), createdAt: time.Now(), loadingSince: time.Now()}
}

// SetObserver sets the observer. It must be called before Run.
func (m *Mirror) SetObserver(observer Observer) { m.observer = observer }

// SetCopySource sets the source of copies on other nodes. It must be called before Run.
func (m *Mirror) SetCopySource(copies Copies) { m.copies = copies }

// Run keeps the copy up to date until the context ends.
func (m *Mirror) Run(ctx context.Context) error {
	retry := minRetryDelay
	for ctx.Err() == nil {
		if m.fedByPeers() {
			m.unreachable.Store(false)
			retry = minRetryDelay
			periodic.Pause(ctx, followPollInterval)
			continue
		}
		err := m.syncOnce(ctx)
		m.recordEra()
		switch {
		case err == nil:
			if m.unreachable.Swap(false) {
				m.logger.Info("store reachable again", zap.Int64("revision", m.Revision()))
			}
			retry = minRetryDelay
			continue
		case errors.Is(err, topo.ErrCompacted):
			m.logger.Info("watch history compacted, reloading copy", zap.Int64("revision", m.Revision()))
			m.scheduleRelist(m.Revision() + 1)
			continue
		case errors.Is(err, topo.ErrRestored):
			m.logger.Warn("store restored from an older copy, reloading copy", zap.Int64("revision", m.Revision()), zap.Int64("era", m.store.Era()))
			m.scheduleRelist(topo.RevisionIn(m.store.Era(), 0))
			continue
		case errors.Is(err, context.Canceled):
			continue
		case !m.unreachable.Swap(true):
			m.logger.Warn("store unreachable", zap.Int64("revision", m.Revision()), zap.Error(err))
		}
		m.pauseWithinEra(ctx, retry)
		retry = min(2*retry, maxRetryDelay)
	}
	return nil
}

// pauseWithinEra waits after a failed call, but returns early once another call has shown that the
// store answers in a new era.
func (m *Mirror) pauseWithinEra(ctx context.Context, length time.Duration) {
	era := m.store.Era()
	for end := time.Now().Add(length); ctx.Err() == nil && m.store.Era() == era; {
		left := time.Until(end)
		if left <= 0 {
			return
		}
		periodic.Pause(ctx, min(left, followPollInterval))
	}
}

// recordEra logs a change of the store's era and sets the metric.
func (m *Mirror) recordEra() {
	era := m.store.Era()
	if before := m.era.Swap(era); before != era {
		eraGauge.Set(float64(era))
		m.logger.Info("store era changed", zap.Int64("era", era), zap.Int64("before", before), zap.Int64("revision", m.Revision()))
	}
}

// fedByPeers reports whether changes arrive through ApplyBatch instead of a watch.
func (m *Mirror) fedByPeers() bool {
	return !m.needsList() && !m.needsWatch() && !m.observer.Watching()
}

func (m *Mirror) needsList() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return !m.synced || m.relistRevision > 0
}

// Resume cancels a watch that may have been cut off, so that the changes since then are requested
// at once. A watch whose result is arriving continues.
func (m *Mirror) Resume() {
	if m.sinceProgress() > maxWatchDelay {
		m.restart()
	}
}

// restart cancels the current watch.
func (m *Mirror) restart() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.cancelWatch != nil {
		m.cancelWatch()
	}
}

// StoreUnreachable reports whether the store is not answering this node.
func (m *Mirror) StoreUnreachable() bool { return m.unreachable.Load() }

// Revision returns the revision of the store that the copy reflects.
func (m *Mirror) Revision() int64 {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.revision
}

// Inspect calls inspect with the revision of the copy. The copy does not change during the call, and
// the observer has been notified of that revision.
func (m *Mirror) Inspect(inspect func(revision int64)) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	inspect(m.revision)
}

// Size returns the number of keys in the copy.
func (m *Mirror) Size() int {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return len(m.items)
}

// Snapshot returns all items and their revision, and false before the first complete copy.
func (m *Mirror) Snapshot() ([]topo.Item, int64, bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	items := make([]topo.Item, 0, len(m.items))
	for _, item := range m.items {
		items = append(items, item)
	}
	return items, m.revision, m.synced
}

// Export returns the copy for other nodes, and false before the first complete one.
func (m *Mirror) Export() (Copy, bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	items := slices.Collect(maps.Values(m.items))
	deletions := Deletions{Since: m.deletions.Since, Events: slices.Clone(m.deletions.Events)}
	return Copy{Items: items, Revision: m.revision, Deletions: deletions}, m.synced
}

// noteRevision updates the state that depends on the copy's revision. The caller holds the mutex.
func (m *Mirror) noteRevision() {
	if m.revision >= m.relistRevision {
		m.relistRevision = 0
	}
	revisionGauge.Set(float64(m.revision))
}

func (m *Mirror) syncOnce(ctx context.Context) error {
	m.mutex.Lock()
	revision := m.revision
	watch, cancel := context.WithCancel(topo.WithProgress(ctx, m.noteProgress))
	m.cancelWatch = cancel
	m.mutex.Unlock()
	defer cancel()
	if m.needsList() {
		return m.list(ctx)
	}
	events, at, err := m.store.Watch(watch, "", revision, watchTimeout)
	countCall("watch", err)
	if err != nil {
		// While the store does not answer, the missing revision can only come from other nodes.
		m.clearWatchRevision()
		if watch.Err() != nil && ctx.Err() == nil {
			return errors.Mark(err, context.Canceled)
		}
		return err
	}
	if missing := countMissing(events, revision, at); missing > 0 {
		m.logger.Warn("watch skipped revisions, reloading copy",
			zap.Int64("after", revision), zap.Int64("revision", at), zap.Int64("missing", missing))
		m.scheduleRelist(at)
		return nil
	}
	m.ApplyBatch(topo.Batch{After: revision, Revision: at, Events: events})
	m.observer.Confirmed(time.Now(), at)
	m.noteProgress()
	if len(events) > 0 && len(events) < backlogEvents {
		periodic.Pause(ctx, batchDelay)
	}
	return nil
}

// ApplyPushed applies an item that a node has just written and that was sent here directly, before the
// watch reports it. The copy's revision does not change; the watch reports the same change later.
// It returns the change with its value and, if it is small enough, its delta, and reports whether
// the change was new.
func (m *Mirror) ApplyPushed(event topo.Event) (topo.Event, bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	current, wasPushed := m.pushed[event.Key]
	if !wasPushed {
		current = m.items[event.Key]
	}
	if !m.synced || current.Revision >= event.Revision || event.Revision <= m.revision {
		return event, false
	}
	resolved, complete := resolveFrom(current, event)
	if !complete && wasPushed {
		resolved, complete = resolveFrom(m.items[event.Key], event)
	}
	if !complete {
		return event, false
	}
	m.pushed[event.Key] = resolved.Item
	m.receiver.Apply([]topo.Event{{Item: resolved.Item}}, m.revision)
	return resolved, true
}

// ApplyBatch applies the changes between two revisions, from the store or from another node. It does
// nothing if the copy has not reached the first revision, or is not the one that the batch needs.
func (m *Mirror) ApplyBatch(batch topo.Batch) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if !m.synced || batch.Revision < m.revision || batch.After > m.revision {
		return
	}
	if batch.CrossesEras() && batch.After != m.revision {
		// Changes in this copy after the first revision of the batch may be lost in the new era.
		m.scheduleRelistLocked(batch.Revision)
		return
	}
	if batch.NeedsExactCopy() && batch.After != m.revision {
		return
	}
	fresh, complete := m.resolve(batch.Events)
	if !complete {
		m.logger.Warn("cannot apply delta of a change, reloading copy", zap.Int64("revision", m.revision))
		m.scheduleRelistLocked(batch.Revision)
		return
	}
	for _, event := range fresh {
		if event.Deleted {
			delete(m.items, event.Key)
			continue
		}
		m.items[event.Key] = event.Item
	}
	if batch.NeedsExactCopy() {
		m.deletions = unknownBefore(batch.Revision)
	} else {
		m.deletions.record(fresh)
	}
	after := m.revision
	m.revision = batch.Revision
	if batch.CrossesEras() {
		m.beginEra()
	}
	m.noteRevision()
	if applicable := m.applicable(fresh); len(applicable) > 0 {
		m.receiver.Apply(applicable, batch.Revision)
	}
	if batch.Revision > after {
		m.observer.Changed(topo.Batch{After: after, Revision: batch.Revision, Events: fresh, Difference: batch.Difference})
	}
}

// beginEra drops items that were pushed in earlier eras and notifies the observer. The caller holds
// the mutex.
func (m *Mirror) beginEra() {
	m.dropOutdatedPushed()
	m.observer.Restored()
}

// dropOutdatedPushed drops pushed items that are not newer than the copy's revision. The caller
// holds the mutex.
func (m *Mirror) dropOutdatedPushed() {
	for key, item := range m.pushed {
		if item.Revision <= m.revision {
			delete(m.pushed, key)
		}
	}
}

// applicable returns the changes that are not older than the pushed item of their key, and drops
// these pushed items. The caller holds the mutex.
func (m *Mirror) applicable(events []topo.Event) []topo.Event {
	applicable := make([]topo.Event, 0, len(events))
	for _, event := range events {
		if m.pushed[event.Key].Revision > event.Revision {
			continue
		}
		delete(m.pushed, event.Key)
		applicable = append(applicable, event)
	}
	return applicable
}
