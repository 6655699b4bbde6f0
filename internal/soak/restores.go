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
	// savePause is the pause between two copies of the store, and oldestCopy how old one may be
	// when the store is restored from it.
	savePause  = 250 * time.Millisecond
	oldestCopy = 5 * time.Second
	// announcePause is within what time after a restore servers announce themselves again, and
	// lapseTime after what time the entries of servers that have ended are gone.
	announcePause = 1300 * time.Millisecond
	lapseTime     = 4 * time.Second
)

// copies keeps the last copies of the store, the oldest first.
type copies struct {
	mutex sync.Mutex
	saved []memory.Saved
}

// run saves copies of a store until the context ends.
func (c *copies) run(ctx context.Context, store *standin.Store) {
	for ctx.Err() == nil {
		saved := store.Save()
		c.mutex.Lock()
		c.saved = append(c.saved, saved)
		if len(c.saved) > int(oldestCopy/savePause) {
			c.saved = c.saved[1:]
		}
		c.mutex.Unlock()
		time.Sleep(savePause)
	}
}

// take returns one of the copies and drops all: they are of the era that ends.
func (c *copies) take(random *rand.Rand) memory.Saved {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	taken := c.saved[random.IntN(len(c.saved))]
	c.saved = c.saved[:0]
	return taken
}

// restoreFaults restore the store from an older copy after it was away for a moment.
var restoreFaults = []fault{
	{"store is restored from an older copy", func(s *soak, random *rand.Rand) func() {
		saved := s.copies.take(random)
		s.world.setFaults(func(f *memory.Faults) { f.Down = true })
		return func() {
			s.world.store.Restore(saved)
			s.world.setFaults(func(f *memory.Faults) { f.Down = false })
			s.world.writeAgain(random)
		}
	}},
}

// writeAgain writes again what the operator and the servers had written, and lets the entries
// of servers that have ended lapse.
func (w *world) writeAgain(random *rand.Rand) {
	w.mutex.Lock()
	standin.Configure(w.store, w.version, routesOf(w.version))
	servers := append([]*server(nil), w.servers...)
	evacuated := make(map[string]bool)
	for zone, times := range w.evacuated {
		evacuated[zone] = times[len(times)-1].until.IsZero()
	}
	w.mutex.Unlock()
	for zone, inForce := range evacuated {
		if inForce {
			standin.Evacuate(w.store, zone)
		} else {
			standin.EndEvacuation(w.store, zone)
		}
	}
	for _, s := range servers {
		time.AfterFunc(time.Duration(random.Int64N(int64(announcePause))), func() { w.announceAgain(s) })
		time.AfterFunc(lapseTime, func() {
			if s.Dead() {
				s.Forget()
			}
		})
	}
}

// announceAgain writes a server's entry again if the server lives.
func (w *world) announceAgain(s *server) {
	w.mutex.Lock()
	leaving := !s.leftAt.IsZero()
	w.mutex.Unlock()
	switch {
	case s.Dead():
	case leaving:
		s.Announce("draining")
	default:
		s.Announce("ready")
	}
}
