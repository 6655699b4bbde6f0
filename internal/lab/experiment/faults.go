package experiment

import (
	"context"
	"math/rand/v2"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/micahaven/micahaven/internal/clock"
	"github.com/micahaven/micahaven/internal/group"
	"github.com/micahaven/micahaven/internal/lab/cluster"
	"github.com/micahaven/micahaven/internal/lab/platform"
	"github.com/micahaven/micahaven/internal/table"
)

// Fault is one kind of trouble.
type Fault string

// The kinds of trouble.
const (
	KillServer    Fault = "kill-server"
	KillLeader    Fault = "kill-leader"
	KillNode      Fault = "kill-node"
	FreezeServer  Fault = "freeze-server"
	FreezeLeader  Fault = "freeze-leader"
	CutLeader     Fault = "cut-leader"
	CutOneWay     Fault = "cut-one-way"
	PlatformDown  Fault = "platform-down"
	PlatformSlow  Fault = "platform-slow"
	LoseAnswers   Fault = "lose-answers"
	Operators     Fault = "two-operators"
	StopNode      Fault = "stop-node"
	MoveSite      Fault = "move-site"
	RestartServer Fault = "restart-server"
	DrainServer   Fault = "drain-server"
	KillMajority  Fault = "kill-majority"
	KillPlatform  Fault = "kill-platform"
)

// Faults lists every kind.
var Faults = []Fault{
	KillServer, KillLeader, KillNode, FreezeServer, FreezeLeader, CutLeader, CutOneWay,
	PlatformDown, PlatformSlow, LoseAnswers, Operators, StopNode, MoveSite, RestartServer,
	DrainServer, KillMajority, KillPlatform,
}

// noFault names the empty set of faults.
const noFault = "none"

// ParseFaults reads names joined by plus signs, or "none".
func ParseFaults(text string) ([]Fault, error) {
	var parsed []Fault
	if text == noFault {
		return nil, nil
	}
	for _, name := range strings.Split(text, "+") {
		known := false
		for _, fault := range Faults {
			known = known || string(fault) == name
		}
		if !known {
			return nil, errors.Newf("fault %q, allowed: %v", name, Faults)
		}
		parsed = append(parsed, Fault(name))
	}
	return parsed, nil
}

// incident is what a fault did, for the measurements.
type incident struct {
	fault Fault
	at    time.Duration
	// service and servers name whose keys the fault takes away.
	service string
	servers []string
	// drained is how long a leaving server took to become free.
	drained time.Duration
	// nodeURL is where callers reached the node in trouble, if it is a node's.
	nodeURL string
	// lostRecords is true when a server's record is gone.
	lostRecords bool
}

// injector brings trouble to a system.
type injector struct {
	system     *cluster.Cluster
	deployment *Deployment
	random     *rand.Rand
	outage     time.Duration
	edits      *editor
}

// inject carries a fault out, and undoes it after the outage where that is
// possible.
func (i *injector) inject(ctx context.Context, fault Fault) (incident, error) {
	service := i.deployment.Services[i.random.IntN(len(i.deployment.Services))]
	server := serverName(service.Name, i.random.IntN(service.Servers))
	happened := incident{fault: fault, service: service.Name}
	switch fault {
	case KillServer:
		happened.servers = []string{server}
		happened.lostRecords = true
		happened.at = clock.Boot()
		i.system.Servers[server].Kill()
		return happened, i.system.Unlist(server)
	case RestartServer:
		happened.servers = []string{server}
		happened.lostRecords = true
		happened.at = clock.Boot()
		i.system.Servers[server].Kill()
		return happened, i.restartServer(service, server)
	case FreezeServer:
		happened.servers = []string{server}
		happened.at = clock.Boot()
		return happened, i.freeze(ctx, i.system.Servers[server])
	case KillLeader, FreezeLeader, CutLeader, StopNode:
		leader, err := i.leader(service.Name)
		if err != nil {
			return happened, err
		}
		happened.servers = i.allServers(service)
		happened.nodeURL = i.system.CallerURL(leader)
		happened.at = clock.Boot()
		return happened, i.troubleNode(ctx, fault, leader)
	case DrainServer:
		happened.lostRecords = true
		drained, err := i.drain(ctx, service, server)
		happened.drained = drained
		return happened, err
	case KillPlatform:
		happened.at = clock.Boot()
		i.system.Platform.Kill()
		return happened, nil
	case KillMajority:
		happened.at = clock.Boot()
		return happened, i.restartMajority(ctx)
	case KillNode:
		node := nodeName(i.random.IntN(i.deployment.Nodes))
		happened.at = clock.Boot()
		return happened, i.restartNode(ctx, node)
	case CutOneWay:
		first := i.random.IntN(i.deployment.Nodes)
		second := (first + 1 + i.random.IntN(i.deployment.Nodes-1)) % i.deployment.Nodes
		happened.at = clock.Boot()
		i.system.CutOneWay(nodeName(first), nodeName(second), true)
		pause(ctx, i.outage)
		i.system.CutOneWay(nodeName(first), nodeName(second), false)
		return happened, nil
	case PlatformDown:
		happened.at = clock.Boot()
		return happened, i.platformFault(ctx, platform.Faults{Down: true, MachinesDown: true})
	case PlatformSlow:
		happened.at = clock.Boot()
		return happened, i.platformFault(ctx, platform.Faults{SlowMillis: 400, CallsPerSecond: 5})
	case LoseAnswers:
		const lost = 3
		happened.at = clock.Boot()
		if err := i.system.SetFaults(platform.Faults{LoseAnswers: lost}); err != nil {
			return happened, err
		}
		return happened, i.edits.race(ctx, service.Name)
	case Operators:
		happened.at = clock.Boot()
		return happened, i.edits.race(ctx, service.Name)
	case MoveSite:
		happened.at = clock.Boot()
		return happened, i.edits.moveSite(ctx, service.Name)
	}
	return happened, errors.Newf("fault %q is not known", fault)
}

