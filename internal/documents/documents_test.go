package documents_test

import (
	"strings"
	"testing"

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
