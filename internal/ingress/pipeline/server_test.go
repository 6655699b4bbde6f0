package pipeline_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/micahaven/micahaven/internal/ingress"
	"github.com/micahaven/micahaven/internal/ingress/pipeline"
)

// testTimeout bounds every wait in the tests.
const testTimeout = 5 * time.Second

// safePath is the path prefix of requests that may run concurrently.
const safePath = "/safe/"

// testServer is a server that records which requests reached its handler.
type testServer struct {
	*pipeline.Server
	address string
	limits  *ingress.ConnectionTracker
	// started receives the path of each request that has reached the handler.
	started chan string
	// done receives the path of each request whose context was cancelled before its response.
	done chan string

	mutex sync.Mutex
	gates map[string]chan struct{}
}

// startServer starts a server. Its handler responds with the path and the body once the path's
// gate is open; a path without a gate is answered at once.
func startServer(t *testing.T, held *pipeline.MemoryBudget) *testServer {
	t.Helper()
	return startServerWith(t, nil, held)
}

// startServerWith starts a server with the given handler; configure changes its settings.
func startServerWith(t *testing.T, handler http.Handler, held *pipeline.MemoryBudget, configure ...func(*pipeline.Server)) *testServer {
	t.Helper()
	s := &testServer{
		started: make(chan string, 1000), done: make(chan string, 1000), gates: make(map[string]chan struct{}),
		limits: ingress.NewConnectionTracker(func() (idle, header time.Duration) { return time.Minute, time.Minute }),
	}
	if handler == nil {
		handler = http.HandlerFunc(s.handle)
	}
	s.Server = newServer(handler, s.limits, held)
	for _, change := range configure {
		change(s.Server)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s.address = listener.Addr().String()
	done := make(chan error, 1)
	go func() { done <- s.Serve(s.limits.Listener(listener)) }()
	t.Cleanup(func() {
		if err := s.Close(); err != nil {
			t.Error(err)
		}
		if err := <-done; !errors.Is(err, http.ErrServerClosed) {
			t.Error(err)
		}
	})
	return s
}

func newServer(handler http.Handler, limits *ingress.ConnectionTracker, held *pipeline.MemoryBudget) *pipeline.Server {
	return &pipeline.Server{
		Handler: handler, Connections: limits, HeaderBytes: 64 << 10, MemoryBudget: held, Logger: zap.NewNop(),
		MayRunConcurrently: func(request *http.Request) bool { return strings.HasPrefix(request.URL.Path, safePath) },
	}
}

func (s *testServer) handle(writer http.ResponseWriter, request *http.Request) {
	path := request.URL.Path
	s.started <- path
	select {
	case <-s.gate(path):
	case <-request.Context().Done():
		s.done <- path
		panic(http.ErrAbortHandler)
	}
	switch {
	case strings.HasSuffix(path, "close"):
		writer.Header().Set("Connection", "close")
	case strings.HasSuffix(path, "abort"):
		panic(http.ErrAbortHandler)
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	fmt.Fprintf(writer, "%s %s", path, body)
}

// gate returns a channel that is closed when a path may be answered.
func (s *testServer) gate(path string) <-chan struct{} {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if gate, ok := s.gates[path]; ok {
		return gate
	}
	open := make(chan struct{})
	close(open)
	return open
}

// blockPath makes requests for a path wait until the returned function is called.
func (s *testServer) blockPath(path string) (unblock func()) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	gate := make(chan struct{})
	s.gates[path] = gate
	return sync.OnceFunc(func() { close(gate) })
}

// client is the client side of a connection.
type client struct {
	net.Conn
	t      *testing.T
	reader *bufio.Reader
}

func (s *testServer) dial(t *testing.T) *client {
	t.Helper()
	socket, err := net.Dial("tcp", s.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = socket.Close() })
	_ = socket.SetReadDeadline(time.Now().Add(testTimeout))
	return &client{Conn: socket, t: t, reader: bufio.NewReader(socket)}
}

// get sends GET requests for the paths in one write.
func (c *client) get(paths ...string) {
	c.t.Helper()
	var all strings.Builder
	for _, path := range paths {
		fmt.Fprintf(&all, "GET %s HTTP/1.1\r\nHost: h\r\n\r\n", path)
	}
	c.send(all.String())
}

