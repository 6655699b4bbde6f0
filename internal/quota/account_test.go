package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/micahaven/micahaven/internal/tenants"
)

// world plays some nodes that share a tenant's limit. Reports take some time each way and
// may get lost; a home may be replaced by one that knows nothing.
type world struct {
	limit     tenants.Limit
	tolerance Tolerance
	account   *Account
	shares    []*Share
	// answers are on their way to nodes.
	answers []flying
	busy    []bool
	// admitted are the moments at which requests were let through.
	admitted []time.Duration
	refused  int
}

type flying struct {
	node       int
	at, sentAt time.Duration
	report     Report
	grant      Grant
	lost       bool
}

func newWorld(nodes int, limit tenants.Limit, tolerance Tolerance) *world {
	w := &world{limit: limit, tolerance: tolerance, account: NewAccount(0, limit, tolerance), busy: make([]bool, nodes)}
	for range nodes {
		w.shares = append(w.shares, NewShare(0, limit))
	}
	return w
}

// request is one request at a node: it goes ahead, or waits for a report.
func (w *world) request(now time.Duration, node int, trip time.Duration, lost bool) {
	share := w.shares[node]
	if share.TakeAhead(now) {
		w.admitted = append(w.admitted, now)
		return
	}
	if w.busy[node] {
		w.refused++
		return
	}
	report := share.Report(now, 1)
	grant := w.account.Take(now, fmt.Sprint(node), report)
	w.busy[node] = true
	w.answers = append(w.answers, flying{node: node, at: now + trip, sentAt: now, report: report, grant: grant, lost: lost})
}

// land delivers the answers that have arrived.
func (w *world) land(now time.Duration) {
	left := w.answers[:0]
	for _, f := range w.answers {
		if f.at > now {
			left = append(left, f)
			continue
		}
		w.busy[f.node] = false
		if f.lost {
			w.refused++
			continue
		}
		w.shares[f.node].Answered(f.sentAt, now, f.report, f.grant)
		if f.grant.Granted == 0 {
			w.refused++
			continue
		}
		w.admitted = append(w.admitted, now)
	}
	w.answers = left
}

// most is the largest number of requests that were let through in any window.
func (w *world) most() int {
	most, first := 0, 0
	for index, at := range w.admitted {
		for at-w.admitted[first] >= w.tolerance.Window {
			first++
		}
		most = max(most, index-first+1)
	}
	return most
}

func (w *world) allowed() float64 {
	whole := w.limit.Rate*w.tolerance.Window.Seconds() + w.limit.Burst
	return whole*(1+w.tolerance.Over) + w.tolerance.Slack
}

// Whatever nodes ask for, however long answers take, whichever get lost, and if homes are
// replaced: no window has more than the limit and its tolerance allow.
func TestNoWindowExceedsTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := tenants.Limit{Rate: rapid.Float64Range(1, 300).Draw(t, "rate"), Burst: rapid.Float64Range(0, 300).Draw(t, "burst")}
		tolerance := Tolerance{Window: 5 * time.Second, Over: 0.1, Slack: rapid.Float64Range(0, 30).Draw(t, "slack")}
		nodes := rapid.IntRange(1, 62).Draw(t, "nodes")
		demand := limit.Rate * rapid.Float64Range(0.5, 12).Draw(t, "demand")
		trip := time.Duration(rapid.IntRange(1, 150).Draw(t, "trip")) * time.Millisecond
		losses := rapid.Float64Range(0, 0.3).Draw(t, "losses")
		replacedAt := time.Duration(rapid.IntRange(0, 30).Draw(t, "replaced")) * time.Second
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		w := newWorld(nodes, limit, tolerance)
		const step = 5 * time.Millisecond
		for now := time.Duration(0); now < 20*time.Second; now += step {
			w.land(now)
			if now == replacedAt {
				w.account = NewAccount(now, limit, tolerance)
				for _, share := range w.shares {
					share.HomeChanged()
				}
			}
			for due := demand * step.Seconds(); due > random.Float64(); due-- {
				w.request(now, random.IntN(nodes), trip, random.Float64() < losses)
			}
		}
		if most := w.most(); float64(most) > w.allowed()+1 {
			t.Errorf("%d requests in a window, allowed %g", most, w.allowed())
		}
	})
}

