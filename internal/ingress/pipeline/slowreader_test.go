package pipeline_test

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/micahaven/micahaven/internal/ingress/pipeline"
)

const (
	// longResponse is the size of the responses. initialPart is the part read from a server
	// before the response is forwarded.
	longResponse = 540 << 10
	initialPart  = 128 << 10
	// stallTestTimeout is longer than the time after which a client that does not read is
	// disconnected.
	stallTestTimeout = 15 * time.Second
)

// longResponseHandler streams long responses as they arrive from servers.
type longResponseHandler struct {
	// bytesRead is the number of bytes read from servers; active is the number of responses
	// being forwarded.
	bytesRead, active atomic.Int64
}

// ServeHTTP implements http.Handler.
func (l *longResponseHandler) ServeHTTP(writer http.ResponseWriter, _ *http.Request) {
	l.active.Add(1)
	defer l.active.Add(-1)
	l.bytesRead.Add(initialPart)
	if _, err := writer.Write(make([]byte, initialPart)); err != nil {
		panic(http.ErrAbortHandler)
	}
	if _, err := io.Copy(writer, io.TeeReader(bytes.NewReader(make([]byte, longResponse-initialPart)), l)); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// Write implements io.Writer.
func (l *longResponseHandler) Write(content []byte) (int, error) {
	l.bytesRead.Add(int64(len(content)))
	return len(content), nil
}

// waitUntil waits until a condition holds.
func waitUntil(t *testing.T, timeout time.Duration, failure string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(timeout); !condition(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal(failure)
		}
	}
}

// dialSmallBuffer returns a client connection with a small kernel receive buffer.
func dialSmallBuffer(t *testing.T, s *testServer, buffer int) *client {
	t.Helper()
	c := s.dial(t)
	if err := c.Conn.(*net.TCPConn).SetReadBuffer(buffer); err != nil {
		t.Fatal(err)
	}
	return c
}

func memoryInUse() uint64 {
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapInuse + stats.StackInuse
}

// 200 clients that do not read their responses: the node's memory grows by less than 60 MB,
// their servers are released soon, and other clients are served afterwards.
func TestCallersThatDoNotReadAreGivenUp(t *testing.T) {
	const clients, maxGrowth = 200, 60 << 20
	handler := &longResponseHandler{}
	mux := http.NewServeMux()
	mux.Handle("/safe/long", handler)
	mux.HandleFunc("/safe/short", func(writer http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(writer, "/safe/short") })
	s := startServerWith(t, mux, newBudget())
	runtime.GC()
	before := memoryInUse()
	for range clients {
		dialSmallBuffer(t, s, 4<<10).get("/safe/long")
	}
	waitUntil(t, testTimeout, "the responses did not start", func() bool { return handler.bytesRead.Load() >= clients*initialPart })
	peak := uint64(0)
	waitUntil(t, stallTestTimeout, "clients that do not read are not disconnected", func() bool {
		peak = max(peak, memoryInUse())
		return handler.active.Load() == 0
	})
	t.Logf("peak %d MB", (peak-min(peak, before))>>20)
	if peak > before+maxGrowth {
		t.Errorf("memory grew by %d MB, want at most %d", (peak-before)>>20, maxGrowth>>20)
	}
	c := s.dial(t)
	c.get("/safe/short")
	c.expectResponses("/safe/short")
}

// Long responses that wait for their turn are read from their servers only up to a limit.
func TestLongAnswersAreNotReadAheadBeyondTheBounds(t *testing.T) {
	for name, test := range map[string]struct {
		budget int64
		limit  int64
	}{
		"of a connection": {16 << 20, 1 << 20},
		"of the node":     {256 << 10, 256 << 10},
	} {
		t.Run(name, func(t *testing.T) {
			handler := &longResponseHandler{}
			gate := make(chan struct{})
			mux := http.NewServeMux()
			mux.Handle("/safe/long", handler)
			mux.HandleFunc("/safe/slow", func(writer http.ResponseWriter, _ *http.Request) { <-gate })
			held := pipeline.NewMemoryBudget(test.budget)
			s := startServerWith(t, mux, held)
			c := s.dial(t)
			c.get(append([]string{"/safe/slow"}, strings.Fields(strings.Repeat("/safe/long ", 10))...)...)
			waitUntil(t, testTimeout, "no response was started", func() bool { return handler.active.Load() > 0 && handler.bytesRead.Load() > initialPart })
			time.Sleep(100 * time.Millisecond)
			// A request is charged little, and each waiting response has offered one more
			// segment.
			const requests = 16 * 8 << 10
			if now := held.Now(); now > test.limit+requests {
				t.Errorf("%d bytes are held, want at most %d", now, test.limit)
			}
			close(gate)
			c.read()
			for range 10 {
				if _, body := c.read(); len(body) != longResponse {
					t.Fatalf("received %d bytes", len(body))
				}
			}
			waitUntil(t, testTimeout, "bytes that were released are still charged", func() bool { return held.Now() == 0 })
		})
	}
}

// A client that reads slowly but steadily receives its complete response.
func TestCallersThatReadSlowlyAreServed(t *testing.T) {
	handler := &longResponseHandler{}
	s := startServerWith(t, handler, newBudget())
	c := dialSmallBuffer(t, s, 64<<10)
	c.get("/safe/long")
	_ = c.SetReadDeadline(time.Now().Add(stallTestTimeout))
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	got := 0
	piece := make([]byte, 54<<10)
	for got < longResponse {
		count, err := io.ReadFull(response.Body, piece)
		got += count
		if err != nil {
			t.Fatalf("received %d bytes: %v", got, err)
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// A client that reads nothing for longer than the stall timeout of streams still receives a
// response that the node holds completely, even if it is written in parts.
func TestWholeAnswerInPiecesWaitsForItsClient(t *testing.T) {
	const pieces, piece = 64, 16 << 10
	const pause = 6 * time.Second
	handler := http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set("Content-Length", strconv.Itoa(pieces*piece))
		for range pieces {
			if _, err := writer.Write(make([]byte, piece)); err != nil {
				return
			}
		}
	})
	s := startServerWith(t, handler, newBudget())
	c := dialSmallBuffer(t, s, 64<<10)
	c.get("/safe/long")
	time.Sleep(pause)
	_ = c.SetReadDeadline(time.Now().Add(stallTestTimeout))
	if _, body := c.read(); len(body) != pieces*piece {
		t.Fatalf("received %d bytes, want %d", len(body), pieces*piece)
	}
}

// Clients that announce a body but send nothing must not occupy memory for it.
func TestAnnouncedBodiesTakeNoRoomBeforeTheyCome(t *testing.T) {
	const clients, maxGrowth = 100, 20 << 20
	s := startServer(t, newBudget())
	runtime.GC()
	before := memoryInUse()
	for range clients {
		s.dial(t).send("POST /unsafe HTTP/1.1\r\nHost: h\r\nContent-Length: 1048576\r\n\r\n")
	}
	// The headers are read within this time.
	time.Sleep(300 * time.Millisecond)
	if now := memoryInUse(); now > before+maxGrowth {
		t.Errorf("%d MB are used for bodies that were not sent", (now-before)>>20)
	}
}
