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
	// plannedRecovery is how long after planned work everything must be served again:
	// no manager has to wait for another one's grants.
	plannedRecovery = 6 * time.Second
	// leastStep and mostStep bound the time between two nodes that are told to stop,
	// and rollingTime the time between the first and the last of a series.
	leastStep, mostStep = 100 * time.Millisecond, 900 * time.Millisecond
	rollingTime         = 6 * time.Second
	// mostBeforeTerm and mostAfterTerm bound how far a SIGHUP is from the SIGTERM.
	mostBeforeTerm, mostAfterTerm = 50 * time.Millisecond, 300 * time.Millisecond
	// mostToSecondTerm bounds when a second SIGTERM comes.
	mostToSecondTerm = 3 * time.Second
	mostSeriesPause  = time.Second
	mostMiddlePause  = 1500 * time.Millisecond
	// mostStoreFault bounds how long the store is away, beyond minFault.
	mostStoreFault = 2 * time.Second
	// troubleLead is how long servers misbehave before the first node is told to stop.
	troubleLead = 300 * time.Millisecond
	// troubledShare is the part of the plain servers that misbehave in a series.
	troubledShare = 0.5
)

// series is a piece of planned work: half of the nodes are restarted one after the
// other while the first are still stopping, and other work goes on meanwhile.
type series struct {
	// trouble and slow are what is wrong with some servers.
	trouble standin.Trouble
	slow    bool
	// step is the time between two nodes.
	step time.Duration
	// reloadBefore and reloadAfter send SIGHUP with changed settings around SIGTERM.
	reloadBefore, reloadAfter, secondTerm bool
	// configurations and drains are how often the configuration changes and how many
	// servers are drained meanwhile.
	configurations, drains int
	// store is what is wrong with the store for a part of the series; nil if nothing.
	store *fault
}

// drawSeries draws the series with a number. The troubles come in turn, so that each
// comes in a short soak.
func drawSeries(random *rand.Rand, number, restarts int) series {
	troubles := []standin.Trouble{standin.Hangs, standin.NoTrouble, standin.LosesAnswer, standin.Hangs, standin.ResetsAnswer}
	coin := func() bool { return random.IntN(2) == 0 }
	step := leastStep + time.Duration(random.Int64N(int64(mostStep-leastStep)))
	drawn := series{
		trouble: troubles[number%len(troubles)], step: min(step, rollingTime/time.Duration(max(1, restarts))),
		reloadBefore: coin(), reloadAfter: coin(), secondTerm: coin(),
		configurations: random.IntN(4), drains: random.IntN(3),
	}
	drawn.slow = drawn.trouble == standin.NoTrouble
	if coin() {
		drawn.store = &storeFaults[random.IntN(len(storeFaults))]
	}
	return drawn
}

