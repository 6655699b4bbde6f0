// Package soak runs real router processes on one machine against stand-ins of the
// platform, injects random faults from outside the processes (signals, loopback
// links, the stand-ins), and checks the router's promises from what callers and
// servers see.
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

// Options describe one soak.
type Options struct {
	// Router is the path of the router's program.
	Router string
	// Folder takes the settings and logs of the processes.
	Folder string
	Seed   uint64
	Nodes  int
	// Length is for how long faults are injected.
	Length time.Duration
	// Planned plays the operator's planned work, beside servers that misbehave,
	// instead of random faults, with clients that account for each request.
	Planned bool
	// Needs makes servers ask for limits, rest and an end in their answers, and crash of
	// some requests, beside the random faults.
	Needs bool
	// Restores makes the store come back from older copies of itself, beside the random faults.
	Restores bool
	Output   io.Writer
}

// Result is what a soak saw.
type Result struct {
	Seed             uint64
	Faults           int
	Requests, Served int
	// Processes is how many router processes ran at the same time, and Started how
	// many were started in all.
	Processes, Started int
	// Lost is how many requests were lost in planned work, LongestStop the longest
	// time that a stopping node took, and Ends counts how requests ended; only
	// planned work has them.
	Lost int
	// Kept counts answers of stopping nodes that did not ask for another connection.
	Kept        int
	LongestStop time.Duration
	Ends        map[string]int
	// Excused are the stories of requests that ended without an answer and are not
	// counted as lost.
	Excused []string
	// ServedAfter is the part of the requests that were served at the end, with no
	// faults.
	ServedAfter float64
	// Breaches are the promises that were seen broken.
	Breaches []string
}

const (
	startPatience = 20 * time.Second
	// recoverPatience is how long after the last fault everything must be served
	// again: a new manager may have to wait for late orders of one that died, and
	// then for the hold of their grants (13 s and 5.2 s).
	recoverPatience = 20 * time.Second
	finalTime       = 3 * time.Second
	// leastServedAfter is the part of the requests that must be served once all
	// faults are gone.
	leastServedAfter = 0.95
	maxBreaches      = 50
)

// load is what sends requests.
type load interface {
	// run sends requests until the context ends.
	run(ctx context.Context, seed uint64)
	// results returns what was seen of the requests that have ended.
	results() []outcome
}

type soak struct {
	options Options
	nodes   []*Node
	world   *world
	clients load
	// pooled are the clients of planned work; nil otherwise.
	pooled  *pooledClients
	history faultHistory
	stalls  stallWatch
	copies  copies
	started time.Time
	// cold counts the requests at cold servers, and needs those at servers that ask for
	// something. Only watch uses them.
	cold  lastSecond
	needs needsWatch

	mutex    sync.Mutex
	breaches []string
}

// Run runs one soak. Its error means that the soak itself could not run.
func Run(options Options) (*Result, error) {
	world, err := newWorld(options.Nodes)
	if err != nil {
		return nil, err
	}
	defer world.close()
	s := &soak{options: options, world: world, started: time.Now(), cold: make(lastSecond)}
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
	s.waitReady(startPatience)
	return s.play(), nil
}

// stopNodes stops all nodes at the same time.
func (s *soak) stopNodes() {
	var group sync.WaitGroup
	for _, n := range s.nodes {
		group.Go(n.Stop)
	}
	group.Wait()
}

func (s *soak) play() *Result {
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { s.clients.run(ctx, s.options.Seed) })
	group.Go(func() { s.watch(ctx) })
	group.Go(func() { s.stalls.run(ctx.Done()) })
	if s.options.Restores {
		group.Go(func() { s.copies.run(ctx, s.world.store) })
	}
	if s.options.Planned {
		s.waitOwned(startPatience)
	}
	random := rand.New(rand.NewPCG(s.options.Seed, 0))
	count, recovery := 0, recoverPatience
	if s.options.Planned {
		count, recovery = s.planWork(random, s.options.Length), plannedRecovery
	} else {
		count = s.inject(random, s.kinds(), s.options.Length)
	}
	s.world.heal()
	s.waitReady(startPatience)
	time.Sleep(recovery)
	before := len(s.clients.results())
	time.Sleep(finalTime)
	after := s.clients.results()[before:]
	cancel()
	group.Wait()
	return s.result(count, after)
}

func (s *soak) result(count int, after []outcome) *Result {
	result := &Result{Seed: s.options.Seed, Faults: count, Processes: len(s.nodes)}
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
		if seen.unjudged {
			continue
		}
		counted++
		if seen.status == http.StatusOK {
			served++
		}
	}
	result.ServedAfter = float64(served) / float64(max(1, counted))
	if result.ServedAfter < leastServedAfter {
		s.breach("after all faults %d of %d requests were served", served, counted)
	}
	for _, text := range s.world.ledger.Breaches() {
		s.breach("ownership: %s", text)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	result.Breaches = append([]string(nil), s.breaches...)
	return result
}

// waitReady waits until all nodes say that they are ready.
func (s *soak) waitReady(patience time.Duration) {
	for _, n := range s.nodes {
		s.waitNodeReady(n, patience)
	}
}

// waitNodeReady waits until a node says that it is ready.
func (s *soak) waitNodeReady(n *Node, patience time.Duration) {
	const pause = 50 * time.Millisecond
	for deadline := time.Now().Add(patience); !ready(n); time.Sleep(pause) {
		if time.Now().After(deadline) {
			s.breach("%s is not ready after %v", n.Name, patience)
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

func (s *soak) note(format string, arguments ...any) {
	fmt.Fprintf(s.options.Output, "%7.2f s  %s\n", time.Since(s.started).Seconds(), fmt.Sprintf(format, arguments...))
}

// breach notes a broken promise.
func (s *soak) breach(format string, arguments ...any) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if len(s.breaches) >= maxBreaches {
		return
	}
	text := fmt.Sprintf("%.2f s: %s", time.Since(s.started).Seconds(), fmt.Sprintf(format, arguments...))
	s.breaches = append(s.breaches, text)
	fmt.Fprintf(s.options.Output, "BROKEN %s\n", text)
}
