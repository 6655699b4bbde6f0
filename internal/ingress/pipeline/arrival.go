package pipeline

import (
	"sync/atomic"
	"time"
)

const (
	// stallTime is the time without data after which an arrival is stalled, and the age from which its
	// mean rate counts. One below minArrivalRate, in bytes per second, is stalled as well.
	stallTime      = time.Second
	minArrivalRate = 16 << 10
	// roomPause and roomPauses bound the wait for the memory of stalled arrivals.
	roomPause  = 20 * time.Millisecond
	roomPauses = 5
)

// arrival is a part of a request that is being received: its header or its body. The server may give it
// up at any time.
type arrival struct {
	connection *connection
	startedAt  time.Time
	received   atomic.Int64
	// lastAfter is the time between startedAt and the last data.
	lastAfter atomic.Int64
	// interruption is why the server gave up the arrival; nil if it did not.
	interruption atomic.Pointer[error]
}

func newArrival(c *connection) *arrival {
	return &arrival{connection: c, startedAt: time.Now()}
}

// record records that bytes have been received.
func (a *arrival) record(count int) {
	if count > 0 {
		a.received.Add(int64(count))
		a.lastAfter.Store(int64(time.Since(a.startedAt)))
	}
}

// result returns the error of an arrival that was read with the given error, once it can no longer be
// interrupted.
func (a *arrival) result(err error) error {
	cause := a.interruption.Load()
	switch {
	case cause == nil:
		return err
	case err != nil:
		return *cause
	default:
		// Everything arrived just then, and reading goes on. This fails only if the socket is closed.
		_ = a.connection.socket.SetReadDeadline(time.Time{})
		return nil
	}
}

// stalled reports whether data arrives too slowly to keep memory that others need.
func (a *arrival) stalled(now time.Time) bool {
	age := now.Sub(a.startedAt)
	if age < stallTime {
		return false
	}
	return a.silentFor(now) >= stallTime || float64(a.received.Load()) < minArrivalRate*age.Seconds()
}

// silentFor returns the time since data was received last.
func (a *arrival) silentFor(now time.Time) time.Duration {
	return now.Sub(a.startedAt) - time.Duration(a.lastAfter.Load())
}

// reserveArrival charges bytes to the budget for requests that arrive. If it is used up, stalled arrivals
// are given up. It reports whether the bytes were charged.
func (s *Server) reserveArrival(count int) bool {
	if s.Bodies.tryReserve(count) {
		return true
	}
	now := time.Now()
	if s.interruptArrivals(ErrNoMemory, func(a *arrival) bool { return a.stalled(now) }) == 0 {
		return false
	}
	for range roomPauses {
		time.Sleep(roomPause)
		if s.Bodies.tryReserve(count) {
			return true
		}
	}
	return false
}

// InterruptIdleBodies gives up the bodies, and the long headers, of which nothing has arrived for the
// given time.
func (s *Server) InterruptIdleBodies(now time.Time, idle time.Duration) {
	s.interruptArrivals(ErrBodyTimeout, func(a *arrival) bool { return a.silentFor(now) > idle })
}

// interruptArrivals gives up the arrivals that match, and returns how many have not ended yet.
func (s *Server) interruptArrivals(cause error, matches func(*arrival) bool) int {
	s.arrivalsMutex.Lock()
	defer s.arrivalsMutex.Unlock()
	count := 0
	for a := range s.arrivals {
		if !matches(a) {
			continue
		}
		count++
		if !a.interruption.CompareAndSwap(nil, &cause) {
			continue
		}
		// The reader fails. This fails only if the socket is closed, in which case it does as well.
		_ = a.connection.socket.SetReadDeadline(time.Unix(1, 0))
	}
	return count
}

func (s *Server) addArrival(a *arrival) {
	s.arrivalsMutex.Lock()
	defer s.arrivalsMutex.Unlock()
	if s.arrivals == nil {
		s.arrivals = make(map[*arrival]struct{})
	}
	s.arrivals[a] = struct{}{}
}

func (s *Server) removeArrival(a *arrival) {
	s.arrivalsMutex.Lock()
	defer s.arrivalsMutex.Unlock()
	delete(s.arrivals, a)
}
