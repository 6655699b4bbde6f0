package group

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/micahaven/micahaven/internal/admission"
	"github.com/micahaven/micahaven/internal/backend"
	"github.com/micahaven/micahaven/internal/identity"
	"github.com/micahaven/micahaven/internal/placement"
	"github.com/micahaven/micahaven/internal/wire"
)

// attempt is one request on its way through the leader.
type attempt struct {
	request *wire.Request
	item    admission.Item
	// scheduler is the one that the item was given to last.
	scheduler *admission.Scheduler
	deadline  time.Duration
	backoff   *backoff.ExponentialBackOff
	// isKeyed is set once the journal holds the request's idempotency key.
	isKeyed bool
	// cancel ends the call to the server; set while it runs.
	cancel context.CancelFunc
	// server is the one that the request was sent to last.
	server identity.ServerID
	// replies holds everybody who waits for the answer: the first caller, and
	// those who repeated the request meanwhile.
	replies []func(*wire.Response)
}

const (
	firstRetryPause = 5 * time.Millisecond
	maxRetryPause   = 200 * time.Millisecond
	// leaderRetryAfter is when to come back while a group has no leader.
	leaderRetryAfter = 300 * time.Millisecond
	// unknownRetryAfter is when to come back for the answer of a request whose
	// end is not known.
	unknownRetryAfter = time.Second
)

// Submit takes a request in. Reply is called exactly once, from any goroutine,
// and must not block.
func (g *Group) Submit(request *wire.Request, reply func(*wire.Response)) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	now := g.deps.Clock()
	if !g.isLeading || g.isHandingOver || !g.replica.HasAuthority(now) {
		reply(g.notLeader(request))
		return
	}
	slice := placement.SliceOf(request.GetKey(), uint32(g.state.SliceCount()))
	g.load.count(slice)
	g.budget.Earn()
	work := &attempt{
		request:  request,
		deadline: now + time.Duration(request.GetTimeoutNanos()),
		backoff:  newBackoff(),
		replies:  []func(*wire.Response){reply},
	}
	work.item = admission.Item{
		Slice:    slice,
		Priority: request.GetPriority(),
		Deadline: work.deadline,
		OnStart:  func(route admission.Route) { g.start(work, route) },
		OnGiveUp: func(reason wire.Reason, retryAfter time.Duration) {
			g.finish(work, notRun(request, reason, retryAfter))
		},
	}
	if request.GetRepeatable() || request.GetIdempotencyKey() == "" {
		g.attempts[request.GetRequestId()] = work
		g.schedule(now, work)
	} else {
		g.submitKeyed(now, work)
	}
	g.pump(now)
}

// schedule queues a request for its server. The scheduler is remembered because
// a new lead brings a new one, while requests of the old one still run.
func (g *Group) schedule(now time.Duration, work *attempt) {
	work.scheduler = g.scheduler
	work.scheduler.Submit(now, &work.item)
}

// submitKeyed handles a request that may not be repeated: it runs only if its
// key is new, and only after the journal holds the key on a majority.
func (g *Group) submitKeyed(now time.Duration, work *attempt) {
	request := work.request
	key := request.GetIdempotencyKey()
	if record := g.state.Journal().Lookup(key); record != nil {
		g.answerRepeat(work, record)
		return
	}
	if running := g.keyed[key]; running != nil {
		g.join(running, work)
		return
	}
	if g.state.ImportPending() {
		work.replies[0](notRun(request, wire.Reason_REASON_NO_OWNER, leaderRetryAfter))
		return
	}
	if g.state.Journal().Bytes() > g.settings.JournalBytes {
		work.replies[0](notRun(request, wire.Reason_REASON_OVERLOADED, unknownRetryAfter))
		return
	}
	g.keyed[key] = work
	g.attempts[request.GetRequestId()] = work
	begin := &wire.JournalBegin{
		IdempotencyKey: key,
		BodyHash:       request.GetBodyHash(),
		Slice:          work.item.Slice,
		RequestId:      request.GetRequestId(),
	}
	entry := &wire.Entry{Command: &wire.Entry_Begin{Begin: begin}}
	g.propose(now, entry, func(committed bool) {
		if !committed {
			g.finish(work, g.notLeader(request))
			return
		}
		work.isKeyed = true
		g.schedule(g.deps.Clock(), work)
	})
}

