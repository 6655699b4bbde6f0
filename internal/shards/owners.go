package shards

import (
	"cmp"
	"slices"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protowire"

	"github.com/micahaven/micahaven/internal/discovery"
)

// Owners is what nodes need of a stored map: who owns each key, and who wrote that. It is
// immutable. Each node reads each map and keeps one, and a map may have thousands of ranges,
// so the ranges are kept in arrays without pointers: a fifth of the memory of a Map, and
// nothing for the garbage collector to follow.
type Owners struct {
	// Epoch is the epoch of the manager that wrote the map, and Sequence counts its maps.
	Epoch, Sequence uint64
	Author          Author
	// Pending are managers before the author that may still send orders.
	Pending []Author
	// Resigned is true if the author sends no orders after this map.
	Resigned bool

	servers []discovery.ServerID
	// For each range: its last key, the number of its owner (0: none), its fence, and
	// whether the owner got the keys with the handover of the one before.
	lasts      []uint32
	numbers    []uint32
	fences     []uint64
	handedOver []bool
}

// Held is a range of an owner map as nodes see it.
type Held struct {
	// First and Last are both inside.
	First, Last uint32
	// Owner is the one server that may hold the keys; empty means none.
	Owner discovery.ServerID
	Fence uint64
	// HandedOver is true if the owner got the keys with the handover of the one before.
	HandedOver bool
}

// NewerThan reports whether a map was written after another one of the same service.
func (o *Owners) NewerThan(other *Owners) bool {
	return cmp.Or(cmp.Compare(o.Epoch, other.Epoch), cmp.Compare(o.Sequence, other.Sequence)) > 0
}

// Len returns how many ranges there are.
func (o *Owners) Len() int { return len(o.lasts) }

// At returns a range by its position.
func (o *Owners) At(position int) Held {
	held := Held{Last: o.lasts[position], Fence: o.fences[position], HandedOver: o.handedOver[position]}
	if position > 0 {
		held.First = o.lasts[position-1] + 1
	}
	if number := o.numbers[position]; number > 0 {
		held.Owner = o.servers[number-1]
	}
	return held
}

// Find returns the range of a key. The key must be at most LastKey.
func (o *Owners) Find(key uint32) Held {
	position, _ := slices.BinarySearch(o.lasts, key)
	return o.At(position)
}

// DecodeOwners reads a stored map and checks that it covers the key space. before may be an
// earlier map, whose names of servers are used again; nil if there is none.
func DecodeOwners(encoded []byte, before *Owners) (*Owners, error) {
	if before == nil {
		before = &Owners{}
	}
	decoder := &ownersDecoder{decoded: &Owners{}, before: before}
	if err := eachField(encoded, decoder.take); err != nil {
		return nil, err
	}
	decoder.decoded.Author.Epoch = decoder.decoded.Epoch
	return decoder.decoded, decoder.check()
}

// ownersDecoder collects the fields of a stored map.
type ownersDecoder struct {
	decoded *Owners
	before  *Owners
}

func (d *ownersDecoder) take(number protowire.Number, value uint64, content []byte) error {
	switch number {
	case mapEpoch:
		d.decoded.Epoch = value
	case mapNode:
		d.decoded.Author.Node = string(content)
	case mapProcess:
		d.decoded.Author.Process = string(content)
	case mapResigned:
		d.decoded.Resigned = protowire.DecodeBool(value)
	case mapSequence:
		d.decoded.Sequence = value
	case mapPending:
		author, err := readAuthor(content)
		d.decoded.Pending = append(d.decoded.Pending, author)
		return err
	case mapServers:
		return d.takeServer(content)
	case mapRanges, mapNumberedRanges:
		return d.takeRange(content)
	}
	return nil
}

func (d *ownersDecoder) takeServer(content []byte) error {
	server, err := readServer(content, uint64(len(d.decoded.servers))+1)
	if err != nil {
		return err
	}
	if d.decoded.servers == nil {
		d.decoded.servers = make([]discovery.ServerID, 0, len(d.before.servers)+1)
	}
	for uint64(len(d.decoded.servers)) < server.number {
		d.decoded.servers = append(d.decoded.servers, "")
	}
	d.decoded.servers[server.number-1] = d.name(server.number-1, server.id)
	return nil
}

// name returns a server's id, that of the earlier map if it has it at the same number.
func (d *ownersDecoder) name(position uint64, id []byte) discovery.ServerID {
	if position < uint64(len(d.before.servers)) && string(d.before.servers[position]) == string(id) {
		return d.before.servers[position]
	}
	return discovery.ServerID(id)
}

func (d *ownersDecoder) takeRange(content []byte) error {
	stored, err := readRange(content)
	if err != nil {
		return err
	}
	o := d.decoded
	if o.lasts == nil {
		o.size(d.before.Len() + 1)
	}
	if stored.last > LastKey || (len(o.lasts) > 0 && stored.last <= uint64(o.lasts[len(o.lasts)-1])) {
		return errors.Wrapf(ErrBadMap, "field last: %d, allowed: growing up to %d", stored.last, LastKey)
	}
	o.lasts = append(o.lasts, uint32(stored.last))
	o.numbers = append(o.numbers, uint32(min(stored.owner, maxNumber+1)))
	o.fences = append(o.fences, stored.fence)
	o.handedOver = append(o.handedOver, len(stored.handover) > 0)
	return nil
}

// size makes room for a number of ranges.
func (o *Owners) size(ranges int) {
	o.lasts, o.numbers = make([]uint32, 0, ranges), make([]uint32, 0, ranges)
	o.fences, o.handedOver = make([]uint64, 0, ranges), make([]bool, 0, ranges)
}

// check returns an error if the ranges don't cover the key space or have owners that the
// map does not name.
func (d *ownersDecoder) check() error {
	o := d.decoded
	if len(o.lasts) == 0 || o.lasts[len(o.lasts)-1] != LastKey {
		return errors.Wrap(ErrBadMap, "ranges end early, allowed: the whole key space")
	}
	for _, number := range o.numbers {
		if number > uint32(len(o.servers)) || (number > 0 && o.servers[number-1] == "") {
			return errors.Wrapf(ErrBadMap, "field owner: %d, allowed: the number of a server", number)
		}
	}
	return nil
}
