package router

import (
	"context"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/micahaven/micahaven/internal/periodic"
)

// Fractions of the grace period: the phases of shutdown within the time that the platform
// allows. docs/PLATFORM.md has a table of what happens to requests in each phase.
const (
	// notReadyFraction is the fraction of the grace period in which a stopping node still
	// accepts new connections, so that every readiness check has time to see that it is not
	// ready.
	notReadyFraction = 0.45
	// maxNotReady bounds that phase. Two readiness checks a second apart take 2 s, and a
	// request sent later than 3 s after the signal has to be answered however long a server
	// takes.
	maxNotReady = 2700 * time.Millisecond
	// lateAfter is the time after the signal from which requests are refused instead of begun. A request
	// whose end is sent later than 3 s after the signal must not be abandoned at a server, and how long the
	// server takes is not known.
	lateAfter = 2900 * time.Millisecond
	// responseFraction is the fraction of the grace period after which every request that was
	// read has its final response. The platform accepts as planned that a request which a
	// server still processes in the last sixth of the grace period is abandoned; see
	// docs/PLATFORM.md.
	responseFraction = 0.9
	// closeFraction is the fraction of the grace period after which all connections are
	// closed. Between the two the last responses are written; the rest of the grace period is
	// for the process to exit.
	closeFraction = 0.95

	// idleCloseInterval is the interval at which idle connections are looked for and closed
	// while the node stops.
	idleCloseInterval = 20 * time.Millisecond
	// signalQueueSize is how many signals are buffered while one is handled.
	signalQueueSize = 4
	// finalResponseTimeout bounds how long a node that ends without draining writes the
	// responses to the requests that it has read.
	finalResponseTimeout = 250 * time.Millisecond
)

// notifySignals returns a channel of the signals that the node handles, and a function that
// stops their delivery. Until that is called none of them terminates the process, even while
// the node is already stopping.
func notifySignals() (received <-chan os.Signal, stop func()) {
	signals := make(chan os.Signal, signalQueueSize)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	return signals, func() { signal.Stop(signals) }
}

// watchSignals reloads the settings on SIGHUP and drains the node on SIGTERM or SIGINT.
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
	settings, err := LoadSettings(n.settingsPath)
	if err != nil {
		n.logger.Error("reloading settings failed, keeping the current ones", zap.Error(err))
		return
	}
	n.dispatcher.SetOptions(dispatchOptions(settings, n.headers))
	n.peers.setSeeds(settings.Seeds)
	n.peers.quotas.SetTolerance(settings.tolerance())
	n.logger.Info("settings reloaded", zap.Strings("seeds", settings.Seeds), zap.Int("drain_millis", settings.DrainMillis),
		zap.Float64("retry_ratio", settings.Retry.Ratio), zap.Float64("retry_slack", settings.Retry.Slack))
}

// drain makes clients move to other nodes, releases the managers' locks, and returns when no
// request is running or the grace period is nearly over.
func (n *Node) drain(ctx context.Context) {
	defer close(n.drained)
	startedAt := time.Now()
	n.logger.Info("node stopping", zap.Int("active", n.handler.Active()))
	n.stopping.Store(true)
	n.handler.Drain()
	n.managers.stop()
	n.stopHome()
	grace := n.settings.grace()
	acceptUntil := startedAt.Add(min(maxNotReady, time.Duration(notReadyFraction*float64(grace))))
	closeAt := startedAt.Add(time.Duration(closeFraction * float64(grace)))
	n.dispatcher.ShutDownBy(startedAt.Add(time.Duration(responseFraction * float64(grace))))
	n.dispatcher.RefuseFrom(startedAt.Add(lateAfter))
	periodic.Pause(ctx, time.Until(acceptUntil))
	bounded, cancel := context.WithDeadline(ctx, closeAt)
	defer cancel()
	var handoffs sync.WaitGroup
	handoffs.Go(func() { n.waitForHome(bounded) })
	defer handoffs.Wait()
	n.closeIdleClients(bounded)
	if ctx.Err() != nil {
		// A component has failed; closeClients answers the requests that remain.
		return
	}
	n.clientsDrained.Store(true)
	n.shutDownClients(bounded)
}

// shutDownClients waits until the requests that have been read are answered and the clients have
// received the responses, or the context ends.
func (n *Node) shutDownClients(ctx context.Context) {
	err := n.clients.Shutdown(ctx)
	if err == nil {
		return
	}
	active := n.handler.Active()
	if active == 0 {
		n.logger.Warn("connections closed before clients received all responses", zap.Error(err))
		return
	}
	n.handler.MarkForcedClose()
	progress := n.dispatcher.Progress()
	n.logger.Warn("connections closed with requests in progress", zap.Int("active", active),
		zap.Int("dispatching", progress.Active), zap.Int("queued", progress.Queued), zap.Int("at_servers", progress.AtServers), zap.Error(err))
}

// stopHome returns queued requests of other nodes to their senders and accepts no more.
func (n *Node) stopHome() {
	if n.peers.home != nil {
		n.peers.home.Stop()
	}
}

// waitForHome returns when no request of another node is running and the other nodes have received
// the outcomes of the last ones.
func (n *Node) waitForHome(ctx context.Context) {
	if n.peers.home == nil {
		return
	}
	for n.peers.home.Active() > 0 && ctx.Err() == nil {
		periodic.Pause(ctx, idleCloseInterval)
	}
	n.internal.Drain(ctx)
}

// closeIdleClients accepts no more connections, closes those that are idle and reads no further
// request on the others. Unlike http.Server.Shutdown it closes no idle connection that has a request
// which was not read yet.
func (n *Node) closeIdleClients(ctx context.Context) {
	if listener := n.listener.Load(); listener != nil {
		// Shutdown closes it again; an error means that it was already closed.
		_ = (*listener).Close()
	}
	for n.clients.CloseIdle() > 0 && ctx.Err() == nil {
		periodic.Pause(ctx, idleCloseInterval)
	}
}

// closeClients closes the clients' connections. A node that did not drain to the end, because one
// of its actors failed, first answers the requests that it has read.
func (n *Node) closeClients() {
	if !n.clientsDrained.Load() {
		n.handler.Drain()
		n.dispatcher.ShutDownBy(time.Now())
		ctx, cancel := context.WithTimeout(context.Background(), finalResponseTimeout)
		defer cancel()
		n.shutDownClients(ctx)
	}
	// Only connections that Shutdown did not wait for are left.
	_ = n.clients.Close()
}
