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

// Seen on the users' shifted deployment, scale-2: seven servers failed every request at
// once with a 500 and a good health check. They looked like the fastest ones and got five
// times as many requests as the others: 9,922 of 52,077.
func TestServerThatFailsAtOnceIsAvoided(t *testing.T) {
	w := newWarmUpWorld(t, 1, "plain z 0s", "plain z 0s", "plain z 0s")
	now := time.Now()
	request := &Request{Service: "plain", Route: plainRoute()}
	sent := make(map[string]int)
	const requests = 300
	for range requests {
		now = now.Add(10 * time.Millisecond)
		id := w.chooses(now, "plain")
		if id == "" {
			continue
		}
		sent[id]++
		s := w.server(discovery.ServerID(id))
		s.outstanding++
		if id == "s0" {
			w.finish(now, request, s, sending{took: 5 * time.Millisecond}, resultOf(failedOver, &upstream.Answer{Status: 500}))
			continue
		}
		w.finish(now, request, s, sending{took: 100 * time.Millisecond}, resultOf(answered, &upstream.Answer{Status: 200}))
	}
	if sent["s0"] > requests/10 {
		t.Errorf("the server that fails got %d of %d requests: %v", sent["s0"], requests, sent)
	}
	if sent["s0"] == 0 {
		t.Error("the server that fails was never tried")
	}
}

func TestFailuresAreForgotten(t *testing.T) {
	now := time.Now()
	var share failureShare
	for range 20 {
		share.observe(now, true)
	}
	if got := share.now(now); got < 0.9 {
		t.Errorf("share %.2f after 20 failures", got)
	}
	if got := share.now(now.Add(3 * failureMemory)); got > 0.1 {
		t.Errorf("share %.2f long after", got)
	}
	for range 20 {
		share.observe(now, false)
	}
	if got := share.now(now); got > 0.05 {
		t.Errorf("share %.2f after 20 answers", got)
	}
}

// The owner of a key cannot be replaced by another server: one failure of its own does
// not keep the key's other requests away.
func TestOwnerThatFailedARequestGetsTheNextOne(t *testing.T) {
	w := newWarmUpWorld(t, 1, "divided z 0s")
	w.own(t, "s0")
	s := w.server("s0")
	s.outstanding++
	now := time.Now()
	request := &Request{Service: "divided", HasKey: true, Route: plainRoute()}
	w.finish(now, request, s, sending{took: 5 * time.Millisecond}, resultOf(answered, &upstream.Answer{Status: 500}))
	if got := w.chooses(now, "divided"); got != "s0" {
		t.Errorf("%q gets the next request, want the owner", got)
	}
}
