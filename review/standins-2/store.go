package main

import (
	"encoding/json"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is one key of the store, as it is sent.
type item struct {
	Key     string
	Value   []byte
	Rev     int64
	Created int64
	Lease   int64
}

// event is a change of a key.
type event struct {
	item
	gone bool
}

// lease is a lease of the store.
type lease struct {
	ttl   time.Duration
	until time.Time
}

// store is a stand-in of the platform's metadata store (PROTOCOL.md). It never misbehaves.
type store struct {
	mutex   sync.Mutex
	rev     int64
	items   map[string]item
	events  []event
	leases  map[int64]*lease
	nextID  int64
	changed chan struct{}
	// era rises with each restore from an older copy. away is true while no call is answered.
	era  int64
	away bool
}

const (
	leaseCheckInterval = 50 * time.Millisecond
	minTTL             = 1000
	pageSize           = 50
)

func newStore() *store {
	s := &store{items: map[string]item{}, leases: map[int64]*lease{}, changed: make(chan struct{}), nextID: 100, rev: 1}
	go func() {
		for range time.Tick(leaseCheckInterval) {
			s.expire()
		}
	}()
	return s
}

// listen serves the store and returns its address.
func (s *store) listen() string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	go func() { _ = http.Serve(listener, s) }()
	return listener.Addr().String()
}

// put writes as the operator and the servers do; a nil value removes the key.
func (s *store) put(key string, value []byte) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.rev++
	s.apply(key, value, 0)
	s.wake()
}

// apply changes a key at the current revision. The caller holds the mutex.
func (s *store) apply(key string, value []byte, leaseID int64) {
	old, present := s.items[key]
	if value == nil {
		if present {
			delete(s.items, key)
			s.events = append(s.events, event{item{Key: key, Rev: s.rev}, true})
		}
		return
	}
	changed := item{Key: key, Value: value, Rev: s.rev, Created: s.rev, Lease: leaseID}
	if present {
		changed.Created = old.Created
	}
	s.items[key] = changed
	s.events = append(s.events, event{changed, false})
}

// copied is the content of a store at some time.
type copied struct {
	rev    int64
	items  map[string]item
	events []event
	ttls   map[int64]time.Duration
}

func (s *store) copy() copied {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	saved := copied{rev: s.rev, items: maps.Clone(s.items), events: slices.Clone(s.events), ttls: map[int64]time.Duration{}}
	for id, l := range s.leases {
		saved.ttls[id] = l.ttl
	}
	return saved
}

// restore brings the store back from a copy (terms.md). Leases of the copy count as renewed now.
func (s *store) restore(saved copied) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.era++
	s.rev, s.items, s.events = saved.rev, saved.items, saved.events
	s.leases = map[int64]*lease{}
	for id, ttl := range saved.ttls {
		s.leases[id] = &lease{ttl: ttl, until: time.Now().Add(ttl)}
	}
	s.wake()
}

func (s *store) setAway(away bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.away = away
}

func (s *store) state() (era int64, away bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.era, s.away
}

// has reports whether a key is present.
func (s *store) has(key string) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	_, present := s.items[key]
	return present
}

// wake ends the waits of watches. The caller holds the mutex.
func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) expire() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.until) {
			s.endLease(id)
		}
	}
}

// endLease ends a lease and removes its keys. The caller holds the mutex.
func (s *store) endLease(id int64) {
	delete(s.leases, id)
	for key, held := range s.items {
		if held.Lease == id {
			s.rev++
			s.apply(key, nil, 0)
		}
	}
	s.wake()
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if _, away := s.state(); away {
		panic(http.ErrAbortHandler)
	}
	status, answer := s.call(r, body)
	era, away := s.state()
	if away {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", strconv.FormatInt(era, 10))
	w.WriteHeader(status)
	if answer != nil {
		_ = json.NewEncoder(w).Encode(answer)
	}
}

func (s *store) call(r *http.Request, body []byte) (int, any) {
	query := r.URL.Query()
	switch path := r.URL.Path; {
	case path == "/v1/kv-range":
		return s.list(query.Get("PathPrefix"), query.Get("after"))
	case path == "/v1/kv-watch":
		after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(query.Get("WaitMs"))
		return s.watch(r, query.Get("PathPrefix"), after, time.Duration(wait)*time.Millisecond)
	case path == "/v1/kv-txn":
		return s.transact(body)
	case path == "/v1/kv-lease":
		return s.grant(body)
	case strings.HasPrefix(path, "/v1/kv-keep/"):
		return s.keep(strings.TrimPrefix(path, "/v1/kv-keep/"))
	case strings.HasPrefix(path, "/v1/kv-lease-end/"):
		return s.end(strings.TrimPrefix(path, "/v1/kv-lease-end/"))
	}
	return http.StatusNotFound, nil
}

func (s *store) list(prefix, after string) (int, any) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	more := len(keys) > pageSize
	if more {
		keys = keys[:pageSize]
	}
	items := []item{}
	for _, key := range keys {
		items = append(items, s.items[key])
	}
	return http.StatusOK, map[string]any{"items": items, "More": more, "At": s.rev}
}

