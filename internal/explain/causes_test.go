package explain_test

import (
	"strings"
	"testing"

	"github.com/micahaven/micahaven/internal/explain"
)

const failures = `
node-1 {"ts":"2026-03-01T10:00:00.100Z","msg":"request failed","node":"n1","request":"r1","service":"formulas","server":"","error":"not executed: owner i-07f busy: 2 of 2, answers take 120 ms"}
node-1 {"ts":"2026-03-01T10:00:00.900Z","msg":"request failed","node":"n1","request":"r2","service":"formulas","server":"","error":"not executed: owner i-07f busy: 1 of 2, answers take 95 ms"}
node-2 {"ts":"2026-03-01T10:00:01.300Z","msg":"request failed","node":"n2","request":"r3","service":"formulas","server":"","error":"not executed: owner i-07f busy: 2 of 2, answers take 130 ms"}
node-2 {"ts":"2026-03-01T10:00:01.400Z","msg":"request answered","node":"n2","request":"r4","service":"formulas","server":"i-07f","status":200}
node-2 {"ts":"2026-03-01T10:00:02.000Z","msg":"request failed","node":"n2","request":"r5","service":"orders","server":"i-09a","error":"read answer: read tcp 10.0.0.1:4000->10.0.0.2:80: read: connection reset by peer"}
`

func TestCausesAreSummedUpByReasonAndServer(t *testing.T) {
	log := &explain.Log{}
	if err := log.Read(strings.NewReader(failures)); err != nil {
		t.Fatal(err)
	}
	causes := log.Causes()
	if len(causes) != 2 {
		t.Fatalf("%d causes, want 2: %+v", len(causes), causes)
	}
	busy, reset := causes[0], causes[1]
	if busy.Count != 3 || busy.Server != "i-07f" || busy.Service != "formulas" || busy.WorstCount != 2 {
		t.Errorf("most frequent cause is %+v", busy)
	}
	if busy.Reason != "not executed: owner SERVER busy: N of N, answers take N ms" {
		t.Errorf("its reason is %q", busy.Reason)
	}
	if reset.Server != "i-09a" || strings.Contains(reset.Reason, "10.0.0") {
		t.Errorf("second cause is %+v", reset)
	}
	var written strings.Builder
	if found, err := log.WriteCauses(&written, 1); !found || err != nil {
		t.Fatalf("causes written: %v, %v", found, err)
	}
	if text := written.String(); !strings.Contains(text, "     3 formulas i-07f: not executed") || !strings.Contains(text, "     1 of 1 further causes") {
		t.Errorf("written:\n%s", text)
	}
}
