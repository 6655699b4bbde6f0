// Package shardmanager runs the manager of each key-divided service: it takes the
// manager's lock in the store, drives the pure core in package shards, and
// carries out what that asks for.
package shardmanager

import (
	"context"
	"encoding/json"
	"math/rand/v2"
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

// Orders carries orders to servers.
type Orders interface {
	// Grant gives a server keys or renews its hold on them.
	Grant(ctx context.Context, grant shards.Grant) shards.Outcome
	// Release takes keys from a server and returns its handover.
	Release(ctx context.Context, release shards.Release) (shards.Outcome, string)
	// Prune ends connections that are not needed any more.
	Prune(now time.Time)
}

// Notices tells the other nodes what is about to change.
type Notices interface {
	// Moving announces ranges that are about to change hands.
	Moving(service string, epoch uint64, ranges []shards.Range)
	// Written passes on what was just written to the store.
	Written(item topo.Item)
}

const (
	lockTTL  = 2 * time.Second
	lockKeep = 400 * time.Millisecond
	// keepTimeout is how long one renewal may take: the store may have done it
	// without an answer, and another call on another connection gets one.
	keepTimeout   = 500 * time.Millisecond
	keepRetry     = 20 * time.Millisecond
	tickInterval  = 50 * time.Millisecond
	pruneInterval = time.Second
	releaseWait   = 6 * time.Second
	campaignPause = 200 * time.Millisecond
	// campaignStep is for how much longer than the next better node one waits
	// before it campaigns, so that not all of them do; campaignSteps bounds that.
	campaignStep  = 150 * time.Millisecond
	campaignSteps = 6
	// settleTime is how long no server must have registered before the first map
	// is made, and settleLimit how long that is waited for.
	settleTime  = 1500 * time.Millisecond
	settleLimit = 5 * time.Second
	// goneGrace is how long a server whose entry is missing keeps its keys, since
	// entries may lapse while the store is down and come back.
	goneGrace = 900 * time.Millisecond
	// outageAuthority is how long a manager that cannot reach the store renews
	// unchanged grants; shards.Options.PreviousAuthority must not be less.
	outageAuthority = 60 * time.Second
)

// Config is what a manager needs.
type Config struct {
	Self    view.Node
	Store   topo.Store
	Views   *view.Builder
	Orders  Orders
	Notices Notices
	Options shards.Options
	Logger  *zap.Logger
}

// Manager campaigns for one service's lock and manages its keys while it holds it.
type Manager struct {
	config  Config
	service string
	logger  *zap.Logger

	mutex sync.Mutex
	// term is the current time in office; nil without the lock.
	term *term
}

// New returns a manager for a service.
func New(config Config, service string) *Manager {
	return &Manager{config: config, service: service, logger: config.Logger.With(zap.String("service", service))}
}

// Run campaigns and manages until the context ends; then it gives the lock up.
func (m *Manager) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if m.taken() {
			periodic.Pause(ctx, campaignPause)
			continue
		}
		periodic.Pause(ctx, m.campaignDelay())
		if ctx.Err() != nil || m.taken() {
			continue
		}
		lock, err := m.campaign(ctx)
		if err != nil {
			if !errors.Is(err, topo.ErrConflict) {
				m.logger.Info("campaign failed", zap.Error(err))
			}
			periodic.Pause(ctx, campaignPause+time.Duration(rand.Int64N(int64(campaignPause))))
			continue
		}
		m.serve(ctx, lock)
	}
	return nil
}

// taken reports whether a manager holds the service's lock.
func (m *Manager) taken() bool { return m.config.Views.Current().Managers[m.service].Epoch != 0 }

// campaignDelay is how long this node waits before it campaigns: the longer the
// more nodes there are with a greater share of a processor.
func (m *Manager) campaignDelay() time.Duration {
	better := 0
	for _, node := range m.config.Views.Current().Nodes {
		if node.Share > m.config.Self.Share || (node.Share == m.config.Self.Share && node.Name < m.config.Self.Name) {
			better++
		}
	}
	delay := time.Duration(min(better, campaignSteps)) * campaignStep
	return delay + time.Duration(rand.Int64N(int64(campaignStep/2)))
}