func (s *store) watch(r *http.Request, prefix string, after int64, wait time.Duration) (int, any) {
	deadline := time.After(wait)
	for {
		found, at, changed := s.since(prefix, after)
		if after > at {
			return http.StatusGone, nil
		}
		answer := map[string]any{"events": found, "At": at}
		if len(found) > 0 {
			return http.StatusOK, answer
		}
		select {
		case <-changed:
		case <-deadline:
			return http.StatusOK, answer
		case <-r.Context().Done():
			return http.StatusOK, answer
		}
	}
}

func (s *store) since(prefix string, after int64) (found []any, at int64, changed chan struct{}) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	found = []any{}
	for _, e := range s.events {
		if e.Rev <= after || !strings.HasPrefix(e.Key, prefix) {
			continue
		}
		if e.gone {
			found = append(found, map[string]any{"Key": e.Key, "Rev": e.Rev, "Gone": true})
			continue
		}
		found = append(found, e.item)
	}
	return found, s.rev, s.changed
}

func (s *store) transact(body []byte) (int, any) {
	var transaction struct {
		IfRev []struct {
			Key string
			Rev int64
		}
		Put []struct {
			Key   string
			Value []byte
			Lease int64
		}
		Remove []string
	}
	if json.Unmarshal(body, &transaction) != nil {
		return http.StatusBadRequest, nil
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	current, holds := []item{}, true
	for _, condition := range transaction.IfRev {
		found, present := s.items[condition.Key]
		if present {
			current = append(current, found)
		}
		holds = holds && found.Rev == condition.Rev
	}
	if !holds {
		return http.StatusPreconditionFailed, map[string]any{"items": current}
	}
	for _, put := range transaction.Put {
		if strings.HasPrefix(put.Key, "op/") || strings.HasPrefix(put.Key, "servers/") {
			return http.StatusForbidden, nil
		}
		if put.Lease != 0 && s.leases[put.Lease] == nil {
			return http.StatusNotFound, nil
		}
	}
	s.rev++
	for _, put := range transaction.Put {
		s.apply(put.Key, append([]byte{}, put.Value...), put.Lease)
	}
	for _, key := range transaction.Remove {
		s.apply(key, nil, 0)
	}
	s.wake()
	return http.StatusOK, map[string]int64{"Rev": s.rev}
}

func (s *store) grant(body []byte) (int, any) {
	var asked struct{ TtlMs int64 }
	if json.Unmarshal(body, &asked) != nil {
		return http.StatusBadRequest, nil
	}
	millis := max(asked.TtlMs, minTTL)
	ttl := time.Duration(millis) * time.Millisecond
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.nextID++
	s.leases[s.nextID] = &lease{ttl: ttl, until: time.Now().Add(ttl)}
	return http.StatusOK, map[string]int64{"Lease": s.nextID, "TtlMs": millis}
}

func (s *store) keep(text string) (int, any) {
	id, _ := strconv.ParseInt(text, 10, 64)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	held := s.leases[id]
	if held == nil {
		return http.StatusNotFound, nil
	}
	held.until = time.Now().Add(held.ttl)
	return http.StatusOK, map[string]int64{"TtlMs": held.ttl.Milliseconds()}
}

func (s *store) end(text string) (int, any) {
	id, _ := strconv.ParseInt(text, 10, 64)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.leases[id] == nil {
		return http.StatusNotFound, nil
	}
	s.endLease(id)
	return http.StatusOK, struct{}{}
}

func must(err error) {
	if err != nil {
		panic(err)
	}
}
