package dispatch

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/micahaven/micahaven/internal/discovery"
	"github.com/micahaven/micahaven/internal/upstream"
	"github.com/micahaven/micahaven/internal/view"
)

// A server may turn cold in place, which its entry tells. While the store is away nobody
// learns of it there, and the server went on getting what a warm one bears: twice what it
// survives. So the nodes that have the right to send to a server if it warms up ask it
// themselves while their copies are old, and tell all others what they find. A server is
// asked by two nodes and not by all, because answers cost it time.

const (
	// probedCopyAge is the age of the copy from which servers are asked: just above the
	// age of a copy in steady state (1.35 s), in which nothing is asked.
	probedCopyAge = 1400 * time.Millisecond
	// probeInterval is the pause between two probes of a server by one node. A service
	// bears half a second of its usual requests above what a cold server bears.
	probeInterval = 500 * time.Millisecond
	// probeTimeout is how long an answer is waited for.
	probeTimeout = 400 * time.Millisecond
	// maxProbes bounds the probes that are on their way.
	maxProbes = 32
)

// ColdFound takes in that a server warms up for some time, as it answered itself.
type ColdFound func(server discovery.ServerID, left time.Duration)

// SetColdFound sets what is told of servers that probes find cold. It must be called
// before Run.
func (d *Dispatcher) SetColdFound(found ColdFound) { d.coldFound = found }

// TakeCold takes in that a server warms up for some time, as another node found. The store
// may tell of it later or never.
func (d *Dispatcher) TakeCold(id discovery.ServerID, left time.Duration) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.markCold(time.Now(), id, left)
}

// markCold reports whether a server was not known to be cold. The caller holds the mutex.
func (d *Dispatcher) markCold(now time.Time, id discovery.ServerID, left time.Duration) bool {
	s := d.server(id)
	if s == nil || left <= 0 {
		return false
	}
	isNew := !now.Before(s.warmAt(d.views.Current()))
	s.coldUntil = now.Add(left)
	s.of.cold[s.id] = s
	return isNew
}

// probe is a server that is to be asked whether it is cold.
type probe struct {
	server *server
	path   string
}

// dueProbes returns the servers that this node has to ask now.
func (d *Dispatcher) dueProbes(now time.Time) []probe {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	current := d.views.Current()
	if current.Table == nil || d.headers.Health == nil {
		return nil
	}
	if age, known := d.copyAge(); known && age < probedCopyAge {
		return nil
	}
	var due []probe
	for _, of := range d.services {
		configured, _ := current.Table.Service(of.name)
		if configured.WarmUpRate <= 0 || configured.HealthPath == "" {
			continue
		}
		for id, seen := range current.Services[of.name].All() {
			if !d.maySendCold(current, seen) {
				continue
			}
			if s := d.server(id); s != nil && d.probeIsDue(now, current, s) {
				s.probeAt = now.Add(probeInterval)
				d.connect(s)
				due = append(due, probe{s, configured.HealthPath})
			}
		}
	}
	return due
}

// probeIsDue reports whether this node has to ask a server now. The caller holds the mutex.
func (d *Dispatcher) probeIsDue(now time.Time, current *view.View, s *server) bool {
	if _, limited := d.limits.Observed(string(s.id)); limited {
		// A probe would be one more request against its limit.
		return false
	}
	if now.Before(s.restUntil) {
		return false
	}
	return !now.Before(s.probeAt) && !now.Before(s.warmAt(current)) && s.reachable(now, d.options.LeaveGrace)
}

// maySendCold reports whether this node has the right to send to a server if it warms up.
// The caller holds the mutex.
func (d *Dispatcher) maySendCold(current *view.View, seen *view.Server) bool {
	bears, bounded := d.boundedWarmUp(current, seen)
	return bounded && d.rights.Sender(bears)
}

// probeColdServers asks the servers that are due; as many as may be on their way at a
// time, the others at the next call.
func (d *Dispatcher) probeColdServers(ctx context.Context) {
	for _, due := range d.dueProbes(time.Now()) {
		select {
		case d.probes <- struct{}{}:
			go func() {
				defer func() { <-d.probes }()
				d.probe(ctx, due)
			}()
		default:
			d.mutex.Lock()
			due.server.probeAt = time.Time{}
			d.mutex.Unlock()
		}
	}
}

// probe asks one server and tells of it if it is cold. A server that does not answer, or
// another one at its address, says nothing.
func (d *Dispatcher) probe(ctx context.Context, due probe) {
	bounded, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	answer, err := due.server.pool.Exchange(bounded, &upstream.Request{Method: http.MethodGet, URI: due.path, Host: due.server.pool.Address()})
	if err != nil {
		probesTotal.WithLabelValues("no answer").Inc()
		d.logger.Debug("probe failed", zap.String("server", string(due.server.id)), zap.Error(err))
		return
	}
	if answer.Rest != nil {
		// Nothing but the header is of use; ending the connection is all there is to do.
		_ = answer.Rest.Close()
	}
	instance, left := d.headers.Health(answer.Header)
	id := due.server.id
	if instance != id.Instance() || left <= 0 {
		probesTotal.WithLabelValues("warm").Inc()
		return
	}
	probesTotal.WithLabelValues("cold").Inc()
	d.mutex.Lock()
	isNew := d.markCold(time.Now(), id, left)
	d.mutex.Unlock()
	if !isNew {
		return
	}
	d.logger.Info("server found cold", zap.String("server", string(id)), zap.Duration("left", left))
	d.coldFound(id, left)
}
