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

// term is one time in office. Its mutex guards the core and what follows; it is
// never held while something is called that blocks.
type term struct {
	manager *Manager
	lock    *lock
	// epoch is that of the maps and fences of this term.
	epoch uint64
	// start is the clock's reading at the begin of the term.
	start time.Duration
	ended context.CancelFunc
	// calls is the context of orders to servers; endCalls ends them.
	calls    context.Context
	endCalls context.CancelFunc

	mutex       sync.Mutex
	core        *shards.Manager
	mapRevision int64
	// written is the map that the store holds; nil before the first one.
	written *shards.Map
	// keptAt is the clock's reading when the last successful renewal of the lock was sent.
	keptAt      time.Duration
	storeFailed bool
	speeds      speeds
	firstSeen   time.Time
	lastJoined  time.Time
	known       map[discovery.ServerID]bool
	// seen are the servers that the core was told of last, and seenAt when that was.
	seen   view.ServerIndex
	seenAt time.Time
	// orders counts what is on its way to servers and the store.
	orders sync.WaitGroup
	// resigning is true once no more orders may be sent.
	resigning bool
}

func newTerm(m *Manager, won *candidacy) *term {
	t := &term{
		manager: m,
		lock:    &won.lock,
		epoch:   won.epoch,
		start:   m.config.Clock(),
		core:    won.core,
		keptAt:  won.lock.keptAt,
		speeds:  make(speeds),
		known:   make(map[discovery.ServerID]bool),
	}
	if won.written != nil {
		// The map was written together with the lock.
		t.core.Installed(0)
		t.mapRevision = won.lock.revision
		t.written = won.written
		item := topo.Item{Key: view.OwnersKey(m.service, won.era), Value: won.encoded, Revision: won.lock.revision}
		m.config.Notices.Written(item)
		m.config.Notices.Succeeded(won.written.Pending, item)
	}
	return t
}

// installed reports whether the store holds a map of this term.
func (t *term) installed() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.written != nil
}

// lookAtPredecessors tells the core which earlier managers send no orders any
// more. The caller holds the mutex.
func (t *term) lookAtPredecessors(current *view.View) {
	self := t.manager.config.Self
	t.core.AuthorsOver(t.now(), func(author shards.Author) bool {
		// The orders of an earlier term of this process were waited for.
		own := author.Node == self.Name && author.Process == self.Process
		return own || !current.MaySendOrders(t.manager.service, author.Node, author.Process, int64(author.Epoch))
	})
}

// now is how long the term has lasted, suspension of the machine included: servers and other
// managers count on the length of grants and of this term.
func (t *term) now() time.Duration { return t.manager.config.Clock() - t.start }

