package pipeline

import "sync/atomic"

// Held accounts for the memory that a node holds for its clients: requests that were read, and
// responses that wait for an earlier response on their connection. Once the limit is reached, a
// connection reads no further request while one is being served, and long responses are not
// read ahead from their servers.
type Held struct {
	limit int64
	used  atomic.Int64
	peak  atomic.Int64
}

// NewHeld returns an account with a limit in bytes.
func NewHeld(limit int64) *Held { return &Held{limit: limit} }

// reserve charges bytes even if the limit is exceeded.
func (h *Held) reserve(count int) {
	used := h.used.Add(int64(count))
	for {
		peak := h.peak.Load()
		if used <= peak {
			return
		}
		if h.peak.CompareAndSwap(peak, used) {
			heldPeakBytes.Set(float64(used))
			return
		}
	}
}

// tryReserve charges bytes unless the limit would be exceeded, and reports whether it did.
func (h *Held) tryReserve(count int) bool {
	for {
		used := h.used.Load()
		if used+int64(count) > h.limit {
			return false
		}
		if h.used.CompareAndSwap(used, used+int64(count)) {
			h.reserve(0)
			return true
		}
	}
}

func (h *Held) release(count int) { h.used.Add(-int64(count)) }

// exhausted reports whether the limit is reached.
func (h *Held) exhausted() bool { return h.used.Load() >= h.limit }

// Now returns the number of bytes currently held.
func (h *Held) Now() int64 { return h.used.Load() }

// Peak returns the largest number of bytes held at any time.
func (h *Held) Peak() int64 { return h.peak.Load() }
