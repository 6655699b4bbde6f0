// Package backpressure describes what servers ask of the nodes that send to them, which they
// say in their answers.
package backpressure

import "time"

// Signals are what one answer of a server says.
type Signals struct {
	// Limited is true if the server names how many requests a second it takes from all nodes
	// together, which is Rate then. It holds for as long as its answers say so.
	Limited bool
	Rate    float64
	// Leaving is true if the server is about to end.
	Leaving bool
	// Rest is for how long the server wants nothing from the node that it turned away; 0 if
	// it does not say.
	Rest time.Duration
}
