package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/micahaven/micahaven/platform/standin"
)

const (
	// certainCrashes is the number of crashes after which a request must not be sent, and
	// maxLateCrashes the number of servers that it may crash later than settleTime after them.
	certainCrashes = 3
	maxLateCrashes = 3
	poisonInterval = 300 * time.Millisecond
	// crashWatchTime is for how long all nodes must have been undisturbed before the request
	// ends, and maxPoisonTail bounds how long that is waited for.
	crashWatchTime = 12 * time.Second
	maxPoisonTail  = time.Minute
	// serverDownFor is how long a server that a request has crashed is down.
	serverDownFor = 500 * time.Millisecond
	maxCrashDelay = 90 * time.Millisecond
	// shortPart is a part of a body that a node buffers, and longPart one that it streams.
	shortPart = 500
	longPart  = 400 << 10
	// clientAddressCount is the number of loopback addresses that the request comes from.
	clientAddressCount = 20
)

// crashPoint is the point of its response at which a request crashes a server.
type crashPoint struct {
	name string
	// silent is set if nothing is sent before the crash.
	silent bool
	// declared is the announced length of the body, 0 if it is chunked, and before the number
	// of bytes sent before the crash.
	declared, before int
}

var crashPoints = []crashPoint{
	{name: "before the response", silent: true},
	{name: "after the head", declared: 2 * shortPart},
	{name: "after the head of a chunked body"},
	{name: "in a buffered body", declared: 2 * shortPart, before: shortPart},
	{name: "in a buffered chunked body", before: shortPart},
	{name: "in a streamed body", declared: 2 * longPart, before: longPart},
	{name: "in a streamed chunked body", before: longPart},
}

// respond sends what a server sends before it crashes.
func (p crashPoint) respond(w http.ResponseWriter, id string) {
	if p.silent {
		return
	}
	standin.Sign(w.Header(), id)
	if p.declared > 0 {
		w.Header().Set("Content-Length", strconv.Itoa(p.declared))
	}
	// The node may be gone, so errors do not matter.
	_, _ = io.WriteString(w, strings.Repeat("x", p.before))
	_ = http.NewResponseController(w).Flush()
}

// crashRecord is how a request crashes servers, and when it did.
type crashRecord struct {
	point crashPoint
	delay time.Duration
	times []time.Time
}

// crashPathPrefix starts the last path segment of requests that crash servers.
const crashPathPrefix = "crash-"

// causesCrash reports whether a request crashes the server that executes it.
func causesCrash(r *http.Request) bool { return strings.Contains(r.URL.Path, crashPathPrefix) }

// poisoned is a request that crashes the servers which execute it and is sent repeatedly.
type poisoned struct {
	soak *soak
	path string
	// undisturbedSince is since when all nodes have been undisturbed; zero if one is not.
	undisturbedSince time.Time
	reported         bool
}

// sendPoisoned sends a request that crashes servers until the returned function is called and
// all nodes have then been undisturbed for crashWatchTime.
func (s *soak) sendPoisoned(random *rand.Rand) func() {
	prefix := []string{"/keys/", "/reads/"}[random.IntN(2)]
	p := &poisoned{soak: s, path: fmt.Sprintf("%s%s%08x", prefix, crashPathPrefix, random.Uint32())}
	record := &crashRecord{point: crashPoints[random.IntN(len(crashPoints))], delay: time.Duration(random.Int64N(int64(maxCrashDelay)))}
	s.world.addCrashing(p.path, record)
	s.logf("request %s crashes servers %s, %v later", p.path, record.point.name, record.delay.Round(time.Millisecond))
	ending, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		p.run(random, ending)
	}()
	return func() {
		close(ending)
		<-ended
		summary := fmt.Sprintf("request %s crashed %d servers %s", p.path, len(s.world.crashTimes(p.path)), record.point.name)
		s.logf("%s", summary)
		s.mutex.Lock()
		defer s.mutex.Unlock()
		s.crashing = append(s.crashing, summary)
	}
}

