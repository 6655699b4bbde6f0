package handoff

import (
	"context"
	"io"
	"net/url"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/micahaven/micahaven/internal/discovery"
	"github.com/micahaven/micahaven/internal/dispatch"
	"github.com/micahaven/micahaven/internal/routing"
	"github.com/micahaven/micahaven/internal/transport"
	"github.com/micahaven/micahaven/internal/upstream"
	"github.com/micahaven/micahaven/internal/view"
	"github.com/micahaven/micahaven/internal/wire"
)

// Dispatcher is the part of dispatch.Dispatcher that Home uses.
type Dispatcher interface {
	Do(ctx context.Context, request *dispatch.Request) (*upstream.Response, dispatch.Trace, error)
	Takes(request *dispatch.Request, to dispatch.Destination) bool
	TakeHome(server discovery.ServerID)
}

// Home handles requests that other nodes hand off to this one. It is safe for concurrent
// use.
type Home struct {
	views      *view.Builder
	dispatcher Dispatcher
	logger     *zap.Logger

	mutex    sync.Mutex
	active   map[*task]struct{}
	stopping bool
}

// NewHome returns the handler of requests that are handed off to this node.
func NewHome(views *view.Builder, dispatcher Dispatcher, logger *zap.Logger) *Home {
	return &Home{views: views, dispatcher: dispatcher, logger: logger, active: make(map[*task]struct{})}
}

// Stop returns the requests that are still queued for a server to their sending nodes, and
// refuses new ones.
func (h *Home) Stop() {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.stopping = true
	for t := range h.active {
		t.returnToSender()
	}
}

// Active returns the number of handed-off requests in progress.
func (h *Home) Active() int {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return len(h.active)
}

// add registers a task. It returns false if this node is stopping.
func (h *Home) add(t *task) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.stopping {
		return false
	}
	h.active[t] = struct{}{}
	takenOverActive.Inc()
	return true
}

func (h *Home) remove(t *task) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	delete(h.active, t)
	takenOverActive.Dec()
}

// Decline rejects a request on behalf of a node that is home to no server.
func Decline(stream *transport.Stream) {
	stream.SendLast(stepEnvelope(wire.HandoffStep_STEP_NOT_TAKEN, "this node takes no requests"))
}

// HandleStream implements transport.StreamHandler. It processes one handed-off request.
func (h *Home) HandleStream(from *wire.Hello, stream *transport.Stream) {
	defer stream.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	first, err := stream.Receive(ctx)
	if err != nil || first.GetHandoff() == nil {
		return
	}
	handoff := first.GetHandoff()
	t := &task{stream: stream, cancel: cancel, needsGo: handoff.GetNeedsGo(), goAhead: make(chan struct{}, 1), credits: make(chan struct{}, chunkWindow)}
	if !h.add(t) {
		stream.SendLast(stepEnvelope(wire.HandoffStep_STEP_LEAVING, ""))
		return
	}
	defer h.remove(t)
	request := h.decodeRequest(handoff)
	if request == nil || !h.dispatcher.Takes(request, destination(handoff)) {
		takenOverTotal.WithLabelValues(handoff.GetService(), "not taken").Inc()
		stream.SendLast(stepEnvelope(wire.HandoffStep_STEP_NOT_TAKEN, "not this node's, as far as it knows"))
		return
	}
	request.IncomingHandoff = &dispatch.IncomingHandoff{From: from.GetNode(), Confirm: t.confirm, AnnounceRetry: t.announceRetry}
	go t.receiveLoop(ctx)
	h.dispatcher.TakeHome(discovery.ServerID(handoff.GetServer()))
	response, trace, err := h.dispatcher.Do(ctx, request)
	h.logOutcome(request, trace, response, err)
	t.sendOutcome(ctx, response, trace, err)
}

func destination(handoff *wire.Handoff) dispatch.Destination {
	return dispatch.Destination{
		Server: discovery.ServerID(handoff.GetServer()), MapRevision: handoff.GetMapRevision(), TableVersion: handoff.GetTableVersion(),
		Substitute: handoff.GetSubstitute(),
	}
}

// decodeRequest returns the request, or nil if this node and the sending node have different
// versions of the configuration: the route might have other settings in each.
func (h *Home) decodeRequest(handoff *wire.Handoff) *dispatch.Request {
	table := h.views.Current().Table
	target, err := url.ParseRequestURI(string(handoff.GetUri()))
	if err != nil || table == nil || table.Version() != handoff.GetTableVersion() {
		return nil
	}
	route := table.Match(string(handoff.GetHost()), routing.Path(target))
	if route == nil {
		return nil
	}
	now := time.Now()
	return &dispatch.Request{
		ID: string(handoff.GetRequestId()), Method: string(handoff.GetMethod()), URI: string(handoff.GetUri()), Host: string(handoff.GetHost()),
		Fields: decodeFields(handoff.GetFields()), Body: handoff.GetBody(), Route: route, Service: handoff.GetService(),
		Priority: int(handoff.GetPriority()),
		Key:      handoff.GetKey(), HasKey: handoff.GetHasKey(),
		ArrivedAt: now.Add(-time.Duration(handoff.GetAgeMicros()) * time.Microsecond),
		Deadline:  now.Add(time.Duration(handoff.GetLeftMicros()) * time.Microsecond),
		Caller:    string(handoff.GetCaller()), CallerDeadline: now.Add(time.Duration(handoff.GetCallerMicros()) * time.Microsecond),
	}
}

