// Package wire is the protocol between micahaven nodes: protobuf messages in
// length-delimited frames over TCP.
package wire

import (
	"bufio"
	"io"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protodelim"
)

// ProtocolVersion is sent in every Hello; nodes refuse a different one. Version 2 packs
// copies of the store: a node of version 1 would take one for an empty copy.
const ProtocolVersion = 2

// MaxFrameBytes is the largest frame that is read or written.
const MaxFrameBytes = 64 << 20

// ErrBadFrame means that a peer sent bytes that are not a frame.
var ErrBadFrame = errors.New("bad frame")

// ErrFrameTooLarge means that a frame is longer than MaxFrameBytes.
var ErrFrameTooLarge = errors.New("frame too large")

// WriteFrame writes one envelope. The caller flushes.
func WriteFrame(writer io.Writer, envelope *Envelope) error {
	written, err := protodelim.MarshalTo(writer, envelope)
	if err != nil {
		return errors.Wrapf(err, "write frame after %d bytes", written)
	}
	return nil
}

// ReadFrame reads one envelope. It returns io.EOF at the end of the stream
// between frames, and an error that matches ErrBadFrame or ErrFrameTooLarge
// when the stream cannot be followed any further.
func ReadFrame(reader *bufio.Reader) (*Envelope, error) {
	options := protodelim.UnmarshalOptions{MaxSize: MaxFrameBytes}
	envelope := &Envelope{}
	err := options.UnmarshalFrom(reader, envelope)
	var tooLarge *protodelim.SizeTooLargeError
	switch {
	case err == nil:
		return envelope, nil
	case errors.Is(err, io.EOF):
		return nil, io.EOF
	case errors.As(err, &tooLarge):
		return nil, errors.Wrapf(ErrFrameTooLarge, "field size: %d bytes, allowed: at most %d", tooLarge.Size, tooLarge.MaxSize)
	case errors.Is(err, io.ErrUnexpectedEOF):
		return nil, errors.Wrap(ErrBadFrame, "connection ended within a frame")
	default:
		return nil, errors.Wrapf(ErrBadFrame, "%v", err)
	}
}
