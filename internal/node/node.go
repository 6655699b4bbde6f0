// Package node wires the parts of one micahaven node together.
package node

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"
	"go.uber.org/zap"

	"github.com/micahaven/micahaven/internal/backend"
	"github.com/micahaven/micahaven/internal/certificates"
	"github.com/micahaven/micahaven/internal/clock"
	"github.com/micahaven/micahaven/internal/ending"
	"github.com/micahaven/micahaven/internal/entry"
	"github.com/micahaven/micahaven/internal/gossip"
	"github.com/micahaven/micahaven/internal/group"
	"github.com/micahaven/micahaven/internal/groups"
	"github.com/micahaven/micahaven/internal/identity"
	"github.com/micahaven/micahaven/internal/machines"
	"github.com/micahaven/micahaven/internal/operator"
	"github.com/micahaven/micahaven/internal/periodic"
	"github.com/micahaven/micahaven/internal/settings"
	"github.com/micahaven/micahaven/internal/store"
	"github.com/micahaven/micahaven/internal/table"
	"github.com/micahaven/micahaven/internal/tablestore"
	"github.com/micahaven/micahaven/internal/transport"
	"github.com/micahaven/micahaven/internal/views"
	"github.com/micahaven/micahaven/internal/wire"
	"github.com/micahaven/micahaven/internal/workers"
)

// Platform is what a node needs of the platform.
type Platform struct {
	Store    store.Store
	Machines machines.Source
}

// Node is one node. Create it with New, run its actors, and Stop it.
type Node struct {
	settings *settings.Settings
	logger   *zap.Logger
	platform Platform
	self     *wire.Member

	client   *transport.Client
	server   *transport.Server
	backend  backend.Server
	requests *workers.Pool
	sessions *workers.Pool
	items    *gossip.Items
	exchange *gossip.Exchange
	views    *views.Views
	registry *groups.Registry
	ending   *ending.Ending
	draining atomic.Bool
	// drained is closed when Drain has ended.
	drained chan struct{}
	table   *tablestore.Tablestore

	callers   *echo.Echo
	operators *echo.Echo
	listeners Listeners

	// newsMutex is taken before every other lock.
	newsMutex sync.Mutex

	mutex    sync.Mutex
	machines []machines.Machine
}

// Listeners holds the node's open ports.
type Listeners struct {
	Callers   net.Listener
	Nodes     net.Listener
	Operators net.Listener
}

// Listen opens the ports that the settings name.
func Listen(listen settings.Listen) (Listeners, error) {
	var opened Listeners
	var err error
	open := func(address string) net.Listener {
		if err != nil {
			return nil
		}
		var listener net.Listener
		listener, err = net.Listen("tcp", address)
		return listener
	}
	opened.Callers = open(listen.Callers)
	opened.Nodes = open(listen.Nodes)
	opened.Operators = open(listen.Operators)
	return opened, errors.Wrap(err, "listen")
}

// New builds a node on open ports.
func New(config *settings.Settings, listeners Listeners, platform Platform, logger *zap.Logger) (*Node, error) {
	self := &wire.Member{
		Node:        string(config.Node),
		Incarnation: uint64(identity.NewIncarnation()),
		Zone:        config.Zone,
		Address:     advertised(config, listeners),
	}
	hello := &wire.Hello{
		Node:            self.GetNode(),
		Incarnation:     self.GetIncarnation(),
		Zone:            self.GetZone(),
		ProtocolVersion: wire.ProtocolVersion,
		Address:         self.GetAddress(),
	}
	n := &Node{
		settings:  config,
		logger:    logger.With(zap.String("node", self.GetNode())),
		platform:  platform,
		self:      self,
		listeners: listeners,
		backend:   backend.NewHTTP(int64(config.Limits.AnswerKilobytes) << 10),
		requests:  workers.NewPool(config.Limits.RequestWorkers, requestQueue),
		sessions:  workers.NewPool(config.Limits.SessionWorkers, requestQueue),
		items:     gossip.NewItems(),
		ending:    ending.New(),
		drained:   make(chan struct{}),
	}
	if err := n.buildTransport(hello); err != nil {
		return nil, err
	}
	n.views = views.New(n.items, n.logger)
	n.exchange = gossip.NewExchange(n.items, n.client, nil, n.takeNews)
	n.table = tablestore.New(platform.Store, n.logger)
	n.registry = n.newRegistry()
	if err := n.buildServers(); err != nil {
		return nil, err
	}
	return n, nil
}

// buildTransport opens the inner protocol, over TLS when the settings name
// certificates; the operators' interface then is over TLS too.
func (n *Node) buildTransport(hello *wire.Hello) error {
	if n.settings.TLS.Certificate == "" {
		n.client = transport.NewClient(hello, nil)
		n.server = transport.NewServer(hello, n.listeners.Nodes, nil, n, n.logger)
		return nil
	}
	keeper, err := certificates.Load(certificates.Files{
		Certificate: n.settings.TLS.Certificate,
		Key:         n.settings.TLS.Key,
		Authority:   n.settings.TLS.Authority,
	})
	if err != nil {
		return err
	}
	n.client = transport.NewClient(hello, keeper.Client())
	n.server = transport.NewServer(hello, n.listeners.Nodes, keeper.Server(), n, n.logger)
	n.listeners.Operators = tls.NewListener(n.listeners.Operators, keeper.ServerOnly())
	return nil
}

