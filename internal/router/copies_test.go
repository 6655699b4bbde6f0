package router

import (
	"context"
	"fmt"
	"net"
	"reflect"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/micahaven/micahaven/internal/mirror"
	"github.com/micahaven/micahaven/internal/periodic"
	"github.com/micahaven/micahaven/internal/topo"
	"github.com/micahaven/micahaven/internal/topo/memory"
	"github.com/micahaven/micahaven/internal/transport"
	"github.com/micahaven/micahaven/internal/view"
	"github.com/micahaven/micahaven/internal/wire"
)

// copyNode is the part of a node that sends and fetches copies of the store.
type copyNode struct {
	*peers
	mirror *mirror.Mirror
}

func newCopyNode(t *testing.T, store topo.Store, name string) *copyNode {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	self := view.Node{Name: name, Zone: "z1", Address: listener.Addr().String(), Process: name}
	hello := &wire.Hello{Node: self.Name, Zone: self.Zone, Address: self.Address, ProtocolVersion: wire.ProtocolVersion}
	client := transport.NewClient(hello, nil)
	views := view.NewBuilder(view.Layout{TableKey: "table", ServerPrefix: "servers/"}, jsonDocuments{}, zap.NewNop())
	copied := mirror.New(store, views, zap.NewNop())
	changes := newChangeFeed(self, client, zap.NewNop())
	views.Subscribe(changes.updateMembers)
	copied.SetObserver(changes)
	p := &peers{self: self, client: client, feed: changes, views: views, mirror: copied, logger: zap.NewNop()}
	p.copies = &copyProvider{mirror: copied, feed: changes, linkBytes: 1e6}
	p.setSeeds(nil)
	copied.SetCopySource(copyFetcher{peers: p, record: &headsRecord{store: store, feed: changes, mirror: copied, logger: zap.NewNop()}})
	server := transport.NewServer(hello, listener, nil, p, zap.NewNop())
	go func() { _ = server.Serve() }()
	t.Cleanup(func() {
		server.Close()
		client.Close()
	})
	return &copyNode{peers: p, mirror: copied}
}

// run makes the node follow the store until the test ends, and returns when it has a copy.
func (n *copyNode) run(t *testing.T) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = n.mirror.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	n.awaitCopy(t)
}

func (n *copyNode) awaitCopy(t *testing.T) {
	t.Helper()
	const timeout = 5 * time.Second
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		if _, _, listed := n.mirror.Snapshot(); listed {
			return
		}
	}
	t.Fatal("the node has no copy")
}

// runRegistered makes the node follow the store until the context ends, as a member of the feed that
// keeps copies confirmed.
func (n *copyNode) runRegistered(ctx context.Context, store topo.Store) {
	registered := &registration{self: n.self, store: store, logger: zap.NewNop(), onStoreRecovered: func() {}}
	schedule := func() (time.Duration, bool) { return n.feed.schedule(n.nodes()) }
	go func() { _ = n.mirror.Run(ctx) }()
	go func() { _ = n.mirror.CheckFreshness(ctx, schedule, n.announceRevision) }()
	go func() { _ = periodic.Run(ctx, feedTick, func(context.Context) { n.feed.tick() }) }()
	go func() { _ = periodic.Run(ctx, renewInterval, registered.step) }()
}

// storeWith returns a store with the given number of keys.
func storeWith(keys int) *memory.Store {
	store := memory.New()
	for index := range keys {
		store.Write(fmt.Sprintf("other/%d", index), []byte("value"))
	}
	return store
}

func writeHeadsRecord(t *testing.T, store *memory.Store, keys uint32, heads ...string) {
	t.Helper()
	content := &wire.HeadsRecord{Keys: keys}
	for _, address := range heads {
		content.Heads = append(content.Heads, &wire.NodeAddress{Address: address, Zone: "z1"})
	}
	value, err := proto.Marshal(content)
	if err != nil {
		t.Fatal(err)
	}
	store.Write(view.HeadsKey, value)
}

