// Package holder is the server's half of the ownership protocol: it decides
// whether this server may run a request for a slice at a given moment.
//
// The package is pure. A server embeds a Holder, hands it every session
// message, and asks it before a request starts and again before the request
// takes effect.
//
// Safety rests on two rules. First, a session runs from the moment the server
// made the challenge that a message echoes, so a message that was delayed, or
// sent by a leader that was frozen, extends nothing that it should not. Second,
// a slice's fence never goes back below one that was revoked.
package holder

import (
	"time"

	"github.com/micahaven/micahaven/internal/wire"
)

// Grant is the right to run requests for one slice.
type Grant struct {
	Slice uint32      `json:"slice"`
	Fence *wire.Fence `json:"fence"`
}

// Message is what a group's leader sends: a renewal, with grants and
// revocations on the way.
type Message struct {
	Group     string `json:"group"`
	Challenge uint64 `json:"challenge"`
	// TTL is the length of the session in nanoseconds.
	TTL     time.Duration `json:"ttl_nanos"`
	Grants  []Grant       `json:"grants,omitempty"`
	Revokes []Grant       `json:"revokes,omitempty"`
}

// Reply answers a Message.
type Reply struct {
	// Challenge is fresh; the next message has to echo it.
	Challenge uint64 `json:"challenge"`
	// Instance identifies the server's process: it changes with every restart.
	Instance uint64 `json:"instance"`
	// Session identifies the running session; 0 means that there is none. It
	// changes whenever the server dropped all its grants.
	Session uint64 `json:"session"`
	// Granted and Revoked list the slices for which the message took effect.
	Granted []uint32 `json:"granted,omitempty"`
	Revoked []uint32 `json:"revoked,omitempty"`
	// Running is the number of requests that run now.
	Running int `json:"running"`
}

// rememberedChallenges is how many challenges stay valid side by side: enough
// for one reply that is lost and one call that is late.
const rememberedChallenges = 8

type challenge struct {
	value  uint64
	madeAt time.Duration
}

// Holder keeps the sessions and grants of one server. It is not safe for
// concurrent use.
type Holder struct {
	random     func() uint64
	instance   uint64
	challenges []challenge
	session    uint64
	validUntil time.Duration
	grants     map[uint32]*wire.Fence
	floors     map[uint32]*wire.Fence
	running    map[uint32]int
	total      int
}

// New returns a holder without grants. Random must return unpredictable,
// non-repeating numbers.
func New(random func() uint64) *Holder {
	return &Holder{
		random:   random,
		instance: random() | 1,
		grants:   make(map[uint32]*wire.Fence),
		floors:   make(map[uint32]*wire.Fence),
		running:  make(map[uint32]int),
	}
}

// Handle applies one message.
func (h *Holder) Handle(now time.Duration, message *Message) *Reply {
	h.expire(now)
	reply := &Reply{Challenge: h.newChallenge(now), Instance: h.instance, Running: h.total}
	h.revoke(message, reply)
	madeAt, known := h.madeAt(message.Challenge)
	if !known || now >= madeAt+message.TTL {
		reply.Session = h.session
		return reply
	}
	if h.session == 0 {
		h.session = h.random() | 1
	}
	h.validUntil = max(h.validUntil, madeAt+message.TTL)
	for _, grant := range message.Grants {
		if floor := h.floors[grant.Slice]; floor != nil && Compare(grant.Fence, floor) <= 0 {
			continue
		}
		if held := h.grants[grant.Slice]; held == nil || Compare(grant.Fence, held) > 0 {
			h.grants[grant.Slice] = grant.Fence
		}
		reply.Granted = append(reply.Granted, grant.Slice)
	}
	reply.Session = h.session
	return reply
}

// revoke takes slices back. It needs no valid challenge, because giving up a
// right is always safe. A slice is reported once nothing runs on it.
func (h *Holder) revoke(message *Message, reply *Reply) {
	for _, revoked := range message.Revokes {
		if floor := h.floors[revoked.Slice]; floor == nil || Compare(revoked.Fence, floor) > 0 {
			h.floors[revoked.Slice] = revoked.Fence
		}
		if held := h.grants[revoked.Slice]; held != nil && Compare(held, revoked.Fence) <= 0 {
			delete(h.grants, revoked.Slice)
		}
		if h.running[revoked.Slice] == 0 {
			reply.Revoked = append(reply.Revoked, revoked.Slice)
		}
	}
}

// MayRun reports whether a request that carries the fence may run, or take
// effect, now.
func (h *Holder) MayRun(now time.Duration, slice uint32, fence *wire.Fence) bool {
	h.expire(now)
	held := h.grants[slice]
	return held != nil && fence != nil && Compare(held, fence) == 0
}

// FenceOf returns the fence under which a slice is held at the given time, or
// nil when it is not.
func (h *Holder) FenceOf(now time.Duration, slice uint32) *wire.Fence {
	h.expire(now)
	return h.grants[slice]
}

// Begin counts a request as running.
func (h *Holder) Begin(slice uint32) {
	h.running[slice]++
	h.total++
}

// End counts a request as ended.
func (h *Holder) End(slice uint32) {
	h.total--
	h.running[slice]--
	if h.running[slice] == 0 {
		delete(h.running, slice)
	}
}

// Owned returns the number of slices held at the given time.
func (h *Holder) Owned(now time.Duration) int {
	h.expire(now)
	return len(h.grants)
}

// expire drops every grant when the session has ended. It runs before any other
// step, so that a session which is renewed late starts empty.
func (h *Holder) expire(now time.Duration) {
	if h.session != 0 && now >= h.validUntil {
		h.session = 0
		clear(h.grants)
	}
}

func (h *Holder) newChallenge(now time.Duration) uint64 {
	value := h.random() | 1
	h.challenges = append(h.challenges, challenge{value: value, madeAt: now})
	if len(h.challenges) > rememberedChallenges {
		h.challenges = h.challenges[1:]
	}
	return value
}

func (h *Holder) madeAt(value uint64) (time.Duration, bool) {
	for _, known := range h.challenges {
		if known.value == value {
			return known.madeAt, true
		}
	}
	return 0, false
}

// Compare orders fences: negative when a is older than b.
func Compare(a, b *wire.Fence) int {
	switch {
	case a.GetGeneration() != b.GetGeneration():
		if a.GetGeneration() < b.GetGeneration() {
			return -1
		}
		return 1
	case a.GetCounter() < b.GetCounter():
		return -1
	case a.GetCounter() > b.GetCounter():
		return 1
	}
	return 0
}
