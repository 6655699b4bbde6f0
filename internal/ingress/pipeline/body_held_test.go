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

// Guards against uploads that are refused although the memory of stalled bodies is just being returned for another one.
func TestStalledBodiesGiveTheirMemoryToSeveralOthers(t *testing.T) {
	const length, crowd, others = 800 << 10, 20, 10
	s := startBodyServer(t, crowd*length+length/2)
	for range crowd {
		s.dial(t).post(length, length-1)
	}
	time.Sleep(longerThanStalled)
	statuses := make(chan int, others)
	for range others {
		c := s.dial(t)
		go func() {
			c.post(length, length)
			response, err := http.ReadResponse(c.reader, nil)
			if err != nil {
				statuses <- 0
				return
			}
			statuses <- response.StatusCode
		}()
	}
	refused := 0
	for range others {
		if <-statuses != http.StatusOK {
			refused++
		}
	}
	if refused > 0 {
		t.Errorf("%d of %d uploads are refused while %d stalled bodies are given up", refused, others, crowd)
	}
}
