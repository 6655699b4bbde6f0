package router

import (
	"bytes"
	"compress/flate"
	"context"
	"io"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/micahaven/micahaven/internal/feed"
	"github.com/micahaven/micahaven/internal/mirror"
	"github.com/micahaven/micahaven/internal/periodic"
	"github.com/micahaven/micahaven/internal/topo"
	"github.com/micahaven/micahaven/internal/wire"
)

const (
	// copyLinkPart is the part of its link that a node uses for copies in each
	// copyInterval; those who ask for more are sent to the nodes that got one. The
	// other half is left for clients, servers and changes.
	copyLinkPart = 0.5
	copyInterval = 250 * time.Millisecond
	// packedMemory is how long a packed copy is given although there is a newer one:
	// packing takes time, and the changes since then follow through the feed.
	packedMemory = 250 * time.Millisecond
	// maxReceivers is how many receivers of copies a node remembers.
	maxReceivers = 32
	// maxCopyAge is how long ago the store must have had nothing newer than a copy: less
	// than what makes a node look for a newer confirmation (package feed).
	maxCopyAge = time.Second
	// maxUnpackedBytes bounds what an unpacked copy may take.
	maxUnpackedBytes = 64 << 20
	// startPatience is how long a node that starts looks for a copy before it lists
	// the store, at least; up to startSpread is added so that not all do at once. They
	// bound what a start loses if no head answers; 0.7 and 0.9 s cost more than the
	// lists that they saved, on twins of large days.
	startPatience = 300 * time.Millisecond
	startSpread   = 300 * time.Millisecond
	// fewKeys is how many keys take so few pages that each node that starts may list
	// them: that is sooner than a copy of a node that has to start too. With 70 keys
	// copies cost worth on twins, with 1,000 they spare 20 calls a node.
	fewKeys = 200
	// listPart is the part of a second's reads that a start of all nodes may take: then
	// each node that finds no copy at once lists the store. If all have lost power, a copy
	// comes only after the heads are back, which cost 0.5 to 1 s on the users' shifted
	// deployment, and a list takes 30 ms.
	listPart = 1.0 / 8
	// keysPerPage is how many keys a page of a list has on the users' platform.
	keysPerPage = 50
	// restoredPatience is how long a node that is no head looks for a copy of a store that was
	// restored before it lists the store.
	restoredPatience = 1500 * time.Millisecond
	// quickAsk is for how long a copy is looked for then.
	quickAsk = 80 * time.Millisecond
	// askPause is the pause between two rounds of questions.
	askPause = 30 * time.Millisecond
	// copyTries is how many nodes are asked for a copy while the node runs.
	copyTries = 3
	// firstAskPause is the pause between two rounds of questions at the first start of the
	// whole system, when all nodes ask the few seeds.
	firstAskPause = 250 * time.Millisecond
	// firstPatience is how long a node waits for a copy at the first start while one of the
	// seeds answers that it has none yet: a list of ten thousand keys takes some seconds of
	// a busy store, and the copies then pass from node to node.
	firstPatience = 8 * time.Second
	// firstSilence is how long it waits while none answers: processes that start together
	// listen within a second of each other.
	firstSilence = 1500 * time.Millisecond
)

// copyGiver gives this node's copy of the store to others.
type copyGiver struct {
	mirror *mirror.Mirror
	feed   *changeFeed
	// linkBytes is how many bytes this node's link carries in a second.
	linkBytes float64

	mutex         sync.Mutex
	packed        packedCopy
	intervalStart time.Time
	// given is how many bytes of copies were given since intervalStart.
	given     int
	receivers []*wire.NodeAddress
}

// packedCopy is a copy of the store as it is sent.
type packedCopy struct {
	content  []byte
	revision int64
	madeAt   time.Time
	// age is how long before madeAt the store surely had nothing newer, if confirmed.
	age       time.Duration
	confirmed bool
}

