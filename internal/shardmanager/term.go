package shardmanager

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/micahaven/micahaven/internal/discovery"
	"github.com/micahaven/micahaven/internal/periodic"
	"github.com/micahaven/micahaven/internal/shards"
	"github.com/micahaven/micahaven/internal/topo"
	"github.com/micahaven/micahaven/internal/view"
)

// term is the period for which this node holds the manager lock. The mutex guards the core and the
// fields after it; it is never held during a blocking call.
type term struct {
	manager *Manager
	lock    *lock
	// epoch is the epoch of the maps and fences of this term.
	epoch uint64
	// start is the clock reading at the start of the term.
	start   time.Duration
	endTerm context.CancelFunc
	// ordersCtx is the parent context of orders to servers; cancelOrders cancels it.
	ordersCtx    context.Context
	cancelOrders context.CancelFunc
	// stepDown ends the term like a shutdown of this node.
	stepDown context.CancelFunc

	mutex sync.Mutex
	// contact records whether servers answer this manager.
	contact     contact
	core        *shards.Manager
	mapRevision int64
	// written is the map that the store holds; nil before the first commit.
	written *shards.Map
	// renewedAt is the clock reading when the last successful renewal of the lock was sent.
	renewedAt time.Duration
	// continuedBy is, after a restore, the time by which connections for grants from before it must have been
	// open, because a successor may have begun later in what was lost; 0 if none can have.
	continuedBy  time.Duration
	storeFailed  bool
	speeds       speeds
	firstSeen    time.Time
	lastJoined   time.Time
	knownServers map[discovery.ServerID]bool
	// slots are the slots of the servers last passed to the core that count for capacity.
	slots map[discovery.ServerID]int
	// lastServers is the server index last passed to the core, and lastServersAt the time of that.
	lastServers   view.ServerIndex
	lastServersAt time.Time
	// inFlight tracks orders and commits that have not completed.
	inFlight sync.WaitGroup
	// withholdingLogged is true once a withheld grant has been logged since the lock was last certain.
	withholdingLogged bool
	// resigning is true once no more orders may be sent, and resigned once the store says so.
	resigning, resigned bool
}

func newTerm(m *Manager, won *candidacy) *term {
	t := &term{
		manager:      m,
		lock:         &won.lock,
		epoch:        won.epoch,
		start:        m.config.Clock(),
		core:         won.core,
		renewedAt:    won.lock.renewedAt,
		continuedBy:  won.base.connectedBy,
		speeds:       make(speeds),
		knownServers: make(map[discovery.ServerID]bool),
	}
	if won.written != nil {
		// The map was written in the same transaction as the lock.
		t.core.InitialMapCommitted(0)
		t.mapRevision = won.lock.revision
		t.written = won.written
		item := topo.Item{Key: view.OwnersKey(m.service, won.era), Value: won.encodedMap, Revision: won.lock.revision}
		m.config.Notices.PublishItem(item)
		m.config.Notices.NotifyPredecessors(won.written.Pending, item)
	}
	return t
}

// hasStoredMap reports whether the store holds a map of this term.
func (t *term) hasStoredMap() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.written != nil
}

// updatePredecessors reports to the core which earlier managers send no more commands. The caller
// holds the mutex.
func (t *term) updatePredecessors(current *view.View) {
	self := t.manager.config.Self
	t.core.RemoveStoppedAuthors(t.now(), func(author shards.Author) shards.AuthorState {
		if author.Node == self.Name && author.Process == self.Process {
			// An earlier term of this process has already waited for its own orders, except for one
			// that was frozen: the map that continues it records them.
			return shards.Retired
		}
		return current.ManagerState(t.manager.service, author.Node, author.Process, int64(author.Epoch))
	})
}

// now returns the time since the start of the term, including time during which the machine was
// suspended, because servers and other managers rely on the duration of grants and of this term.
func (t *term) now() time.Duration { return t.manager.config.Clock() - t.start }

// run manages the keys until the lock is lost or the parent context ends; in the latter case it
// resigns.
func (t *term) run(parent context.Context) {
	ctx, cancel := context.WithCancel(context.WithoutCancel(parent))
	defer cancel()
	t.endTerm = cancel
	t.ordersCtx, t.cancelOrders = context.WithCancel(ctx)
	defer t.cancelOrders()
	go t.renewLock(ctx)
	go func() {
		_ = periodic.Run(ctx, pruneInterval, func(context.Context) { t.manager.config.Orders.Prune(time.Now()) })
	}()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		t.step(ctx)
		select {
		case <-parent.Done():
			t.stopOrders()
			t.resign()
			return
		case <-ctx.Done():
			t.stopOrders()
			t.manager.logger.Info("manager term ended", zap.Uint64("epoch", t.epoch))
			return
		case <-ticker.C:
		}
	}
}

