package shards_test

import (
	"testing"
	"time"

	"github.com/micahaven/micahaven/internal/discovery"
	"github.com/micahaven/micahaven/internal/shards"
)

var (
	earlierIncarnation = discovery.NewServerID("a", 1)
	laterIncarnation   = discovery.NewServerID("a", 2)
)

// mapOwnedBy returns a map whose author has resigned, with one range of the given owner at address a.
func mapOwnedBy(owner discovery.ServerID) *shards.Map {
	previous := firstMap()
	previous.Resigned = true
	previous.Ranges[0].Owner = owner
	return previous
}

func restartedServers() []shards.Server {
	return []shards.Server{
		{ID: earlierIncarnation, Address: "a", Capacity: 1},
		{ID: laterIncarnation, Address: "a", Capacity: 1, Accepting: true},
		{ID: "b", Address: "b", Capacity: 1, Accepting: true},
	}
}

// A grant in flight may reach the next incarnation of a server that has acknowledged a release.
func TestReleaseWaitsForGrantsInFlight(t *testing.T) {
	core := shards.NewManager("s", 2, author("p2", 2), mapOwnedBy(earlierIncarnation), shards.DefaultOptions(), 0)
	core.SetServers([]shards.Server{{ID: earlierIncarnation, Address: "a", Capacity: 1, Accepting: true}})
	commitFirstMap(t, core, 0)
	grants := core.Tick(step).Grants
	if len(grants) != 1 {
		t.Fatalf("%d grants, want 1", len(grants))
	}
	core.SetServers(restartedServers())
	if releases := core.Tick(2 * step).Releases; len(releases) > 0 {
		t.Fatal("a release is sent while a grant of the range is in flight")
	}
	core.GrantDone(3*step, shards.GrantResult{Grant: grants[0], Outcome: shards.Accepted})
	if releases := core.Tick(3 * step).Releases; len(releases) != 1 {
		t.Errorf("%d releases after the grant was answered, want 1", len(releases))
	}
}

// Guards against keys that wait for a lease although their owner's address is in use by another server.
func TestRangeMovesAtOnceIfAnotherServerAnswers(t *testing.T) {
	core := shards.NewManager("s", 2, author("p2", 2), mapOwnedBy(earlierIncarnation), shards.DefaultOptions(), 0)
	core.SetServers([]shards.Server{{ID: "b", Address: "b", Capacity: 1, Accepting: true}})
	commitFirstMap(t, core, 0)
	releases := core.Tick(step).Releases
	if len(releases) != 1 {
		t.Fatalf("%d releases, want 1", len(releases))
	}
	core.ReleaseDone(shards.ReleaseResult{Release: releases[0], Outcome: shards.Misdirected})
	commands := core.Tick(2 * step)
	if len(commands.Vacated) != 1 || commands.Vacated[0].Evidence != shards.OwnerEnded {
		t.Errorf("vacated %v, want one range whose owner has ended", commands.Vacated)
	}
	if commands.Commit == nil || commands.Commit.Map.Find(0).Owner != "b" {
		t.Error("no other owner is committed")
	}
}

// Guards against a map that counts as verified before a restarted server has released its keys.
func TestRestartedServerIsFencedOff(t *testing.T) {
	previous := mapOwnedBy("b")
	previous.Unverified = true
	core := shards.NewManager("s", 2, author("p2", 2), previous, shards.DefaultOptions(), 0)
	core.SetServers(restartedServers()[:1])
	commitFirstMap(t, core, 0)
	var releases []shards.Release
	for now := step; now < 4*time.Second; now += step {
		for _, release := range core.Tick(now).Releases {
			if release.Owner != "b" {
				releases = append(releases, release)
			}
		}
	}
	if len(releases) == 0 || core.Verified() {
		t.Fatalf("%d releases to the restarted server, verified %v", len(releases), core.Verified())
	}
	core.ReleaseDone(shards.ReleaseResult{Release: releases[0], Outcome: shards.Accepted})
	core.Tick(4 * time.Second)
	if !core.Verified() {
		t.Error("the map is not verified although all servers have released their keys")
	}
}

// Guards against keys that wait for a lease although their owner has restarted at another address.
func TestRangeMovesAtOnceIfItsOwnerAnswersAtAnotherAddress(t *testing.T) {
	core := shards.NewManager("s", 2, author("p2", 2), mapOwnedBy(earlierIncarnation), shards.DefaultOptions(), 0)
	core.SetServers([]shards.Server{
		{ID: earlierIncarnation, Address: "a", Capacity: 1},
		{ID: laterIncarnation, Address: "a2", Capacity: 1, Accepting: true},
	})
	commitFirstMap(t, core, 0)
	releases := core.Tick(step).Releases
	if len(releases) != 2 || releases[0].Address != "a" || releases[1].Address != "a2" {
		t.Fatalf("releases %v, want one to each address", releases)
	}
	core.ReleaseDone(shards.ReleaseResult{Release: releases[1], Outcome: shards.Misdirected})
	if vacated := core.Tick(2 * step).Vacated; len(vacated) > 0 {
		t.Fatalf("vacated %v because another server uses the later address", vacated)
	}
	core.ReleaseDone(shards.ReleaseResult{Release: releases[1], Outcome: shards.Accepted})
	commands := core.Tick(3 * step)
	if commands.Commit == nil || commands.Commit.Map.Find(0).Owner != laterIncarnation {
		t.Error("the restarted server gets no keys")
	}
}
