package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/micahaven/micahaven/internal/topo/memory"
	"github.com/micahaven/micahaven/platform/standin"
)

const (
	// drillStream is the stream of the seed that drills are drawn from.
	drillStream = 1 << 32
	// maxDrillPause bounds the pause before a drill, and maxSnapshotLead how long before a
	// server is added the snapshot is taken.
	maxDrillPause   = 500 * time.Millisecond
	maxSnapshotLead = 500 * time.Millisecond
	// grantTimeout bounds how long a drill waits until the added server holds keys, and
	// maxKeyTime how long after that the server keeps its path to the store.
	grantTimeout = 3 * time.Second
	maxKeyTime   = time.Second
	// minCut and maxCut bound how long the server is cut off from the store, and maxCutLead how
	// long before the store goes away that begins.
	minCut, maxCut = 2 * time.Second, 8 * time.Second
	maxCutLead     = 1500 * time.Millisecond
	// maxOutage bounds an outage of the store; half of them are below shortOutage, which leaves
	// the leases at the server the most time.
	maxOutage, shortOutage = 2 * time.Second, 400 * time.Millisecond
	// minRestart and maxRestart bound how long a killed node is down, and how long it runs until
	// it is killed again.
	minRestart, maxRestart = 200 * time.Millisecond, 1500 * time.Millisecond
	// maxSecondRestore bounds how long after the first restore the second one is complete.
	maxSecondRestore = 3 * time.Second
	// oldSnapshotShare is the fraction of restores from a snapshot from before the server was
	// added, and twiceShare the fractions of restores that are followed by a second one and of
	// kills in a row.
	oldSnapshotShare, twiceShare = 0.75, 0.35
)

// drill is a loss of the store's latest content while a server is added that is cut off from
// the store, and nodes are killed.
type drill struct {
	// quiet is set if no random fault begins beside the drill: a server that crashes makes a
	// manager wait for longer than the added server's lease.
	quiet                                      bool
	pause, snapshotLead, keyTime, cutLead, cut time.Duration
	first                                      restoreDrill
	// second is a second restore, begun secondAfter the first; nil if there is none.
	second      *restoreDrill
	secondAfter time.Duration
}

// restoreDrill is an outage of the store that ends with a restore, and the kills beside it.
type restoreDrill struct {
	outage time.Duration
	// old restores the snapshot from before the server was added, otherwise the restore is from
	// a random one.
	old   bool
	kills kills
	// snapshot draws the random snapshot.
	snapshot *rand.Rand
}

// kills tells which nodes are killed, once or twice, and for how long they are down.
type kills struct {
	// none is set if no node is killed.
	none bool
	// nodes are the indices of the killed nodes; empty for the node of the manager.
	nodes []int
	// after is the time from the beginning of the outage to the first kill.
	after time.Duration
	// down holds for each kill how long each node is down, and running how long all run before the
	// second kill.
	down    [][]time.Duration
	running time.Duration
}

// drawDrill draws a drill for a number of nodes.
func drawDrill(random *rand.Rand, nodes int) drill {
	drawn := drill{
		pause: randomBelow(random, maxDrillPause), snapshotLead: randomBelow(random, maxSnapshotLead),
		keyTime: randomBelow(random, maxKeyTime), cutLead: randomBelow(random, maxCutLead),
		cut: between(random, minCut, maxCut), first: drawRestore(random, nodes, maxOutage),
	}
	if random.Float64() < twiceShare {
		drawn.secondAfter = randomBelow(random, maxSecondRestore-minFault)
		second := drawRestore(random, nodes, min(maxOutage, maxSecondRestore-drawn.secondAfter))
		second.kills.none = random.IntN(2) == 0
		drawn.second = &second
	}
	return drawn
}

func drawRestore(random *rand.Rand, nodes int, longest time.Duration) restoreDrill {
	if random.IntN(2) == 0 {
		longest = min(longest, shortOutage)
	}
	drawn := restoreDrill{outage: randomBelow(random, longest), old: random.Float64() < oldSnapshotShare}
	drawn.kills = drawKills(random, nodes, drawn.outage)
	drawn.snapshot = rand.New(rand.NewPCG(random.Uint64(), random.Uint64()))
	return drawn
}

// drawKills draws which nodes are killed: all, several or the node of the manager.
func drawKills(random *rand.Rand, nodes int, outage time.Duration) kills {
	drawn := kills{after: randomBelow(random, outage+1)}
	chosen := random.Perm(nodes)
	switch random.IntN(3) {
	case 0:
		drawn.nodes = chosen
	case 1:
		drawn.nodes = chosen[:min(nodes, 2+random.IntN(max(1, nodes-2)))]
	}
	for again := true; again; again = len(drawn.down) == 1 && random.Float64() < twiceShare {
		var down []time.Duration
		for range max(1, len(drawn.nodes)) {
			down = append(down, between(random, minRestart, maxRestart))
		}
		drawn.down = append(drawn.down, down)
	}
	drawn.running = between(random, minRestart, maxRestart)
	return drawn
}

func (k kills) String() string {
	switch {
	case k.none:
		return "no node is killed"
	case len(k.nodes) == 0:
		return fmt.Sprintf("the manager is killed %d times", len(k.down))
	}
	return fmt.Sprintf("nodes %v are killed %d times", k.nodes, len(k.down))
}

