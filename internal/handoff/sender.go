package handoff

import (
	"context"
	"io"
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

// Sender hands requests over to the homes of their servers. It implements
// dispatch.HandoffSender and is safe for concurrent use.
type Sender struct {
	self   string
	client *transport.Client

	mutex     sync.Mutex
	ranks     *homes.Ranks
	processes map[string]string
	reachable reachability
}

// NewSender returns a sender of a node.
func NewSender(self string, client *transport.Client, logger *zap.Logger) *Sender {
	return &Sender{
		self: self, client: client, ranks: homes.NewRanks(nil),
		reachable: reachability{absent: make(map[string]*absence), logger: logger},
	}
}

// Follow takes in the nodes of a new view.
func (s *Sender) Follow(current *view.View) {
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
	s.ranks, s.processes = homes.NewRanks(nodes), processes
	s.reachable.keep(processes, func(home string) bool { return before[home] != processes[home] })
}

// homesOf returns the nodes that may be home to a server now, the best first.
func (s *Sender) homesOf(to dispatch.Destination) []homes.Node {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := time.Now()
	ranked := to.Homes
	if to.Server != "" {
		ranked = s.ranks.Of(homes.Server{ID: to.Server, Zone: to.Zone})
	}
	present := make([]homes.Node, 0, len(ranked))
	for _, home := range ranked {
		if home.Name == s.self || !s.reachable.passedOver(now, home.Name) {
			present = append(present, home)
		}
	}
	return present
}

// Do implements dispatch.HandoffSender.
func (s *Sender) Do(ctx context.Context, request *dispatch.Request, limit time.Time, to dispatch.Destination) (*upstream.Answer, dispatch.Trace, error) {
	var full *dispatch.Refusal
	notTaken := dispatch.ErrNoHome
	for _, home := range s.homesOf(to) {
		if home.Name == s.self {
			return nil, dispatch.Trace{}, dispatch.ErrAtHome
		}
		answer, trace, err := s.handTo(ctx, home, request, encodeRequest(request, limit, to))
		handedOverTotal.WithLabelValues(request.Service, resultOf(err)).Inc()
		if full == nil && to.Server == "" && errors.As(err, &full) && full.Reason == dispatch.ReasonNoServer && ctx.Err() == nil {
			// Another home may have a free server.
			continue
		}
		if !errors.Is(err, dispatch.ErrNoHome) || ctx.Err() != nil {
			return answer, trace, err
		}
		notTaken = err
	}
	if full != nil {
		return nil, dispatch.Trace{}, full
	}
	return nil, dispatch.Trace{}, notTaken
}

// handTo hands a request to one home. The error matches dispatch.ErrNoHome if that home
// has certainly not sent it and never will.
func (s *Sender) handTo(ctx context.Context, home homes.Node, request *dispatch.Request, first *wire.Envelope) (*upstream.Answer, dispatch.Trace, error) {
	bounded, cancel := context.WithTimeout(ctx, ackWithin)
	defer cancel()
	stream, err := s.client.Open(bounded, home.Address, first)
	if err != nil {
		if ctx.Err() == nil {
			s.missed(home.Name, "not reached")
		}
		return nil, dispatch.Trace{}, errors.Wrapf(dispatch.ErrNoHome, "home %s not reached: %v", home.Name, err)
	}
	h := &handing{sender: s, home: home.Name, stream: stream, needsGo: !request.Route.Repeatable}
	answer, trace, err := h.follow(ctx)
	if answer == nil || answer.Rest == nil {
		stream.Close()
	}
	return answer, trace, err
}

func (s *Sender) missed(home, cause string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.reachable.missed(time.Now(), home, cause)
}

func (s *Sender) leaves(home string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.reachable.leaves(time.Now(), home)
}

func (s *Sender) heard(home string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.reachable.heard(time.Now(), home)
}

// handing is one request at one home.
type handing struct {
	sender  *Sender
	home    string
	stream  *transport.Stream
	needsGo bool
	// gone is true once the home was given the go.
	gone bool
	// acknowledged is true once the home said anything.
	acknowledged bool
}

// mayRun reports whether the home may have sent the request.
func (h *handing) mayRun() bool { return !h.needsGo || h.gone }

// follow takes the home's steps until the request has ended.
func (h *handing) follow(ctx context.Context) (*upstream.Answer, dispatch.Trace, error) {
	trace := dispatch.Trace{Home: h.home}
	for {
		envelope, err := h.receive(ctx)
		if err != nil {
			return nil, trace, h.lost(ctx, err)
		}
		if !h.acknowledged {
			h.acknowledged = true
			h.sender.heard(h.home)
		}
		switch body := envelope.GetBody().(type) {
		case *wire.Envelope_HandoffStep:
			if body.HandoffStep.GetStep() == wire.HandoffStep_STEP_READY {
				// The home says so before each server to which it sends the request.
				trace.Attempts++
			}
			if err := h.take(ctx, body.HandoffStep); err != nil {
				return nil, trace, err
			}
		case *wire.Envelope_HandoffAnswer:
			return h.answer(ctx, body.HandoffAnswer)
		case *wire.Envelope_HandoffRefusal:
			refusal := decodeRefusal(body.HandoffRefusal)
			refusedTotal.WithLabelValues(refusal.Reason.String()).Inc()
			return nil, decodeTrace(h.home, body.HandoffRefusal.GetTrace()), refusal
		case *wire.Envelope_HandoffFailure:
			return nil, decodeTrace(h.home, body.HandoffFailure.GetTrace()), decodeFailure(body.HandoffFailure)
		case *wire.Envelope_Failure:
			// A node that does not know handed-over requests says so and does nothing.
			h.sender.missed(h.home, "not understood")
			return nil, trace, errors.Wrap(dispatch.ErrNoHome, "home takes no requests")
		default:
			// A part of an answer whose head was lost, or a word that this node does not know.
			return nil, trace, h.lost(ctx, errors.New("home's word does not belong here"))
		}
	}
}

// receive waits for the home's next word for as long as it may be silent. A home that has
// the go is waited for until the request's end: it may come back, and its answer counts.
func (h *handing) receive(ctx context.Context) (*wire.Envelope, error) {
	if h.gone {
		return h.stream.Receive(ctx)
	}
	silence := silentAfter
	if !h.acknowledged {
		silence = ackWithin
	}
	bounded, cancel := context.WithTimeout(ctx, silence)
	defer cancel()
	return h.stream.Receive(bounded)
}

// take takes a step of the home; an error ends the handover.
func (h *handing) take(ctx context.Context, taken *wire.HandoffStep) error {
	switch taken.GetStep() {
	case wire.HandoffStep_STEP_READY:
		if !h.needsGo || h.gone {
			return nil
		}
		if ctx.Err() != nil || !h.stream.Send(step(wire.HandoffStep_STEP_GO, "")) {
			return errors.Wrap(dispatch.ErrNoHome, "no go was sent")
		}
		h.gone = true
	case wire.HandoffStep_STEP_NOT_TAKEN:
		return errors.Wrap(dispatch.ErrNoHome, string(taken.GetDetail()))
	case wire.HandoffStep_STEP_LEAVING:
		h.sender.leaves(h.home)
		return errors.Wrap(dispatch.ErrNoHome, "home stops")
	}
	return nil
}

// lost says what is known of a request whose home does not say more.
func (h *handing) lost(ctx context.Context, cause error) error {
	if ctx.Err() == nil {
		h.sender.missed(h.home, causeOf(cause))
	}
	lost := dispatch.ErrNoHome
	if h.mayRun() {
		lost = dispatch.ErrHomeLost
	}
	return errors.Wrapf(lost, "home %s (acknowledged %v): %v", h.home, h.acknowledged, cause)
}

func causeOf(err error) string {
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		return "silent"
	case errors.Is(err, transport.ErrConnectionLost):
		return "connection lost"
	default:
		return "stream ended"
	}
}

