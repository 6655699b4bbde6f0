package router

import (
	"time"

	"github.com/micahaven/micahaven/internal/discovery"
	"github.com/micahaven/micahaven/internal/dispatch"
	"github.com/micahaven/micahaven/internal/quota"
	"github.com/micahaven/micahaven/internal/wire"
)

// serverTolerance is what a server in need bears beyond the limit that it names: half as much
// again within four seconds, and five requests.
func serverTolerance() quota.Tolerance {
	return quota.Tolerance{Window: 4 * time.Second, Over: 0.5, Slack: 5}
}

// serverSignalled tells the other nodes what a server asked of all of them.
func (p *peers) serverSignalled(server discovery.ServerID, told dispatch.Signal) {
	signals := &wire.ServerSignals{Server: string(server), Limit: encodeObservation(told.Limit), Leaving: told.Leaving}
	p.toHeads(signalsEnvelope(signals, true))
	p.toFollowers(signalsEnvelope(signals, false))
}

func signalsEnvelope(signals *wire.ServerSignals, forward bool) *wire.Envelope {
	copied := &wire.ServerSignals{
		Server: signals.GetServer(), Limit: signals.GetLimit(), Leaving: signals.GetLeaving(), Forward: forward,
	}
	return &wire.Envelope{Body: &wire.Envelope_ServerSignals{ServerSignals: copied}}
}

// takeServerSignals takes in what a server asked another node for.
func (p *peers) takeServerSignals(signals *wire.ServerSignals) {
	if limit := decodeObservation(signals.GetLimit()); limit != nil {
		p.serverLimits.Observe(signals.GetServer(), *limit)
	}
	if signals.GetLeaving() {
		p.views.MarkLeaving(discovery.ServerID(signals.GetServer()))
	}
	if signals.GetForward() {
		p.toFollowers(signalsEnvelope(signals, false))
	}
}
