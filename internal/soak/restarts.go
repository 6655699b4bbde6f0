package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/micahaven/micahaven/platform/standin"
)

const (
	// maxEntryDelay bounds how long after a restart the entry of the new incarnation follows.
	maxEntryDelay = 3 * time.Second
	// maxLateGrant bounds the delay of late grants, and maxLateLead how long a server applies
	// grants late before it leaves.
	maxLateGrant = 10 * time.Second
	maxLateLead  = 2500 * time.Millisecond
	// lateGrantSlack is how long after its last late grant a server stays up.
	lateGrantSlack = time.Second
	// unconfiguredService is a service that no configuration has.
	unconfiguredService = "inventory"
)

// restartFaults separate a server's entry from its process: the process restarts under its ID
// ahead of its entry, or lives on without one.
var restartFaults = []fault{
	{"server restarts ahead of its entry", func(s *soak, random *rand.Rand) func() {
		if next := s.restartServer(random); next != nil {
			sleepUpTo(random, maxEntryDelay)
			s.world.announce(next)
		}
		return nil
	}},
	{"server restarts and its old entry is removed", func(s *soak, random *rand.Rand) func() {
		if next := s.restartServer(random); next != nil {
			sleepUpTo(random, maxEntryDelay/2)
			next.Forget()
			sleepUpTo(random, maxEntryDelay/2)
			s.world.announce(next)
		}
		return nil
	}},
	{"server restarts and is draining", func(s *soak, random *rand.Rand) func() {
		next := s.restartServer(random)
		if next == nil {
			return nil
		}
		s.replace(next.Service)
		sleepUpTo(random, maxEntryDelay)
		s.world.drain(next)
		return func() { s.removeServer(next, drainTime) }
	}},
	{"server loses its path to the store", func(s *soak, random *rand.Rand) func() {
		return s.cutFromStore(random, nil)
	}},
	{"server loses its path to the store, its address has an entry of an unconfigured service", func(s *soak, random *rand.Rand) func() {
		return s.cutFromStore(random, []string{unconfiguredService})
	}},
	{"server loses its path to the store, its address has an entry of a configured service", func(s *soak, random *rand.Rand) func() {
		return s.cutFromStore(random, []string{standin.PlainService, standin.DividedService})
	}},
	{"draining server applies grants late", func(s *soak, random *rand.Rand) func() {
		late, delay := s.startLateGrants(random)
		if late == nil {
			return nil
		}
		s.replace(late.Service)
		s.world.drain(late)
		s.cutSometimes(random, late)
		return func() { s.removeServer(late, delay+lateGrantSlack) }
	}},
	{"server without an entry applies grants late", func(s *soak, random *rand.Rand) func() {
		late, delay := s.startLateGrants(random)
		if late == nil {
			return nil
		}
		s.replace(late.Service)
		late.Forget()
		s.cutSometimes(random, late)
		if random.IntN(2) == 0 {
			return func() { s.removeServer(late, delay+lateGrantSlack) }
		}
		return func() {
			late.link.Set(Pass)
			late.SetFaults(standin.Faults{Work: serviceTime})
			s.world.announce(late)
			s.world.release(late)
		}
	}},
}

func sleepUpTo(random *rand.Rand, limit time.Duration) {
	time.Sleep(time.Duration(random.Int64N(int64(limit))))
}

// restartServer restarts a random server of the divided service under its ID. The new
// incarnation is not announced yet. It returns nil if too few servers are left.
func (s *soak) restartServer(random *rand.Rand) *server {
	old := s.world.claim(random, standin.DividedService)
	if old == nil {
		return nil
	}
	return s.restartClaimed(old)
}

// restartClaimed restarts a claimed server under its ID. It returns nil and starts another server
// if that fails.
func (s *soak) restartClaimed(old *server) *server {
	next, err := s.world.restartInPlace(old)
	if err != nil {
		s.logf("restart of server %s failed: %v", old.ID, err)
		old.Forget()
		s.replace(old.Service)
		return nil
	}
	s.logf("server %s restarted", incarnation(next.Server))
	return next
}

// cutFromStore removes the entry of a random server of the divided service, which lives on,
// until the returned function is called. If services are given, an entry of another writer
// under one of them names the server's address meanwhile.
func (s *soak) cutFromStore(random *rand.Rand, services []string) (end func()) {
	cut := s.world.claim(random, standin.DividedService)
	if cut == nil {
		return nil
	}
	s.logf("server %s loses its path to the store", incarnation(cut.Server))
	removeForeign := func() {}
	foreignFirst := random.IntN(2) == 0
	if foreignFirst {
		removeForeign = s.writeForeignEntry(random, services, cut)
		sleepUpTo(random, time.Second)
	}
	cut.Forget()
	if !foreignFirst {
		sleepUpTo(random, time.Second)
		removeForeign = s.writeForeignEntry(random, services, cut)
	}
	return func() {
		s.world.announce(cut)
		s.world.release(cut)
		sleepUpTo(random, time.Second)
		removeForeign()
	}
}

// writeForeignEntry writes an entry that names a server's address under another ID and one of
// the services, and returns the function that removes it. Without services it writes none.
func (s *soak) writeForeignEntry(random *rand.Rand, services []string, at *server) (remove func()) {
	if len(services) == 0 {
		return func() {}
	}
	service := services[random.IntN(len(services))]
	id := fmt.Sprintf("agent-%08x", random.Uint32())
	s.logf("entry %s of service %s names the address of server %s", id, service, at.ID)
	return at.AnnounceForeign(id, service)
}

// startLateGrants makes a random server of the divided service close the connections of grants
// and apply them after the returned delay. It returns once some grants may be late.
func (s *soak) startLateGrants(random *rand.Rand) (*server, time.Duration) {
	late := s.world.claim(random, standin.DividedService)
	if late == nil {
		return nil, 0
	}
	delay := time.Second + time.Duration(random.Int64N(int64(maxLateGrant-time.Second)))
	s.logf("server %s applies grants %v late", incarnation(late.Server), delay.Round(time.Millisecond))
	late.SetFaults(standin.Faults{Work: serviceTime, LateOrders: delay})
	sleepUpTo(random, maxLateLead)
	return late, delay
}

// cutSometimes resets the link to a server in half of the cases, so that no release reaches it.
func (s *soak) cutSometimes(random *rand.Rand, late *server) {
	if random.IntN(2) == 0 {
		s.logf("link to server %s is reset", late.ID)
		late.link.Set(Reset)
	}
}

// removeServer removes a server's entry and stops the server after a time.
func (s *soak) removeServer(leaving *server, after time.Duration) {
	time.Sleep(after)
	leaving.Forget()
	leaving.Stop()
}

// restartInPlace restarts a server under its ID, at its address and behind its link. The new
// incarnation takes its place.
func (w *world) restartInPlace(old *server) (*server, error) {
	restarted, err := old.Restart()
	if err != nil {
		return nil, err
	}
	next := &server{Server: restarted, link: old.link}
	w.prepare(next)
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.servers[slices.Index(w.servers, old)] = next
	return next, nil
}

// announce writes the entry of a server unless it has stopped.
func (w *world) announce(s *server) {
	if !s.Dead() {
		s.Announce("ready")
	}
}
