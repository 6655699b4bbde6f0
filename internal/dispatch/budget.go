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
