// Package shards decides which server may hold each key of a key-divided
// service. It is pure: events and ticks go in, commands come out, and there is
// neither I/O nor a clock inside.
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

// ErrBadMap means that a stored map cannot be used.
var ErrBadMap = errors.New("bad owner map")

// Range is a run of adjacent keys with one owner.
type Range struct {
	// First and Last are both inside.
	First, Last uint32
	// Owner is the one server that may hold the keys; empty means none.
	Owner   discovery.ServerID
	Address string
	// Fence grows whenever the keys change hands.
	Fence uint64
	// Handover is what the last holder gave when it released the keys.
	Handover string
	// Late is true if a grant to the owner got no answer, so that the owner may
	// take it long after it was sent.
	Late bool
	// Inherited is true while the owner may hold the keys by a grant of an earlier
	// manager, under a lower fence, because it has not taken one under Fence yet.
	Inherited bool
}

// Author is a manager that wrote a map.
type Author struct {
	Node string
	// Process differs between two lives of a node.
	Process string
	// Epoch is the epoch of the manager's term.
	Epoch uint64
}

// Map is the owner map of one service. It is immutable once published.
type Map struct {
	Service string
	// Epoch is the epoch of the manager that wrote the map, and Sequence counts its maps.
	Epoch, Sequence uint64
	// Unverified is true while servers may hold keys that the map does not give them, because
	// the store was restored and changes of owners may be lost.
	Unverified bool
	// Continued is true if the fences of an unverified map are those under which the owners
	// were granted their keys before the restore, by a manager that lived on. A server that has
	// given keys up since refuses them, so that any manager may renew under them.
	Continued bool
	// Ranges are sorted, adjacent and cover the whole key space.
	Ranges []Range
	Author Author
	// Pending are managers before the author that may still send orders.
	Pending []Author
	// Resigned is true if the author sends no orders after this map.
	Resigned bool
	// numbers are those by which the stored map refers to the owners; nil if they are
	// to be given anew.
	numbers map[discovery.ServerID]uint32
}

// Find returns the range of a key. The key must be at most LastKey.
func (m *Map) Find(key uint32) *Range {
	index := sort.Search(len(m.Ranges), func(i int) bool { return m.Ranges[i].Last >= key })
	if index == len(m.Ranges) {
		return nil
	}
	return &m.Ranges[index]
}

// anyLate reports whether a grant of any range got no answer.
func (m *Map) anyLate() bool {
	for _, r := range m.Ranges {
		if r.Late {
			return true
		}
	}
	return false
}

// Encode returns the form in which the map is stored.
func (m *Map) Encode() ([]byte, error) {
	stored := &wire.ShardMap{
		Service: m.Service, Epoch: m.Epoch, Node: m.Author.Node, Process: m.Author.Process,
		Resigned: m.Resigned, Sequence: m.Sequence, Unverified: m.Unverified, Continued: m.Continued,
	}
	for _, author := range m.Pending {
		stored.Pending = append(stored.Pending, &wire.ShardAuthor{Node: author.Node, Process: author.Process, Epoch: author.Epoch})
	}
	numbers := m.numbers
	if numbers == nil {
		numbers = numberOwners(nil, m.Ranges)
	}
	listed := make(map[discovery.ServerID]bool, len(numbers))
	for _, r := range m.Ranges {
		if r.Owner != "" && !listed[r.Owner] {
			listed[r.Owner] = true
			stored.Servers = append(stored.Servers, &wire.ShardServer{Id: string(r.Owner), Address: r.Address, Number: numbers[r.Owner]})
		}
		stored.NumberedRanges = append(stored.NumberedRanges, &wire.ShardRange{
			Last: r.Last, Owner: numbers[r.Owner], Fence: r.Fence, Handover: r.Handover, Late: r.Late, Inherited: r.Inherited,
		})
	}
	slices.SortFunc(stored.Servers, func(a, b *wire.ShardServer) int { return cmp.Compare(a.GetNumber(), b.GetNumber()) })
	encoded, err := proto.Marshal(stored)
	return encoded, errors.Wrap(err, "encode owner map")
}

// numberOwners gives each owner of ranges a number: the one that it had before, or the
// lowest that is free. An owner that changes its number would change all its ranges in
// the stored map, and nodes are sent what differs from the map before.
func numberOwners(before map[discovery.ServerID]uint32, ranges []Range) map[discovery.ServerID]uint32 {
	numbers := make(map[discovery.ServerID]uint32, len(before))
	taken := make(map[uint32]bool, len(before))
	for _, r := range ranges {
		if number, known := before[r.Owner]; known {
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
