package pipeline

import "sync/atomic"

// Held counts the bytes that a node holds for its clients: requests that were read, and
// answers that wait for an earlier answer of their connection. Beyond its limit,
// connections read no further request while one is served, and long answers are not read
// ahead from their servers.
type Held struct {
	limit int64
	now   atomic.Int64
	peak  atomic.Int64
}

// NewHeld returns a count with a limit in bytes.
func NewHeld(limit int64) *Held { return &Held{limit: limit} }

// add counts bytes whether or not there is room.
func (h *Held) add(count int) {
	now := h.now.Add(int64(count))
	for {
		peak := h.peak.Load()
		if now <= peak {
			return
		}
		if h.peak.CompareAndSwap(peak, now) {
			heldPeak.Set(float64(now))
			return
		}
	}
}

// take counts bytes if there is room for them.
func (h *Held) take(count int) bool {
	for {
		now := h.now.Load()
		if now+int64(count) > h.limit {
			return false
		}
		if h.now.CompareAndSwap(now, now+int64(count)) {
			h.add(0)
			return true
		}
	}
}

func (h *Held) release(count int) { h.now.Add(-int64(count)) }

// full reports whether there is no room.
func (h *Held) full() bool { return h.now.Load() >= h.limit }

// Now returns how many bytes are held.
func (h *Held) Now() int64 { return h.now.Load() }

// Peak returns the most bytes that were held at once.
func (h *Held) Peak() int64 { return h.peak.Load() }
