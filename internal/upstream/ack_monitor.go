package upstream

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

// ackCheckInterval is the interval between two checks of an unacknowledged request. It is well
// above the differences in round-trip time between the servers of a region, so that such a
// difference cannot make later data appear to have overtaken the request.
const ackCheckInterval = 25 * time.Millisecond

// Link records which data sent by this machine is known to have arrived. All connections
// of a machine share its network link, which sends packets in order. A request that stays
// unacknowledged may merely be queued behind large responses on a slow link: on a link of
// 10 Mbit/s that carried responses of 90 KB, requests took 130 to 200 ms to reach a server
// next to the node. A request therefore counts as lost only if data sent after it has
// arrived. Link is safe for concurrent use.
type Link struct {
	mutex sync.Mutex
	// newestDelivered is the latest send time of any data that is known to have arrived.
	newestDelivered time.Time
}

// NewLink returns a link without any known delivery.
func NewLink() *Link { return &Link{} }

// recordDelivery records that data sent at the given time has arrived.
func (l *Link) recordDelivery(sentAt time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if sentAt.After(l.newestDelivered) {
		l.newestDelivered = sentAt
	}
}

// deliveredAfter reports whether any data sent after the given time is known to have arrived.
func (l *Link) deliveredAfter(sentAt time.Time) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.newestDelivered.After(sentAt)
}

// ackMonitor monitors the acknowledgement of one request on a reused connection.
type ackMonitor struct {
	connection *connection
	sentAt     time.Time
	// suspected is true once data sent later is known to have arrived. The request gets one
	// more check before its connection is reset.
	suspected bool
	// lost is true once the connection has been reset because the request was lost.
	lost atomic.Bool

	mutex   sync.Mutex
	timer   *time.Timer
	stopped bool
}

// monitorAck starts a monitor that resets a reused connection if the request stays
// unacknowledged for longer than request.AckTimeout and data sent after it has arrived. The
// returned function stops the monitor and reports whether it has reset the connection.
func (c *connection) monitorAck(ctx context.Context, request *Request) (stopMonitor func() bool) {
	if !c.reused || request.AckTimeout <= 0 {
		return func() bool { return false }
	}
	m := &ackMonitor{connection: c, sentAt: time.Now()}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.timer = time.AfterFunc(request.AckTimeout, func() { m.check(ctx) })
	return m.stop
}

// check checks the request once and schedules the next check if the result is not yet
// conclusive.
func (m *ackMonitor) check(ctx context.Context) {
	if !m.connection.undelivered() {
		return
	}
	pool := m.connection.pool
	switch {
	case m.suspected:
		m.lost.Store(true)
		m.connection.abort()
		return
	case pool.link.deliveredAfter(m.sentAt):
		m.suspected = true
	default:
		pool.probePath(ctx)
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if !m.stopped {
		m.timer.Reset(ackCheckInterval)
	}
}

// stop ends the monitoring and reports whether the connection was reset as lost.
func (m *ackMonitor) stop() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.stopped = true
	m.timer.Stop()
	return m.lost.Load()
}

// probePath opens a connection to the server in the background, unless a probe is already in
// progress, and puts it into the pool. If it succeeds, the network path is known to work.
func (p *Pool) probePath(ctx context.Context) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.probing || p.closed {
		return
	}
	p.probing = true
	go func() {
		opened, err := p.openNew(ctx)
		p.mutex.Lock()
		p.probing = false
		p.mutex.Unlock()
		// A failure does not show whether the request was lost, so the node keeps waiting
		// for the response.
		if err == nil {
			p.putIdle(opened)
		}
	}()
}