// On large deployments each of 295 nodes listed a thousand keys in pages of 50 when it
// started, which made 5,000 of 7,500 calls to the store.
func TestNodeThatStartsTakesItsCopyFromAHead(t *testing.T) {
	const keys = 500
	store := storeWith(keys)
	head, started := newCopyNode(t, store, "head"), newCopyNode(t, store, "started")
	writeHeadsRecord(t, store, keys, head.self.Address)
	head.run(t)
	before := store.Calls("list")
	started.run(t)
	if lists := store.Calls("list") - before; lists != 1 {
		t.Errorf("the store was asked for keys %d times, want once, for the record of the heads", lists)
	}
	items, revision, _ := started.mirror.Snapshot()
	if wanted := head.mirror.Revision(); len(items) != keys+1 || revision != wanted {
		t.Errorf("%d keys at revision %d, want %d at %d", len(items), revision, keys+1, wanted)
	}
}

func TestNodeListsTheStoreIfNoHeadAnswers(t *testing.T) {
	const keys = 500
	store := storeWith(keys)
	writeHeadsRecord(t, store, keys, "127.0.0.1:1")
	started := newCopyNode(t, store, "started")
	startedAt := time.Now()
	started.run(t)
	const bound = startTimeout + startTimeoutJitter + stateTimeout
	if took := time.Since(startedAt); took > bound {
		t.Errorf("the copy came after %v, want within %v", took, bound)
	}
}

// With few keys, a list is faster than a copy from a node that has to start as well.
func TestNodeListsAFewKeysItself(t *testing.T) {
	store := storeWith(smallStoreKeys / 2)
	head, started := newCopyNode(t, store, "head"), newCopyNode(t, store, "started")
	writeHeadsRecord(t, store, smallStoreKeys, head.self.Address)
	head.run(t)
	before := store.Calls("list")
	started.run(t)
	if lists := store.Calls("list") - before; lists != 2 {
		t.Errorf("the store was asked for keys %d times, want twice: for the record and for all", lists)
	}
}

// On the users' shifted deployment, with 284 keys, nodes waited 0.5 to 1 s after a power loss
// for a copy from heads that had to start as well, although listing would have been faster.
func TestNodeListsTheStoreAtOnceIfTheStoreBearsIt(t *testing.T) {
	for _, test := range []struct {
		name  string
		nodes uint32
		reads float64
		cheap bool
	}{
		{"79 nodes, 6,000 reads", 79, 6000, true},
		{"295 nodes, 6,000 reads", 295, 6000, false},
		{"reads not known", 79, 0, false},
		{"nodes not known", 0, 6000, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			fetcher := copyFetcher{readsPerSecond: test.reads}
			if got := fetcher.listsFitReadBudget(&wire.HeadsRecord{Keys: 284, Nodes: test.nodes}); got != test.cheap {
				t.Errorf("lists fit the read budget: %v, want %v", got, test.cheap)
			}
		})
	}
	const keys = 500
	store := storeWith(keys)
	started := newCopyNode(t, store, "started")
	started.mirror.SetCopySource(copyFetcher{
		peers: started.peers, record: &headsRecord{store: store, feed: started.feed, mirror: started.mirror, logger: zap.NewNop()}, readsPerSecond: 10000,
	})
	// This head accepts connections and never answers.
	head, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer head.Close()
	value, err := proto.Marshal(&wire.HeadsRecord{Keys: keys, Nodes: 79, Heads: []*wire.NodeAddress{{Address: head.Addr().String()}}})
	if err != nil {
		t.Fatal(err)
	}
	store.Write(view.HeadsKey, value)
	startedAt := time.Now()
	started.run(t)
	if took := time.Since(startedAt); took > startTimeout {
		t.Errorf("the copy came after %v, want at once", took)
	}
}

