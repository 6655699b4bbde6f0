package soak

import (
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/micahaven/micahaven/internal/topo/memory"
	"github.com/micahaven/micahaven/platform/standin"
)

const (
	minFault, maxFault = 300 * time.Millisecond, 5 * time.Second
	stopPatience       = 8 * time.Second
	// goneAfter is how long a leaving server goes on serving.
	goneAfter = 4 * time.Second
	slowWork  = 600 * time.Millisecond
)

// fault is a kind of fault: begin injects it and returns what takes it away.
type fault struct {
	name  string
	begin func(s *soak, random *rand.Rand) (end func())
}

// faults are all kinds. Each is injected from outside the processes: by a signal,
// a link, or the stand-ins.
var faults = slices.Concat(nodeFaults, storeFaults, otherFaults)

// nodeFaults are the faults of a single node, or of all.
var nodeFaults = []fault{
	{"kill a node", func(s *soak, random *rand.Rand) func() {
		n := s.node(random)
		n.Signal(syscall.SIGKILL)
		return func() { s.restart(n) }
	}},
	{"kill all nodes", func(s *soak, _ *rand.Rand) func() {
		for _, n := range s.nodes {
			n.Signal(syscall.SIGKILL)
		}
		return func() {
			for _, n := range s.nodes {
				s.restart(n)
			}
		}
	}},
	{"freeze a node", func(s *soak, random *rand.Rand) func() {
		n := s.node(random)
		n.Signal(syscall.SIGSTOP)
		return func() { n.Signal(syscall.SIGCONT) }
	}},
	{"stop a node", func(s *soak, random *rand.Rand) func() {
		n := s.node(random)
		n.Signal(syscall.SIGTERM)
		return func() { s.restart(n) }
	}},
	{"reload a node", func(s *soak, random *rand.Rand) func() {
		s.node(random).Signal(syscall.SIGHUP)
		return func() {}
	}},
	{"cut a node off the store", func(s *soak, random *rand.Rand) func() {
		n := s.node(random)
		n.Cut([]Mode{Silent, OneWay, Reset, Slow}[random.IntN(4)])
		return func() { n.Cut(Pass) }
	}},
}

// storeFaults are what goes wrong with the store for everybody.
var storeFaults = []fault{
	{"store down", func(s *soak, _ *rand.Rand) func() {
		s.world.setFaults(func(f *memory.Faults) { f.Down = true })
		return func() { s.world.setFaults(func(f *memory.Faults) { f.Down = false }) }
	}},
	{"store refuses", func(s *soak, _ *rand.Rand) func() {
		s.world.setFaults(func(f *memory.Faults) { f.Refuse = true })
		return func() { s.world.setFaults(func(f *memory.Faults) { f.Refuse = false }) }
	}},
	{"store's answers are lost", func(s *soak, _ *rand.Rand) func() {
		s.world.setFaults(func(f *memory.Faults) { f.LoseAnswers = true })
		return func() { s.world.setFaults(func(f *memory.Faults) { f.LoseAnswers = false }) }
	}},
	{"watches are silent, then history is compacted", func(s *soak, _ *rand.Rand) func() {
		s.world.setFaults(func(f *memory.Faults) { f.Deaf = true })
		return func() {
			s.world.setFaults(func(f *memory.Faults) { f.Deaf = false })
			s.world.compact()
		}
	}},
}