func (h *Home) logOutcome(request *dispatch.Request, trace dispatch.Trace, response *upstream.Response, err error) {
	fields := []zap.Field{
		zap.String("request", request.ID), zap.String("from", request.IncomingHandoff.From), zap.String("service", request.Service),
		zap.String("server", trace.Server), zap.Int("attempts", trace.Attempts), zap.Duration("queued", trace.Queued),
		zap.Duration("at_servers", trace.AtServers),
	}
	if err != nil {
		takenOverTotal.WithLabelValues(request.Service, resultLabel(err)).Inc()
		h.logger.Info("handed-off request failed", append(fields, zap.String("error", err.Error()))...)
		return
	}
	takenOverTotal.WithLabelValues(request.Service, "answered").Inc()
	h.logger.Info("handed-off request answered", append(fields, zap.Int("status", response.Status))...)
}

// States of a handed-off request.
const (
	// queued: the request waits for a slot at a server.
	queued int32 = iota
	// confirmed: the request has a slot, and the go-ahead is requested if it needs one.
	confirmed
	// returned: the request was returned to its sending node and is never sent.
	returned
)

var (
	errReturned  = errors.New("given back to its sender")
	errNoGoAhead = errors.New("its sender did not let it go")
)

// task is one handed-off request at its home node.
type task struct {
	stream  *transport.Stream
	cancel  context.CancelFunc
	needsGo bool
	state   atomic.Int32
	// unsent is true if the request got a slot but was not sent, because no go-ahead arrived
	// or none could be requested.
	unsent atomic.Bool
	// responding is true once the response is being sent, which makes keepalives redundant.
	responding atomic.Bool
	// goAhead and credits signal STEP_GO and STEP_MORE from the sending node.
	goAhead chan struct{}
	credits chan struct{}
}

// returnToSender cancels a request for which no server was chosen yet, so that its sending
// node can use another home node.
func (t *task) returnToSender() {
	if t.state.CompareAndSwap(queued, returned) {
		t.stream.Send(stepEnvelope(wire.HandoffStep_STEP_LEAVING, ""))
		t.cancel()
	}
}

// confirm implements dispatch.IncomingHandoff.Confirm. It asks the sending node for the go-ahead if
// the request needs one. Without it the request is never sent, even if the go-ahead arrives
// later.
func (t *task) confirm(ctx context.Context) error {
	if !t.state.CompareAndSwap(queued, confirmed) {
		return errReturned
	}
	if ctx.Err() != nil || !t.stream.Send(stepEnvelope(wire.HandoffStep_STEP_READY, "")) {
		t.unsent.Store(true)
		return errNoGoAhead
	}
	if !t.needsGo {
		return nil
	}
	timer := time.NewTimer(goAheadTimeout)
	defer timer.Stop()
	select {
	case <-t.goAhead:
		return nil
	case <-timer.C:
	case <-ctx.Done():
	}
	t.unsent.Store(true)
	return errNoGoAhead
}

// announceRetry implements dispatch.IncomingHandoff.AnnounceRetry. If this home node is lost, the sending
// node counts only the attempts that were announced to it.
func (t *task) announceRetry() { t.stream.Send(stepEnvelope(wire.HandoffStep_STEP_READY, "")) }

// receiveLoop processes the steps of the sending node and sends keepalives to it. It cancels
// the request when the stream ends, because then the caller has disconnected or the sending
// node has chosen another route.
func (t *task) receiveLoop(ctx context.Context) {
	wait := ackDelay
	for ctx.Err() == nil {
		bounded, cancel := context.WithTimeout(ctx, wait)
		envelope, err := t.stream.Receive(bounded)
		cancel()
		switch {
		case errors.Is(err, context.DeadlineExceeded):
			if !t.keepaliveRedundant(wait == ackDelay) {
				t.stream.Send(stepEnvelope(wire.HandoffStep_STEP_QUEUED, ""))
			}
			wait = keepaliveInterval
		case err != nil:
			t.cancel()
			return
		default:
			t.handleStep(envelope.GetHandoffStep().GetStep())
		}
	}
}

