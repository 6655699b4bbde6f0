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

// patience bounds what a test waits for.
const patience = 5 * time.Second

// safePath begins the paths of requests that may run side by side.
const safePath = "/safe/"

// served is a server and what its handler has seen.
type served struct {
	*pipeline.Server
	address string
	limits  *ingress.ConnectionLimits
	// begun gets the path of each request that has reached the handler.
	begun chan string
	// ended gets that of each request whose context has ended before its answer.
	ended chan string

	mutex sync.Mutex
	gates map[string]chan struct{}
}

// serve starts a server. Its handler answers with the path and the body once the gate of
// the path is open; paths without a gate at once.
func serve(t *testing.T, held *pipeline.Held) *served {
	t.Helper()
	return serveWith(t, nil, held)
}

// serveWith does so with another handler.
func serveWith(t *testing.T, handler http.Handler, held *pipeline.Held) *served {
	t.Helper()
	s := &served{
		begun: make(chan string, 1000), ended: make(chan string, 1000), gates: make(map[string]chan struct{}),
		limits: ingress.NewConnectionLimits(func() (idle, header time.Duration) { return time.Minute, time.Minute }),
	}
	if handler == nil {
		handler = http.HandlerFunc(s.answer)
	}
	s.Server = newServer(handler, s.limits, held)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s.address = listener.Addr().String()
	ended := make(chan error, 1)
	go func() { ended <- s.Serve(s.limits.Listener(listener)) }()
	t.Cleanup(func() {
		if err := s.Close(); err != nil {
			t.Error(err)
		}
		if err := <-ended; !errors.Is(err, http.ErrServerClosed) {
			t.Error(err)
		}
	})
	return s
}

func newServer(handler http.Handler, limits *ingress.ConnectionLimits, held *pipeline.Held) *pipeline.Server {
	return &pipeline.Server{
		Handler: handler, Connections: limits, HeaderBytes: 64 << 10, Held: held, Logger: zap.NewNop(),
		SideBySide: func(request *http.Request) bool { return strings.HasPrefix(request.URL.Path, safePath) },
	}
}

func (s *served) answer(writer http.ResponseWriter, request *http.Request) {
	path := request.URL.Path
	s.begun <- path
	select {
	case <-s.gate(path):
	case <-request.Context().Done():
		s.ended <- path
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

// gate returns what is closed when a path may be answered.
func (s *served) gate(path string) <-chan struct{} {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if gate, ok := s.gates[path]; ok {
		return gate
	}
	open := make(chan struct{})
	close(open)
	return open
}

// shut makes a path wait until what it returns is called.
func (s *served) shut(path string) (open func()) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	gate := make(chan struct{})
	s.gates[path] = gate
	return sync.OnceFunc(func() { close(gate) })
}

// client is a client's connection.
type client struct {
	net.Conn
	t      *testing.T
	reader *bufio.Reader
}

func (s *served) dial(t *testing.T) *client {
	t.Helper()
	socket, err := net.Dial("tcp", s.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = socket.Close() })
	_ = socket.SetReadDeadline(time.Now().Add(patience))
	return &client{Conn: socket, t: t, reader: bufio.NewReader(socket)}
}

