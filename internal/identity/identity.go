// Package identity defines the identifiers of micahaven nodes, of the servers that own keys, and
// of services.
package identity

import (
	"crypto/rand"
	"encoding/binary"
	"fmt"

	"github.com/micahaven/micahaven/internal/wire"
)

// NodeID identifies a micahaven node. It stays the same across restarts.
type NodeID string

// ServerID identifies a server that owns keys.
type ServerID string

// ServiceName names a service of the operators' table.
type ServiceName string

// Incarnation identifies one run of a node's process: a process draws a new one when it starts,
// because it keeps no state of the previous run.
type Incarnation uint64

// NewIncarnation draws a random, non-zero incarnation.
func NewIncarnation() Incarnation {
	var raw [8]byte
	// crypto/rand.Read never fails on the supported platforms.
	_, _ = rand.Read(raw[:])
	return Incarnation(binary.LittleEndian.Uint64(raw[:]) | 1)
}

// MemberKey identifies one incarnation of a node. It can be used as a map key.
type MemberKey struct {
	Node        NodeID
	Incarnation Incarnation
}

// KeyOf returns the key of a wire member.
func KeyOf(member *wire.Member) MemberKey {
	return MemberKey{
		Node:        NodeID(member.GetNode()),
		Incarnation: Incarnation(member.GetIncarnation()),
	}
}

// String formats the key for logs, for example "n1/8f3a".
func (k MemberKey) String() string {
	return fmt.Sprintf("%s/%x", k.Node, uint64(k.Incarnation))
}
