// Package schedule decides which requests queue for a busy server, in which order they
// are served, which are refused, and when refused callers should retry. It is pure: it
// reads no clock and does no I/O.
//
// It is designed for three kinds of load: a burst on one route beyond the capacity of its
// servers, a server that is slow for a short time, and callers that retry immediately and
// often. The caller of this package may track all requests of a server or only those of
// one node. The rules are the same in both cases; decisions are only as accurate as this input.
package schedule

import "time"

// Request holds the properties of a request on which decisions depend.
type Request struct {
	// Class is the name of the request's route.
	Class string
	// Priority is the priority of the route; 0 is the highest.
	Priority int
	// Caller identifies the caller within a class. Requests with the same value share one
	// fair-queueing turn; requests with an empty value take no part in it.
	Caller string
	// Arrived is the arrival time of this attempt. FirstAttempt is the estimated arrival time of
	// the caller's first attempt.
	Arrived, FirstAttempt time.Time
	// Objective is the latency objective, counted from the first attempt; a response after
	// it is late.
	Objective time.Duration
	// ExecutionDeadline is the time until which a server may process the request. Deadline is
	// the time at which the caller gives up.
	ExecutionDeadline, Deadline time.Time
	// ServiceTime is the expected service time.
	ServiceTime time.Duration
}

// latestStart returns the latest time at which a server must receive the request for its
// response to meet the objective.
func (r *Request) latestStart() time.Time {
	return r.FirstAttempt.Add(r.Objective - r.ServiceTime)
}

// Late reports whether the response can no longer meet the objective, even if a server
// receives the request now.
func (r *Request) Late(now time.Time) bool { return now.After(r.latestStart()) }

// Queue describes the queue ahead of a request, at one server or at several
// interchangeable ones.
type Queue struct {
	// Ahead is the number of queued requests that are served first.
	Ahead int
	// Concurrency is the number of requests that the servers process concurrently for this node;
	// 0 means that no server accepts requests at present.
	Concurrency float64
	// ServiceTime is the mean service time of a request.
	ServiceTime time.Duration
	// BlockedFor is the time for which the servers are known to accept no requests, for example
	// because a server's load report obliges the node to send it nothing for some time.
	BlockedFor time.Duration
	// Unavailable is set while no server accepts requests and it is unknown when one will.
	Unavailable bool
}

// expectedWait returns the expected queueing time of a request that joins the queue.
func (l Queue) expectedWait() time.Duration {
	return max(l.BlockedFor, time.Duration(l.Ahead+1)*l.serviceInterval())
}

// serviceInterval returns the mean time between two requests that the servers accept.
func (l Queue) serviceInterval() time.Duration {
	if l.Concurrency <= 0 {
		return 0
	}
	return time.Duration(float64(l.ServiceTime) / l.Concurrency)
}

// Verdict says whether a request for which no server is free is queued or refused.
type Verdict int

const (
	// Wait keeps the request in the queue.
	Wait Verdict = iota
	// Refuse rejects the request now.
	Refuse
)

// Decision is a verdict together with its validity.
type Decision struct {
	Verdict Verdict
	// Until is the time at which a queued request needs the next decision.
	Until time.Time
}
