package shards

import (
	"math"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protowire"

	"github.com/micahaven/micahaven/internal/discovery"
)

// Numbers of the fields of the messages ShardMap, ShardAuthor, ShardServer and
// ShardRange in shards.proto.
const (
	mapService  = 1
	mapEpoch    = 2
	mapServers  = 3
	mapRanges   = 4
	mapNode     = 5
	mapProcess  = 6
	mapResigned = 8
	mapPending  = 9

	mapNumberedRanges = 10

	authorNode    = 1
	authorProcess = 2
	authorEpoch   = 3

	serverID      = 1
	serverAddress = 2
	serverNumber  = 3

	rangeLast     = 1
	rangeOwner    = 2
	rangeFence    = 3
	rangeHandover = 4
	rangeLate     = 5

	rangeInherited = 6
)

// bytesPerRange is about how many bytes a stored map has for each range, its part of
// the servers included, as counted on maps of large deployments. It only sizes a slice.
const bytesPerRange = 48

// maxNumber bounds the numbers of owners: a map has no more owners than keys.
const maxNumber = KeyCount

// owner is a server that ranges of a stored map refer to by its number.
type owner struct {
	id      discovery.ServerID
	address string
}

// storedRange is a range as it is stored: without its first key, and with the number of
// its owner; 0 means none.
type storedRange struct {
	last, owner uint64
	fence       uint64
	handover    string
	late        bool
	inherited   bool
}

// mapDecoder collects the fields of a stored map.
type mapDecoder struct {
	decoded *Map
	// owners holds the owner with number 1 first; those that no number refers to are
	// empty.
	owners []owner
	ranges []storedRange
}

// DecodeMap reads a stored map and checks that it covers the key space. It reads the
// fields one by one instead of through the generated types: every node reads each
// new map, a map may have hundreds of ranges, and the generated types take several
// times the processor time and the memory.
func DecodeMap(encoded []byte) (*Map, error) {
	decoder := &mapDecoder{decoded: &Map{}, ranges: make([]storedRange, 0, len(encoded)/bytesPerRange)}
	whole := message{bytes: encoded, text: string(encoded)}
	if err := whole.each(decoder.take); err != nil {
		return nil, err
	}
	decoder.decoded.Author.Epoch = decoder.decoded.Epoch
	if err := decoder.resolve(); err != nil {
		return nil, err
	}
	return decoder.decoded, nil
}

func (d *mapDecoder) take(f field) error {
	switch f.number {
	case mapService:
		d.decoded.Service = f.text
	case mapEpoch:
		d.decoded.Epoch = f.value
	case mapNode:
		d.decoded.Author.Node = f.text
	case mapProcess:
		d.decoded.Author.Process = f.text
	case mapResigned:
		d.decoded.Resigned = protowire.DecodeBool(f.value)
	case mapPending:
		return d.takePending(f)
	case mapServers:
		return d.takeServer(f)
	case mapRanges, mapNumberedRanges:
		return d.takeRange(f)
	}
	return nil
}

func (d *mapDecoder) takePending(f field) error {
	var author Author
	err := f.message().each(func(inner field) error {
		switch inner.number {
		case authorNode:
			author.Node = inner.text
		case authorProcess:
			author.Process = inner.text
		case authorEpoch:
			author.Epoch = inner.value
		}
		return nil
	})
	d.decoded.Pending = append(d.decoded.Pending, author)
	return err
}

func (d *mapDecoder) takeServer(f field) error {
	var server owner
	number := uint64(len(d.owners)) + 1
	err := f.message().each(func(inner field) error {
		switch inner.number {
		case serverID:
			server.id = discovery.ServerID(inner.text)
		case serverAddress:
			server.address = inner.text
		case serverNumber:
			number = inner.value
		}
		return nil
	})
	if err != nil {
		return err
	}
	if number == 0 || number > maxNumber {
		return errors.Wrapf(ErrBadMap, "field number: %d, allowed: 1 to %d", number, maxNumber)
	}
	for uint64(len(d.owners)) < number {
		d.owners = append(d.owners, owner{})
	}
	d.owners[number-1] = server
	return nil
}

func (d *mapDecoder) takeRange(f field) error {
	var stored storedRange
	err := f.message().each(func(inner field) error {
		switch inner.number {
		case rangeLast:
			stored.last = inner.value
		case rangeOwner:
			stored.owner = inner.value
		case rangeFence:
			stored.fence = inner.value
		case rangeHandover:
			stored.handover = inner.text
		case rangeLate:
			stored.late = protowire.DecodeBool(inner.value)
		case rangeInherited:
			stored.inherited = protowire.DecodeBool(inner.value)
		}
		return nil
	})
	d.ranges = append(d.ranges, stored)
	return err
}

// resolve makes the ranges of the map from the stored ones.
func (d *mapDecoder) resolve() error {
	next := uint64(0)
	d.decoded.Ranges = make([]Range, 0, len(d.ranges))
	for _, stored := range d.ranges {
		if stored.last < next || stored.last > LastKey {
			return errors.Wrapf(ErrBadMap, "field last: %d, allowed: %d to %d", stored.last, next, LastKey)
		}
		if stored.owner > uint64(len(d.owners)) {
			return errors.Wrapf(ErrBadMap, "field owner: %d, allowed: at most %d", stored.owner, len(d.owners))
		}
		entry := Range{
			First: uint32(next), Last: uint32(stored.last), Fence: stored.fence, Handover: stored.handover, Late: stored.late,
			Inherited: stored.inherited,
		}
		if stored.owner > 0 {
			server := d.owners[stored.owner-1]
			if server.id == "" {
				return errors.Wrapf(ErrBadMap, "field owner: %d, allowed: the number of a server", stored.owner)
			}
			entry.Owner, entry.Address = server.id, server.address
		}
		d.decoded.Ranges = append(d.decoded.Ranges, entry)
		next = stored.last + 1
	}
	if next != KeyCount {
		return errors.Wrapf(ErrBadMap, "ranges end before key %d, allowed: the whole key space", next)
	}
	return nil
}

// message is an encoded protobuf message, as bytes and as the same bytes in a string,
// of which the texts of its fields are parts.
type message struct {
	bytes []byte
	text  string
}

// field is one field of a message: a number, or bytes that are a text or a message.
type field struct {
	number protowire.Number
	value  uint64
	bytes  []byte
	text   string
}

func (f field) message() message { return message{bytes: f.bytes, text: f.text} }

// each calls take with the fields of a message. Fields of kinds that a map does not
// have are passed over.
func (m message) each(take func(field) error) error {
	for at := 0; at < len(m.bytes); {
		number, kind, length := protowire.ConsumeTag(m.bytes[at:])
		if length < 0 {
			return errors.Wrapf(ErrBadMap, "%v", protowire.ParseError(length))
		}
		at += length
		found := field{number: number}
		switch kind {
		case protowire.VarintType:
			found.value, length = protowire.ConsumeVarint(m.bytes[at:])
		case protowire.BytesType:
			found.bytes, length = protowire.ConsumeBytes(m.bytes[at:])
		default:
			found.number = math.MaxInt32
			length = protowire.ConsumeFieldValue(number, kind, m.bytes[at:])
		}
		if length < 0 {
			return errors.Wrapf(ErrBadMap, "%v", protowire.ParseError(length))
		}
		at += length
		if found.bytes != nil {
			found.text = m.text[at-len(found.bytes) : at]
		}
		if err := take(found); err != nil {
			return err
		}
	}
	return nil
}
