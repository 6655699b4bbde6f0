// Package documents decodes JSON documents that any process may have written to the store.
package documents

import (
	"bytes"
	"encoding/json"
	"math"
	"time"

	"github.com/cockroachdb/errors"
)

// MaxQuoted bounds, in bytes, the part of a value that an error quotes: a document may hold a value of
// any length, and errors are logged.
const MaxQuoted = 64

// ErrInvalid reports a document that is not JSON of the expected form.
var ErrInvalid = errors.New("invalid document")

// Decode parses the JSON object in text into target. It returns an ErrInvalid that names the field, the
// value and the allowed type if the text does not fit, and if it is null.
func Decode(text []byte, target any) error {
	if string(bytes.TrimSpace(text)) == "null" {
		return errors.Wrap(ErrInvalid, "null, allowed: an object")
	}
	err := json.Unmarshal(text, target)
	var mismatch *json.UnmarshalTypeError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &mismatch):
		return errors.Wrapf(ErrInvalid, "field %s: %s, allowed: %s", mismatch.Field, Shorten(mismatch.Value), mismatch.Type)
	default:
		return errors.Wrapf(ErrInvalid, "%s", Shorten(err.Error()))
	}
}

// Shorten returns at most the first MaxQuoted bytes of a text, and marks a cut.
func Shorten(text string) string {
	if len(text) <= MaxQuoted {
		return text
	}
	return text[:MaxQuoted] + "..."
}

// maxDuration bounds durations in documents, so that no sum of a time and a duration overflows.
const maxDuration = 100 * 365 * 24 * time.Hour

// Milliseconds converts a number of milliseconds of a document. Numbers beyond a century count as a
// century, and what is no number as 0.
func Milliseconds(count float64) time.Duration {
	const most = float64(maxDuration / time.Millisecond)
	if math.IsNaN(count) {
		return 0
	}
	return time.Duration(min(most, max(-most, count)) * float64(time.Millisecond))
}
