package view

import (
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/micahaven/micahaven/internal/discovery"
	"github.com/micahaven/micahaven/internal/documents"
	"github.com/micahaven/micahaven/internal/routing"
	"github.com/micahaven/micahaven/internal/shards"
	"github.com/micahaven/micahaven/internal/topo"
)

// goneRetention is how long a server whose entry is missing is kept.
const goneRetention = 30 * time.Second

// Lapse returns until when entries that are now missing may be written again, because the store was
// unavailable until recently, and false if it was not.
type Lapse func() (until time.Time, lapsed bool)

// Lateness returns the propagation delay, beyond the usual one, of the change being applied.
type Lateness func() time.Duration

// Builder builds views from the items of the store and publishes them. It implements
// mirror.Receiver.
type Builder struct {
	layout    Layout
	documents Documents
	logger    *zap.Logger
	current   atomic.Pointer[View]

	mutex sync.Mutex
	// The fields from revision to evacuations are the state from which the next view is built.
	revision int64
	table    *routing.Table
	servers  *serverIndex
	// incarnations holds the newest incarnation of each instance in servers.
	incarnations map[string]discovery.ServerID
	refusals     refusedEntries
	owners       *copyOnWriteMap[string, Owners]
	managers     *copyOnWriteMap[string, Manager]
	retired      *copyOnWriteMap[string, Retirement]
	nodes        *copyOnWriteIndex[string, Node]
	// leaving holds when servers first announced in a response that they are leaving.
	leaving map[discovery.ServerID]time.Time
	// evacuations holds the evacuations in force and those that have ended, by zone.
	evacuations *copyOnWriteMap[string, Evacuation]
	lapse       Lapse
	lateness    Lateness
	// loaded is true once there is a complete copy; until then, the servers in it are not logged
	// one by one.
	loaded bool
	// subscribers are called after each change, without the mutex held.
	subscribers []func(*View)
}

// NewBuilder returns a builder whose current view is empty.
func NewBuilder(layout Layout, documents Documents, logger *zap.Logger) *Builder {
	b := &Builder{layout: layout, documents: documents, logger: logger}
	b.lapse = func() (time.Time, bool) { return time.Time{}, false }
	b.lateness = func() time.Duration { return 0 }
	b.servers = newServerIndex()
	b.incarnations = make(map[string]discovery.ServerID)
	b.leaving = make(map[discovery.ServerID]time.Time)
	b.refusals = make(refusedEntries)
	b.owners = newCopyOnWriteMap[string, Owners]()
	b.managers = newCopyOnWriteMap[string, Manager]()
	b.retired = newCopyOnWriteMap[string, Retirement]()
	b.nodes = newCopyOnWriteIndex[string, Node]()
	b.evacuations = newCopyOnWriteMap[string, Evacuation]()
	b.publish()
	return b
}

// Current returns the newest view.
func (b *Builder) Current() *View { return b.current.Load() }

// SetLapse sets the function that reports outages of the store. It must be called before the first
// change; lapse is called with the builder's mutex held.
func (b *Builder) SetLapse(lapse Lapse) { b.lapse = lapse }

// SetLateness sets the function that reports how late changes may be applied. It must be called before
// the first change; lateness is called with the builder's mutex held.
func (b *Builder) SetLateness(lateness Lateness) { b.lateness = lateness }

// changedAt returns the current time minus the lateness.
func (b *Builder) changedAt() time.Time { return time.Now().Add(-b.lateness()) }

// Subscribe registers a function that is called after each change, on the goroutine that applied
// it. It must be called before the first change.
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
	b.loaded = true
	b.revision = revision
	published := b.publish()
	b.mutex.Unlock()
	b.logger.Info("state rebuilt from a complete copy", zap.Int64("revision", revision), zap.Int("servers", published.Servers.Len()),
		zap.Int("nodes", published.Nodes.Len()), zap.Int("owner_maps", len(published.Owners)))
	b.notify(published)
}

