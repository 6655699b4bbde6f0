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
	stopTimeout        = 8 * time.Second
	// drainTime is how long a draining server continues to serve.
	drainTime       = 4 * time.Second
	slowServiceTime = 600 * time.Millisecond
)

// lateGrantsFault is the name of the fault that delays grants.
const lateGrantsFault = "grants are applied late"

// fault is a kind of fault. begin injects it and returns the function that clears it, or
// nil if it was not injected.
type fault struct {
	name  string
	begin func(s *soak, random *rand.Rand) (end func())
}

// faults are the kinds used in every run with random faults. Each is injected from outside
// the router processes: by a signal, a proxy link, or the stand-ins.
var faults = slices.Concat(nodeFaults, storeFaults, otherFaults)

// nodeFaults affect a single node, or all of them.
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
	{"disrupt the link of a node to the store", func(s *soak, random *rand.Rand) func() {
		n := s.node(random)
		n.SetLinkMode([]Mode{Silent, OneWay, Reset, Slow}[random.IntN(4)])
		return func() { n.SetLinkMode(Pass) }
	}},
}

// storeFaults are faults of the store that affect all its clients.
var storeFaults = []fault{
	{"store down", func(s *soak, _ *rand.Rand) func() {
		s.world.setFaults(func(f *memory.Faults) { f.Down = true })
		return func() { s.world.setFaults(func(f *memory.Faults) { f.Down = false }) }
	}},
	{"store rejects calls", func(s *soak, _ *rand.Rand) func() {
		s.world.setFaults(func(f *memory.Faults) { f.Refuse = true })
		return func() { s.world.setFaults(func(f *memory.Faults) { f.Refuse = false }) }
	}},
	{"store responses are lost", func(s *soak, _ *rand.Rand) func() {
		s.world.setFaults(func(f *memory.Faults) { f.LoseResponses = true })
		return func() { s.world.setFaults(func(f *memory.Faults) { f.LoseResponses = false }) }
	}},
	{"watches stall, then history is compacted", func(s *soak, _ *rand.Rand) func() {
		s.world.setFaults(func(f *memory.Faults) { f.StallWatches = true })
		return func() {
			s.world.setFaults(func(f *memory.Faults) { f.StallWatches = false })
			s.world.compact()
		}
	}},
}

// otherFaults are operations by an operator and faults of servers.
var otherFaults = []fault{
	{"configuration changes", func(s *soak, _ *rand.Rand) func() {
		s.world.configure()
		return func() {}
	}},
	{"server crashes", func(s *soak, random *rand.Rand) func() {
		gone := s.claimServer(random)
		if gone == nil {
			return nil
		}
		gone.Stop()
		return func() {
			gone.Forget()
			s.replace(gone.Service)
		}
	}},
	{"server is drained", func(s *soak, random *rand.Rand) func() {
		leaving := s.claimServer(random)
		if leaving == nil {
			return nil
		}
		s.replace(leaving.Service)
		s.world.drain(leaving)
		return func() {
			time.Sleep(drainTime)
			leaving.Forget()
			leaving.Stop()
		}
	}},
	{"link to a server is disrupted", func(s *soak, random *rand.Rand) func() {
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
		slow.SetFaults(standin.Faults{Work: slowServiceTime})
		return func() { slow.SetFaults(standin.Faults{Work: serviceTime}) }
	}},
	// Evacuating a zone in a short run leaves few servers. The checks cover which requests
	// reach the evacuated servers, not how many are served.
	{"zone is evacuated", func(s *soak, random *rand.Rand) func() {
		return s.world.evacuate(zoneName(random.IntN(zones)))
	}},
	{"new server warms up", func(s *soak, random *rand.Rand) func() {
		service := []string{standin.DividedService, standin.PlainService}[random.IntN(2)]
		s.replace(service)
		if joined := s.world.newest(); joined != nil {
			s.world.startWarmUp(joined)
		}
		return func() {}
	}},
	{"running server starts warming up", func(s *soak, random *rand.Rand) func() {
		if turned := s.world.pick(random, standin.PlainService); turned != nil {
			s.world.startWarmUp(turned)
		}
		return func() {}
	}},
	{lateGrantsFault, func(s *soak, random *rand.Rand) func() {
		late := s.server(random)
		if late == nil {
			return nil
		}
		delay := time.Second + time.Duration(random.Int64N(int64(6*time.Second)))
		late.SetFaults(standin.Faults{Work: serviceTime, LateOrders: delay})
		return func() { late.SetFaults(standin.Faults{Work: serviceTime}) }
	}},
}

// kinds returns the kinds of faults for this run. Kinds that are listed several times are
// chosen more often.
func (s *soak) kinds() []fault {
	switch {
	case s.options.Managers:
		return s.managerKinds()
	case s.options.Needs:
		return slices.Concat(faults, backpressureFaults, backpressureFaults)
	case s.options.Restores:
		return slices.Concat(faults, restoreFaults, restoreFaults, restoreFaults, restoreFaults)
	case s.options.Restarts:
		return slices.Concat(faults, restartFaults, restartFaults)
	default:
		return faults
	}
}

func (s *soak) node(random *rand.Rand) *Node { return s.nodes[random.IntN(len(s.nodes))] }

// server picks a random server, in two of three cases of the service sharded by key. It
// returns nil if too few servers are left.
func (s *soak) server(random *rand.Rand) *server {
	return s.world.pick(random, s.service(random))
}

// claimServer is like server, for faults that end the server.
func (s *soak) claimServer(random *rand.Rand) *server {
	return s.world.claim(random, s.service(random))
}

func (s *soak) service(random *rand.Rand) string {
	if random.IntN(3) == 0 {
		return standin.PlainService
	}
	return standin.DividedService
}

func (s *soak) replace(service string) {
	if err := s.world.startServer(service); err != nil {
		s.recordViolation("start replacement server: %v", err)
	}
}

// restart waits until a node's process has exited and starts a new one, unless another fault has.
func (s *soak) restart(n *Node) {
	if err := n.Restart(stopTimeout); err != nil {
		s.recordViolation("restart of %s failed: %v", n.Name, err)
	}
}

// inject injects faults, some of them concurrently but each kind only once at a time, for
// the given length. It returns their number once all are cleared.
func (s *soak) inject(random *rand.Rand, kinds []fault, length time.Duration) int {
	var group sync.WaitGroup
	busy := make(map[string]bool)
	var mutex sync.Mutex
	count := 0
	for end := time.Now().Add(length); time.Now().Before(end); {
		pause := 200*time.Millisecond + time.Duration(random.Int64N(int64(1300*time.Millisecond)))
		chosen := kinds[random.IntN(len(kinds))]
		duration := minFault + time.Duration(random.Int64N(int64(maxFault-minFault)))
		faultRandom := rand.New(rand.NewPCG(random.Uint64(), random.Uint64()))
		time.Sleep(pause)
		s.awaitQuiet()
		mutex.Lock()
		running := busy[chosen.name]
		busy[chosen.name] = true
		mutex.Unlock()
		if running {
			continue
		}
		count++
		s.logf("%s for %v", chosen.name, duration.Round(time.Millisecond))
		group.Go(func() {
			if end := chosen.begin(s, faultRandom); end != nil {
				time.Sleep(duration)
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
