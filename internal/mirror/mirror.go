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
	batchPause = 350 * time.Millisecond
	// freshnessInterval is the mean pause between two comparisons of any node
	// with the store's revision; freshnessSlack is how much later a watch may
	// tell of a change.
	freshnessInterval = time.Second
	freshnessSlack    = 600 * time.Millisecond
)

// Receiver takes in changes. It is called by one goroutine at a time.
type Receiver interface {
	// Replace takes a complete copy.
	Replace(items []topo.Item, revision int64)
	// Apply takes changes in order.
	Apply(events []topo.Event, revision int64)
}

// Mirror follows the store. Its copy never goes back to an older revision.
type Mirror struct {
	store    topo.Store
	receiver Receiver
	logger   *zap.Logger

	mutex    sync.Mutex
	items    map[string]topo.Item
	revision int64
	listed   bool
	// lost is true while the store does not answer this node.
	lost atomic.Bool
	// cancelWatch ends the watch that is waiting.
	cancelWatch context.CancelFunc
}

// New returns a mirror that has nothing yet.
func New(store topo.Store, receiver Receiver, logger *zap.Logger) *Mirror {
	return &Mirror{store: store, receiver: receiver, logger: logger, items: make(map[string]topo.Item)}
}

// Run follows the store until the context ends.
func (m *Mirror) Run(ctx context.Context) error {
	retry := retryPause
	for ctx.Err() == nil {
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
			m.forceList()
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

func (m *Mirror) forceList() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.listed = false
}

func (m *Mirror) step(ctx context.Context) error {
	m.mutex.Lock()
	listed, revision := m.listed, m.revision
	watch, cancel := context.WithCancel(ctx)
	m.cancelWatch = cancel
	m.mutex.Unlock()
	defer cancel()
	if !listed {
		items, at, err := m.store.List(ctx, "")
		countCall("list", err)
		if err != nil {
			return err
		}
		m.Adopt(items, at)
		return nil
	}
	events, at, err := m.store.Watch(watch, "", revision, watchWait)
	countCall("watch", err)
	if err != nil {
		if watch.Err() != nil && ctx.Err() == nil {
			return errors.Mark(err, context.Canceled)
		}
		return err
	}
	if missing := gaps(events, revision, at); missing > 0 {
		m.logger.Warn("watch passed over changes, listing again",
			zap.Int64("after", revision), zap.Int64("revision", at), zap.Int64("missing", missing))
		m.forceList()
		return nil
	}
	m.apply(events, at)
	if len(events) > 0 {
		periodic.Pause(ctx, batchPause)
	}
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

// CheckFreshness compares the copy with the store's revision until the context
// ends: a watch may be cut off, or stay silent although there were changes,
// without an error. The pause between two comparisons grows with the number of
// nodes, which tell each other what they find through behind.
func (m *Mirror) CheckFreshness(ctx context.Context, nodes func() int, behind func(revision int64)) error {
	for {
		spread := 0.5 + rand.Float64()
		periodic.Pause(ctx, time.Duration(spread*float64(max(1, nodes()))*float64(freshnessInterval)))
		if ctx.Err() != nil {
			return nil
		}
		current, err := m.store.Revision(ctx)
		countCall("revision", err)
		if err == nil && m.CatchUp(ctx, current) {
			behind(current)
		}
	}
}

// CatchUp makes sure that the copy reaches a revision that the store surely had.
// It reports whether the watch had missed it.
func (m *Mirror) CatchUp(ctx context.Context, revision int64) bool {
	if revision <= m.Revision() {
		return false
	}
	// Give the watch the time that it normally takes.
	periodic.Pause(ctx, freshnessSlack)
	seen := m.Revision()
	if seen >= revision || ctx.Err() != nil {
		return false
	}
	m.logger.Warn("watch is silent, listing again", zap.Int64("revision", seen), zap.Int64("store", revision))
	m.forceList()
	m.Resume()
	return true
}

// Offer takes one item that another node has just written, ahead of the watch.
// The copy's revision stays: the watch tells of the same change later.
func (m *Mirror) Offer(item topo.Item) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if !m.listed || m.items[item.Key].Revision >= item.Revision || item.Revision <= m.revision {
		return
	}
	m.items[item.Key] = item
	m.receiver.Apply([]topo.Event{{Item: item}}, m.revision)
}

// Adopt takes a complete copy, from the store or from another node, unless this
// one is newer.
func (m *Mirror) Adopt(items []topo.Item, revision int64) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if revision < m.revision {
		m.listed = true
		return
	}
	m.items = make(map[string]topo.Item, len(items))
	for _, item := range items {
		m.items[item.Key] = item
	}
	m.revision = revision
	m.listed = true
	revisionSeen.Set(float64(revision))
	m.receiver.Replace(items, revision)
}

func (m *Mirror) apply(events []topo.Event, revision int64) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if revision < m.revision {
		return
	}
	fresh := events[:0]
	for _, event := range events {
		// A listing is no snapshot: it may hold later changes than the revision
		// that the watch continues from.
		if m.items[event.Key].Revision > event.Revision {
			continue
		}
		fresh = append(fresh, event)
		if event.Deleted {
			delete(m.items, event.Key)
			continue
		}
		m.items[event.Key] = event.Item
	}
	m.revision = revision
	revisionSeen.Set(float64(revision))
	if len(fresh) > 0 {
		m.receiver.Apply(fresh, revision)
	}
}
