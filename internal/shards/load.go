package shards

import (
	"sort"
	"time"
)

const (
	// balanceWindow is how long a request counts in the load that is balanced:
	// long enough that chance matters little.
	balanceWindow = 6 * time.Second
	// heavyWindow is how long a request counts when heavy keys are looked for:
	// short, because one key can overload a server at once.
	heavyWindow = 1500 * time.Millisecond
)

// maxSamples bounds the memory of a LoadWindow.
const maxSamples = 1 << 13

type sample struct {
	at     time.Duration
	key    uint32
	weight float64
}

// LoadWindow remembers which keys were asked for lately.
type LoadWindow struct {
	length time.Duration
	recent []sample
	// sorted holds the keys and the running sum of weights, made on demand.
	sortedAt time.Duration
	sorted   []sample
	sums     []float64
}

// NewLoadWindow returns an empty window of a length.
func NewLoadWindow(length time.Duration) *LoadWindow { return &LoadWindow{length: length} }

// Add records requests that arrived about now; each key stands for weight
// requests.
func (w *LoadWindow) Add(now time.Duration, keys []uint32, weight float64) {
	for _, key := range keys {
		w.recent = append(w.recent, sample{at: now, key: key, weight: weight})
	}
	if excess := len(w.recent) - maxSamples; excess > 0 {
		w.recent = append([]sample(nil), w.recent[excess:]...)
	}
	w.sorted = nil
}

func (w *LoadWindow) refresh(now time.Duration) {
	if w.sorted != nil && w.sortedAt == now {
		return
	}
	keep := 0
	for keep < len(w.recent) && w.recent[keep].at < now-w.length {
		keep++
	}
	w.recent = w.recent[keep:]
	w.sorted = append(make([]sample, 0, len(w.recent)), w.recent...)
	sort.Slice(w.sorted, func(i, j int) bool { return w.sorted[i].key < w.sorted[j].key })
	w.sums = make([]float64, len(w.sorted)+1)
	for index, s := range w.sorted {
		w.sums[index+1] = w.sums[index] + s.weight
	}
	w.sortedAt = now
}

// Between returns how many requests lately asked for keys from first to last.
func (w *LoadWindow) Between(now time.Duration, first, last uint32) float64 {
	low, high := w.span(now, first, last)
	return w.sums[high] - w.sums[low]
}

// Total returns how many requests there were lately.
func (w *LoadWindow) Total(now time.Duration) float64 {
	w.refresh(now)
	return w.sums[len(w.sums)-1]
}

// span returns the positions of the samples from first to last.
func (w *LoadWindow) span(now time.Duration, first, last uint32) (low, high int) {
	w.refresh(now)
	low = sort.Search(len(w.sorted), func(i int) bool { return w.sorted[i].key >= first })
	high = sort.Search(len(w.sorted), func(i int) bool { return w.sorted[i].key > last })
	return low, high
}

// Cut returns the greatest key below which, from first on, there are at most
// amount requests, and their number. The key is the first one not included.
func (w *LoadWindow) Cut(now time.Duration, first, last uint32, amount float64) (uint32, float64) {
	low, high := w.span(now, first, last)
	index := low
	for index < high {
		next := index
		for next < high && w.sorted[next].key == w.sorted[index].key {
			next++
		}
		if w.sums[next]-w.sums[low] > amount {
			return w.sorted[index].key, w.sums[index] - w.sums[low]
		}
		index = next
	}
	return last + 1, w.sums[high] - w.sums[low]
}

// First returns the key after the first one, from first on, that was asked for lately, and
// the number of requests for that one.
func (w *LoadWindow) First(now time.Duration, first, last uint32) (uint32, float64) {
	low, high := w.span(now, first, last)
	if low == high {
		return last + 1, 0
	}
	key := w.sorted[low].key
	return key + 1, w.Between(now, key, key)
}

// Heavy returns the keys that at least threshold requests asked for lately.
func (w *LoadWindow) Heavy(now time.Duration, threshold float64) []uint32 {
	w.refresh(now)
	var heavy []uint32
	for index := 0; index < len(w.sorted); {
		next := index
		for next < len(w.sorted) && w.sorted[next].key == w.sorted[index].key {
			next++
		}
		if w.sums[next]-w.sums[index] >= threshold {
			heavy = append(heavy, w.sorted[index].key)
		}
		index = next
	}
	return heavy
}
