package mirror

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/micahaven/micahaven/internal/periodic"
)

const (
	// listDelayPerKey is added to the timeout of a new watch for each key of the copy, because loading
	// the copy again costs the store and this node the more, the more keys there are.
	listDelayPerKey = 100 * time.Microsecond
	// maxTimeoutFactor bounds, in timeouts, how long a copy may stay at its revision while parts of
	// results arrive.
	maxTimeoutFactor = 4
)

// CatchUp ensures that the copy reaches a revision that the store is known to have had. Changes
// of which nothing arrives in time are requested with a new watch; if that does not bring them
// either, the copy is loaded again. It reports whether it had to be loaded again. Only one call
// acts at a time, and none while the copy is being loaded, because each would cancel what the
// others have requested; the other calls return false at once.
func (m *Mirror) CatchUp(ctx context.Context, revision int64) bool {
	if !m.beginCatchUp(revision) {
		return false
	}
	defer m.endCatchUp()
	if !m.stalls(ctx, revision, maxWatchDelay) {
		return false
	}
	m.restartWatch(revision)
	if !m.stalls(ctx, revision, maxWatchDelay+time.Duration(m.Size())*listDelayPerKey) {
		return false
	}
	m.logger.Warn("watch did not report a known revision, reloading copy", zap.Int64("revision", m.Revision()), zap.Int64("store", revision))
	m.scheduleRelist(revision)
	m.restart()
	return true
}

// beginCatchUp reports whether the caller is to act for the copy to reach a revision.
func (m *Mirror) beginCatchUp(revision int64) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if revision <= m.revision || m.catchingUp || !m.synced || m.relistRevision > 0 {
		return false
	}
	m.catchingUp = true
	return true
}

func (m *Mirror) endCatchUp() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.catchingUp = false
}

// stalls waits for the copy to reach a revision. It returns true once nothing has arrived within the
// timeout, neither from the store nor from other nodes, or the copy has not changed for
// maxTimeoutFactor times as long.
func (m *Mirror) stalls(ctx context.Context, revision int64, timeout time.Duration) bool {
	seen, seenAt := m.Revision(), time.Now()
	for {
		periodic.Pause(ctx, followPollInterval)
		current := m.Revision()
		switch {
		case current >= revision || ctx.Err() != nil:
			return false
		case current > seen:
			seen, seenAt = current, time.Now()
		case time.Since(seenAt) <= timeout:
		case m.sinceProgress() > timeout, time.Since(seenAt) > maxTimeoutFactor*timeout:
			return true
		}
	}
}

// Loading reports whether a load of the whole copy has been pending for longer than the given time.
func (m *Mirror) Loading(longerThan time.Duration) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return (!m.synced || m.relistRevision > 0) && time.Since(m.loadingSince) > longerThan
}

// noteProgress records that a part of the result of a watch has arrived.
func (m *Mirror) noteProgress() { m.lastProgress.Store(int64(time.Since(m.createdAt))) }

// sinceProgress returns how long ago the last part of the result of a watch arrived.
func (m *Mirror) sinceProgress() time.Duration {
	return time.Since(m.createdAt) - time.Duration(m.lastProgress.Load())
}
