// Package dispatch sends requests to the servers of a service. It selects a server, queues
// requests while all servers are busy, retries within a budget, and reports whether a
// request that was not answered may have been executed.
package dispatch

import (
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/micahaven/micahaven/internal/routing"
	"github.com/micahaven/micahaven/internal/sentinel"
	"github.com/micahaven/micahaven/internal/upstream"
)

// Errors of a request. Each states whether the request may have been executed.
var (
	// ErrNotExecuted means that the request was not executed and never will be.
	ErrNotExecuted error = sentinel.Error("request was not executed")
	// ErrUnknown means that the request may have been executed.
	ErrUnknown error = sentinel.Error("outcome of the request is unknown")
	// ErrTimeout means that the time allowed for the request is over. It may have been
	// executed.
	ErrTimeout error = sentinel.Error("request timed out")
	// ErrNodeStopping means that the node shut down before a server answered. The request may
	// have been executed.
	ErrNodeStopping error = sentinel.Error("the node stops")
	// ErrCanceled means that the client disconnected. The request may have been executed unless
	// the error also matches ErrNotExecuted.
	ErrCanceled error = sentinel.Error("client left")
)

// Refusal is an error that matches ErrNotExecuted and carries the time after which the
// client should retry.
type Refusal struct {
	Reason Reason
	// Detail explains the reason, for the log and the client.
	Detail     string
	RetryAfter time.Duration
}

// Error implements error.
func (r *Refusal) Error() string { return "not executed: " + r.Detail }

// Is makes every refusal match ErrNotExecuted.
func (r *Refusal) Is(target error) bool { return target == ErrNotExecuted }

// PathFailed reports whether an error is a refusal for want of a path to the servers.
func PathFailed(err error) bool {
	var refusal *Refusal
	return errors.As(err, &refusal) && refusal.Reason == ReasonNoPath
}

// Request is one attempt of a client. A client that retries sends a new Request.
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
	// Key is the hashed key of the request, valid if HasKey is set.
	Key    uint32
	HasKey bool
	// Caller identifies the client. The callers of a route share scarce capacity evenly.
	// Each request without a caller counts as a caller of its own.
	Caller string
	// ArrivedAt is when the request was read.
	ArrivedAt time.Time
	// Deadline is when the client stops waiting or, for a request that another node handed
	// off, when that node needs the response. CallerDeadline is when the client stops waiting
	// if the request was handed off, and zero otherwise.
	Deadline, CallerDeadline time.Time
	// IncomingHandoff is set if another node handed the request off to this one.
	IncomingHandoff *IncomingHandoff

	// attempts are the attempts to send the request from this node. Do sets it.
	attempts *upstream.Attempts
}

// callerDeadline is when the client stops waiting.
func (r *Request) callerDeadline() time.Time {
	if r.CallerDeadline.IsZero() {
		return r.Deadline
	}
	return r.CallerDeadline
}

// deadline is when the request has to be answered: the earlier of its own deadline and the
// route's timeout.
func (r *Request) deadline() time.Time {
	byRoute := r.ArrivedAt.Add(r.Route.Timeout)
	if r.Deadline.Before(byRoute) {
		return r.Deadline
	}
	return byRoute
}

// Trace records what happened to a request, for the log.
type Trace struct {
	Server string
	// Attempts is the number of servers that the request was sent to.
	Attempts int
	// NotSent is the number of servers to which no part of the request could be sent.
	NotSent int
	// Queued is how long the request waited for a server.
	Queued time.Duration
	// AtServers is the total time of all attempts, whether answered or given up.
	AtServers time.Duration
	// MapRevision is the revision of the owner map when the server was selected; 0 if the
	// service has no owner map.
	MapRevision int64
	// Home is the node that the request was handed off to; empty if there was none.
	Home string
}
