package router

import (
	"context"
	"net"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/micahaven/micahaven/internal/periodic"
)

// Parts of the grace: how a stopping node spends the time that the platform gives it.
// docs/PLATFORM.md has the table of what happens to requests in each part.
const (
	// notReadyPart is the part of the grace in which a stopping node still takes
	// new connections, until everybody has seen that it is not ready.
	notReadyPart = 0.45
	// notReadyMost bounds that. Two questions a second apart take 2 s, and what is sent
	// later than 3 s after the signal has to be answered however long a server takes.
	notReadyMost = 2700 * time.Millisecond
	// answerPart is the part of the grace after which every request that was read has
	// its final answer. The platform takes it as planned that a request which a server
	// still works on in the last sixth is given up; see docs/PLATFORM.md.
	answerPart = 0.9
	// closePart is the part of the grace after which connections are closed in any
	// case: between the two the last answers are written, and the rest of the grace is
	// for the process to end.
	closePart = 0.95

	// idleClosePause is the pause between two looks for idle connections while
	// the node stops.
	idleClosePause = 20 * time.Millisecond
	// signalQueue is how many signals may wait while one is acted on.
	signalQueue = 4
	// lastAnswers is for how long a node that ends without having drained writes the
	// answers to what it has read.
	lastAnswers = 250 * time.Millisecond
)

// notifySignals returns the signals that the node reacts to, and what ends that. Until
// then none of them ends the process by itself, also when the node stops already.
func notifySignals() (received <-chan os.Signal, stop func()) {
	signals := make(chan os.Signal, signalQueue)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	return signals, func() { signal.Stop(signals) }
}

// watchSignals reloads the settings on SIGHUP and stops the node on SIGTERM.
func (n *Node) watchSignals(ctx context.Context, signals <-chan os.Signal) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case received := <-signals:
			if received == syscall.SIGHUP {
				n.reload()
				continue
			}
			n.drain(ctx)
			return nil
		}
	}
}

func (n *Node) reload() {
	settings, err := LoadSettings(n.path)
	if err != nil {
		n.logger.Error("settings not reloaded, the old ones stay in force", zap.Error(err))
		return
	}
	n.dispatcher.SetOptions(dispatchOptions(settings, n.headers))
	n.peers.setSeeds(settings.Seeds)
	n.peers.quotas.SetTolerance(settings.tolerance())
	n.logger.Info("settings reloaded", zap.Strings("seeds", settings.Seeds), zap.Int("drain_millis", settings.DrainMillis),
		zap.Float64("retry_ratio", settings.Retry.Ratio), zap.Float64("retry_slack", settings.Retry.Slack))
}

// drain lets clients go elsewhere, hands the managers' locks over, and returns
// when no request is running or the grace is nearly over.
func (n *Node) drain(ctx context.Context) {
	defer close(n.drained)
	startedAt := time.Now()
	n.logger.Info("node stopping", zap.Int("active", n.handler.Active()))
	n.stopping.Store(true)
	n.handler.Drain()
	n.managers.stop()
	n.stopHome()
	grace := n.settings.grace()
	takeUntil := startedAt.Add(min(notReadyMost, time.Duration(notReadyPart*float64(grace))))
	closeAt := startedAt.Add(time.Duration(closePart * float64(grace)))
	n.dispatcher.ShutDownBy(startedAt.Add(time.Duration(answerPart * float64(grace))))
	periodic.Pause(ctx, time.Until(takeUntil))
	bounded, cancel := context.WithDeadline(ctx, closeAt)
	defer cancel()
	n.closeIdleClients(bounded)
	// What is left is being served; Shutdown waits for its end.
	if err := n.clients.Shutdown(bounded); err != nil && !errors.Is(err, net.ErrClosed) {
		n.handler.MarkForcedClose()
		n.logger.Warn("requests cut off at the end", zap.Int("active", n.handler.Active()), zap.Error(err))
	}
	n.waitForHome(bounded)
}

// stopHome gives other nodes' requests that wait back and takes no more.
func (n *Node) stopHome() {
	if n.peers.home != nil {
		n.peers.home.Stop()
	}
}

// waitForHome returns when no request of another node is running, and what was said of
// the last ones has left the node.
func (n *Node) waitForHome(ctx context.Context) {
	if n.peers.home == nil {
		return
	}
	for n.peers.home.Active() > 0 && ctx.Err() == nil {
		periodic.Pause(ctx, idleClosePause)
	}
	periodic.Pause(ctx, idleClosePause)
}

// closeIdleClients takes no more connections and ends those that are idle. Unlike
// http.Server.Shutdown it ends none with a request that was not read yet.
func (n *Node) closeIdleClients(ctx context.Context) {
	if listener := n.listener.Load(); listener != nil {
		// It is closed again by Shutdown; an error says that it was closed before.
		_ = (*listener).Close()
	}
	for n.connections.CloseIdle() > 0 && ctx.Err() == nil {
		periodic.Pause(ctx, idleClosePause)
	}
}

// endClients closes the clients' connections. A node that did not drain, because a part
// of it failed, answers what it has read before that.
func (n *Node) endClients() {
	if !n.stopping.Load() {
		n.handler.Drain()
		n.dispatcher.ShutDownBy(time.Now())
		ctx, cancel := context.WithTimeout(context.Background(), lastAnswers)
		defer cancel()
		if err := n.clients.Shutdown(ctx); err != nil {
			n.handler.MarkForcedClose()
			n.logger.Warn("requests cut off at the end", zap.Int("active", n.handler.Active()), zap.Error(err))
		}
	}
	// Nothing is left but connections that Shutdown would not wait for.
	_ = n.clients.Close()
}