func (c *client) send(text string) {
	c.t.Helper()
	if _, err := io.WriteString(c.Conn, text); err != nil {
		c.t.Fatal(err)
	}
}

// read returns the next response and its body.
func (c *client) read() (*http.Response, string) {
	c.t.Helper()
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		c.t.Fatal(err)
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		c.t.Fatal(err)
	}
	return response, strings.TrimSpace(string(body))
}

// expectResponses reads one response for each path, in order.
func (c *client) expectResponses(paths ...string) {
	c.t.Helper()
	for _, path := range paths {
		if response, body := c.read(); response.StatusCode != http.StatusOK || body != path {
			c.t.Fatalf("response %d %q, want that to %s", response.StatusCode, body, path)
		}
	}
}

// expectClosed checks that the connection ends without a further response.
func (c *client) expectClosed() {
	c.t.Helper()
	rest, err := io.ReadAll(c.reader)
	if len(rest) > 0 {
		c.t.Fatalf("unexpected data: %q", rest)
	}
	var netErr net.Error
	if errors.As(err, &netErr) && netErr.Timeout() {
		c.t.Fatal("the connection is still open")
	}
}

// receive returns the next path from a channel.
func receive(t *testing.T, paths <-chan string) string {
	t.Helper()
	select {
	case path := <-paths:
		return path
	case <-time.After(testTimeout):
		t.Fatal("no request arrived within the timeout")
		return ""
	}
}

// expectNone checks that no path arrives on a channel for 100 ms.
func expectNone(t *testing.T, paths <-chan string) {
	t.Helper()
	select {
	case path := <-paths:
		t.Fatalf("unexpected request for %s", path)
	case <-time.After(100 * time.Millisecond):
	}
}

func newBudget() *pipeline.MemoryBudget { return pipeline.NewMemoryBudget(16 << 20) }

func TestSafeRequestsRunBesideASlowOneAndAreAnsweredInOrder(t *testing.T) {
	s := startServer(t, newBudget())
	unblock := s.blockPath("/safe/slow")
	c := s.dial(t)
	c.get("/safe/slow", "/safe/1", "/safe/2")
	seen := map[string]bool{}
	for range 3 {
		seen[receive(t, s.started)] = true
	}
	if len(seen) != 3 {
		t.Fatalf("requests that reached the handler: %v, want 3", seen)
	}
	unblock()
	c.expectResponses("/safe/slow", "/safe/1", "/safe/2")
	c.get("/safe/3")
	c.expectResponses("/safe/3")
}

func TestUnsafeRequestsRunAlone(t *testing.T) {
	s := startServer(t, newBudget())
	unblockFirst, unblockUnsafe := s.blockPath("/safe/first"), s.blockPath("/unsafe")
	c := s.dial(t)
	c.get("/safe/first", "/unsafe", "/safe/last")
	if path := receive(t, s.started); path != "/safe/first" {
		t.Fatalf("%s reached the handler first", path)
	}
	expectNone(t, s.started)
	unblockFirst()
	if path := receive(t, s.started); path != "/unsafe" {
		t.Fatalf("%s reached the handler second", path)
	}
	expectNone(t, s.started)
	unblockUnsafe()
	c.expectResponses("/safe/first", "/unsafe", "/safe/last")
}

