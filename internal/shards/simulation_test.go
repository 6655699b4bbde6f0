package shards_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/micahaven/micahaven/internal/discovery"
	"github.com/micahaven/micahaven/internal/shards"
)

// The simulation drives managers against servers that may be cut off, slow to
// take orders, or dead, with managers that crash or lose the store, and checks
// after every step that no key has two holders.

const (
	step        = 50 * time.Millisecond
	sampledKeys = 24
	// authority is how long a manager renews without the store.
	authority = 60 * time.Second
	lockLapse = 2 * time.Second
)

func sampledKey(index int) uint32 { return uint32(index * shards.KeyCount / sampledKeys) }

// hold is what a server believes about one key.
type hold struct {
	fence   uint64
	expires time.Duration
}

// simServer is a server's half of the protocol.
type simServer struct {
	id    discovery.ServerID
	up    bool
	holds [sampledKeys]hold
	// seen is the highest fence of each key.
	seen [sampledKeys]uint64
	// reachable is false while the server is cut off from managers.
	reachable bool
	// leaving is true while it accepts no keys; only simulated restores have that.
	leaving bool
	// lateOrders is true while orders get no answer and are taken later.
	lateOrders bool
}

// lateGrant is a grant that is taken some time after it was sent.
type lateGrant struct {
	at     time.Duration
	server *simServer
	grant  shards.Grant
}

// simManager is a manager's process.
type simManager struct {
	core    *shards.Manager
	process string
	started time.Duration
	// cutAt is when it lost the store; 0 means that it has it.
	cutAt   time.Duration
	results []func()
	// wrote is the map that it wrote last.
	wrote *shards.Map
}

type world struct {
	random *rand.Rand
	// violation is the first broken promise, or empty.
	violation string
	now       time.Duration
	servers   []*simServer
	nextID    int
	// active are managers that may send orders; the last one has the lock.
	active  []*simManager
	stored  *shards.Map
	epoch   uint64
	lockAt  time.Duration
	late    []lateGrant
	highest [sampledKeys]map[discovery.ServerID]uint64
	options shards.Options
	ended   map[string]bool
	// retiring are managers without orders under way that have not said so yet.
	retiring []*simManager
	// restores is how the store is restored from older copies now and then.
	restores restores
	// authority is how long a manager renews without the store, and leastLate and mostLate are the
	// delays of late orders.
	authority, leastLate, mostLate time.Duration
}

func newWorld(seed uint64, options shards.Options) *world {
	w := &world{random: rand.New(rand.NewPCG(seed, 0)), options: options, ended: make(map[string]bool)}
	w.authority, w.leastLate, w.mostLate = authority, 2*time.Second, 12*time.Second
	for range 4 {
		w.addServer()
	}
	for index := range w.highest {
		w.highest[index] = make(map[discovery.ServerID]uint64)
	}
	return w
}

func (w *world) addServer() {
	w.nextID++
	w.servers = append(w.servers, &simServer{id: discovery.ServerID(fmt.Sprintf("s%d", w.nextID)), up: true, reachable: true})
}

func (w *world) chance(percent int) bool {
	return w.random.IntN(100) < percent
}

func (w *world) holder() *simManager {
	if len(w.active) == 0 {
		return nil
	}
	last := w.active[len(w.active)-1]
	if last.cutAt != 0 {
		return nil
	}
	return last
}

func (w *world) elect() {
	if w.holder() != nil || w.now < w.lockAt {
		return
	}
	w.epoch++
	author := shards.Author{Node: "n", Process: fmt.Sprintf("p%d", w.epoch), Epoch: w.epoch}
	w.active = append(w.active, &simManager{
		core:    shards.NewManager("s", w.epoch, author, w.found(), w.options, w.now),
		process: author.Process,
		started: w.now,
	})
	w.installFirst()
}

