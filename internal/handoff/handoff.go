// Package handoff forwards requests from the node that received them to the home node of the
// target server, and forwards the responses back. All requests between two nodes share one
// multiplexed connection.
//
// A request that must run at most once takes two steps: the home node announces when it has
// a slot at the server (STEP_READY), and sends the request only after the sending node's
// go-ahead (STEP_GO). Until the go-ahead, a home node that crashes, freezes or is
// partitioned has certainly not sent the request, so the sending node may safely use another
// route.
package handoff

import (
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/micahaven/micahaven/internal/dispatch"
	"github.com/micahaven/micahaven/internal/upstream"
	"github.com/micahaven/micahaven/internal/wire"
)

const (
	// ackTimeout is how long a home node may take to acknowledge a request. It exceeds the
	// pause of a node whose CPU quota is used up for a tenth of a second, and is short
	// enough to leave the caller time for another route.
	ackTimeout = 200 * time.Millisecond
	// ackDelay is when a home node acknowledges a request, unless it has already announced
	// that it sends the request.
	ackDelay = 50 * time.Millisecond
	// keepaliveInterval is the interval between keepalives of a home node that is working on
	// a request, and keepaliveTimeout is the silence after which the home node counts as
	// lost. Each keepalive wakes two processes; most requests are answered before the first.
	keepaliveInterval = 400 * time.Millisecond
	keepaliveTimeout  = time.Second
	// goAheadTimeout is how long a home node reserves a slot at a server for a request whose
	// go-ahead has not arrived: a few round trips plus the CPU quota pause described at
	// ackTimeout.
	goAheadTimeout = 150 * time.Millisecond
	// hopMargin is subtracted from the time that a home node gets for a request, so that its
	// own timeout response arrives before the sending node times out.
	hopMargin = 20 * time.Millisecond

	// chunkBytes is the size of a frame with a part of a response body. It is small enough
	// not to delay other requests on the connection noticeably (13 ms on 10 Mbit/s).
	chunkBytes = 16 << 10
	// chunkWindow is how many chunks may be in flight before the sending node has consumed
	// the first. It is smaller than the receive buffer of a stream.
	chunkWindow = 16
	// maxBufferedBody is how much of a response is buffered before it is passed on, as for
	// responses received directly from servers.
	maxBufferedBody = 256 << 10
)

func stepEnvelope(kind wire.HandoffStep_Step, detail string) *wire.Envelope {
	return &wire.Envelope{Body: &wire.Envelope_HandoffStep{HandoffStep: &wire.HandoffStep{Step: kind, Detail: []byte(detail)}}}
}

// encodeRequest encodes a request for its home node. respondBy is the time by which it has to be
// answered.
func encodeRequest(request *dispatch.Request, respondBy time.Time, to dispatch.Destination) *wire.Envelope {
	handoff := &wire.Handoff{
		Service: request.Service, Server: string(to.Server), MapRevision: to.MapRevision, TableVersion: to.TableVersion,
		Method: []byte(request.Method), Uri: []byte(request.URI), Host: []byte(request.Host), Body: request.Body,
		RequestId: []byte(request.ID), Key: request.Key, HasKey: request.HasKey,
		AgeMicros: time.Since(request.ArrivedAt).Microseconds(), LeftMicros: (time.Until(respondBy) - hopMargin).Microseconds(),
		NeedsGo: !request.Route.Repeatable, Substitute: to.Substitute,
		Priority: int32(request.Priority),
		Caller:   []byte(request.Caller), CallerMicros: time.Until(request.Deadline).Microseconds(),
	}
	for _, field := range request.Fields {
		handoff.Fields = append(handoff.Fields, &wire.HeaderField{Name: []byte(field.Name), Value: []byte(field.Value)})
	}
	return &wire.Envelope{Body: &wire.Envelope_Handoff{Handoff: handoff}}
}

func encodeHeader(header http.Header) []*wire.HeaderField {
	fields := make([]*wire.HeaderField, 0, len(header))
	for name, values := range header {
		for _, value := range values {
			fields = append(fields, &wire.HeaderField{Name: []byte(name), Value: []byte(value)})
		}
	}
	return fields
}

func decodeHeader(fields []*wire.HeaderField) http.Header {
	header := make(http.Header, len(fields))
	for _, field := range fields {
		name := string(field.GetName())
		header[name] = append(header[name], string(field.GetValue()))
	}
	return header
}

func decodeFields(fields []*wire.HeaderField) []upstream.Field {
	decoded := make([]upstream.Field, 0, len(fields))
	for _, field := range fields {
		decoded = append(decoded, upstream.Field{Name: string(field.GetName()), Value: string(field.GetValue())})
	}
	return decoded
}

func encodeTrace(trace dispatch.Trace) *wire.HandoffTrace {
	return &wire.HandoffTrace{
		Server: trace.Server, Attempts: uint32(trace.Attempts), NotSent: uint32(trace.NotSent),
		QueuedMicros: trace.Queued.Microseconds(), AtServersMicros: trace.AtServers.Microseconds(), MapRevision: trace.MapRevision,
	}
}

func decodeTrace(home string, trace *wire.HandoffTrace) dispatch.Trace {
	return dispatch.Trace{
		Home: home, Server: trace.GetServer(), Attempts: int(trace.GetAttempts()), NotSent: int(trace.GetNotSent()),
		Queued:      time.Duration(trace.GetQueuedMicros()) * time.Microsecond,
		AtServers:   time.Duration(trace.GetAtServersMicros()) * time.Microsecond,
		MapRevision: trace.GetMapRevision(),
	}
}

func encodeRefusal(refusal *dispatch.Refusal, trace dispatch.Trace) *wire.Envelope {
	return &wire.Envelope{Body: &wire.Envelope_HandoffRefusal{HandoffRefusal: &wire.HandoffRefusal{
		Reason: uint32(refusal.Reason), Detail: []byte(refusal.Detail), RetryAfterMicros: refusal.RetryAfter.Microseconds(), Trace: encodeTrace(trace),
	}}}
}

func decodeRefusal(refusal *wire.HandoffRefusal) *dispatch.Refusal {
	return &dispatch.Refusal{
		Reason: dispatch.Reason(refusal.GetReason()), Detail: string(refusal.GetDetail()),
		RetryAfter: time.Duration(refusal.GetRetryAfterMicros()) * time.Microsecond,
	}
}

func encodeFailure(err error, trace dispatch.Trace) *wire.Envelope {
	kind := wire.HandoffFailure_KIND_UNKNOWN
	switch {
	case errors.Is(err, dispatch.ErrTimeout):
		kind = wire.HandoffFailure_KIND_TIMEOUT
	case errors.Is(err, dispatch.ErrNodeStopping):
		kind = wire.HandoffFailure_KIND_NODE_ENDS
	}
	return &wire.Envelope{Body: &wire.Envelope_HandoffFailure{HandoffFailure: &wire.HandoffFailure{
		Kind: kind, Detail: []byte(err.Error()), Trace: encodeTrace(trace),
	}}}
}

func decodeFailure(failure *wire.HandoffFailure) error {
	switch failure.GetKind() {
	case wire.HandoffFailure_KIND_TIMEOUT:
		return errors.Wrap(dispatch.ErrTimeout, string(failure.GetDetail()))
	case wire.HandoffFailure_KIND_NODE_ENDS:
		return errors.Wrap(dispatch.ErrNodeStopping, string(failure.GetDetail()))
	default:
		return errors.Wrap(dispatch.ErrUnknown, string(failure.GetDetail()))
	}
}
