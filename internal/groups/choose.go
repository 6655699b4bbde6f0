// Package groups decides which nodes form a service's ownership group, creates
// groups, repairs their membership and recovers those that lost a majority.
package groups

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/micahaven/micahaven/internal/machines"
)

// Rank orders nodes for a group by rendezvous hashing: every node computes the
// same order, and the loss of a node changes only the groups it was in.
func Rank(group string, nodes []machines.Machine) []machines.Machine {
	ranked := slices.Clone(nodes)
	weight := func(node machines.Machine) uint64 { return xxhash.Sum64String(group + "\x00" + node.ID) }
	slices.SortFunc(ranked, func(a, b machines.Machine) int {
		return cmp.Or(cmp.Compare(weight(b), weight(a)), cmp.Compare(a.ID, b.ID))
	})
	return ranked
}

// Choose returns up to count nodes for a group, in different zones as far as
// there are enough, preferring those that are members already.
func Choose(group string, nodes []machines.Machine, present []string, count int) []machines.Machine {
	ranked := Rank(group, nodes)
	slices.SortStableFunc(ranked, func(a, b machines.Machine) int {
		return cmp.Compare(absence(present, a.ID), absence(present, b.ID))
	})
	var chosen []machines.Machine
	zones := make(map[string]bool)
	take := func(needsNewZone bool) {
		for _, node := range ranked {
			isChosen := slices.ContainsFunc(chosen, func(m machines.Machine) bool { return m.ID == node.ID })
			if len(chosen) == count || isChosen || (needsNewZone && zones[node.Zone]) {
				continue
			}
			chosen = append(chosen, node)
			zones[node.Zone] = true
		}
	}
	take(true)
	take(false)
	return chosen
}

// absence is 0 for a present member and 1 for any other node.
func absence(present []string, id string) int {
	if slices.Contains(present, id) {
		return 0
	}
	return 1
}
