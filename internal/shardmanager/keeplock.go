package shardmanager

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/micahaven/micahaven/internal/periodic"
	"github.com/micahaven/micahaven/internal/topo"
)

// unkept is how long ago the lock was last surely held.
func (t *term) unkept() time.Duration { return t.manager.config.Clock() - t.keptAt }

// keepLock renews the lock and ends the term when it is surely lost.
func (t *term) keepLock(ctx context.Context) {
	wait := lockKeep
	for {
		periodic.Pause(ctx, wait)
		if ctx.Err() != nil {
			return
		}
		sentAt := t.manager.config.Clock()
		bounded, cancel := context.WithTimeout(ctx, keepTimeout)
		err := t.manager.config.Store.KeepLease(bounded, t.lock.lease)
		cancel()
		wait = lockKeep
		if err != nil {
			wait = keepRetry
		}
		if t.lockVoid() {
			// Nothing that is said of the lease holds for the lock.
			err, wait = topo.ErrRestored, lockKeep
		}
		t.mutex.Lock()
		failed := err != nil
		if failed != t.storeFailed {
			t.manager.logger.Info("manager's store contact changed", zap.Bool("lost", failed), zap.Error(err))
		}
		t.storeFailed = failed
		if err == nil {
			t.keptAt = sentAt
		}
		expired := t.unkept() > outageAuthority
		t.mutex.Unlock()
		if errors.Is(err, topo.ErrLeaseGone) || expired {
			t.manager.logger.Warn("manager lock lost", zap.Uint64("epoch", t.epoch), zap.Error(err))
			t.ended()
			return
		}
	}
}
