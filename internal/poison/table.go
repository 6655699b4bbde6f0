// Package poison identifies requests that crash the servers running them, so that they are no
// longer sent to any server. docs/design/crashing-requests.md describes what counts as evidence
// and compares the alternatives. In this package a server is a single process: it has a new ID
// after each restart.
//
// Table does no I/O and reads no clock. Guard is what nodes use.
package poison

import (
	"cmp"
	"slices"
	"time"
)

const (
	// exclusiveThreshold is the number of crashes from which a suspect is sent only while no
	// other suspect runs, and refuseThreshold the number from which it is refused.
	exclusiveThreshold = 2
	refuseThreshold    = 3
	// suspectTTL is how long a suspect is remembered after its last crash.
	suspectTTL = time.Minute
	// refusalTime is how long a request is refused after refuseThreshold crashes. It doubles
	// with each further crash, up to maxRefusalTime.
	refusalTime    = time.Minute
	maxRefusalTime = 10 * time.Minute
	// trialInterval is the delay between consecutive nodes in trying a refused request again.
	// It gives the other nodes time to learn the result of a trial.
	trialInterval = 2 * time.Second
	// maxTrialRank is the rank from which all nodes may try a refused request again. If the
	// nodes ranked before them have had no such request for so long, hardly anyone sends it.
	maxTrialRank = 16
	// maxRecordedCrashes bounds the crashes recorded for one suspect, and maxSuspects the
	// number of suspects at a node; a request counts as two of them, see digests.
	maxRecordedCrashes = 8
	maxSuspects        = 2048
	// MaxBlamed bounds the number of requests that one crash is attributed to, and with it the
	// size of a report. If more requests qualify, the guilty one may be left out. It is well above
	// the number that a node sends to one server at a time.
	MaxBlamed = 64
)

// Digest identifies a request across all its attempts.
type Digest [16]byte

// Suspect is what is known of a request that is suspected of crashing servers, as it is sent
// between nodes.
type Suspect struct {
	Digest Digest
	// Lives are the IDs of the servers that crashed while running the request, at most
	// maxRecordedCrashes.
	Lives []string
	// Age is the time since the last of these crashes, or since the response if Cleared.
	Age time.Duration
	// Cleared is true if a server has answered the request since the crashes.
	Cleared bool
}

// Confirmed reports whether the evidence suffices to refuse the request.
func (s Suspect) Confirmed() bool { return len(s.Lives) >= refuseThreshold }

// Verdict is how a request is to be handled.
type Verdict int

const (
	// Send means that the request is sent without restrictions.
	Send Verdict = iota
	// SendExclusively means that the request is sent only while no other suspect of its service
	// runs at this node.
	SendExclusively
	// Refuse means that the request is not sent to any server.
	Refuse
)

// Table holds one node's evidence against requests. It is not safe for concurrent use.
type Table struct {
	entries map[Digest]*entry
}

type entry struct {
	// crashes holds the IDs of the servers that crashed while running the request, since it was
	// last answered, and disproved those from before. Nodes that have not heard of the response
	// go on reporting the latter.
	crashes, disproved []string
	// eventAt is the time of the last crash, or of the response if cleared is set.
	eventAt time.Time
	cleared bool
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{entries: make(map[Digest]*entry)} }

// Len returns the number of requests in the table.
func (t *Table) Len() int { return len(t.entries) }

// RecordCrash records that a server crashed while it ran some requests, and returns those that
// the crash is attributed to: the ones with the most crashes so far.
func (t *Table) RecordCrash(now time.Time, server string, running []Digest) []Suspect {
	t.evictExpired(now)
	maxCrashes := 0
	for _, digest := range running {
		maxCrashes = max(maxCrashes, t.crashes(digest))
	}
	var blamed []Suspect
	for _, digest := range running {
		if t.crashes(digest) < maxCrashes || len(blamed) == MaxBlamed {
			continue
		}
		if t.addCrash(now, digest, server) {
			blamed = append(blamed, t.suspect(now, digest))
		}
	}
	return blamed
}

// Merge merges another node's evidence on a request, and reports whether that changed anything.
func (t *Table) Merge(now time.Time, received Suspect) bool {
	eventAt := now.Add(-received.Age)
	known := t.entries[received.Digest]
	if received.Cleared {
		if known == nil || known.cleared || eventAt.Before(known.eventAt) {
			return false
		}
		known.clear(eventAt)
		return true
	}
	if known != nil && known.cleared && !eventAt.After(known.eventAt) {
		return false
	}
	changed := false
	for _, server := range received.Lives {
		changed = t.addCrash(eventAt, received.Digest, server) || changed
	}
	return changed
}