// ask sends requests for paths together.
func (c *client) ask(paths ...string) {
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

// read returns the next answer.
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

// expect reads the answers to some paths, in order.
func (c *client) expect(paths ...string) {
	c.t.Helper()
	for _, path := range paths {
		if response, body := c.read(); response.StatusCode != http.StatusOK || body != path {
			c.t.Fatalf("answer %d %q, want that to %s", response.StatusCode, body, path)
		}
	}
}

// expectEnd checks that the connection ends without a further answer.
func (c *client) expectEnd() {
	c.t.Helper()
	rest, err := io.ReadAll(c.reader)
	if len(rest) > 0 {
		c.t.Fatalf("further bytes: %q", rest)
	}
	var failure net.Error
	if errors.As(err, &failure) && failure.Timeout() {
		c.t.Fatal("the connection is open")
	}
}

// wait returns the next path of a channel.
func wait(t *testing.T, paths <-chan string) string {
	t.Helper()
	select {
	case path := <-paths:
		return path
	case <-time.After(patience):
		t.Fatal("nothing came")
		return ""
	}
}

// quiet checks that no path comes for a while.
func quiet(t *testing.T, paths <-chan string) {
	t.Helper()
	select {
	case path := <-paths:
		t.Fatalf("%s came", path)
	case <-time.After(100 * time.Millisecond):
	}
}

func room() *pipeline.Held { return pipeline.NewHeld(16 << 20) }

func TestSafeRequestsRunBesideASlowOneAndAreAnsweredInOrder(t *testing.T) {
	s := serve(t, room())
	open := s.shut("/safe/slow")
	c := s.dial(t)
	c.ask("/safe/slow", "/safe/1", "/safe/2")
	seen := map[string]bool{}
	for range 3 {
		seen[wait(t, s.begun)] = true
	}
	if len(seen) != 3 {
		t.Fatalf("reached the handler: %v", seen)
	}
	open()
	c.expect("/safe/slow", "/safe/1", "/safe/2")
	c.ask("/safe/3")
	c.expect("/safe/3")
}

func TestUnsafeRequestsRunAlone(t *testing.T) {
	s := serve(t, room())
	openFirst, openUnsafe := s.shut("/safe/first"), s.shut("/unsafe")
	c := s.dial(t)
	c.ask("/safe/first", "/unsafe", "/safe/last")
	if path := wait(t, s.begun); path != "/safe/first" {
		t.Fatalf("%s came first", path)
	}
	quiet(t, s.begun)
	openFirst()
	if path := wait(t, s.begun); path != "/unsafe" {
		t.Fatalf("%s came second", path)
	}
	quiet(t, s.begun)
	openUnsafe()
	c.expect("/safe/first", "/unsafe", "/safe/last")
}

// Many connections at once, each with an order of its own; at no moment does an unsafe
// request of a connection run beside another one of it.
func TestOrderOfManyPipelinedRequests(t *testing.T) {
	var beside atomic.Int64
	running := make([]atomic.Int64, 20)
	handler := http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		var connection, number int
		_, _ = fmt.Sscanf(request.URL.Query().Get("q"), "%d.%d", &connection, &number)
		now := running[connection].Add(1)
		time.Sleep(time.Duration(number*7919%3) * time.Millisecond)
		if !strings.HasPrefix(request.URL.Path, safePath) && (now > 1 || running[connection].Load() > 1) {
			beside.Add(1)
		}
		running[connection].Add(-1)
		_, _ = io.WriteString(writer, request.URL.Query().Get("q"))
	})
	s := serveWith(t, handler, room())
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
					t.Errorf("answer %q, want %s", body, want)
				}
			}
		})
	}
	group.Wait()
	if count := beside.Load(); count > 0 {
		t.Fatalf("%d unsafe requests ran beside others", count)
	}
}

func TestClientThatLeavesEndsAllItsRequests(t *testing.T) {
	s := serve(t, room())
	paths := []string{"/safe/1", "/safe/2", "/safe/3", "/safe/4", "/safe/5"}
	for _, path := range paths {
		t.Cleanup(s.shut(path))
	}
	c := s.dial(t)
	c.ask(append(paths, "/unsafe")...)
	for range paths {
		wait(t, s.begun)
	}
	_ = c.Close()
	leftAt := time.Now()
	for range paths {
		wait(t, s.ended)
	}
	if took := time.Since(leftAt); took > 500*time.Millisecond {
		t.Errorf("noticed after %s", took)
	}
	quiet(t, s.begun)
}

