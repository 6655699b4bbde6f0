package shards_test

import (
	"testing"
	"time"

	"github.com/micahaven/micahaven/internal/shards"
)

// grantOnce returns a manager whose only server, which accepts keys, has accepted its first grant, and
// that grant.
func grantOnce(t *testing.T) (*shards.Manager, shards.Grant) {
	t.Helper()
	core := shards.NewManager("s", 2, author("p2", 2), mapOwnedBy("a"), shards.DefaultOptions(), 0)
	core.SetServers([]shards.Server{{ID: "a", Address: "a", Capacity: 1, Accepting: true}})
	commitFirstMap(t, core, 0)
	grants := core.Tick(step).Grants
	if len(grants) != 1 || !grants[0].EndsWait {
		t.Fatalf("grants %v, want one that ends the wait for those of earlier managers", grants)
	}
	core.GrantDone(step, shards.GrantResult{Grant: grants[0], SentAt: step, Outcome: shards.Accepted})
	return core, grants[0]
}

// loseServer makes server a stop accepting keys, and b accept them.
func loseServer(core *shards.Manager) {
	core.SetServers([]shards.Server{{ID: "a", Address: "a", Capacity: 1}, {ID: "b", Address: "b", Capacity: 1, Accepting: true}})
}

// A server may execute a grant late although it has closed the connection without an answer.
func TestGrantOnAClosedConnectionIsWaitedFor(t *testing.T) {
	core, grant := grantOnce(t)
	const sentAt = 2 * time.Second
	core.GrantDone(sentAt, shards.GrantResult{Grant: grant, SentAt: sentAt, Outcome: shards.ConnectionLost})
	loseServer(core)
	options := shards.DefaultOptions()
	if movedWithin(core, sentAt+step, options.MaxCommandDelay+options.Lease-step) {
		t.Fatal("the range moved while the grant could still be executed")
	}
	if !movedWithin(core, sentAt+options.MaxCommandDelay+options.Lease, time.Second) {
		t.Error("the range did not move after the last lease had ended")
	}
}

// Guards against keys that wait for a late grant although their owner has accepted a later one.
func TestAcceptedGrantEndsTheWaitForLateOnes(t *testing.T) {
	for _, outcome := range []shards.Outcome{shards.Unanswered, shards.ConnectionLost} {
		t.Run(outcome.String(), func(t *testing.T) {
			core, lost := grantOnce(t)
			const sentAt = 2 * time.Second
			core.GrantDone(sentAt, shards.GrantResult{Grant: lost, SentAt: sentAt, Outcome: outcome})
			commands := core.Tick(sentAt + time.Second)
			if commands.Commit != nil {
				core.CommitDone(sentAt + time.Second)
			}
			grants := commands.Grants
			if len(grants) != 1 || grants[0].Fence <= lost.Fence || !grants[0].EndsWait {
				t.Fatalf("grants %v, want one under a fence above %d that ends the wait", grants, lost.Fence)
			}
			accepted := sentAt + time.Second
			core.GrantDone(accepted, shards.GrantResult{Grant: grants[0], SentAt: accepted, Outcome: shards.Accepted})
			loseServer(core)
			lease := shards.DefaultOptions().Lease
			if movedWithin(core, accepted+step, lease-step) {
				t.Fatal("the range moved within a lease")
			}
			if !movedWithin(core, accepted+lease, time.Second) {
				t.Error("the range did not move although its owner rejects the late grant")
			}
		})
	}
}
