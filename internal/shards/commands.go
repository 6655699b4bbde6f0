package shards

import (
	"time"

	"github.com/micahaven/micahaven/internal/discovery"
)

// Grant asks that a server be given keys, or that its hold on them be renewed.
type Grant struct {
	Range
	Hold time.Duration
}

// Release asks that a server give keys up. Its fence is above that of every
// grant of the keys, so that late copies of those grants are refused.
type Release struct {
	First, Last uint32
	Owner       discovery.ServerID
	Address     string
	Fence       uint64
	// Move is why, for the log.
	Move Move
}

// Commit asks that the map be written if it is still the one last committed.
type Commit struct {
	Map *Map
}

// Commands are what a manager wants done. They may be carried out in any order
// and at the same time.
type Commands struct {
	Grants   []Grant
	Releases []Release
	Commit   *Commit
	// Moving are ranges that are about to change hands.
	Moving []Range
	// Restored are ranges that go back to the owners that released them.
	Restored []Range
}

// Outcome is how an order to a server ended.
type Outcome int

// The outcomes of an order.
const (
	// Accepted means that the server carried the order out.
	Accepted Outcome = iota
	// Superseded means that the server has seen a higher fence.
	Superseded
	// NotSent means that the order surely never reached the server.
	NotSent
	// Unanswered means that the order may be carried out, even much later.
	Unanswered
	// Broken means that the connection ended without an answer: the order was
	// carried out by then, or never will be.
	Broken
)

// String names the outcome for the log.
func (o Outcome) String() string {
	switch o {
	case Accepted:
		return "accepted"
	case Superseded:
		return "superseded"
	case NotSent:
		return "not sent"
	case Unanswered:
		return "unanswered"
	case Broken:
		return "broken"
	default:
		return "unknown"
	}
}

// GrantResult reports how a grant ended.
type GrantResult struct {
	Grant   Grant
	SentAt  time.Duration
	Outcome Outcome
}

// ReleaseResult reports how a release ended.
type ReleaseResult struct {
	Release  Release
	Outcome  Outcome
	Handover string
}

// Server is what a manager knows of a possible owner.
type Server struct {
	ID      discovery.ServerID
	Address string
	// Version is that of its software.
	Version string
	// Capacity is how much load the server takes, relative to the others.
	Capacity float64
	// Accepting servers may be given keys; the others only keep what they have
	// until it has moved.
	Accepting bool
	// Warming servers are given no keys while others accept some, because they bear only
	// a few requests; what they have they keep.
	Warming bool
	// Reduced servers have a small part of their usual capacity, for a reason whose end only
	// their responses show: they keep some keys that are requested.
	Reduced bool
}
