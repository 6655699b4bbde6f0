package feed

import (
	"time"

	"github.com/micahaven/micahaven/internal/topo"
)

// This file decides which node this one follows, and takes in what that one tells.

// chooseUpstream turns to the preferred one of the upstreams that did not fail lately,
// or else to the one that is to be tried again first.
func (f *Feed) chooseUpstream(now time.Duration) {
	if len(f.upstreams) == 0 || f.root && !f.storeLost(now) {
		f.following = false
		return
	}
	chosen := f.upstreams[0]
	for _, candidate := range f.upstreams {
		if f.avoided[candidate.Address] <= now {
			chosen = candidate
			break
		}
		if f.avoided[candidate.Address] < f.avoided[chosen.Address] {
			chosen = candidate
		}
	}
	if f.following && chosen.Address == f.upstream.Address {
		return
	}
	f.upstream, f.following, f.upstreamSince = chosen, true, now
	f.heard, f.behind = false, false
	f.followAt = now
}

// upstreamFailed reports whether the upstream is silent or knows nothing newer than
// what this node should know.
func (f *Feed) upstreamFailed(now time.Duration) bool {
	patience := tryPatience
	if f.failures == 0 {
		patience = joinPatience
	}
	if !f.heard {
		return now-f.upstreamSince > patience
	}
	if now-f.heardAt > silence {
		return true
	}
	return now-f.upstreamConfirmedAt > f.switchAge() && now-f.upstreamSince > patience
}

func (f *Feed) switchAge() time.Duration {
	if f.head {
		return headSwitchAge
	}
	return switchAge
}

// storeLost reports whether the root's own calls to the store have had no answer for
// some time, so that it has to follow another node meanwhile.
func (f *Feed) storeLost(now time.Duration) bool {
	return f.passes && now-f.passedAt > headSwitchAge
}

// leaveUpstream turns to another upstream, if there is one.
func (f *Feed) leaveUpstream(now time.Duration) {
	f.failures++
	f.avoided[f.upstream.Address] = now + avoidance
	f.reviewAt = now + avoidance
	f.chooseUpstream(now)
}

// followPause is the pause between two requests to follow.
func (f *Feed) followPause() time.Duration {
	if f.heard {
		return followInterval
	}
	return firstFollowInterval
}

// Upstream returns the node that this one follows, or false.
func (f *Feed) Upstream() (Member, bool) { return f.upstream, f.following }

// Compares reports whether this node is to compare its copy with the store's
// revision: the root does, and a head that had to take its place.
func (f *Feed) Compares(now time.Duration) bool { return f.root || f.head && f.Watching(now) }

// Watching reports whether this node has to watch the store itself: it is to, or
// it cannot rely on its upstream.
func (f *Feed) Watching(now time.Duration) bool {
	if f.root || !f.following {
		return true
	}
	if !f.joined || f.confirmedAge(now) > maxAge {
		return true
	}
	if f.failures >= min(triesBeforeStore, len(f.upstreams)) {
		return true
	}
	return f.behind && now-f.behindSince > lagLimit
}

func (f *Feed) stepHeartbeat(now time.Duration, from string, heartbeat *Heartbeat) {
	if !f.following || from != f.upstream.Address {
		return
	}
	f.heard, f.heardAt = true, now
	f.upstreamRevision = heartbeat.Revision
	f.upstreamConfirmedAt = now - heartbeat.ConfirmedAge
	if heartbeat.ConfirmedAge <= f.switchAge() {
		f.failures = 0
	}
	f.updateBehind(now)
}

// updateBehind takes in whether the upstream has changes that this node lacks. If not,
// what confirms the upstream's copy confirms this one.
func (f *Feed) updateBehind(now time.Duration) {
	if f.following && f.heard {
		f.confirm(f.upstreamConfirmedAt, f.upstreamRevision, !f.root)
	}
	behind := f.following && f.heard && f.revision < f.upstreamRevision
	if behind && !f.behind {
		f.behindSince = now
		// Ask for what is missing at once.
		f.followAt = now
	}
	f.behind = behind
}

func (f *Feed) stepBatch(now time.Duration, from string, batch *topo.Batch) ([]Message, *topo.Batch) {
	if !f.following || from != f.upstream.Address || batch.Revision <= f.revision {
		return nil, nil
	}
	if batch.After > f.revision {
		return f.askForMissed(now), nil
	}
	return nil, batch
}

// askForMissed asks the upstream for all changes since this node's copy. It does so once
// in missedPause: each request brings all of them again, so that one for each change that
// comes meanwhile would multiply them.
func (f *Feed) askForMissed(now time.Duration) []Message {
	if now < f.askMissedAt {
		return nil
	}
	f.askMissedAt = now + missedPause
	f.followAt = now + followInterval
	return []Message{{To: f.upstream.Address, Follow: &Follow{Revision: f.revision}}}
}