// A node that has used up its bandwidth for copies refers further nodes to those that got one.
func TestProviderNamesOthersOnceItsBandwidthIsUsed(t *testing.T) {
	head := newCopyNode(t, storeWith(1), "head")
	head.run(t)
	helloFrom := func(number int) *wire.Hello { return &wire.Hello{Address: fmt.Sprint("address ", number), Zone: "z"} }
	head.copies.intervalStart = time.Now().Add(time.Hour)
	const copies = 5
	for number := range copies {
		answer, err := head.copies.reply(helloFrom(number))
		if err != nil || !answer.GetComplete() {
			t.Fatalf("copy %d: complete %v, %v", number, answer.GetComplete(), err)
		}
		// The last copy uses up the bandwidth for copies.
		head.copies.linkBytes = float64(len(answer.GetPacked())*copies) / copyLinkFraction / copyInterval.Seconds()
	}
	answer, err := head.copies.reply(helloFrom(copies))
	if err != nil || answer.GetComplete() || len(answer.GetOthers()) != copies {
		t.Errorf("complete %v, %d others, %v; want %d others", answer.GetComplete(), len(answer.GetOthers()), err, copies)
	}
}

func TestDamagedCopyIsRefused(t *testing.T) {
	sent := mirror.Deletions{Since: 1, Events: []topo.Event{{Item: topo.Item{Key: "b", Revision: 2}, Deleted: true}}}
	packed, err := packItems([]topo.Item{{Key: "a", Value: []byte("1"), Revision: 3, Lease: 4}}, sent)
	if err != nil {
		t.Fatal(err)
	}
	items, deletions, err := unpackItems(packed, 3)
	if err != nil || len(items) != 1 || items[0].Key != "a" || items[0].Revision != 3 || items[0].Lease != 4 {
		t.Fatalf("unpacked %v, %v", items, err)
	}
	if !reflect.DeepEqual(deletions, sent) {
		t.Fatalf("unpacked deletions %v, want %v", deletions, sent)
	}
	if _, _, err := unpackItems(packed[:len(packed)/2], 3); err == nil {
		t.Error("a truncated copy was accepted")
	}
}

// At the first start of a large system all nodes start together. Only the seeds may list the
// store; the other nodes fetch copies from them and from each other.
func TestFirstStartListsTheStoreAtTheSeeds(t *testing.T) {
	const keys, others = 500, 12
	store := storeWith(keys)
	seed := newCopyNode(t, store, "seed")
	nodes := []*copyNode{seed}
	for index := range others {
		nodes = append(nodes, newCopyNode(t, store, fmt.Sprint("n", index)))
	}
	for _, node := range nodes {
		node.setSeeds([]string{seed.self.Address})
		node.mirror.SetCopySource(copyFetcher{peers: node.peers, record: &headsRecord{store: store, feed: node.feed, mirror: node.mirror, logger: zap.NewNop()}, firstStart: true})
	}
	var group sync.WaitGroup
	for _, node := range nodes[1:] {
		group.Go(func() { node.run(t) })
	}
	seed.run(t)
	group.Wait()
	if lists := store.Calls("list"); lists != 1 {
		t.Errorf("the store was listed %d times by %d nodes, want once", lists, len(nodes))
	}
}

func TestFirstStartWithoutSeedsListsTheStore(t *testing.T) {
	store := storeWith(500)
	node := newCopyNode(t, store, "n")
	node.setSeeds([]string{"127.0.0.1:1"})
	node.mirror.SetCopySource(copyFetcher{peers: node.peers, record: &headsRecord{store: store, feed: node.feed, mirror: node.mirror, logger: zap.NewNop()}, firstStart: true})
	node.run(t)
}

// A node whose list is slow must not wait for it while another node has a copy.
func TestNodeTakesACopyWhileItsListIsPending(t *testing.T) {
	const keys, bound = 500, 3 * time.Second
	store := storeWith(keys)
	source := newCopyNode(t, store, "source")
	source.run(t)
	slow := &slowListStore{Store: store, listDuration: 2 * bound}
	started := newCopyNode(t, slow, "started")
	started.setSeeds([]string{source.self.Address})
	writeHeadsRecord(t, store, smallStoreKeys) // The node lists the store.
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	defer group.Wait()
	defer cancel()
	group.Go(func() { _ = started.mirror.Run(ctx) })
	group.Go(func() { _ = started.exchangeState(ctx) })
	for end := time.Now().Add(bound); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if _, _, listed := started.mirror.Snapshot(); listed {
			return
		}
	}
	t.Errorf("the node has no copy %v after its start, another node has one", bound)
}
