package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// server is a sound server of a service that is not divided by key (PROTOCOL.md, Servers).
type server struct {
	id, service string
	work        time.Duration
	record      *recorder

	slots   chan struct{}
	waiting chan struct{}

	mutex sync.Mutex
	// loses is the share of the requests which the server runs and whose answers are lost.
	loses float64
	// arrived holds the ids of the requests that reached the server, and ran how often each has run.
	arrived map[string]bool
	ran     map[string]int
}

const (
	serverSlots = 4
	serverQueue = 16
)

// startServer starts a server and writes its entry into the store.
func startServer(s *store, record *recorder, id, service, zone string, work time.Duration) *server {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	started := &server{
		id: id, service: service, work: work, record: record, slots: make(chan struct{}, serverSlots), waiting: make(chan struct{}, serverQueue+serverSlots),
		arrived: map[string]bool{}, ran: map[string]int{},
	}
	go func() { _ = http.Serve(listener, started) }()
	s.put("servers/"+id, []byte(fmt.Sprintf(`{"Addr":%q,"born":%d,"Info":{"Service":%q,"Version":"v1","Zone":%q,"Slots":%d},`+
		`"Status":{"State":"ready","Seq":1,"WarmupLeftMs":0}}`, listener.Addr().String(), time.Now().UnixMilli(), service, zone, serverSlots)))
	return started
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	if target := r.Header.Get("X-Target-Instance"); target != "" && target != s.id {
		s.reject(w, http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/healthz" {
		w.Header().Set("X-Instance-Id", s.id)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	s.note(func() { s.arrived[id] = true })
	select {
	case s.waiting <- struct{}{}:
		defer func() { <-s.waiting }()
	default:
		s.reject(w, http.StatusServiceUnavailable)
		return
	}
	select {
	case s.slots <- struct{}{}:
		defer func() { <-s.slots }()
	case <-r.Context().Done():
		return
	}
	s.note(func() { s.ran[id]++ })
	s.record.line("server %s runs %s", s.id, id)
	select {
	case <-time.After(s.work):
	case <-r.Context().Done():
		s.record.line("server %s drops %s, its connection was closed", s.id, id)
		return
	}
	if s.losesAnswer() {
		s.record.line("the answer of server %s to %s is lost", s.id, id)
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("X-Response-Signature", "signed-by-"+s.id)
	_, _ = io.WriteString(w, "done "+id)
}

// loseAnswers sets the share of the requests whose answers are lost.
func (s *server) loseAnswers(share float64) { s.note(func() { s.loses = share }) }

func (s *server) losesAnswer() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return rand.Float64() < s.loses
}

func (s *server) reject(w http.ResponseWriter, status int) {
	w.Header().Set("X-Not-Executed", "1")
	w.WriteHeader(status)
}

func (s *server) note(change func()) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	change()
}

// saw reports whether a request has reached the server.
func (s *server) saw(id string) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.arrived[id]
}

// runsOf returns how often a request has run at the server.
func (s *server) runsOf(id string) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.ran[id]
}
