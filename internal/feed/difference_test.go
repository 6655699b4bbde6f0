package feed_test

import (
	"testing"

	"github.com/micahaven/micahaven/internal/feed"
	"github.com/micahaven/micahaven/internal/topo"
)

// Guards against followers that are sent a difference of copies, or a first copy, from a revision in between.
func TestDifferencesGoToFollowersWithTheFirstCopyOnly(t *testing.T) {
	const first, second, third = 10, 20, 21
	for asked, want := range map[int64]int64{first - 1: first - 1, first: third, first + 1: first + 1, second: third, third: third} {
		core := feed.New(feed.Member{Name: "root", Address: "address of root"})
		core.Changed(0, topo.Batch{Revision: first, Difference: true})
		core.Changed(0, topo.Batch{After: first, Revision: second, Difference: true})
		core.Changed(0, topo.Batch{After: second, Revision: third})
		messages, _ := core.Step(0, "follower", feed.Message{Follow: &feed.Follow{Revision: asked}})
		reached := asked
		for _, message := range messages {
			if message.Batch == nil {
				continue
			}
			if exact := message.Batch.After == reached; !exact || message.Batch.Difference != (reached == first) {
				t.Errorf("a copy at %d is sent changes from %d to %d, difference: %v", reached, message.Batch.After, message.Batch.Revision, message.Batch.Difference)
			}
			reached = message.Batch.Revision
		}
		if reached != want {
			t.Errorf("request for changes after %d: brought to %d, want %d", asked, reached, want)
		}
	}
}