// answer reads an answer, to its end if it is short.
func (h *handing) answer(ctx context.Context, begun *wire.HandoffAnswer) (*upstream.Answer, dispatch.Trace, error) {
	trace := decodeTrace(h.home, begun.GetTrace())
	answer := &upstream.Answer{Status: int(begun.GetStatus()), Header: decodeHeader(begun.GetFields()), Body: begun.GetBody()}
	if begun.GetWhole() {
		return answer, trace, nil
	}
	rest := &chunkReader{ctx: ctx, stream: h.stream, pending: begun.GetBody()}
	body, err := io.ReadAll(io.LimitReader(rest, maxCollected))
	if err != nil {
		return nil, trace, errors.Wrapf(dispatch.ErrHomeLost, "home %s: %v", h.home, err)
	}
	answer.Body = body
	if !rest.ended() {
		answer.Rest = rest
	}
	return answer, trace, nil
}

// chunkReader reads a long answer from its home.
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
			// The home's word that it is alive.
			continue
		}
		if chunk.GetBroken() {
			return 0, errors.Wrap(io.ErrUnexpectedEOF, "rest of an answer")
		}
		r.pending, r.last = chunk.GetBody(), chunk.GetLast()
		// A home that does not get it stops to send, which the reader sees.
		r.stream.SendWhole(r.ctx, step(wire.HandoffStep_STEP_MORE, ""))
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

// resultOf names how a handover ended, for the metrics.
func resultOf(err error) string {
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
