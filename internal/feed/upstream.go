package feed

import (
	"time"

	"github.com/micahaven/micahaven/internal/topo"
)

// This file selects the node that this one follows and processes the messages from it.

// selectUpstream selects the most preferred upstream that is not in backoff, or else the one whose
// backoff ends first.
func (f *Feed) selectUpstream(now time.Duration) {
	if len(f.upstreams) == 0 || f.root && !f.storeUnreachable(now) {
		f.following = false
		return
	}
	chosen := f.upstreams[0]
	for _, candidate := range f.upstreams {
		if f.backoffUntil[candidate.Address] <= now {
			chosen = candidate
			break
		}
		if f.backoffUntil[candidate.Address] < f.backoffUntil[chosen.Address] {
			chosen = candidate
		}
	}
	if f.following && chosen.Address == f.upstream.Address {
		return
	}
	f.upstream, f.following, f.upstreamSince = chosen, true, now
	f.heartbeatReceived, f.behind = false, false
	f.request++
	f.nextFollowAt = now
}

// upstreamFailed reports whether the upstream has stopped sending heartbeats or its confirmation is
// too old.
func (f *Feed) upstreamFailed(now time.Duration) bool {
	timeout := nextUpstreamTimeout
	if f.failures == 0 {
		timeout = firstUpstreamTimeout
	}
	if !f.heartbeatReceived {
		return now-f.upstreamSince > timeout
	}
	if now-f.lastMessageAt > heartbeatTimeout {
		return true
	}
	return now-f.upstreamConfirmedAt > f.switchAge() && now-f.upstreamSince > timeout
}

func (f *Feed) switchAge() time.Duration {
	if f.head {
		return headSwitchAge
	}
	return switchAge
}

// storeUnreachable reports whether the root's own store calls have not been answered recently, so
// that it has to follow another node for now.
func (f *Feed) storeUnreachable(now time.Duration) bool {
	return f.relayConfirmed && now-f.relayConfirmedAt > headSwitchAge
}

// abandonUpstream puts the upstream into backoff and selects another one, if there is any.
func (f *Feed) abandonUpstream(now time.Duration) {
	f.failures++
	if f.failures <= maxUpstreamFailures {
		f.failedAt = now
	}
	f.backoffUntil[f.upstream.Address] = now + upstreamBackoff
	f.reselectAt = now + upstreamBackoff
	f.selectUpstream(now)
}

// followDelay returns the time until the next follow request.
func (f *Feed) followDelay() time.Duration {
	if f.heartbeatReceived {
		return followInterval
	}
	return firstFollowInterval
}

// Upstream returns the node that this one follows, or false if it follows none.
func (f *Feed) Upstream() (Member, bool) { return f.upstream, f.following }

// ComparesRevision reports whether this node compares its copy with the store's revision. The root does,
// and so does a head that had to take its place.
func (f *Feed) ComparesRevision(now time.Duration) bool { return f.root || f.head && f.Watching(now) }

// Watching reports whether this node has to watch the store itself, because it is the root or
// cannot rely on its upstream.
func (f *Feed) Watching(now time.Duration) bool { return f.WatchReason(now) != ReasonNone }

// WatchReason returns why this node has to watch the store itself.
func (f *Feed) WatchReason(now time.Duration) WatchReason {
	switch {
	case f.root:
		return ReasonRoot
	case !f.following:
		return ReasonNoUpstream
	case !f.hasCopy:
		return ReasonNoCopy
	case f.confirmedAge(now) > maxConfirmationAge+f.fallbackDelay:
		return ReasonUnconfirmed
	case f.failures >= min(maxUpstreamFailures, len(f.upstreams)) && now-f.failedAt >= f.fallbackDelay:
		return ReasonUpstreamsFailed
	case f.behind && now-f.behindSince > maxLag+f.fallbackDelay:
		return ReasonBehind
	default:
		return ReasonNone
	}
}

func (f *Feed) handleHeartbeat(now time.Duration, from string, heartbeat *Heartbeat) []Message {
	if !f.following || from != f.upstream.Address {
		return nil
	}
	f.heartbeatReceived, f.lastMessageAt = true, now
	f.upstreamRevision = heartbeat.Revision
	f.upstreamConfirmedAt = now - heartbeat.ConfirmedAge
	f.answeredRequest = heartbeat.Request
	if heartbeat.ConfirmedAge <= f.switchAge() {
		f.failures = 0
	}
	f.updateLag(now)
	if f.behind {
		return f.requestMissed(now)
	}
	return nil
}

// updateLag recomputes whether the upstream has changes that this node lacks. If it has none, the
// upstream's confirmation also applies to this node's copy.
func (f *Feed) updateLag(now time.Duration) {
	if f.following && f.heartbeatReceived {
		f.confirm(f.upstreamConfirmedAt, f.upstreamRevision, !f.root)
	}
	behind := f.following && f.heartbeatReceived && f.revision < f.upstreamRevision
	if behind && !f.behind {
		f.behindSince = now
	}
	f.behind = behind
}

func (f *Feed) handleBatch(now time.Duration, from string, batch *topo.Batch) ([]Message, *topo.Batch) {
	if !f.following || from != f.upstream.Address || batch.Revision <= f.revision {
		return nil, nil
	}
	// Heartbeats wait behind a large batch.
	f.lastMessageAt = now
	if batch.After > f.revision {
		return f.requestMissed(now), nil
	}
	return nil, batch
}

// requestMissed requests from the upstream all changes after this node's revision, which were lost.
// While the answer to such a request is in transit it makes no other one, because the upstream would
// send all of them again; it repeats the request, which may have been lost, once per resyncInterval.
func (f *Feed) requestMissed(now time.Duration) []Message {
	if now < f.nextResyncAt {
		return nil
	}
	if f.answeredRequest == f.request {
		f.request++
	}
	f.nextResyncAt = now + resyncInterval
	f.nextFollowAt = now + followInterval
	return []Message{f.followMessage()}
}

// Requests returns the number of the last request for lost changes. It also increases when this node
// selects an upstream.
func (f *Feed) Requests() uint32 { return f.request }

func (f *Feed) followMessage() Message {
	return Message{To: f.upstream.Address, Follow: &Follow{Revision: f.revision, Request: f.request}}
}
