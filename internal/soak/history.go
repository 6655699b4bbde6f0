package soak

import (
	"fmt"
	"sync"
	"time"
)

// nodeEventKind is the kind of an event in the history of a node's process.
type nodeEventKind int

const (
	processStarted nodeEventKind = iota
	termSignal
	reloadSignal
	killSignal
	freezeSignal
	thawSignal
	linkChanged
	processEnded
)

func (k nodeEventKind) String() string {
	names := []string{"process started", "SIGTERM", "SIGHUP", "SIGKILL", "SIGSTOP", "SIGCONT", "link to the store changed", "process ended"}
	if k >= 0 && int(k) < len(names) {
		return names[k]
	}
	return "unknown"
}

// nodeEvent is an event in the history of a node's process.
type nodeEvent struct {
	at   time.Time
	kind nodeEventKind
	// detail is the exit state for processEnded, and the new mode for linkChanged.
	detail string
}

// faultSpan is the interval in which a fault was active; until is zero while it is.
type faultSpan struct {
	name        string
	from, until time.Time
}

// faultHistory records when faults were active.
type faultHistory struct {
	mutex sync.Mutex
	spans []*faultSpan
}

// begin records the start of a fault and returns the function that records its end.
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

// during returns the names of the faults that were active within an interval.
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
	// stallTick is the interval of the stall detector, and minStall the smallest delay
	// that counts as a stall.
	stallTick = 10 * time.Millisecond
	minStall  = 20 * time.Millisecond
)

// stall is an interval in which the soak process itself was not scheduled.
type stall struct{ from, until time.Time }

// stallWatch detects when the soak process itself gets no CPU time, so that its delays are
// not attributed to the nodes.
type stallWatch struct {
	mutex  sync.Mutex
	stalls []stall
}

// run records stalls until stop is closed.
func (w *stallWatch) run(stop <-chan struct{}) {
	for {
		before := time.Now()
		select {
		case <-stop:
			return
		case <-time.After(stallTick):
		}
		if after := time.Now(); after.Sub(before) > stallTick+minStall {
			w.mutex.Lock()
			w.stalls = append(w.stalls, stall{from: before, until: after})
			w.mutex.Unlock()
		}
	}
}

// between returns the total length of the stalls that overlap an interval.
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