// answerRepeat answers a request whose key the journal knows already.
func (g *Group) answerRepeat(work *attempt, record *wire.JournalRecord) {
	request := work.request
	reply := work.replies[0]
	switch {
	case record.GetBodyHash() != request.GetBodyHash():
		reply(notRun(request, wire.Reason_REASON_KEY_REUSED, 0))
	case record.GetFinished() && record.GetResponse() != nil:
		replayed := proto.CloneOf(record.GetResponse())
		replayed.RequestId = request.GetRequestId()
		replayed.Replayed = true
		reply(replayed)
	case !record.GetFinished() && g.keyed[record.GetIdempotencyKey()] != nil:
		g.join(g.keyed[record.GetIdempotencyKey()], work)
	default:
		// Begun under an earlier leader, or ended without a whole answer.
		reply(unknown(request, wire.Reason_REASON_SERVER_LOST))
	}
}

func (g *Group) join(running, repeat *attempt) {
	if running.request.GetBodyHash() != repeat.request.GetBodyHash() {
		repeat.replies[0](notRun(repeat.request, wire.Reason_REASON_KEY_REUSED, 0))
		return
	}
	id := repeat.request.GetRequestId()
	reply := repeat.replies[0]
	running.replies = append(running.replies, func(response *wire.Response) {
		copied := proto.CloneOf(response)
		copied.RequestId = id
		reply(copied)
	})
}

// start sends a request to its server. The scheduler calls it with the mutex
// held, when a slot is free.
func (g *Group) start(work *attempt, route admission.Route) {
	now := g.deps.Clock()
	if !g.replica.HasAuthority(now) {
		g.endStart(work, g.notLeader(work.request))
		return
	}
	timeout := work.deadline - now
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	work.cancel = cancel
	work.server = route.Server
	dispatch := &backend.Dispatch{
		Request: work.request,
		Slice:   work.item.Slice,
		Fence:   route.Fence,
		Timeout: timeout,
	}
	taken := g.deps.Requests.TrySubmit(func() { g.run(ctx, work, route, dispatch) })
	if !taken {
		cancel()
		g.endStart(work, notRun(work.request, wire.Reason_REASON_OVERLOADED, unknownRetryAfter))
	}
}

// endStart ends a request that was given a slot but not sent. It must not call
// the scheduler from within its own call, so it does so later.
func (g *Group) endStart(work *attempt, response *wire.Response) {
	time.AfterFunc(0, func() {
		g.mutex.Lock()
		defer g.mutex.Unlock()
		now := g.deps.Clock()
		g.freeSlot(now, work)
		g.finish(work, response)
		g.pump(now)
	})
}

// run calls the server. It runs on a worker, without the mutex.
func (g *Group) run(ctx context.Context, work *attempt, route admission.Route, dispatch *backend.Dispatch) {
	started := g.deps.Clock()
	response, err := g.deps.Backend.Run(ctx, route.Address, dispatch)
	work.cancel()
	g.mutex.Lock()
	defer g.mutex.Unlock()
	now := g.deps.Clock()
	serverSeconds.Observe((now - started).Seconds())
	g.freeSlot(now, work)
	switch {
	case err == nil:
		response.RequestId = work.request.GetRequestId()
		response.Server = string(route.Server)
		response.Fence = route.Fence
		response.Slice = work.item.Slice
		g.finish(work, response)
	case errors.Is(err, backend.ErrNotSent):
		// Waiting costs the server nothing, so it needs no retry budget.
		g.scheduler.Suspend(route.Server)
		g.resubmit(now, work, notRun(work.request, reasonOf(err), leaderRetryAfter))
	case backend.IsNotRun(err):
		g.logger.Debug("request refused", zap.String("server", string(route.Server)),
			zap.String("request", work.request.GetRequestId()), zap.Error(err))
		g.retry(now, work, notRun(work.request, reasonOf(err), leaderRetryAfter))
	case work.request.GetRepeatable():
		g.retry(now, work, unknown(work.request, wire.Reason_REASON_SERVER_LOST))
	default:
		g.logger.Warn("request has no known end", zap.String("server", string(route.Server)),
			zap.String("request", work.request.GetRequestId()), zap.Uint32("slice", work.item.Slice), zap.Error(err))
		g.finish(work, unknown(work.request, wire.Reason_REASON_SERVER_LOST))
	}
	g.pump(now)
}

func (g *Group) freeSlot(now time.Duration, work *attempt) {
	work.cancel = nil
	work.scheduler.Done(now, &work.item)
	if g.isLeading && g.scheduler.RunningOn(work.item.Slice) == 0 && g.manager.SliceIdle(work.item.Slice) {
		g.managerDue = true
	}
}

// retry sends a request to its server again, or ends it with last when there is
// no time or no budget left.
func (g *Group) retry(now time.Duration, work *attempt, last *wire.Response) {
	if !g.budget.Spend() {
		g.finish(work, last)
		return
	}
	g.resubmit(now, work, last)
}

