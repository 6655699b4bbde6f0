package mirror

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/micahaven/micahaven/internal/periodic"
	"github.com/micahaven/micahaven/internal/topo"
)

// Schedule says how long to wait before the next comparison with the store's
// revision, and whether to make it then.
type Schedule func() (pause time.Duration, compare bool)

// CheckFreshness compares the copy with the store's revision until the context
// ends: a watch may be cut off, or stay silent although there were changes,
// without an error. It passes each revision that the store had to found, before
// this node has caught up with it.
func (m *Mirror) CheckFreshness(ctx context.Context, schedule Schedule, found func(revision int64)) error {
	for {
		// Without a copy there is nothing to compare, and what is due then is done by the
		// first list: each node of a system that starts would ask once.
		known := m.hasCopy()
		pause, compare := schedule()
		spread := 0.8 + 0.4*rand.Float64()
		periodic.Pause(ctx, time.Duration(spread*float64(pause)))
		if ctx.Err() != nil {
			return nil
		}
		if !compare || !known {
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
		if topo.EraOf(current) > topo.EraOf(m.Revision()) {
			// No watch can bring it.
			m.listAgain(current)
			m.Resume()
			continue
		}
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

func (m *Mirror) hasCopy() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.listed
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

func (m *Mirror) mustWatch() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.awaited > m.revision
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
