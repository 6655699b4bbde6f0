package dispatch

import (
	"context"
	"net/http"
	"testing"
	"time"
)

// The server that is chosen first may be too slow for a stopping node, and another one
// not.
func TestStoppingNodeTurnsToAServerThatAnswersInTime(t *testing.T) {
	d, arrived := stopping(t, func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set("Signature", "signed")
	})
	// The fast one is in another zone, which makes it count four times as slow.
	d.server("a").latency = 1
	slow, slowArrived := stopping(t, untilLeft)
	other := slow.server("a")
	other.id, other.latency = "b", 3
	view := *other.Server
	view.ID, view.Zone = "b", d.options.Zone
	near := d.server("a")
	far := *near.Server
	far.Zone = "far"
	d.drop(near)
	near.Server, near.of, near.pool = &far, nil, nil
	other.Server, other.of, other.countedSlots = &view, nil, 0
	for _, s := range []*server{near, other} {
		d.include(time.Now(), d.views.Current(), s)
		d.prefer(s.of)
	}
	d.EndBy(time.Now().Add(2 * time.Second))
	request := patient()
	request.ID = ""
	_, _, err := d.Do(context.Background(), request)
	if err != nil || arrived.Load() != 1 || slowArrived.Load() != 0 {
		t.Errorf("%v with %d requests at the fast server and %d at the slow one", err, arrived.Load(), slowArrived.Load())
	}
}
