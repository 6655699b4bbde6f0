// Package backpressure defines the signals by which servers control how much the nodes send to
// them. Servers include the signals in their responses.
package backpressure

import "time"

// Signals are the backpressure signals of one response.
type Signals struct {
	// Limited is true if the server limits the requests that it accepts from all nodes together
	// to Rate per second. The limit holds for as long as its responses announce it.
	Limited bool
	Rate    float64
	// Leaving is true if the server is about to shut down.
	Leaving bool
	// Rest is how long the node must not send requests to the server, which has refused one; 0
	// if the server gives no time.
	Rest time.Duration
}
