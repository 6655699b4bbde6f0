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

const (
	// probedCopyAge is the age of this node's copy of the store from which it probes
	// servers. It is just above the age of a copy in steady state (1.35 s), in which
	// nothing is probed.
	probedCopyAge = 1400 * time.Millisecond
	// probeInterval is the pause between two probes of a server by one node. A service
	// tolerates that a cold server gets its usual requests, instead of the reduced rate, for
	// half a second.
	probeInterval = 500 * time.Millisecond
	// probeTimeout is how long a probe waits for a response.
	probeTimeout = 400 * time.Millisecond
	// maxProbes bounds the probes in flight.
	maxProbes = 32
)

// ColdServerFunc is called when a server reports in response to a probe that it is warming up
// for the given time.
//
// A server may turn cold without a restart, which its registration then says. While the
// store is unavailable, nodes do not learn this from the registration; such a server kept
// getting the requests of a warm one, twice what it can sustain. Therefore, while their
// copies of the store are old, the nodes that would have the right to send to a warming
// server probe it and notify all other nodes of the result. Two nodes probe each server
// rather than all nodes, because answering costs the server time.
type ColdServerFunc func(server discovery.ServerID, left time.Duration)

// SetColdServerFunc sets the notification of servers that probes find cold. It must be called
// before Run.
func (d *Dispatcher) SetColdServerFunc(found ColdServerFunc) { d.onColdFound = found }

// MarkCold records that a server is warming up for the given time, as found by another
// node. The store may report it later or never.
func (d *Dispatcher) MarkCold(id discovery.ServerID, left time.Duration) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.markCold(time.Now(), id, left)
}

// markCold records that a server is warming up, and reports whether that was not known
// before. The caller holds the mutex.
func (d *Dispatcher) markCold(now time.Time, id discovery.ServerID, left time.Duration) bool {
	s := d.server(id)
	if s == nil || left <= 0 {
		return false
	}
	isNew := !now.Before(s.warmAt(d.views.Current()))
	s.coldUntil = now.Add(left)
	s.svc.cold[s.id] = s
	return isNew
}

// probe is a server to be asked whether it is warming up.
type probe struct {
	server *server
	path   string
}

// dueProbes returns the servers that this node has to probe now.
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
	for _, svc := range d.services {
		configured, _ := current.Table.Service(svc.name)
		if configured.WarmUpRate <= 0 || configured.HealthPath == "" {
			continue
		}
		for id, seen := range current.Services[svc.name].All() {
			if !d.maySendCold(current, seen) {
				continue
			}
			if s := d.server(id); s != nil && d.probeIsDue(now, current, s) {
				s.probeAt = now.Add(probeInterval)
				d.ensurePool(s)
				due = append(due, probe{s, configured.HealthPath})
			}
		}
	}
	return due
}

// probeIsDue reports whether this node has to probe a server now. The caller holds the
// mutex.
func (d *Dispatcher) probeIsDue(now time.Time, current *view.View, s *server) bool {
	if _, limited := d.limits.Observed(string(s.id)); limited {
		// A probe would count against the server's announced limit.
		return false
	}
	if now.Before(s.requestedBackoffUntil) {
		return false
	}
	return !now.Before(s.probeAt) && !now.Before(s.warmAt(current)) && s.reachable(now, d.options.LeaveGrace)
}

// maySendCold reports whether this node would have the right to send to a server that is
// warming up. The caller holds the mutex.
func (d *Dispatcher) maySendCold(current *view.View, seen *view.Server) bool {
	warmUp, bounded := d.boundedWarmUp(current, seen)
	return bounded && d.permits.IsSender(warmUp)
}

// probeColdServers probes the servers that are due. If all probe slots are taken, the
// remaining servers are probed at the next call.
func (d *Dispatcher) probeColdServers(ctx context.Context) {
	for _, due := range d.dueProbes(time.Now()) {
		select {
		case d.probeSlots <- struct{}{}:
			go func() {
				defer func() { <-d.probeSlots }()
				d.probe(ctx, due)
			}()
		default:
			d.mutex.Lock()
			due.server.probeAt = time.Time{}
			d.mutex.Unlock()
		}
	}
}

// probe asks one server and notifies the other nodes if it is newly found cold. No
// response, or the response of another server at the same address, is not evidence.
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
		// Only the header is used. An error from Close changes nothing.
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
	d.logger.Info("probe found server warming up", zap.String("server", string(id)), zap.Duration("left", left))
	d.onColdFound(id, left)
}
