package shards_test

import (
	"time"

	"github.com/micahaven/micahaven/internal/discovery"
	"github.com/micahaven/micahaven/internal/shards"
)

// lease is a server's lease on one key.
type lease struct {
	fence   uint64
	expires time.Duration
}

// simServer implements the server side of the protocol.
type simServer struct {
	// id is the incarnation that managers know, instance what their commands address.
	id       discovery.ServerID
	instance string
	up       bool
	// registersAs is the incarnation that a restarted server registers as at registersAt; empty if
	// managers know the current incarnation.
	registersAs discovery.ServerID
	registersAt time.Duration
	// startedAt is when the current incarnation started.
	startedAt time.Duration
	// reused is true if another server has the address of a server that is not up.
	reused bool
	leases [sampledKeys]lease
	// seenFences has the highest fence that the server has seen for each key.
	seenFences [sampledKeys]uint64
	// reachable is false while managers cannot reach the server.
	reachable bool
	// leaving is true while the server accepts no keys; only runs with restores set it.
	leaving bool
	// delaysGrants is true while half of the commands get no response: the grants are executed
	// later, and the releases are lost.
	delaysGrants bool
	// silent is true while the server answers no command.
	silent bool
	// unknownSince is when managers that begin stopped to know the server, and unknownUntil when they know
	// it again.
	unknownSince, unknownUntil time.Duration
}

// unknownTo reports whether a manager does not know the server, unless its map names it.
func (s *simServer) unknownTo(manager *simManager, now time.Duration) bool {
	return now < s.unknownUntil && manager.started >= s.unknownSince
}

// acceptGrant is a server's handling of a grant: it rejects fences below the highest one it has
// seen.
func (w *simulation) acceptGrant(server *simServer, grant shards.Grant) bool {
	for index := range sampledKeys {
		if key := sampledKey(index); key >= grant.First && key <= grant.Last && server.seenFences[index] > grant.Fence {
			return false
		}
	}
	for index := range sampledKeys {
		if key := sampledKey(index); key < grant.First || key > grant.Last {
			continue
		}
		for other, fence := range w.highestFences[index] {
			if other != server.instance && fence >= grant.Fence {
				w.recordViolation("at %v: %s accepts key %d under fence %d, but %s held it under %d", w.now, server.id, sampledKey(index), grant.Fence, other, fence)
			}
		}
		w.highestFences[index][server.instance] = grant.Fence
		server.seenFences[index] = grant.Fence
		const slowClock = 1.02
		server.leases[index] = lease{fence: grant.Fence, expires: w.now + time.Duration(float64(grant.Lease)*slowClock)}
	}
	return true
}

func (w *simulation) release(manager *simManager, release shards.Release) {
	manager.recordRelease(release)
	target := w.server(release.Owner)
	if w.trustsRegistrations && target.id != release.Owner || !target.up && target.reused && target.reachable {
		manager.results = append(manager.results, func() {
			manager.core.ReleaseDone(shards.ReleaseResult{Release: release, Outcome: shards.Misdirected})
		})
		return
	}
	if !target.up || !target.reachable || target.silent || (target.delaysGrants && w.chance(50)) {
		return
	}
	w.acceptRelease(target, release)
	manager.results = append(manager.results, func() {
		manager.core.ReleaseDone(shards.ReleaseResult{Release: release, Outcome: shards.Accepted})
	})
}

// check executes a check, which is a release whose result is reported in any case.
func (w *simulation) check(manager *simManager, check shards.Release) {
	outcome := shards.Accepted
	target := w.server(check.Owner)
	switch {
	case !target.up && target.reused && target.reachable:
		outcome = shards.Misdirected
	case !target.up, !target.reachable:
		outcome = shards.NotSent
	case target.silent || target.delaysGrants && w.chance(50):
		outcome = shards.Unanswered
	default:
		w.acceptRelease(target, check)
	}
	manager.results = append(manager.results, func() {
		manager.core.CheckDone(w.now, shards.ReleaseResult{Release: check, Outcome: outcome})
	})
}

// acceptRelease is a server's handling of a release, which it never refuses.
func (w *simulation) acceptRelease(server *simServer, release shards.Release) {
	for index := range sampledKeys {
		if key := sampledKey(index); key >= release.First && key <= release.Last {
			server.seenFences[index] = max(server.seenFences[index], release.Fence)
			server.leases[index] = lease{}
		}
	}
}

func (w *simulation) checkHolders() {
	for index := range sampledKeys {
		var holders []discovery.ServerID
		for _, s := range w.servers {
			if s.up && s.leases[index].expires > w.now {
				holders = append(holders, s.id)
			}
		}
		if len(holders) > 1 {
			w.recordViolation("at %v: key %d is held by %v", w.now, sampledKey(index), holders)
		}
	}
}