// reply answers a node that asks for a copy.
func (g *copyGiver) reply(from *wire.Hello) (*wire.StateReply, error) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	now := time.Now()
	if now.Sub(g.intervalStart) > copyInterval {
		g.intervalStart, g.given = now, 0
	}
	if float64(g.given) >= copyLinkPart*g.linkBytes*copyInterval.Seconds() {
		return &wire.StateReply{Revision: g.mirror.Revision(), Others: slices.Clone(g.receivers)}, nil
	}
	listed, err := g.pack(now)
	if err != nil || !listed {
		return &wire.StateReply{}, err
	}
	g.given += len(g.packed.content)
	g.remember(&wire.NodeAddress{Address: from.GetAddress(), Zone: from.GetZone()})
	return &wire.StateReply{
		Revision: g.packed.revision, Complete: true, Packed: g.packed.content, Confirmed: g.packed.confirmed,
		ConfirmedAgeMillis: uint32((g.packed.age + now.Sub(g.packed.madeAt)).Milliseconds()),
	}, nil
}

// pack makes the packed copy anew if it is too old. It reports whether there is one.
// The caller holds the mutex.
func (g *copyGiver) pack(now time.Time) (bool, error) {
	if g.packed.content != nil && now.Sub(g.packed.madeAt) < packedMemory {
		return true, nil
	}
	age, confirmed := g.feed.confirmedAge()
	items, revision, listed := g.mirror.Snapshot()
	if !listed {
		return false, nil
	}
	content, err := packItems(items)
	if err != nil {
		return false, err
	}
	g.packed = packedCopy{content: content, revision: revision, madeAt: now, age: age, confirmed: confirmed}
	return true, nil
}

func (g *copyGiver) remember(receiver *wire.NodeAddress) {
	g.receivers = slices.DeleteFunc(g.receivers, func(known *wire.NodeAddress) bool {
		return known.GetAddress() == receiver.GetAddress()
	})
	g.receivers = append(g.receivers, receiver)
	if len(g.receivers) > maxReceivers {
		g.receivers = g.receivers[1:]
	}
}

func packItems(items []topo.Item) ([]byte, error) {
	content := &wire.StateItems{Items: make([]*wire.StoreItem, 0, len(items))}
	for _, item := range items {
		content.Items = append(content.Items, &wire.StoreItem{
			Key: item.Key, Value: item.Value, Revision: item.Revision, Lease: int64(item.Lease),
		})
	}
	encoded, err := proto.Marshal(content)
	if err != nil {
		return nil, errors.Wrap(err, "encode copy")
	}
	var packed bytes.Buffer
	writer, err := flate.NewWriter(&packed, flate.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "pack copy")
	}
	if _, err := writer.Write(encoded); err != nil {
		return nil, errors.Wrap(err, "pack copy")
	}
	if err := writer.Close(); err != nil {
		return nil, errors.Wrap(err, "pack copy")
	}
	return packed.Bytes(), nil
}

func unpackItems(packed []byte) ([]topo.Item, error) {
	encoded, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxUnpackedBytes))
	if err != nil {
		return nil, errors.Wrap(err, "unpack copy")
	}
	content := &wire.StateItems{}
	if err := proto.Unmarshal(encoded, content); err != nil {
		return nil, errors.Wrap(err, "decode copy")
	}
	items := make([]topo.Item, 0, len(content.GetItems()))
	for _, item := range content.GetItems() {
		items = append(items, itemOf(item))
	}
	return items, nil
}

// copyTaker takes copies of the store from other nodes. It implements mirror.Copies.
type copyTaker struct {
	*peers
	record *headsRecord
	// firstStart is true if no record of the heads can be there yet.
	firstStart bool
	// readsPerSecond is how many reads the store takes from all nodes; 0 if not known.
	readsPerSecond float64
}

