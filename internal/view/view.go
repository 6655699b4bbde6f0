// Package view turns the store's keys into what the router believes: the routing
// table, the servers, the owner maps and the other nodes.
package view

import (
	"encoding/json"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/micahaven/micahaven/internal/discovery"
	"github.com/micahaven/micahaven/internal/routing"
	"github.com/micahaven/micahaven/internal/shards"
	"github.com/micahaven/micahaven/internal/topo"
)

// Keys of the store that the router writes.
const (
	nodePrefix    = "micahaven/nodes/"
	managerPrefix = "micahaven/managers/"
	ownersPrefix  = "micahaven/owners/"
	retiredPrefix = "micahaven/retired/"
)

// NodeKey is the key under which a node registers.
func NodeKey(node string) string { return nodePrefix + node }

// ManagerKey is the lock of a service's manager.
func ManagerKey(service string) string { return managerPrefix + service }

// OwnersKey holds the owner map of a service.
func OwnersKey(service string) string { return ownersPrefix + service }

// RetiredKey holds the last term of a node as the manager of a service that ended
// with the loss of the lock.
func RetiredKey(service, node string) string { return retiredPrefix + service + "/" + node }

// Retirement says that a node sends no orders of a term or of those before it any
// more.
type Retirement struct {
	Process string `json:"process"`
	// Epoch is the epoch of the term that is over.
	Epoch int64 `json:"epoch"`
}

// Documents reads what the platform keeps in the store.
type Documents interface {
	Table(text []byte) (routing.Spec, error)
	Server(id string, text []byte) (discovery.Server, error)
}

// Layout says where the platform keeps its documents.
type Layout struct {
	TableKey     string
	ServerPrefix string
}

// Node is another node of the router, as it registered.
type Node struct {
	Name    string `json:"name"`
	Zone    string `json:"zone"`
	Address string `json:"address"`
	// Process differs between two lives of a node.
	Process string `json:"process"`
	// Share is the part of a processor that the node has.
	Share float64 `json:"share"`
}

// Server is a server and what the view knows of its end.
type Server struct {
	discovery.Server
	// WarmAt is when the server stops being slow.
	WarmAt time.Time
	// DrainingSince is when it was first seen draining; zero if it is not.
	DrainingSince time.Time
	// GoneSince is when its entry was first seen missing; zero if it is there.
	GoneSince time.Time
	// LapsedUntil is set if the entry may be missing only because the store was
	// away: until then it may still come back.
	LapsedUntil time.Time
}

// Gone reports whether the server counts as gone, if a missing entry is borne with
// for some time. Entries that lapsed while the store was away have until a moment
// of their own.
func (s *Server) Gone(now time.Time, grace time.Duration) bool {
	switch {
	case s.GoneSince.IsZero():
		return false
	case !s.LapsedUntil.IsZero():
		return now.After(s.LapsedUntil)
	default:
		return now.Sub(s.GoneSince) > grace
	}
}

// Serving reports whether the server is neither draining nor gone.
func (s *Server) Serving(now time.Time) bool { return s.DrainingSince.IsZero() && !s.Gone(now, 0) }

// Owners is an owner map and the store's revision of it.
type Owners struct {
	*shards.Map
	Revision int64
}

// Manager is who holds a service's manager lock.
type Manager struct {
	Node
	// Epoch is the revision at which the lock was taken.
	Epoch int64
}

// View is what the router believes at one revision. It is immutable.
type View struct {
	Revision int64
	// Table is nil until a configuration is known.
	Table    *routing.Table
	Servers  map[discovery.ServerID]*Server
	Services map[string][]*Server
	Owners   map[string]Owners
	Managers map[string]Manager
	// Retired holds retirements by RetiredKey.
	Retired map[string]Retirement
	Nodes   map[string]Node
}

// goneMemory is how long a missing server is remembered.
const goneMemory = 30 * time.Second

// Lapse tells until when entries that are missing now may still come back, because
// the store was away until a moment ago; false if it was not.
type Lapse func() (until time.Time, lapsed bool)

// Builder follows the store and publishes views. It implements mirror.Receiver.
type Builder struct {
	layout    Layout
	documents Documents
	logger    *zap.Logger
	current   atomic.Pointer[View]

	mutex sync.Mutex
	next  View
	lapse Lapse
	// started is true once there is a complete copy; until then the servers that
	// it brings are not logged one by one.
	started bool
	// subscribers are called after each change, with the mutex not held.
	subscribers []func(*View)
}

// NewBuilder returns a builder with an empty view.
func NewBuilder(layout Layout, documents Documents, logger *zap.Logger) *Builder {
	b := &Builder{layout: layout, documents: documents, logger: logger}
	b.lapse = func() (time.Time, bool) { return time.Time{}, false }
	b.next = View{
		Servers:  make(map[discovery.ServerID]*Server),
		Owners:   make(map[string]Owners),
		Managers: make(map[string]Manager),
		Retired:  make(map[string]Retirement),
		Nodes:    make(map[string]Node),
	}
	b.publish()
	return b
}

