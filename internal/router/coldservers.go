package router

import (
	"time"

	"github.com/micahaven/micahaven/internal/discovery"
	"github.com/micahaven/micahaven/internal/wire"
)

// coldFound tells the other nodes of a server that this node found to be warming up. They
// cannot learn it from the store, whose news do not come at the time.
func (p *peers) coldFound(server discovery.ServerID, left time.Duration) {
	p.toHeads(coldEnvelope(server, left, true))
	p.toFollowers(coldEnvelope(server, left, false))
}

func coldEnvelope(server discovery.ServerID, left time.Duration, forward bool) *wire.Envelope {
	return &wire.Envelope{Body: &wire.Envelope_ColdServer{ColdServer: &wire.ColdServer{
		Server: string(server), LeftMillis: uint32(left.Milliseconds()), Forward: forward,
	}}}
}

// takeColdServer takes in that another node found a server to be warming up.
func (p *peers) takeColdServer(cold *wire.ColdServer) {
	server, left := discovery.ServerID(cold.GetServer()), time.Duration(cold.GetLeftMillis())*time.Millisecond
	p.dispatcher.MarkCold(server, left)
	if cold.GetForward() {
		p.toFollowers(coldEnvelope(server, left, false))
	}
}