// Copy implements mirror.Copies. A node that knows others asks a few of them. One that
// starts reads from the store who the heads were last, and looks for a copy there for a
// while: if the whole system starts, only the heads list the store.
func (t copyTaker) Copy(ctx context.Context, atLeast int64) (mirror.Copy, bool) {
	if known := t.knownHeads(); len(known) > 0 {
		if t.sparesStore(atLeast) {
			return t.restoredCopy(ctx, known, atLeast)
		}
		return t.ask(ctx, known, atLeast, copyTries)
	}
	if t.firstStart {
		return t.firstCopy(ctx, atLeast)
	}
	record, err := t.record.read(ctx)
	if err != nil {
		// A store that does not answer cannot be listed either.
		return t.ask(ctx, t.unregistered(), atLeast, maxReceivers)
	}
	heads := record.GetHeads()
	if record.GetKeys() <= fewKeys || slices.ContainsFunc(heads, t.isSelf) {
		return mirror.Copy{}, false
	}
	if t.listsAreCheap(record) {
		bounded, cancel := context.WithTimeout(ctx, quickAsk)
		defer cancel()
		return t.ask(bounded, heads, atLeast, copyTries)
	}
	patience := startPatience + time.Duration(rand.Int64N(int64(startSpread)))
	for giveUpAt := time.Now().Add(patience); time.Now().Before(giveUpAt) && ctx.Err() == nil; {
		if copied, found := t.ask(ctx, heads, atLeast, maxReceivers); found {
			return copied, true
		}
		periodic.Pause(ctx, askPause)
	}
	return mirror.Copy{}, false
}

// sparesStore reports whether this node leaves it to others to list a store that was restored:
// all nodes need a copy of the new era at the same moment.
func (t copyTaker) sparesStore(atLeast int64) bool {
	if topo.EraOf(atLeast) <= topo.EraOf(t.mirror.Revision()) || t.feed.root() {
		return false
	}
	return !t.listsAreCheap(&wire.HeadsRecord{Keys: uint32(t.mirror.Size()), Nodes: uint32(t.nodes())})
}

// restoredCopy looks for a copy of a new era. The root lists the store, and the heads do so
// before the other nodes if no copy is found.
func (t copyTaker) restoredCopy(ctx context.Context, heads []*wire.NodeAddress, atLeast int64) (mirror.Copy, bool) {
	patience := restoredPatience
	if slices.ContainsFunc(t.feed.headMembers(), func(head feed.Member) bool { return head.Address == t.self.Address }) {
		patience = startPatience
	}
	patience += time.Duration(rand.Int64N(int64(startSpread)))
	for giveUpAt := time.Now().Add(patience); time.Now().Before(giveUpAt) && ctx.Err() == nil; {
		if t.mirror.Revision() >= atLeast {
			return mirror.Copy{}, false
		}
		if copied, found := t.ask(ctx, heads, atLeast, copyTries); found {
			return copied, true
		}
		periodic.Pause(ctx, askPause)
	}
	return mirror.Copy{}, false
}

// firstCopy looks for a copy at the first start of the whole system, when nobody has written
// who the heads are. The seeds list the store, and the others take copies of theirs, and of
// those that got one: if each of a thousand nodes listed ten thousand keys, the store's link
// would be full for half a minute.
func (t copyTaker) firstCopy(ctx context.Context, atLeast int64) (mirror.Copy, bool) {
	seeds := t.unregistered()
	if len(seeds) == 0 || slices.Contains(*t.seeds.Load(), t.self.Address) {
		return mirror.Copy{}, false
	}
	startedAt := time.Now()
	heard := startedAt
	for ctx.Err() == nil && time.Since(heard) < firstSilence && time.Since(startedAt) < firstPatience {
		copied, found, answered := t.askSome(ctx, seeds, atLeast, maxReceivers)
		if found {
			return copied, true
		}
		if answered {
			heard = time.Now()
		}
		periodic.Pause(ctx, time.Duration((0.5+rand.Float64())*float64(firstAskPause)))
	}
	return mirror.Copy{}, false
}

