package node

import (
	"go.uber.org/zap"

	"github.com/micahaven/micahaven/internal/wire"
)

// HandleMessage implements transport.Handler.
func (n *Node) HandleMessage(from *wire.Hello, envelope *wire.Envelope) {
	switch body := envelope.GetBody().(type) {
	case *wire.Envelope_Replica:
		n.registry.HandleReplica(body.Replica)
	case *wire.Envelope_GossipPush:
		n.exchange.HandlePush(body.GossipPush, n.peers())
	case *wire.Envelope_GossipDigest:
		n.exchange.HandleDigest(from.GetAddress(), body.GossipDigest)
	case *wire.Envelope_Cancel:
		if known := n.registry.Group(body.Cancel.GetService()); known != nil {
			known.Cancel(body.Cancel.GetRequestId())
		}
	default:
		n.logger.Warn("unexpected message", zap.String("from", from.GetNode()))
	}
}

// HandleCall implements transport.Handler.
func (n *Node) HandleCall(from *wire.Hello, envelope *wire.Envelope, reply func(*wire.Envelope)) {
	switch body := envelope.GetBody().(type) {
	case *wire.Envelope_Request:
		n.handleRequest(body.Request, reply)
	case *wire.Envelope_ProbeRequest:
		answer := n.registry.HandleProbe(body.ProbeRequest)
		reply(&wire.Envelope{Body: &wire.Envelope_ProbeReply{ProbeReply: answer}})
	case *wire.Envelope_SealRequest:
		answer := n.registry.HandleSeal(body.SealRequest)
		reply(&wire.Envelope{Body: &wire.Envelope_SealReply{SealReply: answer}})
	case *wire.Envelope_Invitation:
		reply(acknowledge(n.registry.HandleInvitation(body.Invitation)))
	case *wire.Envelope_JournalImport:
		reply(acknowledge(n.registry.HandleImport(body.JournalImport)))
	case *wire.Envelope_StatusRequest:
		reply(n.handleStatus(body.StatusRequest))
	default:
		reply(failure("unexpected call"))
	}
}

func (n *Node) handleRequest(request *wire.Request, reply func(*wire.Envelope)) {
	known := n.registry.Group(request.GetService())
	if known == nil {
		reply(failure("this node is no member of group " + request.GetService()))
		return
	}
	known.Submit(request, func(response *wire.Response) {
		reply(&wire.Envelope{Body: &wire.Envelope_Response{Response: response}})
	})
}

// publishTable spreads table entries that came from the key-value service.
func (n *Node) publishTable(items []*wire.GossipItem) {
	n.exchange.Publish(items, n.peers())
}

func acknowledge(err error) *wire.Envelope {
	if err != nil {
		return failure(err.Error())
	}
	return &wire.Envelope{Body: &wire.Envelope_Acknowledgement{Acknowledgement: &wire.Acknowledgement{}}}
}

func failure(message string) *wire.Envelope {
	return &wire.Envelope{Body: &wire.Envelope_Failure{Failure: &wire.Failure{Message: message}}}
}
