package router

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/micahaven/micahaven/internal/deflate"
	"github.com/micahaven/micahaven/internal/feed"
	"github.com/micahaven/micahaven/internal/mirror"
	"github.com/micahaven/micahaven/internal/periodic"
	"github.com/micahaven/micahaven/internal/topo"
	"github.com/micahaven/micahaven/internal/wire"
)

const (
	// copyLinkFraction is the fraction of its link's bandwidth that a node uses for copies in
	// each copyInterval; nodes that ask beyond that are referred to nodes that got a copy. The
	// other half is left for clients, servers and changes.
	copyLinkFraction = 0.5
	copyInterval     = 250 * time.Millisecond
	// packedCopyTTL is how long a packed copy is sent although the store's copy is newer:
	// packing takes time, and later changes arrive through the feed.
	packedCopyTTL = 250 * time.Millisecond
	// maxReceivers is how many receivers of copies a node remembers.
	maxReceivers = 32
	// maxCopyAge is the greatest confirmed age of a usable copy. It is less than the age at
	// which a node looks for a newer confirmation (package feed).
	maxCopyAge = time.Second
	// maxUnpackedBytes bounds the size of an unpacked copy.
	maxUnpackedBytes = 64 << 20
	// startTimeout is how long a starting node looks for a copy, at least, before it lists the
	// store; a random duration up to startTimeoutJitter is added so that nodes do not list at
	// the same time. They bound the delay of a start when no head answers: on scaled-down
	// models of large deployments, 0.7 and 0.9 s cost more than the lists that they saved.
	startTimeout       = 300 * time.Millisecond
	startTimeoutJitter = 300 * time.Millisecond
	// smallStoreKeys is the number of keys up to which each starting node lists the store:
	// the few pages come sooner than a copy from a node that has to start as well. On
	// scaled-down models of large deployments, copies lowered the score with 70 keys and saved
	// 20 calls a node with 1,000.
	smallStoreKeys = 200
	// listReadFraction is the fraction of the store's reads per second that lists by all nodes
	// may take. Within it, each node that finds no copy at once lists the store: after a power
	// loss of all nodes a copy is available only when the heads are back, which took 0.5 to
	// 1 s on the users' shifted deployment; a list takes 30 ms.
	listReadFraction = 1.0 / 8
	// keysPerPage is the number of keys in a page of a list on the users' platform.
	keysPerPage = 50
	// restoredTimeout is how long a node that is no head looks for a copy of a restored store
	// before it lists the store.
	restoredTimeout = 1500 * time.Millisecond
	// quickCopyTimeout bounds the search for a copy if all nodes may list the store.
	quickCopyTimeout = 80 * time.Millisecond
	// copyRetryInterval is the pause between two rounds of requests for a copy.
	copyRetryInterval = 30 * time.Millisecond
	// maxCopyPeers is how many nodes are asked for a copy in one round while the node runs.
	maxCopyPeers = 3
)

// copyProvider sends this node's copy of the store to other nodes.
type copyProvider struct {
	mirror *mirror.Mirror
	feed   *changeFeed
	// linkBytes is the bandwidth of this node's link in bytes per second.
	linkBytes float64

	mutex         sync.Mutex
	packed        packedCopy
	intervalStart time.Time
	// bytesSent counts the bytes of copies sent since intervalStart.
	bytesSent int
	receivers []*wire.NodeAddress
}

// packedCopy is a compressed copy of the store as it is sent.
type packedCopy struct {
	content  []byte
	revision int64
	madeAt   time.Time
	// age is how long before madeAt the copy was confirmed to be the store's newest revision;
	// it is valid only if confirmed.
	age       time.Duration
	confirmed bool
}

