package simulation

import (
	"flag"
	"testing"
	"time"
)

var runs = flag.Int("simulation.runs", 40, "number of seeds per fault mix")

// mixes are the kinds of trouble that the runs are put through.
var mixes = map[string]Faults{
	"quiet": {DriftPermille: 5},
	"lossy network": {
		DropShare: 0.05, LateShare: 0.05, LateLimit: 2 * time.Second, DriftPermille: 5,
	},
	"failing processes": {
		EventInterval: 700 * time.Millisecond, OutageLimit: 2 * time.Second, DriftPermille: 5,
	},
	"everything": {
		DropShare: 0.02, LateShare: 0.03, LateLimit: 3 * time.Second,
		EventInterval: 500 * time.Millisecond, OutageLimit: 3 * time.Second, DriftPermille: 5,
	},
}

func options(seed uint64, faults Faults, weakness Weakness) Options {
	return Options{
		Seed: seed, Nodes: 3, Servers: 4, Slices: 12, Duration: 15 * time.Second,
		Faults: faults, Weakness: weakness,
	}
}

func TestNothingUnsafeHappensUnderFaults(t *testing.T) {
	for name, faults := range mixes {
		t.Run(name, func(t *testing.T) {
			total := Result{}
			served := 0.0
			for seed := range uint64(*runs) {
				result := Run(options(seed, faults, Sound))
				for _, violation := range result.Violations {
					t.Errorf("seed %d: %s", seed, violation)
				}
				total.Commits += result.Commits
				total.Leads += result.Leads
				total.Failures += result.Failures
				served += result.ServedShare / float64(*runs)
			}
			t.Logf("%d runs: %d commits, %d leads, %d failures, served %.1f%% of the time",
				*runs, total.Commits, total.Leads, total.Failures, 100*served)
			if total.Commits == 0 || served < 0.3 {
				t.Errorf("the runs did too little to prove anything")
			}
		})
	}
}

// TestChecksNoticeMissingSafeguards removes one safeguard at a time: a check
// that cannot fail proves nothing.
func TestChecksNoticeMissingSafeguards(t *testing.T) {
	weaknesses := map[string]Weakness{
		"no challenge":  NoChallenge,
		"no wait":       NoWait,
		"no fence":      NoFence,
		"amnesiac vote": AmnesiacVote,
		"no promise":    NoPromise,
	}
	const attempts = 300
	for name, weakness := range weaknesses {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(attempts) {
				result := Run(options(seed, mixes["everything"], weakness))
				if len(result.Violations) > 0 {
					t.Logf("seed %d: %s", seed, result.Violations[0])
					return
				}
			}
			t.Errorf("%d runs without a violation", attempts)
		})
	}
}

func TestSameSeedGivesSameRun(t *testing.T) {
	first := Run(options(7, mixes["everything"], Sound))
	second := Run(options(7, mixes["everything"], Sound))
	if first.Events != second.Events || first.Commits != second.Commits || first.Assigned != second.Assigned {
		t.Errorf("two runs of one seed differ: %+v and %+v", first, second)
	}
}
