package soak

import (
	"strings"
	"time"

	"github.com/micahaven/micahaven/platform/standin"
)

const (
	// crossingTime is how long after its last byte was sent a request may meet the
	// end of its connection without that the node has read it.
	crossingTime = 200 * time.Millisecond
	// patienceSlack is how much earlier than the soak thinks a request's time may be
	// over for the node, whose clock begins with the head.
	patienceSlack = 100 * time.Millisecond
	// noticeTime is how long after SIGTERM a node's answers must ask for another
	// connection. On a busy machine it may learn of the signal late.
	noticeTime = 500 * time.Millisecond
	// leaveNotice is how long after its client has left a request may still reach a server.
	leaveNotice = 500 * time.Millisecond
)

// evidence is what is known of a request besides its record.
type evidence struct {
	// events are those of the request's node.
	events   []nodeEvent
	arrivals []standin.Arrival
	// brokenOff says that a server broke off its answer to the request.
	brokenOff bool
	// stalled is for how long the soak itself did not run during the request.
	stalled time.Duration
}

// lost reports whether a request was lost: the node had read it whole, was not
// killed, frozen or cut off, had time left, and its connection ended without a whole
// answer.
func (r *record) lost(known evidence) bool {
	if r.end != closed || known.disturbed(r.beganAt, r.endedAt) {
		return false
	}
	if r.endedAt.Sub(r.headSentAt) >= r.class.patience()-patienceSlack {
		return false
	}
	if known.brokenOff && r.headArrived {
		// The client must see that the rest of the answer is missing.
		return false
	}
	return known.wasRead(r)
}

// keepsStopping reports whether an answer of a stopping node let its client go on
// using the connection, which the node closes soon. Of requests that were sent together
// only the last answer has to end it.
func (r *record) keepsStopping(events []nodeEvent) bool {
	if (r.end != answered && r.end != refused) || r.endsConnection || r.followed {
		return false
	}
	told, found := firstTerm(events, r.endedAt)
	return found && r.endedAt.Sub(told) >= noticeTime
}

// reachedLate reports whether a request reached a server although its client had left some
// time before.
func (r *record) reachedLate(known evidence) bool {
	if r.end != left {
		return false
	}
	for _, arrival := range known.arrivals {
		late := arrival.At.Sub(r.endedAt) > leaveNotice+known.stalled
		if late && !known.disturbed(r.beganAt, arrival.At) {
			return true
		}
	}
	return false
}

// wasRead reports whether the node must have read a request whose connection ended.
func (known evidence) wasRead(r *record) bool {
	if len(known.arrivals) > 0 || r.headArrived {
		return true
	}
	if r.behindEnd {
		// The node may have left it unread, so that it may be sent again.
		return false
	}
	return r.endedAt.Sub(r.sentAt) >= crossingTime+known.stalled
}

// disturbed reports whether a node was killed, frozen or cut off between two moments.
func (known evidence) disturbed(from, until time.Time) bool {
	frozen, cut := false, false
	for _, event := range known.events {
		if event.at.After(until) {
			break
		}
		within := !event.at.Before(from)
		switch event.kind {
		case killSignal:
			if within {
				return true
			}
		case freezeSignal:
			frozen = true
		case thawSignal:
			frozen = false
		case linkCut:
			cut = event.detail != Pass.String()
		}
		if within && (event.kind == thawSignal || event.kind == linkCut) {
			return true
		}
	}
	return frozen || cut
}

// stop is one stop of a node as it was seen from outside.
type stop struct {
	toldAt, endedAt time.Time
	// stalled is for how long the soak itself did not run meanwhile.
	stalled time.Duration
	// how says how the process ended, in the words of os.ProcessState.
	how string
}

// cutShort reports whether a signal ended the process before it had stopped by
// itself. A further SIGTERM or SIGHUP must not do that.
func (s stop) cutShort() bool { return strings.HasPrefix(s.how, "signal: ") }

// late reports whether a node ended, or was killed, after its grace was over.
func (s stop) late(grace time.Duration) bool {
	return s.endedAt.Sub(s.toldAt) > grace+s.stalled
}

// stops returns the stops among a node's events during which it was not frozen or
// cut off. A process that was told to stop twice is bound by the first time.
func stops(events []nodeEvent, stalled func(from, until time.Time) time.Duration) []stop {
	var found []stop
	var told time.Time
	known := evidence{events: events}
	for _, event := range events {
		switch event.kind {
		case processStarted:
			told = time.Time{}
		case termSignal:
			if told.IsZero() {
				told = event.at
			}
		case killSignal, processEnded:
			justBefore := event.at.Add(-time.Nanosecond)
			if !told.IsZero() && !known.disturbed(told, justBefore) {
				found = append(found, stop{toldAt: told, endedAt: event.at, stalled: stalled(told, event.at), how: event.detail})
			}
			told = time.Time{}
		}
	}
	return found
}
