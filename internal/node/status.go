package node

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/micahaven/micahaven/internal/group"
	"github.com/micahaven/micahaven/internal/views"
	"github.com/micahaven/micahaven/internal/wire"
)

// serviceStatuses asks the leader of every service in the table for its state,
// and waits a while for those that have none. A service that stays without a
// leader that answers is listed without servers.
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

const (
	// statusCallLimit bounds one question to a leader. One that is frozen is not
	// waited for until the end: it may have been replaced meanwhile.
	statusCallLimit  = time.Second
	firstStatusPause = 5 * time.Millisecond
	maxStatusPause   = 100 * time.Millisecond
	// electionPhases is how many times a lease and an election's random wait may
	// pass while a group gets a leader: the old leader's lease ends, a candidate
	// stands, and once more when the votes are split.
	electionPhases = 3
)

// leaderPatience is how long an operator's question waits for a leader that
// answers. It covers an election, and one comparison of items for a node that
// the news of the leader did not reach.
func (n *Node) leaderPatience() time.Duration {
	timing := n.settings.Group.Timing()
	return electionPhases*(timing.Lease+timing.ElectionSpread) + compareInterval
}

// serviceStatus asks until a leader answers that holds its lease. A group
// without a leader for a moment is a normal event, and asking changes nothing.
// When the time is over it returns what was answered last, if anything was.
func (n *Node) serviceStatus(ctx context.Context, name string) (group.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, n.leaderPatience())
	defer cancel()
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval = firstStatusPause
	pause.MaxInterval = maxStatusPause
	var last group.Status
	lastErr := errNoLeader
	for {
		view, changed := n.views.Leader(name)
		status, err := n.askStatus(ctx, name, view.GetLeader())
		if err == nil && status.Leading {
			return status, nil
		}
		if err == nil {
			last, lastErr = status, nil
		} else if lastErr != nil {
			lastErr = err
		}
		if !views.Wait(ctx, pause.NextBackOff(), changed) {
			return last, lastErr
		}
	}
}

// askStatus asks one node, which may lead no more.
func (n *Node) askStatus(ctx context.Context, name string, leader *wire.Member) (group.Status, error) {
	var status group.Status
	if leader == nil {
		return status, errNoLeader
	}
	if known := n.registry.Group(name); known != nil && leader.GetNode() == n.self.GetNode() {
		return known.Status(), nil
	}
	ctx, cancel := context.WithTimeout(ctx, statusCallLimit)
	defer cancel()
	request := &wire.Envelope{Body: &wire.Envelope_StatusRequest{StatusRequest: &wire.StatusRequest{Group: name}}}
	answer, err := n.client.Call(ctx, leader.GetAddress(), request)
	if err != nil {
		return status, err
	}
	if reply := answer.GetStatusReply(); reply != nil {
		err := json.Unmarshal(reply.GetJson(), &status)
		return status, err
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
