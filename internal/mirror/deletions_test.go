package mirror

import (
	"fmt"
	"testing"

	"github.com/micahaven/micahaven/internal/topo"
)

// Guards against deletions that count as known after they were forgotten.
func TestForgottenDeletionsAreNotKnown(t *testing.T) {
	const start, surplus = 10, 3
	deletions := unknownBefore(start)
	for index := range maxDeletions + surplus {
		item := topo.Item{Key: fmt.Sprint(index), Revision: start + 1 + int64(index)}
		deletions.record([]topo.Event{{Item: item, Deleted: true}, {Item: item}})
	}
	if len(deletions.Events) != maxDeletions || deletions.Since != start+surplus {
		t.Errorf("%d deletions since %d, want %d since %d", len(deletions.Events), deletions.Since, maxDeletions, start+surplus)
	}
}
