package dispatch

import (
	"testing"
	"time"

	"github.com/micahaven/micahaven/internal/discovery"
	"github.com/micahaven/micahaven/internal/routing"
	"github.com/micahaven/micahaven/internal/upstream"
)

func plainRoute() *routing.Route {
	return &routing.Route{Objective: 500 * time.Millisecond, Timeout: time.Second, MaxAttempts: 2}
}

// Guards against preferring servers that fail immediately because they look fast. On the
// shifted deployment, scenario scale-2, seven servers answered every request at once with a
// 500 while their health checks passed, and got five times as many requests as the others:
// 9,922 of 52,077.
func TestServerThatFailsAtOnceIsAvoided(t *testing.T) {
	w := newTestNode(t, 1, "plain z 0s", "plain z 0s", "plain z 0s")
	now := time.Now()
	request := &Request{Service: "plain", Route: plainRoute()}
	sent := make(map[string]int)
	const requests = 300
	for range requests {
		now = now.Add(10 * time.Millisecond)
		id := w.chooseID(now, "plain")
		if id == "" {
			continue
		}
		sent[id]++
		s := w.server(discovery.ServerID(id))
		s.outstanding++
		if id == "s0" {
			w.finish(now, request, s, sentAttempt{elapsed: 5 * time.Millisecond}, resultOf(failed, &upstream.Response{Status: 500}))
			continue
		}
		w.finish(now, request, s, sentAttempt{elapsed: 100 * time.Millisecond}, resultOf(answered, &upstream.Response{Status: 200}))
	}
	if sent["s0"] > requests/10 {
		t.Errorf("the failing server got %d of %d requests: %v", sent["s0"], requests, sent)
	}
	if sent["s0"] == 0 {
		t.Error("the failing server was never tried")
	}
}

func TestFailuresAreForgotten(t *testing.T) {
	now := time.Now()
	var share failureRate
	for range 20 {
		share.observe(now, true)
	}
	if got := share.now(now); got < 0.9 {
		t.Errorf("failure rate %.2f after 20 failures", got)
	}
	if got := share.now(now.Add(3 * failureMemory)); got > 0.1 {
		t.Errorf("failure rate %.2f after three time constants", got)
	}
	for range 20 {
		share.observe(now, false)
	}
	if got := share.now(now); got > 0.05 {
		t.Errorf("failure rate %.2f after 20 responses", got)
	}
}

// No other server can replace the owner of a key, so a single error response of the owner
// does not block the key's next requests.
func TestOwnerThatFailedARequestGetsTheNextOne(t *testing.T) {
	w := newTestNode(t, 1, "divided z 0s")
	w.setOwner(t, "s0")
	s := w.server("s0")
	s.outstanding++
	now := time.Now()
	request := &Request{Service: "divided", HasKey: true, Route: plainRoute()}
	w.finish(now, request, s, sentAttempt{elapsed: 5 * time.Millisecond}, resultOf(answered, &upstream.Response{Status: 500}))
	if got := w.chooseID(now, "divided"); got != "s0" {
		t.Errorf("chose %q for the next request, want the owner", got)
	}
}
