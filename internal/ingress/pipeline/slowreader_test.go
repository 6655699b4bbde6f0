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
	// longAnswer is the size of the answers; begun is what of them is taken from a server
	// before it is passed on.
	longAnswer = 540 << 10
	begun      = 128 << 10
	// giveUpPatience is more than the time after which a client that takes nothing is given
	// up.
	giveUpPatience = 15 * time.Second
)

// longAnswers is a handler that passes on long answers as they come from servers.
type longAnswers struct {
	// taken is how many bytes were taken from servers; running, how many answers are passed on.
	taken, running atomic.Int64
}

// ServeHTTP implements http.Handler.
func (l *longAnswers) ServeHTTP(writer http.ResponseWriter, _ *http.Request) {
	l.running.Add(1)
	defer l.running.Add(-1)
	l.taken.Add(begun)
	if _, err := writer.Write(make([]byte, begun)); err != nil {
		panic(http.ErrAbortHandler)
	}
	if _, err := io.Copy(writer, io.TeeReader(bytes.NewReader(make([]byte, longAnswer-begun)), l)); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// Write implements io.Writer.
func (l *longAnswers) Write(content []byte) (int, error) {
	l.taken.Add(int64(len(content)))
	return len(content), nil
}

// until waits for a condition.
func until(t *testing.T, most time.Duration, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(most); !holds(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal(what)
		}
	}
}

// dialNarrow returns a connection whose kernel takes little that isn't read.
func dialNarrow(t *testing.T, s *served, buffer int) *client {
	t.Helper()
	c := s.dial(t)
	if err := c.Conn.(*net.TCPConn).SetReadBuffer(buffer); err != nil {
		t.Fatal(err)
	}
	return c
}

func memory() uint64 {
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapInuse + stats.StackInuse
}

// 200 callers that take nothing: the node's memory stays below 60 MB, their servers are
// free again soon, and others are served meanwhile.
func TestCallersThatDoNotReadAreGivenUp(t *testing.T) {
	const callers, most = 200, 60 << 20
	handler := &longAnswers{}
	mux := http.NewServeMux()
	mux.Handle("/safe/long", handler)
	mux.HandleFunc("/safe/short", func(writer http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(writer, "/safe/short") })
	s := serveWith(t, mux, room())
	runtime.GC()
	before := memory()
	for range callers {
		dialNarrow(t, s, 4<<10).ask("/safe/long")
	}
	until(t, patience, "the answers did not begin", func() bool { return handler.taken.Load() >= callers*begun })
	peak := uint64(0)
	until(t, giveUpPatience, "callers that take nothing are kept", func() bool {
		peak = max(peak, memory())
		return handler.running.Load() == 0
	})
	t.Logf("peak %d MB", (peak-min(peak, before))>>20)
	if peak > before+most {
		t.Errorf("%d MB were used, want at most %d", (peak-before)>>20, most>>20)
	}
	c := s.dial(t)
	c.ask("/safe/short")
	c.expect("/safe/short")
}

// Long answers that wait for their turn are taken from their servers only up to a bound.
func TestLongAnswersAreNotReadAheadBeyondTheBounds(t *testing.T) {
	for name, test := range map[string]struct {
		room int64
		most int64
	}{
		"of a connection": {16 << 20, 1 << 20},
		"of the node":     {256 << 10, 256 << 10},
	} {
		t.Run(name, func(t *testing.T) {
			handler := &longAnswers{}
			gate := make(chan struct{})
			mux := http.NewServeMux()
			mux.Handle("/safe/long", handler)
			mux.HandleFunc("/safe/slow", func(writer http.ResponseWriter, _ *http.Request) { <-gate })
			held := pipeline.NewHeld(test.room)
			s := serveWith(t, mux, held)
			c := s.dial(t)
			c.ask(append([]string{"/safe/slow"}, strings.Fields(strings.Repeat("/safe/long ", 10))...)...)
			until(t, patience, "no answer was begun", func() bool { return handler.running.Load() > 0 && handler.taken.Load() > begun })
			time.Sleep(100 * time.Millisecond)
			// Requests count little; each waiting answer has offered one more piece.
			const requests = 16 * 8 << 10
			if now := held.Now(); now > test.most+requests {
				t.Errorf("%d bytes are held, want at most %d", now, test.most)
			}
			close(gate)
			c.read()
			for range 10 {
				if _, body := c.read(); len(body) != longAnswer {
					t.Fatalf("%d bytes", len(body))
				}
			}
			until(t, patience, "bytes are counted that are not held", func() bool { return held.Now() == 0 })
		})
	}
}

// A caller that reads slowly but steadily gets its whole answer.
func TestCallersThatReadSlowlyAreServed(t *testing.T) {
	handler := &longAnswers{}
	s := serveWith(t, handler, room())
	c := dialNarrow(t, s, 64<<10)
	c.ask("/safe/long")
	_ = c.SetReadDeadline(time.Now().Add(giveUpPatience))
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	got := 0
	piece := make([]byte, 54<<10)
	for got < longAnswer {
		count, err := io.ReadFull(response.Body, piece)
		got += count
		if err != nil {
			t.Fatalf("%d bytes came: %v", got, err)
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// A client that takes nothing for longer than streams may stall gets its answer if the
// node holds it whole, also if it is written in pieces.
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
	s := serveWith(t, handler, room())
	c := dialNarrow(t, s, 64<<10)
	c.ask("/safe/long")
	time.Sleep(pause)
	_ = c.SetReadDeadline(time.Now().Add(giveUpPatience))
	if _, body := c.read(); len(body) != pieces*piece {
		t.Fatalf("%d bytes came, want %d", len(body), pieces*piece)
	}
}

// Callers that announce bodies and send nothing take no room for them.
func TestAnnouncedBodiesTakeNoRoomBeforeTheyCome(t *testing.T) {
	const callers, most = 100, 20 << 20
	s := serve(t, room())
	runtime.GC()
	before := memory()
	for range callers {
		s.dial(t).send("POST /unsafe HTTP/1.1\r\nHost: h\r\nContent-Length: 1048576\r\n\r\n")
	}
	// The heads are read within this time.
	time.Sleep(300 * time.Millisecond)
	if now := memory(); now > before+most {
		t.Errorf("%d MB are used for bodies that did not come", (now-before)>>20)
	}
}
