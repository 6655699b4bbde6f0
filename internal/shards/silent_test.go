package shards_test

import (
	"slices"
	"testing"
	"time"

	"github.com/micahaven/micahaven/internal/discovery"
	"github.com/micahaven/micahaven/internal/shards"
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

// Guards against keys that stay dark because grants that nobody answers may be executed late.
func TestSilentOwnerLosesItsKeysWhenItsLeasesHaveEnded(t *testing.T) {
	b := newHarness(uniformCapacities(6)...)
	load := b.answeredLoad(600)
	b.run(8*time.Second, load)
	const hung = discovery.ServerID("b")
	b.hung[hung] = true
	options := shards.DefaultOptions()
	// A lease after its last answer the owner is sent no more grants.
	b.run(options.Lease+options.CallTimeout+options.MaxCommandDelay+longestLease()+300*time.Millisecond, load)
	if share := b.share()[hung]; share > 0 {
		t.Errorf("the silent server owns %.2f of the keys", share)
	}
}

// Guards against keys that are taken from a server that serves them but leaves grants unanswered.
func TestSilentOwnerThatServesKeepsItsKeys(t *testing.T) {
	b := newHarness(uniformCapacities(6)...)
	b.run(8*time.Second, nil)
	const silent = discovery.ServerID("b")
	before := b.stored
	b.hung[silent] = true
	b.run(40*time.Second, func() { b.core.RecordServed(b.now, silent) })
	if moved := b.moved(before); moved > 0 {
		t.Errorf("%d keys moved", moved)
	}
}

// Guards against an owner whose grants stay suspended after it answers again.
func TestOwnerThatWasSilentForSomeSecondsIsGrantedItsKeysAgain(t *testing.T) {
	for _, silence := range []time.Duration{4 * time.Second, 7 * time.Second, 15 * time.Second} {
		b := newHarness(uniformCapacities(6)...)
		b.run(8*time.Second, nil)
		const hung = discovery.ServerID("b")
		before := b.stored
		b.hung[hung] = true
		b.run(silence, nil)
		delete(b.hung, hung)
		b.run(40*time.Second, nil)
		if moved := b.moved(before); moved > 0 {
			t.Errorf("%d keys moved after a silence of %v", moved, silence)
		}
	}
}

// Guards against grants to a refusing server that are lost with their connection now and then.
func TestRefusingOwnerLosesItsKeysThoughSomeConnectionsOpen(t *testing.T) {
	b := newHarness(uniformCapacities(6)...)
	b.run(8*time.Second, nil)
	const cut = discovery.ServerID("b")
	b.unreached[cut], b.closesEach = true, 20
	b.run(longestLease()+500*time.Millisecond, nil)
	if share := b.share()[cut]; share > 0 {
		t.Errorf("the refusing server owns %.2f of the keys", share)
	}
}
