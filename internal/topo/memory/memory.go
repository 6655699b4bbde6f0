// Package memory is a stand-in for the platform's metadata store, in memory, with
// the faults that its protocol allows. It serves the router's tests and lab.
package memory

import (
	"context"
	"maps"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/micahaven/micahaven/internal/topo"
)

// expiryPause is the pause between two looks of a waiting watch at the leases.
const expiryPause = 50 * time.Millisecond

// Store implements topo.Store. The zero value is not usable; see New.
type Store struct {
	mutex     sync.Mutex
	items     map[string]topo.Item
	history   []topo.Event
	compacted int64
	revision  int64
	era       int64
	leases    map[topo.LeaseID]*lease
	nextLease topo.LeaseID
	changed   chan struct{}
	faults    Faults
	calls     map[string]int
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// Faults are what goes wrong at the moment.
type Faults struct {
	// Down makes every call fail.
	Down bool
	// Deaf keeps watches from hearing of changes, although they go on waiting.
	Deaf bool
	// LoseAnswers makes changes happen without an answer.
	LoseAnswers bool
	// Refuse makes the store turn every call away.
	Refuse bool
}

// New returns an empty store.
func New() *Store {
	return &Store{
		items:   make(map[string]topo.Item),
		leases:  make(map[topo.LeaseID]*lease),
		changed: make(chan struct{}),
		calls:   make(map[string]int),
	}
}

// SetFaults replaces the faults.
func (s *Store) SetFaults(faults Faults) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.faults = faults
	s.wake()
}

// Compact forgets all history; waiting watches are cut.
func (s *Store) Compact() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.compacted = s.revision
	s.history = nil
	s.wake()
}

// Write puts or, with a nil value, deletes a key, as an operator or a server.
func (s *Store) Write(key string, value []byte) int64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.revision++
	if value == nil {
		s.remove(key)
	} else {
		s.put(topo.Put{Key: key, Value: value})
	}
	s.wake()
	return s.at()
}

// Saved is a copy of a store at some moment.
type Saved struct {
	items     map[string]topo.Item
	history   []topo.Event
	compacted int64
	revision  int64
	ttls      map[topo.LeaseID]time.Duration
}

// Save returns a copy of the store as it is now.
func (s *Store) Save() Saved {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.expire()
	saved := Saved{
		items: maps.Clone(s.items), history: slices.Clone(s.history), compacted: s.compacted, revision: s.revision,
		ttls: make(map[topo.LeaseID]time.Duration, len(s.leases)),
	}
	for id, l := range s.leases {
		saved.ttls[id] = l.ttl
	}
	return saved
}

// Restore makes the store what it was when a copy was saved and begins a new era. Leases
// of that time last for as long as if they were renewed now.
func (s *Store) Restore(saved Saved) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.era++
	s.items, s.history = maps.Clone(saved.items), slices.Clone(saved.history)
	s.compacted, s.revision = saved.compacted, saved.revision
	s.leases = make(map[topo.LeaseID]*lease, len(saved.ttls))
	for id, ttl := range saved.ttls {
		s.leases[id] = &lease{ttl: ttl, expires: time.Now().Add(ttl)}
	}
	s.wake()
}

// Calls returns how often each kind of call was made.
func (s *Store) Calls(kind string) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.calls[kind]
}

// wake lets watches look again. The caller holds the mutex.
func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) put(put topo.Put) {
	item := topo.Item{Key: put.Key, Value: put.Value, Revision: s.revision, Lease: put.Lease}
	s.items[put.Key] = item
	s.history = append(s.history, topo.Event{Item: item})
}

func (s *Store) remove(key string) {
	if _, known := s.items[key]; !known {
		return
	}
	delete(s.items, key)
	s.history = append(s.history, topo.Event{Item: topo.Item{Key: key, Revision: s.revision}, Deleted: true})
}

// enter begins a call: it counts it, ends leases and says what is wrong. The
// caller holds the mutex.
func (s *Store) enter(kind string) error {
	s.calls[kind]++
	switch {
	case s.faults.Down:
		return topo.ErrUnavailable
	case s.faults.Refuse:
		return topo.ErrRefused
	}
	s.expire()
	return nil
}

func (s *Store) expire() {
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.expires) {
			s.dropLease(id)
		}
	}
}

