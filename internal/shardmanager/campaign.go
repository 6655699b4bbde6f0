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

// lock is a manager's lock in the store.
type lock struct {
	lease topo.LeaseID
	// revision is the one at which the lock was written.
	revision int64
	// keptAt is the manager's clock's reading when the last successful renewal was sent.
	keptAt time.Duration
}

// ownerMap is an owner map as it is in the store; Map is nil if there is none.
type ownerMap struct {
	*shards.Map
	revision int64
}

// candidacy is one attempt to take the lock.
type candidacy struct {
	lock     lock
	epoch    uint64
	core     *shards.Manager
	found    ownerMap
	written  *shards.Map
	encoded  []byte
	identity []byte
}

// campaign tries to take the lock. The map of the new term is written together
// with it, so that a manager that has the lock may send orders at once, even if
// the store is lost right after.
func (m *Manager) campaign(ctx context.Context) (*term, error) {
	attempt, err := m.prepare(ctx)
	if err != nil {
		return nil, err
	}
	attempt.lock.revision, err = m.config.Store.Commit(ctx, m.candidacyOf(attempt))
	if err != nil {
		err = m.settleCampaign(ctx, attempt, err)
	}
	if err != nil {
		m.withdraw(ctx, attempt)
		return nil, err
	}
	termsTotal.WithLabelValues(m.service).Inc()
	m.logger.Info("manager lock taken", zap.Uint64("epoch", attempt.epoch), zap.Int64("revision", attempt.lock.revision))
	return newTerm(m, attempt), nil
}

// prepare reads the map and gets a lease.
func (m *Manager) prepare(ctx context.Context) (*candidacy, error) {
	found, err := m.readMap(ctx)
	if err != nil {
		return nil, err
	}
	attempt := &candidacy{found: found, lock: lock{keptAt: m.config.Clock()}}
	attempt.lock.lease, _, err = m.config.Store.GrantLease(ctx, lockTTL)
	if err != nil {
		return nil, err
	}
	if found.Map != nil {
		m.lastEpoch = max(m.lastEpoch, found.Epoch)
	}
	// An earlier attempt may still be carried out; its epoch is not used again.
	m.lastEpoch++
	attempt.epoch = m.lastEpoch
	author := shards.Author{Node: m.config.Self.Name, Process: m.config.Self.Process, Epoch: attempt.epoch}
	attempt.core = shards.NewManager(m.service, attempt.epoch, author, found.Map, m.config.Options, 0)
	attempt.identity, err = json.Marshal(m.config.Self)
	if err != nil {
		return nil, errors.Wrap(err, "encode manager entry")
	}
	if found.Map == nil {
		return attempt, nil
	}
	attempt.written = attempt.core.Map(0)
	attempt.encoded, err = attempt.written.Encode()
	return attempt, err
}

// candidacyOf returns the transaction that takes the lock and installs the map.
func (m *Manager) candidacyOf(attempt *candidacy) topo.Transaction {
	lockKey, mapKey := view.ManagerKey(m.service), view.OwnersKey(m.service)
	transaction := topo.Transaction{
		Conditions: []topo.Condition{{Key: lockKey}, {Key: mapKey, Revision: attempt.found.revision}},
		Puts:       []topo.Put{{Key: lockKey, Value: attempt.identity, Lease: attempt.lock.lease}},
	}
	if attempt.encoded != nil {
		transaction.Puts = append(transaction.Puts, topo.Put{Key: mapKey, Value: attempt.encoded})
	}
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
	self := m.config.Self
	if last > 0 && !owners.Resigned && current.SendsOrders(m.service, self.Name, self.Process, int64(last)) {
		m.writeRetirement(ctx, last)
	}
}

// readMap returns the owner map that the store has.
func (m *Manager) readMap(ctx context.Context) (ownerMap, error) {
	key := view.OwnersKey(m.service)
	items, _, err := m.config.Store.List(ctx, key)
	if err != nil {
		return ownerMap{}, err
	}
	for _, item := range items {
		if item.Key == key {
			decoded, err := shards.DecodeMap(item.Value)
			return ownerMap{Map: decoded, revision: item.Revision}, err
		}
	}
	return ownerMap{}, nil
}
