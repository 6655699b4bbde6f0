// Package delta encodes a value as its difference from an earlier one, so that a small change
// of a large value takes few bytes.
package delta

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"

	"github.com/cockroachdb/errors"
)

// Errors returned by Apply.
var (
	// ErrMalformed means that a delta cannot be decoded.
	ErrMalformed = errors.New("malformed delta")
	// ErrWrongBase means that a delta was made for another base.
	ErrWrongBase = errors.New("delta was made for another base")
)

const (
	// boundary is the value of the low bits of a byte that ends a chunk. Values are split after
	// such bytes, so that equal parts of two values form equal chunks regardless of their
	// offset. The closing brace of a JSON object is such a byte, and so is one byte in 32 of
	// binary data.
	boundary     = '}' & boundaryMask
	boundaryMask = 0x1f
	// maxChunk limits the length of a chunk in values in which the boundary is rare.
	maxChunk = 512
	// checksumBytes is the length of the checksum at the beginning of a delta.
	checksumBytes = 4
)

// span is a part of a value.
type span struct{ from, to int }

func (s span) length() int { return s.to - s.from }

// Make returns a delta that turns base into next. A delta is the checksum of next followed by
// steps. Each step has the offset and the length of a part to copy from base, and then the
// length of a literal and the literal. Long steps are compressed and follow packedMarker.
func Make(base, next []byte) []byte {
	chunkOffsets := make(map[string]int, len(base)/64)
	for _, chunk := range splitChunks(base) {
		chunkOffsets[string(base[chunk.from:chunk.to])] = chunk.from
	}
	encoded := binary.BigEndian.AppendUint32(nil, crc32.ChecksumIEEE(next))
	var copied, literal span
	flush := func() {
		if copied.length() > 0 || literal.length() > 0 {
			encoded = appendStep(encoded, copied, next[literal.from:literal.to])
		}
	}
	for _, chunk := range splitChunks(next) {
		text := next[chunk.from:chunk.to]
		// The same chunk may occur at several offsets of base. Extending the previous copy if
		// possible keeps the number of steps small.
		if literal.length() == 0 && copied.length() > 0 && bytes.HasPrefix(base[copied.to:], text) {
			copied.to += chunk.length()
			continue
		}
		offset, found := chunkOffsets[string(text)]
		switch {
		case !found && literal.length() > 0:
			literal.to = chunk.to
		case !found:
			literal = chunk
		default:
			flush()
			copied, literal = span{offset, offset + chunk.length()}, span{}
		}
	}
	flush()
	return packSteps(encoded)
}

func appendStep(encoded []byte, copied span, literal []byte) []byte {
	encoded = binary.AppendUvarint(encoded, uint64(copied.from))
	encoded = binary.AppendUvarint(encoded, uint64(copied.length()))
	encoded = binary.AppendUvarint(encoded, uint64(len(literal)))
	return append(encoded, literal...)
}

// splitChunks returns the chunks of a value.
func splitChunks(value []byte) []span {
	var chunks []span
	from := 0
	for at, b := range value {
		if b&boundaryMask == boundary || at+1-from == maxChunk {
			chunks = append(chunks, span{from, at + 1})
			from = at + 1
		}
	}
	if from < len(value) {
		chunks = append(chunks, span{from, len(value)})
	}
	return chunks
}

// Apply returns the value that a delta produces from base.
func Apply(base, encoded []byte) ([]byte, error) {
	if len(encoded) < checksumBytes {
		return nil, errors.Wrapf(ErrMalformed, "length: %d, allowed: at least %d", len(encoded), checksumBytes)
	}
	checksum := binary.BigEndian.Uint32(encoded)
	rest, err := unpackSteps(encoded[checksumBytes:])
	if err != nil {
		return nil, err
	}
	next := make([]byte, 0, len(base))
	for len(rest) > 0 {
		var numbers [3]uint64
		for index := range numbers {
			number, size := binary.Uvarint(rest)
			if size <= 0 {
				return nil, errors.Wrap(ErrMalformed, "step is truncated")
			}
			numbers[index], rest = number, rest[size:]
		}
		offset, length, literal := numbers[0], numbers[1], numbers[2]
		if offset > uint64(len(base)) || length > uint64(len(base))-offset {
			return nil, errors.Wrapf(ErrWrongBase, "copied part: %d bytes at offset %d, allowed: up to offset %d", length, offset, len(base))
		}
		if literal > uint64(len(rest)) {
			return nil, errors.Wrapf(ErrMalformed, "literal: %d bytes, allowed: up to %d", literal, len(rest))
		}
		next = append(next, base[offset:offset+length]...)
		next = append(next, rest[:literal]...)
		rest = rest[literal:]
	}
	if crc32.ChecksumIEEE(next) != checksum {
		return nil, errors.Wrap(ErrWrongBase, "checksum mismatch")
	}
	return next, nil
}
