package router

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/micahaven/micahaven/internal/discovery"
	"github.com/micahaven/micahaven/internal/shardmanager"
	"github.com/micahaven/micahaven/internal/shards"
	"github.com/micahaven/micahaven/internal/wire"
)

const (
	// relayTimeout bounds a relayed release, which is answered only when the requests that run
	// on the keys have ended.
	relayTimeout = 3 * time.Second
	// maxRelays is how many other nodes are asked concurrently.
	maxRelays = 3
)

// relayedOrders sends orders to servers, and releases through other nodes if a
// server cannot be reached from here: links between a server and some nodes may
// be cut while others still send it requests. It implements shardmanager.Orders.
type relayedOrders struct {
	shardmanager.Orders
	peers *peers
}

// Release implements shardmanager.Orders.
func (r *relayedOrders) Release(ctx context.Context, release shards.Release) (shards.Outcome, string) {
	outcome, handover := r.Orders.Release(ctx, release)
	if outcome != shards.NotSent && outcome != shards.ConnectionLost {
		return outcome, handover
	}
	if relayed, found := r.peers.relay(ctx, release); found {
		return shards.Accepted, relayed
	}
	return outcome, ""
}

// relay asks some other nodes to relay a release and returns the handover of the first that
// succeeded.
func (p *peers) relay(ctx context.Context, release shards.Release) (string, bool) {
	bounded, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	addresses := p.otherAddresses()
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	if len(addresses) > maxRelays {
		addresses = addresses[:maxRelays]
	}
	results := make(chan *wire.RelayResult, len(addresses))
	for _, address := range addresses {
		go func() { results <- p.requestRelay(bounded, address, release) }()
	}
	for range addresses {
		if result := <-results; result.GetAccepted() {
			p.logger.Info("release relayed", zap.String("server", string(release.Owner)), zap.Uint64("fence", release.Fence))
			return result.GetHandover(), true
		}
	}
	return "", false
}

func (p *peers) requestRelay(ctx context.Context, address string, release shards.Release) *wire.RelayResult {
	order := &wire.RelayOrder{
		Release: true, Address: release.Address, Server: string(release.Owner),
		First: release.First, Last: release.Last, Fence: release.Fence,
	}
	answer, err := p.client.Call(ctx, address, &wire.Envelope{Body: &wire.Envelope_RelayOrder{RelayOrder: order}})
	if err != nil {
		return nil
	}
	return answer.GetRelayResult()
}

// executeRelayedRelease sends another node's release to a server and replies with the result.
func (p *peers) executeRelayedRelease(order *wire.RelayOrder, reply func(*wire.Envelope)) {
	ctx, cancel := context.WithTimeout(context.Background(), relayTimeout)
	defer cancel()
	outcome, handover := p.orders.Release(ctx, shards.Release{
		First: order.GetFirst(), Last: order.GetLast(), Owner: discovery.ServerID(order.GetServer()),
		Address: order.GetAddress(), Fence: order.GetFence(),
	})
	result := &wire.RelayResult{Accepted: outcome == shards.Accepted, Handover: handover}
	reply(&wire.Envelope{Body: &wire.Envelope_RelayResult{RelayResult: result}})
}