func (b *Builder) deleteMissing(present map[string]bool) {
	for id := range b.servers.byID.content.All() {
		if key := b.layout.ServerPrefix + id.Instance(); !present[key] {
			b.delete(key)
		}
	}
	for name := range b.nodes.content.All() {
		if key := NodeKey(name); !present[key] {
			b.delete(key)
		}
	}
	for zone := range b.evacuations.content {
		if key := b.layout.EvacuationPrefix + zone; !present[key] {
			b.delete(key)
		}
	}
	for service := range b.managers.content {
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
	b.revision = revision
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
	case b.isEvacuation(item.Key):
		b.putEvacuation(strings.TrimPrefix(item.Key, b.layout.EvacuationPrefix), item)
	case strings.HasPrefix(item.Key, ownersPrefix):
		b.putOwners(item)
	case strings.HasPrefix(item.Key, managerPrefix):
		b.putManager(strings.TrimPrefix(item.Key, managerPrefix), item)
	case strings.HasPrefix(item.Key, retiredPrefix):
		b.putRetired(item)
	case strings.HasPrefix(item.Key, nodePrefix):
		b.putNode(strings.TrimPrefix(item.Key, nodePrefix), item)
	}
}

// putTable applies a configuration if it is newer. An invalid one leaves the present one in force.
func (b *Builder) putTable(item topo.Item) {
	spec, err := b.documents.Table(item.Value)
	if err != nil {
		b.logger.Error("configuration rejected", zap.Int64("revision", item.Revision), zap.Error(err))
		return
	}
	if b.table != nil && spec.Version <= b.table.Version() {
		return
	}
	table, err := routing.NewTable(spec)
	if err != nil {
		b.logger.Error("configuration rejected", zap.Int64("version", spec.Version), zap.Error(err))
		return
	}
	b.table = table
	b.logger.Info("configuration in force", zap.Int64("version", spec.Version), zap.Int64("revision", item.Revision))
}

func (b *Builder) isEvacuation(key string) bool {
	return b.layout.EvacuationPrefix != "" && strings.HasPrefix(key, b.layout.EvacuationPrefix)
}

func (b *Builder) putEvacuation(zone string, item topo.Item) {
	if known, present := b.evacuations.content[zone]; present && known.InForce() {
		return
	}
	evacuation := Evacuation{}
	if b.loaded {
		evacuation.Since = b.changedAt()
	}
	b.evacuations.put(zone, evacuation)
	b.logger.Info("zone evacuation started", zap.String("zone", zone), zap.Int64("revision", item.Revision))
}

func (b *Builder) endEvacuation(zone string) {
	known, present := b.evacuations.content[zone]
	if !present || !known.InForce() {
		return
	}
	known.EndedAt = time.Now()
	b.evacuations.put(zone, known)
	b.logger.Info("zone evacuation ended", zap.String("zone", zone))
}

// putOwners applies an owner map if it was written after the present one. A restored store may
// contain older ones.
func (b *Builder) putOwners(item topo.Item) {
	service, era, _ := ParseOwnersKey(item.Key)
	before := b.owners.get(service)
	if item.Revision <= before.Revision {
		// The map was already received directly, before the watch reported it; decoding it again
		// would cost as much as applying it.
		return
	}
	decoded, err := shards.DecodeOwners(item.Value, before.Owners)
	if err != nil {
		b.logger.Error("invalid owner map ignored", zap.String("service", documents.Shorten(service)), zap.Error(err))
		return
	}
	if before.Owners != nil && before.NewerThan(decoded) {
		b.logger.Warn("older owner map ignored", zap.String("service", service), zap.Uint64("epoch", decoded.Epoch),
			zap.Uint64("sequence", decoded.Sequence), zap.Int64("revision", item.Revision))
		return
	}
	b.owners.put(service, Owners{Owners: decoded, Revision: item.Revision, Era: era, Encoded: item.Value})
}

func (b *Builder) putManager(service string, item topo.Item) {
	var manager Manager
	err := documents.Decode(item.Value, &manager)
	if err == nil && manager.Name == "" {
		err = errors.Wrap(documents.ErrInvalid, "field name: empty, allowed: a node's name")
	}
	if err != nil {
		b.logger.Error("invalid manager entry ignored", zap.String("service", documents.Shorten(service)), zap.Error(err))
		return
	}
	manager.Revision = item.Revision
	b.managers.put(service, manager)
}

