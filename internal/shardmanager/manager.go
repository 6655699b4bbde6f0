// Package shardmanager runs the manager of each key-sharded service. It acquires the manager lock
// in the store, drives the side-effect-free state machine in package shards, and executes the
// commands that this returns.
package shardmanager

import (
	"context"
	"encoding/json"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/micahaven/micahaven/internal/clock"
	"github.com/micahaven/micahaven/internal/discovery"
	"github.com/micahaven/micahaven/internal/periodic"
	"github.com/micahaven/micahaven/internal/shards"
	"github.com/micahaven/micahaven/internal/topo"
	"github.com/micahaven/micahaven/internal/view"
)

// Orders sends orders to servers.
type Orders interface {
	// Grant grants keys to a server or renews an existing grant.
	Grant(ctx context.Context, grant shards.Grant) shards.Outcome
	// Release revokes keys from a server and returns the server's handover.
	Release(ctx context.Context, release shards.Release) (shards.Outcome, string)
	// Check releases a key that the server does not own, from this node only. Its outcome shows whether
	// this node reaches the server.
	Check(ctx context.Context, check shards.Release) shards.Outcome
	// Prune closes connections that are no longer needed.
	Prune(now time.Time)
}

// Notices notifies other nodes of ownership and term changes without going through the store.
type Notices interface {
	// Moving announces ranges whose owner is about to change.
	Moving(service string, epoch uint64, ranges []shards.Range)
	// PublishItem sends an item that was just written to the store to other nodes.
	PublishItem(item topo.Item)
	// NotifyPredecessors sends the map of a new term to the managers of earlier terms, because the
	// store may not be serving them.
	NotifyPredecessors(predecessors []shards.Author, item topo.Item)
	// TermOver notifies the service's current manager that this process sends no more orders of the
	// given term or of earlier ones.
	TermOver(service string, epoch uint64)
}

const (
	lockTTL           = 2 * time.Second
	lockRenewInterval = 400 * time.Millisecond
	// renewTimeout bounds one renewal call: the store may have applied the renewal without
	// responding, and a retry on another connection gets a response.
	renewTimeout    = 500 * time.Millisecond
	renewRetryPause = 20 * time.Millisecond
	tickInterval    = 50 * time.Millisecond
	// serverRefreshInterval is the pause between two evaluations of an unchanged set of servers.
	// The passing of time alone changes only whether a server is gone or warm, and its estimated
	// speed.
	serverRefreshInterval = 200 * time.Millisecond
	pruneInterval         = time.Second
	releaseTimeout        = 6 * time.Second
	retryPause            = 200 * time.Millisecond
	// campaignStagger is the additional campaign delay for each of the first candidates that ranks
	// higher, so that the next one campaigns only if those before it failed. The nodes after the
	// first candidates are lateCampaignStagger apart, so that a large system does not campaign at
	// once.
	campaignStagger     = 150 * time.Millisecond
	firstCandidates     = 6
	lateCampaignStagger = 30 * time.Millisecond
	// maxCampaignPause bounds the backoff after failed campaigns: every store call has a cost,
	// including refused ones.
	maxCampaignPause = 1200 * time.Millisecond
	// The first map is made once no server has registered for registrationQuietPeriod, or
	// maxRegistrationWait after the first registration at the latest.
	registrationQuietPeriod = 1500 * time.Millisecond
	maxRegistrationWait     = 5 * time.Second
	// goneGrace is how long a server keeps its keys after its entry disappears, because entries may
	// lapse during a store outage and be written again.
	goneGrace = 900 * time.Millisecond
	// outageAuthority is how long a manager that cannot reach the store continues to renew
	// unchanged grants; shards.Options.PredecessorRenewal must not be less.
	outageAuthority = 60 * time.Second
)

