package shardmanager

import (
	"slices"
	"time"

	"github.com/micahaven/micahaven/internal/discovery"
	"github.com/micahaven/micahaven/internal/shards"
	"github.com/micahaven/micahaven/internal/view"
)

// maxSlotsRatio bounds the slots of a server that count for capacity, as a multiple of the upper
// quartile of the slots of the service's other servers.
const maxSlotsRatio = 4

// countedSlots returns how many slots of each of a service's servers count for capacity. A figure in
// an entry that is off by orders of magnitude must not move all keys.
func countedSlots(now time.Time, servers view.ServerIndex) map[discovery.ServerID]int {
	var present []int
	for _, s := range servers.All() {
		if !s.Gone(now, goneGrace) {
			present = append(present, max(1, s.Slots))
		}
	}
	slices.Sort(present)
	counted := make(map[discovery.ServerID]int, servers.Len())
	for _, s := range servers.All() {
		counted[s.ID] = boundedSlots(present, max(1, s.Slots), !s.Gone(now, goneGrace))
	}
	return counted
}

// boundedSlots bounds the slots of one server by those of the others, given the sorted slots of the
// servers that are present and whether the server is one of them.
func boundedSlots(present []int, slots int, isPresent bool) int {
	others, own := len(present), len(present)
	if isPresent {
		own, _ = slices.BinarySearch(present, slots)
		others--
	}
	if others == 0 {
		return slots
	}
	quartile := 3 * (others - 1) / 4
	if quartile >= own {
		quartile++
	}
	if slots/maxSlotsRatio < present[quartile] {
		return slots
	}
	return maxSlotsRatio * present[quartile]
}

// applyRateLimits bounds the capacities of servers that have a rate limit. The caller holds the
// mutex.
func (t *term) applyRateLimits(servers []shards.Server) {
	if t.manager.config.RateLimit == nil {
		return
	}
	all := 0.0
	for _, server := range servers {
		if server.Accepting {
			all += server.Capacity
		}
	}
	requestRate := t.core.RequestRate(t.now())
	for index := range servers {
		server := &servers[index]
		limit, limited := t.manager.config.RateLimit(string(server.ID))
		if !limited {
			continue
		}
		server.Capacity = capacityWithinLimit(limit, server.Capacity, all-server.Capacity, requestRate)
		server.ReducedCapacity = isReduced(server.Capacity, t.slots[server.ID])
	}
}
