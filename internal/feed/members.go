package feed

import "sort"

const (
	// followersPerWatcher bounds how many nodes of a zone follow one watcher.
	followersPerWatcher = 32
	// fewestWatchers is how many nodes watch the store at least, so that the loss
	// of one leaves others that notice a silent watch.
	fewestWatchers = 3
)

// Member is a registered node.
type Member struct {
	Name string
	Zone string
	// Address is where the node takes messages of other nodes.
	Address string
	// Share is the part of a processor that the node has; nodes with more of it
	// are preferred as watchers.
	Share float64
}

// Rank sorts members by their preference for duties: those with a greater share
// of a processor first. All nodes that know the same members get the same order.
func Rank(members []Member) []Member {
	ranked := append([]Member(nil), members...)
	sort.Slice(ranked, func(i, j int) bool {
		if ranked[i].Share != ranked[j].Share {
			return ranked[i].Share > ranked[j].Share
		}
		return ranked[i].Name < ranked[j].Name
	})
	return ranked
}

// watchersOf returns, in the order of their rank, the members that watch the
// store: some of each zone, and the best of all until there are enough.
func watchersOf(members []Member) []Member {
	ranked := Rank(members)
	inZone := make(map[string]int)
	for _, member := range ranked {
		inZone[member.Zone]++
	}
	chosen := make(map[string]bool)
	taken := make(map[string]int)
	for _, member := range ranked {
		if taken[member.Zone] < 1+(inZone[member.Zone]-1)/followersPerWatcher {
			taken[member.Zone]++
			chosen[member.Name] = true
		}
	}
	for _, member := range ranked {
		if len(chosen) >= fewestWatchers {
			break
		}
		chosen[member.Name] = true
	}
	var watchers []Member
	for _, member := range ranked {
		if chosen[member.Name] {
			watchers = append(watchers, member)
		}
	}
	return watchers
}

// upstreamOf returns the watcher that a node follows: one of its own zone if
// there is any. Nodes of a zone are spread over its watchers by their position.
func upstreamOf(self Member, members, watchers []Member) (Member, bool) {
	near := watchers[:0:0]
	for _, watcher := range watchers {
		if watcher.Zone == self.Zone {
			near = append(near, watcher)
		}
	}
	if len(near) == 0 {
		near = watchers
	}
	if len(near) == 0 {
		return Member{}, false
	}
	position := 0
	for _, member := range Rank(members) {
		if member.Name == self.Name {
			break
		}
		position++
	}
	return near[position%len(near)], true
}