// Config holds the dependencies and settings of a Manager.
type Config struct {
	Self    view.Node
	Store   topo.Store
	Views   *view.Builder
	Orders  Orders
	Notices Notices
	Options shards.Options
	// RateLimit returns the rate limit of a server in requests per second, if it has announced one.
	// It is nil if servers announce no limits. It must not call back into the manager.
	RateLimit func(server string) (rate float64, limited bool)
	// ReachesNoServer reports whether this node's requests to a service's servers fail. It is nil if
	// that is not known. It must not call back into the manager.
	ReachesNoServer func(service string) bool
	// AgreedAt returns the latest time, on Clock, at which no other node can have been a manager that this
	// node does not know of, as far as the store or the other nodes have said; 0 if there is none. It is
	// nil if that is not known. It must not call back into the manager.
	AgreedAt func() time.Duration
	// Clock measures the durations that other processes rely on: how long the lock is valid and how
	// long a manager may continue without the store. It must keep running while the machine is
	// suspended.
	Clock  clock.Clock
	Logger *zap.Logger
}

// Manager campaigns for one service's lock and assigns the service's keys while it holds the lock.
type Manager struct {
	config  Config
	service string
	logger  *zap.Logger

	mutex sync.Mutex
	// lastEpoch is the greatest epoch for which this process has campaigned.
	lastEpoch uint64
	// retiredEra is the store era in which the last retirement was written.
	retiredEra int64
	// era is the newest store era seen outside of terms, and eraSeenAt the clock reading when it
	// was first seen.
	era       int64
	eraSeenAt time.Duration
	// steppedDownAt is the clock reading when this node last stepped down because it reached no
	// server; it is valid if steppedDown is set.
	steppedDown   bool
	steppedDownAt time.Duration
	// term is the current term; nil while this node does not hold the lock.
	term *term
}

// New returns a manager for the given service.
func New(config Config, service string) *Manager {
	return &Manager{config: config, service: service, logger: config.Logger.With(zap.String("service", service))}
}

// Run campaigns for the lock and manages the service's keys until the context ends; then it
// releases the lock.
func (m *Manager) Run(ctx context.Context) error {
	pause := retryPause
	for ctx.Err() == nil {
		m.retirePastTerms(ctx)
		if m.lockTaken() {
			periodic.Pause(ctx, retryPause)
			continue
		}
		periodic.Pause(ctx, m.campaignDelay()+m.contactDelay())
		if ctx.Err() != nil || m.lockTaken() {
			continue
		}
		elected, err := m.campaign(ctx, nil)
		if err != nil {
			if !errors.Is(err, topo.ErrConflict) {
				m.logger.Info("campaign failed", zap.Error(err))
			}
			periodic.Pause(ctx, pause+time.Duration(rand.Int64N(int64(retryPause))))
			pause = min(2*pause, maxCampaignPause)
			continue
		}
		pause = retryPause
		m.serve(ctx, elected)
	}
	return nil
}

