// Package warmup decides which nodes may send requests to a server that is warming up,
// and how far apart. A server bears only a few requests a second until it is warm, from
// all nodes together, and nodes do not ask each other before they send.
//
// The right to send to a warming server belongs to a few nodes, its senders. Every node
// finds them by itself, by rendezvous hashing over the registered nodes, and each of them
// has an equal part of the server's rate and spaces its requests evenly.
//
// Invariant (bounded sum): in any second the nodes send a warming server at most twice
// what its senders may send, and that is at most what it survives. A node that takes
// another set of nodes for registered may find other senders, so the parts are chosen for
// two whole sets. There are hardly ever more than two at the same time, because
//   - a node whose copy of the store is not confirmed uses no right, so that a set of
//     nodes that was replaced is forgotten within maxCopyAge;
//   - a node that has just started, and may know only some of the nodes, uses none;
//   - a lost node keeps its rights until its registration lapses, which takes longer.
//
// The package is pure: it has neither I/O nor a clock.
package warmup

import (
	"slices"
	"time"

	"github.com/micahaven/micahaven/internal/rendezvous"
)

const (
	// sendersPerServer is how many nodes may send to a warming server: one alone would
	// leave the server without requests when it is lost, and many have parts of less
	// than a request a second, which cannot be spaced within the bound.
	sendersPerServer = 2
	// sets is how many disjoint sets of senders the bound has to bear at a time.
	sets = 2
	// maxCopyAge is how old the confirmation of a node's copy of the store may be for it
	// to send. It is far below the time to live of registrations (6 s), and above the age
	// of a copy in steady state (at most 1.35 s, see package feed).
	maxCopyAge = 2 * time.Second
	// settleTime is how long a node must have been registered, as far as it knows, before
	// it sends: nodes that start together learn of each other within that time.
	settleTime = 2 * time.Second
)

// Rate is what a service's warming servers bear.
type Rate struct {
	// PerSecond is how many requests a second a warming server is to get; 0 means that
	// nothing bounds them.
	PerSecond float64
	// Limit is how many requests within a second it survives.
	Limit float64
}

// senders is how many nodes share the rate: fewer than usual if their parts of the limit
// would be too small for their parts of the rate.
func (r Rate) senders() int {
	for count := sendersPerServer; count > 1; count-- {
		if 1+int(r.PerSecond/float64(count)) <= r.most(count) {
			return count
		}
	}
	return 1
}

// most is how many requests within a second each of some senders may send.
func (r Rate) most(senders int) int { return int(r.Limit) / (sets * senders) }

// interval is the pause between two requests of one sender, and false if none may be
// sent. Requests that are an interval apart are at most 1 + 1 s/interval within a second.
func (r Rate) interval() (time.Duration, bool) {
	senders := r.senders()
	most := r.most(senders)
	if r.PerSecond <= 0 || most < 1 {
		return 0, false
	}
	part := r.PerSecond / float64(senders)
	// margin keeps requests that are to be most in a second from being one more.
	const margin = 1.02
	return time.Duration(max(1/part, margin/float64(most)) * float64(time.Second)), true
}

// Node is a registered node.
type Node struct{ Name, Zone string }

// Server is a server that warms up.
type Server struct {
	ID, Zone string
	Rate     Rate
}

// Copy is what a node knows of how new its copy of the store is.
type Copy struct {
	// Age is how long ago the store surely had nothing newer.
	Age time.Duration
	// Known is false if that was never known.
	Known bool
}

// Rights are a node's rights to send to warming servers. They are not safe for
// concurrent use.
type Rights struct {
	self  string
	nodes []Node
	// registrations counts how often nodes was replaced.
	registrations int
	// registeredAt is when the node first saw itself among the nodes; zero if it is not.
	registeredAt time.Time
	servers      map[string]*right
}

// right is what the node may send to one server.
type right struct {
	// sender is whether the node was one of the server's senders as of registrations.
	sender        bool
	registrations int
	// nextAt is when it may send the next request.
	nextAt time.Time
}

// NewRights returns the rights of a node that is not registered yet.
func NewRights(self string) *Rights {
	return &Rights{self: self, servers: make(map[string]*right)}
}

// SetNodes takes in which nodes are registered.
func (r *Rights) SetNodes(now time.Time, nodes []Node) {
	r.nodes = nodes
	r.registrations++
	registered := slices.ContainsFunc(nodes, func(n Node) bool { return n.Name == r.self })
	switch {
	case !registered:
		r.registeredAt = time.Time{}
	case r.registeredAt.IsZero():
		r.registeredAt = now
	}
}

// Forget drops what is known of a server that is warm or gone.
func (r *Rights) Forget(server string) { delete(r.servers, server) }

// May reports whether this node may send a request to a warming server now.
func (r *Rights) May(now time.Time, server Server, copied Copy) bool {
	if _, any := server.Rate.interval(); !any {
		return false
	}
	if !copied.Known || copied.Age > maxCopyAge {
		return false
	}
	if r.registeredAt.IsZero() || now.Sub(r.registeredAt) < settleTime {
		return false
	}
	known := r.of(server)
	return known.sender && !now.Before(known.nextAt)
}

// Sender reports whether this node is one of a server's senders, whatever it knows of how
// new its copy of the store is.
func (r *Rights) Sender(server Server) bool { return r.of(server).sender }

// Sent takes in that a request is being sent to a warming server.
func (r *Rights) Sent(now time.Time, server Server) {
	interval, _ := server.Rate.interval()
	r.of(server).nextAt = now.Add(interval)
}

func (r *Rights) of(server Server) *right {
	known := r.servers[server.ID]
	if known == nil {
		known = &right{}
		r.servers[server.ID] = known
	}
	if known.registrations != r.registrations {
		known.sender = slices.Contains(r.senders(server), r.self)
		known.registrations = r.registrations
	}
	return known
}

// senders returns the nodes that may send to a server: of the server's zone if there are
// any there, because bodies are dear between zones.
func (r *Rights) senders(server Server) []string {
	var near, all []string
	for _, node := range r.nodes {
		all = append(all, node.Name)
		if node.Zone == server.Zone {
			near = append(near, node.Name)
		}
	}
	if len(near) == 0 {
		near = all
	}
	return rendezvous.Highest(server.ID, near, server.Rate.senders())
}