// otherFaults are the operator's work and the faults of servers.
var otherFaults = []fault{
	{"configuration changes", func(s *soak, _ *rand.Rand) func() {
		s.world.configure()
		return func() {}
	}},
	{"server crashes", func(s *soak, random *rand.Rand) func() {
		gone := s.server(random)
		if gone == nil {
			return nil
		}
		gone.Stop()
		return func() {
			gone.Forget()
			s.replace(gone.Service)
		}
	}},
	{"server leaves", func(s *soak, random *rand.Rand) func() {
		leaving := s.server(random)
		if leaving == nil {
			return nil
		}
		s.replace(leaving.Service)
		s.world.leave(leaving)
		return func() {
			time.Sleep(goneAfter)
			leaving.Forget()
			leaving.Stop()
		}
	}},
	{"server is cut off", func(s *soak, random *rand.Rand) func() {
		cut := s.server(random)
		if cut == nil {
			return nil
		}
		cut.link.Set([]Mode{Silent, OneWay, Reset, Slow}[random.IntN(4)])
		return func() { cut.link.Set(Pass) }
	}},
	{"server is slow", func(s *soak, random *rand.Rand) func() {
		slow := s.server(random)
		if slow == nil {
			return nil
		}
		slow.SetFaults(standin.Faults{Work: slowWork})
		return func() { slow.SetFaults(standin.Faults{Work: serverWork}) }
	}},
	// A zone that is evacuated in a short round leaves few servers; the checks are about
	// what reaches them, not about what is served.
	{"zone is evacuated", func(s *soak, random *rand.Rand) func() {
		return s.world.evacuate(zoneName(random.IntN(zones)))
	}},
	{"cold server comes", func(s *soak, random *rand.Rand) func() {
		service := []string{standin.DividedService, standin.PlainService}[random.IntN(2)]
		s.replace(service)
		if joined := s.world.newest(); joined != nil {
			s.world.turnCold(joined)
		}
		return func() {}
	}},
	{"server turns cold", func(s *soak, random *rand.Rand) func() {
		if turned := s.world.pick(random, standin.PlainService); turned != nil {
			s.world.turnCold(turned)
		}
		return func() {}
	}},
	{"grants are carried out late", func(s *soak, random *rand.Rand) func() {
		late := s.server(random)
		if late == nil {
			return nil
		}
		delay := time.Second + time.Duration(random.Int64N(int64(6*time.Second)))
		late.SetFaults(standin.Faults{Work: serverWork, LateOrders: delay})
		return func() { late.SetFaults(standin.Faults{Work: serverWork}) }
	}},
}

// kinds are the kinds of faults of this round.
func (s *soak) kinds() []fault {
	switch {
	case s.options.Needs:
		return slices.Concat(faults, needFaults, needFaults)
	case s.options.Restores:
		return slices.Concat(faults, restoreFaults, restoreFaults, restoreFaults, restoreFaults)
	default:
		return faults
	}
}

func (s *soak) node(random *rand.Rand) *Node { return s.nodes[random.IntN(len(s.nodes))] }

// server picks a server, mostly of the service that is divided by key.
func (s *soak) server(random *rand.Rand) *server {
	if random.IntN(3) == 0 {
		return s.world.pick(random, standin.PlainService)
	}
	return s.world.pick(random, standin.DividedService)
}

func (s *soak) replace(service string) {
	if err := s.world.startServer(service); err != nil {
		s.breach("no replacement of a server: %v", err)
	}
}

// restart waits until a node's process has ended and starts it again.
func (s *soak) restart(n *Node) {
	n.Wait(stopPatience)
	if err := n.Start(); err != nil {
		s.breach("%s does not start again: %v", n.Name, err)
	}
}

// inject injects faults, some at the same time, until the length is over, and
// returns how many when all have been taken away.
func (s *soak) inject(random *rand.Rand, kinds []fault, length time.Duration) int {
	var group sync.WaitGroup
	busy := make(map[string]bool)
	var mutex sync.Mutex
	count := 0
	for end := time.Now().Add(length); time.Now().Before(end); {
		pause := 200*time.Millisecond + time.Duration(random.Int64N(int64(1300*time.Millisecond)))
		chosen := kinds[random.IntN(len(kinds))]
		lasts := minFault + time.Duration(random.Int64N(int64(maxFault-minFault)))
		own := rand.New(rand.NewPCG(random.Uint64(), random.Uint64()))
		time.Sleep(pause)
		mutex.Lock()
		again := busy[chosen.name]
		busy[chosen.name] = true
		mutex.Unlock()
		if again {
			continue
		}
		count++
		s.note("%s for %v", chosen.name, lasts.Round(time.Millisecond))
		group.Go(func() {
			if end := chosen.begin(s, own); end != nil {
				time.Sleep(lasts)
				end()
			}
			mutex.Lock()
			defer mutex.Unlock()
			busy[chosen.name] = false
		})
	}
	group.Wait()
	return count
}
