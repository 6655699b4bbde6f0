package shardmanager

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/micahaven/micahaven/internal/shards"
	"github.com/micahaven/micahaven/internal/topo"
	"github.com/micahaven/micahaven/internal/view"
)

// lock is a manager's lock in the store. One of an earlier era of the store is void.
type lock struct {
	lease topo.LeaseID
	// revision is the one at which the lock was written.
	revision int64
	// keptAt is the manager's clock's reading when the last successful renewal was sent.
	keptAt time.Duration
}

// era returns the store's era in which the lock was taken.
func (l lock) era() int64 { return topo.EraOf(l.revision) }

// ownerMap is an owner map from which a term continues; Map is nil if there is none.
type ownerMap struct {
	*shards.Map
	// key is where the store has the map, and revision the one of it; 0 if it has none.
	key      string
	revision int64
	// frozen is true if the map comes from a term of this process.
	frozen bool
}

// candidacy is one attempt to take the lock.
type candidacy struct {
	lock  lock
	epoch uint64
	// era is the store's era for which the candidacy is, and staleLock the revision of the lock of
	// an earlier era that it replaces; 0 if there is none.
	era       int64
	staleLock int64
	core      *shards.Manager
	found     ownerMap
	written   *shards.Map
	encoded   []byte
	identity  []byte
}

// campaign tries to take the lock. The map of the new term is written together
// with it, so that a manager that has the lock may send orders at once, even if
// the store is lost right after. The term continues from the map of a frozen term of this
// process, if there is one, or else from the newest that the store or this node has.
func (m *Manager) campaign(ctx context.Context, frozen *shards.Map) (*term, error) {
	attempt, err := m.prepare(ctx, frozen)
	if err != nil {
		return nil, err
	}
	attempt.lock.revision, err = m.config.Store.Commit(ctx, m.candidacyOf(attempt))
	if err != nil {
		err = m.settleCampaign(ctx, attempt, err)
	}
	if err == nil && attempt.lock.era() != attempt.era {
		err = topo.ErrRestored
	}
	if err != nil {
		m.withdraw(ctx, attempt)
		return nil, err
	}
	termsTotal.WithLabelValues(m.service).Inc()
	m.logger.Info("manager lock taken", zap.Uint64("epoch", attempt.epoch), zap.Int64("revision", attempt.lock.revision),
		zap.Bool("verified", attempt.core.Verified()), zap.Bool("continued", attempt.found.frozen))
	return newTerm(m, attempt), nil
}

// prepare reads the map and gets a lease.
func (m *Manager) prepare(ctx context.Context, frozen *shards.Map) (*candidacy, error) {
	found, era, err := m.readMap(ctx)
	if err != nil {
		return nil, err
	}
	if frozen != nil {
		written := found.key == view.OwnersKey(m.service, era)
		if written && found.Author.Process != m.config.Self.Process {
			return nil, errors.Wrapf(errSucceeded, "era %d", era)
		}
		found.Map, found.frozen = frozen, true
	}
	staleLock, err := m.readStaleLock(ctx, era)
	if err != nil {
		return nil, err
	}
	attempt := &candidacy{found: found, era: era, staleLock: staleLock, lock: lock{keptAt: m.config.Clock()}}
	attempt.lock.lease, _, err = m.config.Store.GrantLease(ctx, lockTTL)
	if err != nil {
		return nil, err
	}
	attempt.epoch = m.nextEpoch(found.Map, era)
	author := shards.Author{Node: m.config.Self.Name, Process: m.config.Self.Process, Epoch: attempt.epoch}
	attempt.core = shards.NewManager(m.service, attempt.epoch, author, found.Map, m.config.Options, 0)
	attempt.identity, err = json.Marshal(view.Manager{Node: m.config.Self, Era: era})
	if err != nil {
		return nil, errors.Wrap(err, "encode manager entry")
	}
	if !attempt.core.Started() {
		return attempt, nil
	}
	attempt.written = attempt.core.Map(0)
	attempt.encoded, err = attempt.written.Encode()
	return attempt, err
}

