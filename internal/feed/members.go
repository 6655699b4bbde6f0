package feed

import "sort"

const (
	// followersPerHead bounds how many nodes of a zone follow one head.
	followersPerHead = 32
	// fewestHeads is how many heads there are at least, so that the loss of the one
	// that watches the store leaves others that take its place at once.
	fewestHeads = 3
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

// rootOf returns the one of the heads that watches the store. It is the last in
// rank: the best nodes have other duties, which would be lost at the same time.
func rootOf(heads []Member) (Member, bool) {
	if len(heads) == 0 {
		return Member{}, false
	}
	return heads[len(heads)-1], true
}

// headsOf returns, in the order of their rank, those of ranked members that pass
// changes on to their zone: some of each zone, and the best of all until there are
// enough.
func headsOf(ranked []Member) []Member {
	inZone := make(map[string]int)
	for _, member := range ranked {
		inZone[member.Zone]++
	}
	chosen := make(map[string]bool)
	taken := make(map[string]int)
	for _, member := range ranked {
		if taken[member.Zone] < 1+(inZone[member.Zone]-1)/followersPerHead {
			taken[member.Zone]++
			chosen[member.Name] = true
		}
	}
	for _, member := range ranked {
		if len(chosen) >= fewestHeads {
			break
		}
		chosen[member.Name] = true
	}
	var heads []Member
	for _, member := range ranked {
		if chosen[member.Name] {
			heads = append(heads, member)
		}
	}
	return heads
}

// upstreamOf returns the node that a node follows: a head follows the root, any
// other one a head of its own zone if there is any. Nodes of a zone are spread over
// its heads by their position among the ranked members.
func upstreamOf(self Member, ranked, heads []Member) (Member, bool) {
	for _, head := range heads {
		if head.Name == self.Name {
			return rootOf(heads)
		}
	}
	near := heads[:0:0]
	for _, head := range heads {
		if head.Zone == self.Zone {
			near = append(near, head)
		}
	}
	if len(near) == 0 {
		near = heads
	}
	if len(near) == 0 {
		return Member{}, false
	}
	position := 0
	for _, member := range ranked {
		if member.Name == self.Name {
			break
		}
		position++
	}
	return near[position%len(near)], true
}
