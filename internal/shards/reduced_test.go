package shards_test

import (
	"testing"
	"time"

	"github.com/micahaven/micahaven/internal/discovery"
	"github.com/micahaven/micahaven/internal/shards"
)

const (
	// reducedCapacity is the capacity of a nearly unusable server that normally has the
	// capacity reducedOf.
	reducedCapacity = 0.02
	reducedOf       = 2
	// longestSilence is the longest time that such a server may get no request.
	longestSilence = 10 * time.Second
)

// reducedRun counts the requests for a server with reduced capacity.
type reducedRun struct {
	*harness
	server      discovery.ServerID
	draw        func() []uint32
	requests    int
	lastRequest time.Duration
	silence     time.Duration
}

func newReducedRun(draw func() []uint32) *reducedRun {
	r := &reducedRun{harness: newHarness(reducedOf, reducedOf, reducedOf), server: "a", draw: draw}
	r.run(8*time.Second, func() { r.core.RecordLoad(r.now, r.draw(), 1) })
	r.servers[0].Capacity, r.servers[0].ReducedCapacity = reducedCapacity, true
	r.lastRequest = r.now
	return r
}

// count runs for the given time and records how long the server gets no request.
func (r *reducedRun) count(length time.Duration) {
	r.run(length, func() {
		keys := r.draw()
		for _, key := range keys {
			if r.stored.Find(key).Owner != r.server {
				continue
			}
			r.requests++
			r.lastRequest = r.now
		}
		r.silence = max(r.silence, r.now-r.lastRequest)
		r.core.RecordLoad(r.now, keys, 1)
	})
}

// sparseDraw returns a function that draws two keys per step, spread over the key space.
func sparseDraw() func() []uint32 {
	number := 0
	return func() []uint32 {
		keys := make([]uint32, 0, 2)
		for range cap(keys) {
			number++
			keys = append(keys, uint32(number*7919%shards.KeyCount))
		}
		return keys
	}
}

// Guards against a server whose rate limit or slowness appears never to end, because all of its
// keys have been moved away and it gets no requests that would show it.
func TestServerWithReducedCapacityStillGetsRequests(t *testing.T) {
	r := newReducedRun(sparseDraw())
	const counted = 60 * time.Second
	r.count(counted)
	if r.silence > longestSilence {
		t.Errorf("no request in %v, want at least one every %v", r.silence, longestSilence)
	}
	perSecond := 2 * int(time.Second/step)
	if most := perSecond * int(counted/time.Second) / 20; r.requests > most {
		t.Errorf("%d requests in %v, want at most %d", r.requests, counted, most)
	}
}

// Guards against the same failure where the server's remaining keys no longer get requests.
func TestServerWithReducedCapacityAndUnusedKeysGetsOthers(t *testing.T) {
	var unused shards.Map
	all := sparseDraw()
	r := newReducedRun(func() []uint32 {
		keys := all()
		if len(unused.Ranges) == 0 {
			return keys
		}
		requested := keys[:0]
		for _, key := range keys {
			if unused.Find(key).Owner != "a" {
				requested = append(requested, key)
			}
		}
		return requested
	})
	r.count(10 * time.Second)
	unused = *r.stored
	r.silence, r.lastRequest = 0, r.now
	r.count(60 * time.Second)
	if r.silence > longestSilence {
		t.Errorf("no request in %v, want at least one every %v", r.silence, longestSilence)
	}
}

// Guards against needless moves: a server that gets any requests keeps its few keys.
func TestServerWithReducedCapacityKeepsItsKeys(t *testing.T) {
	r := newReducedRun(sparseDraw())
	r.count(20 * time.Second)
	before := r.moves
	const counted = 60 * time.Second
	r.count(counted)
	if moves := r.moves - before; moves > int(counted/longestSilence) {
		t.Errorf("%d moves in %v", moves, counted)
	}
}

// Guards against a recovered server that stays nearly idle, because each of many other servers
// exceeds its fair load only slightly.
func TestRecoveredServerGetsItsShareAmongMany(t *testing.T) {
	const servers, perStep, recovery = 20, 20, 10 * time.Second
	b := newHarness(uniformCapacities(servers)...)
	usual := newDemand(0, 1)
	load := func() { b.core.RecordLoad(b.now, usual.draw(perStep), 1) }
	b.run(8*time.Second, load)
	capacity := b.servers[0].Capacity
	b.servers[0].Capacity, b.servers[0].ReducedCapacity = reducedCapacity, true
	b.run(20*time.Second, load)
	b.servers[0].Capacity, b.servers[0].ReducedCapacity = capacity, false
	b.run(recovery, load)
	before := b.stored
	got, all := 0, 0
	b.run(4*time.Second, func() {
		keys := usual.draw(perStep)
		for _, key := range keys {
			all++
			if b.stored.Find(key).Owner == b.servers[0].ID {
				got++
			}
		}
		b.core.RecordLoad(b.now, keys, 1)
	})
	if least := all / servers / 3; got < least {
		t.Errorf("%d of %d requests %v after the recovery, want at least %d", got, all, recovery, least)
	}
	if moved := b.moved(before); moved > shards.KeyCount/20 {
		t.Errorf("%d keys moved within 4s after the recovery", moved)
	}
}
