package router

import (
	"time"

	"github.com/micahaven/micahaven/internal/discovery"
	"github.com/micahaven/micahaven/internal/wire"
)

// announceColdServer notifies the other nodes of a server that this node found to be warming up.
// During a store outage they cannot learn it from the store.
func (p *peers) announceColdServer(server discovery.ServerID, left time.Duration) {
	p.sendToHeads(coldEnvelope(server, left, true))
	p.sendToFollowers(coldEnvelope(server, left, false))
}

func coldEnvelope(server discovery.ServerID, left time.Duration, forward bool) *wire.Envelope {
	return &wire.Envelope{Body: &wire.Envelope_ColdServer{ColdServer: &wire.ColdServer{
		Server: string(server), LeftMillis: uint32(left.Milliseconds()), Forward: forward,
	}}}
}

// applyColdServer records that another node found a server to be warming up.
func (p *peers) applyColdServer(cold *wire.ColdServer) {
	server, left := discovery.ServerID(cold.GetServer()), time.Duration(cold.GetLeftMillis())*time.Millisecond
	p.dispatcher.MarkCold(server, left)
	if cold.GetForward() {
		p.sendToFollowers(coldEnvelope(server, left, false))
	}
}
