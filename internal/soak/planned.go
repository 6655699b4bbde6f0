package soak

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/micahaven/micahaven/platform/standin"
)

const (
	// plannedRecovery is how long after planned work all requests must be served again. It
	// is shorter than recoveryTime since no manager has to wait for another one's grants.
	plannedRecovery = 6 * time.Second
	// minStep and maxStep bound the time between the SIGTERMs of two nodes, and
	// maxSeriesTime the time between the first and the last of a series.
	minStep, maxStep = 100 * time.Millisecond, 900 * time.Millisecond
	maxSeriesTime    = 6 * time.Second
	// maxReloadLead and maxReloadDelay bound how long before and after SIGTERM a SIGHUP is
	// sent.
	maxReloadLead, maxReloadDelay = 50 * time.Millisecond, 300 * time.Millisecond
	// maxSecondTermDelay bounds how long after the first SIGTERM a second one is sent.
	maxSecondTermDelay = 3 * time.Second
	maxSeriesPause     = time.Second
	maxWorkPause       = 1500 * time.Millisecond
	// maxStoreFault bounds how much longer than minFault a store fault lasts.
	maxStoreFault = 2 * time.Second
	// serverFaultLead is how long servers misbehave before the first node gets SIGTERM.
	serverFaultLead = 300 * time.Millisecond
	// faultyServerShare is the fraction of the candidate servers that misbehave in a series.
	faultyServerShare = 0.5
)

// series is a unit of planned work: a rolling restart of half of the nodes, which overlap
// in their shutdown, with other operations running concurrently.
type series struct {
	// responseFault and slow describe the faults of some servers.
	responseFault standin.Trouble
	slow          bool
	// step is the time between the restarts of two nodes.
	step time.Duration
	// reloadBefore and reloadAfter send SIGHUP with changed settings around SIGTERM.
	reloadBefore, reloadAfter, secondTerm bool
	// configurations is the number of configuration changes, and drains the number of
	// drained servers, during the series.
	configurations, drains int
	// store is the fault of the store during a part of the series; nil if there is none.
	store *fault
}

// drawSeries draws the parameters of the series with a number. The server faults are used in
// turn, so that a short run covers each of them.
func drawSeries(random *rand.Rand, number, restarts int) series {
	responseFaults := []standin.Trouble{standin.Hangs, standin.NoTrouble, standin.LosesAnswer, standin.Hangs, standin.ResetsAnswer}
	coin := func() bool { return random.IntN(2) == 0 }
	step := minStep + time.Duration(random.Int64N(int64(maxStep-minStep)))
	drawn := series{
		responseFault: responseFaults[number%len(responseFaults)], step: min(step, maxSeriesTime/time.Duration(max(1, restarts))),
		reloadBefore: coin(), reloadAfter: coin(), secondTerm: coin(),
		configurations: random.IntN(4), drains: random.IntN(3),
	}
	drawn.slow = drawn.responseFault == standin.NoTrouble
	if coin() {
		drawn.store = &storeFaults[random.IntN(len(storeFaults))]
	}
	return drawn
}

func (p series) String() string {
	text := []string{fmt.Sprintf("a node every %v", p.step.Round(time.Millisecond)), "servers: " + p.responseFault.String()}
	named := []struct {
		name string
		is   bool
	}{{"slow servers", p.slow}, {"SIGHUP before", p.reloadBefore}, {"SIGHUP after", p.reloadAfter}, {"second SIGTERM", p.secondTerm}}
	for _, one := range named {
		if one.is {
			text = append(text, one.name)
		}
	}
	if p.store != nil {
		text = append(text, p.store.name)
	}
	return strings.Join(append(text, fmt.Sprintf("%d configurations, %d drains", p.configurations, p.drains)), ", ")
}

// runPlannedWork runs series for the given length and returns their number.
func (s *soak) runPlannedWork(random *rand.Rand, length time.Duration) int {
	count := 0
	for end := time.Now().Add(length); time.Now().Before(end); count++ {
		restarts := max(1, len(s.nodes)/2)
		drawn := drawSeries(random, count, restarts)
		chosen := random.Perm(len(s.nodes))[:restarts]
		s.logf("series %d: restart %v: %s", count, chosen, drawn)
		s.runSeries(drawn, chosen, random)
		time.Sleep(time.Duration(random.Int64N(int64(maxSeriesPause))))
	}
	return count
}

// waitOwned waits until all keys are owned by servers, so that planned work starts on a
// running system.
func (s *soak) waitOwned(timeout time.Duration) {
	const pause = 50 * time.Millisecond
	for deadline := time.Now().Add(timeout); !s.world.owned(); time.Sleep(pause) {
		if time.Now().After(deadline) {
			s.recordViolation("some keys have no owner after %v", timeout)
			return
		}
	}
}