// Many connections run in parallel, each with its own sequence of requests. An unsafe request
// must never run concurrently with another one of the same connection.
func TestOrderOfManyPipelinedRequests(t *testing.T) {
	var overlapping atomic.Int64
	running := make([]atomic.Int64, 20)
	handler := http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		var connection, number int
		_, _ = fmt.Sscanf(request.URL.Query().Get("q"), "%d.%d", &connection, &number)
		now := running[connection].Add(1)
		time.Sleep(time.Duration(number*7919%3) * time.Millisecond)
		if !strings.HasPrefix(request.URL.Path, safePath) && (now > 1 || running[connection].Load() > 1) {
			overlapping.Add(1)
		}
		running[connection].Add(-1)
		_, _ = io.WriteString(writer, request.URL.Query().Get("q"))
	})
	s := startServerWith(t, handler, newBudget())
	var group sync.WaitGroup
	for connection := range running {
		c := s.dial(t)
		group.Go(func() {
			const requests = 60
			for number := range requests {
				path := "/safe/x"
				if number%4 == 3 {
					path = "/unsafe"
				}
				c.send(fmt.Sprintf("POST %s?q=%d.%d HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc", path, connection, number))
			}
			for number := range requests {
				response, err := http.ReadResponse(c.reader, nil)
				if err != nil {
					t.Error(err)
					return
				}
				body, _ := io.ReadAll(response.Body)
				if want := fmt.Sprintf("%d.%d", connection, number); string(body) != want {
					t.Errorf("response %q, want %s", body, want)
				}
			}
		})
	}
	group.Wait()
	if count := overlapping.Load(); count > 0 {
		t.Fatalf("%d unsafe requests ran concurrently with others", count)
	}
}

func TestClientThatLeavesEndsAllItsRequests(t *testing.T) {
	s := startServer(t, newBudget())
	paths := []string{"/safe/1", "/safe/2", "/safe/3", "/safe/4", "/safe/5"}
	for _, path := range paths {
		t.Cleanup(s.blockPath(path))
	}
	c := s.dial(t)
	c.get(append(paths, "/unsafe")...)
	for range paths {
		receive(t, s.started)
	}
	_ = c.Close()
	leftAt := time.Now()
	for range paths {
		receive(t, s.done)
	}
	if elapsed := time.Since(leftAt); elapsed > 500*time.Millisecond {
		t.Errorf("disconnect detected after %s", elapsed)
	}
	expectNone(t, s.started)
}

// The client leaves while more requests than the server reads ahead are still unread.
func TestClientThatLeavesIsNoticedBehindUnreadBytes(t *testing.T) {
	s := startServer(t, newBudget())
	t.Cleanup(s.blockPath("/unsafe"))
	c := s.dial(t)
	c.get("/unsafe")
	receive(t, s.started)
	var behind []string
	for range 200 {
		behind = append(behind, "/safe/"+strings.Repeat("x", 100))
	}
	c.get(behind...)
	expectNone(t, s.done)
	_ = c.Close()
	leftAt := time.Now()
	receive(t, s.done)
	if elapsed := time.Since(leftAt); elapsed > 500*time.Millisecond {
		t.Errorf("disconnect detected after %s", elapsed)
	}
	expectNone(t, s.started)
}

// As with net/http, a client that closes its writing side counts as having left.
func TestHalfClosedConnectionEndsRequests(t *testing.T) {
	s := startServer(t, newBudget())
	t.Cleanup(s.blockPath("/safe/1"))
	c := s.dial(t)
	c.get("/safe/1")
	receive(t, s.started)
	_ = c.Conn.(*net.TCPConn).CloseWrite()
	receive(t, s.done)
	c.expectClosed()
}

// Requests read before a response asks to close the connection are still answered; later ones
// stay unread.
func TestAnswerThatClosesIsTheLast(t *testing.T) {
	s := startServer(t, newBudget())
	unblock := s.blockPath("/safe/close")
	c := s.dial(t)
	c.get("/safe/close", "/safe/1", "/unsafe")
	receive(t, s.started)
	receive(t, s.started)
	unblock()
	for index, path := range []string{"/safe/close", "/safe/1", "/unsafe"} {
		response, body := c.read()
		if body != path || response.Close != (index == 2) {
			t.Fatalf("response %q, closes the connection: %t", body, response.Close)
		}
	}
	c.expectClosed()
}

// A request that has been partly read when a response asks to close the connection must be
// answered, because its client could not determine that it was never executed.
func TestAnswerThatClosesWaitsForARequestThatIsBeingRead(t *testing.T) {
	s := startServer(t, newBudget())
	unblock := s.blockPath("/safe/close")
	c := s.dial(t)
	c.get("/safe/close")
	receive(t, s.started)
	c.send("GET /unsafe/close HTTP/1.1\r\nHo")
	expectNone(t, s.started)
	unblock()
	if response, body := c.read(); body != "/safe/close" || response.Close {
		t.Fatalf("response %q, closes the connection: %t", body, response.Close)
	}
	c.send("st: h\r\n\r\n")
	if response, body := c.read(); body != "/unsafe/close" || !response.Close {
		t.Fatalf("response %q, closes the connection: %t", body, response.Close)
	}
	c.expectClosed()
}

