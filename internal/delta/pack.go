package delta

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/cockroachdb/errors"
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
	steps := encoded[checksumBytes:]
	if len(steps) < minPackedBytes {
		return encoded
	}
	packed := bytes.NewBuffer(append(bytes.Clone(encoded[:checksumBytes]), packedMarker...))
	// Neither the level nor writing to a buffer can cause an error.
	writer, _ := flate.NewWriter(packed, flate.BestSpeed)
	_, _ = writer.Write(steps)
	_ = writer.Close()
	if packed.Len() >= len(encoded) {
		return encoded
	}
	return packed.Bytes()
}

// unpackSteps returns the steps of a delta without its checksum.
func unpackSteps(steps []byte) ([]byte, error) {
	packed, isPacked := bytes.CutPrefix(steps, packedMarker)
	if !isPacked {
		return steps, nil
	}
	unpacked, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxUnpackedBytes+1))
	if err != nil {
		return nil, errors.Wrapf(ErrMalformed, "compressed steps: %v", err)
	}
	if len(unpacked) > maxUnpackedBytes {
		return nil, errors.Wrapf(ErrMalformed, "compressed steps: more than %d bytes", maxUnpackedBytes)
	}
	return unpacked, nil
}
