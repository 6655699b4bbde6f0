package soak

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/micahaven/micahaven/platform/standin"
)

const (
	// configBound is within what time a configuration must be in force, and
	// drainBound within what time a leaving server must get no more requests. The
	// slack is what a busy machine may add to what is seen from outside.
	configBound = 2 * time.Second
	drainBound  = 2 * time.Second
	// evacuationBound is within what time an evacuated zone must get no more requests.
	evacuationBound = 3 * time.Second
	// coldNotice is how long after it turned cold a server may be taken for warm: its
	// entry has to reach the nodes.
	coldNotice = 700 * time.Millisecond
	seenSlack  = 300 * time.Millisecond
	watchPause = 100 * time.Millisecond
	// overlapLimit is for how long two servers may both hold a key.
	overlapLimit = 500 * time.Millisecond
)

// checkOutcome checks one request when everything is over.
func (s *soak) checkOutcome(seen outcome) {
	runs := s.world.ledger.Runs(seen.id)
	if !seen.repeatable && len(runs) > 1 {
		s.breach("order %s ran at %s", seen.id, strings.Join(runs, ", "))
	}
	if !seen.repeatable && promises[seen.status] && len(runs) > 0 {
		s.breach("order %s was refused with %d and ran at %s", seen.id, seen.status, strings.Join(runs, ", "))
	}
	if seen.broken != "" {
		s.breach("request %s: %s", seen.id, seen.broken)
	}
	if seen.status == http.StatusNotFound {
		s.breach("request %s was answered with 404", seen.id)
	}
}

// watch checks what has a time bound while the soak runs.
func (s *soak) watch(ctx context.Context) {
	overlaps := make(map[int]time.Time)
	endsTold := make(map[*Node]int)
	client := &http.Client{Timeout: time.Second}
	for turn := 0; ctx.Err() == nil; turn++ {
		s.needs.look(time.Now(), s.allInTouch())
		s.checkDrained()
		s.checkOwners(overlaps)
		s.checkEnds(endsTold)
		if turn%3 == 0 {
			s.checkConfiguration(client)
		}
		time.Sleep(watchPause)
	}
}

// checkDrained looks for requests that reached a leaving server too late. Only
// those sent by nodes that are in touch count.
func (s *soak) checkDrained() {
	left := s.world.leftAt()
	stable := s.world.storeStable()
	for _, arrival := range s.world.ledger.TakeArrivals() {
		s.checkCold(arrival)
		s.checkNeeds(arrival)
		if stable {
			s.checkEvacuated(arrival)
		}
		at, leaving := left[arrival.Server]
		if !leaving || arrival.At.Sub(at) < drainBound+seenSlack || !stable {
			continue
		}
		if n := s.nodeOf(arrival.Request); n != nil && n.InTouch() {
			s.breach("request %s reached %s %v after it began to leave", arrival.Request, arrival.Server, arrival.At.Sub(at))
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
	if since.IsZero() || arrival.At.Sub(since) < evacuationBound+seenSlack {
		return
	}
	if n := s.nodeOf(arrival.Request); n != nil && n.InTouch() {
		s.breach("request %s reached %s %v after zone %s was evacuated", arrival.Request, arrival.Server, arrival.At.Sub(since), at.Zone)
	}
}

// checkCold looks for cold servers that get more requests within a second than they bear,
// from all nodes, in touch or not.
func (s *soak) checkCold(arrival standin.Arrival) {
	at := s.world.server(arrival.Server)
	if at == nil || !s.world.coldAt(at, arrival.At) || len(s.world.ledger.Runs(arrival.Request)) == 0 {
		return
	}
	const most = standin.WarmUpRate*standin.WarmUpOver + standin.WarmUpSlack
	if count := s.cold.add(arrival); float64(count) > most {
		s.breach("cold server %s got %d requests within a second, %g allowed", arrival.Server, count, most)
	}
}

// lastSecond counts what reached each server within the last second.
type lastSecond map[string][]time.Time

// add takes in an arrival and returns how many there were at its server within a second.
// Arrivals come in the order of their times.
func (l lastSecond) add(arrival standin.Arrival) int {
	times := append(l[arrival.Server], arrival.At)
	for arrival.At.Sub(times[0]) >= time.Second {
		times = times[1:]
	}
	l[arrival.Server] = times
	return len(times)
}

// nodeOf returns the node that a request was sent to; its name begins the id.
func (s *soak) nodeOf(request string) *Node {
	name, _, _ := strings.Cut(request, "-")
	for _, n := range s.nodes {
		if n.Name == name {
			return n
		}
	}
	return nil
}

// checkOwners looks for keys that two servers hold at the same time.
func (s *soak) checkOwners(overlaps map[int]time.Time) {
	servers := s.world.ledger.Servers()
	for index := range keyCount {
		key := index * keySpread
		var holders []string
		for _, held := range servers {
			if held.Service == standin.DividedService && held.Holds(key) {
				holders = append(holders, held.ID)
			}
		}
		if len(holders) < 2 {
			delete(overlaps, key)
			continue
		}
		since, known := overlaps[key]
		if !known {
			overlaps[key] = time.Now()
			continue
		}
		if time.Since(since) > overlapLimit {
			s.breach("key %d is held by %s", key, strings.Join(holders, " and "))
			overlaps[key] = time.Now().Add(time.Hour)
		}
	}
}

// checkEnds looks for processes that ended by themselves. told holds how many
// processes of a node had been started when it was last told of.
func (s *soak) checkEnds(told map[*Node]int) {
	for _, n := range s.nodes {
		starts := n.Starts()
		if n.InTouch() && n.Ended() && told[n] != starts {
			told[n] = starts
			s.breach("%s ended by itself", n.Name)
		}
	}
}

// checkConfiguration asks every node that is in touch on the newest route and on
// the one before it.
func (s *soak) checkConfiguration(client *http.Client) {
	version, acknowledged := s.world.configuration()
	if time.Since(acknowledged) < configBound+seenSlack || !s.world.storeStable() {
		return
	}
	for _, n := range s.nodes {
		if !n.InTouch() {
			continue
		}
		added, removed := s.status(client, n, version), s.status(client, n, version-1)
		if current, _ := s.world.configuration(); current != version || !n.InTouch() || !s.world.storeStable() {
			return
		}
		if added == http.StatusNotFound {
			s.breach("%s answers 404 on the route of version %d, %v after it was acknowledged", n.Name, version, time.Since(acknowledged))
		}
		if version > 1 && removed != http.StatusNotFound && removed != 0 {
			s.breach("%s answers %d on a route that version %d removed %v ago", n.Name, removed, version, time.Since(acknowledged))
		}
	}
}

// status asks a node on the extra route of a version; 0 means no answer.
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
