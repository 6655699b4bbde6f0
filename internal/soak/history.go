package soak

import (
	"fmt"
	"sync"
	"time"
)

// nodeEventKind is what happened to a node's process.
type nodeEventKind int

const (
	processStarted nodeEventKind = iota
	termSignal
	reloadSignal
	killSignal
	freezeSignal
	thawSignal
	linkCut
	processEnded
)

// String names the event.
func (k nodeEventKind) String() string {
	names := []string{"process started", "SIGTERM", "SIGHUP", "SIGKILL", "SIGSTOP", "SIGCONT", "link to the store changed", "process ended"}
	if k >= 0 && int(k) < len(names) {
		return names[k]
	}
	return "unknown"
}

// nodeEvent is something that happened to a node's process.
type nodeEvent struct {
	at   time.Time
	kind nodeEventKind
	// detail says more, such as how a process ended.
	detail string
}

// faultSpan is a fault and when it was in force.
type faultSpan struct {
	name        string
	from, until time.Time
}

// faultHistory remembers which faults were in force when.
type faultHistory struct {
	mutex sync.Mutex
	spans []*faultSpan
}

// begin notes that a fault begins and returns what notes its end.
func (h *faultHistory) begin(format string, arguments ...any) (end func()) {
	span := &faultSpan{name: fmt.Sprintf(format, arguments...), from: time.Now()}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.spans = append(h.spans, span)
	return func() {
		h.mutex.Lock()
		defer h.mutex.Unlock()
		span.until = time.Now()
	}
}

// during returns the names of the faults that were in force between two moments.
func (h *faultHistory) during(from, until time.Time) []string {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	var names []string
	for _, span := range h.spans {
		if span.from.Before(until) && (span.until.IsZero() || span.until.After(from)) {
			names = append(names, span.name)
		}
	}
	return names
}

const (
	// stallTick is how often the soak looks at its own clock, and stallLeast the
	// least delay that counts as a stall.
	stallTick  = 10 * time.Millisecond
	stallLeast = 20 * time.Millisecond
)

// stall is a time in which the soak itself did not run.
type stall struct{ from, until time.Time }

// stallWatch notices when the soak's own process gets no processor time, so that its
// delays are not taken for those of the nodes.
type stallWatch struct {
	mutex  sync.Mutex
	stalls []stall
}

// run looks until stop is closed.
func (w *stallWatch) run(stop <-chan struct{}) {
	for {
		before := time.Now()
		select {
		case <-stop:
			return
		case <-time.After(stallTick):
		}
		if after := time.Now(); after.Sub(before) > stallTick+stallLeast {
			w.mutex.Lock()
			w.stalls = append(w.stalls, stall{from: before, until: after})
			w.mutex.Unlock()
		}
	}
}

// between returns for how long the soak stalled between two moments.
func (w *stallWatch) between(from, until time.Time) time.Duration {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	var total time.Duration
	for _, s := range w.stalls {
		if s.from.Before(until) && s.until.After(from) {
			total += s.until.Sub(s.from)
		}
	}
	return total
}
