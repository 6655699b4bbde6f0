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
	// deadline is how long the client waits; timeout is the route's limit.
	deadline, timeout time.Duration
}

const (
	// longTimeout exceeds what is left of a node's grace at any time of its stop.
	longTimeout  = 5 * time.Second
	routeTimeout = 2 * time.Second
	longPrefix   = "/waits/"
)

// longReads is the class of requests that outlast a node's grace, and classes are
// all kinds that clients of planned work send; the long reads come last.
var (
	longReads = &classes[len(classes)-1]
	classes   = []class{
		{name: "read", method: http.MethodGet, path: "/reads/x", deadline: requestDeadline, timeout: routeTimeout},
		{name: "keyed read", method: http.MethodGet, path: "/keys/x", keyed: true, deadline: requestDeadline, timeout: routeTimeout},
		{name: "order", method: http.MethodPost, path: "/orders/x", deadline: requestDeadline, timeout: routeTimeout},
		{name: "long read", method: http.MethodGet, path: longPrefix + "x", deadline: longTimeout, timeout: longTimeout},
	}
)

// repeatable reports whether requests of the class may run more than once.
func (c *class) repeatable() bool { return c.method == http.MethodGet }

// patience is how long a node may work on a request of the class.
func (c *class) patience() time.Duration { return min(c.deadline, c.timeout) }

// end is how a request ended for its client.
type end int

const (
	// notSent means that the connection ended before the request was sent whole.
	notSent end = iota
	// answered and refused are whole answers.
	answered
	refused
	// closed means that the connection ended without a whole answer.
	closed
	// expired means that no answer came in the client's time.
	expired
	// left means that the client closed the connection of its own will.
	left
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

// record is what a client knows of one request.
type record struct {
	id    string
	node  *Node
	class *class
	// connection tells the connections of all clients apart, and position is the
	// request's place on its connection.
	connection, position int
	// connectedAt is when the connection was open, beganAt when the first byte was
	// sent, headSentAt the last one of the head, sentAt the last one of the request,
	// and endedAt when the request ended for the client.
	connectedAt, beganAt, headSentAt, sentAt, endedAt time.Time
	end                                               end
	status                                            int
	// headArrived says that the head of an answer came, and endsConnection that it
	// asked for another connection.
	headArrived, endsConnection bool
	// followed says that another request was sent behind it before its answer came, and
	// behindEnd that an earlier request's end was that of the connection.
	followed, behindEnd bool
	// cause is the error with which the connection ended.
	cause error
	// broken says what was wrong with an answer that looked like a success.
	broken string
}

// outcome is the record as the checks of all soaks see it.
func (r *record) outcome() outcome {
	return outcome{
		id: r.id, node: r.node, repeatable: r.class.repeatable(), status: r.status, broken: r.broken,
		unjudged: r.end == left || r.end == notSent || r.behindEnd,
	}
}

// story tells what is known of a request. Times are relative to the moment at which
// its node was told to stop, or to the request's last byte if it was not.
func (r *record) story(events []nodeEvent, arrivals []standin.Arrival, inForce []string) string {
	zero, reference := r.sentAt, "the last byte"
	if told, found := firstTerm(events, r.sentAt); found {
		zero, reference = told, "SIGTERM"
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
		if event.at.After(r.connectedAt.Add(-storyBefore)) && event.at.Before(r.endedAt.Add(storyAfter)) {
			text += fmt.Sprintf("; %s %s", event.kind, at(event.at))
		}
	}
	for _, name := range inForce {
		text += "; in force: " + name
	}
	return text
}

// firstTerm returns when the process that ran at a moment was first told to stop.
func firstTerm(events []nodeEvent, moment time.Time) (told time.Time, found bool) {
	for _, event := range events {
		switch {
		case event.kind == processStarted && event.at.After(moment):
			return told, found
		case event.kind == processStarted:
			told, found = time.Time{}, false
		case event.kind == termSignal && !found:
			told, found = event.at, true
		}
	}
	return told, found
}

const (
	// storyBefore and storyAfter bound which events belong to a request's story.
	storyBefore = 5 * time.Second
	storyAfter  = 5 * time.Second
)
