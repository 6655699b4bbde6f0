package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/micahaven/micahaven/platform/standin"
)

const (
	// limitWindow, limitOver and limitSlack are what a server bears that names a limit: over
	// times what the limit allows in a window, and slack requests.
	limitWindow = 4 * time.Second
	limitOver   = 1.5
	limitSlack  = 5
	// restBegins is how long after a server asked for rest a node may still send to it, and
	// mostInRest how many requests from one node it bears then.
	restBegins = 500 * time.Millisecond
	mostInRest = 2
	// needTime is how long a server goes on asking beyond the length of a fault: the checks
	// begin some seconds after it has begun to.
	needTime = 7 * time.Second
	// mostCrashes is how many servers a request may crash later than contactTime after the
	// third one.
	mostCrashes = 3
	poisonPause = 300 * time.Millisecond
)

// need is what a server asks for, and since when.
type need struct {
	standin.Needs
	since time.Time
}

// needFaults are what servers ask for in their answers, and requests that they crash of.
var needFaults = []fault{
	{"server names a limit", func(s *soak, random *rand.Rand) func() {
		return s.ask(random, standin.Needs{Limit: 1 + random.Float64()*9})
	}},
	{"server asks for rest", func(s *soak, random *rand.Rand) func() {
		return s.ask(random, standin.Needs{Rest: time.Second + time.Duration(random.Int64N(int64(2*time.Second)))})
	}},
	{"server leaves by its answers", func(s *soak, random *rand.Rand) func() {
		leaving := s.server(random)
		if leaving == nil {
			return nil
		}
		s.replace(leaving.Service)
		s.world.ask(leaving, standin.Needs{Leaving: true})
		return func() {
			time.Sleep(goneAfter)
			leaving.Forget()
			leaving.Stop()
		}
	}},
	{"request crashes servers", func(s *soak, random *rand.Rand) func() {
		poisoned := &poisoned{soak: s, path: fmt.Sprintf("/keys/%s%08x", crashMark, random.Uint32()), key: random.IntN(keyCount) * keySpread}
		stop := make(chan struct{})
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			poisoned.run(random, stop)
		}()
		return func() {
			time.Sleep(needTime)
			close(stop)
			<-ended
		}
	}},
}

// ask makes a server ask for something until the function that it returns is called.
func (s *soak) ask(random *rand.Rand, needs standin.Needs) func() {
	asking := s.server(random)
	if asking == nil {
		return nil
	}
	s.world.ask(asking, needs)
	return func() {
		time.Sleep(needTime)
		s.world.ask(asking, standin.Needs{})
	}
}

// ask makes a server ask for something, or for nothing any more.
func (w *world) ask(s *server, needs standin.Needs) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	s.need = nil
	if needs != (standin.Needs{}) {
		s.need = &need{Needs: needs, since: time.Now()}
	}
	s.Ask(needs)
}