func (t *term) stopOrders() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.resigning = true
}

// step passes the current view to the core and executes the commands that the core returns.
func (t *term) step(ctx context.Context) {
	// The view must not be older than this time: a successor that it does not show has begun later.
	connectedBy := t.connectedBy()
	current := t.manager.config.Views.Current()
	t.mutex.Lock()
	if t.resigning {
		t.mutex.Unlock()
		return
	}
	if t.superseded(current) {
		t.mutex.Unlock()
		t.manager.logger.Warn("manager superseded", zap.Uint64("epoch", t.epoch), zap.Int64("revision", current.Revision))
		t.endTerm()
		return
	}
	if t.sinceRenewal() > outageAuthority {
		t.mutex.Unlock()
		t.endTerm()
		return
	}
	if t.core.NearlyOutOfFences() && !t.storeFailed {
		t.manager.logger.Info("fences nearly used up, stepping down", zap.Uint64("epoch", t.epoch))
		t.stepDown()
	}
	t.updateServers(current)
	t.updatePredecessors(current)
	t.core.SetStoreHealthy(!t.storeFailed && t.sinceRenewal() < lockTTL)
	if !t.core.Started() && t.registrationsSettled() {
		t.core.Start()
	}
	commands := t.core.Tick(t.now())
	if t.continuedBy > 0 && (t.lockVoid() || !t.core.Verified()) {
		connectedBy = min(connectedBy, t.continuedBy)
	}
	t.execute(ctx, commands, connectedBy)
	t.mutex.Unlock()
}

// superseded reports whether a newer term has begun, according to other nodes, which the store may
// serve while it does not serve this node. The lock of this term is then lost, because the map of a
// term is written together with its lock.
func (t *term) superseded(current *view.View) bool {
	owners := current.Owners[t.manager.service]
	return owners.Owners != nil && owners.Epoch > t.epoch && owners.Author.Process != t.manager.config.Self.Process
}

// registrationsSettled reports whether all servers have probably registered.
func (t *term) registrationsSettled() bool {
	if len(t.knownServers) == 0 {
		return false
	}
	return time.Since(t.lastJoined) > registrationQuietPeriod || time.Since(t.firstSeen) > maxRegistrationWait
}

// updateServers passes the current state of the service's servers to the core. The caller holds the
// mutex.
func (t *term) updateServers(current *view.View) {
	now := time.Now()
	if current.Servers == t.lastServers && now.Sub(t.lastServersAt) < serverRefreshInterval {
		return
	}
	t.lastServers, t.lastServersAt = current.Servers, now
	var servers []shards.Server
	addresses := serversByAddress(current)
	warmUpLimited := hasWarmUpLimit(current, t.manager.service)
	t.slots = countedSlots(now, current.Services[t.manager.service])
	for _, s := range current.Services[t.manager.service].All() {
		if !t.knownServers[s.ID] {
			t.knownServers[s.ID] = true
			t.lastJoined = now
			if t.firstSeen.IsZero() {
				t.firstSeen = now
			}
		}
		slots := t.slots[s.ID]
		capacity := t.speeds.capacity(s.ID, slots)
		servers = append(servers, shards.Server{
			ID: s.ID, Address: s.Address, Version: s.Version, Accepting: !hasEnded(s, addresses) && acceptsKeys(now, current, s),
			Capacity: capacity, ReducedCapacity: isReduced(capacity, slots),
			Warming: warmUpLimited && now.Before(current.WarmUntil(s)),
		})
	}
	t.applyRateLimits(servers)
	t.core.SetServers(servers)
}

// serversByAddress indexes the servers whose entries are present by their address. If several share
// an address, the one with the newest entry is used. Entries of services that are not configured
// come from other writers and name no server.
func serversByAddress(current *view.View) map[string]*view.Server {
	addresses := make(map[string]*view.Server, current.Servers.Len())
	for _, s := range current.Servers.All() {
		if !isConfigured(current, s.Service) {
			continue
		}
		if other := addresses[s.Address]; s.GoneSince.IsZero() && (other == nil || s.Revision > other.Revision) {
			addresses[s.Address] = s
		}
	}
	return addresses
}

func isConfigured(current *view.View, service string) bool {
	if current.Table == nil {
		return true
	}
	_, configured := current.Table.Service(service)
	return configured
}

