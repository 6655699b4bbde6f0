package shards

import (
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protowire"

	"github.com/micahaven/micahaven/internal/discovery"
)

// estimatedBytesPerRange is the approximate size of a range in a stored map, including its
// share of the servers, as counted on maps of large deployments. It only determines the initial
// capacity of a slice.
const estimatedBytesPerRange = 48

// ownerEntry is a server that ranges of a stored map refer to by number.
type ownerEntry struct {
	id      discovery.ServerID
	address string
}

// mapDecoder collects the fields of a stored map.
type mapDecoder struct {
	decoded *Map
	// ownersByNumber has the owner with number n at index n-1. Entries for unused numbers are
	// empty.
	ownersByNumber []ownerEntry
	ranges         []storedRange
}

// DecodeMap decodes a stored map and checks that it covers the key space. It is meant for
// managers, which need the whole map; other nodes use DecodeOwners.
func DecodeMap(encoded []byte) (*Map, error) {
	decoder := &mapDecoder{decoded: &Map{}, ranges: make([]storedRange, 0, len(encoded)/estimatedBytesPerRange)}
	if err := forEachField(encoded, decoder.decodeField); err != nil {
		return nil, err
	}
	decoder.decoded.Author.Epoch = decoder.decoded.Epoch
	if err := decoder.resolve(); err != nil {
		return nil, err
	}
	return decoder.decoded, nil
}

func (d *mapDecoder) decodeField(number protowire.Number, value uint64, content []byte) error {
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
		return d.decodeServer(content)
	case mapRanges, mapNumberedRanges:
		stored, err := readRange(content)
		d.ranges = append(d.ranges, stored)
		return err
	}
	return nil
}

func (d *mapDecoder) decodeServer(content []byte) error {
	server, err := readServer(content, uint64(len(d.ownersByNumber))+1)
	if err != nil {
		return err
	}
	for uint64(len(d.ownersByNumber)) < server.number {
		d.ownersByNumber = append(d.ownersByNumber, ownerEntry{})
	}
	d.ownersByNumber[server.number-1] = ownerEntry{id: discovery.ServerID(server.id), address: string(server.address)}
	return nil
}

// resolve converts the stored ranges to the ranges of the map.
func (d *mapDecoder) resolve() error {
	next := uint64(0)
	d.decoded.Ranges = make([]Range, 0, len(d.ranges))
	for _, stored := range d.ranges {
		if stored.last < next || stored.last > LastKey {
			return errors.Wrapf(ErrBadMap, "field last: %d, allowed: %d to %d", stored.last, next, LastKey)
		}
		if stored.owner > uint64(len(d.ownersByNumber)) {
			return errors.Wrapf(ErrBadMap, "field owner: %d, allowed: at most %d", stored.owner, len(d.ownersByNumber))
		}
		entry := Range{
			First: uint32(next), Last: uint32(stored.last), Fence: stored.fence, Handover: string(stored.handover), Late: stored.late,
			Inherited: stored.inherited,
		}
		if stored.owner > 0 {
			server := d.ownersByNumber[stored.owner-1]
			if server.id == "" {
				return errors.Wrapf(ErrBadMap, "field owner: %d, allowed: the number of a server", stored.owner)
			}
			entry.Owner, entry.Address = server.id, server.address
		}
		d.decoded.Ranges = append(d.decoded.Ranges, entry)
		next = stored.last + 1
	}
	if next != KeyCount {
		return errors.Wrapf(ErrBadMap, "ranges end before key %d and do not cover the whole key space", next)
	}
	return nil
}