// advertised returns the address under which other nodes reach this one.
func advertised(config *settings.Settings, listeners Listeners) string {
	if config.Listen.Advertise != "" {
		return config.Listen.Advertise
	}
	return listeners.Nodes.Addr().String()
}

// requestQueue is the number of tasks that may wait for a worker.
const requestQueue = 8192

func (n *Node) newRegistry() *groups.Registry {
	config := n.settings.Group
	groupSettings := group.Settings{
		Timing:           config.Timing(),
		Ownership:        config.Ownership(),
		JournalRetention: time.Duration(config.JournalSeconds) * time.Second,
		JournalBytes:     config.JournalMegabytes << 20,
	}
	return groups.NewRegistry(groups.Options{
		Self:     n.self,
		Members:  config.Members,
		Lag:      time.Duration(n.settings.Platform.MachineLagMillis) * time.Millisecond,
		Settings: groupSettings,
		Clock:    clock.Boot,
		Store:    n.platform.Store,
		Caller:   n.client,
		Logger:   n.logger,
		LeaderOf: n.leaderOf,
		Dependencies: group.Dependencies{
			Self:      n.self,
			Clock:     clock.Boot,
			Sender:    n.client,
			Backend:   n.backend,
			Requests:  n.requests,
			Sessions:  n.sessions,
			Logger:    n.logger,
			OnView:    n.publishView,
			AddressOf: n.addressOf,
		},
	})
}

func (n *Node) buildServers() error {
	forwarder := &entry.Forwarder{
		Node:   n.self.GetNode(),
		Leader: n.views.Leader,
		Local:  n.registry.Group,
		Caller: n.client,
	}
	handler := &entry.Handler{
		Forwarder:    forwarder,
		Table:        n.views.Table,
		MaxBodyBytes: int64(n.settings.Limits.BodyKilobytes) << 10,
		Ending:       n.ending,
		Logger:       n.logger,
	}
	n.callers = newEcho()
	handler.Register(n.callers)
	tokens, err := operator.LoadTokens(n.settings.Operator.TokenFile, n.settings.Operator.AllowAnonymous)
	if err != nil {
		return err
	}
	api := &operator.API{
		Node:     n.self.GetNode(),
		Zone:     n.self.GetZone(),
		Tokens:   tokens,
		Table:    n.views.BuildTable,
		Items:    n.items,
		Store:    n.table,
		Groups:   n.registry.All,
		Machines: n.machineList,
		Services: n.serviceStatuses,
	}
	n.operators = newEcho()
	return api.Register(n.operators)
}

func newEcho() *echo.Echo {
	server := echo.New()
	server.HideBanner = true
	server.HidePort = true
	server.Server.ReadHeaderTimeout = readHeaderTimeout
	server.Server.IdleTimeout = callerIdleTimeout
	return server
}

const (
	readHeaderTimeout = 5 * time.Second
	callerIdleTimeout = 2 * time.Minute
)

// Addresses returns where the node listens.
func (n *Node) Addresses() settings.Listen {
	return settings.Listen{
		Callers:   n.listeners.Callers.Addr().String(),
		Nodes:     n.listeners.Nodes.Addr().String(),
		Operators: n.listeners.Operators.Addr().String(),
	}
}

func (n *Node) machineList() []machines.Machine {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.machines
}

// peers returns the other live nodes.
func (n *Node) peers() []gossip.Peer {
	var peers []gossip.Peer
	for _, machine := range n.machineList() {
		if machine.Kind == machines.KindNode && machine.ID != n.self.GetNode() {
			peers = append(peers, gossip.Peer{Node: machine.ID, Address: machine.Address})
		}
	}
	return peers
}

func (n *Node) addressOf(node string) string {
	for _, peer := range n.peers() {
		if peer.Node == node {
			return peer.Address
		}
	}
	return ""
}

func (n *Node) leaderOf(name string) *wire.Member {
	view, _ := n.views.Leader(name)
	return view.GetLeader()
}

// publishView spreads that this node leads a group.
func (n *Node) publishView(view *wire.GroupView) {
	item, err := views.GossipItemOf(view)
	if err != nil {
		n.logger.Error("encode group view", zap.Error(err))
		return
	}
	// Called with the group's mutex held, and the exchange takes others.
	go n.exchange.Publish([]*wire.GossipItem{item}, n.peers())
}

// takeNews follows the items that were news to this node.
func (n *Node) takeNews(news []*wire.GossipItem) {
	// The groups must get the tables in the order in which they were read.
	n.newsMutex.Lock()
	defer n.newsMutex.Unlock()
	if n.views.Refresh(news) {
		n.registry.SetTable(n.views.Table())
	}
}

// Table returns the table in force on this node.
func (n *Node) Table() *table.Table { return n.views.Table() }

// pollMachines reads the machine list until the context ends.
func (n *Node) pollMachines(ctx context.Context) error {
	return periodic.Run(ctx, machinesInterval, n.readMachines)
}

const machinesInterval = 500 * time.Millisecond

// readMachines keeps the last list while the platform is away.
func (n *Node) readMachines(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, 2*machinesInterval)
	defer cancel()
	listed, err := n.platform.Machines.Read(ctx)
	if err != nil {
		n.logger.Debug("machine list", zap.Error(err))
		return
	}
	n.mutex.Lock()
	n.machines = listed
	n.mutex.Unlock()
	n.registry.SetMachines(listed)
}