// RecordAnswer records that a server answered a request, which clears it. update must be sent
// to the other nodes if broadcast is true: they count the crashes that this node has reported.
func (t *Table) RecordAnswer(now time.Time, digest Digest) (update Suspect, broadcast bool) {
	known := t.entries[digest]
	if known == nil || known.cleared {
		return Suspect{}, false
	}
	known.clear(now)
	return t.suspect(now, digest), true
}

// Verdict returns how to handle a request, and for how much longer it is refused. rank is the
// rank of this node among those that may try a refused request again, starting at 0.
func (t *Table) Verdict(now time.Time, digest Digest, rank func() int) (Verdict, time.Duration) {
	known := t.entries[digest]
	if known == nil || known.cleared || now.Sub(known.eventAt) > known.retention() {
		return Send, 0
	}
	switch crashes := len(known.crashes); {
	case crashes < exclusiveThreshold:
		return Send, 0
	case crashes < refuseThreshold:
		return SendExclusively, 0
	}
	refusedUntil := known.eventAt.Add(known.refusalTime())
	if now.Before(refusedUntil) {
		return Refuse, refusedUntil.Sub(now)
	}
	refusedUntil = refusedUntil.Add(trialInterval * time.Duration(min(rank(), maxTrialRank)))
	if now.Before(refusedUntil) {
		return Refuse, refusedUntil.Sub(now)
	}
	return SendExclusively, 0
}

// Confirmed returns the requests that the evidence suffices to refuse.
func (t *Table) Confirmed(now time.Time) []Suspect {
	t.evictExpired(now)
	var confirmed []Suspect
	for digest := range t.entries {
		if suspect := t.suspect(now, digest); suspect.Confirmed() {
			confirmed = append(confirmed, suspect)
		}
	}
	return confirmed
}

// suspect returns what is known of a request in the table.
func (t *Table) suspect(now time.Time, digest Digest) Suspect {
	known := t.entries[digest]
	return Suspect{Digest: digest, Lives: slices.Clone(known.crashes), Age: now.Sub(known.eventAt), Cleared: known.cleared}
}

func (t *Table) crashes(digest Digest) int {
	if known := t.entries[digest]; known != nil {
		return len(known.crashes)
	}
	return 0
}

// addCrash records a server that crashed while running a request, and reports whether it was
// not recorded before.
func (t *Table) addCrash(eventAt time.Time, digest Digest, server string) bool {
	known := t.entries[digest]
	if known == nil {
		known = &entry{}
		t.evictIfFull()
		t.entries[digest] = known
	}
	if slices.Contains(known.crashes, server) || slices.Contains(known.disproved, server) {
		return false
	}
	if len(known.crashes) == maxRecordedCrashes && !eventAt.After(known.eventAt) {
		// Nodes that record different crashes would go on replacing each other's.
		return false
	}
	known.cleared = false
	if eventAt.After(known.eventAt) {
		known.eventAt = eventAt
	}
	known.crashes = lastCrashes(append(known.crashes, server))
	return true
}

// lastCrashes returns the last maxRecordedCrashes of some crashes.
func lastCrashes(crashes []string) []string {
	return crashes[max(0, len(crashes)-maxRecordedCrashes):]
}

// clear records that a server answered the request.
func (e *entry) clear(at time.Time) {
	*e = entry{eventAt: at, cleared: true, disproved: lastCrashes(append(e.disproved, e.crashes...))}
}

// evictIfFull makes room for one more suspect if the table is full. It drops the one with the
// fewest crashes, and the oldest of several.
func (t *Table) evictIfFull() {
	if len(t.entries) < maxSuspects {
		return
	}
	var least Digest
	var leastEntry *entry
	for digest, known := range t.entries {
		if leastEntry == nil || cmp.Or(cmp.Compare(len(known.crashes), len(leastEntry.crashes)), known.eventAt.Compare(leastEntry.eventAt)) < 0 {
			least, leastEntry = digest, known
		}
	}
	delete(t.entries, least)
}

// evictExpired drops suspects whose retention has passed.
func (t *Table) evictExpired(now time.Time) {
	for digest, known := range t.entries {
		if now.Sub(known.eventAt) > known.retention() {
			delete(t.entries, digest)
		}
	}
}

// refusalTime is how long the request is refused after its last crash.
func (e *entry) refusalTime() time.Duration {
	return min(maxRefusalTime, refusalTime<<max(0, len(e.crashes)-refuseThreshold))
}

func (e *entry) retention() time.Duration {
	if len(e.crashes) < refuseThreshold {
		return suspectTTL
	}
	// After the refusal the request is kept until all nodes may try it again, plus suspectTTL,
	// so that another crash counts on top of the earlier ones. It is dropped if it is not sent
	// again.
	return e.refusalTime() + trialInterval*maxTrialRank + suspectTTL
}
