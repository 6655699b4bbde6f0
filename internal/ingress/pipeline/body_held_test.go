package pipeline_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/micahaven/micahaven/internal/ingress/pipeline"
)

const longerThanStalled = 1500 * time.Millisecond

// startStreamingServer starts a server whose handler reads the beginning of a body with ReadPrefix and then the rest, like
// a request that is passed on while its body arrives. Requests for /slow wait until the test ends.
func startStreamingServer(t *testing.T, prefixBytes int, limit int64) *testServer {
	t.Helper()
	ended := make(chan struct{})
	s := startServerWith(t, http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if request.URL.Path == "/slow" {
			<-ended
			return
		}
		if _, err := pipeline.ReadPrefix(writer, request, prefixBytes); err != nil {
			writer.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			panic(http.ErrAbortHandler)
		}
	}), newBudget(), func(s *pipeline.Server) { s.Bodies = pipeline.NewBodyBudget(limit) })
	t.Cleanup(func() { close(ended) })
	return s
}

// Guards against a body that stops behind its buffered part and keeps the memory of that part from others.
func TestBodyThatStallsWhileItIsStreamedGivesItsMemoryToOthers(t *testing.T) {
	const prefixBytes, length = 1 << 20, 800 << 10
	s := startStreamingServer(t, prefixBytes, prefixBytes*3/2)
	stalled := s.dial(t)
	stalled.post(2*prefixBytes, prefixBytes+1)
	time.Sleep(longerThanStalled)
	other := s.dial(t)
	other.post(length, length)
	other.expectStatus(http.StatusOK)
}

// Guards against a body that is given up and keeps its memory until earlier requests of its connection are answered.
func TestBodyGivenUpBehindASlowRequestGivesItsMemoryToOthers(t *testing.T) {
	const length = 800 << 10
	s := startStreamingServer(t, length, length*3/2)
	stalled := s.dial(t)
	stalled.get("/slow")
	stalled.send(fmt.Sprintf("POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", length, strings.Repeat("x", length-1)))
	time.Sleep(longerThanStalled)
	other := s.dial(t)
	other.post(length, length)
	other.expectStatus(http.StatusOK)
}
