// Package rendezvous implements rendezvous hashing (highest random weight): all processes that
// know the same names choose the same ones for a key, and adding or removing a name changes the
// choice for few keys.
package rendezvous

import (
	"cmp"
	"hash/fnv"
	"slices"
)

// Score returns the weight of a name for a key. Names with greater scores are preferred.
func Score(key, name string) uint64 {
	sum := fnv.New64a()
	// Writing to a hash never fails.
	_, _ = sum.Write([]byte(key))
	_, _ = sum.Write([]byte{0})
	_, _ = sum.Write([]byte(name))
	return mix(sum.Sum64())
}

// Highest returns the count names with the greatest scores for a key, or all if there are fewer,
// in descending order of score.
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

// mix is the finalizer of MurmurHash3. It is needed because the last bytes of the input hardly
// affect the highest bits of an FNV-1a hash.
func mix(value uint64) uint64 {
	value ^= value >> 33
	value *= 0xff51afd7ed558ccd
	value ^= value >> 33
	value *= 0xc4ceb9fe1a85ec53
	return value ^ value>>33
}
