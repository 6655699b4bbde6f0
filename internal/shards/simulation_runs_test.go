package shards_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/micahaven/micahaven/internal/shards"
)

var simulationRuns = flag.Uint64("simulation.runs", 300, "runs of the ownership simulation")

const simulationSteps = 1200

// firstViolation runs the simulation with the seeds from 0 to runs-1 and returns the first
// violation, or an empty string.
func firstViolation(runs uint64, options shards.Options) string {
	return firstViolationWith(runs, options, restoreFaults{})
}

func firstViolationWith(runs uint64, options shards.Options, faults restoreFaults) string {
	return firstViolationIn(runs, func(seed uint64) *simulation {
		w := newSimulation(seed, options)
		w.restoreFaults = faults
		return w
	})
}

func firstViolationIn(runs uint64, create func(seed uint64) *simulation) string {
	for seed := range runs {
		w := create(seed)
		faults := w.restoreFaults
		if faults.quick {
			w.authority, w.minDelay, w.maxDelay = quickAuthority, quickMaxDelay/4, quickMaxDelay
		}
		for range simulationSteps {
			w.tick()
			if w.violation != "" {
				return fmt.Sprintf("seed %d %s", seed, w.violation)
			}
		}
	}
	return ""
}

func TestNoKeyHasTwoHolders(t *testing.T) {
	if violation := firstViolation(*simulationRuns, shards.DefaultOptions()); violation != "" {
		t.Fatal(violation)
	}
}

// requireOneHolder runs the simulation with the faults that configure adds, with and without restores
// of the store.
func requireOneHolder(t *testing.T, configure func(*simulation)) {
	t.Helper()
	t.Parallel()
	for _, faults := range []restoreFaults{{}, {perMille: 10}} {
		violation := firstViolationIn(*simulationRuns, func(seed uint64) *simulation {
			w := newSimulation(seed, shards.DefaultOptions())
			w.restoreFaults = faults
			configure(w)
			return w
		})
		if violation != "" {
			t.Errorf("restores %v: %s", faults.perMille > 0, violation)
		}
	}
}

// Guards against grants that count as executed or lost because their connection was closed.
func TestNoKeyHasTwoHoldersWhenLateServersCloseConnections(t *testing.T) {
	requireOneHolder(t, func(w *simulation) {
		w.closesConnections = true
	})
}

// Guards against a manager that ends before it knows that a grant of it is unanswered.
func TestNoKeyHasTwoHoldersWhenManagersEndBehindUnansweredGrants(t *testing.T) {
	requireOneHolder(t, func(w *simulation) {
		w.callTimeout = shards.DefaultOptions().CallTimeout
	})
}

// Guards against owners that change without a release because a server has restarted.
func TestNoKeyHasTwoHoldersWhenServersRestart(t *testing.T) {
	requireOneHolder(t, func(w *simulation) {
		w.restarts = true
	})
}

// Guards against a manager without the store that renews a grant at a restarted server.
func TestNoKeyHasTwoHoldersWhenServersRestartBesideALostManager(t *testing.T) {
	requireOneHolder(t, func(w *simulation) {
		w.restarts, w.restartsAnytime = true, true
	})
}

// Guards against resignations that pass on less than the next manager must wait for.
func TestNoKeyHasTwoHoldersWhenManagersResign(t *testing.T) {
	requireOneHolder(t, func(w *simulation) {
		w.callTimeout, w.closesConnections = shards.DefaultOptions().CallTimeout, true
		w.refusesConnections, w.resigns = true, true
	})
}

func TestReconnectionWithoutTheLockIsCaught(t *testing.T) {
	violation := firstViolationIn(*simulationRuns, func(seed uint64) *simulation {
		w := newSimulation(seed, shards.DefaultOptions())
		w.restarts, w.restartsAnytime, w.reconnects = true, true, true
		return w
	})
	if violation == "" {
		t.Fatalf("no violation in %d runs", *simulationRuns)
	}
}

func TestTrustInRegistrationsIsCaught(t *testing.T) {
	violation := firstViolationIn(*simulationRuns, func(seed uint64) *simulation {
		w := newSimulation(seed, shards.DefaultOptions())
		w.restarts, w.trustsRegistrations = true, true
		return w
	})
	if violation == "" {
		t.Fatalf("no violation in %d runs", *simulationRuns)
	}
}

// Each weakened variant of the protocol must violate the invariant in some run; otherwise the
// simulation proves nothing.
func TestWeakenedProtocolsAreCaught(t *testing.T) {
	weaken := map[string]func(*shards.Options){
		"late orders are not waited for": func(o *shards.Options) { o.MaxCommandDelay = 0 },
		"earlier managers are not waited for": func(o *shards.Options) {
			o.PredecessorRenewal = 0
			o.MaxCommandDelay = time.Second
		},
		"server clocks are taken to be fast": func(o *shards.Options) { o.ClockDrift = 0.8 },
	}
	for name, change := range weaken {
		t.Run(name, func(t *testing.T) {
			options := shards.DefaultOptions()
			change(&options)
			if firstViolation(*simulationRuns, options) == "" {
				t.Fatalf("no violation in %d runs", *simulationRuns)
			}
		})
	}
}
