package soak

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"

	"github.com/micahaven/micahaven/internal/view"
	"github.com/micahaven/micahaven/platform/standin"
)

const (
	// maxKillLead bounds how long grants are late before the manager ends, and maxDowntime how
	// long a manager that was killed stays down.
	maxKillLead = time.Second
	maxDowntime = 2 * time.Second
	// maxKills bounds the number of managers that are killed in a row, minKillGap and maxKillGap
	// the time between two of them.
	maxKills               = 3
	minKillGap, maxKillGap = 300 * time.Millisecond, 4 * time.Second
	// minBlindLead and maxBlindLead bound how long after the restart of a server without an entry
	// the manager is killed.
	minBlindLead, maxBlindLead = 800 * time.Millisecond, 2200 * time.Millisecond
	// minSuspension and maxSuspension bound how long a manager is suspended.
	minSuspension, maxSuspension = 500 * time.Millisecond, 6 * time.Second
	// minIsolation and maxIsolation bound how long a manager's link to the store is disrupted.
	// Both exceed the TTL of its lock (2 s).
	minIsolation, maxIsolation = 2500 * time.Millisecond, 7 * time.Second
	// minVeryLateGrant and maxVeryLateGrant bound the delay of grants that outlast a lease and the
	// time until a new manager begins. Both are below the time for which a grant may be delayed
	// (13 s).
	minVeryLateGrant, maxVeryLateGrant = 8 * time.Second, 12 * time.Second
	// maxMoveDelay bounds how long after the manager was suspended or isolated a server restarts.
	maxMoveDelay = 2 * time.Second
)

// managerFaults aim at the node that holds the manager lock of the divided service while one of
// its servers leaves or restarts.
var managerFaults = []fault{
	{"managers are killed behind late grants", func(s *soak, random *rand.Rand) func() {
		return s.withLateServer(random, func() { s.killManagers(random) })
	}},
	{"manager is killed behind late grants", func(s *soak, random *rand.Rand) func() {
		return s.withLateServer(random, func() { s.killManager(random) })
	}},
	{"manager is stopped behind late grants", func(s *soak, random *rand.Rand) func() {
		return s.withLateServer(random, func() { s.stopManager() })
	}},
	{"manager is killed after a server without an entry restarted", func(s *soak, random *rand.Rand) func() {
		next := s.restartBehindCut(random)
		if next == nil {
			return nil
		}
		time.Sleep(between(random, minBlindLead, maxBlindLead))
		s.killManager(random)
		return func() { s.reconnect(next) }
	}},
	{"manager is suspended", func(s *soak, random *rand.Rand) func() {
		manager := s.manager()
		if manager == nil {
			return nil
		}
		s.logf("manager %s is suspended", manager.Name)
		manager.Signal(syscall.SIGSTOP)
		return s.restartMeanwhile(random, between(random, minSuspension, maxSuspension), func() {
			s.logf("manager %s continues", manager.Name)
			manager.Signal(syscall.SIGCONT)
		})
	}},
	{"manager loses the store while a server restarts", func(s *soak, random *rand.Rand) func() {
		manager := s.manager()
		if manager == nil {
			return nil
		}
		mode := []Mode{Silent, OneWay, Reset}[random.IntN(3)]
		s.logf("link of manager %s to the store: %v", manager.Name, mode)
		manager.SetLinkMode(mode)
		return s.restartMeanwhile(random, between(random, minIsolation, maxIsolation), func() {
			s.logf("link of manager %s to the store: %v", manager.Name, Pass)
			manager.SetLinkMode(Pass)
		})
	}},
}

// managerKinds returns the kinds of faults of a run that aims at managers.
func (s *soak) managerKinds() []fault {
	kinds := slices.Concat(faults, restartFaults, managerFaults, managerFaults, managerFaults, managerFaults)
	if s.options.Restores {
		kinds = slices.Concat(kinds, restoreFaults, restoreFaults, restoreFaults)
	}
	return kinds
}

// manager returns the node that holds the manager lock of the divided service or, while the store
// does not say, held it last. It returns nil if no node has held it.
func (s *soak) manager() *Node {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	key := view.ManagerKey(standin.DividedService)
	items, _, err := s.world.store.List(context.Background(), key)
	if err != nil {
		return s.lastManager
	}
	for _, item := range items {
		var holder view.Manager
		if item.Key != key || json.Unmarshal(item.Value, &holder) != nil {
			continue
		}
		if n := s.named(holder.Name); n != nil {
			s.lastManager = n
		}
	}
	return s.lastManager
}

// withLateServer makes a server of the divided service leave grants unanswered and apply them
// late, lets it leave in some way, and then runs end, which ends the manager. If too few servers are
// left, it only runs end.
func (s *soak) withLateServer(random *rand.Rand, end func()) func() {
	late := s.world.claim(random, standin.DividedService)
	if late == nil {
		end()
		return nil
	}
	delay := lateGrantDelay(random)
	s.logf("server %s applies grants %v late", incarnation(late.Server), delay.Round(time.Millisecond))
	late.SetFaults(standin.Faults{Work: serviceTime, LateOrders: delay})
	sleepUpTo(random, maxKillLead)
	finish := s.beginLeave(random, late, delay)
	end()
	return finish
}

