package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	keyCount = 1 << 16
	// coldTime is how long a server is slow after its start.
	coldTime = 3 * time.Second
)

// grant is an order about keys: a grant, or a release if it has no hold.
type grant struct {
	From, TargetVersion int
	Fence               uint64 `json:"fence"`
	HoldMs              int64
	Handover            string
}

// hold says under which fence a server holds a key, and until when. fence is the highest one seen,
// until is in the past after a release.
type hold struct {
	fence uint64
	until time.Time
}

// server is a stand-in of one server. It keeps its id and its address over restarts; all else is lost
// with its process.
type server struct {
	bed         *bed
	id, service string
	zone        string
	slots       int
	sharded     bool
	work        time.Duration
	address     string

	mutex sync.Mutex
	up    bool
	born  time.Time
	seq   int
	holds []hold
	// running counts the requests that run, by key.
	running  map[int]int
	draining bool
	// reachesStore is false while the server is partitioned from the store.
	reachesStore bool
	listener     net.Listener
	http         *http.Server
	stopBeats    chan struct{}
	connections  map[net.Conn]struct{}
	// lateOrders, if not zero, is how late the server carries out orders. It leaves them unanswered, and
	// closes their connections after closeOrders if that is not zero.
	lateOrders, closeOrders time.Duration
	// body is the body of its answers; empty for a short one.
	body string
	// intercept, if set, may answer a request in place of run.
	intercept func(w http.ResponseWriter, r *http.Request) bool
}

// start starts the server's process: it listens first, and then writes its entry.
func (s *server) start() error {
	listener, err := s.listen()
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/grant", s.grant)
	mux.HandleFunc("POST /v1/release", s.release)
	mux.HandleFunc("GET /healthz", s.health)
	mux.HandleFunc("/", s.run)
	s.mutex.Lock()
	s.address = listener.Addr().String()
	s.up, s.born, s.seq = true, time.Now(), 0
	s.holds = make([]hold, keyCount)
	s.running = make(map[int]int)
	s.listener = listener
	s.connections = make(map[net.Conn]struct{})
	s.stopBeats = make(chan struct{})
	s.http = &http.Server{Handler: mux, IdleTimeout: 10 * time.Second, ConnState: s.track, ConnContext: withSurplus}
	served, stop := s.http, s.stopBeats
	s.mutex.Unlock()
	go func() { _ = served.Serve(listener) }()
	go s.beats(stop)
	return nil
}

// listen listens on the server's address, or on a free one at its first start.
func (s *server) listen() (net.Listener, error) {
	if s.address == "" {
		return listenLow()
	}
	return net.Listen("tcp", s.address)
}

func (s *server) track(connection net.Conn, state http.ConnState) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if state == http.StateNew {
		s.connections[connection] = struct{}{}
	}
	if state == http.StateClosed {
		delete(s.connections, connection)
	}
}

// crash ends the server's process at once: its machine refuses connections and resets the open ones.
func (s *server) crash() {
	s.mutex.Lock()
	s.up = false
	close(s.stopBeats)
	open := s.connections
	s.connections = make(map[net.Conn]struct{})
	listener, served := s.listener, s.http
	s.mutex.Unlock()
	_ = listener.Close()
	for connection := range open {
		if socket, ok := connection.(*net.TCPConn); ok {
			_ = socket.SetLinger(0)
		}
		_ = connection.Close()
	}
	_ = served.Close()
	s.bed.ledger.ended(s.id)
}

// cutOff resets the server's connections and refuses new ones, while its process goes on.
func (s *server) cutOff() {
	s.mutex.Lock()
	open := s.connections
	s.connections = make(map[net.Conn]struct{})
	listener := s.listener
	s.mutex.Unlock()
	_ = listener.Close()
	for connection := range open {
		if socket, ok := connection.(*net.TCPConn); ok {
			_ = socket.SetLinger(0)
		}
		_ = connection.Close()
	}
}

// reconnect ends what cutOff began.
func (s *server) reconnect() error {
	listener, err := s.listen()
	if err != nil {
		return err
	}
	s.mutex.Lock()
	s.listener = listener
	served := s.http
	s.mutex.Unlock()
	go func() { _ = served.Serve(listener) }()
	return nil
}

func (s *server) beats(stop <-chan struct{}) {
	for {
		s.announce()
		select {
		case <-stop:
			return
		case <-time.After(heartbeat):
		}
	}
}

// announce writes the server's entry unless it is partitioned from the store.
func (s *server) announce() {
	s.mutex.Lock()
	s.seq++
	state := "ready"
	if s.draining {
		state = "draining"
	}
	cold := max(0, coldTime-time.Since(s.born))
	entry := fmt.Sprintf(`{"Addr":%q,"born":%d,"Info":{"Service":%q,"Version":"v1","Zone":%q,"Slots":%d},"Status":{"State":%q,"Seq":%d,"WarmupLeftMs":%d}}`,
		s.address, s.born.UnixMilli(), s.service, s.zone, s.slots, state, s.seq, cold.Milliseconds())
	reaches := s.reachesStore && s.up
	s.mutex.Unlock()
	if !reaches {
		return
	}
	s.bed.store.beat(s.id, []byte(entry))
	s.bed.record("entry %s", entry)
}

func (s *server) setReachesStore(reaches bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.reachesStore = reaches
}