// lockTaken reports whether a manager holds the service's lock. A manager that held it in an
// earlier era gets time to acquire it again, because it has the most recent information on key
// owners. That time begins when this node has a copy of the new era, because the store may refuse
// calls until then.
func (m *Manager) lockTaken() bool {
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

// campaignDelay returns how long this node waits before it campaigns. Nodes with a smaller share of
// a processor wait longer. After the first candidates the order is random, so that the loss of a
// zone leaves no gap.
func (m *Manager) campaignDelay() time.Duration {
	better := 0
	for _, node := range m.config.Views.Current().Nodes.All() {
		if node.Share > m.config.Self.Share || (node.Share == m.config.Self.Share && node.Name < m.config.Self.Name) {
			better++
		}
	}
	delay := time.Duration(min(better, firstCandidates))*campaignStagger + time.Duration(rand.Int64N(int64(campaignStagger/2)))
	if better < firstCandidates {
		return delay
	}
	position := float64(xxhash.Sum64String(m.config.Self.Name)) / math.MaxUint64 * float64(m.config.Views.Current().Nodes.Len()-firstCandidates)
	return delay + time.Duration(max(0, position)*float64(lateCampaignStagger))
}

// serve manages the keys until the lock is lost or the context ends. After a restore of the store,
// the next term follows immediately.
func (m *Manager) serve(ctx context.Context, t *term) {
	defer m.setTerm(nil)
	for t != nil {
		m.setTerm(t)
		t = m.serveTerm(ctx, t)
	}
}

// serveTerm manages the keys for one term. It returns the term that continues it in a new store
// era, or nil if there is none.
func (m *Manager) serveTerm(ctx context.Context, t *term) *term {
	var next *term
	var reclaiming sync.WaitGroup
	watching, cancel := context.WithCancel(ctx)
	reclaiming.Go(func() { next = m.reclaim(watching, t) })
	leading, stepDown := context.WithCancel(ctx)
	defer stepDown()
	t.stepDown = stepDown
	t.run(leading)
	cancel()
	reclaiming.Wait()
	if next != nil {
		return next
	}
	if leading.Err() != nil {
		m.releaseLock(t)
	}
	if ctx.Err() != nil {
		return nil
	}
	if leading.Err() != nil {
		m.noteStepDown()
	}
	if !t.resigned {
		m.retire(ctx, t)
	}
	return nil
}

// releaseLock ends the lock of a term that is over. If that fails, the lock expires on its own.
func (m *Manager) releaseLock(t *term) {
	ctx, cancel := context.WithTimeout(context.Background(), lockRenewInterval)
	defer cancel()
	_ = m.config.Store.EndLease(ctx, t.lock.lease)
}

// retire announces to the next manager that a term which lost its lock sends no more orders, so
// that the next manager need not wait for them to expire.
func (m *Manager) retire(ctx context.Context, t *term) {
	t.inFlight.Wait()
	if !t.hasStoredMap() {
		// Without a map, no orders were sent that another manager could wait for.
		return
	}
	if wait := t.delayedGrantsWait(); wait > 0 {
		m.logger.Info("retirement waits for delayed grants", zap.Uint64("epoch", t.epoch), zap.Duration("wait", wait))
		periodic.Pause(ctx, wait)
	}
	m.writeRetirement(ctx, t.epoch)
}

// writeRetirement records in the store that this node sends no more orders of the given term or of
// earlier ones. It retries until the write succeeds.
func (m *Manager) writeRetirement(ctx context.Context, epoch uint64) {
	retirement := view.Retirement{Process: m.config.Self.Process, Epoch: int64(epoch)}
	value, err := json.Marshal(retirement)
	if err != nil {
		m.logger.Error("failed to encode retirement", zap.Error(err))
		return
	}
	key := view.RetirementKey(m.service, m.config.Self.Name)
	for ctx.Err() == nil {
		// The store may refuse this node while it serves the current manager's node, so the manager
		// is also notified directly.
		m.config.Notices.TermOver(m.service, epoch)
		var revision int64
		revision, err = m.config.Store.Commit(ctx, topo.Transaction{Puts: []topo.Put{{Key: key, Value: value}}})
		if err == nil {
			m.retiredEra = topo.EraOf(revision)
			// The watch may report this write only seconds later. Recording it locally avoids
			// writing it twice.
			m.config.Views.ApplyRetirement(key, retirement)
			break
		}
		periodic.Pause(ctx, retryPause)
	}
	m.logger.Info("manager retired", zap.Uint64("epoch", epoch), zap.Error(err))
}

func (m *Manager) setTerm(t *term) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.term = t
}

// RecordLoad records the load that a node observed.
func (m *Manager) RecordLoad(keys []uint32, weight float64, servers []ServerLoad) {
	m.mutex.Lock()
	t := m.term
	m.mutex.Unlock()
	if t != nil {
		t.recordLoad(keys, weight, servers)
	}
}

// ServerLoad summarizes the load that a node observed on one server.
type ServerLoad struct {
	Server discovery.ServerID
	// Attempts counts requests that were answered or abandoned.
	Attempts uint32
	// Busy is the total time that the server had these requests.
	Busy time.Duration
}

// answered reports whether the server seems to have answered requests: those that were abandoned took
// longer than timeout on average.
func (l ServerLoad) answered(timeout time.Duration) bool {
	return l.Attempts > 0 && l.Busy < time.Duration(l.Attempts)*timeout
}
