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
	ID      ServerID
	Service string
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
