package feed_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/micahaven/micahaven/internal/feed"
	"github.com/micahaven/micahaven/internal/topo"
)

// follower returns the feed of a node that follows another one and has a copy at a
// revision.
func follower(t *testing.T, revision int64) (*feed.Feed, string) {
	t.Helper()
	self := feed.Member{Name: "follower", Zone: "z", Address: "address of follower", Share: 1}
	members := []feed.Member{self}
	for index := range 8 {
		name := fmt.Sprintf("n%d", index)
		members = append(members, feed.Member{Name: name, Zone: "z", Address: "address of " + name, Share: 8})
	}
	core := feed.New(self)
	core.SetMembers(0, members)
	core.Changed(0, topo.Batch{Revision: revision})
	upstream, following := core.Upstream()
	if !following {
		t.Fatal("follows nobody")
	}
	return core, upstream.Address
}

// Seen on a hunted day of kervran-hq-grown (CONFIG 28, 0.3 GB between zones): a node that
// could not take a change asked for it again with each later one that came, was sent all
// of them each time, and asked again for each of these.
func TestMissedChangesAreAskedForOnce(t *testing.T) {
	const revision, later = 10, 40
	core, upstream := follower(t, revision)
	asked := 0
	for index := range int64(later) {
		// The first change, which leads to revision + 1, is not taken.
		batch := topo.Batch{After: revision + 1 + index, Revision: revision + 2 + index}
		now := time.Duration(index) * time.Millisecond
		messages, taken := core.Step(now, upstream, feed.Message{Batch: &batch})
		if taken != nil {
			t.Fatal("a change was taken after one that is missing")
		}
		asked += len(messages)
	}
	if asked != 1 {
		t.Errorf("asked %d times within %d ms, want once", asked, later)
	}
}

// What is still missing after some time is asked for again.
func TestMissedChangesAreAskedForAgain(t *testing.T) {
	const revision = 10
	core, upstream := follower(t, revision)
	asked := 0
	for now := time.Duration(0); now < time.Second; now += 10 * time.Millisecond {
		batch := topo.Batch{After: revision + 1, Revision: revision + 2}
		messages, _ := core.Step(now, upstream, feed.Message{Batch: &batch})
		asked += len(messages)
	}
	if asked < 2 || asked > 10 {
		t.Errorf("asked %d times in a second, want a few times", asked)
	}
}