// With demand and without failures, most of the limit is let through.
func TestTheLimitIsUsed(t *testing.T) {
	for _, nodes := range []int{1, 62, 985} {
		for _, rate := range []float64{4, 30, 180} {
			limit := tenants.Limit{Rate: rate, Burst: rate}
			w := newWorld(nodes, limit, Tolerance{Window: 5 * time.Second, Over: 0.1, Slack: 20})
			random := rand.New(rand.NewPCG(1, uint64(nodes)))
			const step, length = 5 * time.Millisecond, 60 * time.Second
			for now := time.Duration(0); now < length; now += step {
				w.land(now)
				for due := 3 * rate * step.Seconds(); due > random.Float64(); due-- {
					w.request(now, random.IntN(nodes), 10*time.Millisecond, false)
				}
			}
			if part := float64(len(w.admitted)) / (rate * length.Seconds()); part < 0.95 {
				t.Errorf("%d nodes, %g a second: %.3f of the limit was let through, want 0.95", nodes, rate, part)
			}
		}
	}
}

// A tenant below its limit is refused nothing, however many nodes its few requests come to.
func TestATenantBelowItsLimitIsNotRefused(t *testing.T) {
	for _, nodes := range []int{1, 62, 985} {
		for _, rate := range []float64{4, 30, 180} {
			limit := tenants.Limit{Rate: rate, Burst: rate}
			w := newWorld(nodes, limit, Tolerance{Window: 5 * time.Second, Over: 0.1, Slack: 20})
			random := rand.New(rand.NewPCG(2, uint64(nodes)))
			const step = 5 * time.Millisecond
			for now := 2 * time.Second; now < 60*time.Second; now += step {
				w.land(now)
				for due := rate / 1.6 * step.Seconds(); due > random.Float64(); due-- {
					node := random.IntN(nodes)
					if w.busy[node] {
						// Its requests wait for one report.
						continue
					}
					w.request(now, node, 10*time.Millisecond, false)
				}
			}
			if part := float64(w.refused) / float64(len(w.admitted)); part > 0.005 {
				t.Errorf("%d nodes, %g a second: %.4f refused", nodes, rate, part)
			}
		}
	}
}

func TestALowerLimitHoldsFromThenOn(t *testing.T) {
	w := newWorld(20, tenants.Limit{Rate: 200, Burst: 200}, Tolerance{Window: 5 * time.Second, Over: 0.1, Slack: 20})
	random := rand.New(rand.NewPCG(3, 1))
	const step, changedAt = 5 * time.Millisecond, 10 * time.Second
	lower := tenants.Limit{Rate: 20, Burst: 20}
	for now := time.Duration(0); now < 30*time.Second; now += step {
		w.land(now)
		if now == changedAt {
			w.account.SetLimit(now, lower, w.tolerance)
			for _, share := range w.shares {
				share.SetLimit(lower)
			}
			w.limit, w.admitted = lower, nil
		}
		w.request(now, random.IntN(20), 10*time.Millisecond, false)
	}
	if most := w.most(); float64(most) > w.allowed() {
		t.Errorf("%d requests in a window after the limit was lowered, allowed %g", most, w.allowed())
	}
}

func TestRefusedCallersReturnOneAfterTheOther(t *testing.T) {
	a := NewAccount(0, tenants.Limit{Rate: 10, Burst: 1}, Tolerance{})
	a.Take(0, "n", Report{Waiting: 1})
	first := a.Take(0, "n", Report{Waiting: 1}).RetryAfter
	second := a.Take(0, "m", Report{Waiting: 1}).RetryAfter
	if first != 100*time.Millisecond || second != 200*time.Millisecond {
		t.Errorf("come back after %v and %v, want 100 and 200 ms", first, second)
	}
}

// While the home is away nodes go on as usual, and together stay near the limit.
func TestNodesWithoutAHomeGoOnAsUsual(t *testing.T) {
	limit := tenants.Limit{Rate: 100, Burst: 100}
	w := newWorld(10, limit, Tolerance{Window: 5 * time.Second, Over: 0.1, Slack: 20})
	random := rand.New(rand.NewPCG(4, 1))
	const step, lostAt = 5 * time.Millisecond, 20 * time.Second
	asked, alone := 0, 0
	for now := time.Duration(0); now < 30*time.Second; now += step {
		w.land(now)
		if random.Float64() > 60*step.Seconds() {
			continue
		}
		node := random.IntN(10)
		if now < lostAt {
			w.request(now, node, 10*time.Millisecond, false)
			continue
		}
		asked++
		if admitted, _ := w.shares[node].TakeAlone(now, 10); admitted {
			alone++
		}
	}
	if part := float64(alone) / float64(asked); part < 0.5 {
		t.Errorf("%.2f of the requests of a tenant below its limit went, want more than half", part)
	}
	if rate := float64(alone) / 10; rate > 1.3*limit.Rate {
		t.Errorf("%.0f requests a second went alone, limit %g", rate, limit.Rate)
	}
}
