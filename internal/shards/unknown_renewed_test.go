package shards_test

import (
	"testing"
	"time"

	"github.com/micahaven/micahaven/internal/shards"
)

// Guards against keys that are given on while the author of a restored map may still renew the lease of a server that nobody else knows.
func TestNothingIsGrantedWhileAnEarlierManagerMayRenewAtAnUnknownServer(t *testing.T) {
	previous := restoredMap()
	previous.Incomplete = true
	core := newSuccessor(previous)
	core.RemoveStoppedAuthors(0, retired(func(shards.Author) bool { return false }))
	if grants, _ := runFencing(core, 0, shards.DefaultOptions().PredecessorRenewal); len(grants) > 0 {
		t.Fatal("a key is granted although the author of the map may renew it at a server that is neither in the map nor registered")
	}
	const slack = 20 * time.Second
	if grants, _ := runFencing(core, shards.DefaultOptions().PredecessorRenewal, slack); len(grants) == 0 {
		t.Fatal("keys are not granted after all earlier grants have ended")
	}
}
