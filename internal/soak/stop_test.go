package soak

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/micahaven/micahaven/platform/standin"
)

const (
	// stopNodes is the number of nodes, and stopPlainServers and stopKeyedServers that of their servers.
	stopNodes, stopPlainServers, stopKeyedServers = 3, 40, 6
	// stopRequests is the number of requests that each node gets besides those of returning clients.
	stopRequests = 90
	// returningClients is the number of clients of each node that send one request after the other.
	returningClients = 3
	// lossSlack is the age from which a request that was read must not be closed without a response.
	lossSlack = 200 * time.Millisecond
	// excusedUntil is the time after the signal until which a request may be sent that is broken off at a
	// server in the last sixth of the grace.
	excusedUntil = 3 * time.Second
	// bufferedBody is the size up to which a node reads a body before it passes the request on.
	bufferedBody = 1 << 20
	briefRoute   = 1500 * time.Millisecond
	longRoute    = 12 * time.Second
)

// serverWork is what a server saw of a request.
type serverWork struct {
	arrivedAt, wholeAt, endedAt time.Time
	finished                    bool
}

// stopWorld is a group of router processes with their servers, and what the servers saw.
type stopWorld struct {
	*testing.T
	nodes []*Node
	grace time.Duration
	// signalledAt and signalledBy are the times before and after the nodes were told to stop.
	signalledAt, signalledBy map[*Node]time.Time
	// stalls are the times at which the machine did not run the test.
	stalls stallWatch

	mutex sync.Mutex
	works map[string][]*serverWork
}

// serve works for as long as the request asks for, and keeps the deadline only if the request says so.
func (w *stopWorld) serve(id string) func(http.ResponseWriter, *http.Request) bool {
	return func(writer http.ResponseWriter, r *http.Request) bool {
		work := &serverWork{arrivedAt: time.Now()}
		w.mutex.Lock()
		w.works[standin.RequestID(r)] = append(w.works[standin.RequestID(r)], work)
		w.mutex.Unlock()
		end := func(finished bool) {
			w.mutex.Lock()
			defer w.mutex.Unlock()
			work.endedAt, work.finished = time.Now(), finished
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			end(false)
			panic(http.ErrAbortHandler)
		}
		w.mutex.Lock()
		work.wholeAt = time.Now()
		w.mutex.Unlock()
		milliseconds, _ := strconv.Atoi(r.Header.Get("X-Work-Ms"))
		deadline := longRoute
		if r.Header.Get("X-Keeps-Deadline") != "" {
			left, _ := strconv.Atoi(r.Header.Get(standin.DeadlineHeader))
			deadline = time.Duration(left)*time.Millisecond - time.Since(work.arrivedAt)
		}
		writer.Header().Set("X-Request-Id", standin.RequestID(r))
		standin.Sign(writer.Header(), id)
		select {
		case <-time.After(time.Duration(milliseconds) * time.Millisecond):
		case <-time.After(deadline):
			writer.WriteHeader(http.StatusGatewayTimeout)
		case <-r.Context().Done():
			end(false)
			panic(http.ErrAbortHandler)
		}
		end(true)
		_, _ = io.WriteString(writer, "done")
		return true
	}
}

