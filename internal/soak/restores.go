package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/micahaven/micahaven/internal/topo/memory"
	"github.com/micahaven/micahaven/platform/standin"
)

const (
	// saveInterval is the interval between snapshots of the store, and maxSnapshotAge the
	// maximum age of a snapshot that is restored.
	saveInterval   = 250 * time.Millisecond
	maxSnapshotAge = 5 * time.Second
	// maxAnnounceDelay bounds how long after a restore servers announce themselves again, and
	// leaseExpiry is how long after it the entries of stopped servers disappear.
	maxAnnounceDelay = 1300 * time.Millisecond
	leaseExpiry      = 4 * time.Second
)

// storeSnapshots holds the latest snapshots of the store, oldest first.
type storeSnapshots struct {
	mutex sync.Mutex
	saved []memory.Saved
}

// run takes snapshots of a store until the context is done.
func (c *storeSnapshots) run(ctx context.Context, store *standin.Store) {
	for ctx.Err() == nil {
		saved := store.Save()
		c.mutex.Lock()
		c.saved = append(c.saved, saved)
		if len(c.saved) > int(maxSnapshotAge/saveInterval) {
			c.saved = c.saved[1:]
		}
		c.mutex.Unlock()
		time.Sleep(saveInterval)
	}
}

// take returns a random snapshot and drops all of them, as they belong to the store era that
// the restore ends.
func (c *storeSnapshots) take(random *rand.Rand) memory.Saved {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	taken := c.saved[random.IntN(len(c.saved))]
	c.saved = c.saved[:0]
	return taken
}

// takeIfAny is like take, and returns false if there is no snapshot of this era of the store.
func (c *storeSnapshots) takeIfAny(random *rand.Rand) (memory.Saved, bool) {
	c.mutex.Lock()
	count := len(c.saved)
	c.mutex.Unlock()
	if count == 0 {
		return memory.Saved{}, false
	}
	return c.take(random), true
}

// restoreFaults restore the store from an older snapshot after a short outage.
var restoreFaults = []fault{
	{"store is restored from an older snapshot", func(s *soak, random *rand.Rand) func() {
		saved := s.storeSnapshots.take(random)
		s.world.setFaults(func(f *memory.Faults) { f.Down = true })
		return func() {
			s.world.store.Restore(saved)
			s.world.setFaults(func(f *memory.Faults) { f.Down = false })
			s.world.rewriteState(random)
		}
	}},
}

// rewriteState rewrites the state of the operator and the servers after a restore, and lets
// the entries of stopped servers expire.
func (w *world) rewriteState(random *rand.Rand) {
	w.mutex.Lock()
	standin.Configure(w.store, w.version, routesOf(w.version))
	servers := append([]*server(nil), w.servers...)
	evacuated := make(map[string]bool)
	for zone, times := range w.evacuated {
		evacuated[zone] = times[len(times)-1].until.IsZero()
	}
	w.mutex.Unlock()
	for zone, inProgress := range evacuated {
		if inProgress {
			standin.Evacuate(w.store, zone)
		} else {
			standin.EndEvacuation(w.store, zone)
		}
	}
	for _, s := range servers {
		time.AfterFunc(time.Duration(random.Int64N(int64(maxAnnounceDelay))), func() { w.reannounce(s) })
		time.AfterFunc(leaseExpiry, func() {
			if s.Dead() {
				s.Forget()
			}
		})
	}
}

// reannounce rewrites a server's entry unless the server has stopped.
func (w *world) reannounce(s *server) {
	if !s.Dead() {
		s.Reannounce()
	}
}
