package shards

import (
	"time"

	"github.com/micahaven/micahaven/internal/discovery"
)

// Grant asks a server to take a range, or renews the lease that it has on the range.
type Grant struct {
	Range
	Lease time.Duration
	// EndsWait is true if its acceptance ends the wait for earlier grants, so that a surplus response
	// to one of these must not be taken for it.
	EndsWait bool
	// ConnectedBy is the time, on clock.Boot, by which the connection that carries the grant must have
	// been open; 0 if any connection will do. The owner's process was then running at that time, so it
	// knows every fence that it has accepted since.
	ConnectedBy time.Duration
}

// Release asks a server to give up keys. Its fence is above those of all earlier grants of the
// keys, so that delayed copies of those grants are rejected.
type Release struct {
	First, Last uint32
	Owner       discovery.ServerID
	Address     string
	Fence       uint64
	// Move is the reason for the release, for logs and metrics.
	Move Move
}

// Commit asks for the map to be written if the stored map is still the one that was last
// committed.
type Commit struct {
	Map *Map
}

// Commands are the actions that a manager requests. They may be executed concurrently and in
// any order.
type Commands struct {
	Grants   []Grant
	Releases []Release
	Commit   *Commit
	// Moving are ranges that are about to change owners.
	Moving []Range
	// Restored are ranges that are granted again to the owners that released them.
	Restored []Range
	// Vacated are ranges that have lost their owner since the last tick.
	Vacated []Vacancy
	// Checks are releases of a key that the server does not own, whose results show whether the server
	// is reached. They are passed to CheckDone.
	Checks []Release
	// ReachChanges are the servers that are given keys, or no longer, since the last tick.
	ReachChanges []ReachChange
	// Verified is set in the tick that ends the fencing.
	Verified *Verification
}

// Verification is why an unverified map has become authoritative.
type Verification struct {
	// Servers is the number of servers that were asked to release keys.
	Servers int
	// Evidence is OwnerReleased if all of them have acknowledged it, and otherwise LeaseExpired.
	Evidence Evidence
}

// Vacancy is a range that no server holds any longer, with the evidence for this.
type Vacancy struct {
	Range
	Evidence Evidence
	// LastAccepted is when the owner last accepted a grant of this manager; 0 if it never did.
	LastAccepted time.Duration
}

// Evidence is why no server can hold a range.
type Evidence int

// The kinds of evidence.
const (
	// OwnerReleased means that the owner acknowledged a release.
	OwnerReleased Evidence = iota
	// OwnerEnded means that another server answered a release at the owner's address.
	OwnerEnded
	// LeaseExpired means that every lease that the owner may have has expired.
	LeaseExpired
)

// String returns the name of the evidence for logs and metrics.
func (e Evidence) String() string {
	switch e {
	case OwnerReleased:
		return "released"
	case OwnerEnded:
		return "owner ended"
	case LeaseExpired:
		return "lease expired"
	default:
		return "unknown"
	}
}

// Outcome is the result of a command to a server.
type Outcome int

// The outcomes of a command.
const (
	// Accepted means that the server executed the command.
	Accepted Outcome = iota
	// Superseded means that the server has seen a higher fence.
	Superseded
	// Misdirected means that another server answered at the address, so the owner's process has
	// ended.
	Misdirected
	// NotSent means that the command certainly did not reach the server.
	NotSent
	// Withheld means that the command was not sent because no connection to the server was open by the
	// time that the command names. It says nothing about whether the server is reached.
	Withheld
	// Unanswered means that the server may still execute the command, possibly after a long
	// delay.
	Unanswered
	// ConnectionLost means that the connection closed without a response. Like an unanswered
	// command, it may still be executed.
	ConnectionLost
)

// String returns the name of the outcome for logs and metrics.
func (o Outcome) String() string {
	switch o {
	case Accepted:
		return "accepted"
	case Superseded:
		return "superseded"
	case Misdirected:
		return "misdirected"
	case NotSent:
		return "not sent"
	case Withheld:
		return "withheld"
	case Unanswered:
		return "unanswered"
	case ConnectionLost:
		return "broken"
	default:
		return "unknown"
	}
}

// GrantResult is the result of a grant.
type GrantResult struct {
	Grant Grant
	// SentAt is the latest time at which the grant can have been sent.
	SentAt  time.Duration
	Outcome Outcome
}

// ReleaseResult is the result of a release.
type ReleaseResult struct {
	Release  Release
	Outcome  Outcome
	Handover string
}

// Server describes a server that can own keys.
type Server struct {
	ID      discovery.ServerID
	Address string
	// Version is the version of the server's software.
	Version string
	// Capacity is the load that the server can take, relative to the other servers.
	Capacity float64
	// Accepting is true if the server may be given keys. Other servers only keep the keys they
	// have until those have been moved.
	Accepting bool
	// Warming is true while the server warms up and can handle only a few requests. It is given
	// no keys while other servers accept keys, but keeps those it has.
	Warming bool
	// ReducedCapacity is true if the server has a small part of its usual capacity, for a reason
	// whose end shows only in its responses. Such a server keeps some keys that receive
	// requests.
	ReducedCapacity bool
}
