package shards

import (
	"cmp"
	"slices"
	"time"

	"github.com/micahaven/micahaven/internal/discovery"
)

// fenceEpochShift leaves room for a million fences in one epoch.
const fenceEpochShift = 20

// EpochOf returns the epoch of the manager that gave out a fence.
func EpochOf(fence uint64) uint64 { return fence >> fenceEpochShift }

// Manager decides about the owners of one service's keys. It must be driven by
// one goroutine.
//
// Invariant (single owner): a key is held by nobody but the owner that the
// committed map names, under a fence of the map's author or a lower one.
//
// It holds because a manager grants a range only to the owner that the committed map names,
// and so does any map whose commit may be done without its knowledge. The fence is that of
// the map, or a later one of the same manager if the range was released and is restored to
// its owner. A manager commits another owner only when the
// earlier one acknowledged a release under a higher fence (from then on it
// refuses late grants), is known to be dead, or can no longer hold the range by
// any grant that was ever sent. Commits are conditional on the manager's lock and
// on the map it last read, so of two managers only one can change owners.
//
// A manager sends no order before it has committed a map of its own epoch. So the
// author of the map that a manager finds is the last one that sent orders, and the
// orders of those before it are over but for the pending ones that the map names.
//
// A map that was read from a restored store may lack changes of owners. A manager that
// continues from it fences off all servers first (see fencing).
//
// The first map of a manager gives each range to the owner that it has, under a fence of
// its own. Once the owner has taken that, it refuses whatever earlier managers sent it, so
// that nobody need know whether they are over; until then the range is inherited.
type Manager struct {
	service string
	epoch   uint64
	author  Author
	// sequence counts the maps of this manager.
	sequence uint64
	// fencing is nil once the map surely names the only possible owners.
	fencing *fencing
	// continued is true while the manager renews what was granted before the restore.
	continued bool
	// frozen managers renew and do nothing else.
	frozen bool
	// installed is true once a map of this epoch is committed.
	installed bool
	resigned  bool
	// inheritedUntil is when the last grant of earlier managers can end, and
	// pending are those of them that may still send orders. lastUntil is that of the
	// last map's author alone.
	inheritedUntil time.Duration
	lastUntil      time.Duration
	pending        []Author
	// restored is true if the map that this manager continues from is unverified, so that notes
	// of late grants may be lost.
	restored bool
	// last is the author of the map that this manager continues from.
	last Author
	// noteAt is when it is time to write which ranges are inherited no more; 0 if the
	// stored map says so.
	noteAt  time.Duration
	options Options
	nextSeq uint64

	shards  []*shard
	servers map[discovery.ServerID]Server
	// takers are the servers that may be given keys, in the order of their ids; nil until
	// they are looked for.
	takers []Server
	// numbers are those of the owners in the last map.
	numbers map[discovery.ServerID]uint32
	dead    map[discovery.ServerID]bool

	// uncommitted is true while the map differs from the one in the store;
	// commitInFlight while that is being written.
	uncommitted    bool
	commitInFlight bool
	storeHealthy   bool

	// load is what is balanced; surge and onset show what became heavy just now.
	load  *LoadWindow
	surge *LoadWindow
	onset *LoadWindow
	plan  planState
}

// NewManager returns a manager that continues from the map of an earlier one, or
// from nothing if previous is nil.
func NewManager(service string, epoch uint64, author Author, previous *Map, options Options, now time.Duration) *Manager {
	m := &Manager{
		service:      service,
		epoch:        epoch,
		author:       author,
		sequence:     1,
		options:      options,
		servers:      make(map[discovery.ServerID]Server),
		dead:         make(map[discovery.ServerID]bool),
		storeHealthy: true,
		load:         NewLoadWindow(balanceWindow),
		surge:        NewLoadWindow(heavyWindow),
		onset:        NewLoadWindow(onsetWindow),
		plan:         planState{heavyMoved: make(map[uint32]time.Duration)},
	}
	if previous == nil {
		m.installed = true
		return m
	}
	m.installed = len(previous.Ranges) == 0
	m.uncommitted = !m.installed
	m.pending = pendingAfter(previous)
	m.last = previous.Author
	m.inheritedUntil = now + options.PreviousAuthority + options.LateOrder + m.holdBound()
	m.lastUntil = m.inheritedUntil
	// Where one order got no answer, others may be under way that the author
	// did not live to note.
	late := previous.anyLate()
	for _, r := range previous.Ranges {
		s := &shard{Range: r, phase: owned, renewAt: now, older: r.Inherited || previous.Unverified}
		if r.Owner == "" {
			s.phase = vacant
		} else {
			s.Fence = m.nextFence()
			s.Inherited = true
		}
		if late && !previous.Resigned || r.Late {
			s.heldUntil = now + options.LateOrder + m.holdBound()
		}
		m.shards = append(m.shards, s)
	}
	if previous.Unverified {
		m.restored = true
		m.fencing = newFencing(m.nextFence(), now)
	}
	if previous.Unverified && previous.Continued {
		m.resume(previous)
	}
	m.lookAtPending(now)
	return m
}