// hasEnded reports whether a server whose entry is missing seems to have ended: it has registered
// again as a newer incarnation, or another server has registered at its address since. Its keys
// are then released at once instead of waiting for its entry to return (goneGrace). An older entry
// at the address may belong to an earlier incarnation.
func hasEnded(s *view.Server, addresses map[string]*view.Server) bool {
	if s.Ended {
		return true
	}
	other := addresses[s.Address]
	if s.GoneSince.IsZero() || other == nil || other.ID == s.ID {
		return false
	}
	// In a restored store the entry may belong to an earlier server.
	return other.Revision > s.Revision && topo.EraOf(other.Revision) == topo.EraOf(s.Revision)
}

// acceptsKeys reports whether a server may be granted keys.
func acceptsKeys(now time.Time, current *view.View, s *view.Server) bool {
	_, evacuated := current.Evacuated(s.Zone)
	return s.DrainingSince.IsZero() && !s.Gone(now, goneGrace) && !evacuated
}

// hasWarmUpLimit reports whether the request rate of a service's servers is limited while they warm
// up.
func hasWarmUpLimit(current *view.View, name string) bool {
	if current.Table == nil {
		return false
	}
	service, _ := current.Table.Service(name)
	return service.WarmUpRate > 0
}

// commit writes the map if this manager still holds the lock and the stored map is the one that it
// last wrote, and reports whether it did. If a write gets no response, its outcome is read from the
// store before anything else.
func (t *term) commit(ctx context.Context, written *shards.Map) bool {
	encoded, err := written.Encode()
	if err != nil {
		t.manager.logger.Error("failed to encode owner map", zap.Error(err))
		t.endTerm()
		return false
	}
	t.mutex.Lock()
	expected := t.mapRevision
	t.mutex.Unlock()
	key := t.mapKey()
	transaction := topo.Transaction{
		Conditions: []topo.Condition{{Key: view.ManagerKey(t.manager.service), Revision: t.lock.revision}, {Key: key, Revision: expected}},
		Puts:       []topo.Put{{Key: key, Value: encoded}},
	}
	for ctx.Err() == nil && !t.lockVoid() {
		revision, err := t.manager.config.Store.Commit(ctx, transaction)
		if err != nil {
			revision, err = t.resolveCommit(ctx, expected, encoded, err)
		}
		if err == nil && topo.EraOf(revision) != t.lock.era() {
			// The lock is void, and so is anything written under it.
			return false
		}
		if err == nil {
			t.manager.config.Notices.PublishItem(topo.Item{Key: key, Value: encoded, Revision: revision})
			t.onCommitted(ctx, revision, written)
			return true
		}
		if errors.Is(err, topo.ErrConflict) && !t.lockVoid() {
			t.manager.logger.Warn("owner map changed by another manager", zap.Uint64("epoch", t.epoch))
			t.endTerm()
			return false
		}
		periodic.Pause(ctx, retryPause)
	}
	return false
}

// mapKey returns the store key of this term's maps.
func (t *term) mapKey() string { return view.OwnersKey(t.manager.service, t.lock.era()) }

// resolveCommit reads the store to find out whether a write that failed was applied after all.
func (t *term) resolveCommit(ctx context.Context, expected int64, encoded []byte, cause error) (int64, error) {
	key := t.mapKey()
	items, _, err := t.manager.config.Store.List(ctx, key)
	if err != nil {
		return 0, err
	}
	for _, item := range items {
		if item.Key != key || item.Revision == expected {
			continue
		}
		if string(item.Value) == string(encoded) {
			return item.Revision, nil
		}
		return 0, topo.ErrConflict
	}
	return 0, cause
}

func (t *term) onCommitted(ctx context.Context, revision int64, written *shards.Map) {
	t.mutex.Lock()
	t.mapRevision = revision
	t.core.CommitDone(t.now())
	before := t.written
	t.written = written
	t.mutex.Unlock()
	t.logOwnerChanges(before, written)
	commitsTotal.WithLabelValues(t.manager.service).Inc()
	t.manager.logger.Info("owner map committed", zap.Int64("revision", revision), zap.Int("ranges", len(written.Ranges)))
	t.step(ctx)
}

// logOwnerChanges logs each range whose owner or fence has changed.
func (t *term) logOwnerChanges(before, after *shards.Map) {
	for _, r := range after.Ranges {
		if before != nil {
			if known := before.Find(r.First); known.Owner == r.Owner && known.Fence == r.Fence {
				continue
			}
		}
		t.manager.logger.Info("range owner", zap.String("server", string(r.Owner)), zap.Uint32("first", r.First),
			zap.Uint32("last", r.Last), zap.Uint64("fence", r.Fence), zap.Bool("handover", r.Handover != ""))
	}
}
