package soak_test

import (
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/micahaven/micahaven/internal/soak"
)

// runSoak builds the router, runs a soak with it, and fails the test on each violation.
func runSoak(t *testing.T, options soak.Options) *soak.Result {
	t.Helper()
	options.Folder, options.Output = t.TempDir(), t.Output()
	options.Router = filepath.Join(options.Folder, "router")
	build := exec.Command("go", "build", "-o", options.Router, "../../cmd/micahaven-router")
	if output, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build router: %v\n%s", err, output)
	}
	result, err := soak.Run(options)
	if err != nil {
		t.Fatal(err)
	}
	if result.Faults == 0 || result.Served == 0 {
		t.Fatalf("%d faults injected, %d requests served, want some of both", result.Faults, result.Served)
	}
	for _, breach := range result.Breaches {
		t.Error(breach)
	}
	return result
}

// A short run with random faults; scripts/soak.sh does long ones.
func TestPromisesHoldUnderFaults(t *testing.T) {
	runSoak(t, soak.Options{Seed: 101, Nodes: 3, Length: 10 * time.Second})
}

// Overlapping rolling restarts while servers misbehave, with clients that account for each
// request. The run takes a minute and covers each kind of server fault.
func TestPlannedWorkLosesNoRequest(t *testing.T) {
	const (
		serverFaults = 5
		length       = 45 * time.Second
	)
	result := runSoak(t, soak.Options{Seed: 201, Nodes: 4, Length: length, Planned: true})
	t.Logf("%d processes, %d started, %d series, %d requests, %d lost, longest stop %v, ends: %v",
		result.Processes, result.Started, result.Faults, result.Requests, result.Lost, result.LongestStop, result.Ends)
	if result.Faults < serverFaults {
		t.Errorf("%d series, want at least one for each of %d server faults", result.Faults, serverFaults)
	}
}

// Servers that signal rate limits, backoff and draining in their responses and crash on some
// requests, in addition to random faults.
func TestServersGetWhatTheyAskForUnderFaults(t *testing.T) {
	runSoak(t, soak.Options{Seed: 1, Nodes: 4, Length: 25 * time.Second, Needs: true})
}

// A store that is restored from older snapshots, in addition to random faults.
func TestPromisesHoldWhenTheStoreIsRestored(t *testing.T) {
	runSoak(t, soak.Options{Seed: 1, Nodes: 4, Length: 20 * time.Second, Restores: true})
}

// Guards against keys that are granted to others while a server that nobody knows since a restore
// of the store may hold them.
func TestNoKeyHasTwoHoldersWhenAnAddedServerIsLostInARestore(t *testing.T) {
	result := runSoak(t, soak.Options{Seed: 1010, Nodes: 5, Length: 10 * time.Second, Drills: true})
	if result.Drills == 0 {
		t.Error("no drill was played")
	}
}

// Guards against owners that change without a release because a server has restarted.
func TestNoKeyHasTwoHoldersWhenServersRestart(t *testing.T) {
	runSoak(t, soak.Options{Seed: 102, Nodes: 4, Length: 3500 * time.Millisecond, Restarts: true})
}

// Guards against owners that change while grants of a manager that ended or stalled are still valid.
func TestNoKeyHasTwoHoldersWhenManagersEnd(t *testing.T) {
	runSoak(t, soak.Options{Seed: 501, Nodes: 5, Length: 9 * time.Second, Managers: true})
}