// holdBound is the longest time that a grant lasts by this manager's clock.
func (m *Manager) holdBound() time.Duration {
	return time.Duration(float64(m.options.Hold) * m.options.Drift)
}

// Started reports whether the manager has a map.
func (m *Manager) Started() bool { return len(m.shards) > 0 }

// Map returns the current map, which may not be committed yet.
func (m *Manager) Map(now time.Duration) *Map {
	current := &Map{
		Service: m.service, Epoch: m.epoch, Ranges: make([]Range, 0, len(m.shards)),
		Author: m.author, Pending: append([]Author(nil), m.pending...), Resigned: m.resigned,
		Sequence: m.sequence, Unverified: m.fencing != nil, Continued: m.continued,
	}
	for _, s := range m.shards {
		current.Ranges = append(current.Ranges, m.written(s))
	}
	m.numbers = numberOwners(m.numbers, current.Ranges)
	current.numbers = m.numbers
	return current
}

// SetServers replaces what the manager knows of the servers. dead are lives that
// have certainly ended; they stay so when the servers are not told of any more. One that
// accepts keys again was taken for dead wrongly, and has to release what it is granted.
func (m *Manager) SetServers(servers []Server, dead []discovery.ServerID) {
	m.servers, m.takers = make(map[discovery.ServerID]Server, len(servers)), nil
	for _, server := range servers {
		m.servers[server.ID] = server
		if server.Accepting {
			delete(m.dead, server.ID)
		}
	}
	for _, id := range dead {
		m.dead[id] = true
	}
}

// SetStoreHealthy tells whether the store can be written. While it cannot, no
// range is released, because it could not be given to another owner.
func (m *Manager) SetStoreHealthy(healthy bool) { m.storeHealthy = healthy }

// RecordLoad adds requests to the measured load.
func (m *Manager) RecordLoad(now time.Duration, keys []uint32, weight float64) {
	m.load.Add(now, keys, weight)
	m.surge.Add(now, keys, weight)
	m.onset.Add(now, keys, weight)
}

// RequestRate returns how many requests a second were measured lately.
func (m *Manager) RequestRate(now time.Duration) float64 {
	return m.load.Total(now) / balanceWindow.Seconds()
}

// Start makes the first map: every accepting server gets an equal part.
func (m *Manager) Start() {
	if m.Started() || m.fencing != nil {
		return
	}
	accepting := m.accepting()
	if len(accepting) == 0 {
		return
	}
	count := len(accepting) * piecesPerServer(len(accepting))
	for index := range count {
		first := uint32(index * KeyCount / count)
		last := uint32((index+1)*KeyCount/count - 1)
		m.shards = append(m.shards, &shard{Range: Range{First: first, Last: last}, target: accepting[index%len(accepting)].ID})
	}
}

const (
	// fewPieces is how many ranges each server has at first, so that those of a server that
	// leaves go to different ones.
	fewPieces = 2
	// manyServers is from how many servers on each has one range: each range costs every
	// node memory and the manager a renewal, and what one server of so many leaves behind is
	// no burden for another one.
	manyServers = 500
)

func piecesPerServer(servers int) int {
	if servers >= manyServers {
		return 1
	}
	return fewPieces
}

// accepting returns the servers that may be given keys: the warm ones, if there are any. The
// slice must not be changed.
func (m *Manager) accepting() []Server {
	if m.takers == nil {
		m.takers = m.findTakers()
	}
	return m.takers
}

func (m *Manager) findTakers() []Server {
	var found, warming []Server
	for _, server := range m.servers {
		switch {
		case !server.Accepting:
		case server.Warming:
			warming = append(warming, server)
		default:
			found = append(found, server)
		}
	}
	if len(found) == 0 {
		found = warming
	}
	slices.SortFunc(found, func(a, b Server) int { return cmp.Compare(a.ID, b.ID) })
	return found
}

// Tick advances the manager to a moment and returns what is to be done.
func (m *Manager) Tick(now time.Duration) Commands {
	var commands Commands
	if m.frozen {
		m.renew(now, &commands)
		return commands
	}
	m.forgetPending(now)
	if !m.installed || m.resigned {
		m.commit(now, &commands)
		return commands
	}
	if m.fencing != nil {
		m.fenceOff(now, &commands)
	}
	if m.fencing != nil {
		m.commit(now, &commands)
		m.renew(now, &commands)
		return commands
	}
	m.evacuate(now)
	if m.storeHealthy {
		m.balance(now)
	}
	m.release(now, &commands)
	if !m.storeHealthy {
		m.restore(now, &commands)
	}
	m.assign(now)
	m.commit(now, &commands)
	m.renew(now, &commands)
	return commands
}

