package replication

import (
	"time"

	"github.com/micahaven/micahaven/internal/clock"
	"github.com/micahaven/micahaven/internal/identity"
	"github.com/micahaven/micahaven/internal/wire"
)

// startPreVote asks whether a majority would vote, without raising the term:
// a replica that was cut off must not depose a working leader on its return.
func (r *Replica) startPreVote(now time.Duration) {
	r.role = PreCandidate
	r.leader = identity.MemberKey{}
	r.votes = map[identity.MemberKey]bool{r.self: true}
	r.resetElectionTimer(now)
	if r.hasMajority() {
		r.startElection(now)
		return
	}
	r.askForVotes(wire.ReplicaMessage_KIND_PRE_VOTE, r.term+1)
}

func (r *Replica) startElection(now time.Duration) {
	r.term++
	r.role = Candidate
	r.leader = identity.MemberKey{}
	r.votedFor = r.self
	r.votes = map[identity.MemberKey]bool{r.self: true}
	r.resetElectionTimer(now)
	if r.hasMajority() {
		r.becomeLeader(now)
		return
	}
	r.askForVotes(wire.ReplicaMessage_KIND_VOTE, r.term)
}

func (r *Replica) askForVotes(kind wire.ReplicaMessage_Kind, term uint64) {
	r.others(func(member *wire.Member) {
		r.send(member, &wire.ReplicaMessage{
			Kind:         kind,
			Term:         term,
			LogTerm:      r.log.lastTerm(),
			LogIndex:     r.log.lastIndex(),
			ReleasedTerm: r.releasedTerm,
		})
	})
}

func (r *Replica) hasMajority() bool {
	granted := 0
	for key, yes := range r.votes {
		if yes && r.isMember(key) {
			granted++
		}
	}
	return granted >= r.quorum()
}

// isBoundByPromise reports whether a leader's lease may still rest on this
// replica. A leader that gave its lease up itself frees the promise.
func (r *Replica) isBoundByPromise(now time.Duration, releasedTerm uint64) bool {
	if releasedTerm != 0 && r.promiseTerm <= releasedTerm {
		return false
	}
	return now < r.promiseUntil
}

func (r *Replica) handlePreVote(now time.Duration, message *wire.ReplicaMessage, from *wire.Member) {
	willing := message.GetTerm() > r.term &&
		r.role != Leader &&
		!r.isBoundByPromise(now, message.GetReleasedTerm()) &&
		r.log.isUpToDate(message.GetLogTerm(), message.GetLogIndex())
	r.send(from, &wire.ReplicaMessage{
		Kind:   wire.ReplicaMessage_KIND_PRE_VOTE_REPLY,
		Term:   message.GetTerm(),
		Reject: !willing,
	})
}

func (r *Replica) handleVote(now time.Duration, message *wire.ReplicaMessage, from *wire.Member) {
	// A bound replica does not even learn the term: it would otherwise disturb
	// the leader whose lease rests on it.
	if message.GetTerm() < r.term || r.isBoundByPromise(now, message.GetReleasedTerm()) {
		return
	}
	if r.role == Leader && now < r.LeaseUntil(now) {
		return
	}
	if message.GetTerm() > r.term {
		r.becomeFollower(now, message.GetTerm(), identity.MemberKey{})
	}
	candidate := identity.KeyOf(from)
	isFree := r.votedFor == (identity.MemberKey{}) || r.votedFor == candidate
	granted := isFree && r.log.isUpToDate(message.GetLogTerm(), message.GetLogIndex())
	if granted {
		// A pre-candidate that votes for another stops standing itself; a
		// candidate or leader of this term has voted for itself already.
		r.role = Follower
		r.votedFor = candidate
		r.resetElectionTimer(now)
	}
	r.send(from, &wire.ReplicaMessage{
		Kind:   wire.ReplicaMessage_KIND_VOTE_REPLY,
		Reject: !granted,
	})
}

func (r *Replica) handleVoteReply(now time.Duration, message *wire.ReplicaMessage, from identity.MemberKey) {
	switch message.GetKind() {
	case wire.ReplicaMessage_KIND_PRE_VOTE_REPLY:
		if r.role != PreCandidate || message.GetTerm() != r.term+1 {
			return
		}
	case wire.ReplicaMessage_KIND_VOTE_REPLY:
		if r.role != Candidate || message.GetTerm() != r.term {
			return
		}
	}
	r.votes[from] = !message.GetReject()
	if !r.hasMajority() {
		return
	}
	if r.role == PreCandidate {
		r.startElection(now)
		return
	}
	r.becomeLeader(now)
}

func (r *Replica) becomeLeader(now time.Duration) {
	r.role = Leader
	r.leader = r.self
	r.leadingSince = now
	r.transferTo = nil
	r.releasedTerm = 0
	r.followers = make(map[identity.MemberKey]*progress)
	r.others(func(member *wire.Member) {
		r.followers[identity.KeyOf(member)] = &progress{
			member: member,
			next:   r.log.lastIndex() + 1,
		}
	})
	// Entries of earlier terms count as committed only once an entry of this
	// term is (Raft, section 5.4.2), so the term starts with a no-op.
	r.termStart = r.appendLocal(&wire.Entry{})
	r.advanceCommit()
	r.broadcast(now)
}

// handleTimeoutNow starts an election at once: the leader named this replica
// its successor and gave its lease up before it said so.
func (r *Replica) handleTimeoutNow(now time.Duration, message *wire.ReplicaMessage) {
	if message.GetTerm() != r.term || !r.isMember(r.self) {
		return
	}
	r.releasedTerm = message.GetTerm()
	r.startElection(now)
}

// promise extends this replica's part of the lease of the current leader.
func (r *Replica) promise(now time.Duration) {
	promise := clock.Stretch(r.options.Timing.Lease)
	if r.options.PromiseShare != 0 {
		promise = time.Duration(r.options.PromiseShare * float64(promise))
	}
	r.promiseUntil = max(r.promiseUntil, now+promise)
	r.promiseTerm = r.term
	r.resetElectionTimer(now)
}
