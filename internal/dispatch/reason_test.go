package dispatch

import (
	"os"
	"strings"
	"testing"
)

// docs/CALLERS.md documents each refusal reason for clients: every reason of the code has a
// row there, and every row is a reason of the code.
func TestCallersPageListsEveryReason(t *testing.T) {
	page, err := os.ReadFile("../../docs/CALLERS.md")
	if err != nil {
		t.Fatal(err)
	}
	_, section, found := strings.Cut(string(page), "## Refusals")
	if !found {
		t.Fatal("docs/CALLERS.md has no section on refusals")
	}
	listed := make(map[string]bool)
	for _, line := range strings.Split(section, "\n") {
		if cells := strings.Split(line, "|"); len(cells) > 2 && strings.HasPrefix(line, "| `") {
			listed[strings.Trim(cells[1], " `")] = true
		}
	}
	for reason := range reasonCount {
		if !listed[reason.String()] {
			t.Errorf("reason %q is not documented", reason)
		}
		delete(listed, reason.String())
	}
	for name := range listed {
		t.Errorf("%q is documented but is not a reason of the dispatcher", name)
	}
}