func startStopWorld(t *testing.T, grace time.Duration) *stopWorld {
	t.Helper()
	w := &stopWorld{T: t, grace: grace, signalledAt: make(map[*Node]time.Time), signalledBy: make(map[*Node]time.Time), works: make(map[string][]*serverWork)}
	folder := t.TempDir()
	program := filepath.Join(folder, "router")
	if output, err := exec.Command("go", "build", "-o", program, "../../cmd/micahaven-router").CombinedOutput(); err != nil {
		t.Fatalf("build router: %v\n%s", err, output)
	}
	store := standin.NewStore()
	t.Cleanup(store.Close)
	const maxBody = 4 << 20
	standin.ConfigureBodies(store, 1, []standin.Route{
		{Name: "r1", Prefix: "/reads/", Service: standin.PlainService, Repeatable: true, Priority: 2, Timeout: longRoute},
		{Name: "r2", Prefix: "/orders/", Service: standin.PlainService, Timeout: longRoute},
		{Name: "r3", Prefix: "/briefreads/", Service: standin.PlainService, Repeatable: true, Priority: 2, Timeout: briefRoute},
		{Name: "r4", Prefix: "/brieforders/", Service: standin.PlainService, Timeout: briefRoute},
		{Name: "r5", Prefix: "/keys/", Service: standin.DividedService, Repeatable: true, Priority: 1, Timeout: longRoute},
		{Name: "r6", Prefix: "/keyorders/", Service: standin.DividedService, Priority: 1, Timeout: longRoute},
	}, maxBody)
	ledger := standin.NewLedger()
	for service, count := range map[string]int{standin.PlainService: stopPlainServers, standin.DividedService: stopKeyedServers} {
		for number := range count {
			id := fmt.Sprintf("%s%d", service, number)
			server := standin.NewServer(store, ledger, id, service, nil)
			server.SetFaults(standin.Faults{Intercept: w.serve(id)})
			t.Cleanup(server.Stop)
		}
	}
	for number := range stopNodes {
		node, err := NewNode(program, folder, number, store.Address)
		if err != nil {
			t.Fatal(err)
		}
		settings, err := os.ReadFile(node.settings())
		if err != nil {
			t.Fatal(err)
		}
		before := fmt.Appendf(nil, "zone: z%d", number)
		settings = bytes.Replace(settings, before, []byte("zone: "+standin.DefaultZone), 1)
		before = fmt.Appendf(nil, "grace_millis: %d", 4000)
		settings = bytes.Replace(settings, before, fmt.Appendf(nil, "grace_millis: %d", grace.Milliseconds()), 1)
		if err := os.WriteFile(node.settings(), settings, 0o600); err != nil {
			t.Fatal(err)
		}
		if err := node.Start(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(node.Stop)
		w.nodes = append(w.nodes, node)
	}
	for _, node := range w.nodes {
		for _, key := range []int{-1, 100, 20000, 40000, 60000} {
			w.requireServed(node, key)
		}
	}
	return w
}

func (w *stopWorld) requireServed(node *Node, key int) {
	w.Helper()
	const timeout = 20 * time.Second
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		path := "/reads/x"
		if key >= 0 {
			path = "/keys/x"
		}
		request, err := http.NewRequest(http.MethodGet, "http://"+node.Clients+path, nil)
		if err != nil {
			w.Fatal(err)
		}
		standin.Prepare(request, fmt.Sprintf("first-%d", time.Now().UnixNano()), 5*time.Second, key)
		request.Close = true
		if response, err := http.DefaultClient.Do(request); err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return
			}
		}
	}
	w.Fatalf("%s does not serve key %d", node.Name, key)
}

// stopRequest is a request of a client. headAt and endAt are when its head and the end of its body are sent,
// after the signal of its node.
type stopRequest struct {
	id, path      string
	key, size     int
	chunked       bool
	headAt, endAt time.Duration
	work          time.Duration
	keepsDeadline bool
	// more is the number of further requests of the same kind that are sent together with it.
	more int
}

func (r *stopRequest) timeout() time.Duration {
	if strings.HasPrefix(r.path, "/brief") {
		return briefRoute
	}
	return longRoute
}

func (r *stopRequest) String() string {
	return fmt.Sprintf("%s %s, %d bytes (chunked %v), head %v and end %v after the signal, work %v (keeps its deadline: %v), %d behind it",
		r.id, r.path, r.size, r.chunked, r.headAt.Round(time.Millisecond), r.endAt.Round(time.Millisecond), r.work.Round(time.Millisecond), r.keepsDeadline, r.more)
}

