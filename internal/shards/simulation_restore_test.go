package shards_test

import (
	"slices"
	"testing"
	"time"

	"github.com/micahaven/micahaven/internal/shards"
)

// restoreFaults configures how the simulated store is restored from older copies, and has the
// state needed for this.
type restoreFaults struct {
	// perMille is the probability of a restore in each step, in thousandths; 0 disables
	// restores.
	perMille int
	// trusting makes managers treat the map of a restored store as authoritative, which is
	// incorrect.
	trusting bool
	// quick shortens both the time for which managers renew without the store and the delay of
	// late commands, so that more waits end within a run.
	quick bool
	// forgets makes a server unknown to later managers if a manager ends with a restore, and
	// ignoresUnknown makes these take their maps for complete, which is incorrect.
	forgets, ignoresUnknown bool
	// history has the maps of the last steps, oldest first. isOld is true if the map in the
	// store was written before a restore.
	history []*shards.Map
	isOld   bool
}

// quickAuthority is how long a manager renews without the store in quick runs, and
// quickMaxDelay the longest delay of a command.
const (
	quickAuthority = 4 * time.Second
	quickMaxDelay  = 2 * time.Second
)

func quickOptions() shards.Options {
	options := shards.DefaultOptions()
	options.PredecessorRenewal, options.MaxCommandDelay = quickAuthority+time.Second, quickMaxDelay+time.Second
	return options
}

// maxCopyAgeSteps is the maximum age of a copy of the store, in steps.
const maxCopyAgeSteps = 100

func (w *simulation) store(manager *simManager, written *shards.Map) {
	w.stored, w.restoreFaults.isOld, manager.lastWritten = written, false, written
}

// successorMap returns the map from which a new manager continues.
func (w *simulation) successorMap() *shards.Map {
	if w.stored != nil && w.stored.Unverified && !w.restoreFaults.isOld && !w.restoreFaults.ignoresUnknown {
		found := *w.stored
		found.Incomplete = true
		return &found
	}
	if !w.restoreFaults.isOld || w.restoreFaults.trusting {
		return w.stored
	}
	successorMap := shards.Map{Service: "s"}
	if w.stored != nil {
		successorMap = *w.stored
	}
	// Live managers have sent the maps that they wrote to the nodes.
	for _, manager := range slices.Concat(w.active, w.retiring) {
		if known := manager.lastWritten; known != nil && (known.Epoch > successorMap.Epoch || known.Epoch == successorMap.Epoch && known.Sequence > successorMap.Sequence) {
			successorMap = *known
		}
	}
	successorMap.Unverified, successorMap.Continued, successorMap.Incomplete = true, false, !w.restoreFaults.ignoresUnknown
	return &successorMap
}

// installFirst writes the first map of a new manager together with its lock if the store was
// restored.
func (w *simulation) installFirst() {
	manager := w.active[len(w.active)-1]
	if !w.restoreFaults.isOld || !manager.core.Started() {
		return
	}
	w.store(manager, manager.core.Map(w.now))
	manager.core.InitialMapCommitted(w.now)
}

// restoreStore restores the store with the configured probability. The manager at that time
// continues in the same process, ends, or does not learn of the restore.
func (w *simulation) restoreStore() {
	if w.restoreFaults.perMille == 0 {
		return
	}
	if w.chance(1) {
		leaving := w.servers[w.random.IntN(len(w.servers))]
		leaving.leaving = !leaving.leaving
	}
	w.restoreFaults.history = append(w.restoreFaults.history, w.stored)
	if len(w.restoreFaults.history) > maxCopyAgeSteps {
		w.restoreFaults.history = w.restoreFaults.history[1:]
	}
	if w.random.IntN(1000) >= w.restoreFaults.perMille {
		return
	}
	w.stored, w.restoreFaults.isOld = w.restoreFaults.history[w.random.IntN(len(w.restoreFaults.history))], true
	w.restoreFaults.history = nil
	lockHolder := w.lockHolder()
	if lockHolder == nil {
		return
	}
	switch w.random.IntN(3) {
	case 0:
		w.states[lockHolder.process] = shards.Ended
		w.active = w.active[:len(w.active)-1]
		if w.restoreFaults.forgets {
			w.forgetServer()
		}
	case 1:
		lockHolder.storeLostAt = w.now
		lockHolder.core.SetStoreHealthy(false)
	default:
		w.continueTerm(lockHolder)
	}
}

