package shards_test

import (
	"testing"
	"time"

	"github.com/micahaven/micahaven/internal/discovery"
	"github.com/micahaven/micahaven/internal/shards"
)

// restoredMap returns a map of two servers whose latest changes may be lost.
func restoredMap() *shards.Map {
	const half = shards.KeyCount / 2
	return &shards.Map{
		Service: "s", Epoch: 1, Author: author("p1", 1), Unverified: true,
		Ranges: []shards.Range{
			{First: 0, Last: half - 1, Owner: "a", Address: "a", Fence: 1<<20 | 1},
			{First: half, Last: shards.LastKey, Owner: "b", Address: "b", Fence: 1<<20 | 2},
		},
	}
}

// runFencing drives a manager for the given time and returns the commands it sent. The first
// server in silent, if any, acknowledges no release.
func runFencing(core *shards.Manager, from, length time.Duration, silent ...discovery.ServerID) (grants []shards.Grant, releases []shards.Release) {
	for now := from; now < from+length; now += step {
		commands := core.Tick(now)
		grants, releases = append(grants, commands.Grants...), append(releases, commands.Releases...)
		for _, release := range commands.Releases {
			if len(silent) > 0 && release.Owner == silent[0] {
				continue
			}
			core.ReleaseDone(shards.ReleaseResult{Release: release, Outcome: shards.Accepted})
		}
		for _, grant := range commands.Grants {
			core.GrantDone(now, shards.GrantResult{Grant: grant, SentAt: now, Outcome: shards.Accepted})
		}
		if commands.Commit != nil {
			core.CommitDone(now)
		}
	}
	return grants, releases
}

func newSuccessor(previous *shards.Map) *shards.Manager {
	core := shards.NewManager("s", 2, author("p2", 2), previous, shards.DefaultOptions(), 0)
	setAccepting(core, "a", "b", "c")
	return core
}

func setAccepting(core *shards.Manager, ids ...discovery.ServerID) {
	var servers []shards.Server
	for _, id := range ids {
		servers = append(servers, shards.Server{ID: id, Address: string(id), Capacity: 1, Accepting: true})
	}
	core.SetServers(servers)
}

func TestNothingIsGrantedBeforeAllServersAreFencedOff(t *testing.T) {
	core := newSuccessor(restoredMap())
	grants, releases := runFencing(core, 0, 10*time.Second, "c")
	if len(grants) > 0 {
		t.Fatalf("granted %+v although server c may hold any key", grants[0])
	}
	keys := make(map[discovery.ServerID]uint32)
	for _, release := range releases {
		if release.Owner != "c" {
			keys[release.Owner] += release.Last - release.First + 1
		}
		if release.Fence <= 1<<20|2 {
			t.Fatalf("released under fence %d, which earlier grants may exceed", release.Fence)
		}
	}
	for owner, count := range keys {
		if count != shards.KeyCount/2 {
			t.Errorf("%s released %d keys, want those that the map assigns to other servers", owner, count)
		}
	}
	grants, _ = runFencing(core, 10*time.Second, 2*time.Second)
	if len(grants) == 0 || !core.Verified() {
		t.Fatal("no key is granted after all servers were fenced off")
	}
	for _, grant := range grants {
		if shards.EpochOf(grant.Fence) != 2 {
			t.Errorf("granted under fence %d of an earlier manager", grant.Fence)
		}
	}
}

func TestSilentServerIsWaitedForUntilItsGrantsHaveEnded(t *testing.T) {
	core := newSuccessor(restoredMap())
	options := shards.DefaultOptions()
	longest := options.PredecessorRenewal + options.MaxCommandDelay + options.Lease
	if grants, _ := runFencing(core, 0, longest, "c"); len(grants) > 0 {
		t.Fatal("a key is granted although an unknown manager may still renew it at server c")
	}
	const slack = time.Second
	if grants, _ := runFencing(core, longest, slack, "c"); len(grants) == 0 {
		t.Fatal("keys are not granted after all earlier grants have ended")
	}
}

