package dispatch

import (
	"net/http"
	"testing"

	"github.com/micahaven/micahaven/internal/backpressure"
	"github.com/micahaven/micahaven/internal/discovery"
	"github.com/micahaven/micahaven/internal/upstream"
)

// leavingHeaders reads a word of servers that leave.
func leavingHeaders() Headers {
	return Headers{Signature: "Signed", Signals: func(_ int, answer http.Header) backpressure.Signals {
		return backpressure.Signals{Leaving: answer.Get("Leaving") != ""}
	}}
}

// A node that hands its requests over to a server's home passes its answers on too, and sends
// large requests itself: it must not need a notice of the home to know what they say.
func TestAnswersOfHomesTellWhatServersAsk(t *testing.T) {
	w, handover := worldWithHomes(t, nil, warmDivided)
	w.headers = leavingHeaders()
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
	w.headers = leavingHeaders()
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
