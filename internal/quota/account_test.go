package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/micahaven/micahaven/internal/tenants"
)

// simulation runs several nodes that share a tenant's limit, in simulated time. Responses
// to reports are delayed and may be lost, and the home node may be replaced by one without
// any state.
type simulation struct {
	limit       tenants.Limit
	tolerance   Tolerance
	account     *Account
	localQuotas []*LocalQuota
	// answers are the responses in flight to nodes.
	answers []pendingAnswer
	waiting []bool
	// admitted are the times at which requests were admitted.
	admitted []time.Duration
	refused  int
}

type pendingAnswer struct {
	node              int
	arrivesAt, sentAt time.Duration
	report            Report
	grant             Grant
	lost              bool
}

func newSimulation(nodes int, limit tenants.Limit, tolerance Tolerance) *simulation {
	s := &simulation{limit: limit, tolerance: tolerance, account: NewAccount(0, limit, tolerance), waiting: make([]bool, nodes)}
	for range nodes {
		s.localQuotas = append(s.localQuotas, NewLocalQuota(0, limit))
	}
	return s
}

// request simulates one request at a node. It is admitted with a prefetched token, or sends a
// report and waits for the response. It is refused if another request of the node waits
// already.
func (s *simulation) request(now time.Duration, node int, delay time.Duration, lost bool) {
	quota := s.localQuotas[node]
	if quota.TakePrefetched(now) {
		s.admitted = append(s.admitted, now)
		return
	}
	if s.waiting[node] {
		s.refused++
		return
	}
	report := quota.Report(now, 1)
	grant := s.account.HandleReport(now, fmt.Sprint(node), report)
	s.waiting[node] = true
	s.answers = append(s.answers, pendingAnswer{node: node, arrivesAt: now + delay, sentAt: now, report: report, grant: grant, lost: lost})
}

// deliverAnswers delivers the responses that are due.
func (s *simulation) deliverAnswers(now time.Duration) {
	remaining := s.answers[:0]
	for _, answer := range s.answers {
		if answer.arrivesAt > now {
			remaining = append(remaining, answer)
			continue
		}
		s.waiting[answer.node] = false
		if answer.lost {
			s.refused++
			continue
		}
		s.localQuotas[answer.node].ApplyGrant(answer.sentAt, now, answer.report, answer.grant)
		if answer.grant.Granted == 0 {
			s.refused++
			continue
		}
		s.admitted = append(s.admitted, now)
	}
	s.answers = remaining
}

// maxPerWindow is the largest number of requests admitted in any window.
func (s *simulation) maxPerWindow() int {
	maxPerWindow, first := 0, 0
	for index, at := range s.admitted {
		for at-s.admitted[first] >= s.tolerance.Window {
			first++
		}
		maxPerWindow = max(maxPerWindow, index-first+1)
	}
	return maxPerWindow
}

func (s *simulation) allowedPerWindow() float64 {
	whole := s.limit.Rate*s.tolerance.Window.Seconds() + s.limit.Burst
	return whole*(1+s.tolerance.Over) + s.tolerance.Slack
}

// No window exceeds the limit plus its tolerance, whatever the demand and the delay of
// responses, and also if responses are lost or the home node is replaced.
func TestNoWindowExceedsTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := tenants.Limit{Rate: rapid.Float64Range(1, 300).Draw(t, "rate"), Burst: rapid.Float64Range(0, 300).Draw(t, "burst")}
		tolerance := Tolerance{Window: 5 * time.Second, Over: 0.1, Slack: rapid.Float64Range(0, 30).Draw(t, "slack")}
		nodes := rapid.IntRange(1, 62).Draw(t, "nodes")
		demand := limit.Rate * rapid.Float64Range(0.5, 12).Draw(t, "demand")
		delay := time.Duration(rapid.IntRange(1, 150).Draw(t, "trip")) * time.Millisecond
		losses := rapid.Float64Range(0, 0.3).Draw(t, "losses")
		replacedAt := time.Duration(rapid.IntRange(0, 30).Draw(t, "replaced")) * time.Second
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		s := newSimulation(nodes, limit, tolerance)
		const step = 5 * time.Millisecond
		for now := time.Duration(0); now < 20*time.Second; now += step {
			s.deliverAnswers(now)
			if now == replacedAt {
				s.account = NewAccount(now, limit, tolerance)
				for _, quota := range s.localQuotas {
					quota.HomeChanged()
				}
			}
			for due := demand * step.Seconds(); due > random.Float64(); due-- {
				s.request(now, random.IntN(nodes), delay, random.Float64() < losses)
			}
		}
		if maxPerWindow := s.maxPerWindow(); float64(maxPerWindow) > s.allowedPerWindow()+1 {
			t.Errorf("%d requests in a window, allowed %g", maxPerWindow, s.allowedPerWindow())
		}
	})
}

