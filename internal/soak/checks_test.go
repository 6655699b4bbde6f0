package soak

import (
	"testing"
	"time"

	"github.com/micahaven/micahaven/platform/standin"
)

func TestRequestsWithinASecondAreCountedByServer(t *testing.T) {
	start := time.Unix(1000, 0)
	counts := make(arrivalWindow)
	for index := range 10 {
		arrival := standin.Arrival{Server: "s1", At: start.Add(time.Duration(index) * 100 * time.Millisecond)}
		if got := counts.add(arrival); got != index+1 {
			t.Errorf("%d requests in the window after arrival %d", got, index+1)
		}
	}
	if got := counts.add(standin.Arrival{Server: "s2", At: start.Add(900 * time.Millisecond)}); got != 1 {
		t.Errorf("%d requests at the second server, want 1", got)
	}
	if got := counts.add(standin.Arrival{Server: "s1", At: start.Add(time.Second)}); got != 10 {
		t.Errorf("%d requests in the window, want 10: the first one is a second old", got)
	}
}

func TestSpans(t *testing.T) {
	start := time.Unix(1000, 0)
	ended := span{from: start, until: start.Add(time.Second)}
	lasting := span{from: start}
	for _, test := range []struct {
		name string
		span span
		at   time.Duration
		want bool
	}{
		{"before", ended, -time.Millisecond, false},
		{"within", ended, 500 * time.Millisecond, true},
		{"at its end", ended, time.Second, false},
		{"while it lasts", lasting, time.Hour, true},
	} {
		if got := test.span.contains(start.Add(test.at)); got != test.want {
			t.Errorf("%s: %v, want %v", test.name, got, test.want)
		}
	}
}

func TestUndisturbedTimeRequiresAllNodes(t *testing.T) {
	start := time.Unix(1000, 0)
	var watch backpressureWatch
	watch.observe(start, true)
	watch.observe(start.Add(time.Second), true)
	if !watch.undisturbedFor(start.Add(time.Second), settleTime+time.Second) {
		t.Error("not undisturbed for settleTime plus a second, though the nodes reported it for a second")
	}
	if watch.undisturbedFor(start.Add(time.Second), settleTime+2*time.Second) {
		t.Error("undisturbed for longer than observed")
	}
	watch.observe(start.Add(2*time.Second), false)
	if watch.undisturbedFor(start.Add(3*time.Second), 0) {
		t.Error("undisturbed although a node was disturbed")
	}
}
