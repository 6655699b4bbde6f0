package simulation

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/micahaven/micahaven/internal/holder"
	"github.com/micahaven/micahaven/internal/wire"
)

// checker looks at every process after every event.
type checker struct {
	world    *world
	founding *wire.Snapshot
	// log holds the committed entry of each position, as first seen.
	log map[uint64]*wire.Entry
	// fences holds the newest fence under which each slice was owned.
	fences []*wire.Fence

	lastCheck time.Duration
	served    time.Duration
}

func newChecker(w *world) *checker {
	return &checker{
		world:  w,
		log:    make(map[uint64]*wire.Entry),
		fences: make([]*wire.Fence, w.options.Slices),
	}
}

// committed checks that no position of the log ever has two entries: this is
// what keeps an acknowledged assignment.
func (c *checker) committed(n *node, entries []*wire.Entry) {
	for _, entry := range entries {
		known := c.log[entry.GetIndex()]
		if known == nil {
			c.log[entry.GetIndex()] = entry
			c.world.result.Commits++
			c.world.result.Assigned += uint64(len(entry.GetAssign().GetAssignments()))
			continue
		}
		if !proto.Equal(known, entry) {
			c.world.violate("node %s committed another entry at %d: %v, before: %v", n.name, entry.GetIndex(), entry, known)
		}
	}
}

func (c *checker) check() {
	c.checkLeaders()
	c.checkOwners()
}

// checkLeaders checks that at most one node that runs may act as the leader.
func (c *checker) checkLeaders() {
	leader := ""
	for _, n := range c.world.nodes {
		if c.world.now < n.frozenUntil || !n.replica.HasAuthority(n.clock(c.world.now)) {
			continue
		}
		if leader != "" {
			c.world.violate("nodes %s and %s lead", leader, n.name)
		}
		leader = n.name
	}
}

// checkOwners checks that at most one server that runs would run a request for
// a slice, and that fences never go back.
func (c *checker) checkOwners() {
	elapsed := c.world.now - c.lastCheck
	c.lastCheck = c.world.now
	for slice := range c.world.options.Slices {
		owner := ""
		for _, s := range c.world.servers {
			fence := c.fenceOf(s, slice)
			if fence == nil {
				continue
			}
			if owner != "" {
				c.world.violate("servers %s and %s own slice %d", owner, s.name, slice)
			}
			owner = s.name
			newest := c.fences[slice]
			if newest != nil && holder.Compare(fence, newest) < 0 {
				c.world.violate("server %s owns slice %d under fence %v after %v", s.name, slice, fence, newest)
			}
			c.fences[slice] = fence
		}
		if owner != "" {
			c.served += elapsed
		}
	}
}

// fenceOf returns the fence under which a server that runs would run a request
// for a slice now, or nil.
func (c *checker) fenceOf(s *server, slice uint32) *wire.Fence {
	if c.world.now < s.frozenUntil {
		return nil
	}
	return s.holder.FenceOf(s.clock(c.world.now), slice)
}

func (c *checker) servedShare() float64 {
	total := time.Duration(c.world.options.Slices) * c.lastCheck
	if total == 0 {
		return 0
	}
	return float64(c.served) / float64(total)
}
