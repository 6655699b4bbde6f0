package shards

import (
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protowire"

	"github.com/micahaven/micahaven/internal/discovery"
)

// bytesPerRange is about how many bytes a stored map has for each range, its part of
// the servers included, as counted on maps of large deployments. It only sizes a slice.
const bytesPerRange = 48

// owner is a server that ranges of a stored map refer to by its number.
type owner struct {
	id      discovery.ServerID
	address string
}

// mapDecoder collects the fields of a stored map.
type mapDecoder struct {
	decoded *Map
	// owners holds the owner with number 1 first; those that no number refers to are
	// empty.
	owners []owner
	ranges []storedRange
}

// DecodeMap reads a stored map and checks that it covers the key space. Managers need all of
// it; other nodes read its Owners.
func DecodeMap(encoded []byte) (*Map, error) {
	decoder := &mapDecoder{decoded: &Map{}, ranges: make([]storedRange, 0, len(encoded)/bytesPerRange)}
	if err := eachField(encoded, decoder.take); err != nil {
		return nil, err
	}
	decoder.decoded.Author.Epoch = decoder.decoded.Epoch
	if err := decoder.resolve(); err != nil {
		return nil, err
	}
	return decoder.decoded, nil
}

func (d *mapDecoder) take(number protowire.Number, value uint64, content []byte) error {
	switch number {
	case mapService:
		d.decoded.Service = string(content)
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
	case mapUnverified:
		d.decoded.Unverified = protowire.DecodeBool(value)
	case mapContinued:
		d.decoded.Continued = protowire.DecodeBool(value)
	case mapPending:
		author, err := readAuthor(content)
		d.decoded.Pending = append(d.decoded.Pending, author)
		return err
	case mapServers:
		return d.takeServer(content)
	case mapRanges, mapNumberedRanges:
		stored, err := readRange(content)
		d.ranges = append(d.ranges, stored)
		return err
	}
	return nil
}

func (d *mapDecoder) takeServer(content []byte) error {
	server, err := readServer(content, uint64(len(d.owners))+1)
	if err != nil {
		return err
	}
	for uint64(len(d.owners)) < server.number {
		d.owners = append(d.owners, owner{})
	}
	d.owners[server.number-1] = owner{id: discovery.ServerID(server.id), address: string(server.address)}
	return nil
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
			First: uint32(next), Last: uint32(stored.last), Fence: stored.fence, Handover: string(stored.handover), Late: stored.late,
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
