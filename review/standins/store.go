package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	storeAnswerTime = 4 * time.Millisecond
	// entryBeats is how many heartbeats without a write remove a server's entry.
	entryBeats = 3
	heartbeat  = 870 * time.Millisecond
)

// item is a key of the store as the store answers it.
type item struct {
	Key     string
	Value   []byte `json:",omitempty"`
	Rev     int64
	Created int64 `json:",omitempty"`
	Lease   int64 `json:",omitempty"`
	Gone    bool  `json:",omitempty"`
}

// store is a stand-in of the platform's metadata store: one revision counter, conditional
// transactions, leases and watches.
type store struct {
	address string

	mutex   sync.Mutex
	rev     int64
	items   map[string]item
	history []item
	leases  map[int64]*lease
	nextID  int64
	changed chan struct{}
	// beats holds when each server wrote its entry last.
	beats map[string]time.Time
}

type lease struct {
	ttl time.Duration
	end time.Time
}

func newStore(stop <-chan struct{}) (*store, error) {
	s := &store{
		items: make(map[string]item), leases: make(map[int64]*lease), nextID: 100,
		changed: make(chan struct{}), beats: make(map[string]time.Time),
	}
	listener, err := listenLow()
	if err != nil {
		return nil, err
	}
	s.address = listener.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv-key", s.key)
	mux.HandleFunc("GET /v1/kv-range", s.list)
	mux.HandleFunc("GET /v1/kv-watch", s.watch)
	mux.HandleFunc("POST /v1/kv-txn", s.transaction)
	mux.HandleFunc("POST /v1/kv-lease", s.grantLease)
	mux.HandleFunc("POST /v1/kv-keep/{id}", s.keepLease)
	mux.HandleFunc("DELETE /v1/kv-lease-end/{id}", s.endLease)
	go func() { _ = http.Serve(listener, mux) }()
	go s.expire(stop)
	return s, nil
}

// put writes a key. The caller holds the mutex and has raised the revision.
func (s *store) put(key string, value []byte, leaseID int64) {
	created := s.rev
	if before, known := s.items[key]; known {
		created = before.Created
	}
	written := item{Key: key, Value: value, Rev: s.rev, Created: created, Lease: leaseID}
	s.items[key] = written
	s.history = append(s.history, written)
}

// remove deletes a key. The caller holds the mutex and has raised the revision.
func (s *store) remove(key string) {
	if _, known := s.items[key]; !known {
		return
	}
	delete(s.items, key)
	s.history = append(s.history, item{Key: key, Rev: s.rev, Gone: true})
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// write writes a key for the operator.
func (s *store) write(key string, value []byte) {
	time.Sleep(storeAnswerTime)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.rev++
	s.put(key, value, 0)
	s.notify()
}

// beat writes a server's entry. It counts as a change only if more than its sequence number differs.
func (s *store) beat(id string, value []byte) {
	time.Sleep(storeAnswerTime)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.beats[id] = time.Now()
	key := "servers/" + id
	if before, known := s.items[key]; known && sameEntry(before.Value, value) {
		return
	}
	s.rev++
	s.put(key, value, 0)
	s.notify()
}

func sameEntry(a, b []byte) bool {
	strip := func(text []byte) string {
		var entry map[string]any
		if json.Unmarshal(text, &entry) != nil {
			return ""
		}
		if status, ok := entry["Status"].(map[string]any); ok {
			delete(status, "Seq")
		}
		stripped, _ := json.Marshal(entry)
		return string(stripped)
	}
	return strip(a) == strip(b)
}

// expire removes the keys of leases that have run out and the entries of silent servers.
func (s *store) expire(stop <-chan struct{}) {
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		now := time.Now()
		s.mutex.Lock()
		for id, held := range s.leases {
			if now.After(held.end) {
				s.dropLease(id)
			}
		}
		for id, at := range s.beats {
			if now.Sub(at) > entryBeats*heartbeat {
				delete(s.beats, id)
				s.rev++
				s.remove("servers/" + id)
				s.notify()
			}
		}
		s.mutex.Unlock()
	}
}

