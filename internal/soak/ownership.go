package soak

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/micahaven/micahaven/platform/standin"
)

const (
	// overlapLimit is how long two servers may both hold a key.
	overlapLimit = 500 * time.Millisecond
	// holdInterval is the interval between two samples of the keys that servers hold.
	holdInterval = 20 * time.Millisecond
)

// sharedKey is a key that two servers hold.
type sharedKey struct {
	key           int
	first, second *standin.Server
}

// overlapWatch finds keys that two servers hold for longer than overlapLimit. The
// incarnations of a server count as different servers.
type overlapWatch struct {
	since    map[sharedKey]time.Time
	reported map[sharedKey]bool
}

// observe records the holders of each key at a moment, and returns the shared keys that
// have exceeded the limit since the last call.
func (w *overlapWatch) observe(now time.Time, holders map[int][]*standin.Server) []sharedKey {
	since, reported := make(map[sharedKey]time.Time), make(map[sharedKey]bool)
	var exceeded []sharedKey
	for _, shared := range sharedKeys(holders) {
		start, known := w.since[shared]
		if !known {
			start = now
		}
		since[shared], reported[shared] = start, w.reported[shared]
		if now.Sub(start) > overlapLimit && !reported[shared] {
			reported[shared] = true
			exceeded = append(exceeded, shared)
		}
	}
	w.since, w.reported = since, reported
	return exceeded
}

// sharedKeys returns each pair of holders of each key.
func sharedKeys(holders map[int][]*standin.Server) []sharedKey {
	var shared []sharedKey
	for key, servers := range holders {
		for index, first := range servers {
			for _, second := range servers[index+1:] {
				shared = append(shared, sharedKey{key, first, second})
			}
		}
	}
	return shared
}

// holders returns the servers that hold each of the keys. Servers that have stopped, earlier
// incarnations included, hold none.
func (w *world) holders(keys []int) map[int][]*standin.Server {
	held := make(map[int][]*standin.Server)
	for _, s := range w.keyOwners() {
		for _, key := range keys {
			if s.Holds(key) {
				held[key] = append(held[key], s)
			}
		}
	}
	return held
}

// keyOwners returns the servers of the divided service that run.
func (w *world) keyOwners() []*standin.Server {
	return slices.DeleteFunc(w.ledger.Servers(), func(s *standin.Server) bool {
		return s.Service != standin.DividedService || s.Dead()
	})
}

// requestedKeys returns the keys that clients request.
func requestedKeys() []int {
	keys := make([]int, keyCount)
	for index := range keys {
		keys[index] = index * keySpread
	}
	return keys
}

// watchedKeys returns the keys whose holders are sampled: those that clients request and, in runs
// with drills, the bounds of all ranges, since an added server may hold ranges between those keys,
// and the keys that are known to be shared.
func (s *soak) watchedKeys(watch *overlapWatch) []int {
	keys := requestedKeys()
	if !s.options.Drills {
		return keys
	}
	for shared := range watch.since {
		keys = append(keys, shared.key)
	}
	for _, owner := range s.world.keyOwners() {
		keys = append(keys, owner.RangeBounds()...)
	}
	slices.Sort(keys)
	return slices.Compact(keys)
}

// watchOwners checks until the context is done that no two servers hold a key for longer
// than overlapLimit.
func (s *soak) watchOwners(ctx context.Context) {
	var watch overlapWatch
	for ctx.Err() == nil {
		s.recordOverlaps(watch.observe(time.Now(), s.world.holders(s.watchedKeys(&watch))))
		time.Sleep(holdInterval)
	}
}

// recordOverlaps records one violation for each pair of servers.
func (s *soak) recordOverlaps(exceeded []sharedKey) {
	type pair struct{ first, second *standin.Server }
	keys := make(map[pair][]int)
	for _, shared := range exceeded {
		servers := pair{shared.first, shared.second}
		keys[servers] = append(keys[servers], shared.key)
	}
	for servers, held := range keys {
		lowest, highest := held[0], held[0]
		for _, key := range held {
			lowest, highest = min(lowest, key), max(highest, key)
		}
		s.recordViolation("servers %s and %s both hold %d sampled keys, %d to %d, for longer than %v, key %d under fences %d and %d",
			incarnation(servers.first), incarnation(servers.second), len(held), lowest, highest, overlapLimit,
			lowest, servers.first.Fence(lowest), servers.second.Fence(lowest))
	}
}

// incarnation names a server and its incarnation.
func incarnation(s *standin.Server) string { return fmt.Sprintf("%s (born %d)", s.ID, s.StartedAt) }
