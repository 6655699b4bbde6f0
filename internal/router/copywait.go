package router

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/micahaven/micahaven/internal/mirror"
	"github.com/micahaven/micahaven/internal/periodic"
	"github.com/micahaven/micahaven/internal/wire"
)

const (
	// awaitRetryInterval is the mean pause between two rounds of requests while the nodes that are
	// asked have no copy themselves. awaitTries is how many nodes are asked in a round.
	awaitRetryInterval = 250 * time.Millisecond
	awaitTries         = 4
	// firstStartTimeout bounds the wait for a copy while other nodes answer that they have none yet:
	// a busy store takes some seconds to list ten thousand keys, and the copies then spread from node
	// to node.
	firstStartTimeout = 8 * time.Second
	// firstStartNoReplyTimeout bounds the wait since the last response: processes that start together
	// listen within a second of each other.
	firstStartNoReplyTimeout = 1500 * time.Millisecond
	// noReplyFraction is the fraction of the time that lists by all nodes would take for which a
	// starting node waits although no node answers.
	noReplyFraction = 1.0 / 8
	// startListersPerZone is how many heads of each zone list the store when the whole system starts.
	// The other heads take copies from them, so that the load on the store does not grow with the
	// number of nodes.
	startListersPerZone = 2
	// headListStagger is how much longer each further head of a zone waits before it lists the store as
	// well, if those before it are gone.
	headListStagger = 500 * time.Millisecond
	// copyTimeout bounds the transfer of a copy. On the slowest links a copy of ten thousand keys
	// takes 0.3 s while nothing else is sent.
	copyTimeout = 3 * time.Second
)

// waitLimits bounds the wait for a copy from another node.
type waitLimits struct {
	// noReply bounds the time since the last response, total the whole wait.
	noReply, total time.Duration
}

// awaitCopy asks providers, and the nodes that they refer to, until one sends a copy or a limit is
// reached. A transfer that has begun by then may end.
func (f copyFetcher) awaitCopy(ctx context.Context, providers []*wire.NodeAddress, atLeast int64, limits waitLimits) (mirror.Copy, bool) {
	giveUpAt := time.Now().Add(limits.total)
	ctx, cancel := context.WithDeadline(ctx, giveUpAt.Add(copyTimeout))
	defer cancel()
	lastReplyAt := time.Now()
	for time.Since(lastReplyAt) < limits.noReply && time.Now().Before(giveUpAt) && ctx.Err() == nil {
		copied, found, answered := f.fetchFromPeers(ctx, providers, atLeast, awaitTries)
		if found {
			return copied, true
		}
		if answered {
			lastReplyAt = time.Now()
		}
		pause := time.Duration((0.5 + rand.Float64()) * float64(min(awaitRetryInterval, limits.noReply/4)))
		periodic.Pause(ctx, min(pause, time.Until(giveUpAt), limits.noReply-time.Since(lastReplyAt)))
	}
	return mirror.Copy{}, false
}

// startLimits returns how long this node waits for a copy after its start. The longer lists by all
// nodes would occupy the store, the longer it waits.
func (f copyFetcher) startLimits(record *wire.HeadsRecord) waitLimits {
	lists, _ := f.listsDuration(record)
	jitter := time.Duration(rand.Int64N(int64(startTimeoutJitter)))
	noReply := min(max(startTimeout, time.Duration(noReplyFraction*float64(lists))), firstStartNoReplyTimeout)
	total := min(max(startTimeout, lists), firstStartTimeout)
	if position, isHead := f.positionInZone(record.GetHeads()); isHead {
		total = min(total, noReply+time.Duration(max(0, position-startListersPerZone))*headListStagger)
	}
	return waitLimits{noReply: noReply + jitter, total: total + jitter}
}

// positionInZone returns this node's position among the heads of its zone, and false if it is no
// head.
func (f copyFetcher) positionInZone(heads []*wire.NodeAddress) (position int, isHead bool) {
	for _, head := range heads {
		if f.isSelf(head) {
			return position, true
		}
		if head.GetZone() == f.self.Zone {
			position++
		}
	}
	return 0, false
}

// listsDuration returns how long the store needs for lists by all nodes, and false if that is
// unknown.
func (f copyFetcher) listsDuration(record *wire.HeadsRecord) (time.Duration, bool) {
	if record.GetNodes() == 0 || f.readsPerSecond == 0 {
		return 0, false
	}
	pages := (record.GetKeys() + keysPerPage - 1) / keysPerPage
	return time.Duration(float64(pages*record.GetNodes()) / f.readsPerSecond * float64(time.Second)), true
}

// startListers returns the heads that list the store when the whole system starts: the first ones of
// each zone.
func startListers(heads []*wire.NodeAddress) []*wire.NodeAddress {
	var listers []*wire.NodeAddress
	inZone := make(map[string]int)
	for _, head := range heads {
		if inZone[head.GetZone()] < startListersPerZone {
			inZone[head.GetZone()]++
			listers = append(listers, head)
		}
	}
	return listers
}

// confirmedAge returns how long ago the copy of the sender was confirmed.
func confirmedAge(answer *wire.StateReply) time.Duration {
	return time.Duration(answer.GetConfirmedAgeMillis()) * time.Millisecond
}

// offersCopy reports whether a node that answered with this state may send a usable copy at the given
// or a later revision. Nodes of older versions report no age, and others one without a confirmation if
// there was none.
func offersCopy(state *wire.StateReply, atLeast int64) bool {
	revision, age := state.GetRevision(), confirmedAge(state)
	reportsAge := state.GetConfirmed() || age > 0
	return revision > 0 && revision >= atLeast && (!reportsAge || isUsable(state.GetConfirmed(), age))
}

// requestCopy asks another node for its copy, if that has reached a revision and was confirmed
// recently. The transfer has its own timeout, because it may take longer than a node that is gone
// should be waited for. It returns when the copy was requested, and a nil answer if the node does not
// answer. If the transfer fails, the answer has no copy.
func (p *peers) requestCopy(ctx context.Context, address string, atLeast int64) (answer *wire.StateReply, askedAt time.Time) {
	state := p.requestState(ctx, address)
	askedAt = time.Now()
	if !offersCopy(state, atLeast) {
		return state, askedAt
	}
	if copied := p.callState(ctx, address, true, copyTimeout); copied != nil {
		return copied, askedAt
	}
	return state, askedAt
}
