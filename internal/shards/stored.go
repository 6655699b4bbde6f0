package shards

import (
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protowire"
)

// This file decodes the messages of a stored map field by field instead of with the generated
// types: every node reads each new map, a map may have thousands of ranges, and the generated
// types take several times the CPU time and memory.

// Field numbers of the messages ShardMap, ShardAuthor, ShardServer and ShardRange in
// shards.proto.
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
	mapSequence       = 11
	mapUnverified     = 12
	mapContinued      = 13

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

// maxOwnerNumber limits the numbers of owners: a map has at most as many owners as keys.
const maxOwnerNumber = KeyCount

// storedServer is a server that ranges of a stored map refer to by number.
type storedServer struct {
	id, address []byte
	number      uint64
}

// storedRange is the stored form of a range: it has no first key, and refers to its owner by
// number, where 0 means none.
type storedRange struct {
	last, owner uint64
	fence       uint64
	handover    []byte
	late        bool
	inherited   bool
}

func readAuthor(encoded []byte) (Author, error) {
	var author Author
	err := forEachField(encoded, func(number protowire.Number, value uint64, content []byte) error {
		switch number {
		case authorNode:
			author.Node = string(content)
		case authorProcess:
			author.Process = string(content)
		case authorEpoch:
			author.Epoch = value
		}
		return nil
	})
	return author, err
}

// readServer decodes a server. number is the server's number if the message does not contain
// one.
func readServer(encoded []byte, number uint64) (storedServer, error) {
	server := storedServer{number: number}
	err := forEachField(encoded, func(number protowire.Number, value uint64, content []byte) error {
		switch number {
		case serverID:
			server.id = content
		case serverAddress:
			server.address = content
		case serverNumber:
			server.number = value
		}
		return nil
	})
	if err == nil && (server.number == 0 || server.number > maxOwnerNumber) {
		err = errors.Wrapf(ErrBadMap, "field number: %d, allowed: 1 to %d", server.number, maxOwnerNumber)
	}
	return server, err
}

func readRange(encoded []byte) (storedRange, error) {
	var stored storedRange
	for at := 0; at < len(encoded); {
		number, value, content, length := consumeField(encoded[at:])
		if length < 0 {
			return stored, errors.Wrapf(ErrBadMap, "%v", protowire.ParseError(length))
		}
		at += length
		switch number {
		case rangeLast:
			stored.last = value
		case rangeOwner:
			stored.owner = value
		case rangeFence:
			stored.fence = value
		case rangeHandover:
			stored.handover = content
		case rangeLate:
			stored.late = protowire.DecodeBool(value)
		case rangeInherited:
			stored.inherited = protowire.DecodeBool(value)
		}
	}
	return stored, nil
}

// forEachField calls visit with each field of an encoded message. Fields whose wire type does
// not occur in a map are passed with field number 0, which does not occur either.
func forEachField(encoded []byte, visit func(number protowire.Number, value uint64, content []byte) error) error {
	for at := 0; at < len(encoded); {
		number, value, content, length := consumeField(encoded[at:])
		if length < 0 {
			return errors.Wrapf(ErrBadMap, "%v", protowire.ParseError(length))
		}
		at += length
		if err := visit(number, value, content); err != nil {
			return err
		}
	}
	return nil
}

// consumeField decodes one field, either a varint or the bytes of a string or message. A
// negative length is an error code of protowire.
func consumeField(encoded []byte) (number protowire.Number, value uint64, content []byte, length int) {
	number, kind, length := protowire.ConsumeTag(encoded)
	if length < 0 {
		return 0, 0, nil, length
	}
	inner := 0
	switch kind {
	case protowire.VarintType:
		value, inner = protowire.ConsumeVarint(encoded[length:])
	case protowire.BytesType:
		content, inner = protowire.ConsumeBytes(encoded[length:])
	default:
		inner = protowire.ConsumeFieldValue(number, kind, encoded[length:])
		number = 0
	}
	if inner < 0 {
		return 0, 0, nil, inner
	}
	return number, value, content, length + inner
}