// candidacyOf returns the transaction that takes the lock and installs the map. A lock of an
// earlier era is replaced, and maps of earlier eras are removed.
func (m *Manager) candidacyOf(attempt *candidacy) topo.Transaction {
	lockKey, mapKey := view.ManagerKey(m.service), view.OwnersKey(m.service, attempt.era)
	lockCondition, mapCondition := topo.Condition{Key: lockKey, Revision: attempt.staleLock}, topo.Condition{Key: mapKey}
	transaction := topo.Transaction{Puts: []topo.Put{{Key: lockKey, Value: attempt.identity, Lease: attempt.lock.lease}}}
	if attempt.encoded != nil {
		transaction.Puts = append(transaction.Puts, topo.Put{Key: mapKey, Value: attempt.encoded})
	}
	if attempt.found.key == mapKey {
		mapCondition.Revision = attempt.found.revision
	} else if attempt.found.key != "" && attempt.encoded != nil {
		transaction.Deletes = []string{attempt.found.key}
	}
	transaction.Conditions = []topo.Condition{lockCondition, mapCondition}
	return transaction
}

// settleCampaign finds out whether a candidacy without an answer was done.
func (m *Manager) settleCampaign(ctx context.Context, attempt *candidacy, cause error) error {
	if errors.Is(cause, topo.ErrConflict) || errors.Is(cause, topo.ErrRefused) || errors.Is(cause, topo.ErrLeaseGone) {
		return cause
	}
	key := view.ManagerKey(m.service)
	items, _, err := m.config.Store.List(ctx, key)
	if err != nil {
		return cause
	}
	for _, item := range items {
		if item.Key == key && item.Lease == attempt.lock.lease {
			attempt.lock.revision = item.Revision
			return nil
		}
	}
	return cause
}

// withdraw gives up a candidacy, which may still be carried out: without the
// lease it takes no lock, and disown says that no orders of its epoch follow.
func (m *Manager) withdraw(ctx context.Context, attempt *candidacy) {
	// If it fails, the lease ends by itself.
	_ = m.config.Store.EndLease(ctx, attempt.lock.lease)
}

// disown retires from terms of this process that others may wait for although
// they are over: their candidacy was carried out after it was given up. It must
// not be called while a term runs.
func (m *Manager) disown(ctx context.Context) {
	current := m.config.Views.Current()
	owners := current.Owners[m.service]
	if owners.Owners == nil {
		return
	}
	last := uint64(0)
	for _, author := range append([]shards.Author{owners.Author}, owners.Pending...) {
		if author.Process == m.config.Self.Process {
			last = max(last, author.Epoch)
		}
	}
	if last == 0 || owners.Resigned {
		return
	}
	self := m.config.Self
	// A restored store may have lost the retirement.
	if owners.Era > m.retiredEra || current.MaySendOrders(m.service, self.Name, self.Process, int64(last)) {
		m.writeRetirement(ctx, last)
	}
}

// readMap returns the newest owner map that the store or this node has, and the store's era. A
// map of an earlier era is unverified, and so is a service without a map in a store that was
// restored before.
func (m *Manager) readMap(ctx context.Context) (ownerMap, int64, error) {
	items, at, err := m.config.Store.List(ctx, view.OwnersKey(m.service, 0))
	if err != nil {
		return ownerMap{}, 0, err
	}
	era := topo.EraOf(at)
	var newest topo.Item
	newestEra := int64(-1)
	for _, item := range items {
		service, written, found := view.ParseOwnersKey(item.Key)
		if found && service == m.service && written > newestEra {
			newest, newestEra = item, written
		}
	}
	found := ownerMap{key: newest.Key, revision: newest.Revision}
	if newestEra >= 0 {
		if found.Map, err = shards.DecodeMap(newest.Value); err != nil {
			return ownerMap{}, 0, err
		}
	}
	if newestEra == era || newestEra < 0 && era == 0 {
		return found, era, nil
	}
	found.Map, err = m.rememberedMap(found.Map)
	return found, era, err
}
