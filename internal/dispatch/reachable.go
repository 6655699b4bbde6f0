package dispatch

import (
	"time"

	"github.com/micahaven/micahaven/internal/discovery"
	"github.com/micahaven/micahaven/internal/view"
)

// minFailures is how often in a row a server, and how many servers of a service, have to fail before
// another path to them is looked for.
const minFailures = 2

// contactWindow is how long a response shows that this node has a path to a service's servers.
const contactWindow = time.Second

// ReachesNoServer reports whether requests of this node to several servers of a service fail and none
// was answered recently.
func (d *Dispatcher) ReachesNoServer(service string) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	svc := d.services[service]
	if svc == nil {
		return false
	}
	now, failing := time.Now(), 0
	for _, s := range svc.members {
		if now.Sub(s.answeredAt) < contactWindow {
			return false
		}
		if s.failures > 0 {
			failing++
		}
	}
	return failing >= minFailures
}

// lacksPath reports whether this node probably has no path to the servers that may serve a request.
func (d *Dispatcher) lacksPath(request *Request) bool {
	d.mutex.Lock()
	owner := d.keyServer(request)
	failing := owner != nil && owner.failures > 0
	d.mutex.Unlock()
	return failing || d.ReachesNoServer(request.Service)
}

// allFailing reports whether this node's requests to all servers of an unsharded service that it may
// send to fail repeatedly. Servers in excluded count as failing. The caller holds the mutex.
func (d *Dispatcher) allFailing(now time.Time, current *view.View, service string, excluded map[discovery.ServerID]bool) bool {
	failing := false
	for _, s := range d.candidates(now, current, service) {
		if !s.reachable(now, 0) {
			continue
		}
		if !s.failing(now) && !excluded[s.id] {
			return false
		}
		failing = true
	}
	return failing
}

// failing reports whether a server failed repeatedly and either gets no requests for now or has not
// answered those that it got since.
func (s *server) failing(now time.Time) bool {
	return s.failures >= minFailures && (now.Before(s.blockedUntil) || s.outstanding > 0)
}
