package shards_test

import (
	"testing"
	"time"

	"github.com/micahaven/micahaven/internal/discovery"
	"github.com/micahaven/micahaven/internal/shards"
)

// longestLease is the longest time that a lease lasts by the manager's clock.
func longestLease() time.Duration {
	options := shards.DefaultOptions()
	return time.Duration(float64(options.Lease) * options.ClockDrift)
}

// loadOf returns a function that records evenly spread requests.
func (b *harness) loadOf(ratePerSecond int) func() {
	usual := newDemand(0, 1)
	perStep := ratePerSecond * int(step) / int(time.Second)
	return func() { b.core.RecordLoad(b.now, usual.draw(perStep), 1) }
}

// Guards against an entry that takes keys from servers although nobody listens at its address.
func TestRegisteredServerIsGivenNoKeysBeforeItAnswers(t *testing.T) {
	b := newHarness(uniformCapacities(6)...)
	load := b.loadOf(600)
	b.run(8*time.Second, load)
	before := b.stored
	const silent = discovery.ServerID("silent")
	b.unreached[silent] = true
	b.servers = append(b.servers, shards.Server{ID: silent, Address: "silent", Capacity: 1e18, Accepting: true})
	b.run(10*time.Second, load)
	if moved := b.moved(before); moved > shards.KeyCount/20 {
		t.Errorf("%d keys moved for a server that never answered", moved)
	}
	if share := b.share()[silent]; share > 0 {
		t.Errorf("the server that never answered owns %.2f of the keys", share)
	}
}

// Guards against an epoch whose fences are used up by checks of servers that never answer.
func TestChecksUseUpNoFences(t *testing.T) {
	b := newHarness(uniformCapacities(3)...)
	b.run(time.Second, nil)
	b.unreached["silent"] = true
	b.servers = append(b.servers, shards.Server{ID: "silent", Address: "silent", Capacity: 1, Accepting: true})
	fences := make(map[uint64]bool)
	b.run(20*time.Second, nil)
	for end := b.now + time.Minute; b.now < end; b.now += step {
		commands := b.core.Tick(b.now)
		for _, check := range commands.Checks {
			fences[check.Fence] = true
		}
		b.answerChecks(commands)
	}
	if len(fences) != 1 {
		t.Errorf("the checks of a minute have %d fences, want 1", len(fences))
	}
}

// Guards against a planned start that waits for a check after the server can answer.
func TestServerThatAnswersIsGivenKeysWithinASecond(t *testing.T) {
	b := newHarness(uniformCapacities(6)...)
	load := b.loadOf(600)
	b.run(8*time.Second, load)
	const joined = discovery.ServerID("joined")
	b.unreached[joined] = true
	b.servers = append(b.servers, shards.Server{ID: joined, Address: "joined", Capacity: 4, Accepting: true})
	b.run(2*time.Second, load)
	delete(b.unreached, joined)
	b.run(time.Second, load)
	if b.share()[joined] == 0 {
		t.Error("the server has no keys one second after it can answer")
	}
}

// Guards against keys that no server serves as long as the entry of their unreached owner lives.
func TestUnreachedOwnerLosesItsKeysWhenItsLeaseHasEnded(t *testing.T) {
	b := newHarness(uniformCapacities(6)...)
	load := b.loadOf(600)
	b.run(8*time.Second, load)
	const cut = discovery.ServerID("b")
	b.unreached[cut] = true
	b.run(4*time.Second, load)
	if share := b.share()[cut]; share == 0 {
		t.Fatal("the keys have moved before the lease of their owner has ended")
	}
	b.run(longestLease()-4*time.Second+300*time.Millisecond, load)
	if share := b.share()[cut]; share > 0 {
		t.Errorf("the unreached server owns %.2f of the keys 0.3 s after its lease has ended", share)
	}
	delete(b.unreached, cut)
	b.run(5*time.Second, load)
	if b.share()[cut] == 0 {
		t.Error("the server has no keys 5 s after it is reached again")
	}
}