// disturb draws what goes wrong in this step.
func (w *world) disturb() {
	if holder := w.holder(); holder != nil && w.chance(2) {
		w.lockAt = w.now + lockLapse
		if w.chance(50) {
			w.ended[holder.process] = true
			w.active = w.active[:len(w.active)-1]
		} else {
			holder.cutAt = w.now
			holder.core.SetStoreHealthy(false)
		}
	}
	victim := w.servers[w.random.IntN(len(w.servers))]
	switch w.random.IntN(60) {
	case 0:
		victim.reachable = !victim.reachable
	case 1:
		victim.lateOrders = !victim.lateOrders
	case 2:
		victim.up = false
		w.addServer()
	}
}

func (w *world) tick() {
	w.now += step
	w.takeLateGrants()
	w.disturb()
	w.restoreStore()
	w.elect()
	var kept []*simManager
	for _, manager := range w.active {
		if manager.cutAt != 0 && w.now > manager.cutAt+w.authority {
			w.retiring = append(w.retiring, manager)
			continue
		}
		kept = append(kept, manager)
		w.drive(manager)
	}
	w.active = kept
	w.retire()
	w.check()
}

// retire lets managers that send no orders any more say so.
func (w *world) retire() {
	var kept []*simManager
	for _, manager := range w.retiring {
		if w.now <= manager.core.LateOrdersUntil() {
			kept = append(kept, manager)
			continue
		}
		w.ended[manager.process] = true
	}
	w.retiring = kept
}

func (w *world) drive(manager *simManager) {
	results := manager.results
	manager.results = nil
	for _, result := range results {
		result()
	}
	var servers []shards.Server
	for _, s := range w.servers {
		// A server that is cut off or dead has left the list.
		servers = append(servers, shards.Server{ID: s.id, Address: string(s.id), Capacity: 2, Accepting: s.up && s.reachable && !s.leaving})
	}
	manager.core.SetServers(servers, w.knownDead())
	if manager == w.holder() {
		manager.core.AuthorsOver(w.now, func(author shards.Author) bool {
			return w.ended[author.Process] || author.Process == manager.process
		})
	}
	manager.core.Start()
	commands := manager.core.Tick(w.now)
	for _, grant := range commands.Grants {
		w.send(manager, grant)
	}
	for _, release := range commands.Releases {
		w.release(manager, release)
	}
	if commands.Commit != nil {
		w.commit(manager, commands.Commit.Map)
	}
}

func (w *world) commit(manager *simManager, written *shards.Map) {
	if manager != w.holder() {
		return
	}
	w.store(manager, written)
	answerLost := w.chance(50)
	manager.results = append(manager.results, func() {
		// A manager that has lost the store may never learn that it was done.
		if manager.cutAt == 0 || !answerLost {
			manager.core.Committed(w.now)
		}
	})
}

func (w *world) server(id discovery.ServerID) *simServer {
	for _, s := range w.servers {
		if s.id == id {
			return s
		}
	}
	return nil
}

func (w *world) send(manager *simManager, grant shards.Grant) {
	target := w.server(grant.Owner)
	sentAt := w.now
	outcome := shards.Accepted
	switch {
	case !target.up, !target.reachable:
		outcome = shards.Broken
		// A one-way cut: the order arrives and its answer does not.
		if target.up && w.chance(20) {
			w.take(target, grant)
		}
	case target.lateOrders && w.chance(50):
		outcome = shards.Unanswered
		delay := w.leastLate + time.Duration(w.random.Int64N(int64(w.mostLate-w.leastLate)))
		w.late = append(w.late, lateGrant{at: w.now + delay, server: target, grant: grant})
	default:
		if !w.take(target, grant) {
			outcome = shards.Superseded
		}
	}
	manager.results = append(manager.results, func() {
		manager.core.GrantDone(w.now, shards.GrantResult{Grant: grant, SentAt: sentAt, Outcome: outcome})
	})
}

func (w *world) takeLateGrants() {
	var kept []lateGrant
	for _, late := range w.late {
		if w.now < late.at {
			kept = append(kept, late)
			continue
		}
		if late.server.up {
			w.take(late.server, late.grant)
		}
	}
	w.late = kept
}