// keepaliveRedundant reports whether the sending node needs no keepalive now: the response
// is on its way, the sending node waits for the response without a silence timeout, or it
// was notified just now that the request is sent. first is true for the acknowledgement due
// after ackDelay.
func (t *task) keepaliveRedundant(first bool) bool {
	sent := t.state.Load() == confirmed
	return t.responding.Load() || (sent && (first || t.needsGo))
}

// handleStep passes a step of the sending node on to the goroutine that waits for it.
func (t *task) handleStep(kind wire.HandoffStep_Step) {
	var signal chan struct{}
	switch kind {
	case wire.HandoffStep_STEP_GO:
		signal = t.goAhead
	case wire.HandoffStep_STEP_MORE:
		signal = t.credits
	default:
		return
	}
	select {
	case signal <- struct{}{}:
	default:
		// The home node does not expect this many signals; drop the surplus.
	}
}

// sendOutcome reports the outcome of the request to the sending node.
func (t *task) sendOutcome(ctx context.Context, response *upstream.Response, trace dispatch.Trace, err error) {
	var refusal *dispatch.Refusal
	switch {
	case t.state.Load() == returned:
	case err == nil:
		t.sendResponse(ctx, response, trace)
	case t.unsent.Load():
		t.stream.SendLast(stepEnvelope(wire.HandoffStep_STEP_NOT_TAKEN, err.Error()))
	case errors.As(err, &refusal) && refusal.Reason == dispatch.ReasonNodeStops:
		t.stream.SendLast(stepEnvelope(wire.HandoffStep_STEP_LEAVING, ""))
	case errors.As(err, &refusal):
		t.stream.SendLast(encodeRefusal(refusal, trace))
	case errors.Is(err, dispatch.ErrCanceled):
		// The sending node canceled the request and expects no reply.
	default:
		t.stream.SendLast(encodeFailure(err, trace))
	}
}

// sendResponse sends a response, split into chunks if it is long.
func (t *task) sendResponse(ctx context.Context, response *upstream.Response, trace dispatch.Trace) {
	t.responding.Store(true)
	head := &wire.HandoffAnswer{Status: uint32(response.Status), Fields: encodeHeader(response.Header), Trace: encodeTrace(trace)}
	body := response.Body
	first := min(len(body), chunkBytes)
	head.Body, body = body[:first], body[first:]
	head.Whole = len(body) == 0 && response.Rest == nil
	envelope := &wire.Envelope{Body: &wire.Envelope_HandoffAnswer{HandoffAnswer: head}}
	if head.Whole {
		t.stream.SendLast(envelope)
		return
	}
	chunks := &chunkWriter{ctx: ctx, task: t, credit: chunkWindow}
	var err error
	if t.stream.SendWhole(ctx, envelope) {
		err = chunks.write(body)
	} else {
		err = transport.ErrConnectionLost
	}
	if response.Rest != nil {
		if err == nil {
			_, err = io.CopyBuffer(chunks, readerOnly{response.Rest}, make([]byte, chunkBytes))
		}
		// The body has been read to its end or is abandoned, so the error does not matter.
		_ = response.Rest.Close()
	}
	chunks.finish(err)
}

// readerOnly hides the other methods of a reader, such as WriteTo, so that io.CopyBuffer
// reads it in pieces of the size of its buffer.
type readerOnly struct{ io.Reader }

// chunkWriter sends a response body in chunks, with at most as many in flight as the window
// allows.
type chunkWriter struct {
	ctx    context.Context
	task   *task
	credit int
}

// Write implements io.Writer.
func (w *chunkWriter) Write(body []byte) (int, error) { return len(body), w.write(body) }

func (w *chunkWriter) write(body []byte) error {
	for len(body) > 0 {
		size := min(len(body), chunkBytes)
		// The envelope is written to the connection later, when the caller may already have
		// reused its buffer.
		piece := append([]byte(nil), body[:size]...)
		if err := w.send(&wire.HandoffChunk{Body: piece}); err != nil {
			return err
		}
		body = body[size:]
	}
	return nil
}

func (w *chunkWriter) send(chunk *wire.HandoffChunk) error {
	if w.credit == 0 {
		select {
		case <-w.task.credits:
			w.credit++
		case <-w.ctx.Done():
			return w.ctx.Err()
		}
	}
	w.credit--
	if !w.task.stream.SendWhole(w.ctx, &wire.Envelope{Body: &wire.Envelope_HandoffChunk{HandoffChunk: chunk}}) {
		return transport.ErrConnectionLost
	}
	return nil
}

// finish sends the last chunk, which is marked as broken if the body before it is
// incomplete.
func (w *chunkWriter) finish(cause error) {
	// If the last chunk cannot be sent, the end of the stream indicates to the reader that the
	// body is incomplete.
	_ = w.send(&wire.HandoffChunk{Last: true, Broken: cause != nil})
}
