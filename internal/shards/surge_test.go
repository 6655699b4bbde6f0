package shards_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/micahaven/micahaven/internal/discovery"
	"github.com/micahaven/micahaven/internal/shards"
)

// demand draws keys at random: the fraction busyFraction from a set of busy keys that lie close
// together, and the rest from the whole key space.
type demand struct {
	random       *rand.Rand
	busy         []uint32
	busyFraction float64
}

func newDemand(busyFraction float64, count int) *demand {
	d := &demand{random: rand.New(rand.NewPCG(1, 2)), busyFraction: busyFraction}
	for index := range count {
		d.busy = append(d.busy, 40000+uint32(index*3))
	}
	return d
}

func (d *demand) draw(count int) []uint32 {
	keys := make([]uint32, count)
	for index := range keys {
		keys[index] = uint32(d.random.IntN(shards.KeyCount))
		if d.random.Float64() < d.busyFraction {
			keys[index] = d.busy[d.random.IntN(len(d.busy))]
		}
	}
	return keys
}

// mostLoaded returns the server with the greatest expected load relative to its capacity, and
// this load as a multiple of the mean.
func (b *harness) mostLoaded(d *demand) (discovery.ServerID, float64) {
	loads := make(map[discovery.ServerID]float64)
	for _, r := range b.stored.Ranges {
		loads[r.Owner] += (1 - d.busyFraction) * float64(r.Last-r.First+1) / shards.KeyCount
	}
	for _, key := range d.busy {
		loads[b.stored.Find(key).Owner] += d.busyFraction / float64(len(d.busy))
	}
	capacity := 0.0
	for _, server := range b.servers {
		capacity += server.Capacity
	}
	var worst discovery.ServerID
	most := 0.0
	for _, server := range b.servers {
		if load := loads[server.ID] / server.Capacity * capacity; load > most {
			worst, most = server.ID, load
		}
	}
	return worst, most
}

// moved returns the number of keys whose owner differs from that in an earlier map.
func (b *harness) moved(before *shards.Map) int {
	count := 0
	for key := uint32(0); key < shards.KeyCount; key++ {
		if b.stored.Find(key).Owner != before.Find(key).Owner {
			count++
		}
	}
	return count
}

func uniformCapacities(count int) []float64 {
	capacities := make([]float64, count)
	for index := range capacities {
		capacities[index] = 4
	}
	return capacities
}

// Guards against a slow reaction to a set of busy keys: with 195 servers, 200 keys that lie
// close together got 0.44 of the requests, and the busiest server had 29 times the mean load
// for 3.5 s, because only a window of 6 s was used and only 24 ranges moved concurrently.
func TestBusySetOfKeysIsSpreadWhenItIsSeen(t *testing.T) {
	const perStep = 1100 * int(step) / int(time.Second)
	for _, c := range []struct {
		name  string
		count int
		part  float64
	}{{"200 keys", 200, 0.44}, {"60 keys", 60, 0.38}} {
		t.Run(c.name, func(t *testing.T) {
			b := newHarness(uniformCapacities(195)...)
			usual := newDemand(0, 1)
			b.run(8*time.Second, func() { b.core.RecordLoad(b.now, usual.draw(perStep), 1) })
			before := b.stored
			surge := newDemand(c.part, c.count)
			b.run(1500*time.Millisecond, func() { b.core.RecordLoad(b.now, surge.draw(perStep), 1) })
			// A single key of the smaller set has 1.2 times the load of an average server.
			// Before recent windows were used, the busiest server had 9.1 and 11.2 times the
			// mean load.
			if worst, load := b.mostLoaded(surge); load > 6 {
				t.Errorf("after 1.5 s server %s has %.1f times the mean load", worst, load)
			}
			if moved := b.moved(before); moved > shards.KeyCount/4 {
				t.Errorf("%d keys moved", moved)
			}
			t.Logf("%d keys moved", b.moved(before))
		})
	}
}

// Random variation alone must not move many keys, although each server gets few requests and
// its measured load therefore varies widely.
func TestEvenDemandMovesFewKeys(t *testing.T) {
	const perStep = 1100 * int(step) / int(time.Second)
	b := newHarness(uniformCapacities(195)...)
	usual := newDemand(0, 1)
	b.run(2*time.Second, func() { b.core.RecordLoad(b.now, usual.draw(perStep), 1) })
	before := b.stored
	b.run(20*time.Second, func() { b.core.RecordLoad(b.now, usual.draw(perStep), 1) })
	if moved := b.moved(before); moved > shards.KeyCount/10 {
		t.Errorf("%d keys moved in 20 s", moved)
	}
	t.Logf("%d keys moved", b.moved(before))
}
