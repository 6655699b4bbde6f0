package handoff

import (
	"context"
	"io"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/micahaven/micahaven/internal/dispatch"
	"github.com/micahaven/micahaven/internal/homes"
	"github.com/micahaven/micahaven/internal/transport"
	"github.com/micahaven/micahaven/internal/upstream"
	"github.com/micahaven/micahaven/internal/view"
	"github.com/micahaven/micahaven/internal/wire"
)

// Sender hands requests off to the home nodes of their servers. It implements
// dispatch.HandoffSender and is safe for concurrent use.
type Sender struct {
	self   string
	client *transport.Client

	mutex     sync.Mutex
	ranks     *homes.Ranks
	nodes     []homes.Node
	processes map[string]string
	reachable reachability
	paths     paths
}

// NewSender returns the sender of the node named self.
func NewSender(self string, client *transport.Client, logger *zap.Logger) *Sender {
	return &Sender{
		self: self, client: client, ranks: homes.NewRanks(nil),
		reachable: reachability{backoffs: make(map[string]*backoff), logger: logger},
		paths:     newPaths(logger),
	}
}

// SetView updates the set of nodes from a new view.
func (s *Sender) SetView(current *view.View) {
	if current.Unchanged.Nodes {
		return
	}
	nodes := make([]homes.Node, 0, current.Nodes.Len())
	processes := make(map[string]string, current.Nodes.Len())
	for _, node := range current.Nodes.All() {
		nodes = append(nodes, homes.Node{Name: node.Name, Zone: node.Zone, Address: node.Address, Share: node.Share})
		processes[node.Name] = node.Process
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	before := s.processes
	s.ranks, s.nodes, s.processes = homes.NewRanks(nodes), nodes, processes
	clear(s.paths.substitute)
	s.reachable.prune(processes, func(home string) bool { return before[home] != processes[home] })
}

// candidates returns the nodes that can currently act as home for the destination of a request, in
// order of preference.
func (s *Sender) candidates(request *dispatch.Request, to dispatch.Destination) []homes.Node {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now, needed := time.Now(), targetOf(request, to)
	ranked := to.Homes
	if to.Server != "" {
		ranked = s.ranks.Of(homes.Server{ID: to.Server, Zone: to.Zone})
	}
	available := make([]homes.Node, 0, len(ranked))
	for _, home := range ranked {
		if home.Name == s.self || s.available(now, home.Name, needed) {
			available = append(available, home)
		}
	}
	return available
}

// available reports whether a node is expected to take requests for a target. The caller holds the
// mutex.
func (s *Sender) available(now time.Time, node string, to target) bool {
	return !s.reachable.inBackoff(now, node) && !s.paths.failed(now, node, to)
}

// substitutes returns some nodes of any zone that may reach a target: the one that did last, and then
// random ones. The work does not grow with the number of nodes.
func (s *Sender) substitutes(to target) []homes.Node {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := time.Now()
	var chosen []homes.Node
	add := func(node homes.Node) {
		if node.Name != s.self && !slices.Contains(chosen, node) && s.available(now, node.Name, to) {
			chosen = append(chosen, node)
		}
	}
	if last, known := s.paths.substitute[to]; known {
		add(last)
	}
	for draw := 0; draw < maxSubstituteDraws && len(chosen) < maxSubstitutes && len(s.nodes) > 0; draw++ {
		add(s.nodes[rand.IntN(len(s.nodes))])
	}
	return chosen
}

// Do implements dispatch.HandoffSender. It tries the candidates in order until one takes the
// request. If a home node of an unsharded service has no free server, one more is tried.
func (s *Sender) Do(ctx context.Context, request *dispatch.Request, respondBy time.Time, to dispatch.Destination) (*upstream.Response, dispatch.Trace, error) {
	var noServer *dispatch.Refusal
	notTaken := dispatch.ErrNoHome
	for _, home := range s.candidates(request, to) {
		if home.Name == s.self {
			return nil, dispatch.Trace{}, dispatch.ErrAtHome
		}
		response, trace, err := s.handOffTo(ctx, home, request, encodeRequest(request, respondBy, to))
		handedOverTotal.WithLabelValues(request.Service, resultLabel(err)).Inc()
		if noServer == nil && to.Server == "" && errors.As(err, &noServer) && noServer.Reason == dispatch.ReasonNoServer && ctx.Err() == nil {
			// Another home node may have a free server.
			continue
		}
		if s.triesNext(ctx, request, to, home.Name, err) {
			notTaken = err
			continue
		}
		return response, trace, err
	}
	if noServer != nil {
		return nil, dispatch.Trace{}, noServer
	}
	return nil, dispatch.Trace{}, notTaken
}

// triesNext reports whether a request that a node did not execute is offered to the next one, and
// records that the node has no path to the server if that is why.
func (s *Sender) triesNext(ctx context.Context, request *dispatch.Request, to dispatch.Destination, node string, err error) bool {
	if ctx.Err() != nil {
		return false
	}
	if dispatch.PathFailed(err) {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		s.paths.markFailed(time.Now(), node, targetOf(request, to))
		return true
	}
	return errors.Is(err, dispatch.ErrNoHome)
}

// DoElsewhere implements dispatch.HandoffSender.
func (s *Sender) DoElsewhere(ctx context.Context, request *dispatch.Request, respondBy time.Time, to dispatch.Destination) (*upstream.Response, dispatch.Trace, error) {
	to.Substitute = true
	needed := targetOf(request, to)
	for _, node := range s.substitutes(needed) {
		response, trace, err := s.handOffTo(ctx, node, request, encodeRequest(request, respondBy, to))
		substitutedTotal.WithLabelValues(request.Service, resultLabel(err)).Inc()
		if s.triesNext(ctx, request, to, node.Name, err) {
			continue
		}
		if err == nil {
			s.mutex.Lock()
			s.paths.markSubstitute(needed, node)
			s.mutex.Unlock()
		}
		return response, trace, err
	}
	return nil, dispatch.Trace{}, errors.Wrap(dispatch.ErrNoHome, "no other node reaches the server")
}

// handOffTo hands a request off to one home node. The error matches dispatch.ErrNoHome if
// that node has certainly not sent the request and never will.
func (s *Sender) handOffTo(ctx context.Context, home homes.Node, request *dispatch.Request, first *wire.Envelope) (*upstream.Response, dispatch.Trace, error) {
	bounded, cancel := context.WithTimeout(ctx, ackTimeout)
	defer cancel()
	stream, err := s.client.Open(bounded, home.Address, first)
	if err != nil {
		if ctx.Err() == nil {
			s.markFailed(home.Name, "not reached")
		}
		return nil, dispatch.Trace{}, errors.Wrapf(dispatch.ErrNoHome, "home %s not reached: %v", home.Name, err)
	}
	h := &attempt{sender: s, home: home.Name, stream: stream, needsGo: !request.Route.Repeatable}
	response, trace, err := h.awaitOutcome(ctx)
	if response == nil || response.Rest == nil {
		stream.Close()
	}
	return response, trace, err
}

func (s *Sender) markFailed(home, cause string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.reachable.markFailed(time.Now(), home, cause)
}

func (s *Sender) markStopping(home string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.reachable.markStopping(time.Now(), home)
}

func (s *Sender) markReachable(home string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.reachable.markReachable(time.Now(), home)
}

// attempt is the handoff of one request to one home node.
type attempt struct {
	sender  *Sender
	home    string
	stream  *transport.Stream
	needsGo bool
	// goAheadSent is true once the go-ahead was sent to the home node.
	goAheadSent bool
	// acknowledged is true once the home node has sent any message.
	acknowledged bool
}

// mayHaveRun reports whether the home node may have sent the request to a server.
func (h *attempt) mayHaveRun() bool { return !h.needsGo || h.goAheadSent }

// awaitOutcome processes the messages of the home node until the request has ended.
func (h *attempt) awaitOutcome(ctx context.Context) (*upstream.Response, dispatch.Trace, error) {
	trace := dispatch.Trace{Home: h.home}
	for {
		envelope, err := h.receive(ctx)
		if err != nil {
			return nil, trace, h.lostError(ctx, err)
		}
		if !h.acknowledged {
			h.acknowledged = true
			h.sender.markReachable(h.home)
		}
		switch body := envelope.GetBody().(type) {
		case *wire.Envelope_HandoffStep:
			if body.HandoffStep.GetStep() == wire.HandoffStep_STEP_READY {
				// The home node announces each server attempt before it sends the request.
				trace.Attempts++
			}
			if err := h.handleStep(ctx, body.HandoffStep); err != nil {
				return nil, trace, err
			}
		case *wire.Envelope_HandoffAnswer:
			return h.response(ctx, body.HandoffAnswer)
		case *wire.Envelope_HandoffRefusal:
			refusal := decodeRefusal(body.HandoffRefusal)
			refusedTotal.WithLabelValues(refusal.Reason.String()).Inc()
			return nil, decodeTrace(h.home, body.HandoffRefusal.GetTrace()), refusal
		case *wire.Envelope_HandoffFailure:
			return nil, decodeTrace(h.home, body.HandoffFailure.GetTrace()), decodeFailure(body.HandoffFailure)
		case *wire.Envelope_Failure:
			// A node that does not support handoff replies with a failure and has not sent
			// the request.
			h.sender.markFailed(h.home, "not understood")
			return nil, trace, errors.Wrap(dispatch.ErrNoHome, "home takes no requests")
		default:
			// A chunk of a response whose head was lost, or a message type unknown to this
			// node.
			return nil, trace, h.lostError(ctx, errors.New("home's word does not belong here"))
		}
	}
}

// receive waits for the next message of the home node, for at most the permitted silence.
// After the go-ahead it waits until the request's deadline: the home node may recover, and
// its response still counts.
func (h *attempt) receive(ctx context.Context) (*wire.Envelope, error) {
	if h.goAheadSent {
		return h.stream.Receive(ctx)
	}
	timeout := keepaliveTimeout
	if !h.acknowledged {
		timeout = ackTimeout
	}
	bounded, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return h.stream.Receive(bounded)
}

// handleStep processes a step of the home node; an error ends the handoff.
func (h *attempt) handleStep(ctx context.Context, update *wire.HandoffStep) error {
	switch update.GetStep() {
	case wire.HandoffStep_STEP_READY:
		if !h.needsGo || h.goAheadSent {
			return nil
		}
		if ctx.Err() != nil || !h.stream.Send(stepEnvelope(wire.HandoffStep_STEP_GO, "")) {
			return errors.Wrap(dispatch.ErrNoHome, "no go was sent")
		}
		h.goAheadSent = true
	case wire.HandoffStep_STEP_NOT_TAKEN:
		return errors.Wrap(dispatch.ErrNoHome, string(update.GetDetail()))
	case wire.HandoffStep_STEP_LEAVING:
		h.sender.markStopping(h.home)
		return errors.Wrap(dispatch.ErrNoHome, "home stops")
	}
	return nil
}

// lostError returns the error for a request whose home node stopped answering; it states
// whether the request may have run.
func (h *attempt) lostError(ctx context.Context, cause error) error {
	if ctx.Err() == nil {
		h.sender.markFailed(h.home, failureCause(cause))
	}
	lostError := dispatch.ErrNoHome
	if h.mayHaveRun() {
		lostError = dispatch.ErrHomeLost
	}
	return errors.Wrapf(lostError, "home %s (acknowledged %v): %v", h.home, h.acknowledged, cause)
}

// failureCause returns the metric label for the reason why a home node counts as lost.
func failureCause(err error) string {
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		return "silent"
	case errors.Is(err, transport.ErrConnectionLost):
		return "connection lost"
	default:
		return "stream ended"
	}
}

