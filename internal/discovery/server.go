// Package discovery defines the registration records of the servers that receive requests.
package discovery

import (
	"strconv"
	"strings"
	"time"
)

// ServerID identifies one incarnation of a server. A restarted server gets another
// ServerID, even if it registers under the same instance id again.
type ServerID string

// incarnationSeparator separates the instance id from the start time.
const incarnationSeparator = "@"

// NewServerID returns the id of the incarnation of an instance that started at startedAt, in
// Unix milliseconds. startedAt is 0 for instances that do not report it, because they use a
// new instance id at each start.
func NewServerID(instance string, startedAt int64) ServerID {
	switch {
	case startedAt != 0:
		return ServerID(instance + incarnationSeparator + strconv.FormatInt(startedAt, 36))
	case strings.Contains(instance, incarnationSeparator):
		// The trailing separator makes Instance return the whole instance id.
		return ServerID(instance + incarnationSeparator)
	default:
		return ServerID(instance)
	}
}

// Instance returns the instance id under which the server registered. Later incarnations
// may share it.
func (id ServerID) Instance() string {
	if mark := strings.LastIndex(string(id), incarnationSeparator); mark >= 0 {
		return string(id[:mark])
	}
	return string(id)
}

// State is the state that a server reports in its registration.
type State int

// States of a server.
const (
	Ready State = iota
	Draining
)

// Load is the load that a server reports with a response.
type Load struct {
	// Running and Waiting are the numbers of requests in execution and in the server's queue.
	Running, Waiting int
	// Slots is the number of requests that the server executes concurrently.
	Slots int
	// Slowness is the current service time divided by the usual one.
	Slowness float64
}

// Server is the registration record of one incarnation of a server.
type Server struct {
	ID ServerID
	// StartedAt is the start time of this incarnation by the server's own clock, in Unix
	// milliseconds; 0 if the server does not report it.
	StartedAt int64
	Service   string
	// Version is the version of the server's software.
	Version string
	// Address is the server's IP address and port.
	Address string
	Zone    string
	// Slots is the number of requests that the server executes concurrently at most.
	Slots int
	State State
	// WarmUp is the remaining warm-up time at the time of registration.
	WarmUp time.Duration
}
