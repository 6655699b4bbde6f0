package ownership

import (
	"time"

	"github.com/micahaven/micahaven/internal/clock"
	"github.com/micahaven/micahaven/internal/holder"
	"github.com/micahaven/micahaven/internal/identity"
)

// ServerSpec describes a server that may own slices, as the table and the
// machine list give it.
type ServerSpec struct {
	ID      identity.ServerID
	Address string
	// Weight is the server's relative share of the slices; 0 takes all away.
	Weight float64
	// Leaving servers lose their slices one by one and get no new ones.
	Leaving bool
}

// Call is a session message to be sent to a server. Its answer, or its failure,
// goes back to the manager with the same sequence number.
type Call struct {
	Server   identity.ServerID
	Address  string
	Sequence uint64
	Message  *holder.Message
}

// session is the leader's knowledge of one server.
type session struct {
	spec    ServerSpec
	inTable bool

	challenge           uint64
	challengeReceivedAt time.Duration
	// instance is the server process that answered last; 0 means none yet.
	instance uint64
	// server is the session that the server last reported; 0 means none.
	server uint64
	// actsUntil is the latest time at which this instance may still act under
	// grants: nothing of it may be given to another before then.
	actsUntil time.Duration
	// earlierUntil is the same for any earlier instance of the server.
	earlierUntil time.Duration
	// settleUntil is how long plans wait for the server's first answer.
	settleUntil time.Duration
	lastReplyAt time.Duration
	hasReplied  bool

	sequence   uint64
	isCalling  bool
	calledAt   time.Duration
	nextCallAt time.Duration
	urgent     bool
}

// isLive reports whether the server holds a session that has not lapsed.
func (s *session) isLive(now time.Duration) bool {
	return s.hasReplied && s.server != 0 && now < s.actsUntil
}

// mayAct reports whether the server may still act under earlier grants.
func (s *session) mayAct(now time.Duration) bool {
	return now < s.actsUntil
}

// isSettling reports whether plans should still wait for the first answer.
func (s *session) isSettling(now time.Duration) bool {
	return s.inTable && !s.hasReplied && now < s.settleUntil
}

// changeInstance notes that another process answers as this server. The earlier
// one may still act until its own session has lapsed.
func (s *session) changeInstance(instance uint64) {
	s.earlierUntil = max(s.earlierUntil, s.actsUntil)
	s.actsUntil = 0
	s.instance = instance
	s.server = 0
}

// isDue reports whether the server should be called now.
func (s *session) isDue(now time.Duration, timeout time.Duration) bool {
	if s.isCalling {
		return now >= s.calledAt+timeout
	}
	return s.urgent || now >= s.nextCallAt
}

// beginCall records a call before it is sent. The bound is taken from when the
// challenge was received: the server made it earlier, and its session runs from
// then, so it ends before this bound however long the message travels.
func (s *session) beginCall(now, ttl time.Duration) {
	s.sequence++
	s.isCalling = true
	s.calledAt = now
	s.urgent = false
	if s.challenge != 0 {
		s.actsUntil = max(s.actsUntil, s.challengeReceivedAt+clock.Stretch(ttl))
	}
}

func (s *session) endCall(now, interval time.Duration) {
	s.isCalling = false
	s.nextCallAt = now + interval
}
