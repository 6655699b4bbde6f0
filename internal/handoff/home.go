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
	"github.com/micahaven/micahaven/internal/transport"
	"github.com/micahaven/micahaven/internal/upstream"
	"github.com/micahaven/micahaven/internal/view"
	"github.com/micahaven/micahaven/internal/wire"
)

// Dispatcher is what a home needs of dispatch.Dispatcher.
type Dispatcher interface {
	Do(ctx context.Context, request *dispatch.Request) (*upstream.Answer, dispatch.Trace, error)
	Takes(request *dispatch.Request, to dispatch.Destination) bool
	TakeHome(server discovery.ServerID)
}

// Home takes requests over from other nodes. It is safe for concurrent use.
type Home struct {
	views      *view.Builder
	dispatcher Dispatcher
	logger     *zap.Logger

	mutex    sync.Mutex
	active   map[*taken]struct{}
	stopping bool
}

// NewHome returns the home that a node is to servers.
func NewHome(views *view.Builder, dispatcher Dispatcher, logger *zap.Logger) *Home {
	return &Home{views: views, dispatcher: dispatcher, logger: logger, active: make(map[*taken]struct{})}
}

// Stop gives requests that wait for a server back to their senders, and takes no more.
func (h *Home) Stop() {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.stopping = true
	for t := range h.active {
		t.giveBack()
	}
}

// Active returns how many requests of other nodes are being worked on.
func (h *Home) Active() int {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return len(h.active)
}

func (h *Home) add(t *taken) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.stopping {
		return false
	}
	h.active[t] = struct{}{}
	takenOverActive.Inc()
	return true
}

func (h *Home) remove(t *taken) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	delete(h.active, t)
	takenOverActive.Dec()
}

// Decline answers for a node that is home to no server.
func Decline(stream *transport.Stream) {
	stream.SendLast(step(wire.HandoffStep_STEP_NOT_TAKEN, "this node takes no requests"))
}

// HandleStream implements transport.StreamHandler: it works on one request.
func (h *Home) HandleStream(from *wire.Hello, stream *transport.Stream) {
	defer stream.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	first, err := stream.Receive(ctx)
	if err != nil || first.GetHandoff() == nil {
		return
	}
	handoff := first.GetHandoff()
	t := &taken{stream: stream, cancel: cancel, needsGo: handoff.GetNeedsGo(), goes: make(chan struct{}, 1), more: make(chan struct{}, window)}
	if !h.add(t) {
		stream.SendLast(step(wire.HandoffStep_STEP_LEAVING, ""))
		return
	}
	defer h.remove(t)
	request := h.decode(handoff)
	if request == nil || !h.dispatcher.Takes(request, destination(handoff)) {
		takenOverTotal.WithLabelValues(handoff.GetService(), "not taken").Inc()
		stream.SendLast(step(wire.HandoffStep_STEP_NOT_TAKEN, "not this node's, as far as it knows"))
		return
	}
	request.IncomingHandoff = &dispatch.IncomingHandoff{From: from.GetNode(), Confirm: t.begin, AnnounceRetry: t.again}
	go t.listen(ctx)
	h.dispatcher.TakeHome(discovery.ServerID(handoff.GetServer()))
	answer, trace, err := h.dispatcher.Do(ctx, request)
	h.log(request, trace, answer, err)
	t.tell(ctx, answer, trace, err)
}

func destination(handoff *wire.Handoff) dispatch.Destination {
	return dispatch.Destination{
		Server: discovery.ServerID(handoff.GetServer()), MapRevision: handoff.GetMapRevision(), TableVersion: handoff.GetTableVersion(),
	}
}

