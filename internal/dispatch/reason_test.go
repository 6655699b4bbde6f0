package dispatch

import (
	"os"
	"strings"
	"testing"
)

// Callers learn from docs/CALLERS.md what each refusal means: every reason of the code
// has its row there, and no row names another one.
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
			t.Errorf("reason %q is not listed", reason)
		}
		delete(listed, reason.String())
	}
	for name := range listed {
		t.Errorf("%q is listed and is no reason of the dispatcher", name)
	}
}