// parts returns the text up to the last byte of the request, and the rest.
func (r *stopRequest) parts(id string) (first, rest string) {
	var text strings.Builder
	method := http.MethodPost
	if r.size == 0 {
		method = http.MethodGet
	}
	fmt.Fprintf(&text, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\n%s: 12000\r\nX-Work-Ms: %d\r\n",
		method, r.path, standin.Host, id, standin.DeadlineHeader, r.work.Milliseconds())
	if r.keepsDeadline {
		text.WriteString("X-Keeps-Deadline: 1\r\n")
	}
	if r.key >= 0 {
		fmt.Fprintf(&text, "%s: %d\r\n", standin.KeyHeader, r.key)
	}
	body := strings.Repeat("x", r.size)
	switch {
	case r.size == 0:
		return text.String(), "\r\n"
	case r.chunked:
		half := r.size / 2
		fmt.Fprintf(&text, "Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", half, body[:half])
		return text.String(), fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", r.size-half, body[half:])
	default:
		fmt.Fprintf(&text, "Content-Length: %d\r\n\r\n%s", r.size, body[:r.size-1])
		return text.String(), "x"
	}
}

// stopOutcome is what a client saw of a request.
type stopOutcome struct {
	request *stopRequest
	id      string
	// beganAt and sentAt are when its first and its last byte were sent; sentAt is zero if that failed.
	beganAt, sentAt, endedAt time.Time
	status                   int
	signed, closes           bool
	err                      error
}

// send sends a request and those behind it on a connection, and returns what became of them.
func (r *stopRequest) send(socket net.Conn, reader *bufio.Reader, signalledAt time.Time) []*stopOutcome {
	outcomes := make([]*stopOutcome, 0, 1+r.more)
	for number := range 1 + r.more {
		outcomes = append(outcomes, &stopOutcome{request: r, id: fmt.Sprintf("%s-%d", r.id, number)})
	}
	var writing sync.WaitGroup
	writing.Go(func() {
		for number, outcome := range outcomes {
			first, rest := r.parts(outcome.id)
			outcome.beganAt = time.Now()
			if _, err := io.WriteString(socket, first); err != nil {
				return
			}
			if number == 0 {
				time.Sleep(time.Until(signalledAt.Add(r.endAt)))
			}
			if _, err := io.WriteString(socket, rest); err != nil {
				return
			}
			outcome.sentAt = time.Now()
		}
	})
	method := http.MethodPost
	if r.size == 0 {
		method = http.MethodGet
	}
	var failed error
	for _, outcome := range outcomes {
		if failed == nil {
			failed = outcome.read(reader, method)
		}
		outcome.err = failed
		outcome.endedAt = time.Now()
	}
	_ = socket.SetWriteDeadline(time.Unix(1, 0))
	writing.Wait()
	return outcomes
}

func (o *stopOutcome) read(reader *bufio.Reader, method string) error {
	response, err := http.ReadResponse(reader, &http.Request{Method: method})
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return err
	}
	o.status, o.signed, o.closes = response.StatusCode, standin.Signed(response), response.Close
	return nil
}

