package dispatch

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/micahaven/micahaven/internal/discovery"
	"github.com/micahaven/micahaven/internal/upstream"
)

// The servers of newTestNodeWithHomes listen nowhere, so this node reaches none of them.

// Guards against refusals of requests whose servers other nodes reach.
func TestRequestGoesThroughAnotherNodeIfThisOneReachesNoServer(t *testing.T) {
	noPath := &Refusal{Reason: ReasonOwnerFailing, Detail: "no path"}
	for name, err := range map[string]error{"at home": ErrAtHome, "no home": ErrNoHome, "home without a path": noPath} {
		for _, service := range []string{"divided", "plain"} {
			w, handover := newTestNodeWithHomes(t, err, warmDivided, warmPlain)
			w.setOwner(t, "s0")
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
	w, handover := newTestNodeWithHomes(t, ErrAtHome, warmDivided)
	w.setOwner(t, "s0")
	handover.elsewhereErr = errors.Wrap(ErrHomeLost, "silent")
	if _, _, err := w.Do(t.Context(), requestFor("divided", false)); !errors.Is(err, ErrUnknown) || errors.Is(err, ErrNotExecuted) {
		t.Errorf("error %v, want an unknown outcome", err)
	}
}

// Guards against requests that wait for servers of which none answers.
func TestRequestIsRefusedAtOnceIfAllServersFail(t *testing.T) {
	w, handover := newTestNodeWithHomes(t, ErrNoHome, warmPlain, warmPlain)
	for _, id := range []discovery.ServerID{"s0", "s1"} {
		for range minFailures {
			w.recordTransportError(w.server(id), upstream.ErrNotSent)
		}
	}
	before := handover.elsewhere
	startedAt := time.Now()
	_, _, err := w.Do(t.Context(), requestFor("plain", true))
	var refusal *Refusal
	if !errors.As(err, &refusal) || refusal.Reason != ReasonServersFailing {
		t.Fatalf("error %v, want a refusal because all servers fail", err)
	}
	const atOnce = 50 * time.Millisecond
	if took := time.Since(startedAt); took > atOnce || handover.elsewhere != before+1 {
		t.Errorf("refused after %v, other nodes asked %d times; want at once and one time", took, handover.elsewhere-before)
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
