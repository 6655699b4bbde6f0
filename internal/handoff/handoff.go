// Package handoff passes requests from the node that read them to the home of their
// server, over one multiplexed connection between the two, and answers back.
//
// A request that must run at most once goes in two steps: the home says when it has a
// place at the server, and sends it only after the sender's go. Until then a home that
// dies, freezes or is cut off has certainly not sent it, and the sender may send it by
// another way.
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
	// ackWithin is how long a home may take to say that it has a request: above the pauses
	// of a node whose share of a processor is used up for a tenth of a second, and short
	// enough to leave the caller time for another way.
	ackWithin = 200 * time.Millisecond
	// ackAfter is when a home says so if it has not said before that it sends the request.
	ackAfter = 50 * time.Millisecond
	// aliveEvery is the pause between two words of a home that works on a request, and
	// silentAfter when a home that said nothing counts as lost. Each word wakes two
	// processes; most requests are answered before the first.
	aliveEvery  = 400 * time.Millisecond
	silentAfter = time.Second
	// goWithin is how long a home keeps a place at a server for a request whose go does
	// not come: some round trips, and the pause of a node as above.
	goWithin = 150 * time.Millisecond
	// hopMargin is what a home gets less of a request's time, so that its own answer that
	// the time is over arrives before the sender's time is.
	hopMargin = 20 * time.Millisecond

	// chunkBytes is the size of a frame with a part of an answer: small enough that others
	// on the connection do not wait for it (13 ms on 10 Mbit/s).
	chunkBytes = 16 << 10
	// window is how many chunks may be on their way before the sender has taken the first;
	// below the buffer of a stream.
	window = 16
	// maxCollected is how much of an answer is read before it is passed on, as with
	// answers of servers.
	maxCollected = 256 << 10
)

func step(what wire.HandoffStep_Step, detail string) *wire.Envelope {
	return &wire.Envelope{Body: &wire.Envelope_HandoffStep{HandoffStep: &wire.HandoffStep{Step: what, Detail: []byte(detail)}}}
}

// encodeRequest writes a request for its home. limit is when it has to be answered.
func encodeRequest(request *dispatch.Request, limit time.Time, to dispatch.Destination) *wire.Envelope {
	handoff := &wire.Handoff{
		Service: request.Service, Server: string(to.Server), MapRevision: to.MapRevision, TableVersion: to.TableVersion,
		Method: []byte(request.Method), Uri: []byte(request.URI), Host: []byte(request.Host), Body: request.Body,
		RequestId: []byte(request.ID), Key: request.Key, HasKey: request.HasKey,
		AgeMicros: time.Since(request.ArrivedAt).Microseconds(), LeftMicros: (time.Until(limit) - hopMargin).Microseconds(),
		NeedsGo:  !request.Route.Repeatable,
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
