package router

import (
	"context"
	"io"
	"net"
	"net/http"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/oklog/run"
	"github.com/oklog/ulid/v2"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/micahaven/micahaven/internal/clock"
	"github.com/micahaven/micahaven/internal/dispatch"
	"github.com/micahaven/micahaven/internal/handoff"
	"github.com/micahaven/micahaven/internal/ingress"
	"github.com/micahaven/micahaven/internal/ingress/pipeline"
	"github.com/micahaven/micahaven/internal/mirror"
	"github.com/micahaven/micahaven/internal/periodic"
	"github.com/micahaven/micahaven/internal/poison"
	"github.com/micahaven/micahaven/internal/quota"
	"github.com/micahaven/micahaven/internal/routerlog"
	"github.com/micahaven/micahaven/internal/shardmanager"
	"github.com/micahaven/micahaven/internal/shards"
	"github.com/micahaven/micahaven/internal/sockets"
	"github.com/micahaven/micahaven/internal/tenants"
	"github.com/micahaven/micahaven/internal/topo"
	"github.com/micahaven/micahaven/internal/transport"
	"github.com/micahaven/micahaven/internal/view"
	"github.com/micahaven/micahaven/internal/wire"
)

// Platform is what a platform adapter provides: clients of the external systems, and the
// names that the platform uses for keys, headers and paths.
type Platform struct {
	Store     topo.Store
	Orders    shardmanager.Orders
	Documents view.Documents
	Layout    view.Layout
	Headers   ingress.Headers
	ReadyPath string
}

const (
	gcPercent           = 50
	memoryLimitFraction = 0.8
	// memoryBudgetFraction is the fraction of the memory for pipelined requests that were read
	// ahead and responses that wait behind earlier ones; the rest is for running requests, the
	// copy of the store and garbage.
	memoryBudgetFraction = 0.125
	// bodyBudgetFraction is the fraction of the memory for request bodies.
	bodyBudgetFraction = 0.25
	// unreadFraction is the fraction of the memory for input of unreadConnections clients that is not read.
	// minUnreadBytes and maxUnreadBytes bound the part of each.
	unreadFraction                 = 1.0 / 16
	unreadConnections              = 1024
	minUnreadBytes, maxUnreadBytes = 8 << 10, 64 << 10
	// bodyTimeoutGrace is added to the idle timeout before a body that does not arrive is given up.
	bodyTimeoutGrace  = time.Second
	memoryLogInterval = 10 * time.Second
	headerTimeout     = 5 * time.Second
	pruneInterval     = time.Second
	headerBytes       = 64 << 10
	metricsPath       = "/metrics"
	managerInterval   = 100 * time.Millisecond
)

// Node is a running router node.
type Node struct {
	settings     *Settings
	logger       *zap.Logger
	output       *routerlog.Output
	views        *view.Builder
	mirror       *mirror.Mirror
	dispatcher   *dispatch.Dispatcher
	handler      *ingress.Handler
	connections  *ingress.ConnectionTracker
	memoryBudget *pipeline.MemoryBudget
	managers     *managers
	peers        *peers
	registration *registration
	record       *headsRecord
	// internal serves the other nodes, clients the clients.
	internal     *transport.Server
	clients      *pipeline.Server
	ready        *http.Server
	metrics      *http.Server
	headers      ingress.Headers
	settingsPath string
	// listener accepts clients' connections; nil until the node listens.
	listener atomic.Pointer[net.Listener]
	stopping atomic.Bool
	// clientsDrained is set once all requests of clients had their time to be answered.
	clientsDrained atomic.Bool
	// drained is closed when the node has finished draining its requests at shutdown.
	drained chan struct{}
}

// Run runs a node until the context ends or a signal stops it.
func Run(ctx context.Context, settingsPath string, newPlatform func(*Settings) Platform, stdout io.Writer) error {
	settings, err := LoadSettings(settingsPath)
	if err != nil {
		return err
	}
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(memoryLimitFraction * float64(settings.MemoryMegabytes) * (1 << 20)))
	node, err := newNode(settings, settingsPath, newPlatform(settings), stdout)
	if err != nil {
		return err
	}
	return node.run(ctx)
}