// run manages until the lock is lost or the parent context ends; then it resigns.
func (t *term) run(parent context.Context) {
	ctx, cancel := context.WithCancel(context.WithoutCancel(parent))
	defer cancel()
	t.ended = cancel
	t.calls, t.endCalls = context.WithCancel(ctx)
	defer t.endCalls()
	go t.keepLock(ctx)
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

// step lets the core look at the world and carries out what it asks for.
func (t *term) step(ctx context.Context) {
	current := t.manager.config.Views.Current()
	t.mutex.Lock()
	if t.resigning {
		t.mutex.Unlock()
		return
	}
	if t.superseded(current) {
		t.mutex.Unlock()
		t.manager.logger.Warn("manager superseded", zap.Uint64("epoch", t.epoch), zap.Int64("revision", current.Revision))
		t.ended()
		return
	}
	if t.unkept() > outageAuthority {
		t.mutex.Unlock()
		t.ended()
		return
	}
	t.lookAtServers(current)
	t.lookAtPredecessors(current)
	t.core.SetStoreHealthy(!t.storeFailed && t.unkept() < lockTTL)
	if !t.core.Started() && t.settled() {
		t.core.Start()
	}
	commands := t.core.Tick(t.now())
	t.carryOut(ctx, commands)
	t.mutex.Unlock()
}

// superseded reports whether a later term has begun, as other nodes tell: the
// store may serve them and not this node. The lock of this term is over then,
// because the map of a term is written together with its lock.
func (t *term) superseded(current *view.View) bool {
	owners := current.Owners[t.manager.service]
	return owners.Owners != nil && owners.Epoch > t.epoch && owners.Author.Process != t.manager.config.Self.Process
}

// settled reports whether all servers have probably registered.
func (t *term) settled() bool {
	if len(t.known) == 0 {
		return false
	}
	return time.Since(t.lastJoined) > settleTime || time.Since(t.firstSeen) > settleLimit
}

// lookAtServers tells the core what the view says of the service's servers. The
// caller holds the mutex.
func (t *term) lookAtServers(current *view.View) {
	now := time.Now()
	if current.Servers == t.seen && now.Sub(t.seenAt) < lookInterval {
		return
	}
	t.seen, t.seenAt = current.Servers, now
	var servers []shards.Server
	var dead []discovery.ServerID
	addresses := serversByAddress(current)
	bounded := warmUpBounded(current, t.manager.service)
	for _, s := range current.Services[t.manager.service].All() {
		if !t.known[s.ID] {
			t.known[s.ID] = true
			t.lastJoined = now
			if t.firstSeen.IsZero() {
				t.firstSeen = now
			}
		}
		ended := hasEnded(s, addresses)
		if ended {
			dead = append(dead, s.ID)
		}
		capacity := t.speeds.capacity(s.ID, s.Slots)
		servers = append(servers, shards.Server{
			ID: s.ID, Address: s.Address, Version: s.Version, Accepting: !ended && accepts(now, current, s),
			Capacity: capacity, Reduced: isReduced(capacity, s.Slots),
			Warming: bounded && now.Before(current.WarmUntil(s)),
		})
	}
	t.applyRateLimits(current, servers)
	t.core.SetServers(servers, dead)
}

// applyRateLimits bounds the capacities of servers with a rate limit. The caller holds the mutex.
func (t *term) applyRateLimits(current *view.View, servers []shards.Server) {
	if t.manager.config.Limits == nil {
		return
	}
	all := 0.0
	for _, server := range servers {
		if server.Accepting {
			all += server.Capacity
		}
	}
	requestRate := t.core.RequestRate(t.now())
	for index := range servers {
		server := &servers[index]
		limit, limited := t.manager.config.Limits(string(server.ID))
		if !limited {
			continue
		}
		server.Capacity = capacityWithin(limit, server.Capacity, all-server.Capacity, requestRate)
		server.Reduced = isReduced(server.Capacity, current.Servers.Get(server.ID).Slots)
	}
}

// serversByAddress returns the servers whose entries are there, of those with one address
// the one whose entry is the newest.
func serversByAddress(current *view.View) map[string]*view.Server {
	addresses := make(map[string]*view.Server, current.Servers.Len())
	for _, s := range current.Servers.All() {
		if other := addresses[s.Address]; s.GoneSince.IsZero() && (other == nil || s.Revision > other.Revision) {
			addresses[s.Address] = s
		}
	}
	return addresses
}

// hasEnded reports whether a server whose entry is missing has surely ended, because it
// registered again as a later life or another one has its address since. Its keys move at once: they need not wait for its
// entry to come back (goneGrace). An entry that is older says nothing: it may be that of an
// earlier life.
func hasEnded(s *view.Server, addresses map[string]*view.Server) bool {
	if s.Ended {
		return true
	}
	other := addresses[s.Address]
	if s.GoneSince.IsZero() || other == nil || other.ID == s.ID {
		return false
	}
	// A restored store may have the entry of an earlier server.
	return other.Revision > s.Revision && topo.EraOf(other.Revision) == topo.EraOf(s.Revision)
}

// accepts reports whether a server may be given keys.
func accepts(now time.Time, current *view.View, s *view.Server) bool {
	_, evacuated := current.Evacuated(s.Zone)
	return s.DrainingSince.IsZero() && !s.Gone(now, goneGrace) && !evacuated
}

// warmUpBounded reports whether a service's servers bear only so many requests a second
// while they warm up.
func warmUpBounded(current *view.View, name string) bool {
	if current.Table == nil {
		return false
	}
	service, _ := current.Table.Service(name)
	return service.WarmUpRate > 0
}

// carryOut starts everything the core asked for. The caller holds the mutex, so
// that no order starts after the term stopped giving orders.
func (t *term) carryOut(ctx context.Context, commands shards.Commands) {
	if len(commands.Moving) > 0 {
		t.manager.config.Notices.Moving(t.manager.service, t.epoch, commands.Moving)
	}
	for _, r := range commands.Restored {
		t.manager.logger.Info("range restored to its owner", zap.String("server", string(r.Owner)), zap.Uint32("first", r.First),
			zap.Uint32("last", r.Last), zap.Uint64("fence", r.Fence), zap.Duration("store_unseen", t.unkept()))
	}
	for _, release := range commands.Releases {
		t.orders.Go(func() { t.release(ctx, release) })
	}
	for _, grant := range commands.Grants {
		t.orders.Go(func() { t.grant(grant) })
	}
	if commands.Commit != nil {
		t.orders.Go(func() { t.commit(ctx, commands.Commit.Map) })
	}
}

// lateOrders is for how long grants that got no answer may still be carried out.
func (t *term) lateOrders() time.Duration {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.core.LateOrdersUntil() - t.now()
}

const (
	// resignWait is how long a manager that steps down waits for its orders.
	resignWait = 1200 * time.Millisecond
	// releasesWait is after how much of that it gives up orders without an answer: a
	// release waits for what runs on its keys, which may take far longer.
	releasesWait = 800 * time.Millisecond
)

// resign writes that no order will follow, so that the next manager need not wait for
// those of this one.
func (t *term) resign() {
	ctx, cancel := context.WithTimeout(context.Background(), resignWait)
	defer cancel()
	if !t.endOrders(ctx) || !t.writeResignation(ctx) {
		t.manager.logger.Warn("manager ends without resigning", zap.Uint64("epoch", t.epoch))
		return
	}
	t.manager.logger.Info("manager resigned", zap.Uint64("epoch", t.epoch))
}

// endOrders waits until no order is on its way, and gives those up that take too long.
// It reports whether none is.
func (t *term) endOrders(ctx context.Context) bool {
	done := make(chan struct{})
	go func() {
		t.orders.Wait()
		close(done)
	}()
	hurry := time.AfterFunc(releasesWait, t.endCalls)
	defer hurry.Stop()
	select {
	case <-done:
		return true
	case <-ctx.Done():
		return false
	}
}

// writeResignation reports whether the store has the last word of this manager. One
// without a map gave no orders, and a map without ranges could not be read by the next
// manager: it writes nothing.
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

func (t *term) grant(grant shards.Grant) {
	sentAt := t.now()
	bounded, cancel := context.WithTimeout(t.calls, t.manager.config.Options.CallTimeout)
	defer cancel()
	outcome := t.manager.config.Orders.Grant(bounded, grant)
	ordersTotal.WithLabelValues(t.manager.service, "grant", outcome.String()).Inc()
	if outcome != shards.Accepted {
		t.manager.logger.Info("grant failed", zap.String("server", string(grant.Owner)), zap.Uint32("first", grant.First),
			zap.Uint32("last", grant.Last), zap.Uint64("fence", grant.Fence), zap.Stringer("outcome", outcome))
	}
	t.mutex.Lock()
	t.core.GrantDone(t.now(), shards.GrantResult{Grant: grant, SentAt: sentAt, Outcome: outcome})
	// The fences of a term are above those of all terms before it. Without the store, this
	// is how a manager learns of the next one.
	over := outcome == shards.Superseded && t.storeFailed && shards.EpochOf(grant.Fence) == t.epoch
	t.mutex.Unlock()
	if over {
		t.manager.logger.Warn("manager superseded, as a server tells", zap.Uint64("epoch", t.epoch), zap.String("server", string(grant.Owner)))
		t.ended()
	}
}

func (t *term) release(ctx context.Context, release shards.Release) {
	bounded, cancel := context.WithTimeout(t.calls, releaseWait)
	defer cancel()
	startedAt := time.Now()
	outcome, handover := t.manager.config.Orders.Release(bounded, release)
	ordersTotal.WithLabelValues(t.manager.service, "release", outcome.String()).Inc()
	t.manager.logger.Info("release", zap.String("server", string(release.Owner)), zap.Uint32("first", release.First),
		zap.Uint32("last", release.Last), zap.Uint64("fence", release.Fence), zap.Stringer("outcome", outcome),
		zap.Bool("handover", handover != ""), zap.Duration("took", time.Since(startedAt)),
		zap.Stringer("reason", release.Move.Reason), zap.Float64("load", release.Move.Load))
	if outcome == shards.Accepted {
		movesTotal.WithLabelValues(t.manager.service, release.Move.Reason.String()).Inc()
	}
	t.mutex.Lock()
	t.core.ReleaseDone(shards.ReleaseResult{Release: release, Outcome: outcome, Handover: handover})
	t.mutex.Unlock()
	if outcome == shards.Accepted {
		t.step(ctx)
	}
}

// commit writes the map if this manager still holds the lock and the map is the
// one it knows, and reports whether it did. An unanswered write is settled by reading
// before anything else.
func (t *term) commit(ctx context.Context, written *shards.Map) bool {
	encoded, err := written.Encode()
	if err != nil {
		t.manager.logger.Error("owner map not encoded", zap.Error(err))
		t.ended()
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
			revision, err = t.settle(ctx, expected, encoded, err)
		}
		if err == nil && topo.EraOf(revision) != t.lock.era() {
			// The lock is void, and so is what is written under it.
			return false
		}
		if err == nil {
			t.manager.config.Notices.Written(topo.Item{Key: key, Value: encoded, Revision: revision})
			t.committed(ctx, revision, written)
			return true
		}
		if errors.Is(err, topo.ErrConflict) && !t.lockVoid() {
			t.manager.logger.Warn("owner map changed by another manager", zap.Uint64("epoch", t.epoch))
			t.ended()
			return false
		}
		periodic.Pause(ctx, campaignPause)
	}
	return false
}

// mapKey is where the maps of this term are.
func (t *term) mapKey() string { return view.OwnersKey(t.manager.service, t.lock.era()) }

// settle finds out whether a write that failed was done after all.
func (t *term) settle(ctx context.Context, expected int64, encoded []byte, cause error) (int64, error) {
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

func (t *term) committed(ctx context.Context, revision int64, written *shards.Map) {
	t.mutex.Lock()
	t.mapRevision = revision
	t.core.Committed(t.now())
	before := t.written
	t.written = written
	t.mutex.Unlock()
	t.logOwners(before, written)
	commitsTotal.WithLabelValues(t.manager.service).Inc()
	t.manager.logger.Info("owner map committed", zap.Int64("revision", revision), zap.Int("ranges", len(written.Ranges)))
	t.step(ctx)
}

// logOwners writes a line for each range that has another owner than before.
func (t *term) logOwners(before, after *shards.Map) {
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