// reply returns the response to a node that asks for a copy: the copy, or the addresses of nodes
// that got one if the bandwidth for copies is used up.
func (p *copyProvider) reply(from *wire.Hello) (*wire.StateReply, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	now := time.Now()
	if now.Sub(p.intervalStart) > copyInterval {
		p.intervalStart, p.bytesSent = now, 0
	}
	if float64(p.bytesSent) >= copyLinkFraction*p.linkBytes*copyInterval.Seconds() {
		return &wire.StateReply{Revision: p.mirror.Revision(), Others: slices.Clone(p.receivers)}, nil
	}
	listed, err := p.pack(now)
	if err != nil || !listed {
		return &wire.StateReply{}, err
	}
	p.bytesSent += len(p.packed.content)
	p.remember(&wire.NodeAddress{Address: from.GetAddress(), Zone: from.GetZone()})
	return &wire.StateReply{
		Revision: p.packed.revision, Complete: true, Packed: p.packed.content, Confirmed: p.packed.confirmed,
		ConfirmedAgeMillis: uint32(p.packed.ageAt(now).Milliseconds()),
	}, nil
}

// pack renews the packed copy if it is older than packedCopyTTL, or too old for a starting node while
// the store's copy is not. It reports whether there is one. The caller holds the mutex.
func (p *copyProvider) pack(now time.Time) (bool, error) {
	age, confirmed := p.feed.confirmedAge()
	newerUsable := isUsable(confirmed, age) && !isUsable(p.packed.confirmed, p.packed.ageAt(now))
	if p.packed.content != nil && now.Sub(p.packed.madeAt) < packedCopyTTL && !newerUsable {
		return true, nil
	}
	copied, listed := p.mirror.Export()
	if !listed {
		return false, nil
	}
	content, err := packItems(copied.Items, copied.Deletions)
	if err != nil {
		return false, err
	}
	p.packed = packedCopy{content: content, revision: copied.Revision, madeAt: now, age: age, confirmed: confirmed}
	return true, nil
}

// ageAt returns how long ago the copy was confirmed.
func (c *packedCopy) ageAt(now time.Time) time.Duration { return c.age + now.Sub(c.madeAt) }

// isUsable reports whether a starting node may use a copy that was confirmed that long ago.
func isUsable(confirmed bool, age time.Duration) bool { return confirmed && age <= maxCopyAge }

func (p *copyProvider) remember(receiver *wire.NodeAddress) {
	p.receivers = slices.DeleteFunc(p.receivers, func(known *wire.NodeAddress) bool {
		return known.GetAddress() == receiver.GetAddress()
	})
	p.receivers = append(p.receivers, receiver)
	if len(p.receivers) > maxReceivers {
		p.receivers = p.receivers[1:]
	}
}

// packItems encodes and compresses the items of a copy and the deletions that led to it.
func packItems(items []topo.Item, deletions mirror.Deletions) ([]byte, error) {
	content := &wire.StateItems{Items: make([]*wire.StoreItem, 0, len(items)), DeletionsSince: deletions.Since}
	for _, event := range deletions.Events {
		content.Deletions = append(content.Deletions, encodeChange(event))
	}
	for _, item := range items {
		content.Items = append(content.Items, &wire.StoreItem{
			Key: item.Key, Value: item.Value, Revision: item.Revision, Lease: int64(item.Lease),
		})
	}
	encoded, err := proto.Marshal(content)
	if err != nil {
		return nil, errors.Wrap(err, "encode copy")
	}
	packed, err := deflate.Pack(encoded)
	return packed, errors.Wrap(err, "pack copy")
}

// unpackItems reverses packItems. A copy of a node that reports no deletions has them as of its
// revision.
func unpackItems(packed []byte, revision int64) ([]topo.Item, mirror.Deletions, error) {
	encoded, err := deflate.Unpack(packed, maxUnpackedBytes)
	if err != nil {
		return nil, mirror.Deletions{}, errors.Wrap(err, "unpack copy")
	}
	content := &wire.StateItems{}
	if err := proto.Unmarshal(encoded, content); err != nil {
		return nil, mirror.Deletions{}, errors.Wrap(err, "decode copy")
	}
	deletions := mirror.Deletions{Since: content.GetDeletionsSince()}
	if deletions.Since == 0 {
		deletions.Since = revision
	}
	for _, deletion := range content.GetDeletions() {
		deletions.Events = append(deletions.Events, decodeChange(deletion))
	}
	items := make([]topo.Item, 0, len(content.GetItems()))
	for _, item := range content.GetItems() {
		items = append(items, decodeItem(item))
	}
	return items, deletions, nil
}

