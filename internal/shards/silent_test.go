package shards_test

import (
	"slices"
	"testing"
	"time"

	"github.com/micahaven/micahaven/internal/discovery"
)

// answeredLoad returns a function that records evenly spread requests, but none for keys of hung servers.
func (b *harness) answeredLoad(ratePerSecond int) func() {
	usual := newDemand(0, 1)
	perStep := ratePerSecond * int(step) / int(time.Second)
	return func() {
		keys := slices.DeleteFunc(usual.draw(perStep), func(key uint32) bool {
			return b.stored != nil && b.hung[b.stored.Find(key).Owner]
		})
		b.core.RecordLoad(b.now, keys, 1)
	}
}

// Guards against a server that answers nothing and, as it gets few requests, is given the keys of others.
func TestSilentServerIsGivenNoKeys(t *testing.T) {
	b := newHarness(uniformCapacities(6)...)
	load := b.answeredLoad(600)
	b.run(8*time.Second, load)
	const hung = discovery.ServerID("b")
	b.hung[hung] = true
	b.run(4*time.Second, load)
	given := 0
	for range 36 {
		before := b.stored
		b.run(time.Second, load)
		for _, r := range b.stored.Ranges {
			if r.Owner == hung && before.Find(r.First).Owner != hung {
				given += int(r.Last - r.First + 1)
			}
		}
	}
	if given > 0 {
		t.Errorf("the silent server was given %d keys after 4 s", given)
	}
	delete(b.hung, hung)
	b.run(8*time.Second, load)
	if b.share()[hung] == 0 {
		t.Error("the server has no keys 8 s after it answers again")
	}
}
