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
	shardedServers = 6
	plainServers   = 4
	serviceTime    = 60 * time.Millisecond
	// nodesPerServer is the number of nodes per server of a service in runs with many
	// nodes.
	nodesPerServer = 4
)

// server is a stand-in server with its link and the state that the checks need.
type server struct {
	*standin.Server
	link *Link
	// drainingSince is when the store acknowledged that the server is draining; zero if it
	// is not.
	drainingSince time.Time
	// coldSpans are the intervals in which nodes had to treat the server as warming up.
	coldSpans []span
	// backpressure is what the server signals; nil if nothing.
	backpressure *backpressure
	// claimed is set while a fault ends or restarts the server or withholds its entry.
	claimed bool
	// reserved is set while a drill uses the server, so that no other fault picks it.
	reserved bool
	// crashed is set once a request has crashed the server.
	crashed bool
}

// span is a half-open time interval; until is zero while it lasts.
type span struct{ from, until time.Time }

func (s span) contains(at time.Time) bool {
	return !at.Before(s.from) && (s.until.IsZero() || at.Before(s.until))
}

// world is the environment of the nodes: the store, the servers and the operator's
// configuration.
type world struct {
	store  *standin.Store
	ledger *standin.Ledger

	mutex   sync.Mutex
	servers []*server
	started int
	// version is the version of the current configuration. It is also the number of its
	// extra route, the one route that changes with each version.
	version int
	// configuredAt is when the store acknowledged that version; zero while it is being written.
	configuredAt   time.Time
	faults         memory.Faults
	storeDisturbed time.Time
	// crashes holds the requests that crash servers, by path.
	crashes map[string]*crashRecord
	// evacuated holds the intervals in which zones were evacuated, by zone.
	evacuated map[string][]span
}

// newWorld starts a store and the servers for a number of nodes.
func newWorld(nodes int) (*world, error) {
	w := &world{store: standin.NewStore(), ledger: standin.NewLedger(), evacuated: make(map[string][]span)}
	w.configure()
	sharded, plain := max(shardedServers, nodes/nodesPerServer), max(plainServers, nodes/nodesPerServer)
	for index := range sharded + plain {
		service := standin.DividedService
		if index >= sharded {
			service = standin.PlainService
		}
		if err := w.startServer(service); err != nil {
			return nil, err
		}
	}
	return w, nil
}

// startServer starts one more server behind its own link.
func (w *world) startServer(service string) error {
	_, err := w.addServer(service, false)
	return err
}