func (p series) String() string {
	text := []string{fmt.Sprintf("a node every %v", p.step.Round(time.Millisecond)), "servers: " + p.trouble.String()}
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

// planWork plays series until the length is over and returns how many there were.
func (s *soak) planWork(random *rand.Rand, length time.Duration) int {
	count := 0
	for end := time.Now().Add(length); time.Now().Before(end); count++ {
		restarts := max(1, len(s.nodes)/2)
		drawn := drawSeries(random, count, restarts)
		chosen := random.Perm(len(s.nodes))[:restarts]
		s.note("series %d: restart %v: %s", count, chosen, drawn)
		s.playSeries(drawn, chosen, random)
		time.Sleep(time.Duration(random.Int64N(int64(mostSeriesPause))))
	}
	return count
}

// waitOwned waits until servers own the keys, so that planned work begins in a system
// that is up.
func (s *soak) waitOwned(patience time.Duration) {
	const pause = 50 * time.Millisecond
	for deadline := time.Now().Add(patience); !s.world.owned(); time.Sleep(pause) {
		if time.Now().After(deadline) {
			s.breach("keys have no owner after %v", patience)
			return
		}
	}
}

// playSeries plays one series. All random numbers are drawn in one order, whatever
// happens at the same time.
func (s *soak) playSeries(drawn series, chosen []int, random *rand.Rand) {
	endTrouble := s.troubleServers(drawn, random)
	time.Sleep(troubleLead)
	var group sync.WaitGroup
	store := rand.New(rand.NewPCG(random.Uint64(), random.Uint64()))
	group.Go(func() { s.troubleStore(drawn.store, store) })
	middle := rand.New(rand.NewPCG(random.Uint64(), random.Uint64()))
	group.Go(func() { s.workMeanwhile(drawn, middle) })
	for _, index := range chosen {
		own := rand.New(rand.NewPCG(random.Uint64(), random.Uint64()))
		group.Go(func() { s.restartPlanned(s.nodes[index], drawn, own) })
		time.Sleep(drawn.step)
	}
	group.Wait()
	endTrouble()
}

// restartPlanned restarts one node as an operator's tools do and waits until it is
// ready.
func (s *soak) restartPlanned(n *Node, drawn series, random *rand.Rand) {
	defer s.history.begin("restart of %s", n.Name)()
	before, after, second := upTo(random, mostBeforeTerm), upTo(random, mostAfterTerm), upTo(random, mostToSecondTerm)
	if drawn.reloadBefore {
		s.reload(n, random)
		time.Sleep(before)
	}
	n.Signal(syscall.SIGTERM)
	told := time.Now()
	if drawn.reloadAfter {
		time.Sleep(after)
		s.reload(n, random)
	}
	if drawn.secondTerm {
		time.Sleep(time.Until(told.Add(second)))
		if !n.Ended() {
			n.Signal(syscall.SIGTERM)
		}
	}
	s.restart(n)
	s.waitNodeReady(n, startPatience)
}

func upTo(random *rand.Rand, most time.Duration) time.Duration {
	return time.Duration(random.Int64N(int64(most)))
}

// reload changes a node's settings and tells it to read them.
func (s *soak) reload(n *Node, random *rand.Rand) {
	values := changeable{
		drain:      firstSettings.drain + upTo(random, time.Second) - time.Second,
		retrySlack: firstSettings.retrySlack + random.IntN(firstSettings.retrySlack),
	}
	if err := n.writeSettings(values); err != nil {
		s.breach("settings of %s: %v", n.Name, err)
		return
	}
	if !n.Ended() {
		n.Signal(syscall.SIGHUP)
	}
}

// workMeanwhile changes the configuration and drains servers.
func (s *soak) workMeanwhile(drawn series, random *rand.Rand) {
	var group sync.WaitGroup
	for range drawn.configurations {
		time.Sleep(upTo(random, mostMiddlePause))
		end := s.history.begin("configuration changes")
		s.world.configure()
		end()
	}
	for range drawn.drains {
		time.Sleep(upTo(random, mostMiddlePause))
		leaving := s.server(random)
		if leaving == nil {
			continue
		}
		group.Go(func() { s.drainServer(leaving) })
	}
	group.Wait()
}

// troubleStore injects a fault of the store for a while.
func (s *soak) troubleStore(chosen *fault, random *rand.Rand) {
	if chosen == nil {
		return
	}
	time.Sleep(upTo(random, mostMiddlePause))
	defer s.history.begin("%s", chosen.name)()
	end := chosen.begin(s, random)
	time.Sleep(minFault + upTo(random, mostStoreFault))
	end()
}

// drainServer replaces a server, lets it leave, and ends it.
func (s *soak) drainServer(leaving *server) {
	defer s.history.begin("drain of server %s", leaving.ID)()
	s.replace(leaving.Service)
	s.world.leave(leaving)
	time.Sleep(goneAfter)
	leaving.Forget()
	leaving.Stop()
}

// troubleServers makes some of the servers misbehave and returns what ends that.
func (s *soak) troubleServers(drawn series, random *rand.Rand) (end func()) {
	var troubled []*server
	var spans []func()
	live := s.world.live(standin.PlainService)
	live = append(live, s.world.live(standin.DividedService)[:1]...)
	for range int(troubledShare * float64(len(live))) {
		index := random.IntN(len(live))
		chosen := live[index]
		live = append(live[:index], live[index+1:]...)
		faults := standin.Faults{Work: serverWork, Trouble: drawn.trouble}
		name := "server " + chosen.ID + " " + drawn.trouble.String()
		if drawn.slow {
			faults.Work = slowWork
			name = "server " + chosen.ID + " is slow"
		}
		chosen.SetFaults(faults)
		troubled = append(troubled, chosen)
		spans = append(spans, s.history.begin("%s", name))
	}
	return func() {
		for index, chosen := range troubled {
			chosen.SetFaults(standin.Faults{Work: serverWork})
			spans[index]()
		}
	}
}
