// Package discovery describes the servers that requests can be sent to.
package discovery

import "time"

// ServerID names one life of a server; a restarted server has another one.
type ServerID string

// State is what a server announces about itself.
type State int

// The states of a server.
const (
	Ready State = iota
	Draining
)

// Server is one life of a server as it registered itself.
type Server struct {
	ID      ServerID
	Service string
	// Address is the server's IP and port.
	Address string
	Zone    string
	// Slots is how many requests the server works on at a time.
	Slots int
	State State
	// WarmUp is how much longer the server was slow when it registered.
	WarmUp time.Duration
}
