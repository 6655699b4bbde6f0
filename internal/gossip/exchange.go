package gossip

import (
	"math/rand/v2"

	"github.com/micahaven/micahaven/internal/wire"
)

// Peer is another node, by the address of its inner protocol.
type Peer struct {
	Node    string
	Address string
}

// Sender sends a one-way envelope that may be lost.
type Sender interface {
	Send(address string, envelope *wire.Envelope)
}

// pushFanout is the number of peers that news is pushed to. Random pushes miss a
// part e^-fanout of the nodes, which then wait for a comparison: 5 percent with
// three, 0.25 percent with six.
const pushFanout = 6

// Exchange runs the protocol for one node. It is pure but for the sender and is
// safe for concurrent use when the sender is.
type Exchange struct {
	items  *Items
	sender Sender
	// pick returns a random number below n.
	pick func(n int) int
	// onNews is told of every item that was news.
	onNews func([]*wire.GossipItem)
}

// NewExchange returns an exchange. A nil random source uses the global one.
func NewExchange(items *Items, sender Sender, random *rand.Rand, onNews func([]*wire.GossipItem)) *Exchange {
	pick := rand.IntN
	if random != nil {
		pick = random.IntN
	}
	return &Exchange{items: items, sender: sender, pick: pick, onNews: onNews}
}

// Publish takes in items from outside, for example from the key-value service,
// and pushes those that are news.
func (e *Exchange) Publish(items []*wire.GossipItem, peers []Peer) {
	news := e.items.Merge(items)
	if len(news) == 0 {
		return
	}
	e.onNews(news)
	e.push(news, peers)
}

// Compare opens an exchange with one random peer.
func (e *Exchange) Compare(peers []Peer) {
	if len(peers) == 0 {
		return
	}
	peer := peers[e.pick(len(peers))]
	e.sendDigest(peer.Address, &wire.GossipDigest{Hash: e.items.Hash()})
}

// HandlePush takes in pushed items and passes news on.
func (e *Exchange) HandlePush(push *wire.GossipPush, peers []Peer) {
	e.Publish(push.GetItems(), peers)
}

// HandleDigest answers a digest: nothing when the hashes agree, else versions
// until both sides have sent what the other lacks.
func (e *Exchange) HandleDigest(from string, digest *wire.GossipDigest) {
	if digest.GetHash() == e.items.Hash() {
		return
	}
	if len(digest.GetVersions()) == 0 && !digest.GetWantsVersions() {
		e.sendDigest(from, &wire.GossipDigest{
			Hash:          e.items.Hash(),
			Versions:      e.items.Versions(),
			WantsVersions: true,
		})
		return
	}
	newer, lacksSome := e.items.Newer(digest.GetVersions())
	if len(newer) > 0 {
		e.sendPush(from, newer)
	}
	if lacksSome && digest.GetWantsVersions() {
		e.sendDigest(from, &wire.GossipDigest{Hash: e.items.Hash(), Versions: e.items.Versions()})
	}
}

func (e *Exchange) push(items []*wire.GossipItem, peers []Peer) {
	for range min(pushFanout, len(peers)) {
		peer := peers[e.pick(len(peers))]
		e.sendPush(peer.Address, items)
	}
}

func (e *Exchange) sendPush(address string, items []*wire.GossipItem) {
	e.sender.Send(address, &wire.Envelope{Body: &wire.Envelope_GossipPush{GossipPush: &wire.GossipPush{Items: items}}})
}

func (e *Exchange) sendDigest(address string, digest *wire.GossipDigest) {
	e.sender.Send(address, &wire.Envelope{Body: &wire.Envelope_GossipDigest{GossipDigest: digest}})
}
