// Package placement decides which server should own which slice. It is pure:
// the same input always gives the same plan.
//
// A plan moves only what it must: slices without a usable owner first, then
// slices from servers above their share to servers below it, and only when the
// imbalance is larger than the tolerance. Operators choose the tolerance per
// service: a small one keeps load even, a large one keeps keys where they are.
package placement

import (
	"cmp"
	"math"
	"slices"

	"github.com/micahaven/micahaven/internal/identity"
)

// Target is a server that may own slices. Weights are relative and positive.
type Target struct {
	Server identity.ServerID
	Weight float64
}

// Input is all that a plan depends on.
type Input struct {
	// Current holds the owner of each slice; empty means none.
	Current []identity.ServerID
	// Loads holds the measured load of each slice in requests a second; nil
	// means equal.
	Loads []float64
	// Targets holds the servers that may own slices.
	Targets []Target
	// Tolerance is the accepted deviation of a server's load from its share,
	// as a fraction: 0.1 accepts 10 percent above or below.
	Tolerance float64
}

// baseShare is the part of a slice's cost that does not depend on measured
// load: idle slices must be spread too, because they may become busy.
const baseShare = 0.3

// noiseRate is the load of a slice, in requests a second, at which a measurement
// counts half: less says little about which slices are busy.
const noiseRate = 2

// Plan returns the owner that each slice should have. With no targets every
// slice keeps the owner it has.
func Plan(input Input) []identity.ServerID {
	if len(input.Targets) == 0 {
		return slices.Clone(input.Current)
	}
	p := newPlanner(input)
	p.placeOrphans()
	p.rebalance(input.Tolerance)
	return p.owners
}

// Moves counts the slices whose owner differs between two assignments.
func Moves(before, after []identity.ServerID) int {
	count := 0
	for slice := range before {
		if before[slice] != after[slice] {
			count++
		}
	}
	return count
}

// Imbalance returns the largest load per weight over the mean, where 1 is even.
func Imbalance(input Input, owners []identity.ServerID) float64 {
	input.Current = owners
	p := newPlanner(input)
	largest := 0.0
	for _, server := range p.servers {
		largest = math.Max(largest, server.ratio())
	}
	return largest
}

type serverLoad struct {
	id    identity.ServerID
	share float64
	load  float64
}

// ratio is the load over the share: 1 when the server has exactly its share.
func (s *serverLoad) ratio() float64 { return s.load / s.share }

type planner struct {
	owners  []identity.ServerID
	costs   []float64
	servers []*serverLoad
	byID    map[identity.ServerID]*serverLoad
	// slicesOf holds the slices of each server, in ascending order.
	slicesOf map[identity.ServerID][]int
}

func newPlanner(input Input) *planner {
	p := &planner{
		owners:   slices.Clone(input.Current),
		costs:    sliceCosts(len(input.Current), input.Loads),
		byID:     make(map[identity.ServerID]*serverLoad),
		slicesOf: make(map[identity.ServerID][]int),
	}
	total := 0.0
	for _, target := range input.Targets {
		total += target.Weight
	}
	for _, target := range input.Targets {
		server := &serverLoad{id: target.Server, share: target.Weight / total}
		p.servers = append(p.servers, server)
		p.byID[target.Server] = server
	}
	slices.SortFunc(p.servers, func(a, b *serverLoad) int { return cmp.Compare(a.id, b.id) })
	for slice, owner := range p.owners {
		if server := p.byID[owner]; server != nil {
			server.load += p.costs[slice]
			p.slicesOf[owner] = append(p.slicesOf[owner], slice)
		}
	}
	return p
}

// sliceCosts returns each slice's part of the whole load; the parts sum to 1.
func sliceCosts(count int, loads []float64) []float64 {
	costs := make([]float64, count)
	total := 0.0
	for _, load := range loads {
		total += load
	}
	measuredShare := (1 - baseShare) * total / (total + noiseRate*float64(count))
	for slice := range costs {
		costs[slice] = (1 - measuredShare) / float64(count)
		if total > 0 {
			costs[slice] += measuredShare * loads[slice] / total
		}
	}
	return costs
}

// placeOrphans gives every slice without a usable owner to the server that is
// furthest below its share, the costliest slices first.
func (p *planner) placeOrphans() {
	var orphans []int
	for slice, owner := range p.owners {
		if p.byID[owner] == nil {
			orphans = append(orphans, slice)
		}
	}
	slices.SortStableFunc(orphans, func(a, b int) int { return cmp.Compare(p.costs[b], p.costs[a]) })
	for _, slice := range orphans {
		best := slices.MinFunc(p.servers, func(a, b *serverLoad) int {
			return cmp.Compare((a.load+p.costs[slice])/a.share, (b.load+p.costs[slice])/b.share)
		})
		p.owners[slice] = best.id
		best.load += p.costs[slice]
		p.slicesOf[best.id] = append(p.slicesOf[best.id], slice)
	}
}

// roundingError keeps sums that differ only in the order of their terms from
// moving slices: a plan that was carried out must not move anything again.
const roundingError = 1e-9

// rebalance moves slices from the fullest to the emptiest server while either
// is outside the tolerance and a move still helps.
func (p *planner) rebalance(tolerance float64) {
	for range p.owners {
		fullest := slices.MaxFunc(p.servers, func(a, b *serverLoad) int { return cmp.Compare(a.ratio(), b.ratio()) })
		emptiest := slices.MinFunc(p.servers, func(a, b *serverLoad) int { return cmp.Compare(a.ratio(), b.ratio()) })
		isEven := fullest.ratio() <= 1+tolerance+roundingError && emptiest.ratio() >= 1-tolerance-roundingError
		if isEven {
			return
		}
		if !p.moveBest(fullest, emptiest) {
			return
		}
	}
}

// moveBest moves the slice that brings the two servers closest together, and
// reports whether there was one.
func (p *planner) moveBest(from, to *serverLoad) bool {
	// Moving cost c changes the larger of the two ratios; the best c makes the
	// ratios equal.
	ideal := (from.ratio() - to.ratio()) / (1/from.share + 1/to.share)
	bestAt := -1
	bestGap := math.Inf(1)
	for at, slice := range p.slicesOf[from.id] {
		gap := math.Abs(p.costs[slice] - ideal)
		helps := p.costs[slice] < 2*ideal-roundingError
		if helps && gap < bestGap {
			bestAt, bestGap = at, gap
		}
	}
	if bestAt < 0 {
		return false
	}
	slice := p.slicesOf[from.id][bestAt]
	p.slicesOf[from.id] = slices.Delete(p.slicesOf[from.id], bestAt, bestAt+1)
	p.slicesOf[to.id] = append(p.slicesOf[to.id], slice)
	p.owners[slice] = to.id
	from.load -= p.costs[slice]
	to.load += p.costs[slice]
	return true
}
