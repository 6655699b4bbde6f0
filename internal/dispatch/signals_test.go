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

// newSignalHeaders returns headers that parse the signals of servers that are leaving or ask
// for a backoff of one minute.
func newSignalHeaders() Headers {
	return Headers{Signature: "Signed", Signals: func(_ int, answer http.Header) backpressure.Signals {
		signals := backpressure.Signals{Leaving: answer.Get("Leaving") != ""}
		if answer.Get("Rest") != "" {
			signals.Rest = time.Minute
		}
		return signals
	}}
}

// A node that hands requests off to a server's home also sees the server's responses, and
// sends large requests to the server itself. It applies the signals in those responses
// without a notification from the home.
func TestAnswersOfHomesTellWhatServersAsk(t *testing.T) {
	w, handover := newTestNodeWithHomes(t, nil, warmDivided)
	w.headers = newSignalHeaders()
	w.setOwner(t, "s0")
	var told []discovery.ServerID
	w.SetSignalFunc(func(server discovery.ServerID, _ Signal) { told = append(told, server) })
	handover.trace.Server = "s0"
	handover.answer = &upstream.Response{Status: http.StatusOK, Header: http.Header{"Signed": {"by s0"}, "Leaving": {"1"}}}
	for range 2 {
		if _, _, err := w.Do(t.Context(), requestFor("divided", true)); err != nil {
			t.Fatal(err)
		}
	}
	if w.builder.Current().Servers.Get("s0").DrainingSince.IsZero() {
		t.Error("the server isn't draining")
	}
	if len(told) != 1 {
		t.Errorf("the other nodes were notified %d times, want once", len(told))
	}
}

// A 421 shows that another server has the address now, so its signals are ignored.
func TestAnswersOfOtherServersAskNothing(t *testing.T) {
	w, handover := newTestNodeWithHomes(t, nil, warmDivided)
	w.headers = newSignalHeaders()
	w.setOwner(t, "s0")
	handover.trace.Server = "s0"
	handover.answer = &upstream.Response{Status: http.StatusMisdirectedRequest, Header: http.Header{"Leaving": {"1"}}}
	if _, _, err := w.Do(t.Context(), requestFor("divided", true)); err != nil {
		t.Fatal(err)
	}
	if !w.builder.Current().Servers.Get("s0").DrainingSince.IsZero() {
		t.Error("the server is draining")
	}
}

// A successful response that was in flight ends the backoff after failures, but not the
// backoff that the server asked for. A shorter backoff requested later does not end it
// either.
func TestNothingButTimeEndsARest(t *testing.T) {
	w := newTestNode(t, 0, warmPlain)
	s := w.server("s0")
	now := time.Now()
	const asked = 3 * time.Second
	s.extendBackoff(now, asked)
	s.extendBackoff(now, time.Second)
	s.recordSuccess(now, time.Millisecond, time.Second, nil)
	if s.usable(now.Add(asked-time.Millisecond), 0) || w.chooseID(now, "plain") != "" {
		t.Error("the server is used during its backoff")
	}
	if !s.usable(now.Add(asked), 0) || w.chooseID(now.Add(asked), "plain") != "s0" {
		t.Error("the server isn't used after its backoff")
	}
}

// Requests for keys whose owner asked for a backoff are refused at once, and clients are
// told when it ends.
func TestCallersOfARestingOwnerAreRefusedAtOnce(t *testing.T) {
	w := newTestNode(t, 0, warmDivided)
	w.setOwner(t, "s0")
	const asked = time.Minute
	w.server("s0").extendBackoff(time.Now(), asked)
	began := time.Now()
	_, _, err := w.Do(t.Context(), requestFor("divided", true))
	var refusal *Refusal
	if !errors.As(err, &refusal) || refusal.Reason != ReasonOwnerResting {
		t.Fatalf("error %v, want a refusal because of the backoff of the owner", err)
	}
	if took := time.Since(began); took > 100*time.Millisecond {
		t.Errorf("refused after %v", took)
	}
	if refusal.RetryAfter < asked-time.Second {
		t.Errorf("retry after %v, although the owner asked for a backoff of %v", refusal.RetryAfter, asked)
	}
}

// A requested backoff applies only to the node whose request was rejected.
func TestRestThatAHomeWasAskedForIsNotThisNodes(t *testing.T) {
	w, handover := newTestNodeWithHomes(t, nil, warmDivided)
	w.headers = newSignalHeaders()
	w.setOwner(t, "s0")
	handover.trace.Server = "s0"
	handover.answer = &upstream.Response{Status: http.StatusServiceUnavailable, Header: http.Header{"Rest": {"1"}}}
	if _, _, err := w.Do(t.Context(), requestFor("divided", true)); err != nil {
		t.Fatal(err)
	}
	if !w.server("s0").requestedBackoffUntil.IsZero() {
		t.Error("the node applies a backoff that the home was asked for")
	}
}

func TestRestingServersAreNotProbed(t *testing.T) {
	w := newTestNode(t, 10, warmPlain)
	s := w.server("s0")
	now := time.Now()
	if !w.probeIsDue(now, w.views.Current(), s) {
		t.Fatal("the server isn't probed at all")
	}
	s.extendBackoff(now, time.Second)
	if w.probeIsDue(now, w.views.Current(), s) {
		t.Error("the server is probed during its backoff")
	}
}
