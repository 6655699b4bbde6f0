package dispatch

import (
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/micahaven/micahaven/internal/backpressure"
	"github.com/micahaven/micahaven/internal/discovery"
	"github.com/micahaven/micahaven/internal/upstream"
)

// signalHeaders reads the words of servers that leave or ask for a minute of rest.
func signalHeaders() Headers {
	return Headers{Signature: "Signed", Signals: func(_ int, answer http.Header) backpressure.Signals {
		signals := backpressure.Signals{Leaving: answer.Get("Leaving") != ""}
		if answer.Get("Rest") != "" {
			signals.Rest = time.Minute
		}
		return signals
	}}
}

// A node that hands its requests over to a server's home passes its answers on too, and sends
// large requests itself: it must not need a notice of the home to know what they say.
func TestAnswersOfHomesTellWhatServersAsk(t *testing.T) {
	w, handover := worldWithHomes(t, nil, warmDivided)
	w.headers = signalHeaders()
	w.own(t, "s0")
	var told []discovery.ServerID
	w.SetSignalled(func(server discovery.ServerID, _ Signal) { told = append(told, server) })
	handover.trace.Server = "s0"
	handover.answer = &upstream.Answer{Status: http.StatusOK, Header: http.Header{"Signed": {"by s0"}, "Leaving": {"1"}}}
	for range 2 {
		if _, _, err := w.Do(t.Context(), requestFor("divided", true)); err != nil {
			t.Fatal(err)
		}
	}
	if w.builder.Current().Servers.Get("s0").DrainingSince.IsZero() {
		t.Error("the server isn't draining")
	}
	if len(told) != 1 {
		t.Errorf("the other nodes are told %d times, want once", len(told))
	}
}

// A status that says that another server has the address now says nothing of this one.
func TestAnswersOfOtherServersAskNothing(t *testing.T) {
	w, handover := worldWithHomes(t, nil, warmDivided)
	w.headers = signalHeaders()
	w.own(t, "s0")
	handover.trace.Server = "s0"
	handover.answer = &upstream.Answer{Status: http.StatusMisdirectedRequest, Header: http.Header{"Leaving": {"1"}}}
	if _, _, err := w.Do(t.Context(), requestFor("divided", true)); err != nil {
		t.Fatal(err)
	}
	if !w.builder.Current().Servers.Get("s0").DrainingSince.IsZero() {
		t.Error("the server is draining")
	}
}

// A success that was on its way ends the pause after failures, but not the rest that the
// server asked for; nor does a shorter rest that it asks for later.
func TestNothingButTimeEndsARest(t *testing.T) {
	w := newWarmUpWorld(t, 0, warmPlain)
	s := w.server("s0")
	now := time.Now()
	const asked = 3 * time.Second
	s.rest(now, asked)
	s.rest(now, time.Second)
	s.succeeded(now, time.Millisecond, time.Second, nil)
	if s.usable(now.Add(asked-time.Millisecond), 0) || w.chooses(now, "plain") != "" {
		t.Error("the server is used in its rest")
	}
	if !s.usable(now.Add(asked), 0) || w.chooses(now.Add(asked), "plain") != "s0" {
		t.Error("the server isn't used after its rest")
	}
}

// Callers of a resting owner are refused at once, and told when it is over.
func TestCallersOfARestingOwnerAreRefusedAtOnce(t *testing.T) {
	w := newWarmUpWorld(t, 0, warmDivided)
	w.own(t, "s0")
	const asked = time.Minute
	w.server("s0").rest(time.Now(), asked)
	began := time.Now()
	_, _, err := w.Do(t.Context(), requestFor("divided", true))
	var refusal *Refusal
	if !errors.As(err, &refusal) || refusal.Reason != ReasonOwnerResting {
		t.Fatalf("error %v, want a refusal because the owner rests", err)
	}
	if took := time.Since(began); took > 100*time.Millisecond {
		t.Errorf("refused after %v", took)
	}
	if refusal.RetryAfter < asked-time.Second {
		t.Errorf("come back after %v, although the owner rests for %v", refusal.RetryAfter, asked)
	}
}

// Rest is between a server and the node that it turned away.
func TestRestThatAHomeWasAskedForIsNotThisNodes(t *testing.T) {
	w, handover := worldWithHomes(t, nil, warmDivided)
	w.headers = signalHeaders()
	w.own(t, "s0")
	handover.trace.Server = "s0"
	handover.answer = &upstream.Answer{Status: http.StatusServiceUnavailable, Header: http.Header{"Rest": {"1"}}}
	if _, _, err := w.Do(t.Context(), requestFor("divided", true)); err != nil {
		t.Fatal(err)
	}
	if !w.server("s0").restUntil.IsZero() {
		t.Error("the node keeps a rest that its home was asked for")
	}
}

func TestRestingServersAreNotProbed(t *testing.T) {
	w := newWarmUpWorld(t, 10, warmPlain)
	s := w.server("s0")
	now := time.Now()
	if !w.probeIsDue(now, w.views.Current(), s) {
		t.Fatal("the server isn't probed at all")
	}
	s.rest(now, time.Second)
	if w.probeIsDue(now, w.views.Current(), s) {
		t.Error("the server is probed in its rest")
	}
}