// listsAreCheap reports whether the store bears it that all nodes list it together.
func (t copyTaker) listsAreCheap(record *wire.HeadsRecord) bool {
	pages := (record.GetKeys() + keysPerPage - 1) / keysPerPage
	return record.GetNodes() > 0 && float64(pages*record.GetNodes()) <= listPart*t.readsPerSecond
}

func (t copyTaker) isSelf(node *wire.NodeAddress) bool { return node.GetAddress() == t.self.Address }

// ask asks some nodes, and those that they name, for a copy.
func (t copyTaker) ask(ctx context.Context, candidates []*wire.NodeAddress, atLeast int64, tries int) (mirror.Copy, bool) {
	copied, found, _ := t.askSome(ctx, candidates, atLeast, tries)
	return copied, found
}

// askSome is ask, and reports besides whether any node answered.
func (t copyTaker) askSome(ctx context.Context, candidates []*wire.NodeAddress, atLeast int64, tries int) (copied mirror.Copy, found, answered bool) {
	asked := map[string]bool{t.self.Address: true}
	for range tries {
		next := t.pick(candidates, asked)
		if next == nil || ctx.Err() != nil {
			break
		}
		asked[next.GetAddress()] = true
		answer := t.askState(ctx, next.GetAddress(), true)
		answered = answered || answer != nil
		if copied, usable := t.usable(next, answer, atLeast); usable {
			return copied, true, true
		}
		candidates = append(candidates, answer.GetOthers()...)
	}
	return mirror.Copy{}, false, answered
}

// pick returns one of the candidates that were not asked yet, one of this node's zone
// if there is any, or nil.
func (t copyTaker) pick(candidates []*wire.NodeAddress, asked map[string]bool) *wire.NodeAddress {
	var picked *wire.NodeAddress
	for _, index := range rand.Perm(len(candidates)) {
		candidate := candidates[index]
		switch {
		case asked[candidate.GetAddress()]:
		case candidate.GetZone() == t.self.Zone:
			return candidate
		case picked == nil:
			picked = candidate
		}
	}
	return picked
}

// usable returns the copy of an answer if it is new enough.
func (t copyTaker) usable(giver *wire.NodeAddress, answer *wire.StateReply, atLeast int64) (mirror.Copy, bool) {
	age := time.Duration(answer.GetConfirmedAgeMillis()) * time.Millisecond
	if !answer.GetComplete() || answer.GetRevision() < atLeast || !answer.GetConfirmed() || age > maxCopyAge {
		return mirror.Copy{}, false
	}
	receivedAt := time.Now()
	items, err := unpackItems(answer.GetPacked())
	if err != nil {
		t.logger.Warn("copy of another node refused", zap.String("address", giver.GetAddress()), zap.Error(err))
		return mirror.Copy{}, false
	}
	t.feed.given(feed.Member{Name: giver.GetAddress(), Zone: giver.GetZone(), Address: giver.GetAddress()})
	return mirror.Copy{Items: items, Revision: answer.GetRevision(), ConfirmedAt: receivedAt.Add(-age)}, true
}

// knownHeads returns the heads among the registered nodes.
func (t copyTaker) knownHeads() []*wire.NodeAddress {
	var heads []*wire.NodeAddress
	for _, head := range t.feed.headMembers() {
		if head.Address != t.self.Address {
			heads = append(heads, &wire.NodeAddress{Address: head.Address, Zone: head.Zone})
		}
	}
	return heads
}

// unregistered returns where other nodes may be found while none is known; their zones
// are not known either.
func (t copyTaker) unregistered() []*wire.NodeAddress {
	var found []*wire.NodeAddress
	for _, address := range t.unregisteredAddresses() {
		found = append(found, &wire.NodeAddress{Address: address})
	}
	return found
}
