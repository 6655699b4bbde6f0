// Package schedule decides which requests wait for a busy server, in which order they
// get it, which are refused, and when those should come back. It is pure: it reads no
// clock and knows no sockets.
//
// It answers three loads: a burst beyond what the servers of one kind of request do, a
// server that is slow for a moment, and callers that ask again at once and often. What it
// is told may be one node's part of a server's load or all of it; the decisions are the
// same, and only as good as that.
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
	// Arrived is when this try came, and FirstTry when the caller first asked, as far as
	// that is known.
	Arrived, FirstTry time.Time
	// Objective is the time since the first try after which an answer is late.
	Objective time.Duration
	// Limit is until when a server may work on it, and Deadline when the caller leaves.
	Limit, Deadline time.Time
	// Work is how long a server is expected to have it.
	Work time.Duration
}

// latestStart is when a server must have the request for its answer to be in time.
func (r *Request) latestStart() time.Time {
	return r.FirstTry.Add(r.Objective - r.Work)
}

// Late reports whether an answer can be in time no more, even if a server gets the
// request now.
func (r *Request) Late(now time.Time) bool { return now.After(r.latestStart()) }

// Line is what stands before a request at a server, or at several that may stand in for
// each other.
type Line struct {
	// Ahead is how many requests wait and go first.
	Ahead int
	// Places is how many requests the servers work on at a time for whoever asks; 0 means
	// that no server takes any now.
	Places float64
	// Work is how long each of them takes.
	Work time.Duration
	// Opens is how long the servers surely take none: what a server told of its load can
	// mean that a node sends it nothing for a while.
	Opens time.Duration
	// Closed is set while no server takes requests and it is not known when one will.
	Closed bool
}

// wait is how long a request that joins the line is expected to wait.
func (l Line) wait() time.Duration {
	return max(l.Opens, time.Duration(l.Ahead+1)*l.interval())
}

// interval is the mean time between two requests that the servers take.
func (l Line) interval() time.Duration {
	if l.Places <= 0 {
		return 0
	}
	return time.Duration(float64(l.Work) / l.Places)
}

// Verdict is what is done with a request for which no server is free.
type Verdict int

const (
	// Wait means that it waits in its place.
	Wait Verdict = iota
	// Refuse means that it is refused now.
	Refuse
)

// Decision is a verdict and what belongs to it.
type Decision struct {
	Verdict Verdict
	// Until is how long a waiting request may wait before the next decision.
	Until time.Time
}