// response reads a response, to its end if it is short.
func (h *attempt) response(ctx context.Context, head *wire.HandoffAnswer) (*upstream.Response, dispatch.Trace, error) {
	trace := decodeTrace(h.home, head.GetTrace())
	response := &upstream.Response{Status: int(head.GetStatus()), Header: decodeHeader(head.GetFields()), Body: head.GetBody()}
	if head.GetWhole() {
		return response, trace, nil
	}
	rest := &chunkReader{ctx: ctx, stream: h.stream, pending: head.GetBody()}
	body, err := io.ReadAll(io.LimitReader(rest, maxBufferedBody))
	if err != nil {
		return nil, trace, errors.Wrapf(dispatch.ErrHomeLost, "home %s: %v", h.home, err)
	}
	response.Body = body
	if !rest.ended() {
		response.Rest = rest
	}
	return response, trace, nil
}

// chunkReader reads the body of a long response from the home node.
type chunkReader struct {
	ctx     context.Context
	stream  *transport.Stream
	pending []byte
	last    bool
}

func (r *chunkReader) ended() bool { return r.last && len(r.pending) == 0 }

// Read implements io.Reader.
func (r *chunkReader) Read(into []byte) (int, error) {
	for len(r.pending) == 0 {
		if r.last {
			return 0, io.EOF
		}
		envelope, err := r.stream.Receive(r.ctx)
		if err != nil {
			return 0, errors.Wrap(err, "rest of an answer")
		}
		chunk := envelope.GetHandoffChunk()
		if chunk == nil {
			// A keepalive of the home node.
			continue
		}
		if chunk.GetBroken() {
			return 0, errors.Wrap(io.ErrUnexpectedEOF, "rest of an answer")
		}
		r.pending, r.last = chunk.GetBody(), chunk.GetLast()
		// If this does not reach the home node, the home node stops sending, and the next
		// read fails.
		r.stream.SendWhole(r.ctx, stepEnvelope(wire.HandoffStep_STEP_MORE, ""))
	}
	count := copy(into, r.pending)
	r.pending = r.pending[count:]
	return count, nil
}

// Close implements io.Closer.
func (r *chunkReader) Close() error {
	r.stream.Close()
	return nil
}

// resultLabel returns the metric label for the result of a handoff.
func resultLabel(err error) string {
	switch {
	case err == nil:
		return "answered"
	case errors.Is(err, dispatch.ErrNoHome):
		return "not taken"
	case errors.Is(err, dispatch.ErrHomeLost):
		return "lost"
	case errors.Is(err, dispatch.ErrNotExecuted):
		return "refused"
	default:
		return "failed"
	}
}
