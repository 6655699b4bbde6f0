package soak_test

import (
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/micahaven/micahaven/internal/soak"
)

// play builds the real program and plays a round with it.
func play(t *testing.T, options soak.Options) *soak.Result {
	t.Helper()
	options.Folder, options.Output = t.TempDir(), t.Output()
	options.Router = filepath.Join(options.Folder, "router")
	build := exec.Command("go", "build", "-o", options.Router, "../../cmd/micahaven-router")
	if output, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build the router: %v\n%s", err, output)
	}
	result, err := soak.Run(options)
	if err != nil {
		t.Fatal(err)
	}
	if result.Faults == 0 || result.Served == 0 {
		t.Fatalf("%d faults, %d requests served", result.Faults, result.Served)
	}
	for _, breach := range result.Breaches {
		t.Error(breach)
	}
	return result
}

// A short round; scripts/soak.sh plays long ones.
func TestPromisesHoldUnderFaults(t *testing.T) {
	play(t, soak.Options{Seed: 101, Nodes: 3, Length: 10 * time.Second})
}

// Rolling restarts that overlap, beside servers that misbehave, with clients that
// account for each request. The round takes a minute and plays each kind of trouble.
func TestPlannedWorkLosesNoRequest(t *testing.T) {
	const (
		troubles = 5
		length   = 45 * time.Second
	)
	result := play(t, soak.Options{Seed: 201, Nodes: 4, Length: length, Planned: true})
	t.Logf("%d processes, %d started, %d series, %d requests, %d lost, longest stop %v, ends: %v",
		result.Processes, result.Started, result.Faults, result.Requests, result.Lost, result.LongestStop, result.Ends)
	if result.Faults < troubles {
		t.Errorf("%d series, want one at least for each of %d troubles", result.Faults, troubles)
	}
}

// Servers that ask for limits, rest and an end in their answers, and that crash of some
// requests, beside random faults.
func TestServersGetWhatTheyAskForUnderFaults(t *testing.T) {
	play(t, soak.Options{Seed: 1, Nodes: 4, Length: 25 * time.Second, Needs: true})
}

// A store that comes back from older copies of itself, beside random faults.
func TestPromisesHoldWhenTheStoreIsRestored(t *testing.T) {
	play(t, soak.Options{Seed: 1, Nodes: 4, Length: 20 * time.Second, Restores: true})
}
