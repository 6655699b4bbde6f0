package admission

// RetryBudget bounds retries to a fraction of the requests, so that retries
// cannot multiply the load of servers that are failing already.
type RetryBudget struct {
	tokens float64
}

const (
	// retryRatio is the number of retries earned by one request.
	retryRatio = 0.2
	// maxRetryTokens bounds a burst of retries after a quiet time.
	maxRetryTokens = 100
)

// NewRetryBudget returns a budget that is full.
func NewRetryBudget() *RetryBudget {
	return &RetryBudget{tokens: maxRetryTokens}
}

// Earn counts a new request.
func (b *RetryBudget) Earn() {
	b.tokens = min(b.tokens+retryRatio, maxRetryTokens)
}

// Spend asks for one retry and reports whether it is allowed.
func (b *RetryBudget) Spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
