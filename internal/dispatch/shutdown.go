package dispatch

import (
	"time"

	"go.uber.org/zap"

	"github.com/micahaven/micahaven/internal/schedule"
)

// answerMargin is how long before the node's end a server is asked to answer. It leaves
// time to relay the response, which may be that the time was too short. It is far above a
// round trip to a server, and above the pauses of a node that is throttled for a tenth of a
// second because its CPU quota is used up.
const answerMargin = 120 * time.Millisecond

// ShutDownBy makes Do return for every request by the given time because the node shuts down;
// responses that are already being streamed may take longer. From now on, requests that no
// server is expected to answer by then are refused at once, and servers are sent the
// shortened remaining time.
func (d *Dispatcher) ShutDownBy(at time.Time) {
	d.ending.Set(at)
	time.AfterFunc(time.Until(at.Add(-answerMargin)), d.refuseQueuedIfDue)
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.logger.Info("shutdown deadline set for requests", zap.Duration("within", time.Until(at)), zap.Int("waiting", d.countWaiting()))
}

// RefuseFrom makes Do refuse, from the given time on, every request that it is given, because the node
// shuts down. Requests that wait or are at servers go on.
func (d *Dispatcher) RefuseFrom(at time.Time) { d.refuseFrom.Store(&at) }

// refuseLate returns the refusal of a request that comes too late in the shutdown to be begun; nil if it
// does not.
func (d *Dispatcher) refuseLate(request *Request) *Refusal {
	from := d.refuseFrom.Load()
	if from == nil || time.Now().Before(*from) {
		return nil
	}
	return d.refuse(request)
}

// countWaiting returns the number of requests that wait for a server. The caller holds the
// mutex.
func (d *Dispatcher) countWaiting() int {
	count := 0
	for _, queue := range d.waiting {
		count += len(queue)
	}
	return count
}

// deadline is until when servers may work on a request: the request's own deadline or, if
// the node is shutting down, the node's end less answerMargin, whichever is earlier.
func (d *Dispatcher) deadline(request *Request) time.Time {
	deadline := request.deadline()
	if at, stopping := d.ending.Deadline(); stopping {
		return earlier(deadline, at.Add(-answerMargin))
	}
	return deadline
}

// tooLate reports whether a server's response is expected only after a deadline that the
// shutdown of the node sets. The caller holds the mutex.
func (d *Dispatcher) tooLate(now time.Time, request *Request, s *server, deadline time.Time) bool {
	if !deadline.Before(request.deadline()) {
		return false
	}
	expected := time.Duration(s.expected() * float64(time.Second))
	return now.Add(expected).After(deadline)
}

// tooLateForAll reports whether the node shuts down so soon that no server can answer a request
// that still waits. Nothing is sent from then on, and the requests that wait have the time until the
// shutdown deadline for their responses.
func (d *Dispatcher) tooLateForAll(now time.Time) bool {
	at, stopping := d.ending.Deadline()
	return stopping && !now.Before(at.Add(-answerMargin))
}

// refuseQueuedIfDue refuses all requests that wait for a server if none can answer them in time.
func (d *Dispatcher) refuseQueuedIfDue() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if now := time.Now(); d.tooLateForAll(now) {
		d.refuseQueued(now)
	}
}

// refuseQueued refuses all requests that wait for a server, because the node shuts down. There may
// be hundreds, and the requests at servers need the mutex soon afterwards. Therefore the servers
// are examined once instead of for each request, and each request receives its refusal without
// acquiring the mutex. The caller holds the mutex.
func (d *Dispatcher) refuseQueued(now time.Time) {
	for service, queue := range d.waiting {
		delete(d.waiting, service)
		schedule.Order(now, queue, scheduledOf)
		for _, w := range queue {
			w.chosen <- assignment{refusal: d.refusal(w.request)}
		}
		d.logQueueRefused(now, service, len(queue))
	}
}

// logQueueRefused logs that the requests which waited for a service were refused, and how long
// after the time at which that was due.
func (d *Dispatcher) logQueueRefused(now time.Time, service string, refused int) {
	at, _ := d.ending.Deadline()
	d.logger.Info("queued requests refused, node stops", zap.String("service", service), zap.Int("refused", refused),
		zap.Duration("late", now.Sub(at.Add(-answerMargin))), zap.Int("at_servers", d.Progress().AtServers))
}

// finalState is the state of an unsharded service's servers when this node, which shuts down, stops
// sending to them. All refusals from then on are based on it.
type finalState struct {
	// capacity and work are as serviceCapacity returns them, whyNone as whyNoneOf does.
	capacity float64
	work     time.Duration
	whyNone  string
}

// finalStateOf returns the final state of a service's servers. It must be called only once
// tooLateForAll reports true. The caller holds the mutex.
func (d *Dispatcher) finalStateOf(now time.Time, service string) *finalState {
	known := d.finalStates[service]
	if known == nil {
		known = &finalState{whyNone: d.whyNoneOf(now, service)}
		known.capacity, known.work = d.serviceCapacity(now, service, nil)
		d.finalStates[service] = known
	}
	return known
}
