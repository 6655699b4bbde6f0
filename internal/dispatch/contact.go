package dispatch

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/micahaven/micahaven/internal/discovery"
)

const (
	// contactWindow is how long a response shows that this node has a path to servers.
	contactWindow = time.Second
	// minUnreachedServers is how many servers have to fail before this node has lost contact. One
	// server that fails alone is most likely lost itself.
	minUnreachedServers = 2
	// failureWindow is how long a failure shows that there may be no path.
	failureWindow = 2 * time.Second
	// contactProbeInterval is the pause between two connections that a node without contact opens to
	// find out whether it reaches servers again.
	contactProbeInterval = 250 * time.Millisecond
	contactProbeTimeout  = 200 * time.Millisecond
)

// contact is what this node's requests show about its path to servers.
type contact struct {
	// answeredAt is when a server last answered, and failedAt when one last failed to.
	answeredAt, failedAt time.Time
	// unanswered holds the servers that failed to answer since answeredAt.
	unanswered map[discovery.ServerID]struct{}
}

func (c *contact) recordAnswer(now time.Time) {
	c.answeredAt = now
	clear(c.unanswered)
}

func (c *contact) recordFailure(now time.Time, id discovery.ServerID) {
	if c.unanswered == nil {
		c.unanswered = make(map[discovery.ServerID]struct{})
	}
	c.unanswered[id] = struct{}{}
	c.failedAt = now
}

// lost reports whether several servers failed recently and none has answered since.
func (c *contact) lost(now time.Time) bool {
	return len(c.unanswered) >= minUnreachedServers && now.Sub(c.answeredAt) >= contactWindow && now.Sub(c.failedAt) < failureWindow
}

// recordAnswer records that a server answered. The caller holds the mutex.
func (d *Dispatcher) recordAnswer(now time.Time, s *server) {
	d.contact.recordAnswer(now)
	s.svc.contact.recordAnswer(now)
}

// recordNoContact records that a server could not be reached. The caller holds the mutex.
func (d *Dispatcher) recordNoContact(now time.Time, s *server) {
	d.contact.recordFailure(now, s.id)
	s.svc.contact.recordFailure(now, s.id)
}

// ReachesNoServer reports whether this node has no path to the servers of a service, as far as its
// requests show. Other nodes may have one.
func (d *Dispatcher) ReachesNoServer(service string) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.lostContact(time.Now(), service)
}

// lostContact reports whether several servers of a service, or of all services, fail and none has
// answered this node recently. It is false on a node that cannot hand requests off. The caller holds
// the mutex.
func (d *Dispatcher) lostContact(now time.Time, service string) bool {
	svc := d.services[service]
	if svc == nil || d.handoffSender == nil {
		return false
	}
	return svc.contact.lost(now) || d.contact.lost(now)
}

// probeContact opens a connection to a server of each service with which this node has lost contact,
// because it sends no requests to them meanwhile.
func (d *Dispatcher) probeContact(ctx context.Context) {
	for _, s := range d.contactProbes(time.Now()) {
		go func() { d.contactProbed(s, s.pool.Reaches(ctx, contactProbeTimeout)) }()
	}
}

// contactProbes returns the servers to which connections are due.
func (d *Dispatcher) contactProbes(now time.Time) []*server {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if now.Before(d.nextContactProbe) {
		return nil
	}
	d.nextContactProbe = now.Add(contactProbeInterval)
	var due []*server
	for name, svc := range d.services {
		if !d.lostContact(now, name) {
			continue
		}
		// Map iteration starts at a random server.
		for _, s := range svc.members {
			if s.reachable(now, 0) {
				d.ensurePool(s)
				due = append(due, s)
				break
			}
		}
	}
	return due
}

// contactProbed records whether a server accepted a connection of this node.
func (d *Dispatcher) contactProbed(s *server, reached bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := time.Now()
	if !reached {
		d.recordNoContact(now, s)
		return
	}
	if d.lostContact(now, s.Service) {
		d.logger.Info("contact with servers restored", zap.String("service", s.Service), zap.String("server", string(s.id)))
	}
	d.recordAnswer(now, s)
	s.failures, s.blockedUntil = 0, time.Time{}
}