// take is a server's answer to a grant: it refuses fences below those it has seen.
func (w *world) take(server *simServer, grant shards.Grant) bool {
	for index := range sampledKeys {
		if key := sampledKey(index); key >= grant.First && key <= grant.Last && server.seen[index] > grant.Fence {
			return false
		}
	}
	for index := range sampledKeys {
		if key := sampledKey(index); key < grant.First || key > grant.Last {
			continue
		}
		for other, fence := range w.highest[index] {
			if other != server.id && fence >= grant.Fence {
				w.violate("at %v: %s takes key %d under fence %d, but %s held it under %d", w.now, server.id, sampledKey(index), grant.Fence, other, fence)
			}
		}
		w.highest[index][server.id] = grant.Fence
		server.seen[index] = grant.Fence
		const slowClock = 1.02
		server.holds[index] = hold{fence: grant.Fence, expires: w.now + time.Duration(float64(grant.Hold)*slowClock)}
	}
	return true
}

func (w *world) release(manager *simManager, release shards.Release) {
	target := w.server(release.Owner)
	if !target.up || !target.reachable || (target.lateOrders && w.chance(50)) {
		return
	}
	for index := range sampledKeys {
		if key := sampledKey(index); key >= release.First && key <= release.Last {
			target.seen[index] = max(target.seen[index], release.Fence)
			target.holds[index] = hold{}
		}
	}
	manager.results = append(manager.results, func() {
		manager.core.ReleaseDone(shards.ReleaseResult{Release: release, Outcome: shards.Accepted})
	})
}

func (w *world) check() {
	for index := range sampledKeys {
		var holders []discovery.ServerID
		for _, s := range w.servers {
			if s.up && s.holds[index].expires > w.now {
				holders = append(holders, s.id)
			}
		}
		if len(holders) > 1 {
			w.violate("at %v: key %d is held by %v", w.now, sampledKey(index), holders)
		}
	}
}

func (w *world) violate(format string, values ...any) {
	if w.violation == "" {
		w.violation = fmt.Sprintf(format, values...)
	}
}

var simulationRuns = flag.Uint64("simulation.runs", 300, "runs of the ownership simulation")

const simulationSteps = 1200

// firstViolation runs the simulation with many seeds and returns the first broken
// promise, or an empty string.
func firstViolation(runs uint64, options shards.Options) string {
	return firstViolationWith(runs, options, restores{})
}

func firstViolationWith(runs uint64, options shards.Options, how restores) string {
	for seed := range runs {
		w := newWorld(seed, options)
		w.restores = how
		if how.quick {
			w.authority, w.leastLate, w.mostLate = quickAuthority, quickLate/4, quickLate
		}
		for range simulationSteps {
			w.tick()
			if w.violation != "" {
				return fmt.Sprintf("seed %d %s", seed, w.violation)
			}
		}
	}
	return ""
}

func TestNoKeyHasTwoHolders(t *testing.T) {
	if violation := firstViolation(*simulationRuns, shards.DefaultOptions()); violation != "" {
		t.Fatal(violation)
	}
}

// Each weakened protocol must be caught, or the simulation shows nothing.
func TestWeakenedProtocolsAreCaught(t *testing.T) {
	weaken := map[string]func(*shards.Options){
		"late orders are not waited for": func(o *shards.Options) { o.LateOrder = 0 },
		"earlier managers are not waited for": func(o *shards.Options) {
			o.PreviousAuthority = 0
			o.LateOrder = time.Second
		},
		"server clocks are taken to be fast": func(o *shards.Options) { o.Drift = 0.8 },
	}
	for name, change := range weaken {
		t.Run(name, func(t *testing.T) {
			options := shards.DefaultOptions()
			change(&options)
			if firstViolation(*simulationRuns, options) == "" {
				t.Fatalf("no violation in %d runs", *simulationRuns)
			}
		})
	}
}
