package node

import (
	"context"
	"encoding/json"
	"sync"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/micahaven/micahaven/internal/group"
	"github.com/micahaven/micahaven/internal/wire"
)

// serviceStatuses asks the leader of every service in the table for its state.
// A service without a leader that answers is listed without servers.
func (n *Node) serviceStatuses(ctx context.Context) []group.Status {
	policies := n.views.Table().Policies
	statuses := make([]group.Status, len(policies))
	var asked sync.WaitGroup
	for i := range policies {
		name := string(policies[i].Service)
		asked.Go(func() {
			status, err := n.serviceStatus(ctx, name)
			if err != nil {
				n.logger.Debug("status of service", zap.String("service", name), zap.Error(err))
				status = group.Status{Service: name}
			}
			statuses[i] = status
		})
	}
	asked.Wait()
	return statuses
}

var errNoLeader = errors.New("no leader is known")

func (n *Node) serviceStatus(ctx context.Context, name string) (group.Status, error) {
	var status group.Status
	leader := n.leaderOf(name)
	if leader == nil {
		return status, errNoLeader
	}
	if known := n.registry.Group(name); known != nil && leader.GetNode() == n.self.GetNode() {
		return known.Status(), nil
	}
	request := &wire.Envelope{Body: &wire.Envelope_StatusRequest{StatusRequest: &wire.StatusRequest{Group: name}}}
	answer, err := n.client.Call(ctx, leader.GetAddress(), request)
	if err != nil {
		return status, err
	}
	if reply := answer.GetStatusReply(); reply != nil {
		return status, json.Unmarshal(reply.GetJson(), &status)
	}
	return status, errors.Newf("node %s: %s", leader.GetNode(), answer.GetFailure().GetMessage())
}

func (n *Node) handleStatus(request *wire.StatusRequest) *wire.Envelope {
	known := n.registry.Group(request.GetGroup())
	if known == nil {
		return failure("this node is no member of group " + request.GetGroup())
	}
	text, err := json.Marshal(known.Status())
	if err != nil {
		return failure(err.Error())
	}
	return &wire.Envelope{Body: &wire.Envelope_StatusReply{StatusReply: &wire.StatusReply{Json: text}}}
}
