package shards_test

import (
	"testing"
	"time"

	"github.com/micahaven/micahaven/internal/discovery"
	"github.com/micahaven/micahaven/internal/shards"
)

// outage drives a manager that starts to move ranges just before its store becomes unavailable.
type outage struct {
	*harness
	// pendingWrite is the map whose write gets no response.
	pendingWrite *shards.Map
	// granted is the time of the last grant of each sampled key, and holders its recipient.
	granted [sampledKeys]time.Duration
	holders [sampledKeys]discovery.ServerID
}

// tick executes the commands of one step and returns its releases. Grants succeed; writes get
// no response if storeLost is true.
func (o *outage) tick(storeLost bool) []shards.Release {
	o.now += step
	o.core.SetServers(o.servers)
	commands := o.core.Tick(o.now)
	for _, grant := range commands.Grants {
		for index := range sampledKeys {
			if key := sampledKey(index); key >= grant.First && key <= grant.Last {
				o.granted[index], o.holders[index] = o.now, grant.Owner
			}
		}
		o.core.GrantDone(o.now, shards.GrantResult{Grant: grant, SentAt: o.now, Outcome: shards.Accepted})
	}
	o.answerChecks(commands)
	if commands.Commit != nil && storeLost {
		o.pendingWrite = commands.Commit.Map
	} else if commands.Commit != nil {
		o.stored = commands.Commit.Map
		o.core.CommitDone(o.now)
	}
	return commands.Releases
}

// startOutage releases ranges, one after the other, to servers that have joined. The write of
// the map with the new owner of the first range gets no response.
func startOutage(t *testing.T) *outage {
	t.Helper()
	const perStep, joined = 20, 3
	o := &outage{harness: newHarness(4, 4, 4, 4)}
	usual := newDemand(0, 1)
	o.run(8*time.Second, func() { o.core.RecordLoad(o.now, usual.draw(perStep), 1) })
	for range joined {
		id := discovery.ServerID(rune('a' + len(o.servers)))
		o.servers = append(o.servers, shards.Server{ID: id, Address: string(id), Capacity: 4, Accepting: true})
	}
	var releases []shards.Release
	for range 40 {
		o.core.RecordLoad(o.now, usual.draw(perStep), 1)
		if releases = o.tick(false); len(releases) > 0 {
			break
		}
	}
	if len(releases) < joined {
		t.Fatalf("%d ranges are released at once, want at least %d", len(releases), joined)
	}
	for _, release := range releases {
		o.core.ReleaseDone(shards.ReleaseResult{Release: release, Outcome: shards.Accepted, Handover: "h"})
		o.tick(true)
	}
	if o.pendingWrite == nil {
		t.Fatal("no map is written")
	}
	o.core.SetStoreHealthy(false)
	return o
}

// Guards against ranges without an owner during an outage of the store, because they were
// released just before it and no other owner can be committed.
func TestReleasedRangesAreRestoredWithoutTheStore(t *testing.T) {
	o := startOutage(t)
	const outageLength = 4 * time.Second
	for range int(outageLength / step) {
		o.tick(true)
	}
	for index := range sampledKeys {
		key := sampledKey(index)
		stored, pendingWrite := o.stored.Find(key).Owner, o.pendingWrite.Find(key).Owner
		served := o.now-o.granted[index] < 2*time.Second
		switch {
		case stored == pendingWrite && (!served || o.holders[index] != stored):
			t.Errorf("key %d is not granted to its owner %s", key, stored)
		case stored != pendingWrite && served:
			t.Errorf("key %d is granted to %s although the store may name %s", key, o.holders[index], pendingWrite)
		}
	}
}

// Guards against a restored range whose fence is never written to a map.
func TestRestoredRangesAreWrittenOnceTheStoreIsBack(t *testing.T) {
	o := startOutage(t)
	for range 20 {
		o.tick(true)
	}
	o.stored = o.pendingWrite
	o.core.SetStoreHealthy(true)
	o.core.CommitDone(o.now)
	for range 20 {
		for _, release := range o.tick(false) {
			o.core.ReleaseDone(shards.ReleaseResult{Release: release, Outcome: shards.Accepted, Handover: "h"})
		}
	}
	for index := range sampledKeys {
		if key := sampledKey(index); o.stored.Find(key).Owner != o.holders[index] {
			t.Errorf("key %d is granted to %q and the map names %q", key, o.holders[index], o.stored.Find(key).Owner)
		}
	}
}

// Guards against two owners of a key: if a map without an owner for a range may have been
// written, a successor assigns the range to another server at once.
func TestRangeWithoutAnOwnerInTheMapIsNotRestored(t *testing.T) {
	o := &outage{harness: newHarness(2, 2, 2)}
	o.run(2*time.Second, nil)
	o.core = shards.NewManager("s", 2, author("p2", 2), o.stored, shards.DefaultOptions(), o.now)
	o.run(2*time.Second, nil)
	o.servers[0].Accepting = false
	releases := o.tick(false)
	if len(releases) == 0 {
		t.Fatal("no range is released")
	}
	lost := releases[0]
	for index := range o.servers {
		o.servers[index].Accepting = false
	}
	o.tick(false)
	o.core.ReleaseDone(shards.ReleaseResult{Release: lost, Outcome: shards.Accepted, Handover: "h"})
	// The map names the earlier managers, so the end of one causes a write.
	o.core.RemoveStoppedAuthors(o.now, retired(func(shards.Author) bool { return true }))
	o.tick(true)
	if o.pendingWrite == nil || o.pendingWrite.Find(lost.First).Owner != "" {
		t.Fatal("no map without an owner of the range is written")
	}
	for index := range o.servers {
		o.servers[index].Accepting = true
	}
	o.core.SetStoreHealthy(false)
	began := o.now
	for range 40 {
		o.tick(true)
	}
	for index := range sampledKeys {
		if key := sampledKey(index); key >= lost.First && key <= lost.Last && o.granted[index] > began {
			t.Errorf("key %d is granted to %s", key, o.holders[index])
		}
	}
}
