package replication

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/micahaven/micahaven/internal/identity"
	"github.com/micahaven/micahaven/internal/wire"
)

// Errors that proposals return.
var (
	// ErrNotLeader means that this replica may not act as the leader now.
	ErrNotLeader = errors.New("replica holds no leader's lease")
	// ErrMembershipPending means that an earlier change is not committed yet.
	ErrMembershipPending = errors.New("an earlier membership change is not committed")
	// ErrMembershipStep means that a change adds or removes more than one member.
	ErrMembershipStep = errors.New("membership must change by exactly one member")
)

// Propose appends a command and returns its position. It is committed once
// Ready returns an entry of the same term and index.
func (r *Replica) Propose(now time.Duration, entry *wire.Entry) (term, index uint64, err error) {
	if !r.HasAuthority(now) {
		return 0, 0, ErrNotLeader
	}
	index = r.appendLocal(entry)
	r.advanceCommit()
	r.broadcast(now)
	return r.term, index, nil
}

// ProposeMembership changes the members by one. Majorities of two memberships
// that differ by one member always share a member, which is why an old leader's
// lease and a new leader's election cannot miss each other.
func (r *Replica) ProposeMembership(now time.Duration, membership *wire.Membership) error {
	if r.commit < r.membershipIndex {
		return ErrMembershipPending
	}
	if difference(r.membership, membership) != 1 {
		return ErrMembershipStep
	}
	entry := &wire.Entry{Command: &wire.Entry_Membership{Membership: membership}}
	_, _, err := r.Propose(now, entry)
	return err
}

// difference counts the members that only one of the two memberships has.
func difference(a, b *wire.Membership) int {
	count := 0
	missingFrom := func(one, other *wire.Membership) {
		for _, member := range one.GetMembers() {
			key := identity.KeyOf(member)
			if !slices.ContainsFunc(other.GetMembers(), func(m *wire.Member) bool { return identity.KeyOf(m) == key }) {
				count++
			}
		}
	}
	missingFrom(a, b)
	missingFrom(b, a)
	return count
}

// Transfer hands the lead to a follower. Authority ends with the call; the
// follower is asked to stand for election once it holds the whole log.
func (r *Replica) Transfer(now time.Duration, to *wire.Member) error {
	if r.role != Leader || r.followers[identity.KeyOf(to)] == nil {
		return ErrNotLeader
	}
	r.transferTo = to
	r.transferUntil = now + r.options.Timing.Lease
	r.finishTransfer(now)
	return nil
}

// Successor returns the follower that acknowledged most recently, if that was
// within a lease, and false when no follower could take over now.
func (r *Replica) Successor(now time.Duration) (*wire.Member, bool) {
	var best *progress
	for _, follower := range r.followers {
		if !follower.hasAcked || now > follower.ackedSentAt+r.options.Timing.Lease {
			continue
		}
		if best == nil || follower.ackedSentAt > best.ackedSentAt {
			best = follower
		}
	}
	if best == nil {
		return nil, false
	}
	return best.member, true
}

func (r *Replica) finishTransfer(now time.Duration) {
	target := r.followers[identity.KeyOf(r.transferTo)]
	if target == nil || target.match < r.log.lastIndex() {
		return
	}
	r.send(target.member, &wire.ReplicaMessage{Kind: wire.ReplicaMessage_KIND_TIMEOUT_NOW})
	r.becomeFollower(now, r.term, identity.MemberKey{})
	// Give the successor one lease before standing again.
	r.electionAt = now + 2*r.options.Timing.Lease
}

func (r *Replica) appendLocal(entry *wire.Entry) uint64 {
	entry.Term = r.term
	entry.Index = r.log.lastIndex() + 1
	r.log.append(entry)
	if membership := entry.GetMembership(); membership != nil {
		r.adoptMembership(membership, entry.GetIndex())
	}
	return entry.GetIndex()
}

func (r *Replica) broadcast(now time.Duration) {
	r.nextHeartbeat = now + r.options.Timing.Heartbeat
	r.others(func(member *wire.Member) {
		if follower := r.followers[identity.KeyOf(member)]; follower != nil {
			r.sendAppend(now, follower)
		}
	})
}

// sendAppend sends what the follower lacks, and moves next forward at once so
// that several appends can be on their way.
func (r *Replica) sendAppend(now time.Duration, follower *progress) {
	previousTerm, held := r.log.term(follower.next - 1)
	if !held {
		r.sendSnapshot(now, follower)
		return
	}
	entries := r.log.from(follower.next, maxEntriesPerMessage)
	r.send(follower.member, &wire.ReplicaMessage{
		Kind:     wire.ReplicaMessage_KIND_APPEND,
		LogTerm:  previousTerm,
		LogIndex: follower.next - 1,
		Entries:  entries,
		Commit:   r.commit,
		SentAt:   int64(now),
	})
	follower.next += uint64(len(entries))
}

