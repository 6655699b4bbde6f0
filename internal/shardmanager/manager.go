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

	"github.com/micahaven/micahaven/internal/clock"
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
	// Succeeded passes the map of a new term on to managers of earlier ones, which
	// the store may not serve.
	Succeeded(predecessors []shards.Author, item topo.Item)
	// TermOver tells the service's present manager that this process sends no
	// orders of a term, or of those before it, any more.
	TermOver(service string, epoch uint64)
}

const (
	lockTTL  = 2 * time.Second
	lockKeep = 400 * time.Millisecond
	// keepTimeout is how long one renewal may take: the store may have done it
	// without an answer, and another call on another connection gets one.
	keepTimeout  = 500 * time.Millisecond
	keepRetry    = 20 * time.Millisecond
	tickInterval = 50 * time.Millisecond
	// lookInterval is the pause between two looks at servers that have not changed: what
	// time alone changes of them is whether they are gone, warm or faster.
	lookInterval  = 200 * time.Millisecond
	pruneInterval = time.Second
	releaseWait   = 6 * time.Second
	campaignPause = 200 * time.Millisecond
	// campaignStep is for how much longer than the next better node one waits
	// before it campaigns, so that not all of them do; campaignSteps bounds that.
	campaignStep  = 150 * time.Millisecond
	campaignSteps = 6
	// maxCampaignPause bounds the pause after campaigns that failed: each call
	// costs, refused ones too.
	maxCampaignPause = 1200 * time.Millisecond
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
	// Limits returns how many requests a second a server takes, if it names a limit; nil if
	// no server does. It must not call back.
	Limits func(server string) (rate float64, limited bool)
	// Clock measures what others count on: how long the lock lasts and for how long a manager
	// may go on without the store. It must run while the machine is suspended.
	Clock  clock.Clock
	Logger *zap.Logger
}

// Manager campaigns for one service's lock and manages its keys while it holds it.
type Manager struct {
	config  Config
	service string
	logger  *zap.Logger

	mutex sync.Mutex
	// lastEpoch is the greatest epoch that this process has tried to begin.
	lastEpoch uint64
	// retiredEra is the store's era in which the last retirement was written.
	retiredEra int64
	// era is the store's era that this manager saw last, outside of terms, and eraSince the
	// clock's reading when it did so first.
	era      int64
	eraSince time.Duration
	// term is the current time in office; nil without the lock.
	term *term
}

// New returns a manager for a service.
func New(config Config, service string) *Manager {
	return &Manager{config: config, service: service, logger: config.Logger.With(zap.String("service", service))}
}

// Run campaigns and manages until the context ends; then it gives the lock up.
func (m *Manager) Run(ctx context.Context) error {
	pause := campaignPause
	for ctx.Err() == nil {
		m.disown(ctx)
		if m.taken() {
			periodic.Pause(ctx, campaignPause)
			continue
		}
		periodic.Pause(ctx, m.campaignDelay())
		if ctx.Err() != nil || m.taken() {
			continue
		}
		elected, err := m.campaign(ctx, nil)
		if err != nil {
			if !errors.Is(err, topo.ErrConflict) {
				m.logger.Info("campaign failed", zap.Error(err))
			}
			periodic.Pause(ctx, pause+time.Duration(rand.Int64N(int64(campaignPause))))
			pause = min(2*pause, maxCampaignPause)
			continue
		}
		pause = campaignPause
		m.serve(ctx, elected)
	}
	return nil
}

// taken reports whether a manager holds the service's lock. One that held it in an earlier era
// is given time to take it again, since it knows best who holds keys; that time begins when this
// node has a copy of the new era, because the store may refuse calls before.
func (m *Manager) taken() bool {
	current := m.config.Views.Current()
	held := current.Managers[m.service]
	era := max(m.config.Store.Era(), topo.EraOf(current.Revision))
	if held.Revision != 0 && held.Era >= era || topo.EraOf(current.Revision) < era {
		return true
	}
	owners := current.Owners[m.service]
	if owners.Owners == nil || owners.Resigned || owners.Era >= era {
		return false
	}
	return m.inReclaimGrace(era) && current.MaySendOrders(m.service, owners.Author.Node, owners.Author.Process, int64(owners.Author.Epoch))
}

