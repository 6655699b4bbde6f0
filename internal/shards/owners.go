package shards

import (
	"cmp"
	"slices"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protowire"

	"github.com/micahaven/micahaven/internal/discovery"
)

// Owners is the part of a stored map that nodes need: the owner of each key and the author of
// the map. It is immutable. Each node decodes each map and keeps one, and a map may have
// thousands of ranges, so the ranges are kept in slices without pointers. They take a fifth of
// the memory of a Map, and the garbage collector does not scan them.
type Owners struct {
	// Epoch is the epoch of the manager that wrote the map, and Sequence counts the maps of
	// that manager.
	Epoch, Sequence uint64
	Author          Author
	// Pending are managers before the author that may still send commands.
	Pending []Author
	// Resigned is true if the author sends no commands after this map.
	Resigned bool

	servers []discovery.ServerID
	// For each range: its last key, the number of its owner (0 means none), its fence, and
	// whether the owner got the keys with the handover value of the previous owner.
	lastKeys     []uint32
	ownerNumbers []uint32
	fences       []uint64
	handedOver   []bool
}

// OwnedRange is a range of an owner map as nodes see it.
type OwnedRange struct {
	// First and Last are both inclusive.
	First, Last uint32
	// Owner is the only server that may hold the keys; empty means none.
	Owner discovery.ServerID
	Fence uint64
	// HandedOver is true if the owner got the keys with the handover value of the previous
	// owner.
	HandedOver bool
}

// NewerThan reports whether the map was written after another map of the same service.
func (o *Owners) NewerThan(other *Owners) bool {
	return cmp.Or(cmp.Compare(o.Epoch, other.Epoch), cmp.Compare(o.Sequence, other.Sequence)) > 0
}

// Len returns the number of ranges.
func (o *Owners) Len() int { return len(o.lastKeys) }

// At returns the range at the given position.
func (o *Owners) At(position int) OwnedRange {
	held := OwnedRange{Last: o.lastKeys[position], Fence: o.fences[position], HandedOver: o.handedOver[position]}
	if position > 0 {
		held.First = o.lastKeys[position-1] + 1
	}
	if number := o.ownerNumbers[position]; number > 0 {
		held.Owner = o.servers[number-1]
	}
	return held
}

// Find returns the range that contains a key. The key must be at most LastKey.
func (o *Owners) Find(key uint32) OwnedRange {
	position, _ := slices.BinarySearch(o.lastKeys, key)
	return o.At(position)
}

// DecodeOwners decodes a stored map and checks that it covers the key space. previous is an
// earlier map whose server ID strings are reused; nil if there is none.
func DecodeOwners(encoded []byte, previous *Owners) (*Owners, error) {
	if previous == nil {
		previous = &Owners{}
	}
	decoder := &ownersDecoder{decoded: &Owners{}, previous: previous}
	if err := forEachField(encoded, decoder.decodeField); err != nil {
		return nil, err
	}
	decoder.decoded.Author.Epoch = decoder.decoded.Epoch
	return decoder.decoded, decoder.validate()
}

// ownersDecoder collects the fields of a stored map.
type ownersDecoder struct {
	decoded  *Owners
	previous *Owners
}

func (d *ownersDecoder) decodeField(number protowire.Number, value uint64, content []byte) error {
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
		return d.decodeServer(content)
	case mapRanges, mapNumberedRanges:
		return d.decodeRange(content)
	}
	return nil
}

func (d *ownersDecoder) decodeServer(content []byte) error {
	server, err := readServer(content, uint64(len(d.decoded.servers))+1)
	if err != nil {
		return err
	}
	if d.decoded.servers == nil {
		d.decoded.servers = make([]discovery.ServerID, 0, len(d.previous.servers)+1)
	}
	for uint64(len(d.decoded.servers)) < server.number {
		d.decoded.servers = append(d.decoded.servers, "")
	}
	d.decoded.servers[server.number-1] = d.internID(server.number-1, server.id)
	return nil
}

// internID returns a server's ID, as the string of the previous map if that has the same ID at
// the same position.
func (d *ownersDecoder) internID(position uint64, id []byte) discovery.ServerID {
	if position < uint64(len(d.previous.servers)) && string(d.previous.servers[position]) == string(id) {
		return d.previous.servers[position]
	}
	return discovery.ServerID(id)
}

func (d *ownersDecoder) decodeRange(content []byte) error {
	stored, err := readRange(content)
	if err != nil {
		return err
	}
	o := d.decoded
	if o.lastKeys == nil {
		o.allocate(d.previous.Len() + 1)
	}
	if stored.last > LastKey || (len(o.lastKeys) > 0 && stored.last <= uint64(o.lastKeys[len(o.lastKeys)-1])) {
		return errors.Wrapf(ErrBadMap, "field last: %d, allowed: increasing values up to %d", stored.last, LastKey)
	}
	o.lastKeys = append(o.lastKeys, uint32(stored.last))
	o.ownerNumbers = append(o.ownerNumbers, uint32(min(stored.owner, maxOwnerNumber+1)))
	o.fences = append(o.fences, stored.fence)
	o.handedOver = append(o.handedOver, len(stored.handover) > 0)
	return nil
}

// allocate allocates the slices for the given number of ranges.
func (o *Owners) allocate(ranges int) {
	o.lastKeys, o.ownerNumbers = make([]uint32, 0, ranges), make([]uint32, 0, ranges)
	o.fences, o.handedOver = make([]uint64, 0, ranges), make([]bool, 0, ranges)
}

// validate returns an error if the ranges do not cover the key space or refer to servers that
// the map does not contain.
func (d *ownersDecoder) validate() error {
	o := d.decoded
	if len(o.lastKeys) == 0 || o.lastKeys[len(o.lastKeys)-1] != LastKey {
		return errors.Wrap(ErrBadMap, "ranges do not cover the whole key space")
	}
	for _, number := range o.ownerNumbers {
		if number > uint32(len(o.servers)) || (number > 0 && o.servers[number-1] == "") {
			return errors.Wrapf(ErrBadMap, "field owner: %d, allowed: the number of a server", number)
		}
	}
	return nil
}