func (i *injector) allServers(service Service) []string {
	var names []string
	for n := range service.Servers {
		names = append(names, serverName(service.Name, n))
	}
	return names
}

// leader returns the node that leads a service. Another fault may have taken the
// leader just before, so it waits for one.
func (i *injector) leader(service string) (string, error) {
	leader := ""
	err := cluster.Wait(leaderLimit, "a leader of "+service, func() (bool, error) {
		leader = i.findLeader(service)
		return leader != "", nil
	})
	return leader, err
}

const leaderLimit = 10 * time.Second

// findLeader asks every node, and returns "" when none knows a leader.
func (i *injector) findLeader(service string) string {
	for n := range i.deployment.Nodes {
		statuses, err := i.system.Services(nodeName(n))
		if err != nil {
			continue
		}
		for _, status := range statuses {
			if status.Service == service && status.Leading {
				return status.Leader
			}
		}
	}
	return ""
}

func (i *injector) troubleNode(ctx context.Context, fault Fault, node string) error {
	switch fault {
	case FreezeLeader:
		return i.freeze(ctx, i.system.Nodes[node])
	case CutLeader:
		i.system.Isolate(node, true)
		pause(ctx, i.outage)
		i.system.Isolate(node, false)
		return nil
	case StopNode:
		if !i.system.Nodes[node].Stop() {
			return errors.Newf("node %s did not stop by itself", node)
		}
		return i.startAgain(ctx, node)
	default:
		return i.restartNode(ctx, node)
	}
}

func (i *injector) restartNode(ctx context.Context, node string) error {
	i.system.Nodes[node].Kill()
	return i.startAgain(ctx, node)
}

// restartMajority kills all nodes but one, which every group loses its majority
// by, and starts them again.
func (i *injector) restartMajority(ctx context.Context) error {
	for n := 1; n < i.deployment.Nodes; n++ {
		i.system.Nodes[nodeName(n)].Kill()
	}
	pause(ctx, i.outage)
	for n := 1; n < i.deployment.Nodes; n++ {
		if err := i.system.StartNode(nodeName(n), i.deployment.zone(n)); err != nil {
			return err
		}
	}
	return nil
}

// drain marks a server as leaving, waits until it may be stopped, and stops it.
// It returns how long the wait took.
func (i *injector) drain(ctx context.Context, service Service, server string) (time.Duration, error) {
	site := "old"
	for n := range service.Servers {
		if spec := i.deployment.serverSpec(service, n); spec.ID == server {
			site = spec.Site
		}
	}
	leave := func(row *table.Row) { row.Leaving = append(row.Leaving, server) }
	if err := i.edits.change(ctx, nodeName(0), service.Name, site, leave); err != nil {
		return 0, err
	}
	started := time.Now()
	err := cluster.Wait(drainLimit, server+" to become free", func() (bool, error) {
		statuses, err := i.system.Services(nodeName(1))
		if err != nil {
			return false, err
		}
		return mayStop(statuses, server), nil
	})
	drained := time.Since(started)
	if err == nil && !i.system.Servers[server].Stop() {
		err = errors.Newf("server %s did not stop by itself", server)
	}
	return drained, err
}

const drainLimit = 10 * time.Second

func mayStop(statuses []group.Status, server string) bool {
	for _, status := range statuses {
		for _, candidate := range status.Servers {
			if string(candidate.ID) == server {
				return candidate.MayStop
			}
		}
	}
	return false
}

func (i *injector) startAgain(ctx context.Context, node string) error {
	pause(ctx, i.outage)
	for n := range i.deployment.Nodes {
		if nodeName(n) == node {
			return i.system.StartNode(node, i.deployment.zone(n))
		}
	}
	return errors.Newf("node %s is not of this deployment", node)
}

func (i *injector) restartServer(service Service, name string) error {
	for n := range service.Servers {
		if serverName(service.Name, n) == name {
			return i.system.StartServer(i.deployment.serverSpec(service, n))
		}
	}
	return errors.Newf("server %s is not of this deployment", name)
}

// freeze stops a process and lets it go on, unless another fault killed it.
func (i *injector) freeze(ctx context.Context, process *cluster.Process) error {
	if process.HasExited() {
		return nil
	}
	if err := process.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	pause(ctx, i.outage)
	return process.Signal(syscall.SIGCONT)
}

func (i *injector) platformFault(ctx context.Context, faults platform.Faults) error {
	if err := i.system.SetFaults(faults); err != nil {
		return err
	}
	pause(ctx, i.outage)
	return i.system.SetFaults(platform.Faults{})
}

func pause(ctx context.Context, length time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(length):
	}
}

func faultNames(faults []Fault) string {
	if len(faults) == 0 {
		return noFault
	}
	var names []string
	for _, fault := range faults {
		names = append(names, string(fault))
	}
	return strings.Join(names, "+")
}

func serviceOf(server string) string {
	at := strings.LastIndex(server, "-")
	return server[:max(at, 0)]
}
