// Package admission decides which request is sent to a server next, and which
// is given up. It is pure: the dispatcher feeds it requests, routes and the
// time, and runs what it returns.
//
// A server runs at most as many requests at a time as it has slots. Requests
// that must wait are kept per slice while the slice has no serving owner, and
// per server otherwise. A request that cannot be answered before its deadline
// is given up as soon as that is known, not when the deadline passes.
package admission

import (
	"container/heap"
	"time"

	"github.com/micahaven/micahaven/internal/identity"
	"github.com/micahaven/micahaven/internal/wire"
)

// Item is a request that waits or runs.
type Item struct {
	Slice    uint32
	Priority wire.Priority
	// Deadline is on the clock that is passed to the scheduler.
	Deadline time.Duration
	// OnStart receives the route when the request is to be sent.
	OnStart func(route Route)
	// OnGiveUp receives the reason and when to come back.
	OnGiveUp func(reason wire.Reason, retryAfter time.Duration)

	sequence uint64
	server   identity.ServerID
	started  time.Duration
	// position is the index in the heap it waits in, or -1.
	position int
	waiting  *queue
}

// Route is where requests of a slice go.
type Route struct {
	Server  identity.ServerID
	Address string
	Fence   *wire.Fence
	Serving bool
}

// Limits bounds what one server is given.
type Limits struct {
	// Slots is the number of requests it runs at a time.
	Slots int
	// Queue is the number of requests that may wait for it.
	Queue int
}

// Scheduler holds the queues of one group. It is not safe for concurrent use.
type Scheduler struct {
	heldLimit int
	routes    []Route
	running   []int
	held      []*queue
	servers   map[identity.ServerID]*serverQueue
	sequence  uint64
	waiting   int
}

type serverQueue struct {
	limits  Limits
	queue   queue
	running int
	// isSuspended keeps requests back while the server does not answer.
	isSuspended bool
	// serviceTime is a moving average of how long a request runs.
	serviceTime time.Duration
}

// defaultLimits hold until SetServer names others.
var defaultLimits = Limits{Slots: 1, Queue: 64}

// initialServiceTime is assumed before the first request has ended.
const initialServiceTime = 2 * time.Millisecond

// serviceTimeWeight is the part of a new measurement in the moving average.
const serviceTimeWeight = 0.1

// minimumRetryAfter keeps callers from coming back at once.
const minimumRetryAfter = 50 * time.Millisecond

// New returns a scheduler for a number of slices, none of which is served yet.
// At most heldLimit requests wait for one slice to be served.
func New(sliceCount uint32, heldLimit int) *Scheduler {
	s := &Scheduler{
		heldLimit: heldLimit,
		routes:    make([]Route, sliceCount),
		running:   make([]int, sliceCount),
		held:      make([]*queue, sliceCount),
		servers:   make(map[identity.ServerID]*serverQueue),
	}
	for slice := range s.held {
		s.held[slice] = &queue{}
	}
	return s
}

// SetHeldLimit changes how many requests may wait for one slice to be served.
func (s *Scheduler) SetHeldLimit(limit int) { s.heldLimit = limit }

// SetServer changes the limits of one server; running requests are not affected.
func (s *Scheduler) SetServer(now time.Duration, id identity.ServerID, limits Limits) {
	s.server(id).limits = limits
	s.dispatch(now, id)
}

// Waiting returns the number of requests that wait.
func (s *Scheduler) Waiting() int { return s.waiting }

// Running returns the number of requests that run on a server.
func (s *Scheduler) Running(server identity.ServerID) int {
	if known := s.servers[server]; known != nil {
		return known.running
	}
	return 0
}

// RunningOn returns the number of requests of a slice that run.
func (s *Scheduler) RunningOn(slice uint32) int { return s.running[slice] }

// Suspend keeps requests for a server back, because it does not answer. They
// wait until it does, or until their slices have another owner.
func (s *Scheduler) Suspend(id identity.ServerID) { s.server(id).isSuspended = true }

// Resume lets requests for a server start again.
func (s *Scheduler) Resume(now time.Duration, id identity.ServerID) {
	server := s.server(id)
	if server.isSuspended {
		server.isSuspended = false
		s.dispatch(now, id)
	}
}

// Submit takes a request in: it starts, waits, or is given up.
func (s *Scheduler) Submit(now time.Duration, item *Item) {
	s.sequence++
	item.sequence = s.sequence
	item.position = -1
	if now >= item.Deadline {
		item.OnGiveUp(wire.Reason_REASON_DEADLINE, minimumRetryAfter)
		return
	}
	route := s.routes[item.Slice]
	if !route.Serving {
		if s.held[item.Slice].Len() >= s.heldLimit {
			item.OnGiveUp(wire.Reason_REASON_NO_OWNER, minimumRetryAfter)
			return
		}
		s.wait(s.held[item.Slice], item)
		return
	}
	s.enqueue(now, route.Server, item)
	s.dispatch(now, route.Server)
}

func (s *Scheduler) enqueue(now time.Duration, server identity.ServerID, item *Item) {
	target := s.server(server)
	expected := s.expectedWait(target)
	if target.queue.Len() >= target.limits.Queue || now+expected >= item.Deadline {
		item.OnGiveUp(wire.Reason_REASON_OVERLOADED, max(expected, minimumRetryAfter))
		return
	}
	s.wait(&target.queue, item)
}

