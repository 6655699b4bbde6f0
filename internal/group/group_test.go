package group

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/micahaven/micahaven/internal/backend"
	"github.com/micahaven/micahaven/internal/holder"
	"github.com/micahaven/micahaven/internal/identity"
	"github.com/micahaven/micahaven/internal/ownership"
	"github.com/micahaven/micahaven/internal/placement"
	"github.com/micahaven/micahaven/internal/replication"
	"github.com/micahaven/micahaven/internal/table"
	"github.com/micahaven/micahaven/internal/wire"
	"github.com/micahaven/micahaven/internal/workers"
)

// fakeBackend holds servers in memory, by address.
type fakeBackend struct {
	clock   func() time.Duration
	mutex   sync.Mutex
	holders map[string]*holder.Holder
	// frozen servers answer nothing; broken ones run requests and then lose the
	// connection.
	frozen map[string]bool
	broken map[string]bool
	ran    map[string]int
}

func (b *fakeBackend) Session(ctx context.Context, address string, message *holder.Message) (*holder.Reply, error) {
	if b.isFrozen(address) {
		<-ctx.Done()
		return nil, backend.ErrUncertain
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.holders[address].Handle(b.clock(), message), nil
}

func (b *fakeBackend) Run(ctx context.Context, address string, dispatch *backend.Dispatch) (*wire.Response, error) {
	if b.isFrozen(address) {
		<-ctx.Done()
		return nil, backend.ErrUncertain
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if !b.holders[address].MayRun(b.clock(), dispatch.Slice, dispatch.Fence) {
		return nil, backend.ErrNotOwner
	}
	b.ran[address]++
	if b.broken[address] {
		return nil, errors.Wrap(backend.ErrUncertain, "connection broke")
	}
	return &wire.Response{Outcome: wire.Outcome_OUTCOME_DONE, Status: 200, Body: dispatch.Request.GetBody()}, nil
}

func (b *fakeBackend) Limit(string, int) {}
func (b *fakeBackend) Release()          {}

func (b *fakeBackend) isFrozen(address string) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.frozen[address]
}

func (b *fakeBackend) set(flags map[string]bool, address string) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	flags[address] = true
}

func (b *fakeBackend) total() int {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.ran["a"] + b.ran["b"]
}

type silentSender struct{}

func (silentSender) Send(string, *wire.Envelope) {}

// withGroup runs a test on a group of one member with two servers, on fake time.
func withGroup(t *testing.T, test func(t *testing.T, g *Group, servers *fakeBackend)) {
	synctest.Test(t, func(t *testing.T) {
		started := time.Now()
		now := func() time.Duration { return time.Since(started) }
		servers := &fakeBackend{
			clock: now, holders: make(map[string]*holder.Holder),
			frozen: make(map[string]bool), broken: make(map[string]bool), ran: make(map[string]int),
		}
		for _, address := range []string{"a", "b"} {
			servers.holders[address] = holder.New(rand.New(rand.NewPCG(1, uint64(address[0]))).Uint64)
		}
		requests, sessions := workers.NewPool(8, 64), workers.NewPool(4, 64)
		g := newTestGroup(now, servers, requests, sessions)
		stop := make(chan struct{})
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			for {
				select {
				case <-stop:
					return
				case <-time.After(10 * time.Millisecond):
					g.Tick()
				}
			}
		}()
		time.Sleep(2 * time.Second)
		test(t, g, servers)
		close(stop)
		<-ended
		requests.Close()
		sessions.Close()
	})
}

// TestRecoveredGroupKeepsWhatItsJournalKnew has a group that was founded anew:
// until the journal of its earlier generation is complete, only requests that the
// journal knows are answered.
func TestRecoveredGroupKeepsWhatItsJournalKnew(t *testing.T) {
	withGroup(t, func(t *testing.T, g *Group, servers *fakeBackend) {
		g.mutex.Lock()
		founding := g.replica.Snapshot()
		founding.State.ImportPending = true
		g.state.Restore(founding.GetState())
		g.mutex.Unlock()
		order := func(id, key string) *wire.Request {
			return &wire.Request{RequestId: id, Key: "k1", Method: "POST", IdempotencyKey: key}
		}
		stored := &wire.Response{Outcome: wire.Outcome_OUTCOME_DONE, Status: 201}
		records := []*wire.JournalRecord{
			{IdempotencyKey: "ended", Finished: true, Response: stored},
			{IdempotencyKey: "begun"},
		}
		if err := g.ImportJournal(&wire.JournalImport{Records: records}); err != nil {
			t.Fatal(err)
		}
		if response := ask(g, order("r1", "ended")); !response.GetReplayed() || response.GetStatus() != 201 {
			t.Errorf("an order that had ended: %v, want the stored answer", response)
		}
		if response := ask(g, order("r2", "begun")); response.GetOutcome() != wire.Outcome_OUTCOME_UNKNOWN {
			t.Errorf("an order that had begun: %v, want unknown", response)
		}
		if response := ask(g, order("r3", "new")); response.GetOutcome() != wire.Outcome_OUTCOME_NOT_RUN {
			t.Errorf("a new order before the journal is complete: %v, want not run", response)
		}
		if err := g.ImportJournal(&wire.JournalImport{Last: true}); err != nil {
			t.Fatal(err)
		}
		if response := ask(g, order("r4", "new")); response.GetOutcome() != wire.Outcome_OUTCOME_DONE || servers.total() != 1 {
			t.Errorf("a new order afterwards: %v, ran %d times", response, servers.total())
		}
	})
}