func TestNothingRunsAfterAnAnswerThatCloses(t *testing.T) {
	s := startServer(t, newBudget())
	c := s.dial(t)
	c.get("/close")
	receive(t, s.started)
	if response, _ := c.read(); !response.Close {
		t.Fatal("the response does not close the connection")
	}
	_, _ = io.WriteString(c, "GET /unsafe HTTP/1.1\r\nHost: h\r\n\r\n")
	c.expectClosed()
	expectNone(t, s.started)
}

func TestClientsOwnCloseEndsTheConnection(t *testing.T) {
	s := startServer(t, newBudget())
	c := s.dial(t)
	c.send("GET /safe/1 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\nGET /safe/2 HTTP/1.1\r\nHost: h\r\n\r\n")
	c.expectResponses("/safe/1")
	c.expectClosed()
	if path := receive(t, s.started); path != "/safe/1" {
		t.Fatal(path)
	}
	expectNone(t, s.started)
}

func TestBrokenOffAnswerEndsTheConnection(t *testing.T) {
	s := startServer(t, newBudget())
	t.Cleanup(s.blockPath("/safe/behind"))
	unblock := s.blockPath("/safe/abort")
	c := s.dial(t)
	c.get("/safe/first", "/safe/abort", "/safe/behind", "/unsafe")
	for range 3 {
		receive(t, s.started)
	}
	unblock()
	c.expectResponses("/safe/first")
	c.expectClosed()
	if path := receive(t, s.done); path != "/safe/behind" {
		t.Fatal(path)
	}
	expectNone(t, s.started)
}

func TestStoppingServerAnswersWhatItHasRead(t *testing.T) {
	s := startServer(t, newBudget())
	unblock := s.blockPath("/safe/slow")
	busy, idle := s.dial(t), s.dial(t)
	busy.get("/safe/slow", "/safe/1", "/unsafe")
	idle.get("/safe/2")
	idle.expectResponses("/safe/2")
	for range 3 {
		receive(t, s.started)
	}
	shutdownErr := make(chan error, 1)
	go func() { shutdownErr <- s.Shutdown(context.Background()) }()
	idle.expectClosed()
	unblock()
	busy.expectResponses("/safe/slow", "/safe/1", "/unsafe")
	busy.expectClosed()
	select {
	case err := <-shutdownErr:
		if err != nil {
			t.Fatal(err)
		}
	case <-time.After(testTimeout):
		t.Fatal("Shutdown does not return")
	}
}

// A stopping server reads no further request, but what it has begun to read it reads to its end.
func TestStoppingServerReadsNothingBehindARequestInProgress(t *testing.T) {
	s := startServer(t, newBudget())
	unblock := s.blockPath("/safe/slow")
	whole, part, body := s.dial(t), s.dial(t), s.dial(t)
	whole.get("/safe/slow")
	part.get("/safe/slow")
	part.send("GET /safe/part HTTP/1.1\r\nHo")
	body.get("/safe/slow")
	for range 3 {
		receive(t, s.started)
	}
	body.send("POST /safe/body HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\n")
	// Time for the server to read what was sent.
	expectNone(t, s.started)
	shutdownErr := make(chan error, 1)
	go func() { shutdownErr <- s.Shutdown(context.Background()) }()
	expectNone(t, s.started)
	whole.get("/safe/behind")
	expectNone(t, s.started)
	part.send("st: h\r\n\r\n")
	body.send("text")
	for range 2 {
		receive(t, s.started)
	}
	part.get("/safe/behind")
	body.get("/safe/behind")
	expectNone(t, s.started)
	unblock()
	whole.expectResponses("/safe/slow")
	whole.expectClosed()
	part.expectResponses("/safe/slow", "/safe/part")
	part.expectClosed()
	body.expectResponses("/safe/slow", "/safe/body text")
	body.expectClosed()
	if err := <-shutdownErr; err != nil {
		t.Error(err)
	}
}

