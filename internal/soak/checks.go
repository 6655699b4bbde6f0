package soak

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/micahaven/micahaven/platform/standin"
)

const (
	// configBound is the time within which a configuration must take effect, and drainBound
	// the time after which a draining server must receive no more requests. observationSlack
	// is the delay that a busy machine may add to outside observations.
	configBound = 2 * time.Second
	drainBound  = 2 * time.Second
	// evacuationBound is the time after which an evacuated zone must receive no more requests.
	evacuationBound = 3 * time.Second
	// coldPropagation is how long a server that starts warming up may still be treated as
	// warm, since its entry has to reach the nodes first.
	coldPropagation  = 700 * time.Millisecond
	observationSlack = 300 * time.Millisecond
	checkInterval    = 100 * time.Millisecond
)

// checkOutcome checks one request at the end of the run.
func (s *soak) checkOutcome(seen outcome) {
	runs := s.world.ledger.Runs(seen.id)
	if !seen.repeatable && len(runs) > 1 {
		s.recordViolation("non-repeatable request %s was executed more than once, by %s", seen.id, strings.Join(runs, ", "))
	}
	if !seen.repeatable && notExecutedStatuses[seen.status] && len(runs) > 0 {
		s.recordViolation("non-repeatable request %s was refused with %d but executed by %s", seen.id, seen.status, strings.Join(runs, ", "))
	}
	if seen.broken != "" {
		s.recordViolation("request %s: %s", seen.id, seen.broken)
	}
	if seen.status == http.StatusNotFound {
		s.recordViolation("request %s got status 404", seen.id)
	}
}

// watch checks the guarantees with a time bound while the soak runs.
func (s *soak) watch(ctx context.Context) {
	reportedExits := make(map[*Node]int)
	client := &http.Client{Timeout: time.Second}
	for turn := 0; ctx.Err() == nil; turn++ {
		s.signals.observe(time.Now(), s.allUndisturbed())
		s.checkDrained()
		s.checkExits(reportedExits)
		if turn%3 == 0 {
			s.checkConfiguration(client)
		}
		time.Sleep(checkInterval)
	}
}

// checkDrained looks for requests that reached a draining server too late. Only requests
// sent by undisturbed nodes count.
func (s *soak) checkDrained() {
	drainStarts := s.world.drainingSince()
	stable := s.world.storeStable()
	for _, arrival := range s.world.ledger.TakeArrivals() {
		s.checkCold(arrival)
		s.checkBackpressure(arrival)
		if stable {
			s.checkEvacuated(arrival)
		}
		at, draining := drainStarts[arrival.Server]
		if !draining || arrival.At.Sub(at) < drainBound+observationSlack || !stable {
			continue
		}
		if n := s.nodeOf(arrival.Request); n != nil && n.Undisturbed() {
			s.recordViolation("request %s reached server %s %v after it began draining", arrival.Request, arrival.Server, arrival.At.Sub(at))
		}
	}
}

// checkEvacuated looks for requests that reached an evacuated zone too late.
func (s *soak) checkEvacuated(arrival standin.Arrival) {
	at := s.world.server(arrival.Server)
	if at == nil {
		return
	}
	since := s.world.evacuatedSince(at, arrival.At)
	if since.IsZero() || arrival.At.Sub(since) < evacuationBound+observationSlack {
		return
	}
	if n := s.nodeOf(arrival.Request); n != nil && n.Undisturbed() {
		s.recordViolation("request %s reached server %s %v after the evacuation of zone %s", arrival.Request, arrival.Server, arrival.At.Sub(since), at.Zone)
	}
}

// checkCold looks for servers that are warming up and receive more requests within a second
// than their warm-up rate allows, summed over all nodes, disturbed ones included.
func (s *soak) checkCold(arrival standin.Arrival) {
	at := s.world.server(arrival.Server)
	if at == nil || !s.world.coldAt(at, arrival.At) || len(s.world.ledger.Runs(arrival.Request)) == 0 {
		return
	}
	const allowed = standin.WarmUpRate*standin.WarmUpOver + standin.WarmUpSlack
	if count := s.coldArrivals.add(arrival); float64(count) > allowed {
		s.recordViolation("warming-up server %s received %d requests within a second, %g allowed", arrival.Server, count, allowed)
	}
}

// arrivalWindow counts the requests that reached each server within the last second.
type arrivalWindow map[string][]time.Time

// add records an arrival and returns the number of arrivals at its server within the last
// second. Arrivals must be added in order of time.
func (l arrivalWindow) add(arrival standin.Arrival) int {
	times := append(l[arrival.Server], arrival.At)
	for arrival.At.Sub(times[0]) >= time.Second {
		times = times[1:]
	}
	l[arrival.Server] = times
	return len(times)
}

// nodeOf returns the node that a request was sent to; the request ID begins with its name.
func (s *soak) nodeOf(request string) *Node {
	name, _, _ := strings.Cut(request, "-")
	return s.named(name)
}

// named returns the node with a name, or nil.
func (s *soak) named(name string) *Node {
	for _, n := range s.nodes {
		if n.Name == name {
			return n
		}
	}
	return nil
}

// checkExits looks for processes that exited unexpectedly. reported holds each node's start
// count at its last report, so that each exit is reported once.
func (s *soak) checkExits(reported map[*Node]int) {
	for _, n := range s.nodes {
		starts := n.Starts()
		if n.Undisturbed() && n.Ended() && reported[n] != starts {
			reported[n] = starts
			s.recordViolation("%s exited unexpectedly", n.Name)
		}
	}
}

// checkConfiguration sends requests to every undisturbed node on the newest route and on
// the route that it replaced.
func (s *soak) checkConfiguration(client *http.Client) {
	version, acknowledgedAt, acknowledged := s.world.configuration()
	if !acknowledged || time.Since(acknowledgedAt) < configBound+observationSlack || !s.world.storeStable() {
		return
	}
	for _, n := range s.nodes {
		if !n.Undisturbed() {
			continue
		}
		added, removed := s.status(client, n, version), s.status(client, n, version-1)
		if current, _, _ := s.world.configuration(); current != version || !n.Undisturbed() || !s.world.storeStable() {
			return
		}
		if added == http.StatusNotFound {
			s.recordViolation("%s answers 404 on the route of version %d, %v after it was acknowledged", n.Name, version, time.Since(acknowledgedAt))
		}
		if version > 1 && removed != http.StatusNotFound && removed != 0 {
			s.recordViolation("%s answers %d on a route that version %d removed %v ago", n.Name, removed, version, time.Since(acknowledgedAt))
		}
	}
}

// status requests the extra route of a version from a node and returns the status code, or
// 0 without a response.
func (s *soak) status(client *http.Client, n *Node, version int) int {
	request, err := http.NewRequest(http.MethodGet, "http://"+n.Clients+extraPath(version)+"x", nil)
	if err != nil {
		return 0
	}
	standin.Prepare(request, n.Name+"-configuration", requestDeadline, -1)
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	return response.StatusCode
}
