package shardmanager

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/micahaven/micahaven/internal/periodic"
	"github.com/micahaven/micahaven/internal/shards"
	"github.com/micahaven/micahaven/internal/view"
)

// This file handles a store that was restored from an older copy: locks from earlier eras are void,
// maps from earlier eras are unverified, and the epochs of an era are greater than those of all
// earlier eras.

const (
	// reclaimGrace is how long the manager of an earlier era has to acquire its lock again.
	reclaimGrace = 1500 * time.Millisecond
	// eraPollInterval is the pause between two checks of the store era.
	eraPollInterval = 20 * time.Millisecond
)

// errNewerTerm reports that another manager has written a map since the store was restored.
var errNewerTerm = errors.New("another manager has begun a term")

// eraEpochs is the number of epochs in a store era. Each era has its own range, above the epochs of
// all earlier eras, whose maps may be lost.
const eraEpochs = 1 << 20

// nextEpoch returns the epoch of a candidacy. It never returns an epoch twice, because the
// transaction of an earlier candidacy may still be applied.
func (m *Manager) nextEpoch(found *shards.Map, era int64) uint64 {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.lastEpoch = max(m.lastEpoch, uint64(era)*eraEpochs)
	if found != nil {
		m.lastEpoch = max(m.lastEpoch, found.Epoch)
	}
	m.lastEpoch++
	return m.lastEpoch
}

// lostEpochs bounds the epochs of maps that this node has not seen before another writer replaced
// them.
const lostEpochs = 1 << 10

// replaceUnreadableMap returns the map that replaces one that cannot be read because another writer
// has put it there at the given revision: the newest one known to this node, marked as unverified. It
// returns the given error if this node knows no map, or if its copy is from before that write and may
// lack maps from before it.
func (m *Manager) replaceUnreadableMap(revision int64, cause error) (*shards.Map, error) {
	current := m.config.Views.Current()
	if current.Owners[m.service].Owners == nil || current.Revision < revision {
		return nil, errors.Wrap(cause, "read owner map")
	}
	known, err := m.newestKnownMap(nil)
	if err != nil {
		return nil, err
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.lastEpoch = max(m.lastEpoch, known.Epoch+lostEpochs)
	m.logger.Error("owner map of another writer replaced", zap.Int64("revision", revision), zap.Uint64("known_epoch", known.Epoch),
		zap.Error(cause))
	return known, nil
}

// inReclaimGrace reports whether this node first saw the given era so recently that the manager of
// the earlier era may still acquire its lock again.
func (m *Manager) inReclaimGrace(era int64) bool {
	now := m.config.Clock()
	if m.era != era {
		m.era, m.eraSeenAt = era, now
	}
	return now-m.eraSeenAt < reclaimGrace
}

// reclaim waits for a new store era, acquires the lock again in it and returns the term that
// continues the given one. It returns nil if the context ends or another manager has written a map
// in the new era.
func (m *Manager) reclaim(ctx context.Context, t *term) *term {
	for m.config.Store.Era() <= t.lock.era() {
		periodic.Pause(ctx, eraPollInterval)
		if ctx.Err() != nil {
			return nil
		}
	}
	frozen := t.freeze()
	if frozen != nil {
		frozen.era = m.config.Store.Era()
	}
	m.logger.Warn("manager lock void, store was restored", zap.Uint64("epoch", t.epoch), zap.Int64("era", m.config.Store.Era()))
	for pause := eraPollInterval; ctx.Err() == nil; pause = min(2*pause, retryPause) {
		next, err := m.campaign(ctx, frozen)
		if err == nil {
			t.endTerm()
			return next
		}
		m.logger.Info("campaign in a new era failed", zap.Error(err))
		if errors.Is(err, errNewerTerm) {
			t.endTerm()
			return nil
		}
		periodic.Pause(ctx, pause)
	}
	return nil
}

// lockVoid reports whether the store has been restored since the term began.
func (t *term) lockVoid() bool { return t.manager.config.Store.Era() > t.lock.era() }

// frozenMap is the map from which the next term of this process continues.
type frozenMap struct {
	*shards.Map
	// era is the store era in which the map was frozen.
	era int64
	// doubtful is true if a successor may have begun in what was lost, but not before connectedBy.
	doubtful    bool
	connectedBy time.Duration
}

// freeze restricts the term to renewing existing grants, and returns the map that the next term of
// this process may continue from; nil if there is none. If the lock may have lapsed before the restore,
// a successor may have changed owners in what was lost: the map is incomplete, and grants are renewed only
// over connections from before.
func (t *term) freeze() *frozenMap {
	connectedBy := t.connectedBy()
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if !t.core.Started() {
		return nil
	}
	frozen := &frozenMap{Map: t.core.Freeze(t.now()), connectedBy: connectedBy}
	if t.continuedBy > 0 {
		frozen.connectedBy = t.continuedBy
	}
	if t.continuedBy > 0 || t.sinceRenewal() >= lockTTL {
		frozen.doubtful, t.continuedBy = true, frozen.connectedBy
		frozen.Incomplete = true
	}
	return frozen
}

// baseIn returns the map from which a term in the given era continues. If the store was restored again
// since the map was frozen, another manager may have begun in between.
func (f *frozenMap) baseIn(era int64, base baseMap) baseMap {
	continued := *f.Map
	base.Map, base.frozen = &continued, true
	if f.doubtful || era > f.era {
		continued.Incomplete, base.connectedBy = true, f.connectedBy
	}
	return base
}

// readStaleLock returns the revision of a lock that was acquired before the given era; 0 if there
// is none.
func (m *Manager) readStaleLock(ctx context.Context, era int64) (int64, error) {
	if era == 0 {
		return 0, nil
	}
	key := view.ManagerKey(m.service)
	items, _, err := m.config.Store.List(ctx, key)
	if err != nil {
		return 0, err
	}
	for _, item := range items {
		var held view.Manager
		if item.Key != key {
			continue
		}
		if err := json.Unmarshal(item.Value, &held); err != nil {
			return 0, errors.Wrapf(err, "read manager entry %q", key)
		}
		if held.Era < era {
			return item.Revision, nil
		}
	}
	return 0, nil
}

// newestKnownMap returns the newer of the owner map of a restored store, which may be nil, and the
// one known to this node. The result is marked unverified.
func (m *Manager) newestKnownMap(restored *shards.Map) (*shards.Map, error) {
	newest := &shards.Map{Service: m.service}
	if restored != nil {
		*newest = *restored
	}
	known := m.config.Views.Current().Owners[m.service]
	if known.Owners != nil && known.NewerThan(&shards.Owners{Epoch: newest.Epoch, Sequence: newest.Sequence}) {
		decoded, err := shards.DecodeMap(known.Encoded)
		if err != nil {
			return nil, err
		}
		newest = decoded
	}
	newest.Unverified, newest.Continued = true, false
	return newest, nil
}
