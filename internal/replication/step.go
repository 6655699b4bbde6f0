package replication

import (
	"time"

	"github.com/micahaven/micahaven/internal/identity"
	"github.com/micahaven/micahaven/internal/wire"
)

// Step handles one message. Messages of another generation, for another
// incarnation of this node or to a sealed replica are dropped.
func (r *Replica) Step(now time.Duration, message *wire.ReplicaMessage) {
	if r.sealed || message.GetGeneration() != r.options.Generation {
		return
	}
	if identity.Incarnation(message.GetToIncarnation()) != r.self.Incarnation {
		return
	}
	from := &wire.Member{Node: message.GetFrom(), Incarnation: message.GetFromIncarnation()}
	switch message.GetKind() {
	case wire.ReplicaMessage_KIND_PRE_VOTE:
		r.handlePreVote(now, message, from)
	case wire.ReplicaMessage_KIND_VOTE:
		r.handleVote(now, message, from)
	case wire.ReplicaMessage_KIND_PRE_VOTE_REPLY, wire.ReplicaMessage_KIND_VOTE_REPLY:
		r.handleVoteReply(now, message, identity.KeyOf(from))
	case wire.ReplicaMessage_KIND_APPEND, wire.ReplicaMessage_KIND_SNAPSHOT:
		r.handleAppend(now, message, from)
	case wire.ReplicaMessage_KIND_APPEND_REPLY:
		r.handleAppendReply(now, message, identity.KeyOf(from))
	case wire.ReplicaMessage_KIND_TIMEOUT_NOW:
		r.handleTimeoutNow(now, message)
	}
}

// Tick lets time pass: it sends heartbeats, stands for election, and steps down
// when the lease has been lost for a whole lease.
func (r *Replica) Tick(now time.Duration) {
	if r.sealed {
		return
	}
	if r.role == Leader {
		r.tickLeader(now)
		return
	}
	if now >= r.electionAt && now >= r.promiseUntil && r.isMember(r.self) {
		r.startPreVote(now)
	}
}

func (r *Replica) tickLeader(now time.Duration) {
	grace := r.options.Timing.Lease
	isNew := now < r.leadingSince+2*grace
	if !isNew && now > r.LeaseUntil(now)+grace {
		r.becomeFollower(now, r.term, identity.MemberKey{})
		return
	}
	if r.transferTo != nil && now >= r.transferUntil {
		// The successor was not told yet, so the lease is still this leader's.
		r.transferTo = nil
	}
	if now >= r.nextHeartbeat {
		r.broadcast(now)
	}
}
