package shards_test

import (
	"testing"
	"time"

	"github.com/micahaven/micahaven/internal/shards"
)

func author(process string, epoch uint64) shards.Author {
	return shards.Author{Node: "node of " + process, Process: process, Epoch: epoch}
}

// succeed returns a manager that continues from a map, with servers a and b, of
// which a does not answer.
func succeed(previous *shards.Map, by shards.Author, now time.Duration) *shards.Manager {
	core := shards.NewManager("s", by.Epoch, by, previous, shards.DefaultOptions(), now)
	core.SetServers([]shards.Server{
		{ID: "a", Address: "a", Capacity: 1},
		{ID: "b", Address: "b", Capacity: 1, Accepting: true},
	}, nil)
	return core
}

// install commits the first map of a manager's own epoch.
func install(t *testing.T, core *shards.Manager, now time.Duration) *shards.Map {
	t.Helper()
	commands := core.Tick(now)
	if commands.Commit == nil {
		t.Fatal("nothing to commit")
	}
	core.Committed(now)
	return commands.Commit.Map
}

// movedWithin reports whether a range of the silent server gets another owner
// within a time.
func movedWithin(core *shards.Manager, from, length time.Duration) bool {
	for now := from; now < from+length; now += step {
		commands := core.Tick(now)
		if commands.Commit == nil {
			continue
		}
		core.Committed(now)
		if commands.Commit.Map.Find(0).Owner == "b" {
			return true
		}
	}
	return false
}

func firstMap() *shards.Map {
	return &shards.Map{
		Service: "s", Epoch: 1, Author: author("p1", 1),
		Ranges: []shards.Range{{First: 0, Last: shards.LastKey, Owner: "a", Address: "a", Fence: 1 << 20}},
	}
}

// Seen in the fault soak, seed 101: two managers in a row had not known that the
// one before them was over; both said so later, and the third one waited 79 s.
func TestAllEarlierManagersMayTurnOutToBeOver(t *testing.T) {
	second := succeed(firstMap(), author("p2", 2), 0)
	stored := install(t, second, 0)
	if len(stored.Pending) != 1 || stored.Pending[0] != author("p1", 1) {
		t.Fatalf("pending %v, want the author of the first map", stored.Pending)
	}
	third := succeed(stored, author("p3", 3), 0)
	over := map[string]bool{"p2": true}
	third.AuthorsOver(0, func(a shards.Author) bool { return over[a.Process] })
	install(t, third, 0)
	if movedWithin(third, step, 20*time.Second) {
		t.Fatal("a range moved although the first manager may still send orders")
	}
	over["p1"] = true
	const known = 20 * time.Second
	third.AuthorsOver(known, func(a shards.Author) bool { return over[a.Process] })
	const oneHold = 6 * time.Second
	if !movedWithin(third, known, oneHold) {
		t.Fatal("no range moved within a hold after all earlier managers were over")
	}
}

// A grant without an answer may be taken long after; a manager that can write no
// map any more has to wait for that before it says that it is over.
func TestLateOrdersDelayRetirement(t *testing.T) {
	core := succeed(firstMap(), author("p2", 2), 0)
	grant := shards.Grant{Range: install(t, core, 0).Ranges[0]}
	core.AuthorsOver(0, func(shards.Author) bool { return true })
	if until := core.LateOrdersUntil(); until != 0 {
		t.Fatalf("late orders until %v without any", until)
	}
	const sentAt = 2 * time.Second
	core.GrantDone(3*time.Second, shards.GrantResult{Grant: grant, SentAt: sentAt, Outcome: shards.Unanswered})
	if until, want := core.LateOrdersUntil(), sentAt+shards.DefaultOptions().LateOrder; until != want {
		t.Fatalf("late orders until %v, want %v", until, want)
	}
}

// Seen on the users' shifted deployment, trouble-3: the node of the first manager was
// removed for good. Servers that ended while its successor was in office kept their keys
// for the time that the first manager might still have renewed them, and 600 requests in
// two seconds were refused for 20 s, also by the manager after that.
func TestRangesThatTookANewFenceDoNotWaitForLostManagers(t *testing.T) {
	never := func(shards.Author) bool { return false }
	owner := shards.Server{ID: "a", Address: "a", Capacity: 1, Accepting: true}
	other := shards.Server{ID: "b", Address: "b", Capacity: 1, Accepting: true}
	second := succeed(firstMap(), author("p2", 2), 0)
	stored := install(t, second, 0)
	if r := stored.Ranges[0]; r.Fence <= 1<<20 || !r.Inherited {
		t.Fatalf("the first map of the second manager has fence %d, inherited: %v", r.Fence, r.Inherited)
	}
	second.AuthorsOver(0, never)
	accept := func(core *shards.Manager, now time.Duration) {
		for _, grant := range core.Tick(now).Grants {
			core.GrantDone(now, shards.GrantResult{Grant: grant, SentAt: now, Outcome: shards.Accepted})
		}
	}
	second.SetServers([]shards.Server{owner, other}, nil)
	accept(second, step)
	const oneHold = 6 * time.Second
	later := time.Duration(0)
	for now := 2 * step; now < time.Second; now += step {
		if commands := second.Tick(now); commands.Commit != nil {
			stored = commands.Commit.Map
			second.Committed(now)
			later = now
		}
	}
	if stored.Ranges[0].Inherited {
		t.Fatal("the stored map does not say that the owner took the fence")
	}
	owner.Accepting = false
	second.SetServers([]shards.Server{owner, other}, nil)
	if !movedWithin(second, later+step, oneHold) {
		t.Error("the second manager waits for the first one")
	}
	third := succeed(stored, author("p3", 3), 0)
	third.AuthorsOver(0, func(a shards.Author) bool { return a.Process == "p2" })
	install(t, third, 0)
	if !movedWithin(third, step, oneHold) {
		t.Error("the third manager waits for the first one")
	}
}

// The same, but the owner never took the fence: the first manager may still renew.
func TestInheritedRangesWaitForLostManagers(t *testing.T) {
	second := succeed(firstMap(), author("p2", 2), 0)
	stored := install(t, second, 0)
	third := succeed(stored, author("p3", 3), 0)
	third.AuthorsOver(0, func(a shards.Author) bool { return a.Process == "p2" })
	install(t, third, 0)
	if movedWithin(third, step, 20*time.Second) {
		t.Error("a range moved although the first manager may still renew it")
	}
}

// Without the store a refused grant means that a later manager owns the range.
func TestSupersededManagerWithoutTheStoreReleasesNothing(t *testing.T) {
	core := succeed(firstMap(), author("p2", 2), 0)
	core.SetServers([]shards.Server{{ID: "a", Address: "a", Capacity: 1, Accepting: true}}, nil)
	stored := install(t, core, 0)
	core.SetStoreHealthy(false)
	core.GrantDone(0, shards.GrantResult{Grant: shards.Grant{Range: stored.Ranges[0]}, Outcome: shards.Superseded})
	for now := step; now < 5*time.Second; now += step {
		if commands := core.Tick(now); len(commands.Releases) > 0 {
			t.Fatalf("%d releases", len(commands.Releases))
		}
	}
}
