// Package shards decides which server may hold each key of a sharded service. It performs no
// I/O and reads no clock: it takes events and ticks and returns commands.
package shards

import (
	"cmp"
	"slices"
	"sort"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/micahaven/micahaven/internal/discovery"
	"github.com/micahaven/micahaven/internal/wire"
)

// KeyCount is the number of keys of a service; keys are 0 to KeyCount-1.
const KeyCount = 1 << 16

// LastKey is the greatest key.
const LastKey = KeyCount - 1

// ErrBadMap is returned for a stored map that is invalid.
var ErrBadMap = errors.New("invalid owner map")

// Range is an interval of keys with one owner.
type Range struct {
	// First and Last are both inclusive.
	First, Last uint32
	// Owner is the only server that may hold the keys; empty means none.
	Owner   discovery.ServerID
	Address string
	// Fence is the fencing token, which increases whenever the keys change owners.
	Fence uint64
	// Handover is the value that the previous owner returned when it released the keys.
	Handover string
	// Late is true if a grant to the owner got no response, or if a manager that may have sent one
	// has ended, so that the owner may execute it long after it was sent.
	Late bool
	// Inherited is true while the owner may hold the keys by a grant of an earlier manager
	// under a lower fence, because it has not accepted a grant under Fence yet.
	Inherited bool
}

// Author identifies a manager that wrote a map.
type Author struct {
	Node string
	// Process differs between two runs of the same node.
	Process string
	// Epoch is the epoch of the manager's term.
	Epoch uint64
}

// Map is the owner map of one service. It must not be modified once it is published.
type Map struct {
	Service string
	// Epoch is the epoch of the manager that wrote the map, and Sequence counts the maps of
	// that manager.
	Epoch, Sequence uint64
	// Unverified is true while servers may hold keys that the map does not assign to them,
	// because the store was restored and changes of owners may be lost.
	Unverified bool
	// Continued is true if the fences of an unverified map are those under which the owners
	// were granted their keys before the restore, by a manager whose process kept running. A
	// server that has given up keys since then rejects these fences, so any manager may renew
	// grants under them.
	Continued bool
	// Incomplete is true for an unverified map if servers that are neither in it nor registered may hold
	// keys. It is not stored.
	Incomplete bool
	// Ranges are sorted and contiguous, and cover the whole key space.
	Ranges []Range
	Author Author
	// Pending are managers before the author that may still send commands.
	Pending []Author
	// Resigned is true if the author sends no commands after this map.
	Resigned bool
	// ownerNumbers are the numbers by which the stored map refers to owners; nil if Encode is
	// to assign new ones.
	ownerNumbers map[discovery.ServerID]uint32
}

// Find returns the range that contains a key. The key must be at most LastKey.
func (m *Map) Find(key uint32) *Range {
	index := sort.Search(len(m.Ranges), func(i int) bool { return m.Ranges[i].Last >= key })
	if index == len(m.Ranges) {
		return nil
	}
	return &m.Ranges[index]
}

// Encode returns the stored form of the map.
func (m *Map) Encode() ([]byte, error) {
	stored := &wire.ShardMap{
		Service: m.Service, Epoch: m.Epoch, Node: m.Author.Node, Process: m.Author.Process,
		Resigned: m.Resigned, Sequence: m.Sequence, Unverified: m.Unverified, Continued: m.Continued,
	}
	for _, author := range m.Pending {
		stored.Pending = append(stored.Pending, &wire.ShardAuthor{Node: author.Node, Process: author.Process, Epoch: author.Epoch})
	}
	ownerNumbers := m.ownerNumbers
	if ownerNumbers == nil {
		ownerNumbers = assignOwnerNumbers(nil, m.Ranges)
	}
	listed := make(map[discovery.ServerID]bool, len(ownerNumbers))
	for _, r := range m.Ranges {
		if r.Owner != "" && !listed[r.Owner] {
			listed[r.Owner] = true
			stored.Servers = append(stored.Servers, &wire.ShardServer{Id: string(r.Owner), Address: r.Address, Number: ownerNumbers[r.Owner]})
		}
		stored.NumberedRanges = append(stored.NumberedRanges, &wire.ShardRange{
			Last: r.Last, Owner: ownerNumbers[r.Owner], Fence: r.Fence, Handover: r.Handover, Late: r.Late, Inherited: r.Inherited,
		})
	}
	slices.SortFunc(stored.Servers, func(a, b *wire.ShardServer) int { return cmp.Compare(a.GetNumber(), b.GetNumber()) })
	encoded, err := proto.Marshal(stored)
	return encoded, errors.Wrap(err, "encode owner map")
}

// assignOwnerNumbers gives each owner of the ranges a number: the one it had in the previous
// map, or else the lowest free one. Nodes receive the difference from the previous map, and an
// owner whose number changed would change all its ranges in the stored map.
func assignOwnerNumbers(previous map[discovery.ServerID]uint32, ranges []Range) map[discovery.ServerID]uint32 {
	numbers := make(map[discovery.ServerID]uint32, len(previous))
	taken := make(map[uint32]bool, len(previous))
	for _, r := range ranges {
		if number, known := previous[r.Owner]; known {
			numbers[r.Owner] = number
			taken[number] = true
		}
	}
	next := uint32(1)
	for _, r := range ranges {
		if _, known := numbers[r.Owner]; known || r.Owner == "" {
			continue
		}
		for taken[next] {
			next++
		}
		numbers[r.Owner] = next
		taken[next] = true
	}
	return numbers
}
