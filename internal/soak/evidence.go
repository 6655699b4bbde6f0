package soak

import (
	"strings"
	"time"

	"github.com/micahaven/micahaven/platform/standin"
)

const (
	// unreadWindow is how long after its last byte was sent a request may still be unread
	// by the node when the connection is closed.
	unreadWindow = 200 * time.Millisecond
	// timeoutSlack is how much earlier than seen by the client a request may time out at
	// the node, whose clock starts with the request head.
	timeoutSlack = 100 * time.Millisecond
	// terminationNotice is how long after SIGTERM a node's responses must close their
	// connections. On a busy machine the signal may be delivered late.
	terminationNotice = 500 * time.Millisecond
	// disconnectNotice is how long after its client disconnected a request may still reach
	// a server.
	disconnectNotice = 500 * time.Millisecond
)

// evidence holds what is known about a request beyond its record.
type evidence struct {
	// events are the events of the request's node.
	events   []nodeEvent
	arrivals []standin.Arrival
	// responseTruncated is set if a server aborted its response to the request.
	responseTruncated bool
	// stalled is how long the soak process itself was not scheduled during the request.
	stalled time.Duration
}

// lost reports whether a request was lost: the node had read it completely, was not
// killed, frozen or disconnected from the store, the request had not timed out, and its
// connection closed without a complete response.
func (r *record) lost(known evidence) bool {
	if r.end != connectionClosed || known.disturbed(r.beganAt, r.endedAt) {
		return false
	}
	if r.endedAt.Sub(r.headSentAt) >= r.class.maxDuration()-timeoutSlack {
		return false
	}
	if known.responseTruncated && r.headReceived {
		// The node has to pass the truncation on, so that the client can detect it.
		return false
	}
	return known.wasRead(r)
}

// keepsConnection reports whether a response of a stopping node let its client reuse the
// connection, which the node closes soon. Of pipelined requests only the last response
// has to close it.
func (r *record) keepsConnection(events []nodeEvent) bool {
	if (r.end != answered && r.end != refused) || r.closesConnection || r.hasSuccessor {
		return false
	}
	signalled, found := firstSIGTERM(events, r.endedAt)
	return found && r.endedAt.Sub(signalled) >= terminationNotice
}

// arrivedAfterDisconnect reports whether a request reached a server more than
// disconnectNotice after its client had disconnected.
func (r *record) arrivedAfterDisconnect(known evidence) bool {
	if r.end != disconnected {
		return false
	}
	for _, arrival := range known.arrivals {
		late := arrival.At.Sub(r.endedAt) > disconnectNotice+known.stalled
		if late && !known.disturbed(r.beganAt, arrival.At) {
			return true
		}
	}
	return false
}

// wasRead reports whether the node must have read a request whose connection was closed.
func (known evidence) wasRead(r *record) bool {
	if len(known.arrivals) > 0 || r.headReceived {
		return true
	}
	if r.afterClose {
		// The node may not have read it, so that the client may safely resend it.
		return false
	}
	return r.endedAt.Sub(r.sentAt) >= unreadWindow+known.stalled
}

// disturbed reports whether a node was killed, frozen or disconnected from the store
// within an interval.
func (known evidence) disturbed(from, until time.Time) bool {
	frozen, linkDisrupted := false, false
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
		case linkChanged:
			linkDisrupted = event.detail != Pass.String()
		}
		if within && (event.kind == thawSignal || event.kind == linkChanged) {
			return true
		}
	}
	return frozen || linkDisrupted
}

// stop is one shutdown of a node as observed from outside.
type stop struct {
	signalledAt, endedAt time.Time
	// stalled is how long the soak process itself was not scheduled meanwhile.
	stalled time.Duration
	// exitState is the exit state as formatted by os.ProcessState.
	exitState string
}

// killedBySignal reports whether a signal terminated the process before it exited by
// itself. A further SIGTERM or SIGHUP must not do that.
func (s stop) killedBySignal() bool { return strings.HasPrefix(s.exitState, "signal: ") }

// late reports whether a node exited, or was killed, after its grace period.
func (s stop) late(grace time.Duration) bool {
	return s.endedAt.Sub(s.signalledAt) > grace+s.stalled
}

// stops returns the shutdowns among a node's events during which it was neither frozen nor
// disconnected from the store. After several SIGTERMs the grace period counts from the first.
func stops(events []nodeEvent, stalled func(from, until time.Time) time.Duration) []stop {
	var found []stop
	var signalled time.Time
	known := evidence{events: events}
	for _, event := range events {
		switch event.kind {
		case processStarted:
			signalled = time.Time{}
		case termSignal:
			if signalled.IsZero() {
				signalled = event.at
			}
		case killSignal, processEnded:
			justBefore := event.at.Add(-time.Nanosecond)
			if !signalled.IsZero() && !known.disturbed(signalled, justBefore) {
				found = append(found, stop{signalledAt: signalled, endedAt: event.at, stalled: stalled(signalled, event.at), exitState: event.detail})
			}
			signalled = time.Time{}
		}
	}
	return found
}