// With enough demand and no failures, at least 0.95 of the limit is admitted.
func TestTheLimitIsUsed(t *testing.T) {
	for _, nodes := range []int{1, 62, 985} {
		for _, rate := range []float64{4, 30, 180} {
			limit := tenants.Limit{Rate: rate, Burst: rate}
			s := newSimulation(nodes, limit, Tolerance{Window: 5 * time.Second, Over: 0.1, Slack: 20})
			random := rand.New(rand.NewPCG(1, uint64(nodes)))
			const step, length = 5 * time.Millisecond, 60 * time.Second
			for now := time.Duration(0); now < length; now += step {
				s.deliverAnswers(now)
				for due := 3 * rate * step.Seconds(); due > random.Float64(); due-- {
					s.request(now, random.IntN(nodes), 10*time.Millisecond, false)
				}
			}
			if fraction := float64(len(s.admitted)) / (rate * length.Seconds()); fraction < 0.95 {
				t.Errorf("%d nodes, %g requests per second: %.3f of the limit admitted, want at least 0.95", nodes, rate, fraction)
			}
		}
	}
}

// A tenant below its limit is practically never refused, even if its few requests are spread
// over many nodes.
func TestATenantBelowItsLimitIsNotRefused(t *testing.T) {
	for _, nodes := range []int{1, 62, 985} {
		for _, rate := range []float64{4, 30, 180} {
			limit := tenants.Limit{Rate: rate, Burst: rate}
			s := newSimulation(nodes, limit, Tolerance{Window: 5 * time.Second, Over: 0.1, Slack: 20})
			random := rand.New(rand.NewPCG(2, uint64(nodes)))
			const step = 5 * time.Millisecond
			for now := 2 * time.Second; now < 60*time.Second; now += step {
				s.deliverAnswers(now)
				for due := rate / 1.6 * step.Seconds(); due > random.Float64(); due-- {
					node := random.IntN(nodes)
					if s.waiting[node] {
						// A node waits for one report at a time.
						continue
					}
					s.request(now, node, 10*time.Millisecond, false)
				}
			}
			if fraction := float64(s.refused) / float64(len(s.admitted)); fraction > 0.005 {
				t.Errorf("%d nodes, %g requests per second: fraction %.4f refused", nodes, rate, fraction)
			}
		}
	}
}

func TestALowerLimitHoldsFromThenOn(t *testing.T) {
	s := newSimulation(20, tenants.Limit{Rate: 200, Burst: 200}, Tolerance{Window: 5 * time.Second, Over: 0.1, Slack: 20})
	random := rand.New(rand.NewPCG(3, 1))
	const step, changedAt = 5 * time.Millisecond, 10 * time.Second
	lower := tenants.Limit{Rate: 20, Burst: 20}
	for now := time.Duration(0); now < 30*time.Second; now += step {
		s.deliverAnswers(now)
		if now == changedAt {
			s.account.SetLimit(now, lower, s.tolerance)
			for _, quota := range s.localQuotas {
				quota.SetLimit(lower)
			}
			s.limit, s.admitted = lower, nil
		}
		s.request(now, random.IntN(20), 10*time.Millisecond, false)
	}
	if maxPerWindow := s.maxPerWindow(); float64(maxPerWindow) > s.allowedPerWindow() {
		t.Errorf("%d requests in a window after the limit was lowered, allowed %g", maxPerWindow, s.allowedPerWindow())
	}
}

func TestRefusedCallersReturnOneAfterTheOther(t *testing.T) {
	a := NewAccount(0, tenants.Limit{Rate: 10, Burst: 1}, Tolerance{})
	a.HandleReport(0, "n", Report{Waiting: 1})
	first := a.HandleReport(0, "n", Report{Waiting: 1}).RetryAfter
	second := a.HandleReport(0, "m", Report{Waiting: 1}).RetryAfter
	if first != 100*time.Millisecond || second != 200*time.Millisecond {
		t.Errorf("retry after %v and %v, want 100 and 200 ms", first, second)
	}
}

// While the home node is unreachable, nodes go on admitting at their mean rate, and together
// stay near the limit.
func TestNodesWithoutAHomeGoOnAsUsual(t *testing.T) {
	limit := tenants.Limit{Rate: 100, Burst: 100}
	s := newSimulation(10, limit, Tolerance{Window: 5 * time.Second, Over: 0.1, Slack: 20})
	random := rand.New(rand.NewPCG(4, 1))
	const step, lostAt = 5 * time.Millisecond, 20 * time.Second
	attempted, admittedWithoutHome := 0, 0
	for now := time.Duration(0); now < 30*time.Second; now += step {
		s.deliverAnswers(now)
		if random.Float64() > 60*step.Seconds() {
			continue
		}
		node := random.IntN(10)
		if now < lostAt {
			s.request(now, node, 10*time.Millisecond, false)
			continue
		}
		attempted++
		if admitted, _ := s.localQuotas[node].TakeWithoutHome(now, 10); admitted {
			admittedWithoutHome++
		}
	}
	if fraction := float64(admittedWithoutHome) / float64(attempted); fraction < 0.5 {
		t.Errorf("%.2f of the requests of a tenant below its limit admitted, want at least half", fraction)
	}
	if rate := float64(admittedWithoutHome) / 10; rate > 1.3*limit.Rate {
		t.Errorf("%.0f requests per second admitted without the home node, limit %g", rate, limit.Rate)
	}
}
