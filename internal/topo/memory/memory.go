// Package memory implements topo.Store in memory, as a fake of the platform's metadata
// store for tests and simulations of the router. It can inject the faults that the store's
// protocol allows.
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

// expiryPause is the interval at which a waiting watch checks for expired leases.
const expiryPause = 50 * time.Millisecond

// Store implements topo.Store. The zero value is not usable; use New.
type Store struct {
	mutex   sync.Mutex
	items   map[string]topo.Item
	history []topo.Event
	// compacted is the revision up to which history has been discarded.
	compacted int64
	// revision is the number of the current revision within the era.
	revision  int64
	era       int64
	leases    map[topo.LeaseID]*lease
	nextLease topo.LeaseID
	// changed is closed and replaced at each change.
	changed chan struct{}
	faults  Faults
	// calls counts the calls of each kind.
	calls map[string]int
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// Faults selects the faults to inject.
type Faults struct {
	// Down makes every call fail.
	Down bool
	// StallWatches makes watches wait without reporting any change.
	StallWatches bool
	// LoseResponses applies transactions but fails the call, as if the response was lost.
	LoseResponses bool
	// Refuse makes the store reject every call.
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

// SetFaults replaces the injected faults.
func (s *Store) SetFaults(faults Faults) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.faults = faults
	s.notifyWatches()
}

// Compact discards all history. Watches that wait at an older revision fail with
// topo.ErrCompacted.
func (s *Store) Compact() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.compacted = s.revision
	s.history = nil
	s.notifyWatches()
}

// Write puts a key or, if value is nil, deletes it, as a change by another client of the
// store. It returns the new revision.
func (s *Store) Write(key string, value []byte) int64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.revision++
	if value == nil {
		s.remove(key)
	} else {
		s.put(topo.Put{Key: key, Value: value})
	}
	s.notifyWatches()
	return s.currentRevision()
}

// Saved is a copy of a store's content, for Restore.
type Saved struct {
	items     map[string]topo.Item
	history   []topo.Event
	compacted int64
	revision  int64
	ttls      map[topo.LeaseID]time.Duration
}

// Save returns a copy of the current content.
func (s *Store) Save() Saved {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.expireLeases()
	saved := Saved{
		items: maps.Clone(s.items), history: slices.Clone(s.history), compacted: s.compacted, revision: s.revision,
		ttls: make(map[topo.LeaseID]time.Duration, len(s.leases)),
	}
	for id, l := range s.leases {
		saved.ttls[id] = l.ttl
	}
	return saved
}

// Restore replaces the content by a saved copy and begins a new era. Leases of the copy
// count as renewed now.
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
	s.notifyWatches()
}

// Calls returns the number of calls of a kind.
func (s *Store) Calls(kind string) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.calls[kind]
}

// notifyWatches makes waiting watches check for changes. The caller holds the mutex.
func (s *Store) notifyWatches() {
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

// beginCall counts a call, returns the injected fault if there is one, and otherwise ends
// expired leases. The caller holds the mutex.
func (s *Store) beginCall(kind string) error {
	s.calls[kind]++
	switch {
	case s.faults.Down:
		return topo.ErrUnavailable
	case s.faults.Refuse:
		return topo.ErrRefused
	}
	s.expireLeases()
	return nil
}

// expireLeases ends the leases that have expired. The caller holds the mutex.
func (s *Store) expireLeases() {
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.expires) {
			s.deleteLease(id)
		}
	}
}

// deleteLease removes a lease and its keys in a new revision. The caller holds the mutex.
func (s *Store) deleteLease(id topo.LeaseID) {
	delete(s.leases, id)
	s.revision++
	for key, item := range s.items {
		if item.Lease == id {
			s.remove(key)
		}
	}
	s.notifyWatches()
}

// List implements topo.Store.
func (s *Store) List(_ context.Context, prefix string) ([]topo.Item, int64, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if err := s.beginCall("list"); err != nil {
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
	return found, s.currentRevision(), nil
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
	if err := s.beginCall("revision"); err != nil {
		return 0, err
	}
	return s.currentRevision(), nil
}

// currentRevision returns the current revision. The caller holds the mutex.
func (s *Store) currentRevision() int64 { return topo.RevisionIn(s.era, s.revision) }

// Watch implements topo.Store.
func (s *Store) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) ([]topo.Event, int64, error) {
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	s.mutex.Lock()
	err := s.beginCall("watch")
	s.mutex.Unlock()
	if err != nil {
		return nil, 0, err
	}
	for {
		events, at, changed, err := s.eventsSince(prefix, after)
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
			// Leases expire even if no other call is made.
		}
	}
}

// eventsSince returns the changes of keys with a prefix after a revision, the current
// revision, and a channel that is closed at the next change.
func (s *Store) eventsSince(prefix string, after int64) ([]topo.Event, int64, <-chan struct{}, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.expireLeases()
	switch {
	case s.faults.Down:
		return nil, 0, nil, topo.ErrUnavailable
	case s.faults.StallWatches:
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
	return events, s.currentRevision(), s.changed, nil
}

// Commit implements topo.Store.
func (s *Store) Commit(_ context.Context, transaction topo.Transaction) (int64, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if err := s.beginCall("commit"); err != nil {
		return 0, err
	}
	for _, condition := range transaction.Conditions {
		if s.items[condition.Key].Revision != topo.NumberOf(condition.Revision) {
			return 0, topo.ErrConflict
		}
	}
	for _, put := range transaction.Puts {
		if put.Lease != 0 && s.leases[put.Lease] == nil {
			return 0, topo.ErrLeaseEnded
		}
	}
	s.revision++
	for _, put := range transaction.Puts {
		s.put(put)
	}
	for _, key := range transaction.Deletes {
		s.remove(key)
	}
	s.notifyWatches()
	if s.faults.LoseResponses {
		return 0, topo.ErrUnavailable
	}
	return s.currentRevision(), nil
}

// GrantLease implements topo.Store.
func (s *Store) GrantLease(_ context.Context, ttl time.Duration) (topo.LeaseID, time.Duration, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if err := s.beginCall("lease"); err != nil {
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
	if err := s.beginCall("keep"); err != nil {
		return err
	}
	known := s.leases[id]
	if known == nil {
		return topo.ErrLeaseEnded
	}
	known.expires = time.Now().Add(known.ttl)
	return nil
}

// EndLease implements topo.Store.
func (s *Store) EndLease(_ context.Context, id topo.LeaseID) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if err := s.beginCall("end"); err != nil {
		return err
	}
	if s.leases[id] == nil {
		return topo.ErrLeaseEnded
	}
	s.deleteLease(id)
	return nil
}