// drawRequest draws a request of a client of a stopping node.
func (w *stopWorld) drawRequest(random *rand.Rand, id string) *stopRequest {
	paths := []string{"/reads/x", "/orders/x", "/orders/x", "/briefreads/x", "/brieforders/x", "/keys/x", "/keyorders/x"}
	r := &stopRequest{id: id, path: paths[random.IntN(len(paths))], key: -1, keepsDeadline: random.IntN(2) == 0}
	if strings.HasPrefix(r.path, "/key") {
		r.key = random.IntN(65536)
	}
	between := func(from, to time.Duration) time.Duration {
		return from + time.Duration(random.Int64N(int64(to-from)))
	}
	grace := w.grace
	r.headAt = between(-time.Second, grace/2)
	r.endAt = r.headAt
	switch random.IntN(6) {
	case 0, 1:
	case 2:
		r.size = 100
	case 3:
		r.size, r.chunked = 100, true
	case 4:
		r.size = 1500 << 10
	case 5:
		r.size, r.chunked = 1500<<10, true
	}
	if r.size > 0 && random.IntN(2) == 0 {
		r.endAt = between(max(r.headAt, grace/4), grace-200*time.Millisecond)
		if r.endAt > excusedUntil-lossSlack && r.endAt < excusedUntil+2*lossSlack {
			// A slow machine handles the signal later.
			r.endAt = excusedUntil + 2*lossSlack
		}
	}
	if r.size < 1000 && random.IntN(5) == 0 {
		r.more = 1 + random.IntN(2)
	}
	fits := time.Duration(responseShare*float64(grace)) - max(0, r.endAt)
	switch random.IntN(5) {
	case 0:
		r.work = between(0, 100*time.Millisecond)
	case 1:
		r.work = between(100*time.Millisecond, grace/3)
	case 2:
		r.work = max(0, fits+between(-400*time.Millisecond, 0))
	case 3:
		r.work = max(0, fits+between(0, 400*time.Millisecond))
	case 4:
		r.work = longRoute
	}
	return r
}

// responseShare is the share of the grace after which a stopping node has answered.
const responseShare = 0.9

// returnUntilGone sends one request after the other, over open connections and new ones, until the node
// accepts no more.
func (w *stopWorld) returnUntilGone(random *rand.Rand, node *Node, name string, signalledAt time.Time) (all []*stopOutcome) {
	for number := 0; ; {
		socket, err := net.Dial("tcp", node.Clients)
		if err != nil {
			return all
		}
		reader := bufio.NewReader(socket)
		for {
			r := &stopRequest{id: fmt.Sprintf("%s-%d", name, number), path: "/orders/x", key: -1, size: random.IntN(2) * 50, work: time.Duration(random.Int64N(int64(40 * time.Millisecond)))}
			number++
			r.headAt = time.Since(signalledAt)
			r.endAt = r.headAt
			outcomes := r.send(socket, reader, signalledAt)
			all = append(all, outcomes...)
			if outcomes[0].err != nil || outcomes[0].closes {
				break
			}
			time.Sleep(10 * time.Millisecond)
			_ = socket.SetWriteDeadline(time.Time{})
		}
		_ = socket.Close()
	}
}

// verdict returns what is wrong with an outcome; it is empty if the request was not lost.
func (w *stopWorld) verdict(o *stopOutcome, node *Node) string {
	signalledAt, late := w.signalledAt[node], w.signalledBy[node].Add(excusedUntil)
	late = late.Add(w.stalls.between(w.signalledBy[node], late))
	w.mutex.Lock()
	defer w.mutex.Unlock()
	var working *serverWork
	for _, work := range w.works[o.id] {
		if !work.wholeAt.IsZero() && !work.finished {
			working = work
		}
	}
	arrived := len(w.works[o.id]) > 0
	brokenOffAt := o.endedAt
	if working != nil && !working.endedAt.IsZero() {
		brokenOffAt = working.endedAt
	}
	timedOut := !brokenOffAt.Before(o.beganAt.Add(o.request.timeout() - 100*time.Millisecond))
	// A long body goes on to a server before its end has come.
	passedOnBy := o.sentAt
	if working != nil && o.request.size > bufferedBody && working.arrivedAt.Before(passedOnBy) {
		passedOnBy = working.arrivedAt
	}
	excused := !passedOnBy.After(late) && !brokenOffAt.Before(signalledAt.Add(w.grace*5/6))
	switch {
	case o.sentAt.IsZero() || timedOut:
		return ""
	case o.err != nil && arrived && !(working != nil && excused):
		return "passed on and closed without a response"
	case o.err != nil && !arrived && errors.Is(o.err, io.EOF) && o.endedAt.Sub(o.sentAt) > lossSlack && o.beganAt.Before(signalledAt.Add(w.grace)):
		return "read and closed without a response"
	case o.err == nil && !o.signed && o.status == http.StatusServiceUnavailable && arrived:
		return "refused, but passed on"
	case o.err == nil && !o.signed && o.status != http.StatusServiceUnavailable && working != nil && !excused:
		return "broken off at a server that works"
	case o.err == nil && o.status < http.StatusInternalServerError && o.status != http.StatusOK:
		return "denied"
	}
	return ""
}