func TestSilentServerIsWaitedForLateGrantsOfManagersThatAreOver(t *testing.T) {
	core := newSuccessor(restoredMap())
	core.RemoveStoppedAuthors(0, retired(func(shards.Author) bool { return true }))
	options := shards.DefaultOptions()
	longest := options.MaxCommandDelay + options.Lease
	if grants, _ := runFencing(core, 0, longest, "c"); len(grants) > 0 {
		t.Fatal("a key is granted although the record of an unanswered grant to server c may be lost")
	}
	const slack = time.Second
	if grants, _ := runFencing(core, longest, slack, "c"); len(grants) == 0 {
		t.Fatal("keys are not granted after all earlier grants have ended")
	}
}

func TestSuccessorOfAManagerThatContinuedRenewsToo(t *testing.T) {
	first := newSuccessor(&shards.Map{Service: "s", Epoch: 1, Author: author("p1", 1), Ranges: restoredMap().Ranges})
	runFencing(first, 0, 2*time.Second)
	continued := shards.NewManager("s", 3, author("p2", 3), first.Freeze(2*time.Second), shards.DefaultOptions(), 0)
	successor := shards.NewManager("s", 4, author("p3", 4), continued.Map(0), shards.DefaultOptions(), 0)
	setAccepting(successor, "a", "b", "c")
	grants, _ := runFencing(successor, 0, 5*time.Second, "c")
	if len(grants) == 0 {
		t.Fatal("no grant is renewed")
	}
	for _, grant := range grants {
		if shards.EpochOf(grant.Fence) != 2 {
			t.Fatalf("renewed under fence %d, which a server that has given up the keys would accept", grant.Fence)
		}
	}
}

func TestManagerThatContinuesRenewsUnderItsEarlierFences(t *testing.T) {
	first := newSuccessor(&shards.Map{Service: "s", Epoch: 1, Author: author("p1", 1), Ranges: restoredMap().Ranges})
	runFencing(first, 0, 2*time.Second)
	frozen := first.Freeze(2 * time.Second)
	core := shards.NewManager("s", 3, author("p2", 3), frozen, shards.DefaultOptions(), 0)
	setAccepting(core, "a", "b", "c")
	grants, _ := runFencing(core, 0, 5*time.Second, "c")
	if len(grants) == 0 {
		t.Fatal("no grant is renewed")
	}
	for _, grant := range grants {
		if shards.EpochOf(grant.Fence) != 2 {
			t.Fatalf("renewed under fence %d, which a server that has given up the keys would accept", grant.Fence)
		}
	}
}

func TestFrozenManagerOnlyRenews(t *testing.T) {
	core := newSuccessor(&shards.Map{Service: "s", Epoch: 1, Author: author("p1", 1), Ranges: restoredMap().Ranges})
	runFencing(core, 0, 2*time.Second)
	core.SetServers([]shards.Server{{ID: "c", Address: "c", Capacity: 1, Accepting: true}})
	commands := core.Tick(2 * time.Second)
	if len(commands.Releases) == 0 {
		t.Fatal("no range is taken from servers that are gone")
	}
	frozen := core.Freeze(2 * time.Second)
	for _, release := range commands.Releases {
		core.ReleaseDone(shards.ReleaseResult{Release: release, Outcome: shards.Accepted})
	}
	core.CommitDone(2 * time.Second)
	for now := 2 * time.Second; now < 8*time.Second; now += step {
		commands := core.Tick(now)
		if commands.Commit != nil || len(commands.Releases) > 0 || len(commands.Grants) > 0 {
			t.Fatalf("a frozen manager whose ranges were all released sends commands %+v", commands)
		}
	}
	if frozen.Find(0).Owner != "a" {
		t.Fatalf("the frozen map assigns key 0 to %q, want the owner that may hold it", frozen.Find(0).Owner)
	}
}

func TestMapWithoutRangesIsFencedBeforeTheFirstGrants(t *testing.T) {
	core := newSuccessor(&shards.Map{Service: "s", Unverified: true})
	core.Start()
	if core.Started() {
		t.Fatal("keys are assigned before servers are fenced off")
	}
	if _, releases := runFencing(core, 0, 3*time.Second); len(releases) != 3 {
		t.Fatalf("%d releases, want one of all keys for each server", len(releases))
	}
	core.Start()
	if grants, _ := runFencing(core, 3*time.Second, time.Second); len(grants) == 0 {
		t.Fatal("no key is granted after all servers were fenced off")
	}
}