func newNode(settings *Settings, settingsPath string, platform Platform, stdout io.Writer) (*Node, error) {
	logger, output := routerlog.New(stdout, zapcore.InfoLevel)
	logger = logger.With(zap.String("node", settings.Node))
	self := view.Node{Name: settings.Node, Zone: settings.Zone, Address: settings.Listen.Nodes, Process: ulid.Make().String(), Share: settings.ProcessorShare}
	n := &Node{settings: settings, logger: logger, output: output, headers: platform.Headers, settingsPath: settingsPath, drained: make(chan struct{})}
	n.views = view.NewBuilder(platform.Layout, platform.Documents, logger)
	n.dispatcher = dispatch.New(dispatchOptions(settings, platform.Headers), n.views, logger)
	n.mirror = mirror.New(platform.Store, n.views, logger)
	n.handler = ingress.NewHandler(platform.Headers, n.views, n.dispatcher, logger)
	if settings.LinkMegabits != nil {
		// Without the setting, responses are not paced: the link may be far faster than the
		// default, which is the slowest one.
		n.handler.PaceResponses(settings.linkBytes())
	}
	n.connections = ingress.NewConnectionTracker(n.connectionLimits)
	n.memoryBudget = pipeline.NewMemoryBudget(int64(memoryBudgetFraction * float64(settings.MemoryMegabytes) * (1 << 20)))
	hello := &wire.Hello{Node: self.Name, Zone: self.Zone, Address: self.Address, ProtocolVersion: wire.ProtocolVersion}
	client := transport.NewClient(hello, nil)
	changes := newChangeFeed(self, client, logger)
	changes.setMaxCopyAge(settings.maxCopyAge())
	n.views.SetLapse(changes.lapsedUntil)
	n.views.SetLateness(changes.lateness)
	n.dispatcher.SetCopyAge(changes.confirmedAge)
	n.views.Subscribe(changes.updateMembers)
	n.mirror.SetObserver(changes)
	n.peers = &peers{
		self: self, client: client, feed: changes,
		views: n.views, mirror: n.mirror, dispatcher: n.dispatcher, orders: platform.Orders, logger: logger,
	}
	n.enableHomes(client)
	n.peers.quotas = quota.NewLimiter("tenants", self.Name, quotaClient{client: client}, quota.NewAccountStore(), settings.tolerance(), logger)
	n.peers.serverLimits = quota.NewLimiter("servers", self.Name, quotaClient{client: client, servers: true}, quota.NewAccountStore(), serverTolerance(), logger)
	n.dispatcher.SetServerLimits(n.peers.serverLimits)
	n.dispatcher.SetSignalFunc(n.peers.announceServerSignal)
	n.peers.guard = poison.NewGuard(self.Name, n.peers.announceCrashes, logger)
	n.views.Subscribe(n.peers.updateGuardNodes)
	n.dispatcher.SetGuard(n.peers.guard)
	n.views.Subscribe(n.peers.updateQuotas)
	n.handler.SetTenancy(ingress.Tenancy{Quotas: n.peers.quotas, Freshness: n.copyFreshness, Staleness: settings.staleness()})
	n.peers.copies = &copyProvider{mirror: n.mirror, feed: changes, linkBytes: settings.linkBytes()}
	n.dispatcher.SetColdServerFunc(n.peers.announceColdServer)
	n.record = &headsRecord{store: platform.Store, feed: changes, mirror: n.mirror, nodes: n.peers.nodes, logger: logger}
	n.mirror.SetCopySource(copyFetcher{peers: n.peers, record: n.record, firstStart: settings.FirstStart, readsPerSecond: settings.Store.ReadsPerSecond})
	n.peers.setSeeds(settings.Seeds)
	options := shards.DefaultOptions()
	options.Lease = min(options.Lease, time.Duration(settings.MaxHoldMillis)*time.Millisecond)
	n.managers = newManagers(shardmanager.Config{
		Self: self, Store: platform.Store, Views: n.views, Orders: &relayedOrders{platform.Orders, n.peers}, Notices: n.peers, Options: options,
		RateLimit: n.peers.serverLimits.Observed, ReachesNoServer: n.dispatcher.ReachesNoServer, AgreedAt: n.peers.lastAgreement,
		Clock: clock.Boot, Logger: logger,
	})
	n.peers.managers = n.managers
	n.registration = &registration{self: self, store: platform.Store, logger: logger, onStoreRecovered: n.mirror.Resume}
	return n, n.listen(hello, platform.ReadyPath)
}