func TestStoppingServerGivesUpAtItsLimit(t *testing.T) {
	s := startServer(t, newBudget())
	t.Cleanup(s.blockPath("/safe/slow"))
	c := s.dial(t)
	c.get("/safe/slow")
	receive(t, s.started)
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	if err := s.Shutdown(ctx); !errors.Is(err, context.DeadlineExceeded) {
		t.Fatalf("error %v", err)
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	receive(t, s.done)
	c.expectClosed()
}

func TestOneConnectionReadsABoundedNumberAhead(t *testing.T) {
	s := startServer(t, newBudget())
	var paths []string
	for index := range 40 {
		path := fmt.Sprintf("/safe/%d", index)
		paths = append(paths, path)
		t.Cleanup(s.blockPath(path))
	}
	c := s.dial(t)
	c.get(paths...)
	for range 16 {
		receive(t, s.started)
	}
	expectNone(t, s.started)
}

// With an exhausted memory budget, each connection is still served one request at a time.
func TestWithoutRoomRequestsAreReadOneByOne(t *testing.T) {
	s := startServer(t, pipeline.NewMemoryBudget(0))
	unblock := s.blockPath("/safe/slow")
	c := s.dial(t)
	c.get("/safe/slow", "/safe/1")
	receive(t, s.started)
	expectNone(t, s.started)
	unblock()
	c.expectResponses("/safe/slow", "/safe/1")
}

func TestBodies(t *testing.T) {
	long := strings.Repeat("b", 3<<20)
	for name, request := range map[string]string{
		"length":           fmt.Sprintf("Content-Length: %d\r\n\r\n%s", 5, "hello"),
		"chunked":          "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
		"long":             fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(long), long),
		"long and chunked": fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(long), long),
	} {
		t.Run(name, func(t *testing.T) {
			s := startServer(t, newBudget())
			c := s.dial(t)
			go func() {
				_, _ = io.WriteString(c.Conn, "POST /safe/x HTTP/1.1\r\nHost: h\r\n"+request+"GET /safe/2 HTTP/1.1\r\nHost: h\r\n\r\n")
			}()
			want := "/safe/x hello"
			if strings.HasPrefix(name, "long") {
				want = "/safe/x " + long
			}
			if _, body := c.read(); body != want {
				t.Fatalf("received %d bytes, want %d", len(body), len(want))
			}
			c.expectResponses("/safe/2")
		})
	}
}

func TestClientIsAskedForItsBody(t *testing.T) {
	s := startServer(t, newBudget())
	unblock := s.blockPath("/safe/slow")
	c := s.dial(t)
	c.get("/safe/slow")
	c.send("POST /safe/x HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 5\r\n\r\n")
	receive(t, s.started)
	unblock()
	c.expectResponses("/safe/slow")
	if response, _ := c.read(); response.StatusCode != http.StatusContinue {
		t.Fatalf("status %d", response.StatusCode)
	}
	c.send("hello")
	c.get("/safe/2")
	c.expectResponses("/safe/x hello", "/safe/2")
}

func TestWaitBehindEarlierAnswersIsTold(t *testing.T) {
	const pause = 100 * time.Millisecond
	reported := make(chan time.Duration, 3)
	handler := http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if request.URL.Path == "/safe/slow" {
			time.Sleep(pause)
		}
		pipeline.OnTurn(writer, func(wait time.Duration) { reported <- wait })
		content := make([]byte, 10)
		if request.URL.Path == "/safe/long" {
			content = make([]byte, 100<<10)
		}
		_, _ = writer.Write(content)
	})
	s := startServerWith(t, handler, newBudget())
	c := s.dial(t)
	c.get("/safe/slow", "/safe/short", "/safe/long")
	for index := range 3 {
		wait := <-reported
		if waited := wait > pause/2; waited != (index > 0) {
			t.Errorf("response %d waited %s", index, wait)
		}
	}
}

