package dispatch

import (
	"time"

	"go.uber.org/zap"
)

// answerMargin is how long before the node's end a server is asked to answer: that
// leaves time for its answer, which may be that the time was too short, to be passed
// on. It is far above a round trip to a server, and above the pauses of a node whose
// share of a processor is used up for a tenth of a second.
const answerMargin = 120 * time.Millisecond

// EndBy makes Do return for every request by a moment, because the node stops; answers
// that are being passed on already may take longer. From now on requests that no server
// can be expected to answer by then are refused at once, and servers are told how little
// time is left.
func (d *Dispatcher) EndBy(at time.Time) {
	d.ending.Set(at)
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.logger.Info("requests have to end", zap.Duration("within", time.Until(at)), zap.Int("waiting", d.countWaiting()))
}

// countWaiting returns how many requests wait for a server. The caller holds the mutex.
func (d *Dispatcher) countWaiting() int {
	count := 0
	for _, queue := range d.waiting {
		count += len(queue)
	}
	return count
}

// limit is until when servers may work on a request: as long as it has, or as long as
// a stopping node has.
func (d *Dispatcher) limit(request *Request) time.Time {
	limit := request.limit()
	if at, stops := d.ending.At(); stops {
		return earlier(limit, at.Add(-answerMargin))
	}
	return limit
}

// tooLate reports whether a server's answer is to be expected only after a limit that
// the end of the node sets. The caller holds the mutex.
func (d *Dispatcher) tooLate(now time.Time, request *Request, s *server, limit time.Time) bool {
	if !limit.Before(request.limit()) {
		return false
	}
	expected := time.Duration(s.expected() * float64(time.Second))
	return now.Add(expected).After(limit)
}
