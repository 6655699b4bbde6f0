package shardmanager

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/micahaven/micahaven/internal/periodic"
	"github.com/micahaven/micahaven/internal/topo"
)

// sinceRenewal returns the time since the lock was last certainly held.
func (t *term) sinceRenewal() time.Duration { return t.manager.config.Clock() - t.renewedAt }

// connectedBy returns the time by which the connections that carry grants must have been open. Without
// the lock, a successor may move a range and its former owner may restart, which then knows no fence. A
// process that was running when no successor had begun has accepted the successor's fences since, and
// rejects lower ones. While the lock is certainly held, the time lies ahead, so that it withholds only
// grants that are sent after a suspension. The caller does not hold the mutex.
func (t *term) connectedBy() time.Duration {
	t.mutex.Lock()
	renewedAt := t.renewedAt
	t.mutex.Unlock()
	certainUntil := renewedAt + lockRenewInterval + renewTimeout
	switch {
	case t.manager.config.Clock() < certainUntil:
		return certainUntil
	case t.manager.config.AgreedAt == nil:
		return renewedAt
	default:
		return max(renewedAt, t.manager.config.AgreedAt())
	}
}

// renewLock renews the lock periodically and ends the term when the lock is certainly lost.
func (t *term) renewLock(ctx context.Context) {
	wait := lockRenewInterval
	for {
		periodic.Pause(ctx, wait)
		if ctx.Err() != nil {
			return
		}
		sentAt := t.manager.config.Clock()
		bounded, cancel := context.WithTimeout(ctx, renewTimeout)
		err := t.manager.config.Store.KeepLease(bounded, t.lock.lease)
		cancel()
		wait = lockRenewInterval
		if err != nil {
			wait = renewRetryPause
		}
		if t.lockVoid() {
			// The lock is void, whatever the store reports about its lease.
			err, wait = topo.ErrRestored, lockRenewInterval
		}
		t.mutex.Lock()
		failed := err != nil
		if failed != t.storeFailed {
			t.manager.logger.Info("manager's store connectivity changed", zap.Bool("lost", failed), zap.Error(err))
		}
		t.storeFailed = failed
		if err == nil {
			t.renewedAt = sentAt
		}
		expired := t.sinceRenewal() > outageAuthority
		t.mutex.Unlock()
		if errors.Is(err, topo.ErrLeaseEnded) || expired {
			t.manager.logger.Warn("manager lock lost", zap.Uint64("epoch", t.epoch), zap.Error(err))
			t.endTerm()
			return
		}
	}
}
