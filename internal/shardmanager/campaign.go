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

// lock is the manager lock that this node holds in the store. A lock from an earlier store era is
// void.
type lock struct {
	lease topo.LeaseID
	// revision is the store revision at which the lock was written.
	revision int64
	// renewedAt is the manager clock's reading when the last successful renewal was sent.
	renewedAt time.Duration
}

// era returns the store era in which the lock was acquired.
func (l lock) era() int64 { return topo.EraOf(l.revision) }

// baseMap is the owner map that a term continues from; Map is nil if there is none.
type baseMap struct {
	*shards.Map
	// key and revision are the store key and the revision of the map; empty and 0 if the store has
	// none.
	key      string
	revision int64
	// frozen reports whether the map comes from a frozen term of this process, whose grants need
	// connections that were open by connectedBy unless that is 0.
	frozen      bool
	connectedBy time.Duration
}

// candidacy is one attempt to acquire the lock.
type candidacy struct {
	lock  lock
	epoch uint64
	// era is the store era that the candidacy is for. staleLock is the revision of the lock from an
	// earlier era that it replaces; 0 if there is none.
	era          int64
	staleLock    int64
	core         *shards.Manager
	base         baseMap
	written      *shards.Map
	encodedMap   []byte
	managerEntry []byte
}

// campaign tries to acquire the lock. The map of the new term is written in the same transaction as
// the lock, so that a manager with the lock may send orders at once, even if the store becomes
// unavailable right afterwards. The term continues from the map of a frozen term of this process if
// there is one, and otherwise from the newest map known to the store or this node.
func (m *Manager) campaign(ctx context.Context, frozen *frozenMap) (*term, error) {
	attempt, err := m.prepare(ctx, frozen)
	if err != nil {
		return nil, err
	}
	attempt.lock.revision, err = m.config.Store.Commit(ctx, m.lockTransaction(attempt))
	if err != nil {
		err = m.resolveCampaign(ctx, attempt, err)
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
		zap.Bool("verified", attempt.core.Verified()), zap.Bool("continued", attempt.base.frozen))
	return newTerm(m, attempt), nil
}

// prepare reads the current map, obtains a lease and builds the candidacy.
func (m *Manager) prepare(ctx context.Context, frozen *frozenMap) (*candidacy, error) {
	base, era, err := m.readMap(ctx)
	if err != nil {
		return nil, err
	}
	if frozen != nil {
		written := base.key == view.OwnersKey(m.service, era)
		if written && base.Author.Process != m.config.Self.Process {
			return nil, errors.Wrapf(errNewerTerm, "era %d", era)
		}
		base = frozen.baseIn(era, base)
	}
	staleLock, err := m.readStaleLock(ctx, era)
	if err != nil {
		return nil, err
	}
	attempt := &candidacy{base: base, era: era, staleLock: staleLock, lock: lock{renewedAt: m.config.Clock()}}
	attempt.lock.lease, _, err = m.config.Store.GrantLease(ctx, lockTTL)
	if err != nil {
		return nil, err
	}
	attempt.epoch = m.nextEpoch(base.Map, era)
	author := shards.Author{Node: m.config.Self.Name, Process: m.config.Self.Process, Epoch: attempt.epoch}
	attempt.core = shards.NewManager(m.service, attempt.epoch, author, base.Map, m.config.Options, 0)
	attempt.managerEntry, err = json.Marshal(view.Manager{Node: m.config.Self, Era: era})
	if err != nil {
		return nil, errors.Wrap(err, "encode manager entry")
	}
	if !attempt.core.Started() {
		return attempt, nil
	}
	attempt.written = attempt.core.Map(0)
	attempt.encodedMap, err = attempt.written.Encode()
	return attempt, err
}

// lockTransaction returns the transaction that acquires the lock and writes the initial map. It
// replaces a lock from an earlier era and deletes maps of earlier eras.
func (m *Manager) lockTransaction(attempt *candidacy) topo.Transaction {
	lockKey, mapKey := view.ManagerKey(m.service), view.OwnersKey(m.service, attempt.era)
	lockCondition, mapCondition := topo.Condition{Key: lockKey, Revision: attempt.staleLock}, topo.Condition{Key: mapKey}
	transaction := topo.Transaction{Puts: []topo.Put{{Key: lockKey, Value: attempt.managerEntry, Lease: attempt.lock.lease}}}
	if attempt.encodedMap != nil {
		transaction.Puts = append(transaction.Puts, topo.Put{Key: mapKey, Value: attempt.encodedMap})
	}
	if attempt.base.key == mapKey {
		mapCondition.Revision = attempt.base.revision
	} else if attempt.base.key != "" && attempt.encodedMap != nil {
		transaction.Deletes = []string{attempt.base.key}
	}
	transaction.Conditions = []topo.Condition{lockCondition, mapCondition}
	return transaction
}

// resolveCampaign reads the store to find out whether a transaction whose response was lost was
// applied.
func (m *Manager) resolveCampaign(ctx context.Context, attempt *candidacy, cause error) error {
	if errors.Is(cause, topo.ErrConflict) || errors.Is(cause, topo.ErrRefused) || errors.Is(cause, topo.ErrLeaseEnded) {
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

// withdraw abandons a candidacy whose transaction may still be applied later. Without its lease it
// cannot hold the lock, and retirePastTerms announces that no orders of its epoch follow.
func (m *Manager) withdraw(ctx context.Context, attempt *candidacy) {
	// If this fails, the lease expires on its own.
	_ = m.config.Store.EndLease(ctx, attempt.lock.lease)
}

// retirePastTerms retires terms of this process that are over but that other managers may still
// wait for, because their transaction was applied after the candidacy was abandoned. It must not be
// called during a term.
func (m *Manager) retirePastTerms(ctx context.Context) {
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
	// A restored store may have lost the retirement record.
	if owners.Era > m.retiredEra || current.MaySendOrders(m.service, self.Name, self.Process, int64(last)) {
		m.writeRetirement(ctx, last)
	}
}

// readMap returns the newest owner map known to the store or this node, and the store era. A map
// from an earlier era is unverified, and so is a service without a map in a store that has been
// restored.
func (m *Manager) readMap(ctx context.Context) (baseMap, int64, error) {
	items, at, err := m.config.Store.List(ctx, view.OwnersKey(m.service, 0))
	if err != nil {
		return baseMap{}, 0, err
	}
	era := topo.EraOf(at)
	var newest topo.Item
	newestEra := int64(-1)
	for _, item := range items {
		service, written, found := view.ParseOwnersKey(item.Key)
		if found && service == m.service && written > newestEra && written <= era {
			newest, newestEra = item, written
		}
	}
	found := baseMap{key: newest.Key, revision: newest.Revision}
	if newestEra >= 0 {
		if found.Map, err = shards.DecodeMap(newest.Value); err != nil {
			found.Map, err = m.replaceUnreadableMap(newest.Revision, err)
			return found, era, err
		}
	}
	if newestEra == era || newestEra < 0 && era == 0 {
		if found.Map != nil {
			found.Incomplete = found.Unverified
		}
		return found, era, nil
	}
	if found.Map, err = m.newestKnownMap(found.Map); err == nil {
		// The store may have lost changes of owners and registrations that no running node knows.
		found.Incomplete = true
	}
	return found, era, err
}