// More requests than are read ahead lie unread when the client leaves.
func TestClientThatLeavesIsNoticedBehindUnreadBytes(t *testing.T) {
	s := serve(t, room())
	t.Cleanup(s.shut("/unsafe"))
	c := s.dial(t)
	c.ask("/unsafe")
	wait(t, s.begun)
	var behind []string
	for range 200 {
		behind = append(behind, "/safe/"+strings.Repeat("x", 100))
	}
	c.ask(behind...)
	quiet(t, s.ended)
	_ = c.Close()
	leftAt := time.Now()
	wait(t, s.ended)
	if took := time.Since(leftAt); took > 500*time.Millisecond {
		t.Errorf("noticed after %s", took)
	}
	quiet(t, s.begun)
}

// As with net/http, a client that ends its side has left.
func TestHalfClosedConnectionEndsRequests(t *testing.T) {
	s := serve(t, room())
	t.Cleanup(s.shut("/safe/1"))
	c := s.dial(t)
	c.ask("/safe/1")
	wait(t, s.begun)
	_ = c.Conn.(*net.TCPConn).CloseWrite()
	wait(t, s.ended)
	c.expectEnd()
}

// What was read before an answer asks for the end of the connection is still answered;
// what was not stays unread.
func TestAnswerThatClosesIsTheLast(t *testing.T) {
	s := serve(t, room())
	open := s.shut("/safe/close")
	c := s.dial(t)
	c.ask("/safe/close", "/safe/1", "/unsafe")
	wait(t, s.begun)
	wait(t, s.begun)
	open()
	for index, path := range []string{"/safe/close", "/safe/1", "/unsafe"} {
		response, body := c.read()
		if body != path || response.Close != (index == 2) {
			t.Fatalf("answer %q, closes: %t", body, response.Close)
		}
	}
	c.expectEnd()
}

// A request of which some bytes were read when an answer asks for the end is not cut off:
// its client could not know that it never ran.
func TestAnswerThatClosesWaitsForARequestThatIsBeingRead(t *testing.T) {
	s := serve(t, room())
	open := s.shut("/safe/close")
	c := s.dial(t)
	c.ask("/safe/close")
	wait(t, s.begun)
	c.send("GET /unsafe/close HTTP/1.1\r\nHo")
	quiet(t, s.begun)
	open()
	if response, body := c.read(); body != "/safe/close" || response.Close {
		t.Fatalf("answer %q, closes: %t", body, response.Close)
	}
	c.send("st: h\r\n\r\n")
	if response, body := c.read(); body != "/unsafe/close" || !response.Close {
		t.Fatalf("answer %q, closes: %t", body, response.Close)
	}
	c.expectEnd()
}

func TestNothingRunsAfterAnAnswerThatCloses(t *testing.T) {
	s := serve(t, room())
	c := s.dial(t)
	c.ask("/close")
	wait(t, s.begun)
	if response, _ := c.read(); !response.Close {
		t.Fatal("the answer does not close")
	}
	_, _ = io.WriteString(c, "GET /unsafe HTTP/1.1\r\nHost: h\r\n\r\n")
	c.expectEnd()
	quiet(t, s.begun)
}

func TestClientsOwnCloseEndsTheConnection(t *testing.T) {
	s := serve(t, room())
	c := s.dial(t)
	c.send("GET /safe/1 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\nGET /safe/2 HTTP/1.1\r\nHost: h\r\n\r\n")
	c.expect("/safe/1")
	c.expectEnd()
	if path := wait(t, s.begun); path != "/safe/1" {
		t.Fatal(path)
	}
	quiet(t, s.begun)
}

func TestBrokenOffAnswerEndsTheConnection(t *testing.T) {
	s := serve(t, room())
	t.Cleanup(s.shut("/safe/behind"))
	open := s.shut("/safe/abort")
	c := s.dial(t)
	c.ask("/safe/first", "/safe/abort", "/safe/behind", "/unsafe")
	for range 3 {
		wait(t, s.begun)
	}
	open()
	c.expect("/safe/first")
	c.expectEnd()
	if path := wait(t, s.ended); path != "/safe/behind" {
		t.Fatal(path)
	}
	quiet(t, s.begun)
}

