package soak

import (
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/micahaven/micahaven/platform/standin"
)

// Guards against crashes in the soak that no node can recognize.
func TestServerCrashedByARequestRefusesConnections(t *testing.T) {
	w, err := newWorld(1)
	if err != nil {
		t.Fatal(err)
	}
	defer w.close()
	crashed := w.pick(rand.New(rand.NewPCG(1, 1)), standin.PlainService)
	const path = "/reads/" + crashPathPrefix + "1"
	w.addCrashing(path, &crashRecord{point: crashPoint{silent: true}})
	response, err := http.Get("http://" + crashed.AnnouncedAddress + path)
	if err == nil {
		_ = response.Body.Close()
		t.Errorf("status %d, want a closed connection", response.StatusCode)
	}
	connection, err := net.Dial("tcp", crashed.AnnouncedAddress)
	if err == nil {
		_ = connection.Close()
	}
	if !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("new connection: %v, want it refused", err)
	}
}

func TestCrashesAreLateAfterThreeOnUndisturbedNodes(t *testing.T) {
	start := time.Unix(1000, 0)
	every := func(interval time.Duration, count int) []time.Time {
		var times []time.Time
		for index := range count {
			times = append(times, start.Add(time.Duration(index)*interval))
		}
		return times
	}
	for _, test := range []struct {
		name  string
		times []time.Time
		from  time.Duration
		want  int
	}{
		{"three crashes", every(time.Second, 3), 0, 0},
		{"within settleTime after the third", every(time.Second, 6), 0, 0},
		{"later", every(time.Second, 10), 0, 4},
		{"some before the nodes were undisturbed", every(time.Second, 10), 7 * time.Second, 2},
		{"a third one before the nodes were undisturbed", every(time.Second, 10), 3 * time.Second, 4},
		{"none", nil, 0, 0},
	} {
		if got := lateCrashes(test.times, start.Add(test.from)); got != test.want {
			t.Errorf("%s: %d late crashes, want %d", test.name, got, test.want)
		}
	}
}

func TestCrashPointsSendTheirPartOfTheResponse(t *testing.T) {
	for _, point := range crashPoints {
		recorder := httptest.NewRecorder()
		point.respond(recorder, "s1")
		if got := recorder.Body.Len(); got != point.before {
			t.Errorf("%s: %d bytes sent, want %d", point.name, got, point.before)
		}
		if recorder.Flushed == point.silent {
			t.Errorf("%s: flushed is %v", point.name, recorder.Flushed)
		}
	}
	if !slices.ContainsFunc(crashPoints, func(p crashPoint) bool { return p.silent }) {
		t.Error("no crash before the response")
	}
}
