package hollow

import (
	"fmt"
	"math/rand/v2"

	"google.golang.org/protobuf/proto"

	"github.com/micahaven/micahaven/internal/gossip"
	"github.com/micahaven/micahaven/internal/wire"
)

// GossipCost is what spreading table entries and leaders costs one node.
type GossipCost struct {
	Nodes         int     `json:"nodes"`
	Items         int     `json:"items"`
	ChangesPerSec float64 `json:"changes_per_second"`
	CPUMicros     float64 `json:"cpu_microseconds_per_node_second"`
	BytesPerSec   float64 `json:"bytes_sent_per_node_second"`
	IdleBytes     float64 `json:"idle_bytes_sent_per_node_second"`
	// RoundsToAll is the greatest number of rounds until a change was on every
	// node, a round being the delivery of all messages on their way.
	RoundsToAll int `json:"rounds_to_all"`
}

// network delivers envelopes between hollow nodes in rounds.
type network struct {
	nodes   []*hollowNode
	byName  map[string]*hollowNode
	pending []delivery
	bytes   int
}

type delivery struct {
	from, to string
	envelope *wire.Envelope
}

type hollowNode struct {
	name     string
	items    *gossip.Items
	exchange *gossip.Exchange
	peers    []gossip.Peer
}

// sender is one node's way into the network.
type sender struct {
	network *network
	from    string
}

// Send implements gossip.Sender.
func (s *sender) Send(address string, envelope *wire.Envelope) {
	s.network.bytes += proto.Size(envelope)
	s.network.pending = append(s.network.pending, delivery{from: s.from, to: address, envelope: envelope})
}

func newNetwork(nodes int, random *rand.Rand) *network {
	n := &network{byName: make(map[string]*hollowNode)}
	var peers []gossip.Peer
	for i := range nodes {
		name := fmt.Sprintf("n%d", i)
		peers = append(peers, gossip.Peer{Node: name, Address: name})
	}
	for _, peer := range peers {
		created := &hollowNode{name: peer.Node, items: gossip.NewItems(), peers: peers}
		out := &sender{network: n, from: peer.Node}
		created.exchange = gossip.NewExchange(created.items, out, random, func([]*wire.GossipItem) {})
		n.nodes = append(n.nodes, created)
		n.byName[peer.Node] = created
	}
	return n
}

// deliver hands over everything that was on its way when it was called.
func (n *network) deliver() {
	arriving := n.pending
	n.pending = nil
	for _, message := range arriving {
		to := n.byName[message.to]
		if push := message.envelope.GetGossipPush(); push != nil {
			to.exchange.HandlePush(push, to.peers)
		}
		if digest := message.envelope.GetGossipDigest(); digest != nil {
			to.exchange.HandleDigest(message.from, digest)
		}
	}
}

func (n *network) hasEverywhere(key string, version uint64) bool {
	for _, node := range n.nodes {
		if node.items.Get(key).GetMajor() < version {
			return false
		}
	}
	return true
}

const (
	itemBytes        = 120
	gossipSeconds    = 10
	compareRounds    = 10
	maxRoundsToAll   = 200
	measuredChanges  = 5
	gossipSeedSecond = 99
)

// MeasureGossip spreads changes among nodes and returns the cost for one. A
// round stands for 100 ms; nodes compare with a peer every compareRounds rounds.
func MeasureGossip(nodes, items int, changesPerSecond float64, seed uint64) (GossipCost, error) {
	random := rand.New(rand.NewPCG(seed, gossipSeedSecond))
	net := newNetwork(nodes, random)
	var start []*wire.GossipItem
	for i := range items {
		start = append(start, newItem(i, 1))
	}
	for _, node := range net.nodes {
		node.items.Merge(start)
	}
	cost := GossipCost{Nodes: nodes, Items: items, ChangesPerSec: changesPerSecond}
	idle := net.runSeconds(gossipSeconds, 0, items, random)
	cost.IdleBytes = float64(idle) / float64(nodes) / gossipSeconds
	before, err := processorTime()
	if err != nil {
		return cost, err
	}
	busy := net.runSeconds(gossipSeconds, changesPerSecond, items, random)
	after, err := processorTime()
	if err != nil {
		return cost, err
	}
	cost.BytesPerSec = float64(busy) / float64(nodes) / gossipSeconds
	cost.CPUMicros = float64((after - before).Microseconds()) / float64(nodes) / gossipSeconds
	for change := range measuredChanges {
		cost.RoundsToAll = max(cost.RoundsToAll, net.roundsToAll(change, random))
	}
	return cost, nil
}

func newItem(number int, version uint64) *wire.GossipItem {
	return &wire.GossipItem{Key: fmt.Sprintf("/micahaven/table/row/service-%d/site", number), Major: version, Value: make([]byte, itemBytes)}
}

// runSeconds lets time pass and returns the bytes sent.
func (n *network) runSeconds(seconds int, changesPerSecond float64, items int, random *rand.Rand) int {
	before := n.bytes
	due := 0.0
	version := uint64(2)
	for round := range seconds * compareRounds {
		due += changesPerSecond / compareRounds
		for ; due >= 1; due-- {
			n.change(random.IntN(items), version, random)
			version++
		}
		n.compareSome(round)
		n.deliver()
	}
	return n.bytes - before
}

func (n *network) change(number int, version uint64, random *rand.Rand) {
	at := n.nodes[random.IntN(len(n.nodes))]
	const largeVersion = 1 << 20
	at.exchange.Publish([]*wire.GossipItem{newItem(number, largeVersion+version)}, at.peers)
}

// compareSome lets a part of the nodes compare, so that each does once a second.
func (n *network) compareSome(round int) {
	for i, node := range n.nodes {
		if i%compareRounds == round%compareRounds {
			node.exchange.Compare(node.peers)
		}
	}
}

func (n *network) roundsToAll(change int, random *rand.Rand) int {
	const version = 1 << 30
	item := newItem(change, uint64(version+change))
	at := n.nodes[random.IntN(len(n.nodes))]
	at.exchange.Publish([]*wire.GossipItem{item}, at.peers)
	for round := 1; round <= maxRoundsToAll; round++ {
		n.compareSome(round)
		n.deliver()
		if n.hasEverywhere(item.GetKey(), item.GetMajor()) {
			return round
		}
	}
	return maxRoundsToAll
}
