// Package schedule decides which requests wait for a busy server, in which order they
// get it, which are refused, and when those should come back. It is pure: it reads no
// clock and knows no sockets.
package schedule

import "time"

// Request is what a decision needs to know of a request.
type Request struct {
	// Class names the kind of request: its route.
	Class string
	// Priority is the route's rank; 0 is the most urgent.
	Priority int
	// Caller tells callers of one class apart: those with the same value share.
	Caller string
	// FirstTry is when the caller first asked, as far as that is known.
	FirstTry time.Time
	// Objective is when an answer is in time no more, and Deadline when the caller leaves.
	Objective, Deadline time.Time
	// Work is how long a server is expected to work on it.
	Work time.Duration
}

// Place is what a server, or several that may stand in for each other, can do now.
type Place struct {
	// Slots is how many requests it works on at a time.
	Slots float64
	// Running is how many it has now, and Work how long each of them takes.
	Running int
	Work    time.Duration
}

// Verdict is what is done with a request.
type Verdict int

const (
	// Send means that it goes to the server at once.
	Send Verdict = iota
	// Wait means that it waits in its place.
	Wait
	// Refuse means that it is refused now.
	Refuse
)

// Decision is a verdict and what belongs to it.
type Decision struct {
	Verdict Verdict
	// Until is how long a waiting request may wait.
	Until time.Time
	// ComeBack is after what time a refused one should come back.
	ComeBack time.Duration
}
