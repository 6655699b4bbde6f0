// Package warmup decides which nodes may send requests to a server that is warming up, and
// at what interval. Until it is warm, a server can handle only a few requests a second from
// all nodes together, and nodes do not coordinate before they send.
//
// Only a few nodes, the senders of the server, may send to it. Every node determines them
// independently by rendezvous hashing over the registered nodes. Each sender has an equal
// share of the server's rate and spaces its requests evenly.
//
// Invariant (bounded sum): in any second the nodes together send a warming server at most
// twice what one set of senders may send, and that is at most what the server can handle. A
// node with a different view of the registered nodes may compute different senders, so the
// shares are sized for two disjoint sets of senders. There are hardly ever more than two at
// the same time, because
//   - a node whose copy of the store is not confirmed does not send, so that a replaced
//     set of nodes is no longer used after maxCopyAge;
//   - a node that has just started, and may have discovered only some of the nodes, does not send;
//   - a node that is lost remains a sender until its registration expires, which takes
//     longer.
//
// The package is pure: it has neither I/O nor a clock.
package warmup

import (
	"slices"
	"time"

	"github.com/micahaven/micahaven/internal/rendezvous"
)

const (
	// sendersPerServer is how many nodes may send to a warming server. With a single sender
	// the server would receive no requests when that node is lost; with many senders each
	// would have less than one request a second, which cannot be spaced within the bound.
	sendersPerServer = 2
	// senderSets is how many disjoint sets of senders the bound has to allow for at the same
	// time.
	senderSets = 2
	// maxCopyAge is the maximum time since a node's copy of the store was last confirmed for
	// the node to send. It is far below the TTL of registrations (6 s), and above the age of
	// a copy in steady state (at most 1.35 s, see package feed).
	maxCopyAge = 2 * time.Second
	// settleTime is how long a node must have been registered, according to its own copy,
	// before it sends: nodes that start together learn of each other within that time.
	settleTime = 2 * time.Second
)

// Rate is the request rate that the warming servers of a service can handle.
type Rate struct {
	// PerSecond is the target number of requests a second for a warming server. 0 means
	// unlimited: callers must not consult Permits then, which would deny every request.
	PerSecond float64
	// Limit is the maximum number of requests within a second that the server can handle.
	Limit float64
}

// senders is how many nodes share the rate. It is fewer than sendersPerServer if their
// shares of the limit would be too small for their shares of the rate.
func (r Rate) senders() int {
	for count := sendersPerServer; count > 1; count-- {
		if 1+int(r.PerSecond/float64(count)) <= r.maxPerSender(count) {
			return count
		}
	}
	return 1
}

// maxPerSender is how many requests within a second each of the given number of senders may
// send.
func (r Rate) maxPerSender(senders int) int { return int(r.Limit) / (senderSets * senders) }

// interval is the time between two requests of one sender. The result is false if no
// requests may be sent. Requests spaced by the interval number at most 1 + 1 s/interval
// within a second.
func (r Rate) interval() (time.Duration, bool) {
	senders := r.senders()
	maxPerSender := r.maxPerSender(senders)
	if r.PerSecond <= 0 || maxPerSender < 1 {
		return 0, false
	}
	share := r.PerSecond / float64(senders)
	// margin makes the interval slightly longer, so that at most maxPerSender requests fall
	// within a second rather than one more.
	const margin = 1.02
	return time.Duration(max(1/share, margin/float64(maxPerSender)) * float64(time.Second)), true
}

// Node is a registered node.
type Node struct{ Name, Zone string }

// Server is a server that is warming up.
type Server struct {
	ID, Zone string
	Rate     Rate
}

// CopyState describes how recent a node's copy of the store is.
type CopyState struct {
	// Age is the time since the copy was last confirmed to be up to date.
	Age time.Duration
	// Confirmed is false if the copy was never confirmed.
	Confirmed bool
}

// Permits tracks which warming servers a node may send to, and when. It is not safe for
// concurrent use.
type Permits struct {
	self  string
	nodes []Node
	// nodesVersion counts the replacements of nodes.
	nodesVersion int
	// registeredAt is when the node first found itself among the registered nodes; it is
	// zero if the node is not registered.
	registeredAt time.Time
	servers      map[string]*permit
}

// permit is the state of a node's permission to send to one server.
type permit struct {
	// sender is whether the node was one of the server's senders as of nodesVersion.
	sender       bool
	nodesVersion int
	// nextAt is the earliest time of the next request.
	nextAt time.Time
}

// NewPermits returns the state of a node that is not registered yet.
func NewPermits(self string) *Permits {
	return &Permits{self: self, servers: make(map[string]*permit)}
}

// SetNodes replaces the set of registered nodes.
func (r *Permits) SetNodes(now time.Time, nodes []Node) {
	r.nodes = nodes
	r.nodesVersion++
	registered := slices.ContainsFunc(nodes, func(n Node) bool { return n.Name == r.self })
	switch {
	case !registered:
		r.registeredAt = time.Time{}
	case r.registeredAt.IsZero():
		r.registeredAt = now
	}
}

// Forget drops the state of a server that is warm or gone.
func (r *Permits) Forget(server string) { delete(r.servers, server) }

// MaySend reports whether this node may send a request to a warming server now.
func (r *Permits) MaySend(now time.Time, server Server, copied CopyState) bool {
	if _, any := server.Rate.interval(); !any {
		return false
	}
	if !copied.Confirmed || copied.Age > maxCopyAge {
		return false
	}
	if r.registeredAt.IsZero() || now.Sub(r.registeredAt) < settleTime {
		return false
	}
	current := r.permitFor(server)
	return current.sender && !now.Before(current.nextAt)
}

// IsSender reports whether this node is one of a server's senders, regardless of the age of
// its copy of the store.
func (r *Permits) IsSender(server Server) bool { return r.permitFor(server).sender }

// RecordSent records that a request is being sent to a warming server.
func (r *Permits) RecordSent(now time.Time, server Server) {
	interval, _ := server.Rate.interval()
	r.permitFor(server).nextAt = now.Add(interval)
}

func (r *Permits) permitFor(server Server) *permit {
	current := r.servers[server.ID]
	if current == nil {
		current = &permit{}
		r.servers[server.ID] = current
	}
	if current.nodesVersion != r.nodesVersion {
		current.sender = slices.Contains(r.senders(server), r.self)
		current.nodesVersion = r.nodesVersion
	}
	return current
}

// senders returns the nodes that may send to a server: nodes of the server's zone if there
// are any, because transferring bodies between zones is expensive.
func (r *Permits) senders(server Server) []string {
	var inZone, all []string
	for _, node := range r.nodes {
		all = append(all, node.Name)
		if node.Zone == server.Zone {
			inZone = append(inZone, node.Name)
		}
	}
	if len(inZone) == 0 {
		inZone = all
	}
	return rendezvous.Highest(server.ID, inZone, server.Rate.senders())
}
