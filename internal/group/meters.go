package group

import (
	"time"

	"github.com/micahaven/micahaven/internal/wire"
)

// loadMeter measures the requests per second of each slice, as a moving average.
type loadMeter struct {
	counts []float64
	rate   []float64
	since  time.Duration
}

const (
	loadInterval = time.Second
	// loadWeight is the part of the newest interval in the moving average, which
	// so remembers some twenty intervals: a shorter memory moves keys for noise.
	loadWeight = 0.05
)

func (m *loadMeter) reset(now time.Duration, sliceCount int) {
	m.counts = make([]float64, sliceCount)
	m.rate = make([]float64, sliceCount)
	m.since = now
}

func (m *loadMeter) count(slice uint32) {
	m.counts[slice]++
}

// rates returns the current averages. The result is not changed afterwards.
func (m *loadMeter) rates(now time.Duration, sliceCount int) []float64 {
	elapsed := now - m.since
	if elapsed < loadInterval || len(m.counts) != sliceCount {
		return m.rate
	}
	updated := make([]float64, sliceCount)
	for slice, count := range m.counts {
		updated[slice] = (1-loadWeight)*m.rate[slice] + loadWeight*count/elapsed.Seconds()
	}
	m.rate = updated
	clear(m.counts)
	m.since = now
	return m.rate
}

// awayMeter measures how long slices are not served.
type awayMeter struct {
	since []time.Duration
	away  []bool
}

func (m *awayMeter) reset(now time.Duration, sliceCount int) {
	m.since = make([]time.Duration, sliceCount)
	m.away = make([]bool, sliceCount)
	for slice := range m.since {
		m.since[slice] = now
		m.away[slice] = true
	}
}

func (m *awayMeter) observe(now time.Duration, slice uint32, serving bool, service string) {
	if m.away[slice] == !serving {
		return
	}
	if serving {
		awaySeconds.WithLabelValues(service).Observe((now - m.since[slice]).Seconds())
	}
	m.away[slice] = !serving
	m.since[slice] = now
}

// Counters counts what this node did as the leader, for status pages.
type Counters struct {
	Done    int `json:"done"`
	NotRun  int `json:"not_run"`
	Unknown int `json:"unknown"`
	Moved   int `json:"slices_moved"`
}

func (c *Counters) count(outcome wire.Outcome) {
	switch outcome {
	case wire.Outcome_OUTCOME_DONE:
		c.Done++
	case wire.Outcome_OUTCOME_NOT_RUN:
		c.NotRun++
	case wire.Outcome_OUTCOME_UNKNOWN:
		c.Unknown++
	}
}

// trimmer remembers at which time which journal index was the newest, so that
// records can be forgotten by age although the log holds no times.
type trimmer struct {
	marks []trimMark
}

type trimMark struct {
	at    time.Duration
	index uint64
}

const trimInterval = time.Second

func (t *trimmer) reset() { t.marks = nil }

// due notes the newest index and returns the newest one that is older than the
// retention, or 0.
func (t *trimmer) due(now, retention time.Duration, newest uint64) uint64 {
	if len(t.marks) == 0 || now >= t.marks[len(t.marks)-1].at+trimInterval {
		t.marks = append(t.marks, trimMark{at: now, index: newest})
	}
	index := uint64(0)
	for len(t.marks) > 0 && now >= t.marks[0].at+retention {
		index = t.marks[0].index
		t.marks = t.marks[1:]
	}
	return index
}

// trimJournal forgets journal records that are older than the retention. A new
// leader counts every record from its own start, so none is forgotten early.
func (g *Group) trimJournal(now time.Duration) {
	index := g.trims.due(now, g.settings.JournalRetention, g.replica.CommitIndex())
	oldest := g.state.Journal().OldestIndex()
	if index == 0 || oldest == 0 || oldest > index {
		return
	}
	trim := &wire.JournalTrim{UpToIndex: index}
	entry := &wire.Entry{Command: &wire.Entry_Trim{Trim: trim}}
	g.propose(now, entry, func(bool) {})
}

// abandonImport allows journaled requests again when no import came. It waits
// for the whole retention: by then nobody repeats a request of the earlier
// generation any more, so a missing record can do no harm.
func (g *Group) abandonImport(now time.Duration) {
	if !g.state.ImportPending() || now < g.leadingSince+g.settings.JournalRetention {
		return
	}
	g.logger.Warn("journal records of the earlier generation did not arrive")
	entry := &wire.Entry{Command: &wire.Entry_Import{Import: &wire.JournalImport{Last: true}}}
	g.propose(now, entry, func(bool) {})
}