// copyFreshness returns the age of the node's copy of the store.
func (n *Node) copyFreshness() tenants.Freshness {
	age, confirmed := n.peers.feed.confirmedAge()
	return tenants.Freshness{Age: age, Confirmed: confirmed}
}

// enableHomes makes the node a home of servers and hands requests off to other homes, if the
// settings ask for homes.
func (n *Node) enableHomes(client *transport.Client) {
	if !n.settings.Homes {
		return
	}
	sender := handoff.NewSender(n.settings.Node, client, n.logger)
	n.views.Subscribe(sender.SetView)
	n.dispatcher.SetHandoffSender(sender)
	n.peers.home = handoff.NewHome(n.views, n.dispatcher, n.logger)
}

// connectionLimits returns the idle timeout of clients' connections and the timeout for
// reading a request's header; zero, for no limit, while no configuration is known.
func (n *Node) connectionLimits() (idle, header time.Duration) {
	if table := n.views.Current().Table; table != nil {
		return table.Limits().IdleTimeout, table.Limits().HeaderTimeout
	}
	return 0, 0
}

// unreadBytes returns the bytes that each client's connection may leave unread.
func (n *Node) unreadBytes() int {
	share := int(unreadFraction * float64(n.settings.MemoryMegabytes) * (1 << 20) / unreadConnections)
	return min(maxUnreadBytes, max(minUnreadBytes, share))
}

// pruneClients ends the connections, and gives up the request bodies, whose timeouts have expired.
func (n *Node) pruneClients(now time.Time) {
	n.connections.Prune(now)
	if idle, _ := n.connectionLimits(); idle > 0 {
		n.clients.InterruptIdleBodies(now, idle+bodyTimeoutGrace)
	}
}

func dispatchOptions(settings *Settings, headers ingress.Headers) dispatch.Options {
	return dispatch.Options{
		Node: settings.Node,
		Zone: settings.Zone,
		// The other half of the allowed time is for the change to reach all nodes and for
		// requests in flight.
		LeaveGrace:      settings.drain() / 2,
		EvacuationGrace: settings.evacuation() / 2,
		WarmUpOver:      settings.WarmUp.Over,
		WarmUpSlack:     settings.WarmUp.Slack,
		RetryRatio:      settings.Retry.Ratio,
		RetrySlack:      settings.Retry.Slack,
		RetryWindow:     time.Duration(settings.Retry.WindowSeconds * float64(time.Second)),
		Headers: dispatch.Headers{
			RequestID: headers.RequestID, Deadline: headers.Deadline, Signature: headers.Signature,
			Target: headers.Target, NotExecuted: headers.NotExecuted, Tenant: headers.Tenant,
			Load: headers.Load, Health: headers.Health, Signals: headers.Signals,
		},
	}
}

func (n *Node) listen(hello *wire.Hello, readyPath string) error {
	internal, err := net.Listen("tcp", n.settings.Listen.Nodes)
	if err != nil {
		return errors.Wrap(err, "listen for nodes")
	}
	n.internal = transport.NewServer(hello, internal, nil, n.peers, n.logger)
	n.clients = &pipeline.Server{
		Handler: n.handler, MayRunConcurrently: n.handler.MayRunConcurrently,
		Connections: n.connections, HeaderBytes: headerBytes, MemoryBudget: n.memoryBudget, Logger: n.logger,
		Bodies: pipeline.NewBodyBudget(int64(bodyBudgetFraction * float64(n.settings.MemoryMegabytes) * (1 << 20))),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+readyPath, n.handleReadiness)
	n.ready = &http.Server{Addr: n.settings.Listen.Ready, Handler: mux, ReadHeaderTimeout: headerTimeout}
	metrics := http.NewServeMux()
	metrics.Handle("GET "+metricsPath, promhttp.Handler())
	n.metrics = &http.Server{Addr: n.settings.Listen.Metrics, Handler: metrics, ReadHeaderTimeout: headerTimeout}
	return nil
}