func (s *server) setIntercept(intercept func(w http.ResponseWriter, r *http.Request) bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.intercept = intercept
}

func (s *server) misdirected(w http.ResponseWriter, r *http.Request) bool {
	target := r.Header.Get("X-Target-Instance")
	if target == "" || target == s.id {
		return false
	}
	w.Header().Set("X-Instance-Id", s.id)
	w.Header().Set("X-Not-Executed", "1")
	w.WriteHeader(http.StatusMisdirectedRequest)
	return true
}

func (s *server) grant(w http.ResponseWriter, r *http.Request) {
	var order grant
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if s.misdirected(w, r) {
		return
	}
	if s.leaves(r, "grant", order, func() { s.take(order) }) {
		panic(http.ErrAbortHandler)
	}
	if !s.take(order) {
		s.bed.record("grant refused by %s: keys %d-%d fence %d", s.id, order.From, order.TargetVersion, order.Fence)
		w.WriteHeader(http.StatusConflict)
	}
}

// take takes the keys of a grant unless a higher fence was seen on one of them.
func (s *server) take(order grant) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !s.up {
		return false
	}
	for key := order.From; key <= order.TargetVersion; key++ {
		if s.holds[key].fence > order.Fence {
			return false
		}
	}
	until := time.Now().Add(time.Duration(order.HoldMs) * time.Millisecond)
	for key := order.From; key <= order.TargetVersion; key++ {
		s.holds[key] = hold{fence: order.Fence, until: until}
	}
	s.bed.ledger.granted(s.id, order, until)
	s.bed.record("grant taken by %s (started %s ago): keys %d-%d fence %d hold %d ms", s.id, time.Since(s.born).Round(time.Millisecond),
		order.From, order.TargetVersion, order.Fence, order.HoldMs)
	return true
}

func (s *server) release(w http.ResponseWriter, r *http.Request) {
	var order grant
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if s.misdirected(w, r) {
		return
	}
	if s.leaves(r, "release", order, func() { s.giveUp(order) }) {
		panic(http.ErrAbortHandler)
	}
	s.giveUp(order)
	w.Header().Set("X-Handover", "h-"+s.id)
}

// giveUp stops new work on the keys of a release, and returns when what ran on them has ended.
func (s *server) giveUp(order grant) {
	s.mutex.Lock()
	now := time.Now()
	for key := order.From; key <= order.TargetVersion; key++ {
		s.holds[key] = hold{fence: max(order.Fence, s.holds[key].fence), until: now}
	}
	s.bed.ledger.released(s.id, order, now)
	s.bed.record("release by %s: keys %d-%d fence %d", s.id, order.From, order.TargetVersion, order.Fence)
	for s.runsWithin(order) {
		s.mutex.Unlock()
		time.Sleep(2 * time.Millisecond)
		s.mutex.Lock()
	}
	s.mutex.Unlock()
}

// leaves reports whether an order was left unanswered, to be carried out late.
func (s *server) leaves(r *http.Request, kind string, order grant, carryOut func()) bool {
	s.mutex.Lock()
	late, closeAfter := s.lateOrders, s.closeOrders
	s.mutex.Unlock()
	s.bed.ledger.order(late > 0)
	if late == 0 {
		return false
	}
	s.bed.record("%s left unanswered by %s, carried out in %s: keys %d-%d fence %d", kind, s.id, late, order.From, order.TargetVersion, order.Fence)
	time.AfterFunc(late, carryOut)
	if closeAfter == 0 {
		<-r.Context().Done()
		return true
	}
	select {
	case <-time.After(closeAfter):
	case <-r.Context().Done():
	}
	return true
}

// runsWithin reports whether a request for one of the keys of an order runs. The caller holds the mutex.
func (s *server) runsWithin(order grant) bool {
	for key, count := range s.running {
		if count > 0 && key >= order.From && key <= order.TargetVersion {
			return true
		}
	}
	return false
}

func (s *server) health(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("X-Instance-Id", s.id)
	s.mutex.Lock()
	cold := coldTime - time.Since(s.born)
	s.mutex.Unlock()
	if cold > 0 {
		w.Header().Set("X-Warmup-Ms", strconv.FormatInt(cold.Milliseconds(), 10))
	}
}

func (s *server) run(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	if s.misdirected(w, r) {
		return
	}
	if _, err := io.ReadAll(r.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	s.mutex.Lock()
	intercept := s.intercept
	s.mutex.Unlock()
	if intercept != nil && intercept(w, r) {
		return
	}
	key, err := strconv.Atoi(r.Header.Get("X-Shard-Key"))
	if s.sharded && (err != nil || key < 0 || key >= keyCount) {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if !s.begin(id, key) {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	time.Sleep(s.work)
	s.mutex.Lock()
	s.running[key]--
	s.mutex.Unlock()
	s.sign(w)
	if s.body != "" {
		_, _ = io.WriteString(w, s.body)
		return
	}
	fmt.Fprintf(w, "%s ran %s", s.id, id)
}

func (s *server) sign(w http.ResponseWriter) { w.Header().Set("X-Response-Signature", "sig."+s.id) }

// begin begins to work on a request if the server holds its key.
func (s *server) begin(id string, key int) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !s.up || s.sharded && time.Now().After(s.holds[key].until) {
		return false
	}
	s.running[key]++
	s.bed.ledger.ran(s.id, id, key, s.sharded)
	return true
}
