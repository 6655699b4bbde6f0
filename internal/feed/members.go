package feed

import (
	"cmp"
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"
)

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

// rootRank is the rank of the head that watches the store. The best nodes have other
// duties, which would be lost at the same time; the last ones are heads only as long as
// their zone has as many nodes.
const rootRank = 2

// watchOrder returns the heads in the order in which they are to watch the store: the
// root, those behind it in rank, and last the better ones.
func watchOrder(heads []Member) []Member {
	first := min(rootRank, max(0, len(heads)-1))
	return append(slices.Clone(heads[first:]), heads[:first]...)
}

// first returns the first of some members, if there are any.
func first(members []Member) (Member, bool) {
	if len(members) == 0 {
		return Member{}, false
	}
	return members[0], true
}

// strongShare is the part of the greatest share of a processor that a head has at
// least: what a head passes on to its followers takes a machine with a fifth of the
// greatest share all of its processor, and its followers fall behind.
const strongShare = 0.5

// headsOf returns, in the order of their rank, those of ranked members that pass
// changes on to their zone: some of each zone that has strong ones, and the best of all
// until there are enough for the number of members.
func headsOf(ranked []Member) []Member {
	strong := strongOf(ranked)
	inZone := make(map[string]int)
	for _, member := range ranked {
		inZone[member.Zone]++
	}
	chosen := make(map[string]bool)
	taken := make(map[string]int)
	for _, member := range strong {
		if taken[member.Zone] < 1+(inZone[member.Zone]-1)/followersPerHead {
			taken[member.Zone]++
			chosen[member.Name] = true
		}
	}
	enough := max(fewestHeads, (len(ranked)+followersPerHead-1)/followersPerHead)
	for _, member := range ranked {
		if len(chosen) >= enough {
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

// strongOf returns those of ranked members that may be heads.
func strongOf(ranked []Member) []Member {
	for index, member := range ranked {
		if member.Share < strongShare*ranked[0].Share {
			return ranked[:index]
		}
	}
	return ranked
}

// upstreamsOf returns the nodes that a node may follow, the preferred one first.
//
// A head follows the root, or else one of the heads that come before it in their order:
// it never follows a head that may follow it. Any other node follows a head of its own
// zone, or else one of another zone; which of them it prefers does not depend on what
// other nodes there are, so that nodes stay with their heads while others come and go.
func upstreamsOf(self Member, order []Member) []Member {
	if index := positionOf(self, order); index >= 0 {
		return order[:index]
	}
	upstreams := slices.Clone(order)
	slices.SortFunc(upstreams, func(a, b Member) int {
		if near := a.Zone == self.Zone; near != (b.Zone == self.Zone) {
			if near {
				return -1
			}
			return 1
		}
		return cmp.Compare(preference(self, b), preference(self, a))
	})
	return upstreams
}

// withoutSelf returns members without a node.
func withoutSelf(self Member, members []Member) []Member {
	return slices.DeleteFunc(slices.Clone(members), func(member Member) bool { return member.Name == self.Name })
}

// preference is how much a node prefers a head among those of the same zone: a number
// that spreads the nodes evenly over them (rendezvous hashing).
func preference(node, head Member) uint64 {
	return xxhash.Sum64String(node.Name + "\x00" + head.Name)
}

// positionOf returns the position of a node among members, or -1.
func positionOf(node Member, members []Member) int {
	return slices.IndexFunc(members, func(member Member) bool { return member.Name == node.Name })
}
