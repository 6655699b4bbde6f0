package soak

import (
	"fmt"
	"net/http"
	"time"

	"github.com/micahaven/micahaven/platform/standin"
)

// class is a kind of request.
type class struct {
	name, method, path string
	keyed              bool
	// deadline is how long the client waits; timeout is the route's timeout.
	deadline, timeout time.Duration
}

const (
	// longTimeout exceeds a node's grace period, and so what remains of it at any time.
	longTimeout  = 5 * time.Second
	routeTimeout = 2 * time.Second
	longPrefix   = "/waits/"
)

// longReads is the class of requests that outlast a node's grace period. classes are all
// classes sent by the clients of planned work; longReads must be last.
var (
	longReads = &classes[len(classes)-1]
	classes   = []class{
		{name: "read", method: http.MethodGet, path: "/reads/x", deadline: requestDeadline, timeout: routeTimeout},
		{name: "keyed read", method: http.MethodGet, path: "/keys/x", keyed: true, deadline: requestDeadline, timeout: routeTimeout},
		{name: "order", method: http.MethodPost, path: "/orders/x", deadline: requestDeadline, timeout: routeTimeout},
		{name: "long read", method: http.MethodGet, path: longPrefix + "x", deadline: longTimeout, timeout: longTimeout},
	}
)

// repeatable reports whether requests of the class may be executed more than once.
func (c *class) repeatable() bool { return c.method == http.MethodGet }

// maxDuration returns how long a node may work on a request of the class.
func (c *class) maxDuration() time.Duration { return min(c.deadline, c.timeout) }

// end is how a request ended as seen by its client.
type end int

const (
	// notSent means that the connection failed before the request was sent completely.
	notSent end = iota
	// answered and refused mean that a complete response was received; refused is an
	// unsigned one from the node, with a status of notExecutedStatuses.
	answered
	refused
	// connectionClosed means that the connection closed without a complete response.
	connectionClosed
	// expired means that the client timed out without a response.
	expired
	// disconnected means that the client closed the connection deliberately.
	disconnected
	endCount
)

// String names the end.
func (e end) String() string {
	names := [endCount]string{"not sent whole", "answered", "refused", "connection closed without a whole answer",
		"no answer in the client's time", "client left"}
	if e >= 0 && e < endCount {
		return names[e]
	}
	return "unknown"
}

// record is what a client recorded about one request.
type record struct {
	id    string
	node  *Node
	class *class
	// connection is the number of the connection, unique among all clients, and position
	// the number of the request on it.
	connection, position int
	// connectedAt is when the connection was established, beganAt when the first byte was
	// sent, headSentAt the last byte of the head, sentAt the last byte of the request, and
	// endedAt when the request ended for the client.
	connectedAt, beganAt, headSentAt, sentAt, endedAt time.Time
	end                                               end
	status                                            int
	// headReceived is set once the head of a response was received, and closesConnection if
	// it announced that the connection will be closed.
	headReceived, closesConnection bool
	// hasSuccessor is set if another request was pipelined behind it, and afterClose if the
	// connection ended with an earlier request.
	hasSuccessor, afterClose bool
	// cause is the error that ended the request; nil for complete responses.
	cause error
	// broken describes why a response with status 200 was invalid; empty if it was valid.
	broken string
}

// outcome returns the part of the record that the checks of all kinds of runs use.
func (r *record) outcome() outcome {
	return outcome{
		id: r.id, node: r.node, repeatable: r.class.repeatable(), status: r.status, broken: r.broken,
		excluded: r.end == disconnected || r.end == notSent || r.afterClose,
	}
}

// description returns what is known about a request. Times are relative to its node's first
// SIGTERM, or to the request's last byte if there was none.
func (r *record) description(events []nodeEvent, arrivals []standin.Arrival, activeFaults []string) string {
	zero, reference := r.sentAt, "the last byte"
	if signalled, found := firstSIGTERM(events, r.sentAt); found {
		zero, reference = signalled, "SIGTERM"
	}
	at := func(moment time.Time) string { return fmt.Sprintf("%+.3f s", moment.Sub(zero).Seconds()) }
	text := fmt.Sprintf("%s %s to %s (connection %d, request %d on it), times from %s: connected %s, first byte %s, head %s, last byte %s, %s at %s",
		r.class.name, r.id, r.node.Name, r.connection, r.position, reference,
		at(r.connectedAt), at(r.beganAt), at(r.headSentAt), at(r.sentAt), r.end, at(r.endedAt))
	if r.cause != nil {
		text += fmt.Sprintf(" (%v)", r.cause)
	}
	for _, arrival := range arrivals {
		text += fmt.Sprintf("; reached %s at %s", arrival.Server, at(arrival.At))
	}
	if len(arrivals) == 0 {
		text += "; reached no server"
	}
	for _, event := range events {
		if event.at.After(r.connectedAt.Add(-contextBefore)) && event.at.Before(r.endedAt.Add(contextAfter)) {
			text += fmt.Sprintf("; %s %s", event.kind, at(event.at))
		}
	}
	for _, name := range activeFaults {
		text += "; in force: " + name
	}
	return text
}

// firstSIGTERM returns when the process that ran at a moment first received SIGTERM.
func firstSIGTERM(events []nodeEvent, moment time.Time) (signalled time.Time, found bool) {
	for _, event := range events {
		switch {
		case event.kind == processStarted && event.at.After(moment):
			return signalled, found
		case event.kind == processStarted:
			signalled, found = time.Time{}, false
		case event.kind == termSignal && !found:
			signalled, found = event.at, true
		}
	}
	return signalled, found
}

const (
	// contextBefore and contextAfter bound how long before and after a request events are
	// included in its description.
	contextBefore = 5 * time.Second
	contextAfter  = 5 * time.Second
)
