// Package discovery describes the servers that requests can be sent to.
package discovery

import (
	"strconv"
	"strings"
	"time"
)

// ServerID names one life of a server; a restarted server has another one, also if it
// registers under the same instance id again.
type ServerID string

// lifeMark stands between the instance id and the moment of the start.
const lifeMark = "@"

// NewServerID returns the id of the life of an instance that began at a moment, in Unix
// milliseconds; 0 if the instance does not tell, because each start draws a new id.
func NewServerID(instance string, startedAt int64) ServerID {
	switch {
	case startedAt != 0:
		return ServerID(instance + lifeMark + strconv.FormatInt(startedAt, 36))
	case strings.Contains(instance, lifeMark):
		return ServerID(instance + lifeMark)
	default:
		return ServerID(instance)
	}
}

// Instance returns the id under which the server registered, which its later lives may
// share.
func (id ServerID) Instance() string {
	if mark := strings.LastIndex(string(id), lifeMark); mark >= 0 {
		return string(id[:mark])
	}
	return string(id)
}

// State is what a server announces about itself.
type State int

// The states of a server.
const (
	Ready State = iota
	Draining
)

// Load is what a server tells of its load with an answer.
type Load struct {
	// Running and Waiting are how many requests it works on and how many wait there.
	Running, Waiting int
	// Slots is how many requests it works on at a time.
	Slots int
	// Slowness is how many times longer than usual its work takes at the moment.
	Slowness float64
}

// Server is one life of a server as it registered itself.
type Server struct {
	ID ServerID
	// StartedAt is when this life began by the server's own clock, in Unix milliseconds; 0
	// if it does not tell.
	StartedAt int64
	Service   string
	// Version is that of its software.
	Version string
	// Address is the server's IP and port.
	Address string
	Zone    string
	// Slots is how many requests the server works on at a time.
	Slots int
	State State
	// WarmUp is how much longer the server was slow when it registered.
	WarmUp time.Duration
}