// continueTerm replaces a manager by one in the same process that continues from its frozen
// map.
func (w *simulation) continueTerm(holder *simManager) {
	if !holder.core.Started() {
		return
	}
	w.active = w.active[:len(w.active)-1]
	w.epoch++
	author := shards.Author{Node: "n", Process: holder.process, Epoch: w.epoch}
	frozen := holder.core.Freeze(w.now)
	frozen.Unverified = !w.restoreFaults.trusting
	next := &simManager{core: shards.NewManager("s", w.epoch, author, frozen, w.options, w.now), process: holder.process, started: w.now}
	w.active = append(w.active, next)
	w.installFirst()
}

// maxUnknown bounds the time for which a server is unknown after a restore.
const maxUnknown = 12 * time.Second

// forgetServer makes a server unknown to the managers that begin from now on. Grants that a server
// executes late are not covered, so one that has such grants stays known.
func (w *simulation) forgetServer() {
	server := w.servers[w.random.IntN(len(w.servers))]
	isLate := func(d delayedGrant) bool { return d.server == server }
	if server.delaysGrants || server.silent || slices.ContainsFunc(w.delayed, isLate) {
		return
	}
	server.unknownSince, server.unknownUntil = w.now, w.now+time.Duration(w.random.Int64N(int64(maxUnknown)))
}

// Guards against a restored map that is verified although a server that nobody knows holds keys.
func TestNoKeyHasTwoHoldersWhenServersAreUnknownAfterARestore(t *testing.T) {
	if violation := firstViolationWith(*simulationRuns, shards.DefaultOptions(), restoreFaults{perMille: 10, forgets: true}); violation != "" {
		t.Fatal(violation)
	}
}

func TestUnknownServersThatAreIgnoredAreCaught(t *testing.T) {
	faults := restoreFaults{perMille: 10, forgets: true, ignoresUnknown: true}
	if firstViolationWith(*simulationRuns, shards.DefaultOptions(), faults) == "" {
		t.Fatalf("no violation in %d runs", *simulationRuns)
	}
}

func TestNoKeyHasTwoHoldersWhenTheStoreIsRestored(t *testing.T) {
	if violation := firstViolationWith(*simulationRuns/6, shards.DefaultOptions(), restoreFaults{perMille: 10}); violation != "" {
		t.Fatal(violation)
	}
	if violation := firstViolationWith(*simulationRuns/3, quickOptions(), restoreFaults{perMille: 3, quick: true}); violation != "" {
		t.Fatal("quick: " + violation)
	}
}

func TestTrustInARestoredMapIsCaught(t *testing.T) {
	if firstViolationWith(*simulationRuns, shards.DefaultOptions(), restoreFaults{perMille: 10, trusting: true}) == "" {
		t.Fatalf("no violation in %d runs", *simulationRuns)
	}
}

// Checks that fencing completes often enough for the simulation to exercise what follows it.
func TestRestoredStoresAreVerifiedInTheSimulation(t *testing.T) {
	verified, moves := 0, 0
	for seed := range uint64(20) {
		w := newSimulation(seed, shards.DefaultOptions())
		w.restoreFaults = restoreFaults{perMille: 10}
		before := false
		for w.now < time.Minute {
			w.tick()
			lockHolder := w.lockHolder()
			if lockHolder == nil || !lockHolder.core.Started() {
				continue
			}
			if now := lockHolder.core.Verified(); now != before {
				before = now
				moves++
				if now {
					verified++
				}
			}
		}
	}
	if verified < 20 {
		t.Errorf("maps were verified %d times in 20 runs (%d changes), want at least 20 times", verified, moves)
	}
}