// campaignDelay is how long this node waits before it campaigns: the longer the
// more nodes there are with a greater share of a processor.
func (m *Manager) campaignDelay() time.Duration {
	better := 0
	for _, node := range m.config.Views.Current().Nodes.All() {
		if node.Share > m.config.Self.Share || (node.Share == m.config.Self.Share && node.Name < m.config.Self.Name) {
			better++
		}
	}
	delay := time.Duration(min(better, campaignSteps)) * campaignStep
	return delay + time.Duration(rand.Int64N(int64(campaignStep/2)))
}

// serve manages the keys until the lock is lost or the context ends. If the store is restored,
// the next term follows without a pause.
func (m *Manager) serve(ctx context.Context, t *term) {
	defer m.setTerm(nil)
	for t != nil {
		m.setTerm(t)
		t = m.serveTerm(ctx, t)
	}
}

// serveTerm manages the keys for one term, and returns the one that continues it in a new era
// of the store; nil if there is none.
func (m *Manager) serveTerm(ctx context.Context, t *term) *term {
	var next *term
	var reclaiming sync.WaitGroup
	watching, cancel := context.WithCancel(ctx)
	reclaiming.Go(func() { next = m.reclaim(watching, t) })
	t.run(ctx)
	cancel()
	reclaiming.Wait()
	if next != nil {
		return next
	}
	if ctx.Err() == nil {
		m.retire(ctx, t)
		return nil
	}
	ending, cancelEnd := context.WithTimeout(context.Background(), lockKeep)
	defer cancelEnd()
	_ = m.config.Store.EndLease(ending, t.lock.lease)
	return nil
}

// retire tells the next manager that a term which lost its lock sends no orders
// any more, so that it need not wait for them.
func (m *Manager) retire(ctx context.Context, t *term) {
	t.orders.Wait()
	if !t.installed() {
		// Without a map there were no orders, and nobody waits for them.
		return
	}
	if wait := t.lateOrders(); wait > 0 {
		m.logger.Info("retirement waits for late orders", zap.Uint64("epoch", t.epoch), zap.Duration("wait", wait))
		periodic.Pause(ctx, wait)
	}
	m.writeRetirement(ctx, t.epoch)
}

// writeRetirement writes that this node sends no orders of a term or of those
// before it any more, and repeats that until it is done.
func (m *Manager) writeRetirement(ctx context.Context, epoch uint64) {
	retirement := view.Retirement{Process: m.config.Self.Process, Epoch: int64(epoch)}
	value, err := json.Marshal(retirement)
	if err != nil {
		m.logger.Error("retirement not encoded", zap.Error(err))
		return
	}
	key := view.RetirementKey(m.service, m.config.Self.Name)
	for ctx.Err() == nil {
		// The store may turn this node away, but not the present manager's.
		m.config.Notices.TermOver(m.service, epoch)
		var revision int64
		revision, err = m.config.Store.Commit(ctx, topo.Transaction{Puts: []topo.Put{{Key: key, Value: value}}})
		if err == nil {
			m.retiredEra = topo.EraOf(revision)
			// The store's word may take seconds to come back; it need not be written
			// twice.
			m.config.Views.ApplyRetirement(key, retirement)
			break
		}
		periodic.Pause(ctx, campaignPause)
	}
	m.logger.Info("manager retired", zap.Uint64("epoch", epoch), zap.Error(err))
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

// ServerLoad sums up what a node saw of one server.
type ServerLoad struct {
	Server discovery.ServerID
	// Attempts counts requests that were answered or given up.
	Attempts uint32
	// Busy is for how long the server had them.
	Busy time.Duration
}
