package pipeline

import "sync/atomic"

// MemoryBudget accounts for the memory that a node holds for its clients: requests that were
// read, and responses that wait for an earlier response on their connection. Once the limit is
// reached, a connection reads no further request while one is being served, and long responses
// are not read ahead from their servers.
type MemoryBudget struct {
	limit int64
	used  atomic.Int64
	peak  atomic.Int64
}

// NewMemoryBudget returns a budget with a limit in bytes.
func NewMemoryBudget(limit int64) *MemoryBudget { return &MemoryBudget{limit: limit} }

// reserve charges bytes even if the limit is exceeded.
func (h *MemoryBudget) reserve(count int) {
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
func (h *MemoryBudget) tryReserve(count int) bool {
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

func (h *MemoryBudget) release(count int) { h.used.Add(-int64(count)) }

// exhausted reports whether the limit is reached.
func (h *MemoryBudget) exhausted() bool { return h.used.Load() >= h.limit }

// Now returns the number of bytes currently held.
func (h *MemoryBudget) Now() int64 { return h.used.Load() }

// Peak returns the largest number of bytes held at any time.
func (h *MemoryBudget) Peak() int64 { return h.peak.Load() }
