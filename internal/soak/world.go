package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/micahaven/micahaven/internal/topo/memory"
	"github.com/micahaven/micahaven/platform/standin"
)

const (
	dividedServers = 6
	plainServers   = 4
	serverWork     = 60 * time.Millisecond
	// nodesPerServer is how many nodes there are for each server of a service if
	// there are many nodes.
	nodesPerServer = 4
)

// server is a server, its link, and when it began to leave.
type server struct {
	*standin.Server
	link *Link
	// leftAt is when the store acknowledged that the server leaves; zero if not.
	leftAt time.Time
	// cold are the times in which the server was cold.
	cold []span
	// need is what it asks for; nil if nothing.
	need *need
}

// span is a time from one moment to another; until is zero while it lasts.
type span struct{ from, until time.Time }

func (s span) contains(at time.Time) bool {
	return !at.Before(s.from) && (s.until.IsZero() || at.Before(s.until))
}

// world holds the store, the servers and the operator's configuration.
type world struct {
	store  *standin.Store
	ledger *standin.Ledger

	mutex   sync.Mutex
	servers []*server
	started int
	// version and extra describe the configuration in force: extra is the number
	// of the one route that changes with each version.
	version        int
	configuredAt   time.Time
	faults         memory.Faults
	storeDisturbed time.Time
	// crashed counts servers that crashed of requests, by path.
	crashed map[string]int
	// evacuated holds the times in which zones were evacuated.
	evacuated map[string][]span
}

// newWorld starts a store and as many servers as a number of nodes needs.
func newWorld(nodes int) (*world, error) {
	w := &world{store: standin.NewStore(), ledger: standin.NewLedger(), evacuated: make(map[string][]span)}
	w.configure()
	divided, plain := max(dividedServers, nodes/nodesPerServer), max(plainServers, nodes/nodesPerServer)
	for index := range divided + plain {
		service := standin.DividedService
		if index >= divided {
			service = standin.PlainService
		}
		if err := w.startServer(service); err != nil {
			return nil, err
		}
	}
	return w, nil
}

// startServer starts one more server behind a link of its own.
func (w *world) startServer(service string) error {
	var link *Link
	var failed error
	w.mutex.Lock()
	w.started++
	id := fmt.Sprintf("s%d", w.started)
	zone := zoneName(w.started)
	w.mutex.Unlock()
	proxy := func(address string) string {
		link, failed = NewLink(address)
		if failed != nil {
			return address
		}
		return link.Address
	}
	started := &server{Server: standin.NewServerIn(w.store, w.ledger, zone, id, service, proxy)}
	if failed != nil {
		return failed
	}
	started.link = link
	started.CrashesOf(crashes, func(r *http.Request) { w.crashBy(started, r) })
	started.SetFaults(standin.Faults{Work: serverWork})
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.servers = append(w.servers, started)
	return nil
}

// zones is how many zones nodes and servers are in.
const zones = 3

func zoneName(index int) string { return fmt.Sprintf("z%d", index%zones) }

// newest returns the server that was started last.
func (w *world) newest() *server {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if len(w.servers) == 0 {
		return nil
	}
	return w.servers[len(w.servers)-1]
}

// turnCold makes a server cold.
func (w *world) turnCold(s *server) {
	w.mutex.Lock()
	s.cold = append(s.cold, span{from: time.Now().Add(coldNotice), until: time.Now().Add(standin.WarmUp)})
	w.mutex.Unlock()
	s.TurnCold()
}

// evacuate asks to send nothing to a zone until the function that it returns is called;
// its servers are cold then.
func (w *world) evacuate(zone string) (end func()) {
	standin.Evacuate(w.store, zone)
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.evacuated[zone] = append(w.evacuated[zone], span{from: time.Now()})
	return func() {
		for _, s := range w.inZone(zone) {
			w.turnCold(s)
		}
		w.mutex.Lock()
		last := len(w.evacuated[zone]) - 1
		w.evacuated[zone][last].until = time.Now()
		w.mutex.Unlock()
		standin.EndEvacuation(w.store, zone)
	}
}

func (w *world) inZone(zone string) []*server {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	var found []*server
	for _, s := range w.servers {
		if s.Zone == zone && !s.Dead() {
			found = append(found, s)
		}
	}
	return found
}