// Current returns the newest view.
func (b *Builder) Current() *View { return b.current.Load() }

// SetLapse sets how the builder learns that the store was away. It must be called
// before the first change; lapse is called with the builder's mutex held.
func (b *Builder) SetLapse(lapse Lapse) { b.lapse = lapse }

// Subscribe calls changed after each change, on the goroutine that brought it.
// It must be called before the first change.
func (b *Builder) Subscribe(changed func(*View)) {
	b.subscribers = append(b.subscribers, changed)
}

// Replace implements mirror.Receiver.
func (b *Builder) Replace(items []topo.Item, revision int64) {
	b.mutex.Lock()
	present := make(map[string]bool, len(items))
	for _, item := range items {
		present[item.Key] = true
		b.put(item)
	}
	b.deleteMissing(present)
	b.started = true
	b.next.Revision = revision
	published := b.publish()
	b.mutex.Unlock()
	b.logger.Info("state replaced", zap.Int64("revision", revision), zap.Int("servers", len(published.Servers)),
		zap.Int("nodes", len(published.Nodes)), zap.Int("owner_maps", len(published.Owners)))
	b.notify(published)
}

func (b *Builder) deleteMissing(present map[string]bool) {
	for id := range b.next.Servers {
		if key := b.layout.ServerPrefix + string(id); !present[key] {
			b.delete(key)
		}
	}
	for name := range b.next.Nodes {
		if key := NodeKey(name); !present[key] {
			b.delete(key)
		}
	}
	for service := range b.next.Managers {
		if key := ManagerKey(service); !present[key] {
			b.delete(key)
		}
	}
}

// Apply implements mirror.Receiver.
func (b *Builder) Apply(events []topo.Event, revision int64) {
	b.mutex.Lock()
	for _, event := range events {
		if event.Deleted {
			b.delete(event.Key)
			continue
		}
		b.put(event.Item)
	}
	b.next.Revision = revision
	published := b.publish()
	b.mutex.Unlock()
	b.notify(published)
}

func (b *Builder) notify(published *View) {
	for _, subscriber := range b.subscribers {
		subscriber(published)
	}
}

func (b *Builder) put(item topo.Item) {
	switch {
	case item.Key == b.layout.TableKey:
		b.putTable(item)
	case strings.HasPrefix(item.Key, b.layout.ServerPrefix):
		b.putServer(strings.TrimPrefix(item.Key, b.layout.ServerPrefix), item)
	case strings.HasPrefix(item.Key, ownersPrefix):
		b.putOwners(strings.TrimPrefix(item.Key, ownersPrefix), item)
	case strings.HasPrefix(item.Key, managerPrefix):
		b.putManager(strings.TrimPrefix(item.Key, managerPrefix), item)
	case strings.HasPrefix(item.Key, retiredPrefix):
		b.putRetired(item)
	case strings.HasPrefix(item.Key, nodePrefix):
		b.putNode(strings.TrimPrefix(item.Key, nodePrefix), item)
	}
}

// putTable takes a newer configuration; a bad one leaves the old in force.
func (b *Builder) putTable(item topo.Item) {
	spec, err := b.documents.Table(item.Value)
	if err != nil {
		b.logger.Error("configuration refused", zap.Int64("revision", item.Revision), zap.Error(err))
		return
	}
	if b.next.Table != nil && spec.Version <= b.next.Table.Version() {
		return
	}
	table, err := routing.NewTable(spec)
	if err != nil {
		b.logger.Error("configuration refused", zap.Int64("version", spec.Version), zap.Error(err))
		return
	}
	b.next.Table = table
	b.logger.Info("configuration in force", zap.Int64("version", spec.Version), zap.Int64("revision", item.Revision))
}

func (b *Builder) putServer(id string, item topo.Item) {
	entry, err := b.documents.Server(id, item.Value)
	if err != nil {
		b.logger.Error("server entry refused", zap.String("server", id), zap.Error(err))
		return
	}
	now := time.Now()
	server := &Server{Server: entry, WarmAt: now.Add(entry.WarmUp)}
	before := b.next.Servers[entry.ID]
	if before != nil {
		server.WarmAt = before.WarmAt
		server.DrainingSince = before.DrainingSince
	}
	if entry.State == discovery.Draining && server.DrainingSince.IsZero() {
		server.DrainingSince = now
		b.logger.Info("server draining", zap.String("server", id), zap.Int64("revision", item.Revision))
	}
	if b.started && (before == nil || !before.GoneSince.IsZero()) {
		b.logger.Info("server registered", zap.String("server", id), zap.String("service", entry.Service),
			zap.String("address", entry.Address), zap.Int64("revision", item.Revision))
	}
	b.next.Servers[entry.ID] = server
}

