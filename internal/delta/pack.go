package delta

import (
	"bytes"

	"github.com/cockroachdb/errors"

	"github.com/micahaven/micahaven/internal/deflate"
)

const (
	// minPackedBytes is the length of steps from which they are compressed.
	minPackedBytes = 4 << 10
	// maxUnpackedBytes bounds the length of unpacked steps.
	maxUnpackedBytes = 16 << 20
)

// packedMarker precedes compressed steps. It is a step that copies nothing and has no literal, which
// Make never writes.
var packedMarker = []byte{0, 0, 0}

// packSteps returns a delta with its steps compressed, or the delta itself if that is not shorter.
func packSteps(encoded []byte) []byte {
	checksum, steps := encoded[:checksumBytes], encoded[checksumBytes:]
	if len(steps) < minPackedBytes {
		return encoded
	}
	packed, err := deflate.Pack(steps)
	if err != nil || len(packedMarker)+len(packed) >= len(steps) {
		return encoded
	}
	return bytes.Join([][]byte{checksum, packedMarker, packed}, nil)
}

// unpackSteps returns the steps of a delta without its checksum.
func unpackSteps(steps []byte) ([]byte, error) {
	packed, isPacked := bytes.CutPrefix(steps, packedMarker)
	if !isPacked {
		return steps, nil
	}
	unpacked, err := deflate.Unpack(packed, maxUnpackedBytes)
	if err != nil {
		return nil, errors.Wrapf(ErrMalformed, "compressed steps: %v", err)
	}
	return unpacked, nil
}