// The arrival time of a request is when it was read, not when it started.
func TestArrivalIsWhenTheRequestWasRead(t *testing.T) {
	const pause = 100 * time.Millisecond
	waited := make(chan time.Duration, 2)
	handler := http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		waited <- time.Since(pipeline.ArrivalTime(writer))
		time.Sleep(pause)
	})
	s := startServerWith(t, handler, newBudget())
	s.dial(t).get("/unsafe", "/unsafe")
	if first, second := <-waited, <-waited; first > pause/2 || second < pause/2 {
		t.Errorf("%s and %s have passed since the requests were read", first, second)
	}
}

// Closing the server or aborting a response must end a connection even if a body was left to a
// handler that never started.
func TestBodyThatIsNeverReadDoesNotKeepTheConnection(t *testing.T) {
	s := startServer(t, newBudget())
	unblock := s.blockPath("/safe/abort")
	c := s.dial(t)
	c.get("/safe/abort")
	c.send("POST /unsafe HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 5\r\n\r\n")
	receive(t, s.started)
	expectNone(t, s.started)
	unblock()
	c.expectClosed()
	if err := s.Shutdown(t.Context()); err != nil {
		t.Fatal(err)
	}
}

// The reader of a connection may learn only after the response that the handler has read the
// request body. The response must announce the end of the connection regardless.
func TestAnswerThatClosesSaysSoAfterABodyThatItsHandlerRead(t *testing.T) {
	const rounds = 500
	handler := http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		_, _ = io.Copy(io.Discard, request.Body)
		writer.Header().Set("Connection", "close")
	})
	s := startServerWith(t, handler, newBudget())
	kept := 0
	for range rounds {
		c := s.dial(t)
		c.send("POST /unsafe HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 5\r\n\r\n")
		c.read()
		c.send("hello")
		if response, _ := c.read(); !response.Close {
			kept++
		}
		_ = c.Close()
	}
	if kept > 0 {
		t.Errorf("%d of %d responses do not announce the end of the connection", kept, rounds)
	}
}

// A response delimited by the end of the connection looks complete if the connection is closed
// normally, so an aborted one must end in a reset.
func TestBrokenOffAnswerWithoutALengthIsNotTakenForWhole(t *testing.T) {
	handler := http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		_, _ = writer.Write(make([]byte, 4<<10))
		panic(http.ErrAbortHandler)
	})
	s := startServerWith(t, handler, newBudget())
	c := s.dial(t)
	c.send("GET /safe/x HTTP/1.0\r\n\r\n")
	if _, err := io.ReadAll(c.reader); err == nil {
		t.Fatal("the client can't tell that the response is truncated")
	}
}

// Data that a client sends after the server has closed the connection causes the kernel to
// reset it, which discards the unsent part of the last response.
func TestLastAnswerArrivesAlthoughItsClientSendsMore(t *testing.T) {
	const size = 96 << 10
	answered := make(chan struct{})
	handler := http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		defer close(answered)
		writer.Header().Set("Connection", "close")
		_, _ = writer.Write(make([]byte, size))
	})
	s := startServerWith(t, handler, newBudget())
	c := dialSmallBuffer(t, s, 16<<10)
	c.get("/safe/x")
	<-answered
	// A server that does not linger closes the connection within this time.
	time.Sleep(50 * time.Millisecond)
	c.get("/safe/behind")
	time.Sleep(50 * time.Millisecond)
	if _, body := c.read(); len(body) != size {
		t.Fatalf("received %d bytes, want %d", len(body), size)
	}
}

// Line breaks that some clients send after the body of a POST are not part of a request.
func TestLineEndsAfterAPostDoNotKeepAStoppingServer(t *testing.T) {
	s := startServer(t, newBudget())
	c := s.dial(t)
	c.send("POST /unsafe HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx\r\n")
	c.expectResponses("/unsafe x")
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	if err := s.Shutdown(ctx); err != nil {
		t.Fatal(err)
	}
}

// Such line breaks must not keep a response from announcing the end of the connection.
func TestAnswerThatClosesSaysSoBehindLineEnds(t *testing.T) {
	s := startServer(t, newBudget())
	c := s.dial(t)
	c.send("POST /close HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx\r\n")
	if response, _ := c.read(); !response.Close {
		t.Error("the response does not close the connection")
	}
}
