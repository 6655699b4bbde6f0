package pipeline

import "sync/atomic"

// BodyBudget bounds the memory that request bodies and long headers take from when they begin to arrive
// until their requests are answered. A nil budget has no limit. It is safe for concurrent use.
type BodyBudget struct {
	limit int64
	used  atomic.Int64
}

// NewBodyBudget returns a budget with a limit in bytes.
func NewBodyBudget(limit int64) *BodyBudget { return &BodyBudget{limit: limit} }

// reserve charges bytes even if the limit is exceeded.
func (b *BodyBudget) reserve(count int) {
	if b != nil {
		bodyBytes.Set(float64(b.used.Add(int64(count))))
	}
}

// tryReserve charges bytes unless the limit would be exceeded, and reports whether it did.
func (b *BodyBudget) tryReserve(count int) bool {
	if b == nil {
		return true
	}
	for {
		used := b.used.Load()
		if used+int64(count) > b.limit {
			return false
		}
		if b.used.CompareAndSwap(used, used+int64(count)) {
			b.reserve(0)
			return true
		}
	}
}

func (b *BodyBudget) release(count int) { b.reserve(-count) }

// Now returns the number of bytes that are charged.
func (b *BodyBudget) Now() int64 { return b.used.Load() }
