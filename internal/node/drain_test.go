package node

import (
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/micahaven/micahaven/internal/entry"
)

// workLonger is longer than a node that stops waits for its callers, and not by much, because
// the test waits for its end.
const workLonger = 15 * time.Second

// follower returns a node that does not lead a group.
func (s *system) follower(group string) *Node {
	for _, candidate := range s.nodes {
		view, _ := candidate.views.Leader(group)
		if view != nil && view.GetLeader().GetNode() != candidate.self.GetNode() {
			return candidate
		}
	}
	s.t.Fatalf("no node follows group %s", group)
	return nil
}

// A node that stops answers its callers before it closes their connections, and takes
// part in its groups until it has.
func TestDrainAnswersCallersWhoseRequestsRunOn(t *testing.T) {
	s := startSystemOf(t, workLonger)
	stopping := s.follower("formula")
	addresses := stopping.Addresses()
	request, err := http.NewRequest(http.MethodPost, "http://"+addresses.Callers+"/formula/red", strings.NewReader(""))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set(entry.HeaderDeadline, "1h")
	request.Header.Set(entry.HeaderIdempotencyKey, "k")
	type result struct {
		response *http.Response
		err      error
	}
	answered := make(chan result, 1)
	go func() {
		response, err := http.DefaultClient.Do(request)
		answered <- result{response, err}
	}()
	// The request is at its server within this time.
	time.Sleep(500 * time.Millisecond)
	drained := make(chan struct{})
	go func() {
		defer close(drained)
		stopping.Drain()
	}()
	// The groups are handed over within this time, and the request still runs.
	time.Sleep(3 * time.Second)
	if peer, err := net.Dial("tcp", addresses.Nodes); err != nil {
		t.Errorf("the node has left its groups while it drains: %v", err)
	} else {
		peer.Close()
	}
	select {
	case got := <-answered:
		if got.err != nil {
			t.Fatal(got.err)
		}
		defer got.response.Body.Close()
		if outcome := got.response.Header.Get(entry.HeaderOutcome); outcome != entry.OutcomeUnknown {
			t.Errorf("%d with outcome %q, want %q", got.response.StatusCode, outcome, entry.OutcomeUnknown)
		}
	case <-time.After(shutdownLimit + time.Second):
		t.Error("no answer when connections are closed")
	}
	<-drained
}
