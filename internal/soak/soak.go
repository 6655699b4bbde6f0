// Package soak runs real router processes on one machine against stand-ins of the
// platform, injects random faults from outside the processes (signals, loopback
// proxies, the stand-ins), and checks the router's guarantees against what clients and
// servers observe.
package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/micahaven/micahaven/platform/standin"
)

// Options configures a soak run.
type Options struct {
	// Router is the path of the router's executable.
	Router string
	// Folder receives the settings and logs of the processes.
	Folder string
	Seed   uint64
	Nodes  int
	// Length is the time during which faults are injected.
	Length time.Duration
	// Planned runs planned operations (restarts, drains, configuration changes) while
	// servers misbehave, instead of random faults, with clients that account for each request.
	Planned bool
	// Needs makes servers signal rate limits, backoff and draining in their responses, and
	// crash on some requests, in addition to the random faults.
	Needs bool
	// Restores restores the store from older snapshots, in addition to the random faults.
	Restores bool
	// Restarts restarts servers under their IDs and separates servers from their entries, in
	// addition to the random faults.
	Restarts bool
	// Managers aims at the managers of the service sharded by key, in addition to the faults of
	// Restarts and, if that is set too, of Restores.
	Managers bool
	// Drills restores the store while nodes are killed and a server that was added after the
	// snapshot is cut off from the store, in addition to the random faults. It excludes the other
	// options.
	Drills bool
	Output io.Writer
}

// Result is the outcome of a soak run.
type Result struct {
	Seed   uint64
	Faults int
	// Drills is the number of drills beside the faults.
	Drills           int
	Requests, Served int
	// Processes is the number of router processes that ran concurrently, and Started the
	// total number of starts.
	Processes, Started int
	// Lost is the number of requests lost in planned work, LongestStop the longest time
	// that a node took to shut down, and Ends counts requests by how they ended. Only
	// planned work sets them.
	Lost int
	// Kept counts responses of stopping nodes that did not close the connection.
	Kept        int
	LongestStop time.Duration
	Ends        map[string]int
	// Excused describes the requests that ended without a response and are not counted as
	// lost.
	Excused []string
	// ServedAfter is the fraction of requests served at the end of the run, without faults.
	ServedAfter float64
	// Crashing describes the requests that crashed servers.
	Crashing []string
	// Breaches lists the violated guarantees.
	Breaches []string
}

const (
	startTimeout = 20 * time.Second
	// recoveryTime is how long after the last fault all requests must be served again: a
	// new manager may have to wait until delayed grants of a failed one can no longer
	// arrive (13 s), and then until the leases of these grants expire (5.2 s).
	recoveryTime = 20 * time.Second
	// suspensionRecovery is the same for a manager that was suspended while the store was restored:
	// it retires 13 s after it continued, and only then do the 13 s and the leases begin.
	suspensionRecovery = 33 * time.Second
	finalWindow        = 3 * time.Second
	// minServedAfter is the fraction of requests that must be served once all faults are
	// cleared.
	minServedAfter = 0.95
	maxViolations  = 50
)

// loadGenerator sends requests to the nodes.
type loadGenerator interface {
	// run sends requests until the context is done.
	run(ctx context.Context, seed uint64)
	// results returns the outcomes of the finished requests.
	results() []outcome
}

type soak struct {
	options Options
	nodes   []*Node
	world   *world
	clients loadGenerator
	// pooled are the clients of planned work; nil otherwise.
	pooled         *pooledClients
	history        faultHistory
	stalls         stallWatch
	storeSnapshots storeSnapshots
	started        time.Time
	// drills is the number of completed drills, and quiet is held by those beside which no random
	// fault begins.
	drills int
	quiet  sync.Mutex
	// coldArrivals counts requests at servers that are warming up, and signals those at
	// servers that signal backpressure. Both are used by watch only, without a lock.
	coldArrivals arrivalWindow
	signals      backpressureWatch

	mutex sync.Mutex
	// lastManager is the node that was last seen to hold the manager lock of the divided service.
	lastManager *Node
	violations  []string
	crashing    []string
}

