package mirror_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/micahaven/micahaven/internal/mirror"
	"github.com/micahaven/micahaven/internal/topo"
	"github.com/micahaven/micahaven/internal/topo/memory"
)

// recorder keeps what a mirror tells its receiver.
type recorder struct {
	mutex  sync.Mutex
	values map[string]string
}

func newRecorder() *recorder { return &recorder{values: make(map[string]string)} }

func (r *recorder) Replace(items []topo.Item, _ int64) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.values = make(map[string]string)
	for _, item := range items {
		r.values[item.Key] = string(item.Value)
	}
}

func (r *recorder) Apply(events []topo.Event, _ int64) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, event := range events {
		if event.Deleted {
			delete(r.values, event.Key)
			continue
		}
		r.values[event.Key] = string(event.Value)
	}
}

func (r *recorder) value(key string) string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.values[key]
}

func (r *recorder) waitFor(t *testing.T, key, value string) {
	t.Helper()
	const patience = 5 * time.Second
	deadline := time.Now().Add(patience)
	for time.Now().Before(deadline) {
		if r.value(key) == value {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatalf("key %s is %q, want %q", key, r.value(key), value)
}

func start(t *testing.T, store topo.Store) *recorder {
	t.Helper()
	received := newRecorder()
	m := mirror.New(store, received, zap.NewNop())
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { _ = m.Run(ctx) })
	group.Go(func() {
		_ = m.CheckFreshness(ctx, func() (time.Duration, bool) { return time.Second, true }, func(int64) {})
	})
	t.Cleanup(func() {
		cancel()
		group.Wait()
	})
	return received
}

func TestFollowsChanges(t *testing.T) {
	store := memory.New()
	store.Write("a", []byte("1"))
	received := start(t, store)
	received.waitFor(t, "a", "1")
	store.Write("a", []byte("2"))
	store.Write("b", []byte("1"))
	received.waitFor(t, "b", "1")
	received.waitFor(t, "a", "2")
	store.Write("b", nil)
	received.waitFor(t, "b", "")
}

func TestListsAgainAfterCompaction(t *testing.T) {
	store := memory.New()
	store.Write("a", []byte("1"))
	received := start(t, store)
	received.waitFor(t, "a", "1")
	store.SetFaults(memory.Faults{Deaf: true})
	store.Write("a", nil)
	store.Write("b", []byte("2"))
	store.Compact()
	store.SetFaults(memory.Faults{})
	received.waitFor(t, "b", "2")
	received.waitFor(t, "a", "")
}

// A watch that hears nothing of changes and is never cut must not leave the copy
// old: seen as CONFIG broken on hunted days with a compaction of the store.
func TestNoticesWatchThatStaysSilent(t *testing.T) {
	store := memory.New()
	store.Write("a", []byte("1"))
	received := start(t, store)
	received.waitFor(t, "a", "1")
	store.SetFaults(memory.Faults{Deaf: true})
	store.Write("a", []byte("2"))
	received.waitFor(t, "a", "2")
}

// A node that is told of a revision by another one must not wait for its own
// comparison: seen as CONFIG broken on the day 'compaction' with seed 31.
func TestCatchesUpWithWhatAnotherNodeSaw(t *testing.T) {
	store := memory.New()
	store.Write("a", []byte("1"))
	received := newRecorder()
	m := mirror.New(store, received, zap.NewNop())
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { _ = m.Run(ctx) })
	defer group.Wait()
	defer cancel()
	received.waitFor(t, "a", "1")
	store.SetFaults(memory.Faults{Deaf: true})
	revision := store.Write("a", []byte("2"))
	if !m.CatchUp(ctx, revision) {
		t.Fatal("the copy is old and CatchUp did not notice")
	}
	received.waitFor(t, "a", "2")
	if m.CatchUp(ctx, revision) {
		t.Fatal("the copy is new and CatchUp listed again")
	}
}

// Seen on umurage-gw-grown scale-1: a configuration of some hundred KB, passed on
// whole to each node, filled the links, and heartbeats waited behind it.
func TestLargeValuesArePassedOnAsDeltas(t *testing.T) {
	store := memory.New()
	large := func(version string) string {
		text := version
		for index := range 200 {
			text += fmt.Sprintf(`{"route":%d}`, index)
		}
		return text
	}
	store.Write("config", []byte(large("1")))
	first, passed := newRecorder(), make(chan topo.Batch, 16)
	watcher := mirror.New(store, first, zap.NewNop())
	watcher.Observe(observer{changed: passed, watching: true})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = watcher.Run(ctx) }()
	first.waitFor(t, "config", large("1"))

	second := newRecorder()
	follower := mirror.New(store, second, zap.NewNop())
	follower.Observe(observer{changed: make(chan topo.Batch, 16)})
	go func() { _ = follower.Run(ctx) }()
	second.waitFor(t, "config", large("1"))
	<-passed

	store.Write("config", []byte(large("2")))
	batch := <-passed
	if len(batch.Events) != 1 || len(batch.Events[0].Delta) == 0 || len(batch.Events[0].Delta) > 100 {
		t.Fatalf("passed on: %d changes, delta of %d bytes", len(batch.Events), len(batch.Events[0].Delta))
	}
	batch.Events[0].Value = nil
	follower.Take(batch)
	second.waitFor(t, "config", large("2"))

	// A delta that does not fit makes the follower list the store again.
	store.Write("config", []byte(large("3")))
	next := <-passed
	next.Events[0].Value = nil
	next.Events[0].BaseRevision--
	next.Events[0].Revision++
	follower.Take(next)
	second.waitFor(t, "config", large("3"))
}

