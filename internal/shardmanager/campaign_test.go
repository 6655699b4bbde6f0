package shardmanager_test

import (
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/micahaven/micahaven/internal/clock"
	"github.com/micahaven/micahaven/internal/discovery"
	"github.com/micahaven/micahaven/internal/mirror"
	"github.com/micahaven/micahaven/internal/routing"
	"github.com/micahaven/micahaven/internal/shardmanager"
	"github.com/micahaven/micahaven/internal/shards"
	"github.com/micahaven/micahaven/internal/topo"
	"github.com/micahaven/micahaven/internal/topo/memory"
	"github.com/micahaven/micahaven/internal/view"
)

const service = "s"

// documents reads servers whose entry is their address.
type documents struct{}

func (documents) Table([]byte) (routing.Spec, error) { return routing.Spec{}, nil }

func (documents) Server(id string, text []byte) (discovery.Server, error) {
	return discovery.Server{ID: discovery.ServerID(id), Service: service, Address: string(text), Slots: 2}, nil
}

// orders accepts everything and counts grants.
type orders struct {
	mutex  sync.Mutex
	grants int
}

func (o *orders) Grant(context.Context, shards.Grant) shards.Outcome {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.grants++
	return shards.Accepted
}

func (o *orders) Release(context.Context, shards.Release) (shards.Outcome, string) {
	return shards.Accepted, ""
}

func (o *orders) Prune(time.Time) {}

func (o *orders) count() int {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.grants
}

type notices struct{}

func (notices) Moving(string, uint64, []shards.Range) {}
func (notices) Written(topo.Item)                     {}
func (notices) Succeeded([]shards.Author, topo.Item)  {}
func (notices) TermOver(string, uint64)               {}

// candidate runs a manager's node in one process and returns its orders and what
// ends the process without a word.
func candidate(t *testing.T, store topo.Store, name string) (*orders, func()) {
	t.Helper()
	return candidateWith(t, store, name, newViews(), notices{})
}

// suspendable is the clock of a machine that may be suspended: no other clock of the process
// runs on while it is.
type suspendable struct{ slept atomic.Int64 }

func (s *suspendable) now() time.Duration { return clock.Boot() + time.Duration(s.slept.Load()) }

func (s *suspendable) sleep(length time.Duration) { s.slept.Add(int64(length)) }

func newViews() *view.Builder {
	return view.NewBuilder(view.Layout{TableKey: "table", ServerPrefix: "servers/"}, documents{}, zap.NewNop())
}

// candidateWith is candidate with views and notices of the test.
func candidateWith(t *testing.T, store topo.Store, name string, views *view.Builder, told shardmanager.Notices) (*orders, func()) {
	t.Helper()
	return suspendableCandidate(t, store, name, views, told, clock.Boot)
}

// suspendableCandidate is candidateWith on a machine with a clock of its own.
func suspendableCandidate(t *testing.T, store topo.Store, name string, views *view.Builder, told shardmanager.Notices, measures clock.Clock) (*orders, func()) {
	t.Helper()
	copied := mirror.New(store, views, zap.NewNop())
	sent := &orders{}
	manager := shardmanager.New(shardmanager.Config{
		Self:  view.Node{Name: name, Process: "process of " + name, Share: 1},
		Store: store, Views: views, Orders: sent, Notices: told, Options: shards.DefaultOptions(),
		Clock: measures, Logger: zap.NewNop(),
	}, service)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = copied.Run(ctx) }()
	for {
		if _, _, listed := copied.Snapshot(); listed {
			break
		}
		time.Sleep(time.Millisecond)
	}
	go func() { _ = manager.Run(ctx) }()
	return sent, cancel
}

func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	const patience = 10 * time.Second
	deadline := time.Now().Add(patience)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("not within %v: %s", patience, what)
		}
		time.Sleep(2 * time.Millisecond)
	}
}

// crashable is a store that one process loses for ever.
type crashable struct {
	topo.Store
	mutex sync.Mutex
	gone  bool
}

func (c *crashable) crash() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.gone = true
}

func (c *crashable) lost() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.gone
}

func (c *crashable) Commit(ctx context.Context, transaction topo.Transaction) (int64, error) {
	if c.lost() {
		return 0, topo.ErrUnavailable
	}
	return c.Store.Commit(ctx, transaction)
}

func (c *crashable) KeepLease(ctx context.Context, id topo.LeaseID) error {
	if c.lost() {
		return topo.ErrUnavailable
	}
	return c.Store.KeepLease(ctx, id)
}

func (c *crashable) EndLease(ctx context.Context, id topo.LeaseID) error {
	if c.lost() {
		return topo.ErrUnavailable
	}
	return c.Store.EndLease(ctx, id)
}

// Seen on tintamezcla-gw scale-1 (refused 0.07 to 0.09 instead of 0.03): a new
// manager took the lock, the store went down before it had written its first map,
// and it renewed nothing until the store was back.
func TestNewManagerRenewsAlthoughTheStoreIsLostRightAfterTheLock(t *testing.T) {
	store := memory.New()
	store.Write("servers/a", []byte("address a"))
	first := &crashable{Store: store}
	sent, end := candidate(t, first, "n1")
	waitFor(t, "the first manager grants", func() bool { return sent.count() > 0 })
	first.crash()
	end()
	second, _ := candidate(t, &lostAfterCommit{Store: store, memory: store}, "n2")
	waitFor(t, "the second manager renews without the store", func() bool { return second.count() > 0 })
}

