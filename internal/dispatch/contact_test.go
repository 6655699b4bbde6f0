package dispatch

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/micahaven/micahaven/internal/discovery"
	"github.com/micahaven/micahaven/internal/upstream"
)

// The servers of newTestNodeWithHomes listen nowhere, so this node reaches none of them.

// loseContact makes the servers s0 and s1 fail, and no other one answer.
func (w *testNode) loseContact() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for _, id := range []discovery.ServerID{"s0", "s1"} {
		w.recordNoContact(time.Now(), w.server(id))
	}
}

// Guards against refusals of requests whose servers other nodes reach.
func TestRequestGoesThroughAnotherNodeIfThisOneReachesNoServer(t *testing.T) {
	noPath := &Refusal{Reason: ReasonNoPath, Detail: "no path"}
	for name, err := range map[string]error{"at home": ErrAtHome, "no home": ErrNoHome, "home without a path": noPath} {
		for _, service := range []string{"divided", "plain"} {
			w, handover := newTestNodeWithHomes(t, err, warmDivided, warmPlain)
			w.setOwner(t, "s0")
			w.loseContact()
			handover.elsewhereAnswer = &upstream.Response{Status: 200}
			answer, _, err := w.Do(t.Context(), requestFor(service, false))
			if err != nil || answer.Status != 200 || handover.elsewhere != 1 {
				t.Errorf("%s, %s: answer %v, error %v, other nodes asked %d times", name, service, answer, err, handover.elsewhere)
			}
		}
	}
}

// Guards against a promise that a request has not run although a substitute may have sent it.
func TestUnsafeRequestOfALostSubstituteIsUnknown(t *testing.T) {
	w, handover := newTestNodeWithHomes(t, ErrAtHome, warmDivided, warmDivided)
	w.setOwner(t, "s0")
	w.loseContact()
	handover.elsewhereErr = errors.Wrap(ErrHomeLost, "silent")
	if _, _, err := w.Do(t.Context(), requestFor("divided", false)); !errors.Is(err, ErrUnknown) || errors.Is(err, ErrNotExecuted) {
		t.Errorf("error %v, want an unknown outcome", err)
	}
}

// Guards against requests that wait, or try one server after the other, on a node that reaches none.
func TestRequestIsRefusedAtOnceWithoutContact(t *testing.T) {
	w, handover := newTestNodeWithHomes(t, ErrNoHome, warmPlain, warmPlain)
	w.loseContact()
	startedAt := time.Now()
	_, trace, err := w.Do(t.Context(), requestFor("plain", true))
	var refusal *Refusal
	if !errors.As(err, &refusal) || refusal.Reason != ReasonNoPath {
		t.Fatalf("error %v, want a refusal for want of a path", err)
	}
	const atOnce = 50 * time.Millisecond
	if took := time.Since(startedAt); took > atOnce || handover.elsewhere != 1 || trace.NotSent > 0 {
		t.Errorf("refused after %v and %d tries, other nodes asked %d times; want at once, none, once", took, trace.NotSent, handover.elsewhere)
	}
}

// Guards against a crashed server that is looked for on every node.
func TestFailingServerIsNoLossOfContactWhileOthersAnswer(t *testing.T) {
	w, _ := newTestNodeWithHomes(t, ErrNoHome, warmPlain, warmPlain, warmPlain)
	w.loseContact()
	if !w.ReachesNoServer("plain") {
		t.Fatal("contact is not lost although no server answers")
	}
	now := time.Now()
	w.mutex.Lock()
	w.recordAnswer(now, w.server("s2"))
	w.recordNoContact(now, w.server("s0"))
	w.recordNoContact(now, w.server("s1"))
	w.mutex.Unlock()
	if w.ReachesNoServer("plain") {
		t.Error("contact counts as lost although a server has just answered")
	}
}

// Guards against a node that sends nothing after its path has come back.
func TestContactIsRestoredByAConnection(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	w, _ := newTestNodeWithHomes(t, ErrNoHome, warmPlain, warmPlain)
	w.loseContact()
	for _, id := range []discovery.ServerID{"s0", "s1"} {
		w.server(id).pool = upstream.NewPool(listener.Addr().String(), w.link)
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _ = w.Run(ctx) }()
	for deadline := time.Now().Add(2 * time.Second); w.ReachesNoServer("plain"); {
		if time.Now().After(deadline) {
			t.Fatal("contact is still lost after 2 s")
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// Guards against a substitute that declines because it is no home.
func TestSubstituteNeedNotBeAHome(t *testing.T) {
	w, _ := newTestNodeWithHomes(t, ErrNoHome, "plain y 0s")
	request := requestFor("plain", true)
	if w.Takes(request, Destination{}) || !w.Takes(request, Destination{Substitute: true}) {
		t.Error("a node that is no home takes requests only as a substitute")
	}
}
