package dispatch

import "math"

// budget bounds repeats: it earns a part of each request and a little with time,
// so that all nodes together stay within the operators' ratio.
type budget struct {
	ratio   float64
	burst   float64
	tokens  float64
	perTick float64
}

const (
	// budgetSafety is the part of the operators' bounds that is used, because
	// what servers refuse and what clients repeat counts as well.
	budgetSafety = 0.6
	// fewestNodes is how many nodes are assumed to share the slack at least: a
	// node that has just started may not know of the others yet.
	fewestNodes = 4
	// ticksPerSecond is how often a budget grows with time.
	ticksPerSecond = 20
)

// newBudget returns a budget with half of its slack.
func newBudget(options Options, nodes int) *budget {
	b := &budget{ratio: options.RetryRatio * budgetSafety}
	b.share(options, nodes)
	b.tokens = max(1, b.burst/2)
	return b
}

// share takes in how many nodes there are: each has its part of the slack.
func (b *budget) share(options Options, nodes int) {
	slack := options.RetrySlack * budgetSafety / float64(max(fewestNodes, nodes))
	b.burst = max(1, slack)
	b.perTick = slack / 2 / options.RetryWindow.Seconds() / ticksPerSecond
	b.tokens = min(b.tokens, b.burst)
}

// earn adds the part of one request.
func (b *budget) earn() { b.tokens = math.Min(b.burst, b.tokens+b.ratio) }

// take spends a repeat if there is one.
func (b *budget) take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