func TestServerThatIsGoneIsNotGrantedItsKeysOnceTheMapIsVerified(t *testing.T) {
	core := newSuccessor(restoredMap())
	core.SetServers([]shards.Server{{ID: "b", Address: "b", Capacity: 1, Accepting: true}})
	grants, _ := runFencing(core, 0, 10*time.Second)
	if !core.Verified() {
		t.Fatal("the map is not verified although all servers acknowledged")
	}
	for _, grant := range grants {
		if grant.Owner == "a" {
			t.Fatalf("server a is gone but is granted keys from %d", grant.First)
		}
	}
}

func TestRenewedKeysStayWithTheirOwnerWhenTheMapIsVerifiedWithoutAllServers(t *testing.T) {
	first := newSuccessor(&shards.Map{Service: "s", Epoch: 1, Author: author("p1", 1), Ranges: restoredMap().Ranges})
	runFencing(first, 0, 2*time.Second)
	core := shards.NewManager("s", 3, author("p2", 3), first.Freeze(2*time.Second), shards.DefaultOptions(), 0)
	core.RemoveStoppedAuthors(0, retired(func(shards.Author) bool { return true }))
	setAccepting(core, "a", "b", "c")
	options := shards.DefaultOptions()
	// Server a leaves shortly before the map is verified, and acknowledges no release after
	// that.
	leavesAt := options.MaxCommandDelay + options.Lease - time.Second
	var heldUntil time.Duration
	for now := time.Duration(0); now < options.MaxCommandDelay+3*options.Lease; now += step {
		if now >= leavesAt {
			setAccepting(core, "b", "c")
		}
		commands := core.Tick(now)
		for _, grant := range commands.Grants {
			if grant.First == 0 && grant.Owner == "a" {
				heldUntil = now + grant.Lease
			}
			if grant.First == 0 && grant.Owner != "a" && now < heldUntil {
				t.Fatalf("server %s is granted keys at %v that server a holds until %v", grant.Owner, now, heldUntil)
			}
			core.GrantDone(now, shards.GrantResult{Grant: grant, SentAt: now, Outcome: shards.Accepted})
		}
		for _, release := range commands.Releases {
			if release.Owner == "c" || release.Owner == "a" && core.Verified() {
				continue
			}
			core.ReleaseDone(shards.ReleaseResult{Release: release, Outcome: shards.Accepted})
		}
		if commands.Commit != nil {
			core.CommitDone(now)
		}
	}
	if !core.Verified() {
		t.Fatal("the map is not verified after all earlier grants have ended")
	}
}

func TestServersThatAreGoneAreNotRenewedBeforeTheMapIsVerified(t *testing.T) {
	first := newSuccessor(&shards.Map{Service: "s", Epoch: 1, Author: author("p1", 1), Ranges: restoredMap().Ranges})
	runFencing(first, 0, 2*time.Second)
	core := shards.NewManager("s", 3, author("p2", 3), first.Freeze(2*time.Second), shards.DefaultOptions(), 0)
	setAccepting(core, "b", "c")
	grants, _ := runFencing(core, 0, 5*time.Second, "c")
	for _, grant := range grants {
		if grant.Owner == "a" {
			t.Fatal("server a is gone but its keys are renewed")
		}
	}
	if len(grants) == 0 {
		t.Fatal("no grant is renewed")
	}
}

// Guards against keys that are given on while a server that got them in what a restore lost, and that nobody knows, holds them.
func TestNothingIsGrantedWhileAnUnknownServerMayHoldIt(t *testing.T) {
	previous := restoredMap()
	previous.Incomplete = true
	core := newSuccessor(previous)
	options := shards.DefaultOptions()
	lease := time.Duration(float64(options.Lease) * options.ClockDrift)
	if grants, _ := runFencing(core, 0, lease); len(grants) > 0 {
		t.Fatal("a key is granted although a server that is neither in the map nor registered may have a lease on it")
	}
	const slack = time.Second
	if grants, _ := runFencing(core, lease, slack); len(grants) == 0 || !core.Verified() {
		t.Fatal("keys are not granted after the leases of unknown servers have ended")
	}
}