func (r *Replica) sendSnapshot(now time.Duration, follower *progress) {
	if now < follower.pausedUntil {
		return
	}
	follower.pausedUntil = now + r.options.Timing.Lease
	r.send(follower.member, &wire.ReplicaMessage{
		Kind:     wire.ReplicaMessage_KIND_SNAPSHOT,
		Snapshot: r.Snapshot(),
		SentAt:   int64(now),
	})
}

func (r *Replica) handleAppend(now time.Duration, message *wire.ReplicaMessage, from *wire.Member) {
	if message.GetTerm() < r.term {
		r.send(from, &wire.ReplicaMessage{Kind: wire.ReplicaMessage_KIND_APPEND_REPLY, Reject: true})
		return
	}
	r.becomeFollower(now, message.GetTerm(), identity.KeyOf(from))
	r.promise(now)
	reply := &wire.ReplicaMessage{
		Kind:   wire.ReplicaMessage_KIND_APPEND_REPLY,
		SentAt: message.GetSentAt(),
	}
	if snapshot := message.GetSnapshot(); snapshot != nil {
		if snapshot.GetIndex() > r.commit {
			r.installSnapshot(snapshot)
		}
		reply.MatchIndex = snapshot.GetIndex()
		r.send(from, reply)
		return
	}
	if !r.appendEntries(message) {
		reply.Reject = true
		reply.MatchIndex = min(r.log.lastIndex(), message.GetLogIndex()-1)
		r.send(from, reply)
		return
	}
	reply.MatchIndex = message.GetLogIndex() + uint64(len(message.GetEntries()))
	r.applyUpTo(min(message.GetCommit(), reply.GetMatchIndex()))
	r.send(from, reply)
}

// appendEntries stores the entries of an append and reports whether the
// position before them matched.
func (r *Replica) appendEntries(message *wire.ReplicaMessage) bool {
	previous := message.GetLogIndex()
	if previous >= r.log.baseIndex {
		term, held := r.log.term(previous)
		if !held || term != message.GetLogTerm() {
			return false
		}
	}
	for _, entry := range message.GetEntries() {
		if entry.GetIndex() <= r.log.baseIndex {
			// Covered by a snapshot, so committed and the same.
			continue
		}
		term, held := r.log.term(entry.GetIndex())
		if held && term == entry.GetTerm() {
			continue
		}
		if held {
			r.log.truncateAfter(entry.GetIndex() - 1)
			if r.membershipIndex >= entry.GetIndex() {
				r.adoptMembership(r.membershipAt(r.log.lastIndex()), r.log.lastIndex())
			}
		}
		r.log.append(entry)
		if membership := entry.GetMembership(); membership != nil {
			r.adoptMembership(membership, entry.GetIndex())
		}
	}
	return true
}

func (r *Replica) handleAppendReply(now time.Duration, message *wire.ReplicaMessage, from identity.MemberKey) {
	if message.GetTerm() > r.term {
		r.becomeFollower(now, message.GetTerm(), identity.MemberKey{})
		return
	}
	follower := r.followers[from]
	if r.role != Leader || message.GetTerm() < r.term || follower == nil {
		return
	}
	follower.hasAcked = true
	follower.ackedSentAt = max(follower.ackedSentAt, time.Duration(message.GetSentAt()))
	if message.GetReject() {
		follower.next = max(follower.match, message.GetMatchIndex()) + 1
		r.sendAppend(now, follower)
		return
	}
	follower.match = max(follower.match, message.GetMatchIndex())
	follower.next = max(follower.next, follower.match+1)
	r.advanceCommit()
	if r.transferTo != nil {
		r.finishTransfer(now)
		return
	}
	if follower.next <= r.log.lastIndex() {
		r.sendAppend(now, follower)
	}
}

// advanceCommit commits what a majority holds, if it is of this term.
func (r *Replica) advanceCommit() {
	matches := make([]uint64, 0, len(r.membership.GetMembers()))
	for _, member := range r.membership.GetMembers() {
		key := identity.KeyOf(member)
		if key == r.self {
			matches = append(matches, r.log.lastIndex())
			continue
		}
		if follower := r.followers[key]; follower != nil {
			matches = append(matches, follower.match)
		}
	}
	slices.Sort(matches)
	slices.Reverse(matches)
	index := matches[r.quorum()-1]
	if term, held := r.log.term(index); held && term == r.term && index > r.commit {
		r.applyUpTo(index)
	}
}
