// Package poison finds requests that crash the servers that run them, so that they are sent
// nowhere any more. docs/design/crashing-requests.md has what counts as evidence and the ways
// that were weighed.
//
// Table is pure: it has neither I/O nor a clock. Guard is the one that nodes use.
package poison

import (
	"cmp"
	"slices"
	"time"
)

const (
	// aloneFrom is from how many lives of servers a suspect runs alone, and certainFrom from
	// how many it is refused.
	aloneFrom   = 2
	certainFrom = 3
	// suspectFor is for how long a suspect is remembered that crashes nothing more.
	suspectFor = time.Minute
	// refusedFor is for how long a request that has crashed certainFrom lives is refused; each
	// further life doubles that, up to longestRefused.
	refusedFor     = time.Minute
	longestRefused = 10 * time.Minute
	// trialPause is the time between the first node that tries such a request again and the
	// next one: enough for the others to hear what came of it.
	trialPause = 2 * time.Second
	// maxTrialRank is the rank from which all nodes may try it: with nobody asking for it at
	// the nodes before them for so long, there is hardly anybody who does.
	maxTrialRank = 16
	// maxLives bounds the lives that are remembered of one suspect, and maxSuspects the
	// suspects of a node.
	maxLives    = 8
	maxSuspects = 1024
	// MaxBlamed bounds how many requests one crash is put down to: more of them would say
	// nothing of any.
	MaxBlamed = 16
)

// Digest stands for all tries of one request.
type Digest [16]byte

// Suspect is what is known of a request.
type Suspect struct {
	Digest Digest
	// Lives are the lives of servers that crashed while they ran it, at most maxLives.
	Lives []string
	// Age is how long ago that was last the case; or how long ago it was answered, if
	// Cleared.
	Age time.Duration
	// Cleared is true if a server answered it since.
	Cleared bool
}

// Certain reports whether the request is refused.
func (s Suspect) Certain() bool { return len(s.Lives) >= certainFrom }

// Verdict is what is done with a request.
type Verdict int

// The verdicts.
const (
	// Send: it goes like others.
	Send Verdict = iota
	// Alone: it goes if no other suspect of its service runs at this node.
	Alone
	// Refuse: it goes nowhere.
	Refuse
)

// Table is what one node knows of requests that servers crashed of. It is not safe for
// concurrent use.
type Table struct {
	entries map[Digest]*entry
}

type entry struct {
	lives []string
	// at is when a life last crashed, or when the request was answered if it is cleared.
	at      time.Time
	cleared bool
}

// NewTable returns a table that suspects nothing.
func NewTable() *Table { return &Table{entries: make(map[Digest]*entry)} }

// Len is how many requests are remembered.
func (t *Table) Len() int { return len(t.entries) }

// Crashed takes in that a life of a server crashed while it ran some requests, and returns
// those that are blamed for it.
func (t *Table) Crashed(now time.Time, life string, running []Digest) []Suspect {
	t.forget(now)
	most := 0
	for _, digest := range running {
		most = max(most, t.lives(digest))
	}
	var blamed []Suspect
	for _, digest := range running {
		if t.lives(digest) < most || len(blamed) == MaxBlamed {
			continue
		}
		if t.add(now, digest, life) {
			blamed = append(blamed, t.suspect(now, digest))
		}
	}
	return blamed
}

// Merge takes in what another node knows of a request, and reports whether that changes what
// is known here.
func (t *Table) Merge(now time.Time, told Suspect) bool {
	at := now.Add(-told.Age)
	known := t.entries[told.Digest]
	if told.Cleared {
		if known == nil || known.cleared || at.Before(known.at) {
			return false
		}
		*known = entry{at: at, cleared: true}
		return true
	}
	if known != nil && known.cleared && !at.After(known.at) {
		return false
	}
	changed := false
	for _, life := range told.Lives {
		changed = t.add(at, told.Digest, life) || changed
	}
	return changed
}

// Answered takes in that a server answered a request. If others suspect it too they are to be
// told what is returned.
func (t *Table) Answered(now time.Time, digest Digest) (told Suspect, tell bool) {
	known := t.entries[digest]
	if known == nil || known.cleared {
		return Suspect{}, false
	}
	lives := len(known.lives)
	*known = entry{at: now, cleared: true}
	return t.suspect(now, digest), lives >= aloneFrom
}

// Verdict returns what is done with a request at the node of a rank among those that may try
// it again, 0 being the first, and for how long if it is refused.
func (t *Table) Verdict(now time.Time, digest Digest, rank func() int) (Verdict, time.Duration) {
	known := t.entries[digest]
	if known == nil || known.cleared || now.Sub(known.at) > known.rememberedFor() {
		return Send, 0
	}
	switch lives := len(known.lives); {
	case lives < aloneFrom:
		return Send, 0
	case lives < certainFrom:
		return Alone, 0
	}
	over := known.at.Add(known.refusedFor())
	if now.Before(over) {
		return Refuse, over.Sub(now)
	}
	over = over.Add(trialPause * time.Duration(min(rank(), maxTrialRank)))
	if now.Before(over) {
		return Refuse, over.Sub(now)
	}
	return Alone, 0
}

// Certain returns the requests that are refused.
func (t *Table) Certain(now time.Time) []Suspect {
	t.forget(now)
	var certain []Suspect
	for digest := range t.entries {
		if suspect := t.suspect(now, digest); suspect.Certain() {
			certain = append(certain, suspect)
		}
	}
	return certain
}

// Suspect returns what is known of a request.
func (t *Table) suspect(now time.Time, digest Digest) Suspect {
	known := t.entries[digest]
	return Suspect{Digest: digest, Lives: slices.Clone(known.lives), Age: now.Sub(known.at), Cleared: known.cleared}
}

func (t *Table) lives(digest Digest) int {
	if known := t.entries[digest]; known != nil {
		return len(known.lives)
	}
	return 0
}

// add adds a life that crashed while it ran a request, and reports whether it wasn't known.
func (t *Table) add(at time.Time, digest Digest, life string) bool {
	known := t.entries[digest]
	if known == nil {
		known = &entry{}
		t.makeRoom()
		t.entries[digest] = known
	}
	if slices.Contains(known.lives, life) {
		return false
	}
	known.cleared = false
	if at.After(known.at) {
		known.at = at
	}
	known.lives = append(known.lives, life)
	if len(known.lives) > maxLives {
		known.lives = known.lives[1:]
	}
	return true
}

// makeRoom drops the least suspected one, of those the oldest, if the table is full.
func (t *Table) makeRoom() {
	if len(t.entries) < maxSuspects {
		return
	}
	var least Digest
	var leastEntry *entry
	for digest, known := range t.entries {
		if leastEntry == nil || cmp.Or(cmp.Compare(len(known.lives), len(leastEntry.lives)), known.at.Compare(leastEntry.at)) < 0 {
			least, leastEntry = digest, known
		}
	}
	delete(t.entries, least)
}

// forget drops what has lapsed.
func (t *Table) forget(now time.Time) {
	for digest, known := range t.entries {
		if now.Sub(known.at) > known.rememberedFor() {
			delete(t.entries, digest)
		}
	}
}

// refusedFor is for how long a request is refused after the last life that crashed of it.
func (e *entry) refusedFor() time.Duration {
	return min(longestRefused, refusedFor<<max(0, len(e.lives)-certainFrom))
}

func (e *entry) rememberedFor() time.Duration {
	if len(e.lives) < certainFrom {
		return suspectFor
	}
	// One that nobody asks for any more is forgotten; until then the next crash of it counts
	// as one more.
	return e.refusedFor() + trialPause*maxTrialRank + suspectFor
}
