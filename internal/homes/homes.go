// Package homes says which node is home to a server: the node that holds the queue, the
// connections and what is known of that server for all nodes of its zone. Every node
// finds the same home from the registered nodes, without a message. It is pure.
package homes

import "github.com/micahaven/micahaven/internal/discovery"

// Node is a node that may be home to servers.
type Node struct {
	Name, Zone, Address string
	// Share is its part of a processor, by which it gets servers.
	Share float64
}

// Server is a server that has a home.
type Server struct {
	ID   discovery.ServerID
	Zone string
}

// Ranked returns the nodes of a server's zone, the home first and then those that take
// its place in turn if it cannot be reached.
type Ranked func(server Server, nodes []Node) []Node
