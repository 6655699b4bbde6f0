package shards

import (
	"math"
	"time"

	"github.com/micahaven/micahaven/internal/discovery"
)

// A window of some seconds is long enough to balance servers that get a few requests per second
// each, but it contains only a part of an increase in load that has just begun: a set of busy
// keys shows much earlier in a window of 1.5 s. So windows of several lengths are kept, and a
// shorter one takes precedence where random variation cannot explain its difference from the
// long one.

const (
	// surgeSigmas is the number of standard deviations of the recent window by which a load
	// must differ from it to be corrected. With some hundred servers, random variation exceeds
	// 2.5 once per pass, and a pass also requires the load to exceed a tolerance.
	surgeSigmas = 2.5
	// surgeServersPerMove is the number of servers per concurrent move during a surge. A busy
	// set of some hundred keys takes about a hundred moves to spread, which took 3.5 s with one
	// move per eight servers.
	surgeServersPerMove = 3
	// minSurgeRequests is the minimum number of requests of a recent window for the keys of a
	// move. Each key of a busy set may have had only one, but their server is certainly
	// overloaded.
	minSurgeRequests = 1
)

// shortWindowLength is the length of the shortest window, in which a set of busy keys shows
// within 0.2 s.
const shortWindowLength = 500 * time.Millisecond

// recentWindowCount is the number of windows besides the long one.
const recentWindowCount = 2

// recent returns the windows besides the long one, shortest first.
func (m *Manager) recent() [recentWindowCount]*LoadWindow {
	return [recentWindowCount]*LoadWindow{m.shortWindow, m.mediumWindow}
}

// scaleFactors are the factors that make the loads of the recent windows comparable to that of
// the long one, so that all windows have the same total. 0 means that a window has too few
// requests to be used.
type scaleFactors [recentWindowCount]float64

func (m *Manager) scaleFactors(now time.Duration) scaleFactors {
	var found scaleFactors
	for index, window := range m.recent() {
		if total := window.Total(now); total >= minTotalRequests {
			found[index] = m.load.Total(now) / total
		}
	}
	return found
}

// loadObservation is the number of requests for some keys in each window.
type loadObservation struct {
	long   float64
	recent [recentWindowCount]float64
}

func (m *Manager) observe(now time.Duration, first, last uint32) loadObservation {
	seen := loadObservation{long: m.load.Requests(now, first, last)}
	for index, window := range m.recent() {
		seen.recent[index] = window.Requests(now, first, last)
	}
	return seen
}

// add returns the sum with the observation of other keys, and with a constant load that is
// added to the long window only.
func (o loadObservation) add(other loadObservation, constant float64) loadObservation {
	o.long += other.long + constant
	for index := range o.recent {
		o.recent[index] += other.recent[index]
	}
	return o
}

// bounds returns the lowest and the highest load consistent with the requests in a recent
// window.
func (o loadObservation) bounds(index int, scale float64) (least, greatest float64) {
	count := o.recent[index]
	chance := surgeSigmas * math.Sqrt(count)
	return scale * (count - chance), scale * (count + chance + surgeSigmas)
}

// estimate returns the load in requests within the long window, corrected to what it would be
// if the load seen in the recent windows had lasted that long.
func (o loadObservation) estimate(factors scaleFactors) float64 {
	estimate := o.long
	for index, scale := range factors {
		if scale == 0 {
			continue
		}
		least, greatest := o.bounds(index, scale)
		estimate = min(max(estimate, least), greatest)
	}
	return estimate
}

// surging returns the recent window with the highest lower bound above the load in the long
// window; false if there is none.
func (o loadObservation) surging(factors scaleFactors) (window int, surging bool) {
	most := o.long
	for index, scale := range factors {
		if least, _ := o.bounds(index, scale); least > most {
			window, most, surging = index, least, true
		}
	}
	return window, surging
}

// relieveSurges takes keys from servers whose load has just grown, without waiting for the next
// balance pass.
func (m *Manager) relieveSurges(now time.Duration, accepting []Server, loads map[discovery.ServerID]float64, fair float64) {
	factors := m.scaleFactors(now)
	var sources [recentWindowCount]map[discovery.ServerID]bool
	for owner, seen := range m.observeOwners(now) {
		if window, surging := seen.surging(factors); surging {
			if sources[window] == nil {
				sources[window] = make(map[discovery.ServerID]bool)
			}
			sources[window][owner] = true
		}
	}
	for index, window := range m.recent() {
		if sources[index] == nil {
			continue
		}
		maxMoves := max(m.options.MaxMoves, len(accepting)/surgeServersPerMove)
		m.startMoves(now, balancePass{
			accepting: accepting, loads: loads, fair: fair, window: window, scale: factors[index], minRequests: minSurgeRequests,
			sources: sources[index], reason: Surge, maxMoves: maxMoves - m.movingCount(),
		})
	}
}