// addServer is like startServer and returns the server, which may be reserved.
func (w *world) addServer(service string, reserved bool) (*server, error) {
	w.mutex.Lock()
	w.started++
	id := fmt.Sprintf("s%d", w.started)
	zone := zoneName(w.started)
	w.mutex.Unlock()
	started, err := w.newServer(zone, id, service)
	if err != nil {
		return nil, err
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	started.reserved = reserved
	w.servers = append(w.servers, started)
	return started, nil
}

// restartServer starts a new incarnation of a server that has crashed, in place of that one.
func (w *world) restartServer(gone *server) error {
	started, err := w.newServer(gone.Zone, gone.ID, gone.Service)
	if err != nil {
		return err
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.servers[slices.Index(w.servers, gone)] = started
	return nil
}

// newServer starts a server behind its own link.
func (w *world) newServer(zone, id, service string) (*server, error) {
	var link *Link
	var failed error
	proxy := func(address string) string {
		link, failed = NewLink(address)
		if failed != nil {
			return address
		}
		return link.Address
	}
	started := &server{Server: standin.NewServerIn(w.store, w.ledger, zone, id, service, proxy)}
	if failed != nil {
		return nil, failed
	}
	started.link = link
	w.prepare(started)
	return started, nil
}

// prepare makes a server execute requests like the others, and crash on some of them.
func (w *world) prepare(s *server) {
	s.CrashesOf(causesCrash, func(response http.ResponseWriter, r *http.Request) { w.crashDuring(s, response, r) })
	s.SetFaults(standin.Faults{Work: serviceTime})
}

// zones is the number of zones that nodes and servers are spread over.
const zones = 3

func zoneName(index int) string { return fmt.Sprintf("z%d", index%zones) }

// newest returns the server that was started last, or nil.
func (w *world) newest() *server {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if len(w.servers) == 0 {
		return nil
	}
	return w.servers[len(w.servers)-1]
}

// startWarmUp makes a server start warming up. Its nodes have to know if its entry says so.
func (w *world) startWarmUp(s *server) {
	from := time.Now()
	if !s.TurnCold() {
		return
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	s.coldSpans = append(s.coldSpans, span{from: from.Add(coldPropagation), until: from.Add(standin.WarmUp)})
}

// evacuate evacuates a zone until the returned function is called. The zone's servers warm
// up afterwards.
func (w *world) evacuate(zone string) (end func()) {
	standin.Evacuate(w.store, zone)
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.evacuated[zone] = append(w.evacuated[zone], span{from: time.Now()})
	return func() {
		for _, s := range w.inZone(zone) {
			w.startWarmUp(s)
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

// server returns the server with an ID, or nil.
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

// evacuatedSince returns the start of the evacuation of a server's zone that was in progress
// at a moment, or zero if there was none.
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

// coldAt reports whether a server was warming up at a moment, and had been for long enough
// for all nodes to have been notified.
func (w *world) coldAt(s *server, at time.Time) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return slices.ContainsFunc(s.coldSpans, func(times span) bool { return times.contains(at) })
}

// live returns the servers of a service that are neither stopped, draining nor reserved.
func (w *world) live(service string) []*server {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	var live []*server
	for _, s := range w.servers {
		if !s.Dead() && s.drainingSince.IsZero() && !s.reserved && s.Service == service {
			live = append(live, s)
		}
	}
	return live
}

// owned reports whether every key that clients request is held by a server.
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

// minLive is the number of live servers of a service from which faults pick one.
const minLive = 3

// pick returns a random live server of a service, or nil if too few are left.
func (w *world) pick(random *rand.Rand, service string) *server {
	live := w.live(service)
	if len(live) < minLive {
		return nil
	}
	return live[random.IntN(len(live))]
}

// claim picks a random live server of a service for a fault that no other fault of this kind
// may overlap with, or nil if too few are left.
func (w *world) claim(random *rand.Rand, service string) *server {
	live := w.live(service)
	w.mutex.Lock()
	defer w.mutex.Unlock()
	live = slices.DeleteFunc(live, func(s *server) bool { return s.claimed })
	if len(live) < minLive {
		return nil
	}
	chosen := live[random.IntN(len(live))]
	chosen.claimed = true
	return chosen
}

// release ends the claim on a server.
func (w *world) release(s *server) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	s.claimed = false
}

// configure writes the next version of the configuration, which replaces the extra route of
// the previous version by a new one.
func (w *world) configure() {
	w.mutex.Lock()
	w.version++
	version := w.version
	w.configuredAt = time.Time{}
	w.mutex.Unlock()
	standin.Configure(w.store, version, routesOf(version))
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.version == version {
		w.configuredAt = time.Now()
	}
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

// configuration returns the current version and when the store acknowledged it; false while it is
// being written.
func (w *world) configuration() (version int, acknowledgedAt time.Time, acknowledged bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.version, w.configuredAt, !w.configuredAt.IsZero()
}

// drain announces that a server is draining.
func (w *world) drain(s *server) {
	s.Announce("draining")
	w.mutex.Lock()
	defer w.mutex.Unlock()
	s.drainingSince = time.Now()
}

// setFaults changes the faults of the store that affect all its clients.
func (w *world) setFaults(change func(*memory.Faults)) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	change(&w.faults)
	w.store.SetFaults(w.faults)
	w.markStoreDisturbed()
}

// markStoreDisturbed records a disturbance of the store. The caller must hold the mutex.
func (w *world) markStoreDisturbed() { w.storeDisturbed = time.Now().Add(settleTime) }

// compact compacts the store's history.
func (w *world) compact() {
	w.store.Compact()
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.markStoreDisturbed()
}

// storeStable reports whether the store has had no faults for settleTime.
func (w *world) storeStable() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.faults == (memory.Faults{}) && time.Now().After(w.storeDisturbed)
}

// drainingSince returns when the draining servers began to drain, by ID.
func (w *world) drainingSince() map[string]time.Time {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	starts := make(map[string]time.Time)
	for _, s := range w.servers {
		if !s.drainingSince.IsZero() {
			starts[s.ID] = s.drainingSince
		}
	}
	return starts
}

// clearFaults clears all faults of servers, links and store.
func (w *world) clearFaults() {
	w.setFaults(func(faults *memory.Faults) { *faults = memory.Faults{} })
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for _, s := range w.servers {
		s.link.Set(Pass)
		s.SetFaults(standin.Faults{Work: serviceTime})
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
