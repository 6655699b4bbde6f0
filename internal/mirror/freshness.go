package mirror

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/micahaven/micahaven/internal/periodic"
	"github.com/micahaven/micahaven/internal/topo"
)

// Schedule returns how long to wait before the next comparison with the store's revision, and
// whether to make it then.
type Schedule func() (pause time.Duration, compare bool)

// CheckFreshness compares the copy with the store's revision until the context ends, because a
// watch may be cut off, or miss changes, without an error. It calls onRevision with each revision
// read from the store, before this node has caught up with it.
func (m *Mirror) CheckFreshness(ctx context.Context, schedule Schedule, onRevision func(revision int64)) error {
	for {
		// Without a copy there is nothing to compare, and the first list makes the comparison that
		// is due at that time unnecessary. Otherwise every node would read the revision once when a
		// whole system starts.
		hadCopy := m.hasCopy()
		pause, compare := schedule()
		spread := 0.8 + 0.4*rand.Float64()
		periodic.Pause(ctx, time.Duration(spread*float64(pause)))
		if ctx.Err() != nil {
			return nil
		}
		if !compare || !hadCopy {
			continue
		}
		sentAt := time.Now()
		current, err := m.store.Revision(ctx)
		countCall("revision", err)
		if err != nil {
			periodic.Pause(ctx, maxRetryDelay/2)
			continue
		}
		m.observer.Confirmed(sentAt, current)
		onRevision(current)
		if topo.EraOf(current) > topo.EraOf(m.Revision()) {
			// A watch cannot continue into another era.
			m.scheduleRelist(current)
			m.restart()
			continue
		}
		m.CatchUp(ctx, current)
	}
}

func (m *Mirror) hasCopy() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.synced
}

func (m *Mirror) clearWatchRevision() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.watchRevision = 0
}

// restartWatch requests the changes up to a revision with a new watch.
func (m *Mirror) restartWatch(revision int64) {
	m.mutex.Lock()
	m.watchRevision = max(m.watchRevision, revision)
	m.mutex.Unlock()
	m.restart()
}

func (m *Mirror) needsWatch() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.watchRevision > m.revision
}

// countMissing returns how many revisions are missing from the result of a watch of all keys: each
// revision changes at least one key.
func countMissing(events []topo.Event, after, at int64) int64 {
	seen := make(map[int64]struct{}, len(events))
	for _, event := range events {
		seen[event.Revision] = struct{}{}
	}
	return at - after - int64(len(seen))
}
