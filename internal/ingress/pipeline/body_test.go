package pipeline_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/micahaven/micahaven/internal/ingress/pipeline"
)

// startBodyServer starts a server whose handler answers with the length of the body, and with 503 or 408
// if the body is given up.
func startBodyServer(t *testing.T, limit int64) *testServer {
	t.Helper()
	return startServerWith(t, http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		const whole = 4 << 20
		prefix, err := pipeline.ReadPrefix(writer, request, whole)
		switch {
		case errors.Is(err, pipeline.ErrNoMemory):
			writer.WriteHeader(http.StatusServiceUnavailable)
		case errors.Is(err, pipeline.ErrBodyTimeout):
			writer.WriteHeader(http.StatusRequestTimeout)
		case err != nil:
			panic(http.ErrAbortHandler)
		default:
			fmt.Fprint(writer, len(prefix))
		}
	}), newBudget(), func(s *pipeline.Server) { s.Bodies = pipeline.NewBodyBudget(limit) })
}

func (c *client) post(length int, sent int) {
	c.send(fmt.Sprintf("POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", length, strings.Repeat("x", sent)))
}

// expectStatus reads a response and checks its status, and that the connection ends if that is not 200.
func (c *client) expectStatus(want int) {
	c.t.Helper()
	response, _ := c.read()
	if response.StatusCode != want {
		c.t.Fatalf("status %d, want %d", response.StatusCode, want)
	}
	if want != http.StatusOK && !response.Close {
		c.t.Errorf("the connection stays open after status %d, although the body is unread", want)
	}
}

// Guards against long bodies that keep ordinary requests from being read.
func TestShortBodiesAreReadWithoutMemoryForLongOnes(t *testing.T) {
	s := startBodyServer(t, 0)
	short := s.dial(t)
	const shortLength, longLength = 16 << 10, 64 << 10
	short.post(shortLength, shortLength)
	short.expectStatus(http.StatusOK)
	long := s.dial(t)
	long.post(longLength, longLength)
	long.expectStatus(http.StatusServiceUnavailable)
}

// Guards against stalled bodies that keep the memory of others.
func TestStalledBodyGivesItsMemoryToOthers(t *testing.T) {
	const length = 800 << 10
	s := startBodyServer(t, length+length/2)
	stalled := s.dial(t)
	stalled.post(length, length-1)
	const longerThanStalled = 1500 * time.Millisecond
	time.Sleep(longerThanStalled)
	other := s.dial(t)
	other.post(length, length)
	other.expectStatus(http.StatusOK)
	stalled.expectStatus(http.StatusServiceUnavailable)
}

// Guards against memory that is lost with each body, whole, given up or left by its client.
func TestMemoryOfBodiesIsReturned(t *testing.T) {
	const length, rounds = 800 << 10, 5
	s := startBodyServer(t, 2*length)
	for range rounds {
		whole, left := s.dial(t), s.dial(t)
		whole.post(length, length)
		whole.expectStatus(http.StatusOK)
		left.post(length, length/2)
		// The error of a close has no consequence.
		_ = left.Close()
	}
	const timeout = 5 * time.Second
	for deadline := time.Now().Add(timeout); s.Bodies.Now() > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%d bytes are still charged", s.Bodies.Now())
		}
	}
}

// Guards against bodies that never end.
func TestBodyThatDoesNotArriveIsGivenUp(t *testing.T) {
	s := startBodyServer(t, 1<<20)
	for _, length := range []int{100, 3 << 20} {
		c := s.dial(t)
		c.post(length, 50)
		const idle = 300 * time.Millisecond
		time.Sleep(2 * idle)
		s.InterruptIdleBodies(time.Now(), idle)
		c.expectStatus(http.StatusRequestTimeout)
	}
}

// Guards against long headers that are read without memory for them, and against short ones that are refused.
func TestLongHeaderIsRefusedWithoutMemory(t *testing.T) {
	s := startBodyServer(t, 0)
	const short, long = 2 << 10, 32 << 10
	for length, want := range map[int]int{short: http.StatusOK, long: http.StatusServiceUnavailable} {
		c := s.dial(t)
		c.send("GET /x HTTP/1.1\r\nHost: a\r\nX-Long: " + strings.Repeat("x", length) + "\r\n\r\n")
		c.expectStatus(want)
	}
	if charged := s.Bodies.Now(); charged != 0 {
		t.Errorf("%d bytes are still charged", charged)
	}
}
