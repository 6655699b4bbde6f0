package shards_test

import (
	"testing"
	"time"

	"github.com/micahaven/micahaven/internal/discovery"
	"github.com/micahaven/micahaven/internal/shards"
)

// harness drives one manager whose commands all succeed at once, unless their servers are unreached.
type harness struct {
	core    *shards.Manager
	now     time.Duration
	servers []shards.Server
	stored  *shards.Map
	// moves counts releases, and grants counts first grants and renewals.
	moves, grants int
	// unreached are the servers that no command reaches.
	unreached map[discovery.ServerID]bool
	// closesEach is after how many commands to unreached servers one is lost with its connection.
	closesEach, closed int
	// hung are the servers that leave every command unanswered, and unanswered the results to come.
	hung       map[discovery.ServerID]bool
	unanswered []timedResult
}

// outcome returns the outcome of a command to a server.
func (b *harness) outcome(server discovery.ServerID) shards.Outcome {
	if b.unreached[server] {
		b.closed++
		if b.closesEach > 0 && b.closed%b.closesEach == 0 {
			return shards.ConnectionLost
		}
		return shards.NotSent
	}
	return shards.Accepted
}

func newHarness(capacities ...float64) *harness {
	b := &harness{unreached: make(map[discovery.ServerID]bool), hung: make(map[discovery.ServerID]bool), core: shards.NewManager("s", 1, shards.Author{Node: "n", Process: "p"}, nil, shards.DefaultOptions(), 0)}
	for index, capacity := range capacities {
		id := discovery.ServerID(rune('a' + index))
		b.servers = append(b.servers, shards.Server{ID: id, Address: string(id), Capacity: capacity, Accepting: true})
	}
	return b
}

// run advances the time; load is called before each step.
func (b *harness) run(length time.Duration, load func()) {
	for end := b.now + length; b.now < end; b.now += step {
		if load != nil {
			load()
		}
		b.core.SetServers(b.servers)
		b.core.Start()
		b.timeOut()
		commands := b.core.Tick(b.now)
		b.grants += len(commands.Grants)
		for _, grant := range commands.Grants {
			b.finish(grant.Owner, func(outcome shards.Outcome) {
				b.core.GrantDone(b.now, shards.GrantResult{Grant: grant, SentAt: b.now, Outcome: outcome})
			})
		}
		b.answerChecks(commands)
		b.moves += len(commands.Releases)
		for _, release := range commands.Releases {
			b.finish(release.Owner, func(outcome shards.Outcome) {
				b.core.ReleaseDone(shards.ReleaseResult{Release: release, Outcome: outcome, Handover: "h"})
			})
		}
		if commands.Commit != nil {
			b.stored = commands.Commit.Map
			b.core.CommitDone(b.now)
		}
	}
}

// answerChecks passes the results of all checks.
func (b *harness) answerChecks(commands shards.Commands) {
	for _, check := range commands.Checks {
		b.finish(check.Owner, func(outcome shards.Outcome) {
			b.core.CheckDone(b.now, shards.ReleaseResult{Release: check, Outcome: outcome})
		})
	}
}

// finish passes the outcome of a command, at once or when its call times out.
func (b *harness) finish(server discovery.ServerID, done func(shards.Outcome)) {
	if !b.hung[server] {
		done(b.outcome(server))
		return
	}
	b.unanswered = append(b.unanswered, timedResult{at: b.now + shards.DefaultOptions().CallTimeout, result: func() { done(shards.Unanswered) }})
}

// timeOut passes the results of commands whose calls have timed out.
func (b *harness) timeOut() {
	for len(b.unanswered) > 0 && b.now >= b.unanswered[0].at {
		result := b.unanswered[0].result
		b.unanswered = b.unanswered[1:]
		result()
	}
}

// share returns the fraction of the key space that each server owns.
func (b *harness) share() map[discovery.ServerID]float64 {
	shares := make(map[discovery.ServerID]float64)
	for _, r := range b.stored.Ranges {
		shares[r.Owner] += float64(r.Last-r.First+1) / shards.KeyCount
	}
	return shares
}

func TestFirstMapIsEven(t *testing.T) {
	b := newHarness(2, 2, 2, 2)
	b.run(time.Second, nil)
	for id, share := range b.share() {
		if share < 0.24 || share > 0.26 {
			t.Errorf("server %s owns %.2f of the keys", id, share)
		}
	}
}

