package dispatch

import "sync/atomic"

// Progress counts the requests that are in Do, by what they wait for.
type Progress struct {
	// Active is the number of requests in Do. Those that are neither queued nor at a server are
	// being decided on, which needs the dispatcher's mutex.
	Active int
	// Queued is the number of requests that wait for a server.
	Queued int
	// AtServers is the number of requests that were sent to a server whose response is
	// outstanding; a hedged request counts twice.
	AtServers int
}

// progress holds the counters of Progress. They are read without the mutex, so that they show how
// many requests wait for it.
type progress struct{ active, queued, atServers atomic.Int64 }

// Progress returns the current counts. It never blocks.
func (d *Dispatcher) Progress() Progress {
	return Progress{
		Active:    int(d.progress.active.Load()),
		Queued:    int(d.progress.queued.Load()),
		AtServers: int(d.progress.atServers.Load()),
	}
}