// server returns the server with an id, or nil.
func (w *world) server(id string) *server {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for _, s := range w.servers {
		if s.ID == id {
			return s
		}
	}
	return nil
}

// evacuatedSince returns since when a server's zone was evacuated at a moment; zero if it
// was not.
func (w *world) evacuatedSince(s *server, at time.Time) time.Time {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for _, times := range w.evacuated[s.Zone] {
		if times.contains(at) {
			return times.from
		}
	}
	return time.Time{}
}

// coldAt reports whether a server was cold at a moment, and long enough for all nodes to
// know.
func (w *world) coldAt(s *server, at time.Time) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return slices.ContainsFunc(s.cold, func(times span) bool { return times.contains(at) })
}

// live returns the servers of a service that neither ended nor leave.
func (w *world) live(service string) []*server {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	var live []*server
	for _, s := range w.servers {
		if !s.Dead() && s.leftAt.IsZero() && s.Service == service {
			live = append(live, s)
		}
	}
	return live
}

// owned reports whether servers hold all keys that clients ask for.
func (w *world) owned() bool {
	servers := w.live(standin.DividedService)
	for index := range keyCount {
		holds := func(s *server) bool { return s.Holds(index * keySpread) }
		if !slices.ContainsFunc(servers, holds) {
			return false
		}
	}
	return true
}

// pick returns a server of a service that neither ended nor leaves, or nil.
func (w *world) pick(random *rand.Rand, service string) *server {
	live := w.live(service)
	const leastLive = 3
	if len(live) < leastLive {
		return nil
	}
	return live[random.IntN(len(live))]
}

// configure writes the next version of the configuration: one route goes and
// another one comes.
func (w *world) configure() {
	w.mutex.Lock()
	w.version++
	version := w.version
	w.mutex.Unlock()
	standin.Configure(w.store, version, routesOf(version))
	w.mutex.Lock()
	w.configuredAt = time.Now()
	w.mutex.Unlock()
}

// routesOf returns the routes of a version of the configuration.
func routesOf(version int) []standin.Route {
	return append(standin.DefaultRoutes(), standin.Route{
		Name: "long", Prefix: longPrefix, Service: standin.PlainService, Repeatable: true, Timeout: longTimeout,
	}, standin.Route{
		Name: fmt.Sprintf("extra%d", version), Prefix: extraPath(version), Service: standin.PlainService, Repeatable: true,
	})
}

func extraPath(version int) string { return fmt.Sprintf("/extra%d/", version) }

// configuration returns the version in force and when it was acknowledged.
func (w *world) configuration() (int, time.Time) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.version, w.configuredAt
}

// leave announces that a server leaves.
func (w *world) leave(s *server) {
	s.Announce("draining")
	w.mutex.Lock()
	defer w.mutex.Unlock()
	s.leftAt = time.Now()
}

// setFaults changes what is wrong with the store for everybody.
func (w *world) setFaults(change func(*memory.Faults)) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	change(&w.faults)
	w.store.SetFaults(w.faults)
	w.disturbStore()
}

// disturbStore notes a disturbance of the store. The caller holds the mutex.
func (w *world) disturbStore() { w.storeDisturbed = time.Now().Add(contactTime) }

// compact makes the store forget its history.
func (w *world) compact() {
	w.store.Compact()
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.disturbStore()
}

// storeStable reports whether nothing is and was wrong with the store lately.
func (w *world) storeStable() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.faults == (memory.Faults{}) && time.Now().After(w.storeDisturbed)
}

// leftAt returns when servers began to leave.
func (w *world) leftAt() map[string]time.Time {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	left := make(map[string]time.Time)
	for _, s := range w.servers {
		if !s.leftAt.IsZero() {
			left[s.ID] = s.leftAt
		}
	}
	return left
}

// heal takes every fault of servers and store away.
func (w *world) heal() {
	w.setFaults(func(faults *memory.Faults) { *faults = memory.Faults{} })
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for _, s := range w.servers {
		s.link.Set(Pass)
		s.SetFaults(standin.Faults{Work: serverWork})
	}
}

func (w *world) close() {
	w.mutex.Lock()
	servers := append([]*server(nil), w.servers...)
	w.mutex.Unlock()
	for _, s := range servers {
		s.Stop()
		s.link.Close()
	}
	w.store.Close()
}
