package pipeline_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

const (
	// slowReceiveBuffer is the size of the kernel's receive buffer of slowClient, and slowReadRate the
	// number of bytes a second that it reads.
	slowReceiveBuffer = 8 << 10
	slowReadRate      = 48 << 10
	// slowBody is the size of the responses that it gets.
	slowBody = 20 << 10
)

// slowClient is a client that reads its responses slowly.
type slowClient struct {
	net.Conn
	reader *bufio.Reader
}

// slowReader reads slowReadRate bytes a second.
type slowReader struct{ io.Reader }

// Read implements io.Reader.
func (s slowReader) Read(into []byte) (int, error) {
	count, err := s.Reader.Read(into)
	time.Sleep(time.Duration(count) * time.Second / slowReadRate)
	return count, err
}

func (s *testServer) dialSlow(t *testing.T) *slowClient {
	t.Helper()
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(descriptor uintptr) {
			_ = syscall.SetsockoptInt(int(descriptor), syscall.SOL_SOCKET, syscall.SO_RCVBUF, slowReceiveBuffer)
		})
	}}
	socket, err := dialer.Dial("tcp", s.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = socket.Close() })
	const chunk = 1 << 10
	return &slowClient{Conn: socket, reader: bufio.NewReaderSize(slowReader{socket}, chunk)}
}

// get sends GET requests. Errors of sending show as missing responses.
func (c *slowClient) get(paths ...string) {
	for _, path := range paths {
		_, _ = fmt.Fprintf(c.Conn, "GET %s HTTP/1.1\r\nHost: h\r\n\r\n", path)
	}
}

// readWhole reads responses until the connection ends, and returns the number of complete ones. After
// each response that does not close the connection it calls next.
func (c *slowClient) readWhole(next func()) (int, error) {
	for whole := 0; ; whole++ {
		response, err := http.ReadResponse(c.reader, nil)
		if err != nil {
			return whole, err
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return whole, err
		}
		if !response.Close {
			next()
		}
	}
}

// slowBodyHandler answers with slowBody bytes, or aborts if the path says so.
type slowBodyHandler struct{ started, done atomic.Int64 }

// ServeHTTP implements http.Handler.
func (h *slowBodyHandler) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	h.started.Add(1)
	defer h.done.Add(1)
	if strings.HasSuffix(request.URL.Path, "abort") {
		panic(http.ErrAbortHandler)
	}
	_, _ = writer.Write(make([]byte, slowBody))
}

// waitDone returns once the handler has returned from the given number of requests and their responses
// have been written to the kernel.
func (h *slowBodyHandler) waitDone(t *testing.T, requests int64) {
	t.Helper()
	waitUntil(t, testTimeout, "the requests are not answered", func() bool { return h.done.Load() == requests })
	time.Sleep(50 * time.Millisecond)
}

// Guards against a reset that discards responses in transit to a client that sends requests ahead.
func TestStoppingServerDeliversResponsesToSlowReaders(t *testing.T) {
	handler := &slowBodyHandler{}
	s := startServerWith(t, handler, newBudget())
	c := s.dialSlow(t)
	c.get("/safe/1", "/safe/2", "/safe/3", "/safe/4")
	stopped := make(chan error, 1)
	time.AfterFunc(500*time.Millisecond, func() {
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		stopped <- s.Shutdown(ctx)
	})
	whole, err := c.readWhole(func() { c.get("/safe/next") })
	if started := handler.started.Load(); int64(whole) != started {
		t.Errorf("%d of %d responses arrived, then %v", whole, started, err)
	}
	if err := <-stopped; err != nil {
		t.Errorf("shutdown: %v", err)
	}
}

// Guards against the same reset on connections that are idle because all responses have been written.
func TestIdleConnectionsAreClosedBehindTheirResponses(t *testing.T) {
	for name, closeIdle := range map[string]func(s *testServer){
		"stopping server": func(s *testServer) { s.CloseIdle() },
		"idle timeout":    func(s *testServer) { s.limits.Prune(time.Now().Add(time.Hour)) },
	} {
		t.Run(name, func(t *testing.T) {
			handler := &slowBodyHandler{}
			s := startServerWith(t, handler, newBudget())
			c := s.dialSlow(t)
			c.get("/safe/1", "/safe/2", "/safe/3")
			handler.waitDone(t, 3)
			closeIdle(s)
			c.get("/safe/unread")
			if whole, err := c.readWhole(func() {}); whole != 3 || handler.started.Load() != 3 {
				t.Errorf("%d of 3 responses arrived, then %v; %d requests were served", whole, err, handler.started.Load())
			}
		})
	}
}

// Guards against the same reset after a response that was aborted behind others.
func TestAbortedResponseLeavesTheOnesBeforeItWhole(t *testing.T) {
	handler := &slowBodyHandler{}
	s := startServerWith(t, handler, newBudget())
	c := s.dialSlow(t)
	c.get("/safe/1", "/safe/2", "/safe/abort")
	handler.waitDone(t, 3)
	c.get("/safe/unread")
	if whole, err := c.readWhole(func() {}); whole != 2 {
		t.Errorf("%d of 2 responses arrived, then %v", whole, err)
	}
}