// needOf returns what a server asks for, or nil.
func (w *world) needOf(id string) *need {
	at := w.server(id)
	if at == nil {
		return nil
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return at.need
}

// needsWatch counts what reaches servers that ask for something.
type needsWatch struct {
	// calmSince is since when all nodes have been in touch; zero if one is not.
	calmSince time.Time
	arrivals  map[*need][]standin.Arrival
}

// look notes whether all nodes are in touch.
func (n *needsWatch) look(now time.Time, calm bool) {
	switch {
	case !calm:
		n.calmSince = time.Time{}
	case n.calmSince.IsZero():
		n.calmSince = now
	}
}

// add takes in an arrival at a server that asks for something, and returns all since then.
func (n *needsWatch) add(asked *need, arrival standin.Arrival) []standin.Arrival {
	if n.arrivals == nil {
		n.arrivals = make(map[*need][]standin.Arrival)
	}
	n.arrivals[asked] = append(n.arrivals[asked], arrival)
	return n.arrivals[asked]
}

// calmFor reports whether all nodes have been undisturbed for some time before a moment.
func (n *needsWatch) calmFor(at time.Time, length time.Duration) bool {
	// A node counts as in touch contactTime after its disturbance.
	return !n.calmSince.IsZero() && at.Sub(n.calmSince) >= length-contactTime
}

func (s *soak) allInTouch() bool {
	for _, n := range s.nodes {
		if !n.InTouch() {
			return false
		}
	}
	return true
}

// checkNeeds looks for servers that get more than they ask for.
func (s *soak) checkNeeds(arrival standin.Arrival) {
	asked := s.world.needOf(arrival.Server)
	if asked == nil || arrival.At.Before(asked.since) {
		return
	}
	arrivals := s.needs.add(asked, arrival)
	switch {
	case asked.Limit > 0:
		s.checkLimit(asked, arrivals)
	case asked.Leaving:
		s.checkLeaving(asked, arrivals)
	case asked.Rest > 0:
		s.checkRest(asked, arrivals)
	}
}

// checkLimit looks for servers that get more than the limit that they name, from all nodes.
func (s *soak) checkLimit(asked *need, arrivals []standin.Arrival) {
	last := arrivals[len(arrivals)-1]
	if !s.needs.calmFor(last.At, limitWindow+contactTime) {
		return
	}
	allowed := int(limitOver*asked.Limit*limitWindow.Seconds()) + limitSlack
	if most := standin.MostWithin(arrivals, asked.since.Add(contactTime), limitWindow); most > allowed {
		s.breach("server %s that names a limit of %.1f got %d requests in %v, %d allowed", last.Server, asked.Limit, most, limitWindow, allowed)
	}
}

// checkLeaving looks for requests that reach a server long after its first answer that it
// leaves. The nodes that had no answer of it are told by the others.
func (s *soak) checkLeaving(asked *need, arrivals []standin.Arrival) {
	last := arrivals[len(arrivals)-1]
	bound := arrivals[0].At.Add(drainBound + seenSlack)
	if last.At.Before(bound) || !s.needs.calmFor(last.At, drainBound+contactTime) {
		return
	}
	s.breach("request %s reached %s %v after it said that it leaves", last.Request, last.Server, last.At.Sub(arrivals[0].At))
}

// checkRest looks for servers that get requests in the rest that they asked for. It is not
// seen from outside which node sent a request: each may have been told at another time, so
// that the first of each node don't count.
func (s *soak) checkRest(asked *need, arrivals []standin.Arrival) {
	last := arrivals[len(arrivals)-1]
	if !s.needs.calmFor(last.At, asked.Rest+contactTime) {
		return
	}
	in := 0
	for _, arrival := range arrivals {
		if since := arrival.At.Sub(arrivals[0].At); since > restBegins && since < asked.Rest {
			in++
		}
	}
	if allowed := (mostInRest + 1) * len(s.nodes); in > allowed {
		s.breach("server %s got %d requests in a rest of %v, %d allowed", last.Server, in, asked.Rest, allowed)
	}
}

// crashMark begins the last part of the paths of requests that servers crash of.
const crashMark = "crash-"

// crashes reports whether a server crashes of a request.
func crashes(r *http.Request) bool { return strings.Contains(r.URL.Path, crashMark) }

// poisoned is a request that crashes the servers that run it, and comes again and again.
type poisoned struct {
	soak    *soak
	path    string
	key     int
	crashed []time.Time
}

// run sends it to nodes until stop is closed, and checks how many servers it crashes.
func (p *poisoned) run(random *rand.Rand, stop <-chan struct{}) {
	client := &http.Client{Timeout: requestDeadline}
	defer client.CloseIdleConnections()
	for number := 0; ; number++ {
		select {
		case <-stop:
			return
		case <-time.After(poisonPause):
		}
		before := p.soak.world.crashCount(p.path)
		p.send(client, p.soak.node(random), number)
		for range p.soak.world.crashCount(p.path) - before {
			p.crashed = append(p.crashed, time.Now())
		}
		p.check()
	}
}

func (p *poisoned) send(client *http.Client, n *Node, number int) {
	request, err := http.NewRequest(http.MethodGet, "http://"+n.Clients+p.path, http.NoBody)
	if err != nil {
		return
	}
	standin.Prepare(request, fmt.Sprintf("%s-crash-%d-%d", n.Name, p.key, number), requestDeadline, p.key)
	response, err := client.Do(request)
	if err != nil {
		return
	}
	_ = response.Body.Close()
}

// check looks for servers that crash although all nodes must know of the request.
func (p *poisoned) check() {
	const certain = 3
	if len(p.crashed) < certain || !p.soak.allInTouch() {
		return
	}
	late := 0
	for _, at := range p.crashed {
		if at.After(p.crashed[certain-1].Add(contactTime)) {
			late++
		}
	}
	if late > mostCrashes {
		p.soak.breach("request %s crashed %d servers later than %v after the third, %d allowed", p.path, late, contactTime, mostCrashes)
	}
}

// crashCount returns how many servers crashed of requests for a path.
func (w *world) crashCount(path string) int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.crashed[path]
}

// crashBy crashes a server of a request, and starts another one in its place. The handler of
// the request waits until its connection has ended.
func (w *world) crashBy(s *server, r *http.Request) {
	w.mutex.Lock()
	if w.crashed == nil {
		w.crashed = make(map[string]int)
	}
	if !s.Dead() {
		w.crashed[r.URL.Path]++
	}
	w.mutex.Unlock()
	go func() {
		s.Crash()
		const downFor = time.Second
		time.Sleep(downFor)
		s.Forget()
		// Without a replacement there are fewer servers, which the checks bear.
		_ = w.startServer(s.Service)
	}()
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}