// Run executes one soak run. A non-nil error means that the run itself failed; violated
// guarantees are in the Result.
func Run(options Options) (*Result, error) {
	world, err := newWorld(options.Nodes)
	if err != nil {
		return nil, err
	}
	defer world.close()
	s := &soak{options: options, world: world, started: time.Now(), coldArrivals: make(arrivalWindow)}
	defer s.stopNodes()
	for index := range options.Nodes {
		n, err := NewNode(options.Router, options.Folder, index, world.store.Address)
		if err != nil {
			return nil, err
		}
		s.nodes = append(s.nodes, n)
		if err := n.Start(); err != nil {
			return nil, err
		}
	}
	s.clients = &clients{nodes: s.nodes}
	if options.Planned {
		s.pooled = &pooledClients{nodes: s.nodes}
		s.clients = s.pooled
	}
	s.waitReady(startTimeout)
	return s.runPhases(), nil
}

// stopNodes stops all nodes concurrently.
func (s *soak) stopNodes() {
	var group sync.WaitGroup
	for _, n := range s.nodes {
		group.Go(n.Stop)
	}
	group.Wait()
}

func (s *soak) runPhases() *Result {
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { s.clients.run(ctx, s.options.Seed) })
	group.Go(func() { s.watch(ctx) })
	group.Go(func() { s.watchOwners(ctx) })
	group.Go(func() { s.stalls.run(ctx.Done()) })
	if s.options.Restores || s.options.Drills {
		group.Go(func() { s.storeSnapshots.run(ctx, s.world.store) })
	}
	if s.options.Planned {
		s.waitOwned(startTimeout)
	}
	random := rand.New(rand.NewPCG(s.options.Seed, 0))
	count, recovery := 0, recoveryTime
	if s.options.Managers && s.options.Restores {
		recovery = suspensionRecovery
	}
	switch {
	case s.options.Planned:
		count, recovery = s.runPlannedWork(random, s.options.Length), plannedRecovery
	case s.options.Drills:
		recovery = suspensionRecovery
		count, s.drills = s.injectWithDrills(random)
	default:
		count = s.inject(random, s.kinds(), s.options.Length)
	}
	s.world.clearFaults()
	s.waitReady(startTimeout)
	time.Sleep(recovery)
	before := len(s.clients.results())
	time.Sleep(finalWindow)
	after := s.clients.results()[before:]
	cancel()
	group.Wait()
	return s.result(count, after)
}

func (s *soak) result(count int, after []outcome) *Result {
	result := &Result{Seed: s.options.Seed, Faults: count, Drills: s.drills, Processes: len(s.nodes)}
	for _, n := range s.nodes {
		result.Started += n.Starts()
	}
	if s.pooled != nil {
		s.checkPlannedWork(result)
	}
	for _, seen := range s.clients.results() {
		result.Requests++
		if seen.status == http.StatusOK {
			result.Served++
		}
		s.checkOutcome(seen)
	}
	served, counted := 0, 0
	for _, seen := range after {
		if seen.excluded {
			continue
		}
		counted++
		if seen.status == http.StatusOK {
			served++
		}
	}
	result.ServedAfter = float64(served) / float64(max(1, counted))
	if result.ServedAfter < minServedAfter {
		s.recordViolation("after all faults %d of %d requests were served", served, counted)
	}
	for _, text := range s.world.ledger.Breaches() {
		s.recordViolation("ownership: %s", text)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	result.Crashing = append([]string(nil), s.crashing...)
	result.Breaches = append([]string(nil), s.violations...)
	return result
}

// waitReady waits until all nodes report ready.
func (s *soak) waitReady(timeout time.Duration) {
	for _, n := range s.nodes {
		s.waitNodeReady(n, timeout)
	}
}

// waitNodeReady waits until a node reports ready and records a violation on timeout.
func (s *soak) waitNodeReady(n *Node, timeout time.Duration) {
	const pause = 50 * time.Millisecond
	for deadline := time.Now().Add(timeout); !ready(n); time.Sleep(pause) {
		if time.Now().After(deadline) {
			s.recordViolation("%s did not become ready within %v", n.Name, timeout)
			return
		}
	}
}

func ready(n *Node) bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + n.Ready + standin.ReadyPath)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (s *soak) logf(format string, arguments ...any) {
	fmt.Fprintf(s.options.Output, "%7.2f s  %s\n", time.Since(s.started).Seconds(), fmt.Sprintf(format, arguments...))
}

// recordViolation records and logs a violated guarantee, up to maxViolations.
func (s *soak) recordViolation(format string, arguments ...any) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if len(s.violations) >= maxViolations {
		return
	}
	text := fmt.Sprintf("%.2f s: %s", time.Since(s.started).Seconds(), fmt.Sprintf(format, arguments...))
	s.violations = append(s.violations, text)
	fmt.Fprintf(s.options.Output, "BROKEN %s\n", text)
}