// lostAfterCommit is a store that goes down for ever right after the first commit.
type lostAfterCommit struct {
	topo.Store
	memory *memory.Store
}

func (l *lostAfterCommit) Commit(ctx context.Context, transaction topo.Transaction) (int64, error) {
	revision, err := l.Store.Commit(ctx, transaction)
	if err == nil {
		l.memory.SetFaults(memory.Faults{Down: true})
	}
	return revision, err
}

// An answer to the candidacy that is lost does not cost the term.
func TestCandidacyWhoseAnswerIsLostIsSettled(t *testing.T) {
	store := memory.New()
	store.Write("servers/a", []byte("address a"))
	losing := &losesFirstCommit{Store: store}
	sent, _ := candidate(t, losing, "n1")
	waitFor(t, "the manager grants", func() bool { return sent.count() > 0 })
	if terms := store.Calls("lease"); terms > 1 {
		t.Fatalf("%d leases were taken, want 1", terms)
	}
}

// losesFirstCommit does the first commit without an answer.
type losesFirstCommit struct {
	topo.Store
	once sync.Once
}

func (l *losesFirstCommit) Commit(ctx context.Context, transaction topo.Transaction) (int64, error) {
	revision, err := l.Store.Commit(ctx, transaction)
	l.once.Do(func() { revision, err = 0, topo.ErrUnavailable })
	return revision, err
}

// unserved is a store that turns one node away from a moment on, watches too.
type unserved struct{ crashable }

func (u *unserved) List(ctx context.Context, prefix string) ([]topo.Item, int64, error) {
	if u.lost() {
		return nil, 0, topo.ErrUnavailable
	}
	return u.Store.List(ctx, prefix)
}

func (u *unserved) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) ([]topo.Event, int64, error) {
	const short = 20 * time.Millisecond
	events, at, err := u.Store.Watch(ctx, prefix, after, min(wait, short))
	if u.lost() {
		return nil, 0, topo.ErrUnavailable
	}
	return events, at, err
}

// linked passes notices on to the views of another node of the test.
type linked struct {
	notices
	name  string
	other *view.Builder
}

func (l linked) Succeeded(_ []shards.Author, item topo.Item) {
	l.other.Apply([]topo.Event{{Item: item}}, l.other.Current().Revision)
}

func (l linked) TermOver(service string, epoch uint64) {
	l.other.ApplyRetirement(view.RetirementKey(service, l.name), view.Retirement{Process: "process of " + l.name, Epoch: int64(epoch)})
}

// Seen on kervran-hq trouble-1 (keys of a dead server refused for 7 s): the store
// turned a manager's node away and gave its lock to another one. It renewed on
// without the store, and its successor could not know when that would be over.
func TestManagerThatTheStoreRefusesHandsOverDirectly(t *testing.T) {
	store := memory.New()
	store.Write("servers/a", []byte("address a"))
	oldViews, newerViews := newViews(), newViews()
	refused := &unserved{crashable{Store: store}}
	sent, _ := candidateWith(t, refused, "n1", oldViews, linked{name: "n1", other: newerViews})
	waitFor(t, "the first manager grants", func() bool { return sent.count() > 0 })
	refused.crash()
	candidateWith(t, store, "n2", newerViews, linked{name: "n2", other: oldViews})
	waitFor(t, "the second manager knows that the first is over", func() bool {
		owners := newerViews.Current().Owners[service]
		return owners.Owners != nil && owners.Author.Node == "n2" && len(owners.Pending) == 0
	})
	before := sent.count()
	// Two renewals would come in this time.
	time.Sleep(2 * shards.DefaultOptions().Renew)
	if after := sent.count(); after != before {
		t.Fatalf("the first manager sent %d grants after its successor began", after-before)
	}
}

// countsRetirements counts writes of retirements. Once it takes writes again it
// still tells of no changes.
type countsRetirements struct {
	unserved
	writable atomic.Bool
	written  atomic.Int64
}

func (c *countsRetirements) Commit(ctx context.Context, transaction topo.Transaction) (int64, error) {
	if !c.writable.Load() {
		return c.unserved.Commit(ctx, transaction)
	}
	revision, err := c.Store.Commit(ctx, transaction)
	if err == nil && len(transaction.Puts) == 1 && strings.HasPrefix(transaction.Puts[0].Key, view.RetirementKey(service, "")) {
		c.written.Add(1)
	}
	return revision, err
}

// Seen on kervran-hq trouble-1: a node that heard late of its own write retired
// from the same term six times, a priced call each.
func TestRetirementIsWrittenOnce(t *testing.T) {
	store := memory.New()
	store.Write("servers/a", []byte("address a"))
	oldViews, newerViews := newViews(), newViews()
	refused := &countsRetirements{unserved: unserved{crashable{Store: store}}}
	sent, _ := candidateWith(t, refused, "n1", oldViews, linked{name: "n1", other: newerViews})
	waitFor(t, "the first manager grants", func() bool { return sent.count() > 0 })
	refused.crash()
	candidateWith(t, store, "n2", newerViews, linked{name: "n2", other: oldViews})
	waitFor(t, "the second manager begins", func() bool {
		owners := newerViews.Current().Owners[service]
		return owners.Owners != nil && owners.Author.Node == "n2"
	})
	refused.writable.Store(true)
	waitFor(t, "the first manager has retired", func() bool { return refused.written.Load() > 0 })
	// It would be repeated each 200 ms.
	time.Sleep(time.Second)
	if written := refused.written.Load(); written != 1 {
		t.Fatalf("the retirement was written %d times, want once", written)
	}
}
