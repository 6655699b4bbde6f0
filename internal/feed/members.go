package feed

import (
	"cmp"
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"
)

const (
	// followersPerHead is the maximum number of nodes in a zone per head.
	followersPerHead = 32
	// minHeads is the minimum number of heads, so that others can take over at once when the head
	// that watches the store is lost.
	minHeads = 3
)

// Member is a registered node.
type Member struct {
	Name string
	Zone string
	// Address is the address for messages from other nodes.
	Address string
	// Share is the node's share of a processor; nodes with a greater share are preferred as heads.
	Share float64
}

// Rank sorts members by their preference for duties: greater processor shares first, then by name.
// All nodes with the same list of members compute the same order.
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

// rootRank is the rank of the head that watches the store. The best-ranked nodes have other duties,
// which would be lost at the same time; the lowest-ranked ones are heads only while their zone has
// enough nodes.
const rootRank = 2

// watchOrder returns the heads in the order in which they watch the store: the root, the heads
// ranked below it, and finally those ranked above it.
func watchOrder(heads []Member) []Member {
	first := min(rootRank, max(0, len(heads)-1))
	return append(slices.Clone(heads[first:]), heads[:first]...)
}

// first returns the first member, or false if there are none.
func first(members []Member) (Member, bool) {
	if len(members) == 0 {
		return Member{}, false
	}
	return members[0], true
}

// minHeadShareRatio is the minimum processor share of a head, relative to the greatest share of any
// member. Serving the followers of a head uses the whole processor of a machine with a fifth of the
// greatest share, and its followers fall behind.
const minHeadShareRatio = 0.5

// headsOf returns, in rank order, the members that serve as heads: some of each zone that has
// eligible members, and then the best-ranked ones of any zone until there are enough heads for the
// number of members.
func headsOf(ranked []Member) []Member {
	candidates := headCandidates(ranked)
	zoneSize := make(map[string]int)
	for _, member := range ranked {
		zoneSize[member.Zone]++
	}
	chosen := make(map[string]bool)
	headsInZone := make(map[string]int)
	for _, member := range candidates {
		if headsInZone[member.Zone] < 1+(zoneSize[member.Zone]-1)/followersPerHead {
			headsInZone[member.Zone]++
			chosen[member.Name] = true
		}
	}
	target := max(minHeads, (len(ranked)+followersPerHead-1)/followersPerHead)
	for _, member := range ranked {
		if len(chosen) >= target {
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

// headCandidates returns the ranked members that are eligible as heads.
func headCandidates(ranked []Member) []Member {
	for index, member := range ranked {
		if member.Share < minHeadShareRatio*ranked[0].Share {
			return ranked[:index]
		}
	}
	return ranked
}

// upstreamsOf returns the nodes that a node may follow, most preferred first.
//
// A head follows the root or one of the heads before it in the watch order, so that it never
// follows a head that may follow it. Any other node follows a head of its own zone, or else one of
// another zone. Its preference among them does not depend on which other nodes exist, so that nodes
// keep their heads while other nodes come and go.
func upstreamsOf(self Member, watchPriority []Member) []Member {
	if index := positionOf(self, watchPriority); index >= 0 {
		return watchPriority[:index]
	}
	upstreams := slices.Clone(watchPriority)
	slices.SortFunc(upstreams, func(a, b Member) int {
		if sameZone := a.Zone == self.Zone; sameZone != (b.Zone == self.Zone) {
			if sameZone {
				return -1
			}
			return 1
		}
		return cmp.Compare(rendezvousWeight(self, b), rendezvousWeight(self, a))
	})
	return upstreams
}

// withoutSelf returns members without the given node.
func withoutSelf(self Member, members []Member) []Member {
	return slices.DeleteFunc(slices.Clone(members), func(member Member) bool { return member.Name == self.Name })
}

// rendezvousWeight returns the weight of a head for a node in rendezvous hashing, which spreads the
// nodes evenly over the heads of a zone.
func rendezvousWeight(node, head Member) uint64 {
	return xxhash.Sum64String(node.Name + "\x00" + head.Name)
}

// positionOf returns the index of a node in members, or -1.
func positionOf(node Member, members []Member) int {
	return slices.IndexFunc(members, func(member Member) bool { return member.Name == node.Name })
}
