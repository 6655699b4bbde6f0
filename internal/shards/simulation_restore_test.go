package shards_test

import (
	"slices"
	"testing"
	"time"

	"github.com/micahaven/micahaven/internal/discovery"
	"github.com/micahaven/micahaven/internal/shards"
)

// restores is how a simulated store is restored from older copies of itself.
type restores struct {
	// perMille is the chance for it in each step; 0 means never.
	perMille int
	// trusting managers take the map of a restored store for the truth.
	trusting bool
	// quick makes managers without the store stop soon, and late orders come soon, so that more
	// waits come to their end.
	quick bool
	// history are the maps of the last steps, the oldest first, and isOld is true if the map in
	// the store was written before it was restored.
	history []*shards.Map
	isOld   bool
}

// quickAuthority and quickLate are the authority and the latest delay of an order in quick runs.
const (
	quickAuthority = 4 * time.Second
	quickLate      = 2 * time.Second
)

// quickOptions are options for quick runs.
func quickOptions() shards.Options {
	options := shards.DefaultOptions()
	options.PreviousAuthority, options.LateOrder = quickAuthority+time.Second, quickLate+time.Second
	return options
}

// lostSteps is how many steps a copy of the store is old at most.
const lostSteps = 100

func (w *world) store(manager *simManager, written *shards.Map) {
	w.stored, w.restores.isOld, manager.wrote = written, false, written
}

// found returns the map that a new manager finds.
func (w *world) found() *shards.Map {
	if !w.restores.isOld || w.restores.trusting {
		return w.stored
	}
	found := shards.Map{Service: "s"}
	if w.stored != nil {
		found = *w.stored
	}
	// Managers that live have told the nodes what they wrote.
	for _, manager := range slices.Concat(w.active, w.retiring) {
		if known := manager.wrote; known != nil && (known.Epoch > found.Epoch || known.Epoch == found.Epoch && known.Sequence > found.Sequence) {
			found = *known
		}
	}
	found.Unverified, found.Continued = true, false
	return &found
}

// installFirst writes the first map of a new manager together with its lock, if the store was
// restored.
func (w *world) installFirst() {
	manager := w.active[len(w.active)-1]
	if !w.restores.isOld || !manager.core.Started() {
		return
	}
	w.store(manager, manager.core.Map(w.now))
	manager.core.Installed(w.now)
}

// restoreStore may restore the store. Its manager continues in the same process, ends, or does
// not learn of it.
func (w *world) restoreStore() {
	if w.restores.perMille == 0 {
		return
	}
	if w.chance(1) {
		leaving := w.servers[w.random.IntN(len(w.servers))]
		leaving.leaving = !leaving.leaving
	}
	w.restores.history = append(w.restores.history, w.stored)
	if len(w.restores.history) > lostSteps {
		w.restores.history = w.restores.history[1:]
	}
	if w.random.IntN(1000) >= w.restores.perMille {
		return
	}
	w.stored, w.restores.isOld = w.restores.history[w.random.IntN(len(w.restores.history))], true
	w.restores.history = nil
	holder := w.holder()
	if holder == nil {
		return
	}
	switch w.random.IntN(3) {
	case 0:
		w.ended[holder.process] = true
		w.active = w.active[:len(w.active)-1]
	case 1:
		holder.cutAt = w.now
		holder.core.SetStoreHealthy(false)
	default:
		w.continueTerm(holder)
	}
}

// continueTerm replaces a manager by one of the same process that continues its term.
func (w *world) continueTerm(holder *simManager) {
	if !holder.core.Started() {
		return
	}
	w.active = w.active[:len(w.active)-1]
	w.epoch++
	author := shards.Author{Node: "n", Process: holder.process, Epoch: w.epoch}
	frozen := holder.core.Freeze(w.now)
	frozen.Unverified = !w.restores.trusting
	next := &simManager{core: shards.NewManager("s", w.epoch, author, frozen, w.options, w.now), process: holder.process, started: w.now}
	w.active = append(w.active, next)
	w.installFirst()
}

// knownDead returns the servers that are known to have ended, if the store is restored at all.
func (w *world) knownDead() []discovery.ServerID {
	var dead []discovery.ServerID
	for _, s := range w.servers {
		if w.restores.perMille > 0 && !w.restores.quick && !s.up {
			dead = append(dead, s.id)
		}
	}
	return dead
}

func TestNoKeyHasTwoHoldersWhenTheStoreIsRestored(t *testing.T) {
	if violation := firstViolationWith(*simulationRuns/6, shards.DefaultOptions(), restores{perMille: 10}); violation != "" {
		t.Fatal(violation)
	}
	if violation := firstViolationWith(*simulationRuns/3, quickOptions(), restores{perMille: 3, quick: true}); violation != "" {
		t.Fatal("quick: " + violation)
	}
}

func TestTrustInARestoredMapIsCaught(t *testing.T) {
	if firstViolationWith(*simulationRuns, shards.DefaultOptions(), restores{perMille: 10, trusting: true}) == "" {
		t.Fatalf("no violation in %d runs", *simulationRuns)
	}
}

// Managers must come to the end of fencing often enough for the simulation to show anything.
func TestRestoredStoresAreVerifiedInTheSimulation(t *testing.T) {
	verified, moves := 0, 0
	for seed := range uint64(20) {
		w := newWorld(seed, shards.DefaultOptions())
		w.restores = restores{perMille: 10}
		before := false
		for w.now < time.Minute {
			w.tick()
			holder := w.holder()
			if holder == nil || !holder.core.Started() {
				continue
			}
			if now := holder.core.Verified(); now != before {
				before = now
				moves++
				if now {
					verified++
				}
			}
		}
	}
	if verified < 20 {
		t.Errorf("maps were verified %d times in 20 runs (%d changes), want once in each", verified, moves)
	}
}
