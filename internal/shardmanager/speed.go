package shardmanager

import (
	"math"
	"time"

	"github.com/micahaven/micahaven/internal/discovery"
)

const (
	// minAttempts is how many requests are needed to judge a server's speed.
	minAttempts = 8
	// priorAttempts is how many requests at the mean of all servers a server's
	// own are mixed with, because few say little.
	priorAttempts = 6
	// speedMemory is how long requests count when a server's speed is judged;
	// changeMemory is how long they count when a sudden change is looked for.
	speedMemory  = 20 * time.Second
	changeMemory = 2400 * time.Millisecond
	// reportTime is the time that a first report stands for.
	reportTime = 200 * time.Millisecond
	// changeFactor is by how much a server's last requests must differ from the
	// earlier ones, and minChange how many they must be, to be taken alone.
	changeFactor = 2.5
	minChange    = 3
	// slowest and fastest bound how much of its slots' share a server gets.
	slowest, fastest = 0.02, 2.5
	// reducedPart is the part of its slots below which a server's capacity counts as reduced.
	reducedPart = 0.1
)

// fading sums up requests that count less the older they are.
type fading struct {
	memory      time.Duration
	attempts    float64
	busySeconds float64
	// covered is the time that the sums stand for, in seconds; it grows towards
	// memory.
	covered float64
}

func (f *fading) record(elapsed time.Duration, load ServerLoad) {
	fade := math.Exp(-elapsed.Seconds() / f.memory.Seconds())
	f.covered = f.covered*fade + f.memory.Seconds()*(1-fade)
	f.attempts = f.attempts*fade + float64(load.Attempts)
	f.busySeconds = f.busySeconds*fade + load.Busy.Seconds()
}

// workSeconds estimates how long a server with some slots works on a request. The
// requests' times include queueing; but a server cannot have worked for longer
// than its slots were there.
func (f *fading) workSeconds(slots float64) float64 {
	const tiny = 1e-6
	working := min(f.busySeconds, slots*f.covered)
	return max(working, tiny) / max(f.attempts, tiny)
}

// speed judges a server by its requests of the last seconds.
type speed struct {
	slots     float64
	usual     fading
	latest    fading
	updatedAt time.Time
}

func newSpeed(slots int) *speed {
	return &speed{
		slots:  float64(max(1, slots)),
		usual:  fading{memory: speedMemory},
		latest: fading{memory: changeMemory},
	}
}

func (s *speed) record(now time.Time, load ServerLoad) {
	elapsed := reportTime
	if !s.updatedAt.IsZero() {
		elapsed = now.Sub(s.updatedAt)
	}
	s.updatedAt = now
	s.usual.record(elapsed, load)
	s.latest.record(elapsed, load)
	if s.latest.attempts < minChange {
		return
	}
	change := s.latest.workSeconds(s.slots) / s.usual.workSeconds(s.slots)
	if change > changeFactor || change < 1/changeFactor {
		s.usual.attempts = s.latest.attempts
		s.usual.busySeconds = s.latest.busySeconds
		s.usual.covered = s.latest.covered
	}
}

// workingSlots estimates how many of the server's slots are busy.
func (s *speed) workingSlots() float64 {
	return min(s.slots, s.usual.busySeconds/max(s.usual.covered, reportTime.Seconds()))
}

// workSeconds is how long the server works on a request.
func (s *speed) workSeconds() float64 { return s.usual.workSeconds(s.slots) }

// speeds are those of a service's servers that requests were reported of.
type speeds map[discovery.ServerID]*speed

// record takes in what a node saw of a server with some slots.
func (known speeds) record(now time.Time, slots int, load ServerLoad) {
	judged := known[load.Server]
	if judged == nil {
		judged = newSpeed(slots)
		known[load.Server] = judged
	}
	judged.record(now, load)
}

// meanWorkSeconds is how long the service's servers work on a request on average; false if
// too little is known.
func (known speeds) meanWorkSeconds() (float64, bool) {
	sum, count := 0.0, 0
	for _, judged := range known {
		if judged.usual.attempts >= minAttempts {
			sum += judged.workSeconds()
			count++
		}
	}
	return sum / float64(max(1, count)), count > 0
}

// limitUse is the part of its rate limit that a server is planned to get: requests come
// unevenly.
const limitUse = 0.8

// capacityWithin bounds the capacity of a server with a rate limit, so that its part of all
// requests stays below the limit. others is the capacity of the service's other servers, and
// requestRate how many requests a second the service gets.
func capacityWithin(limit, capacity, others, requestRate float64) float64 {
	planned := limitUse * limit
	if planned >= requestRate {
		return capacity
	}
	return min(capacity, max(slowest, others*planned/(requestRate-planned)))
}

// capacity estimates how much load a server should get from its slots and speed.
// While there are slots to spare, fast servers get more than their share of the
// throughput, because answers come sooner there.
func (known speeds) capacity(id discovery.ServerID, serverSlots int) float64 {
	slots := float64(max(1, serverSlots))
	judged := known[id]
	if judged == nil || judged.usual.attempts < 1 {
		return slots
	}
	mean, enough := known.meanWorkSeconds()
	if !enough {
		return slots
	}
	working, all := 0.0, 0.0
	for _, other := range known {
		all += other.slots
		working += other.workingSlots()
	}
	attempts := judged.usual.attempts
	own := (judged.workSeconds()*attempts + mean*priorAttempts) / (attempts + priorAttempts)
	relative := math.Pow(mean/own, preference(working/all))
	return slots * min(fastest, max(slowest, relative))
}

// isReduced reports whether a server has so little capacity, by its rate limit or its speed,
// that the balance may leave it without requests.
func isReduced(capacity float64, slots int) bool {
	return capacity < reducedPart*float64(max(1, slots))
}

// preference is the power to which speed counts: 2 with most slots idle, 1 (in
// proportion to the throughput) when the servers are nearly full.
func preference(utilization float64) float64 {
	const idle, full = 0.4, 0.75
	part := (utilization - idle) / (full - idle)
	return 2 - min(1, max(0, part))
}

func (t *term) recordLoad(keys []uint32, weight float64, servers []ServerLoad) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.core.RecordLoad(t.now(), keys, weight)
	current := t.manager.config.Views.Current()
	for _, load := range servers {
		slots := 1
		if s := current.Servers.Get(load.Server); s != nil {
			slots = s.Slots
		}
		t.speeds.record(time.Now(), slots, load)
	}
}