// expectedWait estimates how long a new request waits for a slot.
func (s *Scheduler) expectedWait(target *serverQueue) time.Duration {
	if target.running < target.limits.Slots {
		return 0
	}
	ahead := target.queue.Len() + 1
	return time.Duration(ahead) * target.serviceTime / time.Duration(target.limits.Slots)
}

// Cancel withdraws a waiting request and reports whether it was still waiting.
func (s *Scheduler) Cancel(item *Item) bool {
	if item.waiting == nil {
		return false
	}
	s.remove(item)
	return true
}

// Done tells that a started request has ended.
func (s *Scheduler) Done(now time.Duration, item *Item) {
	s.running[item.Slice]--
	server := s.server(item.server)
	server.running--
	took := now - item.started
	server.serviceTime += time.Duration(serviceTimeWeight * float64(took-server.serviceTime))
	s.dispatch(now, item.server)
}

// SetRoute changes where a slice's requests go. Waiting requests follow.
func (s *Scheduler) SetRoute(now time.Duration, slice uint32, route Route) {
	previous := s.routes[slice]
	s.routes[slice] = route
	if previous.Serving && (!route.Serving || route.Server != previous.Server) {
		s.recall(slice, previous.Server)
	}
	if !route.Serving {
		return
	}
	for s.held[slice].Len() > 0 {
		item := s.held[slice].items[0]
		s.remove(item)
		s.enqueue(now, route.Server, item)
	}
	s.dispatch(now, route.Server)
}

// recall takes the waiting requests of a slice back from a server's queue.
func (s *Scheduler) recall(slice uint32, server identity.ServerID) {
	var recalled []*Item
	for _, item := range s.server(server).queue.items {
		if item.Slice == slice {
			recalled = append(recalled, item)
		}
	}
	for _, item := range recalled {
		s.remove(item)
		s.wait(s.held[slice], item)
	}
}

// Expire gives up every waiting request whose deadline has come.
func (s *Scheduler) Expire(now time.Duration) {
	for _, held := range s.held {
		s.expireQueue(now, held, wire.Reason_REASON_NO_OWNER)
	}
	for _, server := range s.servers {
		s.expireQueue(now, &server.queue, wire.Reason_REASON_OVERLOADED)
	}
}

func (s *Scheduler) expireQueue(now time.Duration, waiting *queue, reason wire.Reason) {
	var expired []*Item
	for _, item := range waiting.items {
		if now >= item.Deadline {
			expired = append(expired, item)
		}
	}
	for _, item := range expired {
		s.remove(item)
		item.OnGiveUp(reason, minimumRetryAfter)
	}
}

// GiveUpAll ends every waiting request, when this node stops leading.
func (s *Scheduler) GiveUpAll(reason wire.Reason) {
	for slice := range s.routes {
		s.routes[slice].Serving = false
	}
	drain := func(waiting *queue) {
		for waiting.Len() > 0 {
			item := waiting.items[0]
			s.remove(item)
			item.OnGiveUp(reason, 0)
		}
	}
	for _, held := range s.held {
		drain(held)
	}
	for _, server := range s.servers {
		drain(&server.queue)
	}
}

// dispatch starts waiting requests while the server has free slots.
func (s *Scheduler) dispatch(now time.Duration, id identity.ServerID) {
	server := s.server(id)
	for !server.isSuspended && server.running < server.limits.Slots && server.queue.Len() > 0 {
		item := s.next(now, server)
		s.remove(item)
		if now >= item.Deadline {
			item.OnGiveUp(wire.Reason_REASON_OVERLOADED, minimumRetryAfter)
			continue
		}
		server.running++
		s.running[item.Slice]++
		item.server = id
		item.started = now
		item.OnStart(s.routes[item.Slice])
	}
}

// next picks the request to start: the most urgent background request if it
// would otherwise miss its deadline, else the head of the queue.
func (s *Scheduler) next(now time.Duration, server *serverQueue) *Item {
	head := server.queue.items[0]
	if head.Priority == wire.Priority_PRIORITY_BACKGROUND {
		return head
	}
	drainTime := time.Duration(server.queue.Len()) * server.serviceTime / time.Duration(server.limits.Slots)
	margin := backgroundMargin * (drainTime + server.serviceTime)
	var urgent *Item
	for _, item := range server.queue.items {
		isUrgent := item.Priority == wire.Priority_PRIORITY_BACKGROUND && item.Deadline-now < margin
		if isUrgent && (urgent == nil || item.Deadline < urgent.Deadline) {
			urgent = item
		}
	}
	if urgent != nil {
		return urgent
	}
	return head
}

// backgroundMargin is how many times the time to empty the queue a background
// request starts ahead of its deadline, before interactive ones.
const backgroundMargin = 4

func (s *Scheduler) server(id identity.ServerID) *serverQueue {
	known := s.servers[id]
	if known == nil {
		known = &serverQueue{limits: defaultLimits, serviceTime: initialServiceTime}
		s.servers[id] = known
	}
	return known
}

func (s *Scheduler) wait(waiting *queue, item *Item) {
	item.waiting = waiting
	heap.Push(waiting, item)
	s.waiting++
}

func (s *Scheduler) remove(item *Item) {
	heap.Remove(item.waiting, item.position)
	item.waiting = nil
	s.waiting--
}
