package soak

import (
	"math/rand/v2"
	"time"

	"github.com/micahaven/micahaven/platform/standin"
)

const (
	// A server that announces a rate limit may receive at most limitOver times the limit in
	// limitWindow, plus limitSlack requests.
	limitWindow = 4 * time.Second
	limitOver   = 1.5
	limitSlack  = 5
	// backoffDelay is how long after a server requested backoff a node may still send to it,
	// and maxInBackoff the number of requests from one node tolerated after that.
	backoffDelay = 500 * time.Millisecond
	maxInBackoff = 2
	// signalTail is how long backpressure faults last beyond the drawn fault duration, since
	// the checks only start some seconds after the fault begins.
	signalTail = 7 * time.Second
)

// backpressure is the backpressure that a server signals, and since when.
type backpressure struct {
	standin.Needs
	since time.Time
}

// backpressureFaults are backpressure signals in responses of servers, and requests that
// crash the servers which execute them.
var backpressureFaults = []fault{
	{"server announces a rate limit", func(s *soak, random *rand.Rand) func() {
		return s.setBackpressure(random, standin.Needs{Limit: 1 + random.Float64()*9})
	}},
	{"server requests backoff", func(s *soak, random *rand.Rand) func() {
		return s.setBackpressure(random, standin.Needs{Rest: time.Second + time.Duration(random.Int64N(int64(2*time.Second)))})
	}},
	{"server signals draining in its responses", func(s *soak, random *rand.Rand) func() {
		leaving := s.server(random)
		if leaving == nil {
			return nil
		}
		s.replace(leaving.Service)
		s.world.setBackpressure(leaving, standin.Needs{Leaving: true})
		return func() {
			time.Sleep(drainTime)
			leaving.Forget()
			leaving.Stop()
		}
	}},
	{"request crashes servers", (*soak).sendPoisoned},
}

// setBackpressure makes a random server signal backpressure until the returned function is
// called.
func (s *soak) setBackpressure(random *rand.Rand, needs standin.Needs) func() {
	chosen := s.server(random)
	if chosen == nil {
		return nil
	}
	s.world.setBackpressure(chosen, needs)
	return func() {
		time.Sleep(signalTail)
		s.world.setBackpressure(chosen, standin.Needs{})
	}
}

// setBackpressure sets the backpressure that a server signals; the zero value ends it.
func (w *world) setBackpressure(s *server, needs standin.Needs) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	s.backpressure = nil
	if needs != (standin.Needs{}) {
		s.backpressure = &backpressure{Needs: needs, since: time.Now()}
	}
	s.Ask(needs)
}

// backpressureOf returns the backpressure that a server signals, or nil.
func (w *world) backpressureOf(id string) *backpressure {
	at := w.server(id)
	if at == nil {
		return nil
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return at.backpressure
}

// backpressureWatch records the arrivals at servers that signal backpressure.
type backpressureWatch struct {
	// undisturbedSince is since when all nodes have been undisturbed; zero if one is not.
	undisturbedSince time.Time
	arrivals         map[*backpressure][]standin.Arrival
}

// observe records whether all nodes are undisturbed now.
func (n *backpressureWatch) observe(now time.Time, undisturbed bool) {
	switch {
	case !undisturbed:
		n.undisturbedSince = time.Time{}
	case n.undisturbedSince.IsZero():
		n.undisturbedSince = now
	}
}

// add records an arrival at a server that signals backpressure, and returns all arrivals
// since the signal began.
func (n *backpressureWatch) add(signal *backpressure, arrival standin.Arrival) []standin.Arrival {
	if n.arrivals == nil {
		n.arrivals = make(map[*backpressure][]standin.Arrival)
	}
	n.arrivals[signal] = append(n.arrivals[signal], arrival)
	return n.arrivals[signal]
}

// undisturbedFor reports whether all nodes were undisturbed for a given time before at.
func (n *backpressureWatch) undisturbedFor(at time.Time, length time.Duration) bool {
	// A node is reported undisturbed only settleTime after its last disturbance.
	return !n.undisturbedSince.IsZero() && at.Sub(n.undisturbedSince) >= length-settleTime
}

func (s *soak) allUndisturbed() bool {
	for _, n := range s.nodes {
		if !n.Undisturbed() {
			return false
		}
	}
	return true
}

// checkBackpressure looks for servers that receive more requests than they signalled.
func (s *soak) checkBackpressure(arrival standin.Arrival) {
	signal := s.world.backpressureOf(arrival.Server)
	if signal == nil || arrival.At.Before(signal.since) {
		return
	}
	arrivals := s.signals.add(signal, arrival)
	switch {
	case signal.Limit > 0:
		s.checkLimit(signal, arrivals)
	case signal.Leaving:
		s.checkDraining(signal, arrivals)
	case signal.Rest > 0:
		s.checkBackoff(signal, arrivals)
	}
}

// checkLimit checks the rate limit that a server announces, which applies to the requests
// of all nodes together.
func (s *soak) checkLimit(signal *backpressure, arrivals []standin.Arrival) {
	last := arrivals[len(arrivals)-1]
	if !s.signals.undisturbedFor(last.At, limitWindow+settleTime) {
		return
	}
	allowed := int(limitOver*signal.Limit*limitWindow.Seconds()) + limitSlack
	if most := standin.MostWithin(arrivals, signal.since.Add(settleTime), limitWindow); most > allowed {
		s.recordViolation("server %s with an announced limit of %.1f received %d requests in %v, %d allowed", last.Server, signal.Limit, most, limitWindow, allowed)
	}
}

// checkDraining looks for requests that reach a server long after its first response that
// signalled draining. Nodes without a response from it are notified by the others.
func (s *soak) checkDraining(signal *backpressure, arrivals []standin.Arrival) {
	last := arrivals[len(arrivals)-1]
	bound := arrivals[0].At.Add(drainBound + observationSlack)
	if last.At.Before(bound) || !s.signals.undisturbedFor(last.At, drainBound+settleTime) {
		return
	}
	s.recordViolation("request %s reached server %s %v after it signalled draining", last.Request, last.Server, last.At.Sub(arrivals[0].At))
}

// checkBackoff looks for servers that receive requests during a backoff that they requested.
// Which node sent a request is not visible from outside, and each node may have been notified
// at a different time, so one more request per node is allowed.
func (s *soak) checkBackoff(signal *backpressure, arrivals []standin.Arrival) {
	last := arrivals[len(arrivals)-1]
	if !s.signals.undisturbedFor(last.At, signal.Rest+settleTime) {
		return
	}
	in := 0
	for _, arrival := range arrivals {
		if since := arrival.At.Sub(arrivals[0].At); since > backoffDelay && since < signal.Rest {
			in++
		}
	}
	if allowed := (maxInBackoff + 1) * len(s.nodes); in > allowed {
		s.recordViolation("server %s received %d requests during a requested backoff of %v, %d allowed", last.Server, in, signal.Rest, allowed)
	}
}
