package group

import (
	"context"

	"go.uber.org/zap"

	"github.com/micahaven/micahaven/internal/ownership"
)

// runCall sends one session message and hands the answer to the manager. It
// runs on a worker, without the mutex.
func (g *Group) runCall(call ownership.Call) {
	ctx, cancel := context.WithTimeout(context.Background(), g.settings.Ownership.CallTimeout)
	defer cancel()
	reply, err := g.deps.Backend.Session(ctx, call.Address, call.Message)
	g.mutex.Lock()
	defer g.mutex.Unlock()
	now := g.deps.Clock()
	if err != nil {
		sessionFailures.WithLabelValues(g.name).Inc()
		g.logger.Debug("session call failed", zap.String("server", string(call.Server)), zap.Error(err))
		g.manager.Failed(now, call.Server, call.Sequence)
		g.scheduler.Suspend(call.Server)
	} else {
		g.manager.Answered(now, call.Server, call.Sequence, reply)
		g.scheduler.Resume(now, call.Server)
	}
	g.managerDue = true
	g.pump(now)
}