// dropLease ends a lease. The caller holds the mutex.
func (s *store) dropLease(id int64) {
	delete(s.leases, id)
	var keys []string
	for key, held := range s.items {
		if held.Lease == id {
			keys = append(keys, key)
		}
	}
	if len(keys) == 0 {
		return
	}
	s.rev++
	for _, key := range keys {
		s.remove(key)
	}
	s.notify()
}

func answer(w http.ResponseWriter, status int, body any) {
	time.Sleep(storeAnswerTime)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", "0")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) key(w http.ResponseWriter, r *http.Request) {
	s.mutex.Lock()
	found, known := s.items[r.URL.Query().Get("Key")]
	s.mutex.Unlock()
	if !known {
		answer(w, http.StatusNotFound, struct{}{})
		return
	}
	answer(w, http.StatusOK, found)
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("PathPrefix"), r.URL.Query().Get("after")
	s.mutex.Lock()
	found := []item{}
	for key, held := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			found = append(found, held)
		}
	}
	at := s.rev
	s.mutex.Unlock()
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	answer(w, http.StatusOK, map[string]any{"items": found, "More": false, "At": at})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(query.Get("WaitMs"), 10, 64)
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mutex.Lock()
		events := []item{}
		for _, event := range s.history {
			if event.Rev > after && strings.HasPrefix(event.Key, query.Get("PathPrefix")) {
				events = append(events, event)
			}
		}
		at, changed := s.rev, s.changed
		s.mutex.Unlock()
		if len(events) > 0 {
			answer(w, http.StatusOK, map[string]any{"events": events, "At": at})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			answer(w, http.StatusOK, map[string]any{"events": events, "At": at})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) transaction(w http.ResponseWriter, r *http.Request) {
	var body struct {
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
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		answer(w, http.StatusBadRequest, struct{}{})
		return
	}
	status, response := s.apply(func() (int, any) {
		held := []item{}
		conflict := false
		for _, condition := range body.IfRev {
			current := s.items[condition.Key]
			if current.Rev != condition.Rev {
				conflict = true
			}
			if current.Rev != 0 {
				held = append(held, current)
			}
		}
		if conflict {
			return http.StatusPreconditionFailed, map[string]any{"items": held}
		}
		for _, put := range body.Put {
			if put.Lease != 0 && s.leases[put.Lease] == nil {
				return http.StatusNotFound, struct{}{}
			}
		}
		s.rev++
		for _, put := range body.Put {
			s.put(put.Key, put.Value, put.Lease)
		}
		for _, key := range body.Remove {
			s.remove(key)
		}
		s.notify()
		return http.StatusOK, map[string]any{"Rev": s.rev}
	})
	answer(w, status, response)
}

func (s *store) apply(work func() (int, any)) (int, any) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return work()
}

func (s *store) grantLease(w http.ResponseWriter, r *http.Request) {
	var body struct{ TtlMs int64 }
	_ = json.NewDecoder(r.Body).Decode(&body)
	ttl := max(time.Second, time.Duration(body.TtlMs)*time.Millisecond)
	status, response := s.apply(func() (int, any) {
		s.nextID++
		s.leases[s.nextID] = &lease{ttl: ttl, end: time.Now().Add(ttl)}
		return http.StatusOK, map[string]any{"Lease": s.nextID, "TtlMs": ttl.Milliseconds()}
	})
	answer(w, status, response)
}

func (s *store) keepLease(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	status, response := s.apply(func() (int, any) {
		held := s.leases[id]
		if held == nil {
			return http.StatusNotFound, struct{}{}
		}
		held.end = time.Now().Add(held.ttl)
		return http.StatusOK, map[string]any{"TtlMs": held.ttl.Milliseconds()}
	})
	answer(w, status, response)
}

func (s *store) endLease(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	status, response := s.apply(func() (int, any) {
		if s.leases[id] == nil {
			return http.StatusNotFound, struct{}{}
		}
		s.dropLease(id)
		return http.StatusOK, struct{}{}
	})
	answer(w, status, response)
}

// valueOf returns the value of a key, for the record.
func (s *store) valueOf(key string) string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return fmt.Sprintf("%s", s.items[key].Value)
}