// evacuate starts to take ranges from servers that leave or are gone.
func (m *Manager) evacuate(now time.Duration) {
	if len(m.accepting()) == 0 {
		return
	}
	for _, s := range m.shards {
		if s.phase != owned || m.servers[s.Owner].Accepting {
			continue
		}
		if m.storeHealthy || m.dead[s.Owner] {
			m.startRelease(s, now, "", Move{Reason: OwnerLeaves})
		}
	}
}

func (m *Manager) startRelease(s *shard, now time.Duration, target discovery.ServerID, move Move) {
	s.move = move
	s.phase = releasing
	s.target = target
	s.releaseFence = m.nextFence()
	s.releaseAt = now
}

func (m *Manager) nextFence() uint64 {
	m.nextSeq++
	return m.epoch<<fenceEpochShift | m.nextSeq
}

// release sends releases and notices which owners can no longer hold a range.
func (m *Manager) release(now time.Duration, commands *Commands) {
	for _, s := range m.shards {
		if s.phase != releasing {
			continue
		}
		if m.dead[s.Owner] || m.over(s, now) {
			m.vacate(s, "")
			continue
		}
		if now < s.releaseAt {
			continue
		}
		s.releaseAt = now + m.options.ReleaseRetry
		commands.Moving = append(commands.Moving, s.Range)
		commands.Releases = append(commands.Releases, Release{
			First: s.First, Last: s.Last, Owner: s.Owner, Address: s.Address, Fence: s.releaseFence, Move: s.move,
		})
	}
}

// over reports whether the owner can no longer hold a range by any grant.
func (m *Manager) over(s *shard, now time.Duration) bool {
	if s.Inherited && now <= m.earlierUntil(s) {
		return false
	}
	return s.inFlight == 0 && now > s.heldUntil
}

// earlierUntil is when the last grant of earlier managers for an inherited range can end.
func (m *Manager) earlierUntil(s *shard) time.Duration {
	if s.older {
		return m.inheritedUntil
	}
	return m.lastUntil
}

func (m *Manager) vacate(s *shard, handover string) {
	s.phase = vacant
	s.Owner = ""
	s.Address = ""
	s.Handover = handover
	s.heldUntil = 0
	s.inFlight = 0
	s.previousFence = 0
	s.Inherited = false
	s.older = false
	s.Late = false
}

// assign gives vacant ranges new owners, to be committed.
func (m *Manager) assign(now time.Duration) {
	if m.commitInFlight {
		return
	}
	accepting := m.accepting()
	if len(accepting) == 0 {
		return
	}
	var loads map[discovery.ServerID]float64
	lasting := m.lasting(accepting)
	for _, s := range m.shards {
		if s.phase != vacant {
			continue
		}
		if loads == nil {
			loads = m.serverLoads(now)
		}
		target, known := m.servers[s.target]
		if !known || !target.Accepting || target.Warming {
			target = m.nextOwner(now, accepting, lasting, loads)
		}
		loads[target.ID] += m.load.Between(now, s.First, s.Last) + keyShareLoad(s.Range)
		s.Owner = target.ID
		s.Address = target.Address
		s.Fence = m.nextFence()
		s.target = ""
		s.phase = committing
		m.uncommitted = true
	}
}

func leastLoaded(servers []Server, loads map[discovery.ServerID]float64) Server {
	best := servers[0]
	for _, server := range servers[1:] {
		if loads[server.ID]/server.Capacity < loads[best.ID]/best.Capacity {
			best = server
		}
	}
	return best
}

// commit asks for the map to be written if it changed. A map that is written is
// never changed under way: assign waits for the answer.
func (m *Manager) commit(now time.Duration, commands *Commands) {
	if m.noteAt > 0 && now >= m.noteAt {
		m.uncommitted = true
	}
	if !m.uncommitted || m.commitInFlight {
		return
	}
	m.commitInFlight = true
	m.uncommitted = false
	m.noteAt = 0
	m.sequence++
	written := m.Map(now)
	for _, s := range m.shards {
		s.writing = s.Owner
	}
	commands.Commit = &Commit{Map: written}
}

// Installed reports that Map, as it was when the manager was made, is in the store.
func (m *Manager) Installed(now time.Duration) {
	m.uncommitted = false
	for _, s := range m.shards {
		s.writing = s.Owner
	}
	m.Committed(now)
}

// Committed reports that the map of the last commit is in the store.
func (m *Manager) Committed(now time.Duration) {
	if m.frozen {
		return
	}
	m.commitInFlight = false
	m.installed = true
	for _, s := range m.shards {
		s.mapped = s.writing
		if s.phase == committing {
			s.phase = owned
			s.renewAt = now
			s.heldUntil = now
		}
	}
}

// split cuts a shard in two, so that the second begins at first. Both keep
// everything the one had.
func (m *Manager) split(index int, first uint32) {
	left := m.shards[index]
	right := *left
	right.First = first
	left.Last = first - 1
	m.shards = append(m.shards, nil)
	copy(m.shards[index+2:], m.shards[index+1:])
	m.shards[index+1] = &right
}