type observer struct {
	changed  chan topo.Batch
	watching bool
}

func (o observer) Changed(batch topo.Batch)   { o.changed <- batch }
func (o observer) Restored()                  {}
func (o observer) Confirmed(time.Time, int64) {}
func (o observer) Told(time.Time, int64)      {}
func (o observer) Watching() bool             { return o.watching }

// The sweep at 300 machines paid a third of a day's worth for owner maps that were
// pushed whole to other zones.
func TestOfferedItemsArePassedOnAsDeltas(t *testing.T) {
	store := memory.New()
	large := func(version string) []byte {
		text := version
		for index := range 200 {
			text += fmt.Sprintf(`{"range":%d}`, index)
		}
		return []byte(text)
	}
	store.Write("map", large("1"))
	var copies []*mirror.Mirror
	var receivers []*recorder
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	passed := make(chan topo.Batch, 16)
	for range 2 {
		receiver := newRecorder()
		copied := mirror.New(store, receiver, zap.NewNop())
		copied.Observe(observer{changed: passed})
		go func() { _ = copied.Run(ctx) }()
		receiver.waitFor(t, "map", string(large("1")))
		copies, receivers = append(copies, copied), append(receivers, receiver)
	}
	const revision = 9
	event, isNew := copies[0].Offer(topo.Event{Item: topo.Item{Key: "map", Value: large("2"), Revision: revision}})
	if !isNew || len(event.Delta) == 0 || len(event.Delta) > 100 {
		t.Fatalf("new %v, delta of %d bytes", isNew, len(event.Delta))
	}
	event.Value = nil
	if _, isNew := copies[1].Offer(event); !isNew {
		t.Fatal("the delta was not taken")
	}
	receivers[1].waitFor(t, "map", string(large("2")))
	// The watch tells of the same change later; it too goes on as a delta.
	<-passed
	<-passed
	watched := topo.Event{Item: topo.Item{Key: "map", Value: large("2"), Revision: revision}}
	copies[0].Take(topo.Batch{After: 1, Revision: revision, Events: []topo.Event{watched}})
	if batch := <-passed; len(batch.Events) != 1 || len(batch.Events[0].Delta) == 0 {
		t.Fatalf("the watched change went on without its delta: %d changes", len(batch.Events))
	}
	// Nobody takes a delta that does not fit, or an item twice.
	if _, again := copies[1].Offer(event); again {
		t.Fatal("an item was taken twice")
	}
	event.Revision, event.BaseRevision = revision+2, revision+1
	if _, unfit := copies[1].Offer(event); unfit {
		t.Fatal("a delta from another base was taken")
	}
}

// A node that follows others and is told of a change that they do not bring asks the
// store for the change, and not for all keys.
func TestWhatOthersDoNotBringIsAskedForWithAWatch(t *testing.T) {
	store := memory.New()
	store.Write("a", []byte("1"))
	received := newRecorder()
	m := mirror.New(store, received, zap.NewNop())
	m.Observe(observer{changed: make(chan topo.Batch, 16)})
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { _ = m.Run(ctx) })
	defer group.Wait()
	defer cancel()
	received.waitFor(t, "a", "1")
	lists := store.Calls("list")
	revision := store.Write("a", []byte("2"))
	if m.CatchUp(ctx, revision) {
		t.Error("the copy was made anew although a watch brings the change")
	}
	received.waitFor(t, "a", "2")
	if more := store.Calls("list") - lists; more != 0 {
		t.Errorf("the store was listed %d times, want none", more)
	}
}

// Seen after a loss of power: each of 78 nodes asked the store for its revision before its
// first list, which tells it too.
func TestNodeWithoutACopyComparesNothing(t *testing.T) {
	store := memory.New()
	m := mirror.New(store, newRecorder(), zap.NewNop())
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	due := make(chan struct{})
	schedule := func() (time.Duration, bool) {
		select {
		case due <- struct{}{}:
		case <-ctx.Done():
		}
		return time.Millisecond, true
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = m.CheckFreshness(ctx, schedule, func(int64) {})
	}()
	// Each time that the schedule is asked, what it said before was done.
	const looks = 5
	for range looks {
		<-due
	}
	if calls := store.Calls("revision"); calls != 0 {
		t.Errorf("the store was asked for its revision %d times before the first list", calls)
	}
	m.Adopt(nil, 1)
	for range looks {
		<-due
	}
	if store.Calls("revision") == 0 {
		t.Error("a copy is not compared with the store")
	}
	cancel()
	<-ended
}

// The copy may come between the look at whether a comparison is due and the comparison:
// the list has just told what it would ask.
func TestComparisonDueBeforeTheFirstCopyIsNotMade(t *testing.T) {
	store := memory.New()
	m := mirror.New(store, newRecorder(), zap.NewNop())
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	looks := 0
	schedule := func() (time.Duration, bool) {
		looks++
		if looks > 1 {
			cancel()
			return 0, false
		}
		m.Adopt(nil, 1)
		return 0, true
	}
	if err := m.CheckFreshness(ctx, schedule, func(int64) {}); err != nil {
		t.Fatal(err)
	}
	if calls := store.Calls("revision"); calls != 0 {
		t.Errorf("the store was asked for its revision %d times right after the first list", calls)
	}
}