func TestStoppingServerAnswersWhatItHasRead(t *testing.T) {
	s := serve(t, room())
	open := s.shut("/safe/slow")
	busy, idle := s.dial(t), s.dial(t)
	busy.ask("/safe/slow", "/safe/1", "/unsafe")
	idle.ask("/safe/2")
	idle.expect("/safe/2")
	for range 3 {
		wait(t, s.begun)
	}
	ended := make(chan error, 1)
	go func() { ended <- s.Shutdown(context.Background()) }()
	idle.expectEnd()
	open()
	busy.expect("/safe/slow", "/safe/1", "/unsafe")
	busy.expectEnd()
	select {
	case err := <-ended:
		if err != nil {
			t.Fatal(err)
		}
	case <-time.After(patience):
		t.Fatal("does not stop")
	}
}

func TestStoppingServerGivesUpAtItsLimit(t *testing.T) {
	s := serve(t, room())
	t.Cleanup(s.shut("/safe/slow"))
	c := s.dial(t)
	c.ask("/safe/slow")
	wait(t, s.begun)
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	if err := s.Shutdown(ctx); !errors.Is(err, context.DeadlineExceeded) {
		t.Fatalf("error %v", err)
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	wait(t, s.ended)
	c.expectEnd()
}

func TestOneConnectionReadsABoundedNumberAhead(t *testing.T) {
	s := serve(t, room())
	var paths []string
	for index := range 40 {
		path := fmt.Sprintf("/safe/%d", index)
		paths = append(paths, path)
		t.Cleanup(s.shut(path))
	}
	c := s.dial(t)
	c.ask(paths...)
	for range 16 {
		wait(t, s.begun)
	}
	quiet(t, s.begun)
}

// Without room one request of each connection is still served at a time.
func TestWithoutRoomRequestsAreReadOneByOne(t *testing.T) {
	s := serve(t, pipeline.NewHeld(0))
	open := s.shut("/safe/slow")
	c := s.dial(t)
	c.ask("/safe/slow", "/safe/1")
	wait(t, s.begun)
	quiet(t, s.begun)
	open()
	c.expect("/safe/slow", "/safe/1")
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
			s := serve(t, room())
			c := s.dial(t)
			go func() {
				_, _ = io.WriteString(c.Conn, "POST /safe/x HTTP/1.1\r\nHost: h\r\n"+request+"GET /safe/2 HTTP/1.1\r\nHost: h\r\n\r\n")
			}()
			want := "/safe/x hello"
			if strings.HasPrefix(name, "long") {
				want = "/safe/x " + long
			}
			if _, body := c.read(); body != want {
				t.Fatalf("%d bytes, want %d", len(body), len(want))
			}
			c.expect("/safe/2")
		})
	}
}

func TestClientIsAskedForItsBody(t *testing.T) {
	s := serve(t, room())
	open := s.shut("/safe/slow")
	c := s.dial(t)
	c.ask("/safe/slow")
	c.send("POST /safe/x HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 5\r\n\r\n")
	wait(t, s.begun)
	open()
	c.expect("/safe/slow")
	if response, _ := c.read(); response.StatusCode != http.StatusContinue {
		t.Fatalf("status %d", response.StatusCode)
	}
	c.send("hello")
	c.ask("/safe/2")
	c.expect("/safe/x hello", "/safe/2")
}

func TestWaitBehindEarlierAnswersIsTold(t *testing.T) {
	const pause = 100 * time.Millisecond
	told := make(chan time.Duration, 3)
	handler := http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if request.URL.Path == "/safe/slow" {
			time.Sleep(pause)
		}
		pipeline.OnTurn(writer, func(behind time.Duration) { told <- behind })
		content := make([]byte, 10)
		if request.URL.Path == "/safe/long" {
			content = make([]byte, 100<<10)
		}
		_, _ = writer.Write(content)
	})
	s := serveWith(t, handler, room())
	c := s.dial(t)
	c.ask("/safe/slow", "/safe/short", "/safe/long")
	for index := range 3 {
		behind := <-told
		if waited := behind > pause/2; waited != (index > 0) {
			t.Errorf("answer %d waited %s", index, behind)
		}
	}
}

