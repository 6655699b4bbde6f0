package shards

import (
	"math"
	"time"

	"github.com/micahaven/micahaven/internal/discovery"
)

// The load of the last seconds is known well enough to balance servers that have a few
// requests a second each, but it shows only a part of what began a moment ago: a set of
// busy keys is seen in the last 1.5 s long before that. So both windows are kept, and the
// short one counts where chance cannot explain that the two differ.

const (
	// surgeSigmas is how many standard deviations of the short window a load must differ
	// from it to be corrected: with some hundred servers, 2.5 are exceeded by chance
	// once in a look, and the look asks for a tolerance besides.
	surgeSigmas = 2.5
	// surgeServersPerMove bounds the moves of a surge: one at a time for so many servers.
	// A busy set of some hundred keys takes about a hundred moves to spread; with one for
	// eight servers they took 3.5 s.
	surgeServersPerMove = 3
	// minSurgePiece is how many requests of a short window speak for a move: each key of a
	// busy set may have had one only, but their server is surely overloaded.
	minSurgePiece = 1
)

// onset is the shortest window: a set of busy keys is seen there within 0.2 s.
const onsetWindow = 500 * time.Millisecond

// recentWindows is how many windows there are beside the long one.
const recentWindows = 2

// recent returns the short windows, the shortest one first.
func (m *Manager) recent() [recentWindows]*LoadWindow {
	return [recentWindows]*LoadWindow{m.onset, m.surge}
}

// scales are what the loads of the short windows are multiplied with to compare them with
// that of the long one: all sum up to the same. 0 means that a window says nothing.
type scales [recentWindows]float64

func (m *Manager) scales(now time.Duration) scales {
	var found scales
	for index, window := range m.recent() {
		if total := window.Total(now); total >= minTotal {
			found[index] = m.load.Total(now) / total
		}
	}
	return found
}

// observed is what the windows tell of some keys.
type observed struct {
	long   float64
	recent [recentWindows]float64
}

func (m *Manager) observe(now time.Duration, first, last uint32) observed {
	seen := observed{long: m.load.Between(now, first, last)}
	for index, window := range m.recent() {
		seen.recent[index] = window.Between(now, first, last)
	}
	return seen
}

// plus adds what was seen of other keys, and load that only the long window counts.
func (o observed) plus(other observed, constant float64) observed {
	o.long += other.long + constant
	for index := range o.recent {
		o.recent[index] += other.recent[index]
	}
	return o
}

// bounds are the least and the greatest load that explain what a short window shows.
func (o observed) bounds(index int, scale float64) (least, greatest float64) {
	count := o.recent[index]
	chance := surgeSigmas * math.Sqrt(count)
	return scale * (count - chance), scale * (count + chance + surgeSigmas)
}

// estimate is the load in requests within the long window, as it would be if what the
// short windows show had gone on for as long.
func (o observed) estimate(by scales) float64 {
	estimate := o.long
	for index, scale := range by {
		if scale == 0 {
			continue
		}
		least, greatest := o.bounds(index, scale)
		estimate = min(max(estimate, least), greatest)
	}
	return estimate
}

// surging returns the window that shows best that the load has grown so much that the long
// one does not tell it yet; false if none does.
func (o observed) surging(by scales) (window int, surging bool) {
	most := o.long
	for index, scale := range by {
		if least, _ := o.bounds(index, scale); least > most {
			window, most, surging = index, least, true
		}
	}
	return window, surging
}

// relieveSurges takes keys from servers whose load has just grown, as soon as that is
// seen.
func (m *Manager) relieveSurges(now time.Duration, accepting []Server, loads map[discovery.ServerID]float64, fair float64) {
	by := m.scales(now)
	var from [recentWindows]map[discovery.ServerID]bool
	for owner, seen := range m.observeOwners(now) {
		if window, surging := seen.surging(by); surging {
			if from[window] == nil {
				from[window] = make(map[discovery.ServerID]bool)
			}
			from[window][owner] = true
		}
	}
	for index, window := range m.recent() {
		if from[index] == nil {
			continue
		}
		most := max(m.options.MaxMoves, len(accepting)/surgeServersPerMove)
		m.moveSome(now, look{
			accepting: accepting, loads: loads, fair: fair, window: window, scale: by[index], least: minSurgePiece,
			from: from[index], reason: Surge, most: most - m.moving(),
		})
	}
}