func lateGrantDelay(random *rand.Rand) time.Duration {
	if random.IntN(2) == 0 {
		return between(random, minVeryLateGrant, maxVeryLateGrant)
	}
	return between(random, time.Second, maxLateGrant)
}

// beginLeave removes a late server's entry, drains it, or leaves it as it is, most often behind a
// link that is reset. It returns the function that stops the server after its last late grant or
// returns it to normal.
func (s *soak) beginLeave(random *rand.Rand, late *server, delay time.Duration) (finish func()) {
	stop := func() { s.removeServer(late, delay+lateGrantSlack) }
	recoverServer := func() {
		if random.IntN(2) == 0 {
			time.Sleep(delay + lateGrantSlack)
		}
		late.link.Set(Pass)
		late.SetFaults(standin.Faults{Work: serviceTime})
		s.reconnect(late)
	}
	switch random.IntN(4) {
	case 0:
		return recoverServer
	case 1:
		s.logf("server %s drains", late.ID)
		s.replace(late.Service)
		s.world.drain(late)
		s.cutOften(random, late)
		return stop
	default:
		s.logf("entry of server %s is removed", late.ID)
		late.Forget()
		s.cutOften(random, late)
		if random.IntN(2) == 0 {
			s.replace(late.Service)
			return stop
		}
		return recoverServer
	}
}

// cutOften is like cutSometimes, in three of four cases.
func (s *soak) cutOften(random *rand.Rand, late *server) {
	if random.IntN(2) == 0 {
		s.logf("link to server %s is reset", late.ID)
		late.link.Set(Reset)
		return
	}
	s.cutSometimes(random, late)
}

// restartBehindCut restarts a random server of the divided service under its ID while the server
// cannot reach the store: its entry is removed before or after the restart, or remains. The new
// incarnation is not announced and may apply grants late. It returns nil if too few servers are
// left.
func (s *soak) restartBehindCut(random *rand.Rand) *server {
	old := s.world.claim(random, standin.DividedService)
	if old == nil {
		return nil
	}
	lapse := random.IntN(3)
	if lapse == 0 {
		old.Forget()
		sleepUpTo(random, maxKillLead)
	}
	next := s.restartClaimed(old)
	if next == nil {
		return nil
	}
	if random.IntN(2) == 0 {
		next.SetFaults(standin.Faults{Work: serviceTime, LateOrders: lateGrantDelay(random)})
	}
	if lapse == 1 {
		sleepUpTo(random, maxKillLead)
		next.Forget()
	}
	return next
}

// reconnect ends the late grants of a server and announces it.
func (s *soak) reconnect(cut *server) {
	cut.SetFaults(standin.Faults{Work: serviceTime})
	s.world.announce(cut)
	s.world.release(cut)
}

// restartMeanwhile restarts a server of the divided service as restartBehindCut does and calls
// finish when the given time has passed. It returns the function that announces the server.
func (s *soak) restartMeanwhile(random *rand.Rand, length time.Duration, finish func()) func() {
	deadline := time.Now().Add(length)
	defer func() {
		time.Sleep(time.Until(deadline))
		finish()
	}()
	time.Sleep(min(length, randomBelow(random, maxMoveDelay)))
	restarted := s.restartBehindCut(random)
	if restarted == nil {
		return nil
	}
	return func() { s.reconnect(restarted) }
}

// killManagers kills whoever is the manager, one to maxKills times, and starts each again.
func (s *soak) killManagers(random *rand.Rand) {
	for remaining := 1 + random.IntN(maxKills); remaining > 0; remaining-- {
		s.killManager(random)
		if remaining > 1 {
			time.Sleep(between(random, minKillGap, maxKillGap))
		}
	}
}

// killManager kills the manager and starts its node again, at once in half of the cases.
func (s *soak) killManager(random *rand.Rand) {
	manager := s.manager()
	if manager == nil {
		return
	}
	s.logf("manager %s is killed", manager.Name)
	manager.Signal(syscall.SIGKILL)
	if random.IntN(2) == 0 {
		sleepUpTo(random, maxDowntime)
	}
	s.restart(manager)
}

// stopManager stops the manager in a planned way and starts its node again.
func (s *soak) stopManager() {
	manager := s.manager()
	if manager == nil {
		return
	}
	s.logf("manager %s is stopped", manager.Name)
	manager.Signal(syscall.SIGTERM)
	s.restart(manager)
}

// between returns a random duration of at least low and less than high.
func between(random *rand.Rand, low, high time.Duration) time.Duration {
	return low + randomBelow(random, high-low)
}
