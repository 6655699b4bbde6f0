package explain_test

import (
	"strings"
	"testing"

	"github.com/micahaven/micahaven/internal/explain"
)

const lines = `
  3.4 n1 {"level":"info","ts":"2026-01-01T00:00:03Z","msg":"configuration in force","node":"n1","version":4}
  3.5 n1 {"level":"info","ts":"2026-01-01T00:00:02Z","msg":"configuration in force","node":"n1","version":3}
this is not a log line
{"level":"info","ts":"2026-01-01T00:00:03.5Z","msg":"server draining","node":"n1","server":"s1"}
{"level":"info","ts":"2026-01-01T00:00:03.6Z","msg":"server draining","node":"n2","server":"s1"}
{"level":"info","ts":"2026-01-01T00:00:03.7Z","msg":"range owner","node":"n2","service":"keys","server":"s2","first":100,"last":200,"fence":7}
{"level":"warn","ts":"2026-01-01T00:00:04Z","msg":"request failed","node":"n1","request":"abc","server":"s1","service":"keys","error":"no answer"}
{"level":"warn","ts":"2026-01-01T00:00:05Z","msg":"request fa
`

func read(t *testing.T) *explain.Log {
	t.Helper()
	log := &explain.Log{}
	if err := log.Read(strings.NewReader(lines)); err != nil {
		t.Fatal(err)
	}
	return log
}

func TestRequestIsWrittenWithWhatItsNodeKnew(t *testing.T) {
	var output strings.Builder
	found, err := read(t).Request(&output, "abc")
	if err != nil || !found {
		t.Fatalf("found %v, error %v", found, err)
	}
	written := strings.Split(strings.TrimSpace(output.String()), "\n")
	if len(written) != 3 {
		t.Fatalf("%d lines written:\n%s", len(written), output.String())
	}
	for index, want := range []string{"version=4", "server draining", "request failed"} {
		if !strings.Contains(written[index], want) {
			t.Errorf("line %d is %q, want %q in it", index, written[index], want)
		}
	}
	if strings.Contains(output.String(), "n2") {
		t.Errorf("written with the state of another node:\n%s", output.String())
	}
}

func TestKeyIsWrittenWithItsRanges(t *testing.T) {
	var output strings.Builder
	if found, err := read(t).Key(&output, 150); err != nil || !found || !strings.Contains(output.String(), "server=s2") {
		t.Fatalf("found %v, error %v, output %q", found, err, output.String())
	}
	if found, _ := read(t).Key(&output, 201); found {
		t.Fatal("found a key that is in no line's range")
	}
}

func TestOtherLinesAreCounted(t *testing.T) {
	// The empty first line, the plain text and the truncated line.
	if skipped := read(t).Skipped; skipped != 3 {
		t.Fatalf("skipped %d lines", skipped)
	}
}
