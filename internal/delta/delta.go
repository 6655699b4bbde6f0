// Package delta describes a value by what it has in common with an earlier one, so
// that a small change of a large value takes few bytes.
package delta

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"

	"github.com/cockroachdb/errors"
)

// Errors of Apply.
var (
	// ErrMalformed means that a delta cannot be read.
	ErrMalformed = errors.New("malformed delta")
	// ErrWrongBase means that a delta was made for another base.
	ErrWrongBase = errors.New("delta does not fit its base")
)

const (
	// boundary ends a chunk, as the lower bits of a byte. Values are split at it, so
	// that equal parts of two values fall into equal chunks wherever they stand. The
	// byte that ends an object in JSON has it, and one byte of 32 in binary data.
	boundary     = '}' & boundaryMask
	boundaryMask = 0x1f
	// maxChunk bounds chunks of values that seldom have the boundary.
	maxChunk = 512
	// checksumBytes is the length of the checksum that begins a delta.
	checksumBytes = 4
)

// span is a part of a value.
type span struct{ from, to int }

func (s span) length() int { return s.to - s.from }

// Make returns a delta that leads from base to next. A delta is the checksum of
// next, followed by steps: the offset and length of a part to copy from base, then
// the length of a literal and the literal.
func Make(base, next []byte) []byte {
	known := make(map[string]int, len(base)/64)
	for _, chunk := range split(base) {
		known[string(base[chunk.from:chunk.to])] = chunk.from
	}
	encoded := binary.BigEndian.AppendUint32(nil, crc32.ChecksumIEEE(next))
	var copied, literal span
	flush := func() {
		if copied.length() > 0 || literal.length() > 0 {
			encoded = appendStep(encoded, copied, next[literal.from:literal.to])
		}
	}
	for _, chunk := range split(next) {
		text := next[chunk.from:chunk.to]
		// The same chunk may stand in several places; going on where the last one
		// ended keeps the number of steps small.
		if literal.length() == 0 && copied.length() > 0 && bytes.HasPrefix(base[copied.to:], text) {
			copied.to += chunk.length()
			continue
		}
		offset, found := known[string(text)]
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
	return encoded
}

func appendStep(encoded []byte, copied span, literal []byte) []byte {
	encoded = binary.AppendUvarint(encoded, uint64(copied.from))
	encoded = binary.AppendUvarint(encoded, uint64(copied.length()))
	encoded = binary.AppendUvarint(encoded, uint64(len(literal)))
	return append(encoded, literal...)
}

// split returns the chunks of a value.
func split(value []byte) []span {
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

// Apply returns the value that a delta leads to from base.
func Apply(base, encoded []byte) ([]byte, error) {
	if len(encoded) < checksumBytes {
		return nil, errors.Wrapf(ErrMalformed, "length: %d, allowed: at least %d", len(encoded), checksumBytes)
	}
	checksum := binary.BigEndian.Uint32(encoded)
	rest := encoded[checksumBytes:]
	next := make([]byte, 0, len(base))
	for len(rest) > 0 {
		var numbers [3]uint64
		for index := range numbers {
			number, size := binary.Uvarint(rest)
			if size <= 0 {
				return nil, errors.Wrap(ErrMalformed, "step is cut short")
			}
			numbers[index], rest = number, rest[size:]
		}
		offset, length, literal := numbers[0], numbers[1], numbers[2]
		if offset > uint64(len(base)) || length > uint64(len(base))-offset {
			return nil, errors.Wrapf(ErrWrongBase, "part: %d bytes from %d, allowed: up to %d", length, offset, len(base))
		}
		if literal > uint64(len(rest)) {
			return nil, errors.Wrapf(ErrMalformed, "literal: %d bytes, allowed: up to %d", literal, len(rest))
		}
		next = append(next, base[offset:offset+length]...)
		next = append(next, rest[:literal]...)
		rest = rest[literal:]
	}
	if crc32.ChecksumIEEE(next) != checksum {
		return nil, errors.Wrap(ErrWrongBase, "checksum differs")
	}
	return next, nil
}
