package shards_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/micahaven/micahaven/internal/discovery"
	"github.com/micahaven/micahaven/internal/shards"
)

// newFleetHarness returns a harness with many identical servers.
func newFleetHarness(servers int) *harness {
	b := newHarness()
	for index := range servers {
		id := discovery.ServerID(fmt.Sprintf("i-%08x", index*7919))
		b.servers = append(b.servers, shards.Server{ID: id, Address: string(id), Capacity: 2, Accepting: true})
	}
	return b
}

// uniformLoad returns a function that records requests for uniformly distributed random keys,
// at the given number of requests per second for each server.
func uniformLoad(b *harness, perServer float64) func() {
	random := rand.New(rand.NewPCG(1, uint64(len(b.servers))))
	due := 0.0
	return func() {
		due += perServer * float64(len(b.servers)) * step.Seconds()
		var keys []uint32
		for ; due >= 1; due-- {
			keys = append(keys, random.Uint32N(shards.KeyCount))
		}
		b.core.RecordLoad(b.now, keys, 1)
	}
}

// BenchmarkManagerTick measures one tick of a manager with many servers.
func BenchmarkManagerTick(b *testing.B) {
	for _, servers := range []int{156, 1_000, 5_783} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			w := newFleetHarness(servers)
			load := uniformLoad(w, 0.27)
			w.run(3*time.Second, load)
			for b.Loop() {
				w.run(step, load)
			}
		})
	}
}

// Guards against needless moves: each server gets few requests, so that among some thousand
// servers there is always one that seems overloaded by random variation, and each move costs
// every node a new map.
func TestChanceMovesHardlyAnything(t *testing.T) {
	const mostPerSecond, length = 1, 10 * time.Second
	for _, servers := range []int{100, 1_000, 5_783} {
		w := newFleetHarness(servers)
		load := uniformLoad(w, 0.27)
		w.run(3*time.Second, load)
		w.moves = 0
		w.run(length, load)
		if perSecond := float64(w.moves) / length.Seconds(); perSecond > mostPerSecond {
			t.Errorf("%d servers with even load: %.1f moves a second, want at most %d", servers, perSecond, mostPerSecond)
		}
	}
}

// One node sends all renewals, however many ranges there are.
func TestRenewalsAreBounded(t *testing.T) {
	const mostPerSecond, length = 3_000, 5 * time.Second
	w := newFleetHarness(5_783)
	w.run(3*time.Second, nil)
	w.grants = 0
	w.run(length, nil)
	if perSecond := float64(w.grants) / length.Seconds(); perSecond > mostPerSecond {
		t.Errorf("%.0f grants a second, want at most %d", perSecond, mostPerSecond)
	}
}