// handleReadiness answers the readiness check. The node is ready for new clients if it has a
// configuration and servers and is not stopping.
func (n *Node) handleReadiness(writer http.ResponseWriter, _ *http.Request) {
	current := n.views.Current()
	if n.stopping.Load() || current.Table == nil || current.Servers.Len() == 0 {
		writer.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (n *Node) run(parent context.Context) error {
	signals, stopSignals := notifySignals()
	defer stopSignals()
	ctx, cancel := context.WithCancel(parent)
	defer cancel()
	logging, endLogging := context.WithCancel(context.Background())
	written := make(chan struct{})
	go func() {
		defer close(written)
		_ = n.output.Run(logging, n.logger)
	}()
	n.logger.Info("node started", zap.String("process", n.peers.self.Process), zap.String("zone", n.settings.Zone))
	var group run.Group
	actor := func(work func(context.Context) error) {
		bounded, stop := context.WithCancel(ctx)
		group.Add(func() error { return work(bounded) }, func(error) { stop() })
	}
	actor(n.mirror.Run)
	actor(func(ctx context.Context) error {
		schedule := func() (time.Duration, bool) { return n.peers.feed.schedule(n.peers.nodes()) }
		return n.mirror.CheckFreshness(ctx, schedule, n.peers.announceRevision)
	})
	actor(func(ctx context.Context) error {
		return periodic.Run(ctx, feedTick, func(context.Context) { n.peers.feed.tick() })
	})
	actor(n.dispatcher.Run)
	actor(func(ctx context.Context) error {
		return periodic.Run(ctx, managerInterval, func(context.Context) { n.managers.reconcile(ctx) })
	})
	actor(func(ctx context.Context) error { return periodic.Run(ctx, renewInterval, n.registration.step) })
	actor(func(ctx context.Context) error { return periodic.Run(ctx, recordInterval, n.record.step) })
	actor(func(ctx context.Context) error {
		return periodic.Run(ctx, pruneInterval, func(context.Context) { n.pruneClients(time.Now()) })
	})
	actor(func(ctx context.Context) error { return periodic.Run(ctx, memoryLogInterval, n.logMemoryBudget()) })
	actor(func(ctx context.Context) error {
		return periodic.Run(ctx, poison.RebroadcastInterval, func(context.Context) { n.peers.guard.Rebroadcast() })
	})
	actor(n.peers.reportLoad)
	actor(n.peers.exchangeState)
	actor(n.peers.seekAgreement)
	actor(func(ctx context.Context) error { return n.watchSignals(ctx, signals) })
	group.Add(n.internal.Serve, func(error) { n.internal.Close() })
	group.Add(func() error { return serveHTTP(n.ready) }, func(error) { _ = n.ready.Close() })
	if n.settings.Listen.Metrics != "" {
		group.Add(func() error { return serveHTTP(n.metrics) }, func(error) { _ = n.metrics.Close() })
	}
	group.Add(n.serveClients, func(error) { n.closeClients() })
	err := group.Run()
	n.managers.wait()
	n.registration.remove()
	n.logger.Info("node stopped", zap.Error(err))
	endLogging()
	<-written
	return err
}

// logMemoryBudget returns a periodic step that logs the use of the memory budget for clients
// whenever its peak has grown.
func (n *Node) logMemoryBudget() func(context.Context) {
	logged := int64(0)
	return func(context.Context) {
		if peak := n.memoryBudget.Peak(); peak > logged {
			logged = peak
			n.logger.Info("memory held for clients reached a new peak", zap.Int64("bytes", n.memoryBudget.Now()), zap.Int64("most", peak))
		}
	}
}

// serveClients serves clients until the node stops, and returns when it has drained.
func (n *Node) serveClients() error {
	listener, err := sockets.Listen(n.settings.Listen.Clients, n.unreadBytes())
	if err != nil {
		return errors.Wrap(err, "listen for clients")
	}
	n.listener.Store(&listener)
	err = n.clients.Serve(n.connections.Listener(listener))
	if n.stopping.Load() {
		<-n.drained
		return nil
	}
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "serve clients")
}

func serveHTTP(server *http.Server) error {
	err := server.ListenAndServe()
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrapf(err, "serve %s", server.Addr)
}
