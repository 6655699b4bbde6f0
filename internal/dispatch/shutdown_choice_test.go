package dispatch

import (
	"context"
	"net/http"
	"testing"
	"time"
)

// If the preferred server is too slow for a node that is shutting down, a faster one is
// chosen.
func TestStoppingNodeTurnsToAServerThatAnswersInTime(t *testing.T) {
	d, arrived := newSingleServerDispatcher(t, func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set("Signature", "signed")
	})
	// The fast server is in another zone, which multiplies its cost by four.
	d.server("a").latency = 1
	slow, slowArrived := newSingleServerDispatcher(t, blockUntilCanceled)
	other := slow.server("a")
	other.id, other.latency = "b", 3
	view := *other.Server
	view.ID, view.Zone = "b", d.options.Zone
	near := d.server("a")
	far := *near.Server
	far.Zone = "far"
	d.removeServer(near)
	near.Server, near.svc, near.pool = &far, nil, nil
	other.Server, other.svc, other.eligibleSlots = &view, nil, 0
	for _, s := range []*server{near, other} {
		d.reindex(time.Now(), d.views.Current(), s)
		d.selectPreferred(s.svc)
	}
	d.ShutDownBy(time.Now().Add(2 * time.Second))
	request := longRequest()
	request.ID = ""
	_, _, err := d.Do(context.Background(), request)
	if err != nil || arrived.Load() != 1 || slowArrived.Load() != 0 {
		t.Errorf("error %v with %d requests at the fast server and %d at the slow one, want 1 and 0", err, arrived.Load(), slowArrived.Load())
	}
}