// resubmit queues a request again after a pause.
func (g *Group) resubmit(now time.Duration, work *attempt, last *wire.Response) {
	pause := work.backoff.NextBackOff()
	if now+pause >= work.deadline || !g.isLeading {
		g.finish(work, last)
		return
	}
	retries.WithLabelValues(g.name).Inc()
	time.AfterFunc(pause, func() {
		g.mutex.Lock()
		defer g.mutex.Unlock()
		later := g.deps.Clock()
		if !g.isLeading {
			g.finish(work, last)
			return
		}
		g.schedule(later, work)
		g.pump(later)
	})
}

// finish gives a request its final answer. The answer to a journaled request is
// journaled first, so that a repeat after the loss of this node gets it too.
func (g *Group) finish(work *attempt, response *wire.Response) {
	delete(g.attempts, work.request.GetRequestId())
	if !work.isKeyed {
		g.forgetKey(work)
		g.answer(work, response)
		return
	}
	command := &wire.JournalFinish{IdempotencyKey: work.request.GetIdempotencyKey()}
	switch response.GetOutcome() {
	case wire.Outcome_OUTCOME_DONE:
		command.Response = response
	case wire.Outcome_OUTCOME_NOT_RUN:
		command.Withdrawn = true
	}
	entry := &wire.Entry{Command: &wire.Entry_Finish{Finish: command}}
	g.propose(g.deps.Clock(), entry, func(bool) {
		// Without a commit the answer is still true; only a repeat through
		// another leader will be told that it is unknown.
		g.forgetKey(work)
		g.answer(work, response)
	})
}

func (g *Group) forgetKey(work *attempt) {
	key := work.request.GetIdempotencyKey()
	if g.keyed[key] == work {
		delete(g.keyed, key)
	}
}

func (g *Group) answer(work *attempt, response *wire.Response) {
	outcomes.WithLabelValues(g.name, response.GetOutcome().String(), response.GetReason().String()).Inc()
	g.counters.count(response.GetOutcome())
	for _, reply := range work.replies {
		reply(response)
	}
}

// Cancel ends a request for which nobody waits, if it may be repeated or has
// not started. One that may not be repeated runs to its end, so that its answer
// is kept for the repeat.
func (g *Group) Cancel(requestID string) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	work := g.attempts[requestID]
	if work == nil || len(work.replies) > 1 {
		return
	}
	if work.scheduler != nil && work.scheduler.Cancel(&work.item) {
		g.finish(work, notRun(work.request, wire.Reason_REASON_CANCELLED, 0))
		return
	}
	if work.cancel != nil && work.request.GetRepeatable() {
		work.cancel()
	}
}

// abandonEarlier ends the calls of repeatable requests to an earlier owner of a
// slice, so that they are sent to the new one. Those that may not be repeated
// stay: if the earlier owner only froze, it will refuse them when it goes on.
func (g *Group) abandonEarlier(slice uint32, owner identity.ServerID) {
	for _, work := range g.attempts {
		isEarlier := work.cancel != nil && work.item.Slice == slice && work.server != owner
		if isEarlier && work.request.GetRepeatable() {
			work.cancel()
		}
	}
}

func (g *Group) notLeader(request *wire.Request) *wire.Response {
	response := notRun(request, wire.Reason_REASON_NOT_LEADER, leaderRetryAfter)
	if leader, known := g.replica.Leader(); known {
		response.LeaderHint = leader.GetNode()
	}
	return response
}

func notRun(request *wire.Request, reason wire.Reason, retryAfter time.Duration) *wire.Response {
	return &wire.Response{
		RequestId:       request.GetRequestId(),
		Outcome:         wire.Outcome_OUTCOME_NOT_RUN,
		Reason:          reason,
		RetryAfterNanos: int64(retryAfter),
	}
}

func unknown(request *wire.Request, reason wire.Reason) *wire.Response {
	return &wire.Response{
		RequestId:       request.GetRequestId(),
		Outcome:         wire.Outcome_OUTCOME_UNKNOWN,
		Reason:          reason,
		RetryAfterNanos: int64(unknownRetryAfter),
	}
}

// reasonOf turns a server error into the reason that callers are told.
func reasonOf(err error) wire.Reason {
	switch {
	case errors.Is(err, backend.ErrShed):
		return wire.Reason_REASON_OVERLOADED
	case errors.Is(err, backend.ErrNotOwner):
		return wire.Reason_REASON_NO_OWNER
	default:
		return wire.Reason_REASON_SERVER_LOST
	}
}

func newBackoff() *backoff.ExponentialBackOff {
	policy := backoff.NewExponentialBackOff()
	policy.InitialInterval = firstRetryPause
	policy.MaxInterval = maxRetryPause
	return policy
}