// decode returns the request, or nil if this node's configuration is not the sender's: what
// holds for the request might differ.
func (h *Home) decode(handoff *wire.Handoff) *dispatch.Request {
	table := h.views.Current().Table
	target, err := url.ParseRequestURI(string(handoff.GetUri()))
	if err != nil || table == nil || table.Version() != handoff.GetTableVersion() {
		return nil
	}
	route := table.Match(string(handoff.GetHost()), target.Path)
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

func (h *Home) log(request *dispatch.Request, trace dispatch.Trace, answer *upstream.Answer, err error) {
	fields := []zap.Field{
		zap.String("request", request.ID), zap.String("from", request.IncomingHandoff.From), zap.String("service", request.Service),
		zap.String("server", trace.Server), zap.Int("attempts", trace.Attempts), zap.Duration("queued", trace.Queued),
		zap.Duration("at_servers", trace.AtServers),
	}
	if err != nil {
		takenOverTotal.WithLabelValues(request.Service, resultOf(err)).Inc()
		h.logger.Info("request taken over, failed", append(fields, zap.String("error", err.Error()))...)
		return
	}
	takenOverTotal.WithLabelValues(request.Service, "answered").Inc()
	h.logger.Info("request taken over, answered", append(fields, zap.Int("status", answer.Status))...)
}

// Where a request that was taken over stands.
const (
	queued int32 = iota
	begun
	givenBack
)

var (
	errGivenBack = errors.New("given back to its sender")
	errNoGo      = errors.New("its sender did not let it go")
)

// taken is one request that was taken over.
type taken struct {
	stream  *transport.Stream
	cancel  context.CancelFunc
	needsGo bool
	state   atomic.Int32
	// unsent is true if the request got a place and was not sent for lack of a go.
	unsent atomic.Bool
	// answering is true once the answer is being passed on, which says enough.
	answering atomic.Bool
	goes      chan struct{}
	more      chan struct{}
}

// giveBack ends a request for which no server was chosen yet.
func (t *taken) giveBack() {
	if t.state.CompareAndSwap(queued, givenBack) {
		t.stream.Send(step(wire.HandoffStep_STEP_LEAVING, ""))
		t.cancel()
	}
}

// begin implements dispatch.IncomingHandoff.Confirm: it asks the sender for the go if the
// request needs one. Without it the request is never sent, also if the go comes later.
func (t *taken) begin(ctx context.Context) error {
	if !t.state.CompareAndSwap(queued, begun) {
		return errGivenBack
	}
	if ctx.Err() != nil || !t.stream.Send(step(wire.HandoffStep_STEP_READY, "")) {
		t.unsent.Store(true)
		return errNoGo
	}
	if !t.needsGo {
		return nil
	}
	timer := time.NewTimer(goWithin)
	defer timer.Stop()
	select {
	case <-t.goes:
		return nil
	case <-timer.C:
	case <-ctx.Done():
	}
	t.unsent.Store(true)
	return errNoGo
}

// again implements dispatch.IncomingHandoff.AnnounceRetry. A sender that is not told counts
// one attempt less if this home is lost.
func (t *taken) again() { t.stream.Send(step(wire.HandoffStep_STEP_READY, "")) }

// listen takes the sender's steps and tells it that the home is alive. It ends the
// request with the stream: its caller left, or the sender took another way.
func (t *taken) listen(ctx context.Context) {
	word := ackAfter
	for ctx.Err() == nil {
		bounded, cancel := context.WithTimeout(ctx, word)
		envelope, err := t.stream.Receive(bounded)
		cancel()
		switch {
		case errors.Is(err, context.DeadlineExceeded):
			if !t.saidEnough(word == ackAfter) {
				t.stream.Send(step(wire.HandoffStep_STEP_QUEUED, ""))
			}
			word = aliveEvery
		case err != nil:
			t.cancel()
			return
		default:
			t.take(envelope.GetHandoffStep().GetStep())
		}
	}
}

// saidEnough reports whether the sender needs no word now: the answer is on its way, the
// sender waits for it whatever it hears, or it was told just now that the request is sent.
func (t *taken) saidEnough(first bool) bool {
	sent := t.state.Load() == begun
	return t.answering.Load() || (sent && (first || t.needsGo))
}

func (t *taken) take(what wire.HandoffStep_Step) {
	var waiting chan struct{}
	switch what {
	case wire.HandoffStep_STEP_GO:
		waiting = t.goes
	case wire.HandoffStep_STEP_MORE:
		waiting = t.more
	default:
		return
	}
	select {
	case waiting <- struct{}{}:
	default:
		// More than the home waits for.
	}
}

// tell tells the sender how the request ended.
func (t *taken) tell(ctx context.Context, answer *upstream.Answer, trace dispatch.Trace, err error) {
	var refusal *dispatch.Refusal
	switch {
	case t.state.Load() == givenBack:
	case err == nil:
		t.pass(ctx, answer, trace)
	case t.unsent.Load():
		t.stream.SendLast(step(wire.HandoffStep_STEP_NOT_TAKEN, err.Error()))
	case errors.As(err, &refusal) && refusal.Reason == dispatch.ReasonNodeStops:
		t.stream.SendLast(step(wire.HandoffStep_STEP_LEAVING, ""))
	case errors.As(err, &refusal):
		t.stream.SendLast(encodeRefusal(refusal, trace))
	case errors.Is(err, dispatch.ErrCanceled):
		// The sender ended it.
	default:
		t.stream.SendLast(encodeFailure(err, trace))
	}
}

// pass passes an answer on, in chunks if it is long.
func (t *taken) pass(ctx context.Context, answer *upstream.Answer, trace dispatch.Trace) {
	t.answering.Store(true)
	begun := &wire.HandoffAnswer{Status: uint32(answer.Status), Fields: encodeHeader(answer.Header), Trace: encodeTrace(trace)}
	body := answer.Body
	first := min(len(body), chunkBytes)
	begun.Body, body = body[:first], body[first:]
	begun.Whole = len(body) == 0 && answer.Rest == nil
	envelope := &wire.Envelope{Body: &wire.Envelope_HandoffAnswer{HandoffAnswer: begun}}
	if begun.Whole {
		t.stream.SendLast(envelope)
		return
	}
	chunks := &chunkWriter{ctx: ctx, taken: t, credit: window}
	var err error
	if t.stream.SendWhole(ctx, envelope) {
		err = chunks.write(body)
	} else {
		err = transport.ErrConnectionLost
	}
	if answer.Rest != nil {
		if err == nil {
			_, err = io.CopyBuffer(chunks, onlyReader{answer.Rest}, make([]byte, chunkBytes))
		}
		// It is at its end, or given up.
		_ = answer.Rest.Close()
	}
	chunks.end(err)
}

// onlyReader hides other methods of a reader, so that it is read in pieces of the buffer.
type onlyReader struct{ io.Reader }

// chunkWriter sends a body in chunks, as many ahead as the window allows.
type chunkWriter struct {
	ctx    context.Context
	taken  *taken
	credit int
}

// Write implements io.Writer.
func (w *chunkWriter) Write(body []byte) (int, error) { return len(body), w.write(body) }

func (w *chunkWriter) write(body []byte) error {
	for len(body) > 0 {
		size := min(len(body), chunkBytes)
		// The envelope is written later, and the caller may use its buffer again.
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
		case <-w.taken.more:
			w.credit++
		case <-w.ctx.Done():
			return w.ctx.Err()
		}
	}
	w.credit--
	if !w.taken.stream.SendWhole(w.ctx, &wire.Envelope{Body: &wire.Envelope_HandoffChunk{HandoffChunk: chunk}}) {
		return transport.ErrConnectionLost
	}
	return nil
}

// end sends the last chunk; it says if the body before it is not whole.
func (w *chunkWriter) end(cause error) {
	// If it cannot be sent the stream's end says the same.
	_ = w.send(&wire.HandoffChunk{Last: true, Broken: cause != nil})
}