// Guards against a heavy key that moves repeatedly, because it makes each of its owners look
// slow: it had five owners in five seconds.
func TestHeavyKeyStaysWhereItWasMoved(t *testing.T) {
	b := newHarness(2, 3, 2, 2, 4)
	const heavy = 1000
	owners := make(map[discovery.ServerID]bool)
	b.run(2*time.Second, nil)
	tick := 0
	b.run(8*time.Second, func() {
		tick++
		keys := []uint32{heavy, heavy, heavy, heavy, heavy, heavy, heavy, heavy}
		for index := range 8 {
			keys = append(keys, uint32((tick*7919+index*8191)%shards.KeyCount))
		}
		b.core.RecordLoad(b.now, keys, 1)
		// The owner of the key is kept busy, so it seems to have less capacity.
		owner := b.stored.Find(heavy).Owner
		for index := range b.servers {
			if b.servers[index].ID == owner {
				b.servers[index].Capacity = 2.5
			}
		}
		owners[owner] = true
	})
	if len(owners) > 2 {
		t.Fatalf("the key had %d owners", len(owners))
	}
	if r := b.stored.Find(heavy); r.First != heavy || r.Last != heavy {
		t.Fatalf("the key is in a range from %d to %d", r.First, r.Last)
	}
}

func TestLeavingServerIsEmptied(t *testing.T) {
	b := newHarness(2, 2, 2)
	b.run(2*time.Second, nil)
	b.servers[0].Accepting = false
	b.run(time.Second, nil)
	if share := b.share()[b.servers[0].ID]; share != 0 {
		t.Fatalf("a draining server still owns %.2f of the keys", share)
	}
}

func TestLoadIsBalanced(t *testing.T) {
	b := newHarness(2, 2, 2, 2)
	b.run(2*time.Second, nil)
	tick := 0
	load := func() {
		tick++
		var keys []uint32
		for index := range 10 {
			// All load is on a sixteenth of the keys.
			keys = append(keys, uint32((tick*131+index*613)%(shards.KeyCount/16)))
		}
		b.core.RecordLoad(b.now, keys, 1)
	}
	b.run(20*time.Second, load)
	loads := make(map[discovery.ServerID]int)
	for key := uint32(0); key < shards.KeyCount/16; key++ {
		loads[b.stored.Find(key).Owner]++
	}
	for id, count := range loads {
		if part := float64(count) / (shards.KeyCount / 16); part > 0.4 {
			t.Errorf("server %s has %.2f of the load", id, part)
		}
	}
}

// Guards against a heavy key that blocks balancing: one key had 40% of the load, nothing else
// could be moved from its server, and meanwhile no other server was relieved.
func TestHeavyKeyDoesNotHoldUpTheBalanceOfOthers(t *testing.T) {
	b := newHarness(2, 2, 2, 2, 2, 2, 2, 2)
	b.run(2*time.Second, nil)
	const heavy = 40000
	tick := 0
	b.run(12*time.Second, func() {
		tick++
		keys := []uint32{heavy, heavy, heavy, heavy, heavy, heavy, heavy, heavy}
		for index := range 8 {
			// The rest of the load is on a sixteenth of the keys.
			keys = append(keys, uint32((tick*131+index*613)%(shards.KeyCount/16)))
		}
		b.core.RecordLoad(b.now, keys, 1)
	})
	loads := make(map[discovery.ServerID]int)
	for key := uint32(0); key < shards.KeyCount/16; key++ {
		loads[b.stored.Find(key).Owner]++
	}
	for id, count := range loads {
		if part := float64(count) / (shards.KeyCount / 16); part > 0.3 {
			t.Errorf("server %s has %.2f of the load other than that of the heavy key", id, part)
		}
	}
	if part := loads[b.stored.Find(heavy).Owner]; part > 0 {
		t.Errorf("the server of the heavy key still has %d other keys with load", part)
	}
}

// Servers that warm up can handle only a few requests. They get keys only if no warm server
// accepts any.
func TestWarmingServersAreGivenNoKeys(t *testing.T) {
	b := newHarness(1, 1)
	b.servers[1].Warming = true
	b.run(time.Second, nil)
	if share := b.share()["a"]; share != 1 {
		t.Errorf("the warm server owns %.2f of the keys, want all", share)
	}
	// From here on no warm server accepts keys.
	b.servers[0].Accepting = false
	b.run(time.Second, nil)
	if share := b.share()["b"]; share != 1 {
		t.Errorf("the only remaining server owns %.2f of the keys, want all", share)
	}
}

// A warming server keeps its keys, because requests for them would have to wait for the move.
func TestWarmingServersKeepTheirKeys(t *testing.T) {
	b := newHarness(1, 1)
	b.run(time.Second, nil)
	before := b.share()["b"]
	b.servers[1].Warming = true
	b.run(time.Second, nil)
	if share := b.share()["b"]; share != before {
		t.Errorf("the warming server owns %.2f of the keys, want %.2f as before", share, before)
	}
}