func (b *Builder) putOwners(service string, item topo.Item) {
	decoded, err := shards.DecodeMap(item.Value)
	if err != nil {
		b.logger.Error("owner map refused", zap.String("service", service), zap.Error(err))
		return
	}
	if item.Revision <= b.next.Owners[service].Revision {
		return
	}
	b.next.Owners[service] = Owners{Map: decoded, Revision: item.Revision}
}

func (b *Builder) putManager(service string, item topo.Item) {
	var node Node
	if err := json.Unmarshal(item.Value, &node); err != nil {
		b.logger.Error("manager entry refused", zap.String("service", service), zap.Error(err))
		return
	}
	b.next.Managers[service] = Manager{Node: node, Epoch: item.Revision}
}

func (b *Builder) putRetired(item topo.Item) {
	var retired Retirement
	if err := json.Unmarshal(item.Value, &retired); err != nil {
		b.logger.Error("retirement refused", zap.String("key", item.Key), zap.Error(err))
		return
	}
	b.next.Retired[item.Key] = retired
}

// TakeRetirement takes in a retirement that its node told directly, ahead of the
// store.
func (b *Builder) TakeRetirement(key string, retired Retirement) {
	b.mutex.Lock()
	known := b.next.Retired[key]
	if known.Process == retired.Process && known.Epoch >= retired.Epoch {
		b.mutex.Unlock()
		return
	}
	b.next.Retired[key] = retired
	published := b.publish()
	b.mutex.Unlock()
	b.logger.Info("retirement told", zap.String("key", key), zap.Int64("epoch", retired.Epoch))
	b.notify(published)
}

// SendsOrders reports whether a node may still send orders of its term as the
// manager of a service: neither has another process of it registered nor has it
// retired from the term.
func (v *View) SendsOrders(service, node, process string, epoch int64) bool {
	if registered, known := v.Nodes[node]; known && registered.Process != process {
		return false
	}
	retired := v.Retired[RetiredKey(service, node)]
	return retired.Process != process || retired.Epoch < epoch
}

func (b *Builder) putNode(name string, item topo.Item) {
	var node Node
	if err := json.Unmarshal(item.Value, &node); err != nil {
		b.logger.Error("node entry refused", zap.String("node", name), zap.Error(err))
		return
	}
	b.next.Nodes[name] = node
}

func (b *Builder) delete(key string) {
	switch {
	case strings.HasPrefix(key, b.layout.ServerPrefix):
		b.markGone(discovery.ServerID(strings.TrimPrefix(key, b.layout.ServerPrefix)))
	case strings.HasPrefix(key, managerPrefix):
		delete(b.next.Managers, strings.TrimPrefix(key, managerPrefix))
	case strings.HasPrefix(key, nodePrefix):
		delete(b.next.Nodes, strings.TrimPrefix(key, nodePrefix))
	}
}

func (b *Builder) markGone(id discovery.ServerID) {
	known := b.next.Servers[id]
	if known == nil || !known.GoneSince.IsZero() {
		return
	}
	gone := *known
	gone.GoneSince = time.Now()
	if until, lapsed := b.lapse(); lapsed {
		gone.LapsedUntil = until
	}
	b.next.Servers[id] = &gone
	b.logger.Info("server gone", zap.String("server", string(id)), zap.Bool("draining", !gone.DrainingSince.IsZero()),
		zap.Bool("may_return", !gone.LapsedUntil.IsZero()))
}

// publish makes the next view current. The caller holds the mutex.
func (b *Builder) publish() *View {
	published := &View{
		Revision: b.next.Revision,
		Table:    b.next.Table,
		Servers:  make(map[discovery.ServerID]*Server, len(b.next.Servers)),
		Services: make(map[string][]*Server),
		Owners:   make(map[string]Owners, len(b.next.Owners)),
		Managers: make(map[string]Manager, len(b.next.Managers)),
		Retired:  make(map[string]Retirement, len(b.next.Retired)),
		Nodes:    make(map[string]Node, len(b.next.Nodes)),
	}
	now := time.Now()
	for id, server := range b.next.Servers {
		if !server.GoneSince.IsZero() && now.Sub(server.GoneSince) > goneMemory {
			delete(b.next.Servers, id)
			continue
		}
		published.Servers[id] = server
		published.Services[server.Service] = append(published.Services[server.Service], server)
	}
	for _, servers := range published.Services {
		sort.Slice(servers, func(i, j int) bool { return servers[i].ID < servers[j].ID })
	}
	copyMap(published.Owners, b.next.Owners)
	copyMap(published.Managers, b.next.Managers)
	copyMap(published.Retired, b.next.Retired)
	copyMap(published.Nodes, b.next.Nodes)
	b.current.Store(published)
	return published
}

func copyMap[K comparable, V any](into, from map[K]V) {
	for key, value := range from {
		into[key] = value
	}
}
