package replication

import "github.com/micahaven/micahaven/internal/wire"

// entryLog holds the entries after a base position that a snapshot covers.
//
// Invariant: entries[i].Index == baseIndex+1+i.
type entryLog struct {
	baseTerm  uint64
	baseIndex uint64
	entries   []*wire.Entry
}

func (l *entryLog) lastIndex() uint64 {
	return l.baseIndex + uint64(len(l.entries))
}

func (l *entryLog) lastTerm() uint64 {
	if len(l.entries) == 0 {
		return l.baseTerm
	}
	return l.entries[len(l.entries)-1].GetTerm()
}

// term returns the term at index, and false when the log does not hold it.
func (l *entryLog) term(index uint64) (uint64, bool) {
	if index == l.baseIndex {
		return l.baseTerm, true
	}
	if index < l.baseIndex || index > l.lastIndex() {
		return 0, false
	}
	return l.entries[index-l.baseIndex-1].GetTerm(), true
}

func (l *entryLog) at(index uint64) *wire.Entry {
	return l.entries[index-l.baseIndex-1]
}

// from returns up to limit entries starting at index.
func (l *entryLog) from(index uint64, limit int) []*wire.Entry {
	if index > l.lastIndex() {
		return nil
	}
	tail := l.entries[index-l.baseIndex-1:]
	if len(tail) > limit {
		tail = tail[:limit]
	}
	// A copy, because a later truncation may overwrite the backing array while
	// the message is still being encoded.
	return append([]*wire.Entry(nil), tail...)
}

func (l *entryLog) append(entries ...*wire.Entry) {
	l.entries = append(l.entries, entries...)
}

// truncateAfter drops every entry behind index.
func (l *entryLog) truncateAfter(index uint64) {
	if index < l.lastIndex() {
		l.entries = l.entries[:index-l.baseIndex]
	}
}

// compact moves the base forward to index, which must be held.
func (l *entryLog) compact(index uint64) {
	term, held := l.term(index)
	if !held || index == l.baseIndex {
		return
	}
	kept := l.entries[index-l.baseIndex:]
	l.entries = append([]*wire.Entry(nil), kept...)
	l.baseIndex = index
	l.baseTerm = term
}

// reset replaces the whole log by a snapshot position.
func (l *entryLog) reset(term, index uint64) {
	l.baseTerm = term
	l.baseIndex = index
	l.entries = nil
}

// isUpToDate reports whether a log ending at (term, index) holds at least as
// much as this one, which a voter demands of a candidate.
func (l *entryLog) isUpToDate(term, index uint64) bool {
	if term != l.lastTerm() {
		return term > l.lastTerm()
	}
	return index >= l.lastIndex()
}