// A request counts from when it was read, not from its turn.
func TestArrivalIsWhenTheRequestWasRead(t *testing.T) {
	const pause = 100 * time.Millisecond
	waited := make(chan time.Duration, 2)
	handler := http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		waited <- time.Since(pipeline.Arrival(writer))
		time.Sleep(pause)
	})
	s := serveWith(t, handler, room())
	s.dial(t).ask("/unsafe", "/unsafe")
	if first, second := <-waited, <-waited; first > pause/2 || second < pause/2 {
		t.Errorf("%s and %s have passed since the requests were read", first, second)
	}
}

// A server that is closed, or an answer that is broken off, ends a connection whose body
// was left to a handler that never began.
func TestBodyThatIsNeverReadDoesNotKeepTheConnection(t *testing.T) {
	s := serve(t, room())
	open := s.shut("/safe/abort")
	c := s.dial(t)
	c.ask("/safe/abort")
	c.send("POST /unsafe HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 5\r\n\r\n")
	wait(t, s.begun)
	quiet(t, s.begun)
	open()
	c.expectEnd()
	if err := s.Shutdown(t.Context()); err != nil {
		t.Fatal(err)
	}
}

// The reader of a connection may learn only after the answer that a handler has read the
// body of its request.
func TestAnswerThatClosesSaysSoAfterABodyThatItsHandlerRead(t *testing.T) {
	const rounds = 500
	handler := http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		_, _ = io.Copy(io.Discard, request.Body)
		writer.Header().Set("Connection", "close")
	})
	s := serveWith(t, handler, room())
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
		t.Errorf("%d of %d answers do not ask for another connection", kept, rounds)
	}
}

// An answer whose end is that of the connection looks whole if the connection just ends.
func TestBrokenOffAnswerWithoutALengthIsNotTakenForWhole(t *testing.T) {
	handler := http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		_, _ = writer.Write(make([]byte, 4<<10))
		panic(http.ErrAbortHandler)
	})
	s := serveWith(t, handler, room())
	c := s.dial(t)
	c.send("GET /safe/x HTTP/1.0\r\n\r\n")
	if _, err := io.ReadAll(c.reader); err == nil {
		t.Fatal("the client can't tell that the rest is missing")
	}
}

// What a client sends after a connection was closed makes the kernel reset it and drop what
// it has not sent yet of the last answer.
func TestLastAnswerArrivesAlthoughItsClientSendsMore(t *testing.T) {
	const size = 96 << 10
	answered := make(chan struct{})
	handler := http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		defer close(answered)
		writer.Header().Set("Connection", "close")
		_, _ = writer.Write(make([]byte, size))
	})
	s := serveWith(t, handler, room())
	c := dialNarrow(t, s, 16<<10)
	c.ask("/safe/x")
	<-answered
	// The server closes the connection within this time if it doesn't wait.
	time.Sleep(50 * time.Millisecond)
	c.ask("/safe/behind")
	time.Sleep(50 * time.Millisecond)
	if _, body := c.read(); len(body) != size {
		t.Fatalf("%d bytes came, want %d", len(body), size)
	}
}

// Line ends that some clients send after the body of a POST are no part of a request.
func TestLineEndsAfterAPostDoNotKeepAStoppingServer(t *testing.T) {
	s := serve(t, room())
	c := s.dial(t)
	c.send("POST /unsafe HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx\r\n")
	c.expect("/unsafe x")
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	if err := s.Shutdown(ctx); err != nil {
		t.Fatal(err)
	}
}

// An answer that ends the connection says so behind such line ends too.
func TestAnswerThatClosesSaysSoBehindLineEnds(t *testing.T) {
	s := serve(t, room())
	c := s.dial(t)
	c.send("POST /close HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx\r\n")
	if response, _ := c.read(); !response.Close {
		t.Error("the answer keeps the connection")
	}
}
