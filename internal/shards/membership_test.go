package shards_test

import (
	"testing"
	"time"

	"github.com/micahaven/micahaven/internal/discovery"
	"github.com/micahaven/micahaven/internal/shards"
)

// Guards against a new server that stays without keys while all others have their fair load,
// until random variation puts one of them far above it.
func TestServersThatJoinAreGivenKeys(t *testing.T) {
	const perStep = 1100 * int(step) / int(time.Second)
	b := newHarness(uniformCapacities(40)...)
	usual := newDemand(0, 1)
	load := func() { b.core.RecordLoad(b.now, usual.draw(perStep), 1) }
	b.run(8*time.Second, load)
	before := b.stored
	joined := []discovery.ServerID{"joined 1", "joined 2", "joined 3"}
	for _, id := range joined {
		b.servers = append(b.servers, shards.Server{ID: id, Address: string(id), Capacity: 4, Accepting: true})
	}
	b.run(time.Second, load)
	share := b.share()
	for _, id := range joined {
		if share[id] == 0 {
			t.Errorf("server %s has no keys after two balance passes", id)
		}
	}
	if moved := b.moved(before); moved > shards.KeyCount/10 {
		t.Errorf("%d keys moved for 3 servers of 43", moved)
	}
}

// Guards against keys that move several times during a rolling update, because the next owner
// of a draining server's keys is a server that drains next.
func TestKeysOfLeavingServersGoToServersThatStay(t *testing.T) {
	b := newHarness(4, 4, 4, 4, 4, 4, 4, 4)
	for index := range b.servers {
		b.servers[index].Version = "old"
		if index >= 4 {
			b.servers[index].Version = "new"
		}
	}
	b.run(time.Second, nil)
	b.servers[0].Accepting = false
	before := b.stored
	b.run(time.Second, nil)
	for key := uint32(0); key < shards.KeyCount; key++ {
		owner := b.stored.Find(key).Owner
		if owner == before.Find(key).Owner {
			continue
		}
		if owner == "b" || owner == "c" || owner == "d" {
			t.Fatalf("key %d moved to server %s, whose version is being replaced", key, owner)
		}
	}
}

// While all servers have the same version, a draining server does not indicate that the others
// will drain too.
func TestKeysOfLeavingServersAreSpreadWhereThereIsOneVersion(t *testing.T) {
	b := newHarness(4, 4, 4, 4)
	b.run(time.Second, nil)
	b.servers[0].Accepting = false
	b.run(time.Second, nil)
	for id, share := range b.share() {
		if share > 0.4 {
			t.Errorf("server %s owns %.2f of the keys", id, share)
		}
	}
}
