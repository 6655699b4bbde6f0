// Package simulation runs the pure packages of the ownership protocol with
// simulated time, clocks that drift, and a network and processes that fail, and
// checks after every event that nothing unsafe has happened.
//
// A run depends on its options alone: the same seed gives the same run.
package simulation

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"
)

// Options describes one run.
type Options struct {
	Seed     uint64
	Nodes    int
	Servers  int
	Slices   uint32
	Duration time.Duration
	Faults   Faults
	Weakness Weakness
	// Unchecked leaves the checks out, for measurements of cost.
	Unchecked bool
	// Meter, if not nil, counts the messages.
	Meter *Meter
}

// Meter counts the messages of a run and their encoded sizes in bytes.
type Meter struct {
	ReplicaMessages int
	ReplicaBytes    int
	SessionMessages int
	SessionBytes    int
}

// Faults says how often things fail.
type Faults struct {
	// DropShare and LateShare are the parts of the messages that are lost, and
	// that arrive up to LateLimit later than usual.
	DropShare float64
	LateShare float64
	LateLimit time.Duration
	// EventInterval is the mean pause between two failures of processes or
	// links; 0 means none.
	EventInterval time.Duration
	// OutageLimit bounds the length of a freeze or a cut.
	OutageLimit time.Duration
	// DriftPermille is the greatest difference of a clock's rate from true time.
	DriftPermille float64
}

// Weakness removes one safeguard, to show that the checks notice.
type Weakness int

// The safeguards that can be removed.
const (
	// Sound removes nothing.
	Sound Weakness = iota
	// NoChallenge lets a session run from when a message arrives.
	NoChallenge
	// NoWait lets servers act longer than the leader believes.
	NoWait
	// NoFence lets servers take back grants that were revoked.
	NoFence
	// AmnesiacVote lets a restarted node go on as the member it was.
	AmnesiacVote
	// NoPromise lets followers vote while a leader's lease rests on them.
	NoPromise
)

// Result sums a run up.
type Result struct {
	// Violations names what was unsafe; a sound run has none.
	Violations []string
	Events     int
	Commits    int
	Leads      int
	Assigned   uint64
	Failures   int
	// ServedShare is the part of slice-time during which a slice had an owner.
	ServedShare float64
}

// event is something that happens at a time.
type event struct {
	at       time.Duration
	sequence uint64
	act      func()
}

// eventQueue is a heap of events by time. It implements heap.Interface.
type eventQueue []event

// Len returns the number of events.
func (q eventQueue) Len() int { return len(q) }

// Less orders events by time, then by creation.
func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].sequence < q[j].sequence
}

// Swap exchanges two events.
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push adds an event; it is called by container/heap only.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

// Pop removes the last event; it is called by container/heap only.
func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	popped := (*q)[last]
	*q = (*q)[:last]
	return popped
}

// world is the state of one run.
type world struct {
	options  Options
	random   *rand.Rand
	now      time.Duration
	queue    eventQueue
	sequence uint64
	nodes    []*node
	servers  []*server
	cuts     map[link]time.Duration
	checker  *checker
	result   Result
}

// link is a direction between two processes.
type link struct{ from, to string }

// process is what nodes and servers have in common: a clock of their own and
// the ability to freeze.
type process struct {
	name        string
	rate        float64
	offset      time.Duration
	frozenUntil time.Duration
}

// clock returns the process's own time at a true time.
func (p *process) clock(now time.Duration) time.Duration {
	return p.offset + time.Duration(float64(now)*p.rate)
}

const (
	tickInterval  = 10 * time.Millisecond
	messageDelay  = time.Millisecond
	messageJitter = 3 * time.Millisecond
)

// Run carries one run out.
func Run(options Options) Result {
	w := &world{
		options: options,
		random:  rand.New(rand.NewPCG(options.Seed, options.Seed^0x9e3779b97f4a7c15)),
		cuts:    make(map[link]time.Duration),
	}
	w.checker = newChecker(w)
	w.build()
	for w.queue.Len() > 0 && len(w.result.Violations) == 0 {
		next := heap.Pop(&w.queue).(event)
		if next.at > options.Duration {
			break
		}
		w.now = next.at
		next.act()
		w.result.Events++
		if !options.Unchecked {
			w.checker.check()
		}
	}
	w.result.ServedShare = w.checker.servedShare()
	return w.result
}

func (w *world) after(pause time.Duration, act func()) {
	w.sequence++
	heap.Push(&w.queue, event{at: w.now + pause, sequence: w.sequence, act: act})
}

// in runs something in a process after a pause, or when the process thaws.
func (w *world) in(p *process, pause time.Duration, act func()) {
	w.after(pause, func() {
		if w.now < p.frozenUntil {
			w.in(p, p.frozenUntil-w.now, act)
			return
		}
		act()
	})
}

// transmit delivers something from one process to another, unless the network
// loses it. It may arrive late, and after messages that were sent later.
func (w *world) transmit(from, to *process, deliver func()) {
	if w.now < w.cuts[link{from.name, to.name}] || w.random.Float64() < w.options.Faults.DropShare {
		return
	}
	delay := messageDelay + time.Duration(w.random.Int64N(int64(messageJitter)))
	if w.random.Float64() < w.options.Faults.LateShare {
		delay += time.Duration(w.random.Int64N(int64(w.options.Faults.LateLimit)))
	}
	w.in(to, delay, deliver)
}

func (w *world) newProcess(name string) process {
	drift := w.options.Faults.DriftPermille / 1000
	return process{
		name:   name,
		rate:   1 + drift*(2*w.random.Float64()-1),
		offset: time.Duration(w.random.Int64N(int64(time.Hour))),
	}
}

func (w *world) build() {
	for i := range w.options.Nodes {
		w.nodes = append(w.nodes, &node{world: w, process: w.newProcess(fmt.Sprintf("n%d", i))})
	}
	for i := range w.options.Servers {
		w.servers = append(w.servers, newServer(w, fmt.Sprintf("s%d", i)))
	}
	record := w.foundingRecord()
	for _, n := range w.nodes {
		n.join(record)
		w.scheduleTick(n)
	}
	if w.options.Faults.EventInterval > 0 {
		w.scheduleFailure()
	}
}

func (w *world) scheduleTick(n *node) {
	w.in(&n.process, tickInterval, func() {
		n.tick()
		w.scheduleTick(n)
	})
}

func (w *world) violate(format string, arguments ...any) {
	w.result.Violations = append(w.result.Violations, fmt.Sprintf("at %v: ", w.now)+fmt.Sprintf(format, arguments...))
}