// copyFetcher fetches copies of the store from other nodes. It implements mirror.Copies.
type copyFetcher struct {
	*peers
	record *headsRecord
	// firstStart is true at the first start of the whole system, when there is no record of the
	// heads yet.
	firstStart bool
	// readsPerSecond is how many reads a second the store accepts from all nodes; 0 if unknown.
	readsPerSecond float64
}

// Copy implements mirror.Copies. A node that has discovered the heads queries a few of them. A
// starting node reads the last record of the heads from the store and asks them for as long as its
// limits allow: if the whole system starts, only a few heads list the store.
func (f copyFetcher) Copy(ctx context.Context, atLeast int64) (mirror.Copy, bool) {
	if known := f.knownHeads(); len(known) > 0 {
		if f.leavesListingToOthers(atLeast) {
			return f.copyAfterRestore(ctx, known, atLeast)
		}
		return f.fetch(ctx, known, atLeast, maxCopyPeers)
	}
	if f.firstStart {
		return f.copyAtFirstStart(ctx, atLeast)
	}
	record, err := f.record.read(ctx)
	if err != nil {
		// If the store does not answer, listing it would fail as well.
		return f.fetch(ctx, f.unregisteredNodes(), atLeast, maxReceivers)
	}
	heads := record.GetHeads()
	if record.GetKeys() <= smallStoreKeys || slices.ContainsFunc(startListers(heads), f.isSelf) {
		return mirror.Copy{}, false
	}
	if f.listsFitReadBudget(record) {
		bounded, cancel := context.WithTimeout(ctx, quickCopyTimeout)
		defer cancel()
		return f.fetch(bounded, heads, atLeast, maxCopyPeers)
	}
	return f.awaitCopy(ctx, heads, atLeast, f.startLimits(record))
}

// leavesListingToOthers reports whether this node waits for others to list a restored store,
// since all nodes need a copy of the new era at the same time.
func (f copyFetcher) leavesListingToOthers(atLeast int64) bool {
	if topo.EraOf(atLeast) <= topo.EraOf(f.mirror.Revision()) || f.feed.root() {
		return false
	}
	return !f.listsFitReadBudget(&wire.HeadsRecord{Keys: uint32(f.mirror.Size()), Nodes: uint32(f.nodes())})
}

// copyAfterRestore looks for a copy of a new era. The root lists the store; if no copy is found,
// the heads list it before the other nodes do.
func (f copyFetcher) copyAfterRestore(ctx context.Context, heads []*wire.NodeAddress, atLeast int64) (mirror.Copy, bool) {
	timeout := restoredTimeout
	if slices.ContainsFunc(f.feed.headMembers(), func(head feed.Member) bool { return head.Address == f.self.Address }) {
		timeout = startTimeout
	}
	timeout += time.Duration(rand.Int64N(int64(startTimeoutJitter)))
	for giveUpAt := time.Now().Add(timeout); time.Now().Before(giveUpAt) && ctx.Err() == nil; {
		if f.mirror.Revision() >= atLeast {
			return mirror.Copy{}, false
		}
		if copied, found := f.fetch(ctx, heads, atLeast, maxCopyPeers); found {
			return copied, true
		}
		periodic.Pause(ctx, copyRetryInterval)
	}
	return mirror.Copy{}, false
}

// copyAtFirstStart looks for a copy at the first start of the whole system, when there is no
// record of the heads. The seeds list the store, and the other nodes fetch copies from them and
// from nodes that already have one: if each of a thousand nodes listed ten thousand keys, the
// store's link would be saturated for half a minute.
func (f copyFetcher) copyAtFirstStart(ctx context.Context, atLeast int64) (mirror.Copy, bool) {
	seeds := f.unregisteredNodes()
	if len(seeds) == 0 || slices.Contains(*f.seeds.Load(), f.self.Address) {
		return mirror.Copy{}, false
	}
	return f.awaitCopy(ctx, seeds, atLeast, waitLimits{noReply: firstStartNoReplyTimeout, total: firstStartTimeout})
}