// Guards against a first owner that never answers and keeps its keys.
func TestFirstOwnerThatNeverAnswersLosesItsKeysWithinASecond(t *testing.T) {
	b := newHarness(uniformCapacities(6)...)
	b.unreached["c"] = true
	b.run(1200*time.Millisecond, nil)
	if share := b.share()["c"]; share > 0 {
		t.Errorf("the server that never answered owns %.2f of the keys", share)
	}
}

// Guards against a node that reaches few servers and gives them the keys of all others.
func TestManagerThatReachesFewServersTakesNoKeys(t *testing.T) {
	b := newHarness(uniformCapacities(6)...)
	b.run(8*time.Second, b.loadOf(600))
	before := b.stored
	for _, id := range []discovery.ServerID{"a", "b", "c", "d"} {
		b.unreached[id] = true
	}
	b.run(12*time.Second, nil)
	if moved := b.moved(before); moved > 0 {
		t.Errorf("%d keys moved although the manager reaches 2 of 6 servers", moved)
	}
}

// Guards against keys that move each time that a server comes and goes.
func TestServerThatComesAndGoesIsGivenKeysAtGrowingIntervals(t *testing.T) {
	b := newHarness(uniformCapacities(6)...)
	load := b.loadOf(600)
	b.run(8*time.Second, load)
	const flapping, period = discovery.ServerID("b"), 7 * time.Second
	ownedIn := 0
	for range 12 {
		b.unreached[flapping] = true
		b.run(period, load)
		delete(b.unreached, flapping)
		b.run(period, load)
		if b.share()[flapping] > 0 {
			ownedIn++
		}
	}
	if ownedIn < 2 || ownedIn > 4 {
		t.Errorf("the server was given keys in %d of 12 periods, want 2 to 4", ownedIn)
	}
}

// Guards against a third of the servers that is lost at once and takes the keys of the others along.
func TestKeysOfReachedServersStayWhenAThirdIsUnreached(t *testing.T) {
	b := newHarness(uniformCapacities(9)...)
	b.run(8*time.Second, nil)
	before := b.stored
	for _, id := range []discovery.ServerID{"a", "d", "g"} {
		b.unreached[id] = true
	}
	b.run(10*time.Second, nil)
	if moved := b.moved(before); moved > shards.KeyCount*36/100 {
		t.Errorf("%d keys moved for 3 servers of 9", moved)
	}
	for _, id := range []discovery.ServerID{"a", "d", "g"} {
		if share := b.share()[id]; share > 0 {
			t.Errorf("unreached server %s owns %.2f of the keys", id, share)
		}
	}
}

// Guards against a second holder of keys that were taken from an owner whose entry lives on.
func TestNoKeyHasTwoHoldersWhenUnreachedServersStayRegistered(t *testing.T) {
	requireOneHolder(t, func(w *simulation) {
		w.entriesLiveOn, w.refusesConnections = true, true
		w.callTimeout, w.closesConnections = shards.DefaultOptions().CallTimeout, true
		w.resigns, w.restarts = true, true
	})
}

// Guards against first owners that never answered and keep their keys because they are the majority.
func TestFirstOwnersThatNeverAnsweredLoseTheirKeys(t *testing.T) {
	b := newHarness(uniformCapacities(5)...)
	for _, id := range []discovery.ServerID{"a", "b", "c"} {
		b.unreached[id] = true
	}
	b.run(30*time.Second, nil)
	for _, id := range []discovery.ServerID{"a", "b", "c"} {
		if share := b.share()[id]; share > 0 {
			t.Errorf("server %s never answered and owns %.2f of the keys after 30 s", id, share)
		}
	}
}

// Guards against a lone owner that keeps its keys although another server answers.
func TestLoneOwnerThatIsUnreachedLosesItsKeys(t *testing.T) {
	b := newHarness(1, 1)
	b.unreached["a"] = true
	load := b.loadOf(100)
	b.run(8*time.Second, load)
	delete(b.unreached, "a")
	b.unreached["b"] = true
	b.run(30*time.Second, load)
	if share := b.share()["b"]; share > 0 {
		t.Errorf("the unreached server owns %.2f of the keys 30 s later", share)
	}
}
