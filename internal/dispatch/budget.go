package dispatch

import "math"

// budget is a token bucket that bounds retries. It earns a fraction of a token per request
// and a few tokens over time, so that all nodes together stay within the operator's ratio
// and slack.
type budget struct {
	ratio   float64
	burst   float64
	tokens  float64
	perTick float64
}

const (
	// budgetSafety is the fraction of the operator's bounds that is used, because requests
	// that servers refuse and retries by clients count against the bounds too.
	budgetSafety = 0.6
	// fewestNodes is the minimum number of nodes assumed to share the slack. A node that
	// has just started may not have discovered the others yet.
	fewestNodes = 4
	// ticksPerSecond is how often per second the time-based tokens are added.
	ticksPerSecond = 20
)

// newBudget returns a budget that starts with half of its burst.
func newBudget(options Options, nodes int) *budget {
	b := &budget{ratio: options.RetryRatio * budgetSafety}
	b.share(options, nodes)
	b.tokens = max(1, b.burst/2)
	return b
}

// share adapts the budget to the number of nodes, each of which gets an equal share of the
// slack.
func (b *budget) share(options Options, nodes int) {
	slack := options.RetrySlack * budgetSafety / float64(max(fewestNodes, nodes))
	b.burst = max(1, slack)
	b.perTick = slack / 2 / options.RetryWindow.Seconds() / ticksPerSecond
	b.tokens = min(b.tokens, b.burst)
}

// earn adds the tokens for one request.
func (b *budget) earn() { b.tokens = math.Min(b.burst, b.tokens+b.ratio) }

// take consumes a token for one retry; false if there is none.
func (b *budget) take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