// listsFitReadBudget reports whether all nodes may list the store at the same time.
func (f copyFetcher) listsFitReadBudget(record *wire.HeadsRecord) bool {
	duration, known := f.listsDuration(record)
	return known && duration.Seconds() <= listReadFraction
}

func (f copyFetcher) isSelf(node *wire.NodeAddress) bool { return node.GetAddress() == f.self.Address }

// fetch asks up to tries of the candidates, and of the nodes that they refer to, for a copy.
func (f copyFetcher) fetch(ctx context.Context, candidates []*wire.NodeAddress, atLeast int64, tries int) (mirror.Copy, bool) {
	copied, found, _ := f.fetchFromPeers(ctx, candidates, atLeast, tries)
	return copied, found
}

// fetchFromPeers does the work of fetch and also reports whether any node answered.
func (f copyFetcher) fetchFromPeers(ctx context.Context, candidates []*wire.NodeAddress, atLeast int64, tries int) (copied mirror.Copy, found, answered bool) {
	asked := map[string]bool{f.self.Address: true}
	for try := range tries {
		// Every other request may go to any zone: the nodes of this one may all lack a copy.
		next := f.pick(candidates, asked, try%2 == 0)
		if next == nil || ctx.Err() != nil {
			break
		}
		asked[next.GetAddress()] = true
		answer, askedAt := f.requestCopy(ctx, next.GetAddress(), atLeast)
		answered = answered || answer != nil
		if copied, usable := f.usable(next, answer, askedAt, atLeast); usable {
			return copied, true, true
		}
		candidates = append(candidates, answer.GetOthers()...)
	}
	return mirror.Copy{}, false, answered
}

// pick returns a random candidate that was not asked yet, or nil. With preferZone it is one of this
// node's zone if there is any.
func (f copyFetcher) pick(candidates []*wire.NodeAddress, asked map[string]bool, preferZone bool) *wire.NodeAddress {
	var picked *wire.NodeAddress
	for _, index := range rand.Perm(len(candidates)) {
		candidate := candidates[index]
		switch {
		case asked[candidate.GetAddress()]:
		case !preferZone || candidate.GetZone() == f.self.Zone:
			return candidate
		case picked == nil:
			picked = candidate
		}
	}
	return picked
}

// usable returns the copy in a response to a request sent at askedAt, if it is complete, confirmed
// and new enough.
func (f copyFetcher) usable(provider *wire.NodeAddress, answer *wire.StateReply, askedAt time.Time, atLeast int64) (mirror.Copy, bool) {
	age := confirmedAge(answer)
	if !answer.GetComplete() || answer.GetRevision() < atLeast || !isUsable(answer.GetConfirmed(), age) {
		return mirror.Copy{}, false
	}
	items, deletions, err := unpackItems(answer.GetPacked(), answer.GetRevision())
	if err != nil {
		f.logger.Warn("decoding the copy of another node failed", zap.String("address", provider.GetAddress()), zap.Error(err))
		return mirror.Copy{}, false
	}
	f.feed.setBootstrapPeer(feed.Member{Name: provider.GetAddress(), Zone: provider.GetZone(), Address: provider.GetAddress()})
	return mirror.Copy{Items: items, Revision: answer.GetRevision(), Deletions: deletions, ConfirmedAt: askedAt.Add(-age)}, true
}

// knownHeads returns the heads among the registered nodes.
func (f copyFetcher) knownHeads() []*wire.NodeAddress {
	var heads []*wire.NodeAddress
	for _, head := range f.feed.headMembers() {
		if head.Address != f.self.Address {
			heads = append(heads, &wire.NodeAddress{Address: head.Address, Zone: head.Zone})
		}
	}
	return heads
}

// unregisteredNodes returns the addresses at which other nodes may be found while none is known.
// Their zones are unknown.
func (f copyFetcher) unregisteredNodes() []*wire.NodeAddress {
	var found []*wire.NodeAddress
	for _, address := range f.unregisteredAddresses() {
		found = append(found, &wire.NodeAddress{Address: address})
	}
	return found
}
