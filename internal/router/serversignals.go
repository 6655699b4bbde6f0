package router

import (
	"time"

	"github.com/micahaven/micahaven/internal/discovery"
	"github.com/micahaven/micahaven/internal/dispatch"
	"github.com/micahaven/micahaven/internal/quota"
	"github.com/micahaven/micahaven/internal/wire"
)

// serverTolerance returns by how much the requests to a rate-limited server may exceed its limit:
// by half the limit within four seconds, plus five requests.
func serverTolerance() quota.Tolerance {
	return quota.Tolerance{Window: 4 * time.Second, Over: 0.5, Slack: 5}
}

// announceServerSignal notifies the other nodes of a server's signal that concerns all of them.
func (p *peers) announceServerSignal(server discovery.ServerID, signal dispatch.Signal) {
	signals := &wire.ServerSignals{Server: string(server), Limit: encodeObservation(signal.Limit), Leaving: signal.Leaving}
	p.reportToHeads(signalsEnvelope(signals, true))
	p.reportToFollowers(signalsEnvelope(signals, false))
}

func signalsEnvelope(signals *wire.ServerSignals, forward bool) *wire.Envelope {
	copied := &wire.ServerSignals{
		Server: signals.GetServer(), Limit: signals.GetLimit(), Leaving: signals.GetLeaving(), Forward: forward,
	}
	return &wire.Envelope{Body: &wire.Envelope_ServerSignals{ServerSignals: copied}}
}

// applyServerSignals applies a server's signals that another node received.
func (p *peers) applyServerSignals(signals *wire.ServerSignals) {
	if limit := decodeObservation(signals.GetLimit()); limit != nil {
		p.serverLimits.Observe(signals.GetServer(), *limit)
	}
	if signals.GetLeaving() {
		p.views.MarkLeaving(discovery.ServerID(signals.GetServer()))
	}
	if signals.GetForward() {
		p.reportToFollowers(signalsEnvelope(signals, false))
	}
}
