package experiment

import (
	"context"
	"os"
	"testing"
	"time"

	"github.com/micahaven/micahaven/internal/entry"
	"github.com/micahaven/micahaven/internal/lab/cluster"
	"github.com/micahaven/micahaven/internal/lab/load"
	"github.com/micahaven/micahaven/internal/lab/server"
)

var built cluster.Programs

func TestMain(m *testing.M) {
	directory, err := os.MkdirTemp("", "micahaven-test-")
	if err != nil {
		panic(err)
	}
	if built, err = cluster.Build(directory); err != nil {
		panic(err)
	}
	code := m.Run()
	_ = os.RemoveAll(directory)
	os.Exit(code)
}

// TestPromisesHoldInProcesses runs whole systems under one fault after the
// other. It checks promises, not durations.
func TestPromisesHoldInProcesses(t *testing.T) {
	cases := [][]Fault{
		{KillServer}, {KillLeader}, {FreezeLeader, PlatformDown}, {CutLeader, Operators}, {StopNode}, {MoveSite, LoseAnswers},
		{DrainServer}, {KillMajority}, {KillPlatform},
	}
	for _, faults := range cases {
		t.Run(faultNames(faults), func(t *testing.T) {
			result, err := Run(context.Background(), built, Options{
				Deployment: Small, Faults: faults, Outage: time.Second, Settle: 2 * time.Second, Rate: 100, Seed: 1,
			})
			if err != nil {
				t.Fatal(err)
			}
			t.Log(Line(result))
			for _, violation := range result.Violations {
				t.Errorf("%s: %s", violation.Promise, violation.What)
			}
			if result.Done == 0 {
				t.Errorf("no request was done")
			}
		})
	}
}

// TestCheckersNotice feeds each checker with evidence of a broken promise.
func TestCheckersNotice(t *testing.T) {
	effect := serverEffect
	cases := map[string]struct {
		found evidence
		want  string
	}{
		"older fence later": {
			evidence{effects: []server.Effect{effect("a-1", "r1", "", 2, 10), effect("a-2", "r2", "", 1, 20)}}, PromiseOneOwner,
		},
		"two servers under one fence": {
			evidence{effects: []server.Effect{effect("a-1", "r1", "", 1, 10), effect("a-2", "r2", "", 1, 20)}}, PromiseOneOwner,
		},
		"run twice": {
			evidence{effects: []server.Effect{effect("a-1", "r1", "k", 1, 10), effect("a-1", "r2", "k", 1, 20)}}, PromiseOnce,
		},
		"not run that ran": {
			evidence{
				effects: []server.Effect{effect("a-1", "r1", "", 1, 10)},
				samples: []load.Sample{{RequestID: "r1", Outcome: entry.OutcomeNotRun}},
			}, PromiseNotRun,
		},
		"another's answer": {
			evidence{samples: []load.Sample{{Wrong: "crossed"}}}, PromiseOwnAnswer,
		},
		"done that nobody ran": {
			evidence{samples: []load.Sample{{IsWrite: true, IdempotencyKey: "k", Outcome: entry.OutcomeDone}}, isComplete: true}, PromiseKept,
		},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			violations := checkAll(test.found)
			if len(violations) != 1 || violations[0].Promise != test.want {
				t.Errorf("got %v, want one violation of %q", violations, test.want)
			}
		})
	}
}

func serverEffect(id, request, key string, counter uint64, at int64) server.Effect {
	return server.Effect{Server: id, RequestID: request, IdempotencyKey: key, Generation: 1, Counter: counter, AtNanos: at}
}