// lock is a manager's lock in the store.
type lock struct {
	lease topo.LeaseID
	// epoch is the revision at which the lock was written.
	epoch int64
	// keptAt is when the last successful renewal was sent.
	keptAt time.Time
}

func (m *Manager) campaign(ctx context.Context) (*lock, error) {
	sentAt := time.Now()
	lease, _, err := m.config.Store.GrantLease(ctx, lockTTL)
	if err != nil {
		return nil, err
	}
	value, err := json.Marshal(m.config.Self)
	if err != nil {
		return nil, errors.Wrap(err, "encode manager entry")
	}
	key := view.ManagerKey(m.service)
	epoch, err := m.config.Store.Commit(ctx, topo.Transaction{
		Conditions: []topo.Condition{{Key: key}},
		Puts:       []topo.Put{{Key: key, Value: value, Lease: lease}},
	})
	if err != nil {
		// If the commit was done unnoticed, the lease ends the lock.
		_ = m.config.Store.EndLease(ctx, lease)
		return nil, err
	}
	termsTotal.WithLabelValues(m.service).Inc()
	m.logger.Info("manager lock taken", zap.Int64("epoch", epoch))
	return &lock{lease: lease, epoch: epoch, keptAt: sentAt}, nil
}

// serve manages the keys until the lock is lost or the context ends.
func (m *Manager) serve(ctx context.Context, held *lock) {
	current, revision, err := m.readMap(ctx)
	if err != nil {
		m.logger.Warn("owner map unreadable", zap.Error(err))
		_ = m.config.Store.EndLease(ctx, held.lease)
		return
	}
	t := newTerm(m, held, current, revision)
	m.setTerm(t)
	defer m.setTerm(nil)
	t.run(ctx)
	if ctx.Err() == nil {
		m.retire(ctx, t)
	} else {
		ending, cancel := context.WithTimeout(context.Background(), lockKeep)
		defer cancel()
		_ = m.config.Store.EndLease(ending, held.lease)
	}
}

// retire tells the next manager that a term which lost its lock sends no orders
// any more, so that it need not wait for them.
func (m *Manager) retire(ctx context.Context, t *term) {
	t.orders.Wait()
	if wait := t.lateOrders(); wait > 0 {
		m.logger.Info("retirement waits for late orders", zap.Int64("epoch", t.lock.epoch), zap.Duration("wait", wait))
		periodic.Pause(ctx, wait)
	}
	value, err := json.Marshal(view.Retirement{Process: m.config.Self.Process, Epoch: t.lock.epoch})
	if err != nil {
		m.logger.Error("retirement not encoded", zap.Error(err))
		return
	}
	retirement := topo.Transaction{Puts: []topo.Put{{Key: view.RetiredKey(m.service, m.config.Self.Name), Value: value}}}
	for ctx.Err() == nil {
		_, err = m.config.Store.Commit(ctx, retirement)
		if err == nil {
			break
		}
		periodic.Pause(ctx, campaignPause)
	}
	m.logger.Info("manager retired", zap.Int64("epoch", t.lock.epoch), zap.Error(err))
}

func (m *Manager) setTerm(t *term) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.term = t
}

// RecordLoad takes in what a node saw.
func (m *Manager) RecordLoad(keys []uint32, weight float64, servers []ServerLoad) {
	m.mutex.Lock()
	t := m.term
	m.mutex.Unlock()
	if t != nil {
		t.recordLoad(keys, weight, servers)
	}
}

func (m *Manager) readMap(ctx context.Context) (*shards.Map, int64, error) {
	key := view.OwnersKey(m.service)
	items, _, err := m.config.Store.List(ctx, key)
	if err != nil {
		return nil, 0, err
	}
	for _, item := range items {
		if item.Key == key {
			decoded, err := shards.DecodeMap(item.Value)
			return decoded, item.Revision, err
		}
	}
	return nil, 0, nil
}

// ServerLoad sums up what a node saw of one server.
type ServerLoad struct {
	Server discovery.ServerID
	// Attempts counts requests that were answered or given up.
	Attempts uint32
	// Busy is for how long the server had them.
	Busy time.Duration
}
