// Package dispatch sends requests to servers: it chooses the server, queues when
// all are busy, repeats what may be repeated within a budget, and says what is
// known of a request that was not answered.
package dispatch

import (
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/micahaven/micahaven/internal/routing"
	"github.com/micahaven/micahaven/internal/upstream"
)

// Errors of a request. Each says whether the request may have run.
var (
	// ErrNotExecuted means that the request has not run and never will.
	ErrNotExecuted = errors.New("request was not executed")
	// ErrUnknown means that the request may have run.
	ErrUnknown = errors.New("outcome of the request is unknown")
	// ErrTimeout means that the time for the request is over and that it may
	// have run.
	ErrTimeout = errors.New("request timed out")
	// ErrNodeEnds means that the node stopped before a server answered, and that the
	// request may have run.
	ErrNodeEnds = errors.New("the node stops")
	// ErrCanceled means that the client left.
	ErrCanceled = errors.New("client left")
)

// Refusal is an error that matches ErrNotExecuted and says when to come back.
type Refusal struct {
	Reason Reason
	// Detail says what the reason rests on, for the log and the client.
	Detail     string
	RetryAfter time.Duration
}

// Error implements error.
func (r *Refusal) Error() string { return "not executed: " + r.Detail }

// Is makes a refusal match ErrNotExecuted.
func (r *Refusal) Is(target error) bool { return target == ErrNotExecuted }

// Request is one client attempt.
type Request struct {
	ID      string
	Method  string
	URI     string
	Host    string
	Fields  []upstream.Field
	Body    []byte
	Rest    io.Reader
	Route   *routing.Route
	Service string
	// Priority ranks the request; 0 is the most urgent.
	Priority int
	// Key is the request's key if HasKey.
	Key    uint32
	HasKey bool
	// Caller tells callers apart: those of one route share shortage evenly. Requests
	// without it count as those of as many callers.
	Caller string
	// ArrivedAt is when the request was read.
	ArrivedAt time.Time
	// Deadline is when the client stops waiting, or when the node that handed the request
	// over needs the answer; CallerDeadline is the former then, and zero otherwise.
	Deadline, CallerDeadline time.Time
	// TakenOver is set if another node handed the request over to this one.
	TakenOver *TakenOver
}

// callerDeadline is when the client stops waiting.
func (r *Request) callerDeadline() time.Time {
	if r.CallerDeadline.IsZero() {
		return r.Deadline
	}
	return r.CallerDeadline
}

// limit is when the request has to be answered.
func (r *Request) limit() time.Time {
	byRoute := r.ArrivedAt.Add(r.Route.Timeout)
	if r.Deadline.Before(byRoute) {
		return r.Deadline
	}
	return byRoute
}

// Trace is what happened to a request, for the log.
type Trace struct {
	Server string
	// Attempts is to how many servers the request was sent.
	Attempts int
	// NotSent is for how many servers nothing of it could be sent.
	NotSent int
	// Queued is how long the request waited for a server.
	Queued time.Duration
	// AtServers is how long servers had the request, answered or given up.
	AtServers time.Duration
	// MapRevision is the revision of the owner map when the server was chosen; 0
	// if the service has none.
	MapRevision int64
	// Home is the node that the request was handed over to; empty if there was none.
	Home string
}
