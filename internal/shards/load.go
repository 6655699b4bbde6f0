package shards

import (
	"sort"
	"time"
)

const (
	// longWindowLength is how long a request counts in the load that is balanced: long enough
	// that random variation matters little.
	longWindowLength = 6 * time.Second
	// mediumWindowLength is how long a request counts in the search for heavy keys: short,
	// because a single key can overload a server at once.
	mediumWindowLength = 1500 * time.Millisecond
)

// maxSamples limits the memory of a LoadWindow.
const maxSamples = 1 << 13

// sample stands for weight requests for a key.
type sample struct {
	at     time.Duration
	key    uint32
	weight float64
}

// LoadWindow records the keys of requests within a sliding time window.
type LoadWindow struct {
	length time.Duration
	recent []sample
	// sorted holds the samples sorted by key, and sums their cumulative weights; both are
	// computed on demand.
	sortedAt time.Duration
	sorted   []sample
	sums     []float64
}

// NewLoadWindow returns an empty window of the given length.
func NewLoadWindow(length time.Duration) *LoadWindow { return &LoadWindow{length: length} }

// Add records requests that arrived at about the given time; each key stands for weight
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

// rebuild drops expired samples and updates sorted and sums.
func (w *LoadWindow) rebuild(now time.Duration) {
	if w.sorted != nil && w.sortedAt == now {
		return
	}
	expired := 0
	for expired < len(w.recent) && w.recent[expired].at < now-w.length {
		expired++
	}
	w.recent = w.recent[expired:]
	w.sorted = append(make([]sample, 0, len(w.recent)), w.recent...)
	sort.Slice(w.sorted, func(i, j int) bool { return w.sorted[i].key < w.sorted[j].key })
	w.sums = make([]float64, len(w.sorted)+1)
	for index, s := range w.sorted {
		w.sums[index+1] = w.sums[index] + s.weight
	}
	w.sortedAt = now
}

// Requests returns the number of requests in the window for keys from first to last.
func (w *LoadWindow) Requests(now time.Duration, first, last uint32) float64 {
	low, high := w.sampleSpan(now, first, last)
	return w.sums[high] - w.sums[low]
}

// Total returns the number of requests in the window.
func (w *LoadWindow) Total(now time.Duration) float64 {
	w.rebuild(now)
	return w.sums[len(w.sums)-1]
}

// sampleSpan returns the half-open interval of positions of the samples for keys from first to
// last.
func (w *LoadWindow) sampleSpan(now time.Duration, first, last uint32) (low, high int) {
	w.rebuild(now)
	low = sort.Search(len(w.sorted), func(i int) bool { return w.sorted[i].key >= first })
	high = sort.Search(len(w.sorted), func(i int) bool { return w.sorted[i].key > last })
	return low, high
}

// Prefix returns the end of the longest interval of keys that begins at first, ends at last at
// the latest and has at most amount requests, and the number of its requests. The end is
// exclusive.
func (w *LoadWindow) Prefix(now time.Duration, first, last uint32, amount float64) (uint32, float64) {
	low, high := w.sampleSpan(now, first, last)
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

// First returns the end of the interval from first to the lowest key with requests, and the
// number of requests for that key. The end is exclusive; it is last+1 if no key up to last has
// requests.
func (w *LoadWindow) First(now time.Duration, first, last uint32) (uint32, float64) {
	low, high := w.sampleSpan(now, first, last)
	if low == high {
		return last + 1, 0
	}
	key := w.sorted[low].key
	return key + 1, w.Requests(now, key, key)
}

// Heavy returns the keys with at least threshold requests in the window.
func (w *LoadWindow) Heavy(now time.Duration, threshold float64) []uint32 {
	w.rebuild(now)
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
