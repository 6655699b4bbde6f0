// Package deflate compresses what nodes send to each other.
package deflate

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/cockroachdb/errors"
)

// Errors returned by Unpack.
var (
	// ErrMalformed means that the content cannot be decompressed.
	ErrMalformed = errors.New("malformed compressed content")
	// ErrTooLong means that the content is longer than allowed.
	ErrTooLong = errors.New("compressed content is too long")
)

// Pack returns the compressed content.
func Pack(content []byte) ([]byte, error) {
	var packed bytes.Buffer
	writer, err := flate.NewWriter(&packed, flate.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "compress")
	}
	if _, err := writer.Write(content); err != nil {
		return nil, errors.Wrap(err, "compress")
	}
	if err := writer.Close(); err != nil {
		return nil, errors.Wrap(err, "compress")
	}
	return packed.Bytes(), nil
}

// Unpack reverses Pack. The content may have up to maxBytes bytes.
func Unpack(packed []byte, maxBytes int) ([]byte, error) {
	content, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), int64(maxBytes)+1))
	if err != nil {
		return nil, errors.Wrapf(ErrMalformed, "%v", err)
	}
	if len(content) > maxBytes {
		return nil, errors.Wrapf(ErrTooLong, "length: more than %d bytes", maxBytes)
	}
	return content, nil
}
