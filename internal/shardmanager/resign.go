package shardmanager

import (
	"context"
	"time"

	"go.uber.org/zap"
)

const (
	// resignTimeout bounds how long a manager that steps down waits for its orders.
	resignTimeout = 1200 * time.Millisecond
	// orderGracePeriod is how much of resignTimeout passes before orders without a response are
	// cancelled: a release waits for running requests on its keys, which may take far longer.
	orderGracePeriod = 800 * time.Millisecond
)

// resign writes a map that declares that no more orders follow, so that the next manager need not
// wait for the orders of this one.
func (t *term) resign() {
	ctx, cancel := context.WithTimeout(context.Background(), resignTimeout)
	defer cancel()
	if !t.drainOrders(ctx) || !t.writeResignation(ctx) {
		t.manager.logger.Warn("manager stopped without resigning", zap.Uint64("epoch", t.epoch))
		return
	}
	t.mutex.Lock()
	t.resigned = true
	t.mutex.Unlock()
	t.manager.logger.Info("manager resigned", zap.Uint64("epoch", t.epoch))
}

// drainOrders waits until no orders are in flight, cancels those that take too long, and reports
// whether all have returned.
func (t *term) drainOrders(ctx context.Context) bool {
	done := make(chan struct{})
	go func() {
		t.inFlight.Wait()
		close(done)
	}()
	forceCancel := time.AfterFunc(orderGracePeriod, t.cancelOrders)
	defer forceCancel.Stop()
	select {
	case <-done:
		return true
	case <-ctx.Done():
		return false
	}
}

// writeResignation reports whether the store has the final state of this manager. A manager without
// a map has sent no orders, and the next manager could not decode a map without ranges, so in that
// case it writes nothing.
func (t *term) writeResignation(ctx context.Context) bool {
	t.mutex.Lock()
	if !t.core.Started() {
		t.mutex.Unlock()
		return true
	}
	t.core.Resign()
	commands := t.core.Tick(t.now())
	t.mutex.Unlock()
	return commands.Commit != nil && t.commit(ctx, commands.Commit.Map)
}
