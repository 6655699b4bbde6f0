package shards_test

import (
	"testing"
	"time"

	"github.com/micahaven/micahaven/internal/discovery"
	"github.com/micahaven/micahaven/internal/shards"
)

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
