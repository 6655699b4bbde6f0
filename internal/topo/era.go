package topo

// RevisionsPerEra is how many revision numbers an era has at most.
const RevisionsPerEra = 1_000_000_000_000

// RevisionIn returns the revision with a number of an era. Revisions are ordered by their era
// first: in a new era the store gives out numbers again.
func RevisionIn(era, number int64) int64 { return era*RevisionsPerEra + number }

// EraOf returns the era of a revision.
func EraOf(revision int64) int64 { return revision / RevisionsPerEra }

// NumberOf returns a revision's number within its era.
func NumberOf(revision int64) int64 { return revision % RevisionsPerEra }

// CrossesEras reports whether a batch leads from one era to a later one.
func (b Batch) CrossesEras() bool { return EraOf(b.After) != EraOf(b.Revision) }