func newTestGroup(now func() time.Duration, servers *fakeBackend, requests, sessions *workers.Pool) *Group {
	self := &wire.Member{Node: "n1", Incarnation: 1}
	founding := &wire.Snapshot{
		Membership: &wire.Membership{Version: 1, Members: []*wire.Member{self}},
		State:      ownership.InitialState(8, 1),
	}
	g := New("formula", 1, founding, Settings{
		Timing: replication.Timing{Heartbeat: 100 * time.Millisecond, Lease: 300 * time.Millisecond, ElectionSpread: 50 * time.Millisecond},
		Ownership: ownership.Options{
			SessionTTL: 450 * time.Millisecond, RenewInterval: 150 * time.Millisecond, CallTimeout: 150 * time.Millisecond,
			RetryInterval: 30 * time.Millisecond, HoldTimeout: time.Second, MovesPerServer: 4, RebalanceInterval: 10 * time.Second,
		},
		JournalRetention: time.Minute, JournalBytes: 1 << 20,
	}, Dependencies{
		Self: self, Clock: now, Sender: silentSender{}, Backend: servers, Requests: requests, Sessions: sessions,
		Logger: zap.NewNop(), OnView: func(*wire.GroupView) {}, AddressOf: func(string) string { return "" },
	})
	policy := table.Policy{Service: "formula", Slices: 8, QueueLimit: 64, Tolerance: 0.1}
	var specs []Server
	for _, name := range []string{"a", "b"} {
		spec := ownership.ServerSpec{ID: serverID(name), Address: name, Weight: 1}
		specs = append(specs, Server{Spec: spec, Slots: 2, Connections: 4})
	}
	g.Configure(policy, specs)
	return g
}

// ask submits a request and waits for its answer.
func ask(g *Group, request *wire.Request) *wire.Response {
	answer := make(chan *wire.Response, 1)
	request.TimeoutNanos = int64(5 * time.Second)
	g.Submit(request, func(response *wire.Response) { answer <- response })
	return <-answer
}

// keyOn returns a key whose slice the server owns.
func keyOn(g *Group, server string) string {
	for _, key := range []string{"k1", "k2", "k3", "k4", "k5", "k6", "k7", "k8", "k9", "k10", "k11", "k12"} {
		if string(g.Owners()[sliceOf(key)]) == server {
			return key
		}
	}
	return ""
}

func TestRepeatableRequestLeavesAFrozenServer(t *testing.T) {
	withGroup(t, func(t *testing.T, g *Group, servers *fakeBackend) {
		key := keyOn(g, "a")
		servers.set(servers.frozen, "a")
		response := ask(g, &wire.Request{RequestId: "r1", Key: key, Method: "GET", Repeatable: true})
		if response.GetOutcome() != wire.Outcome_OUTCOME_DONE || response.GetServer() != "b" {
			t.Errorf("answer %v, want done by the next owner", response)
		}
	})
}

func TestRequestThatMayNotBeRepeatedRunsOnceAndStaysUnknown(t *testing.T) {
	withGroup(t, func(t *testing.T, g *Group, servers *fakeBackend) {
		key := keyOn(g, "a")
		servers.set(servers.broken, "a")
		order := func(id string, hash uint64) *wire.Request {
			return &wire.Request{RequestId: id, Key: key, Method: "POST", IdempotencyKey: "order", BodyHash: hash}
		}
		for _, id := range []string{"r1", "r2", "r3"} {
			if response := ask(g, order(id, 1)); response.GetOutcome() != wire.Outcome_OUTCOME_UNKNOWN {
				t.Errorf("attempt %s: %v, want unknown", id, response)
			}
		}
		if response := ask(g, order("r4", 2)); response.GetReason() != wire.Reason_REASON_KEY_REUSED {
			t.Errorf("another body: %v, want refused", response)
		}
		if servers.total() != 1 {
			t.Errorf("the order ran %d times", servers.total())
		}
	})
}

func TestJournalForgetsAfterRetention(t *testing.T) {
	withGroup(t, func(t *testing.T, g *Group, servers *fakeBackend) {
		order := func(id string) *wire.Request {
			return &wire.Request{RequestId: id, Key: "k1", Method: "POST", IdempotencyKey: "order"}
		}
		ask(g, order("r1"))
		if response := ask(g, order("r2")); !response.GetReplayed() {
			t.Errorf("repeat within retention: %v, want the stored answer", response)
		}
		time.Sleep(2 * time.Minute)
		if response := ask(g, order("r3")); response.GetReplayed() || servers.total() != 2 {
			t.Errorf("repeat after retention: %v, ran %d times, want a new run", response, servers.total())
		}
	})
}

func serverID(name string) identity.ServerID { return identity.ServerID(name) }

func sliceOf(key string) uint32 { return placement.SliceOf(key, 8) }
