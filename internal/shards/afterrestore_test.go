package shards_test

import (
	"testing"
	"time"

	"github.com/micahaven/micahaven/internal/shards"
)

// verifyAndResign lets a manager that continues from an unverified map verify it and resign while server
// a does not answer, and returns the map that it leaves.
func verifyAndResign(t *testing.T, previous *shards.Map) *shards.Map {
	t.Helper()
	core := takeOver(previous, author("p2", 2), 0)
	core.RemoveStoppedAuthors(0, func(shards.Author) shards.AuthorState { return shards.Retired })
	commitFirstMap(t, core, 0)
	now := step
	for ; now < 3*time.Second; now += step {
		commands := core.Tick(now)
		if commands.Commit != nil {
			core.CommitDone(now)
		}
		for _, release := range commands.Releases {
			if release.Owner == "b" {
				core.ReleaseDone(shards.ReleaseResult{Release: release, Outcome: shards.Accepted})
			}
		}
		for _, grant := range commands.Grants {
			core.GrantDone(now, shards.GrantResult{Grant: grant, SentAt: now, Outcome: shards.NotSent})
		}
	}
	if !core.Verified() {
		t.Fatal("the map is not verified")
	}
	core.Resign()
	commands := core.Tick(now)
	if commands.Commit == nil {
		t.Fatal("the resignation is not written")
	}
	return commands.Commit.Map
}

// Guards against the loss of the record of a late grant with the store's last seconds or a frozen term.
func TestSuccessorOfAVerifiedMapWaitsForGrantsFromBeforeTheRestore(t *testing.T) {
	options := shards.DefaultOptions()
	for _, continued := range []bool{false, true} {
		previous := firstMap()
		previous.Unverified, previous.Continued = true, continued
		third := takeOver(verifyAndResign(t, previous), author("p3", 3), 0)
		commitFirstMap(t, third, 0)
		const sinceRestore = 3 * time.Second
		if movedWithin(third, step, options.MaxCommandDelay-sinceRestore) {
			t.Errorf("continued %v: the range moved while a grant from before the restore could still be executed", continued)
		}
	}
}

// Guards against a term that, after a second restore, renews under a fence that the owner rejects.
func TestRaisedFenceIsRenewedAfterASecondRestore(t *testing.T) {
	previous := firstMap()
	previous.Unverified, previous.Continued = true, true
	core := shards.NewManager("s", 2, author("p2", 2), previous, shards.DefaultOptions(), 0)
	core.SetServers([]shards.Server{{ID: "a", Address: "a", Capacity: 1, Accepting: true}})
	commitFirstMap(t, core, 0)
	now, lost := step, false
	accepted := uint64(0)
	for ; now < 8*time.Second; now += step {
		commands := core.Tick(now)
		if commands.Commit != nil {
			core.CommitDone(now)
		}
		for _, grant := range commands.Grants {
			outcome := shards.Accepted
			if core.Verified() && !lost {
				outcome, lost = shards.Unanswered, true
			} else {
				accepted = grant.Fence
			}
			core.GrantDone(now, shards.GrantResult{Grant: grant, SentAt: now, Outcome: outcome})
		}
	}
	if frozen := core.Freeze(now); frozen.Ranges[0].Fence != accepted {
		t.Errorf("the next term renews under fence %d, the owner has accepted %d", frozen.Ranges[0].Fence, accepted)
	}
}