// run sends the request from random addresses to random nodes, and checks how many servers it
// crashes. Once ending is closed it returns after crashWatchTime without a disturbance.
func (p *poisoned) run(random *rand.Rand, ending <-chan struct{}) {
	var deadline time.Time
	for number := 0; ; number++ {
		time.Sleep(poisonInterval)
		p.send(random, number)
		now := time.Now()
		p.check(now)
		select {
		case <-ending:
			if deadline.IsZero() {
				deadline = now.Add(maxPoisonTail)
			}
			watched := !p.undisturbedSince.IsZero() && now.Sub(p.undisturbedSince) >= crashWatchTime
			if watched || now.After(deadline) {
				return
			}
		default:
		}
	}
}

// clientFrom returns a client whose connections come from a loopback address of their own.
func clientFrom(host byte) *http.Client {
	dialer := &net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 0, host)}}
	return &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true}, Timeout: requestDeadline}
}

// send sends the request from a random address to a random node, under a random key, and reads
// the response to its end.
func (p *poisoned) send(random *rand.Rand, number int) {
	client, n, key := clientFrom(byte(2+random.IntN(clientAddressCount))), p.soak.node(random), random.IntN(keyCount)*keySpread
	request, err := http.NewRequest(http.MethodGet, "http://"+n.Clients+p.path, http.NoBody)
	if err != nil {
		return
	}
	standin.Prepare(request, fmt.Sprintf("%s-%s-%d", n.Name, strings.ReplaceAll(p.path[1:], "/", "-"), number), requestDeadline, key)
	response, err := client.Do(request)
	if err != nil {
		return
	}
	defer response.Body.Close()
	// The body is expected to end early.
	_, _ = io.Copy(io.Discard, response.Body)
}

// check looks for servers that crash although all nodes must have classified the request as
// crashing.
func (p *poisoned) check(now time.Time) {
	switch {
	case !p.soak.allUndisturbed():
		p.undisturbedSince = time.Time{}
		return
	case p.undisturbedSince.IsZero():
		p.undisturbedSince = now
	}
	late := lateCrashes(p.soak.world.crashTimes(p.path), p.undisturbedSince)
	if late > maxLateCrashes && !p.reported {
		p.reported = true
		p.soak.recordViolation("request %s crashed %d servers later than %v after the third crash, %d allowed", p.path, late, settleTime, maxLateCrashes)
	}
}

// lateCrashes counts the crashes later than settleTime after the third one, except those before
// from: a node that had just restarted may have sent the request.
func lateCrashes(times []time.Time, from time.Time) int {
	if len(times) < certainCrashes {
		return 0
	}
	bound := times[certainCrashes-1].Add(settleTime)
	if from.After(bound) {
		bound = from
	}
	late := 0
	for _, at := range times {
		if at.After(bound) {
			late++
		}
	}
	return late
}

// addCrashing registers a request that crashes servers.
func (w *world) addCrashing(path string, record *crashRecord) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.crashes == nil {
		w.crashes = make(map[string]*crashRecord)
	}
	w.crashes[path] = record
}

// crashTimes returns when requests for a path crashed servers.
func (w *world) crashTimes(path string) []time.Time {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return append([]time.Time(nil), w.crashes[path].times...)
}

// crashDuring responds to a request as far as its crash point and crashes the server.
func (w *world) crashDuring(s *server, response http.ResponseWriter, r *http.Request) {
	path := r.URL.Path
	w.mutex.Lock()
	record := w.crashes[path]
	w.mutex.Unlock()
	record.point.respond(response, s.ID)
	// The server also crashes if the node leaves in the meantime.
	time.AfterFunc(record.delay, func() { w.crashServer(s, record) })
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}

// crashServer crashes a server and starts its next incarnation after serverDownFor. A server
// that is draining is replaced by another one.
func (w *world) crashServer(s *server, record *crashRecord) {
	w.mutex.Lock()
	if s.crashed || s.Dead() {
		w.mutex.Unlock()
		return
	}
	s.crashed = true
	draining := !s.drainingSince.IsZero() || (s.backpressure != nil && s.backpressure.Leaving)
	// A draining server may exit, and a crash behind a disrupted link is not visible.
	if !draining && s.link.current() == Pass {
		record.times = append(record.times, time.Now())
	}
	w.mutex.Unlock()
	s.link.Refuse()
	s.Crash()
	time.Sleep(serverDownFor)
	if draining {
		s.Forget()
		// If this fails there are fewer servers, which the checks tolerate.
		_ = w.startServer(s.Service)
		return
	}
	_ = w.restartServer(s)
}
