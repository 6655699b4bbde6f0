package topo

// RevisionsPerEra is the size of an era's range of revision numbers.
const RevisionsPerEra = 1_000_000_000_000

// RevisionIn combines an era and a revision number of that era into a revision. Revisions are
// ordered by era first, because the store assigns the same numbers again in a new era.
func RevisionIn(era, number int64) int64 { return era*RevisionsPerEra + number }

// EraOf returns the era of a revision.
func EraOf(revision int64) int64 { return revision / RevisionsPerEra }

// NumberOf returns a revision's number within its era.
func NumberOf(revision int64) int64 { return revision % RevisionsPerEra }

// CrossesEras reports whether the batch begins in one era and ends in another.
func (b Batch) CrossesEras() bool { return EraOf(b.After) != EraOf(b.Revision) }

// NeedsExactCopy reports whether the batch applies only to the copy at After. A later copy may have
// changes that are lost in the new era, or keys that a difference lacks.
func (b Batch) NeedsExactCopy() bool { return b.Difference || b.CrossesEras() }