// runSeries runs one series. Each concurrent part gets its own generator, drawn in a fixed
// order, so that its random numbers do not depend on the scheduling of the others.
func (s *soak) runSeries(drawn series, chosen []int, random *rand.Rand) {
	clearServerFaults := s.injectServerFaults(drawn, random)
	time.Sleep(serverFaultLead)
	var group sync.WaitGroup
	store := rand.New(rand.NewPCG(random.Uint64(), random.Uint64()))
	group.Go(func() { s.injectStoreFault(drawn.store, store) })
	middle := rand.New(rand.NewPCG(random.Uint64(), random.Uint64()))
	group.Go(func() { s.runOperatorWork(drawn, middle) })
	for _, index := range chosen {
		own := rand.New(rand.NewPCG(random.Uint64(), random.Uint64()))
		group.Go(func() { s.restartPlanned(s.nodes[index], drawn, own) })
		time.Sleep(drawn.step)
	}
	group.Wait()
	clearServerFaults()
}

// restartPlanned restarts one node as an operator's tooling does and waits until it is ready.
func (s *soak) restartPlanned(n *Node, drawn series, random *rand.Rand) {
	defer s.history.begin("restart of %s", n.Name)()
	before, after, second := randomBelow(random, maxReloadLead), randomBelow(random, maxReloadDelay), randomBelow(random, maxSecondTermDelay)
	if drawn.reloadBefore {
		s.reload(n, random)
		time.Sleep(before)
	}
	n.Signal(syscall.SIGTERM)
	signalled := time.Now()
	if drawn.reloadAfter {
		time.Sleep(after)
		s.reload(n, random)
	}
	if drawn.secondTerm {
		time.Sleep(time.Until(signalled.Add(second)))
		if !n.Ended() {
			n.Signal(syscall.SIGTERM)
		}
	}
	s.restart(n)
	s.waitNodeReady(n, startTimeout)
}

func randomBelow(random *rand.Rand, limit time.Duration) time.Duration {
	return time.Duration(random.Int64N(int64(limit)))
}

// reload changes a node's settings and sends it SIGHUP.
func (s *soak) reload(n *Node, random *rand.Rand) {
	values := reloadable{
		drain:      initialSettings.drain + randomBelow(random, time.Second) - time.Second,
		retrySlack: initialSettings.retrySlack + random.IntN(initialSettings.retrySlack),
	}
	if err := n.writeSettings(values); err != nil {
		s.recordViolation("change settings of %s: %v", n.Name, err)
		return
	}
	if !n.Ended() {
		n.Signal(syscall.SIGHUP)
	}
}

// runOperatorWork changes the configuration and drains servers during a series.
func (s *soak) runOperatorWork(drawn series, random *rand.Rand) {
	var group sync.WaitGroup
	for range drawn.configurations {
		time.Sleep(randomBelow(random, maxWorkPause))
		end := s.history.begin("configuration changes")
		s.world.configure()
		end()
	}
	for range drawn.drains {
		time.Sleep(randomBelow(random, maxWorkPause))
		leaving := s.server(random)
		if leaving == nil {
			continue
		}
		group.Go(func() { s.drainServer(leaving) })
	}
	group.Wait()
}

// injectStoreFault injects a store fault for a limited time. A nil fault is ignored.
func (s *soak) injectStoreFault(chosen *fault, random *rand.Rand) {
	if chosen == nil {
		return
	}
	time.Sleep(randomBelow(random, maxWorkPause))
	defer s.history.begin("%s", chosen.name)()
	end := chosen.begin(s, random)
	time.Sleep(minFault + randomBelow(random, maxStoreFault))
	end()
}

// drainServer starts a replacement for a server, drains it, and stops it.
func (s *soak) drainServer(draining *server) {
	defer s.history.begin("drain of server %s", draining.ID)()
	s.replace(draining.Service)
	s.world.drain(draining)
	time.Sleep(drainTime)
	draining.Forget()
	draining.Stop()
}

// injectServerFaults makes some of the servers misbehave and returns the function that ends
// it.
func (s *soak) injectServerFaults(drawn series, random *rand.Rand) (end func()) {
	var faulty []*server
	var endSpans []func()
	live := s.world.live(standin.PlainService)
	live = append(live, s.world.live(standin.DividedService)[:1]...)
	for range int(faultyServerShare * float64(len(live))) {
		index := random.IntN(len(live))
		chosen := live[index]
		live = append(live[:index], live[index+1:]...)
		faults := standin.Faults{Work: serviceTime, Trouble: drawn.responseFault}
		name := "server " + chosen.ID + " " + drawn.responseFault.String()
		if drawn.slow {
			faults.Work = slowServiceTime
			name = "server " + chosen.ID + " is slow"
		}
		chosen.SetFaults(faults)
		faulty = append(faulty, chosen)
		endSpans = append(endSpans, s.history.begin("%s", name))
	}
	return func() {
		for index, chosen := range faulty {
			chosen.SetFaults(standin.Faults{Work: serviceTime})
			endSpans[index]()
		}
	}
}