// Guards against requests that are lost when nodes stop at once in calm.
func TestNodesThatStopInCalmLoseNoRequest(t *testing.T) {
	const seed, lead, grace = 1, 2 * time.Second, 5 * time.Second
	random := rand.New(rand.NewPCG(seed, 0))
	w := startStopWorld(t, grace)
	go w.stalls.run(t.Context().Done())
	at := time.Now().Add(lead)
	var clients sync.WaitGroup
	var mutex sync.Mutex
	outcomes := make(map[*Node][]*stopOutcome)
	for index, node := range w.nodes {
		clients.Go(func() {
			time.Sleep(time.Until(at))
			mutex.Lock()
			w.signalledAt[node] = time.Now()
			mutex.Unlock()
			node.Signal(syscall.SIGTERM)
			mutex.Lock()
			defer mutex.Unlock()
			w.signalledBy[node] = time.Now()
		})
		add := func(seen []*stopOutcome) {
			mutex.Lock()
			defer mutex.Unlock()
			outcomes[node] = append(outcomes[node], seen...)
		}
		for number := range stopRequests {
			r := w.drawRequest(random, fmt.Sprintf("%s-%d", node.Name, number))
			clients.Go(func() {
				time.Sleep(time.Until(at.Add(r.headAt)))
				socket, err := net.Dial("tcp", node.Clients)
				if err != nil {
					return
				}
				defer socket.Close()
				add(r.send(socket, bufio.NewReader(socket), at))
			})
		}
		for number := range returningClients {
			source := rand.New(rand.NewPCG(seed, uint64(index*returningClients+number+1)))
			clients.Go(func() {
				add(w.returnUntilGone(source, node, fmt.Sprintf("%s-returning%d", node.Name, number), at))
			})
		}
	}
	clients.Wait()
	counts := make(map[string]int)
	for node, seen := range outcomes {
		signalledAt := w.signalledAt[node]
		for _, o := range seen {
			counts[o.end()]++
			if wrong := w.verdict(o, node); wrong != "" {
				t.Errorf("%s: %v: began %v, sent %v, ended %v after the signal: %s (%v), servers: %s", wrong, o.request,
					o.beganAt.Sub(signalledAt), o.sentAt.Sub(signalledAt), o.endedAt.Sub(signalledAt), o.end(), o.err, w.describe(o.id, signalledAt))
			}
		}
	}
	t.Logf("%v", counts)
	for _, node := range w.nodes {
		for _, one := range stops(node.history(), w.stalls.between) {
			if one.late(w.grace) {
				t.Errorf("%s took %v to end", node.Name, one.endedAt.Sub(one.signalledAt))
			}
		}
	}
}

func (w *stopWorld) describe(id string, signalledAt time.Time) string {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	var text strings.Builder
	for _, work := range w.works[id] {
		fmt.Fprintf(&text, "[arrived %v, whole %v, ended %v, finished %v]", work.arrivedAt.Sub(signalledAt), work.wholeAt.Sub(signalledAt), work.endedAt.Sub(signalledAt), work.finished)
	}
	return text.String()
}

// end names how a request ended.
func (o *stopOutcome) end() string {
	switch {
	case o.err != nil && o.sentAt.IsZero():
		return "closed before it was sent"
	case errors.Is(o.err, io.EOF):
		return "closed"
	case o.err != nil:
		return "reset"
	case o.signed:
		return fmt.Sprintf("server's %d", o.status)
	default:
		return fmt.Sprintf("own %d", o.status)
	}
}
