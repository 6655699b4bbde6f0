// Package entry takes requests in from callers and brings them to the leader of
// the group that owns their key.
package entry

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"

	"github.com/micahaven/micahaven/internal/ending"
	"github.com/micahaven/micahaven/internal/group"
	"github.com/micahaven/micahaven/internal/transport"
	"github.com/micahaven/micahaven/internal/views"
	"github.com/micahaven/micahaven/internal/wire"
)

// Caller calls and messages other nodes.
type Caller interface {
	Call(ctx context.Context, address string, envelope *wire.Envelope) (*wire.Envelope, error)
	Send(address string, envelope *wire.Envelope)
}

// Forwarder brings requests to the leaders of groups.
type Forwarder struct {
	// Node is this node's name.
	Node string
	// Leader returns a group's latest view and a channel that is closed when
	// any view changes.
	Leader func(group string) (*wire.GroupView, <-chan struct{})
	// Local returns this node's part of a group, or nil.
	Local  func(group string) *group.Group
	Caller Caller
}

const (
	firstPause = 5 * time.Millisecond
	maxPause   = 100 * time.Millisecond
	// noLeaderRetryAfter is when to come back while a group has no leader.
	noLeaderRetryAfter = 300 * time.Millisecond
)

// errViewChanged ends a call whose leader has been replaced meanwhile.
var errViewChanged = errors.New("the group has another leader")

// Forward returns the final answer to a request. It asks again, until the
// deadline of the context, when the request surely did not run, and when it may
// be asked again because it is repeatable or carries an idempotency key.
func (f *Forwarder) Forward(ctx context.Context, request *wire.Request) *wire.Response {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval = firstPause
	pause.MaxInterval = maxPause
	mayHaveRun := false
	for {
		if deadline, ok := ctx.Deadline(); ok {
			request.TimeoutNanos = int64(time.Until(deadline))
		}
		view, changed := f.Leader(request.GetService())
		response, err := f.ask(ctx, view, changed, request)
		switch {
		case err == nil && !isWrongLeader(response):
			return settle(request, response, mayHaveRun)
		case err != nil && !errors.Is(err, transport.ErrNotSent):
			mayHaveRun = true
			if !mayAskAgain(request) {
				return giveUp(ctx, request, mayHaveRun)
			}
		}
		if !views.Wait(ctx, pause.NextBackOff(), changed) {
			return giveUp(ctx, request, mayHaveRun)
		}
	}
}

// settle corrects an answer of "not run" when an earlier attempt of the same
// call may have run. A journaled request needs no correction: the leader knows
// from the journal whether any attempt ran.
func settle(request *wire.Request, response *wire.Response, mayHaveRun bool) *wire.Response {
	isNotRun := response.GetOutcome() == wire.Outcome_OUTCOME_NOT_RUN
	if mayHaveRun && isNotRun && request.GetRepeatable() {
		response.Outcome = wire.Outcome_OUTCOME_UNKNOWN
	}
	return response
}

func mayAskAgain(request *wire.Request) bool {
	return request.GetRepeatable() || request.GetIdempotencyKey() != ""
}

func isWrongLeader(response *wire.Response) bool {
	return response.GetOutcome() == wire.Outcome_OUTCOME_NOT_RUN &&
		response.GetReason() == wire.Reason_REASON_NOT_LEADER
}

func (f *Forwarder) ask(ctx context.Context, view *wire.GroupView, changed <-chan struct{}, request *wire.Request) (*wire.Response, error) {
	if view == nil {
		return nil, errors.Wrapf(transport.ErrNotSent, "group %s has no known leader", request.GetService())
	}
	if view.GetLeader().GetNode() == f.Node {
		return f.askLocal(ctx, request)
	}
	return f.askRemote(ctx, view, changed, request)
}

func (f *Forwarder) askLocal(ctx context.Context, request *wire.Request) (*wire.Response, error) {
	local := f.Local(request.GetService())
	if local == nil {
		return nil, errors.Wrapf(transport.ErrNotSent, "group %s is not here yet", request.GetService())
	}
	answer := make(chan *wire.Response, 1)
	local.Submit(request, func(response *wire.Response) { answer <- response })
	select {
	case response := <-answer:
		return response, nil
	case <-ctx.Done():
		local.Cancel(request.GetRequestId())
		return nil, ctx.Err()
	}
}

func (f *Forwarder) askRemote(ctx context.Context, view *wire.GroupView, changed <-chan struct{}, request *wire.Request) (*wire.Response, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if mayAskAgain(request) {
		stop := f.onNewLeader(ctx, view, changed, func() { cancel(errViewChanged) })
		defer stop()
	}
	address := view.GetLeader().GetAddress()
	answer, err := f.Caller.Call(ctx, address, &wire.Envelope{Body: &wire.Envelope_Request{Request: request}})
	if err != nil {
		if ctx.Err() != nil {
			f.cancelRemote(address, request)
		}
		return nil, err
	}
	response := answer.GetResponse()
	if response == nil {
		return nil, errors.Wrapf(transport.ErrNotSent, "node %s: %s", view.GetLeader().GetNode(), answer.GetFailure().GetMessage())
	}
	if response.GetRequestId() != request.GetRequestId() {
		return nil, errors.Newf("answer to request %s arrived for request %s", response.GetRequestId(), request.GetRequestId())
	}
	return response, nil
}

// onNewLeader calls act when the group gets another leader before stop is
// called, so that a call to a frozen one does not last until the deadline.
func (f *Forwarder) onNewLeader(ctx context.Context, asked *wire.GroupView, changed <-chan struct{}, act func()) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-changed:
			}
			var latest *wire.GroupView
			latest, changed = f.Leader(asked.GetGroup())
			if latest.GetGeneration() != asked.GetGeneration() || latest.GetTerm() != asked.GetTerm() {
				act()
				return
			}
		}
	}()
	return cancel
}

func (f *Forwarder) cancelRemote(address string, request *wire.Request) {
	message := &wire.Cancel{RequestId: request.GetRequestId(), Service: request.GetService()}
	f.Caller.Send(address, &wire.Envelope{Body: &wire.Envelope_Cancel{Cancel: message}})
}

func giveUp(ctx context.Context, request *wire.Request, mayHaveRun bool) *wire.Response {
	response := &wire.Response{
		RequestId:       request.GetRequestId(),
		Outcome:         wire.Outcome_OUTCOME_NOT_RUN,
		Reason:          wire.Reason_REASON_DEADLINE,
		RetryAfterNanos: int64(noLeaderRetryAfter),
	}
	if ending.EndedByShutdown(ctx) {
		response.Reason = wire.Reason_REASON_STOPPING
	}
	if mayHaveRun {
		response.Outcome = wire.Outcome_OUTCOME_UNKNOWN
	}
	return response
}
