// Package rendezvous chooses some of many by hashing: everybody who knows the same names
// finds the same ones for a key, and a name that comes or goes changes the choice of few
// keys.
package rendezvous

import (
	"cmp"
	"hash/fnv"
	"slices"
)

// Score is how much a name is preferred for a key: the greater the better.
func Score(key, name string) uint64 {
	sum := fnv.New64a()
	// Writing to a hash never fails.
	_, _ = sum.Write([]byte(key))
	_, _ = sum.Write([]byte{0})
	_, _ = sum.Write([]byte(name))
	return mix(sum.Sum64())
}

// Highest returns the names with the greatest scores for a key, the best first: count of
// them, or all if there are fewer.
func Highest(key string, names []string, count int) []string {
	type scored struct {
		name  string
		score uint64
	}
	all := make([]scored, 0, len(names))
	for _, name := range names {
		all = append(all, scored{name, Score(key, name)})
	}
	slices.SortFunc(all, func(a, b scored) int { return cmp.Compare(b.score, a.score) })
	best := make([]string, 0, min(count, len(all)))
	for _, s := range all[:min(count, len(all))] {
		best = append(best, s.name)
	}
	return best
}

// mix spreads the bits of a hash whose last bytes hardly reach the highest bits; it is
// the finalizer of MurmurHash3.
func mix(value uint64) uint64 {
	value ^= value >> 33
	value *= 0xff51afd7ed558ccd
	value ^= value >> 33
	value *= 0xc4ceb9fe1a85ec53
	return value ^ value>>33
}
