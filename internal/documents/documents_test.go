package documents_test

import (
	"math"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/micahaven/micahaven/internal/documents"
)

// Guards against documents of other writers that are taken for empty ones, and against long errors.
func TestDocumentsOfAnotherFormAreErrors(t *testing.T) {
	for _, text := range []string{
		"", "null", " null ", "7", `"text"`, "[]", "{", `{"A":`, `{"A":"1"}`, `{"A":1e300}`, `{"A":{}}`, "\xff", "\x00",
		strings.Repeat("[", 1<<16), strings.Repeat(`{"A":`, 1<<16), `{"A":` + strings.Repeat("9", 1<<16) + "}",
	} {
		var target struct{ A int }
		err := documents.Decode([]byte(text), &target)
		if !errors.Is(err, documents.ErrInvalid) || len(err.Error()) > 300 {
			t.Errorf("%.40q: error %.400v, want %v", text, err, documents.ErrInvalid)
		}
	}
}

// Guards against durations that overflow and are then of the past.
func TestNumbersOfAnySizeAreDurations(t *testing.T) {
	if got := documents.Milliseconds(math.NaN()); got != 0 {
		t.Errorf("what is no number: %v, want 0", got)
	}
	const century = 100 * 365 * 24 * time.Hour
	for count, want := range map[float64]time.Duration{
		0: 0, 0.5: 500 * time.Microsecond, 1500: 1500 * time.Millisecond, 1e13: century, 1e300: century, -1e300: -century,
		math.MaxInt64: century, math.Inf(1): century,
	} {
		if got := documents.Milliseconds(count); got != want {
			t.Errorf("%g ms: %v, want %v", count, got, want)
		}
	}
}