func (b *Builder) putRetired(item topo.Item) {
	var retired Retirement
	err := documents.Decode(item.Value, &retired)
	if err == nil && retired.Process == "" {
		err = errors.Wrap(documents.ErrInvalid, "field process: empty, allowed: a process")
	}
	if err != nil {
		b.logger.Error("invalid retirement ignored", zap.String("key", documents.Shorten(item.Key)), zap.Error(err))
		return
	}
	b.retired.put(item.Key, retired)
}

// ApplyRetirement applies a retirement that the retired node sent directly, before the store reports
// it.
func (b *Builder) ApplyRetirement(key string, retired Retirement) {
	b.mutex.Lock()
	known := b.retired.get(key)
	if known.Process == retired.Process && known.Epoch >= retired.Epoch {
		b.mutex.Unlock()
		return
	}
	b.retired.put(key, retired)
	published := b.publish()
	b.mutex.Unlock()
	b.logger.Info("manager retirement published", zap.String("key", key), zap.Int64("epoch", retired.Epoch))
	b.notify(published)
}

func (b *Builder) putNode(name string, item topo.Item) {
	node, err := decodeNode(name, item.Value)
	if err != nil {
		b.logger.Error("invalid node entry ignored", zap.String("node", documents.Shorten(name)), zap.Error(err))
		return
	}
	known, present := b.nodes.content.Lookup(name)
	// A restored store has the entry of an earlier process until the present process registers.
	if _, lapsed := b.lapse(); lapsed && known.Process > node.Process {
		b.logger.Info("node entry of an earlier process ignored", zap.String("node", name), zap.Int64("revision", item.Revision))
		return
	}
	if !present || known != node {
		b.nodes.put(name, node)
	}
}

// maxNodeShare bounds the share of a processor that a node may state.
const maxNodeShare = 1 << 12

// decodeNode decodes the registration of the node with the given name. It returns a
// documents.ErrInvalid if no node writes such a registration: a node that does not exist but has the
// greatest share would be preferred by all others.
func decodeNode(name string, text []byte) (Node, error) {
	var node Node
	if err := documents.Decode(text, &node); err != nil {
		return Node{}, err
	}
	if node.Name != name || name == "" {
		return Node{}, errors.Wrapf(documents.ErrInvalid, "field name: %q, allowed: that of the key", documents.Shorten(node.Name))
	}
	if node.Share < 0 || node.Share > maxNodeShare {
		return Node{}, errors.Wrapf(documents.ErrInvalid, "field share: %g, allowed: 0 to %d", node.Share, maxNodeShare)
	}
	return node, nil
}

func (b *Builder) delete(key string) {
	switch {
	case strings.HasPrefix(key, b.layout.ServerPrefix):
		b.markGone(strings.TrimPrefix(key, b.layout.ServerPrefix))
	case b.isEvacuation(key):
		b.endEvacuation(strings.TrimPrefix(key, b.layout.EvacuationPrefix))
	case strings.HasPrefix(key, managerPrefix):
		b.managers.remove(strings.TrimPrefix(key, managerPrefix))
	case strings.HasPrefix(key, nodePrefix):
		b.nodes.remove(strings.TrimPrefix(key, nodePrefix))
	}
}

// publish builds the next view and makes it current. The caller holds the mutex.
func (b *Builder) publish() *View {
	for _, id := range b.servers.removeGoneBefore(time.Now().Add(-goneRetention)) {
		if instance := id.Instance(); b.incarnations[instance] == id {
			delete(b.incarnations, instance)
		}
	}
	before := b.current.Load()
	published := &View{Revision: b.revision, Table: b.table}
	published.Unchanged.Table = before != nil && before.Table == b.table
	b.servers.publish(published)
	published.Nodes, published.Unchanged.Nodes = b.nodes.publish()
	published.Evacuations, published.Unchanged.Evacuations = b.evacuations.publish()
	published.Owners, _ = b.owners.publish()
	published.Managers, _ = b.managers.publish()
	published.Retired, _ = b.retired.publish()
	b.current.Store(published)
	return published
}
