package handoff

import "time"

const (
	// patienceSlice is the time after which a wait looks whether the peer is alive.
	patienceSlice = 50 * time.Millisecond
	// latestEnd is the length from which on a slice ended late.
	latestEnd = patienceSlice * 3 / 2
	// longestWait bounds a wait for a peer that is alive, late slices counted as whole ones.
	longestWait = time.Second
)

// arrivals counts what has arrived from a peer, on any stream of its connection.
type arrivals interface {
	Arrivals() uint64
}

// patience decides for how long to wait for one message of a peer. The peer counts as lost
// only if nothing else arrives from it either: a message of a peer that is alive is late
// because one of the two nodes is busy, and giving it up would make both busier.
//
// Silence is counted in slices of time. One that ends late says nothing of the peer: this
// process was paused or starved, and may not have read what arrived.
type patience struct {
	from arrivals
	// seen is the count of arrivals at the end of the last slice, and endedAt that end.
	seen    uint64
	endedAt time.Time
	// silent is the number of slices since the last arrival, and all that of all slices.
	silent, all int
	// allowed is the number of silent slices after which the peer is lost.
	allowed int
}

func newPatience(now time.Time, from arrivals, silence time.Duration) *patience {
	return &patience{from: from, seen: from.Arrivals(), endedAt: now, allowed: int(silence / patienceSlice)}
}

// exhausted reports whether to give up, at the end of a slice in which the message did not
// come.
func (p *patience) exhausted(now time.Time) bool {
	late := now.Sub(p.endedAt) > latestEnd
	p.endedAt = now
	p.all++
	if count := p.from.Arrivals(); count != p.seen {
		p.seen, p.silent = count, 0
	} else if !late {
		p.silent++
	}
	return p.silent >= p.allowed || p.all >= int(longestWait/patienceSlice)
}