func (s *Store) dropLease(id topo.LeaseID) {
	delete(s.leases, id)
	s.revision++
	for key, item := range s.items {
		if item.Lease == id {
			s.remove(key)
		}
	}
	s.wake()
}

// List implements topo.Store.
func (s *Store) List(_ context.Context, prefix string) ([]topo.Item, int64, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if err := s.enter("list"); err != nil {
		return nil, 0, err
	}
	var found []topo.Item
	for key, item := range s.items {
		if strings.HasPrefix(key, prefix) {
			item.Revision = topo.RevisionIn(s.era, item.Revision)
			found = append(found, item)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	return found, s.at(), nil
}

// Era implements topo.Store.
func (s *Store) Era() int64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.era
}

// Revision implements topo.Store.
func (s *Store) Revision(context.Context) (int64, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if err := s.enter("revision"); err != nil {
		return 0, err
	}
	return s.at(), nil
}

// at returns the current revision. The caller holds the mutex.
func (s *Store) at() int64 { return topo.RevisionIn(s.era, s.revision) }

// Watch implements topo.Store.
func (s *Store) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) ([]topo.Event, int64, error) {
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	s.mutex.Lock()
	err := s.enter("watch")
	s.mutex.Unlock()
	if err != nil {
		return nil, 0, err
	}
	for {
		events, at, changed, err := s.look(prefix, after)
		if err != nil || len(events) > 0 {
			return events, at, err
		}
		select {
		case <-ctx.Done():
			return nil, 0, errors.Mark(ctx.Err(), topo.ErrUnavailable)
		case <-deadline.C:
			return nil, at, nil
		case <-changed:
		case <-time.After(expiryPause):
			// Leases end although nobody calls.
		}
	}
}

func (s *Store) look(prefix string, after int64) ([]topo.Event, int64, <-chan struct{}, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.expire()
	switch {
	case s.faults.Down:
		return nil, 0, nil, topo.ErrUnavailable
	case s.faults.Deaf:
		return nil, after, s.changed, nil
	case topo.EraOf(after) < s.era:
		return nil, 0, nil, topo.ErrRestored
	}
	after = topo.NumberOf(after)
	switch {
	case after < s.compacted, after > s.revision:
		return nil, 0, nil, topo.ErrCompacted
	}
	var events []topo.Event
	for _, event := range s.history {
		if event.Revision > after && strings.HasPrefix(event.Key, prefix) {
			event.Revision = topo.RevisionIn(s.era, event.Revision)
			events = append(events, event)
		}
	}
	return events, s.at(), s.changed, nil
}

// Commit implements topo.Store.
func (s *Store) Commit(_ context.Context, transaction topo.Transaction) (int64, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if err := s.enter("commit"); err != nil {
		return 0, err
	}
	for _, condition := range transaction.Conditions {
		if s.items[condition.Key].Revision != topo.NumberOf(condition.Revision) {
			return 0, topo.ErrConflict
		}
	}
	for _, put := range transaction.Puts {
		if put.Lease != 0 && s.leases[put.Lease] == nil {
			return 0, topo.ErrLeaseGone
		}
	}
	s.revision++
	for _, put := range transaction.Puts {
		s.put(put)
	}
	for _, key := range transaction.Deletes {
		s.remove(key)
	}
	s.wake()
	if s.faults.LoseAnswers {
		return 0, topo.ErrUnavailable
	}
	return s.at(), nil
}

// GrantLease implements topo.Store.
func (s *Store) GrantLease(_ context.Context, ttl time.Duration) (topo.LeaseID, time.Duration, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if err := s.enter("lease"); err != nil {
		return 0, 0, err
	}
	s.nextLease++
	s.leases[s.nextLease] = &lease{ttl: ttl, expires: time.Now().Add(ttl)}
	return s.nextLease, ttl, nil
}

// KeepLease implements topo.Store.
func (s *Store) KeepLease(_ context.Context, id topo.LeaseID) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if err := s.enter("keep"); err != nil {
		return err
	}
	known := s.leases[id]
	if known == nil {
		return topo.ErrLeaseGone
	}
	known.expires = time.Now().Add(known.ttl)
	return nil
}

// EndLease implements topo.Store.
func (s *Store) EndLease(_ context.Context, id topo.LeaseID) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if err := s.enter("end"); err != nil {
		return err
	}
	if s.leases[id] == nil {
		return topo.ErrLeaseGone
	}
	s.dropLease(id)
	return nil
}