// drillFaults are the kinds of faults beside drills. Late grants are left out: one that an unknown
// server applies is not waited for.
func drillFaults() []fault {
	return slices.DeleteFunc(slices.Clone(faults), func(f fault) bool { return f.name == lateGrantsFault })
}

// injectWithDrills runs drills beside random faults and returns the numbers of faults and drills.
func (s *soak) injectWithDrills(random *rand.Rand) (count, drills int) {
	var group sync.WaitGroup
	group.Go(func() {
		own := rand.New(rand.NewPCG(s.options.Seed, drillStream))
		end := time.Now().Add(s.options.Length)
		for turn := 0; time.Now().Before(end); turn++ {
			drawn := drawDrill(own, len(s.nodes))
			drawn.quiet = turn%2 == 0
			if s.runDrill(drawn, end) {
				drills++
			}
		}
	})
	count = s.inject(random, drillFaults(), s.options.Length)
	group.Wait()
	return count, drills
}

// runDrill runs one drill and returns once the added server has its path to the store again. It
// reports false if no keys could be given to the server.
func (s *soak) runDrill(drawn drill, end time.Time) bool {
	time.Sleep(drawn.pause)
	if !s.waitMovable(end) {
		return false
	}
	if drawn.quiet {
		s.quiet.Lock()
		defer s.quiet.Unlock()
	}
	before := s.world.store.Save()
	time.Sleep(drawn.snapshotLead)
	added, err := s.world.addServer(standin.DividedService, true)
	if err != nil {
		s.recordViolation("start added server: %v", err)
		return false
	}
	defer s.world.unreserve(added)
	if !s.waitGranted(added) {
		return false
	}
	time.Sleep(drawn.keyTime)
	s.logf("drill: server %s with %d keys loses its path to the store for %v", incarnation(added.Server), added.HeldKeys(), drawn.cut.Round(time.Millisecond))
	reconnected := time.Now().Add(drawn.cut)
	added.StopAnnouncing()
	time.AfterFunc(leaseExpiry, added.Lapse)
	time.Sleep(drawn.cutLead)
	var group sync.WaitGroup
	group.Go(func() {
		s.runRestore(drawn.first, before, added, &group)
		if drawn.second != nil {
			time.Sleep(drawn.secondAfter)
			s.runRestore(*drawn.second, before, added, &group)
		}
	})
	time.Sleep(time.Until(reconnected))
	s.logf("drill: server %s has its path to the store again, %d keys", incarnation(added.Server), added.HeldKeys())
	s.world.announce(added)
	group.Wait()
	return true
}

// awaitQuiet waits until no drill holds back random faults.
func (s *soak) awaitQuiet() {
	s.quiet.Lock()
	defer s.quiet.Unlock()
}

// waitMovable waits until all keys have owners, before which a manager moves none. It reports
// false if that takes until the end.
func (s *soak) waitMovable(end time.Time) bool {
	const pause = 20 * time.Millisecond
	for !s.world.owned() {
		if time.Now().After(end) {
			return false
		}
		time.Sleep(pause)
	}
	return true
}

// waitGranted waits until a server holds keys, and reports false if that takes too long.
func (s *soak) waitGranted(added *server) bool {
	const pause = 20 * time.Millisecond
	for deadline := time.Now().Add(grantTimeout); added.HeldKeys() == 0; time.Sleep(pause) {
		if time.Now().After(deadline) {
			s.logf("drill: server %s was given no keys within %v", incarnation(added.Server), grantTimeout)
			return false
		}
	}
	return true
}

// runRestore takes the store away and restores it, and kills nodes in a group. It returns once the
// store is restored.
func (s *soak) runRestore(drawn restoreDrill, before memory.Saved, added *server, group *sync.WaitGroup) {
	s.logf("drill: store is away for %v, %v after %v", drawn.outage.Round(time.Millisecond), drawn.kills, drawn.kills.after.Round(time.Millisecond))
	manager := s.manager()
	s.world.setFaults(func(f *memory.Faults) { f.Down = true })
	restored := time.Now().Add(drawn.outage)
	group.Go(func() { s.runKills(drawn.kills, manager) })
	time.Sleep(time.Until(restored))
	saved, found := s.storeSnapshots.takeIfAny(drawn.snapshot)
	old := drawn.old || !found
	if old {
		saved = before
	}
	s.world.store.Restore(saved)
	s.world.setFaults(func(f *memory.Faults) { f.Down = false })
	s.logf("drill: store is restored, snapshot from before the server was added: %v", old)
	s.world.rewriteState(drawn.snapshot)
	time.AfterFunc(leaseExpiry, added.Lapse)
}

// runKills kills nodes, manager if none are drawn, and starts them again.
func (s *soak) runKills(drawn kills, manager *Node) {
	if drawn.none {
		return
	}
	var targets []*Node
	for _, index := range drawn.nodes {
		targets = append(targets, s.nodes[index])
	}
	if len(targets) == 0 && manager != nil {
		targets = []*Node{manager}
	}
	time.Sleep(drawn.after)
	for turn, down := range drawn.down {
		if turn > 0 {
			time.Sleep(drawn.running)
		}
		var group sync.WaitGroup
		for index, n := range targets {
			s.logf("drill: %s is killed", n.Name)
			n.Signal(syscall.SIGKILL)
			group.Go(func() {
				time.Sleep(down[index])
				s.restart(n)
			})
		}
		group.Wait()
	}
}

// unreserve lets random faults pick a server.
func (w *world) unreserve(s *server) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	s.reserved = false
}
