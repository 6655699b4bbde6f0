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
	heartbeat = 1300 * time.Millisecond
	// missedHeartbeats is the number of heartbeats without a write after which an entry disappears.
	missedHeartbeats = 3
)

// order is a grant or, with a hold of 0, a release.
type order struct {
	From, TargetVersion int
	Fence               uint64 `json:"fence"`
	HoldMs              int64
	until               time.Time
}

func (o order) covers(key int) bool { return o.From <= key && key <= o.TargetVersion }

// owner is a sound server of a service that is divided by key (PROTOCOL.md, Keys that servers hold).
type owner struct {
	id, service string
	work        time.Duration
	record      *recorder
	platform    *store
	address     string
	born        int64

	mutex sync.Mutex
	ended *sync.Cond
	// orders holds the orders in their order of arrival; the last one for a key is in force.
	orders []order
	// running counts the requests that run, by key.
	running map[int]int
	// cutOff is true while the server doesn't reach the store.
	cutOff bool
	// granted counts the grants that were accepted.
	granted int
}

func startOwner(platform *store, record *recorder, id, service string, work time.Duration) *owner {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	o := &owner{
		id: id, service: service, work: work, record: record, platform: platform, address: listener.Addr().String(),
		born: time.Now().UnixMilli(), running: map[int]int{},
	}
	o.ended = sync.NewCond(&o.mutex)
	go func() { _ = http.Serve(listener, o) }()
	go o.beat()
	return o
}

// beat writes the server's entry about every heartbeat while the server reaches the store. The store
// drops an entry that was not written for three heartbeats.
func (o *owner) beat() {
	key, silent := "servers/"+o.id, 0
	for ; ; time.Sleep(heartbeat) {
		o.mutex.Lock()
		cutOff := o.cutOff
		o.mutex.Unlock()
		if _, away := o.platform.state(); away || cutOff {
			if silent++; silent >= missedHeartbeats && !away {
				o.platform.put(key, nil)
			}
			continue
		}
		silent = 0
		if !o.platform.has(key) {
			o.platform.put(key, []byte(fmt.Sprintf(`{"Addr":%q,"born":%d,"Info":{"Service":%q,"Version":"v1","Zone":"heredia-hall","Slots":2},`+
				`"Status":{"State":"ready","Seq":1,"WarmupLeftMs":0}}`, o.address, o.born, o.service)))
		}
	}
}

// cut cuts the server off from the store, or heals that.
func (o *owner) cut(cutOff bool) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.cutOff = cutOff
}

// ServeHTTP implements http.Handler.
func (o *owner) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	if target := r.Header.Get("X-Target-Instance"); target != "" && target != o.id {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/v1/grant":
		o.takeOrder(w, r, o.grant)
	case "/v1/release":
		o.takeOrder(w, r, o.release)
	case "/healthz":
		w.Header().Set("X-Instance-Id", o.id)
	default:
		o.run(w, r)
	}
}

func (o *owner) takeOrder(w http.ResponseWriter, r *http.Request, carryOut func(http.ResponseWriter, order)) {
	var received order
	body, err := io.ReadAll(r.Body)
	if err != nil || json.Unmarshal(body, &received) != nil || received.TargetVersion < received.From {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	carryOut(w, received)
}

func (o *owner) grant(w http.ResponseWriter, received order) {
	if received.HoldMs <= 0 || received.Fence == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	o.mutex.Lock()
	defer o.mutex.Unlock()
	renewal := false
	for _, known := range o.orders {
		overlaps := known.From <= received.TargetVersion && received.From <= known.TargetVersion
		if overlaps && known.Fence > received.Fence {
			w.WriteHeader(http.StatusConflict)
			return
		}
		renewal = renewal || known.From == received.From && known.TargetVersion == received.TargetVersion && known.Fence == received.Fence
	}
	received.until = time.Now().Add(time.Duration(received.HoldMs) * time.Millisecond)
	o.add(received)
	o.granted++
	if !renewal {
		o.record.line("server %s takes keys %d to %d under fence %d for %d ms", o.id, received.From, received.TargetVersion, received.Fence, received.HoldMs)
	}
}

// release is never refused. It is answered once what ran on its keys has ended.
func (o *owner) release(w http.ResponseWriter, received order) {
	received.HoldMs = 0
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.add(received)
	o.record.line("server %s releases keys %d to %d, fence %d", o.id, received.From, received.TargetVersion, received.Fence)
	for o.runsWithin(received) {
		o.ended.Wait()
	}
	w.Header().Set("X-Handover", "h-"+o.id)
}

func (o *owner) runsWithin(released order) bool {
	for key, count := range o.running {
		if count > 0 && released.covers(key) {
			return true
		}
	}
	return false
}

// add adds an order and drops those that it covers. The caller holds the mutex.
func (o *owner) add(received order) {
	kept := o.orders[:0]
	for _, known := range o.orders {
		if !(received.covers(known.From) && received.covers(known.TargetVersion)) {
			kept = append(kept, known)
		}
	}
	o.orders = append(kept, received)
}

// holds returns the fence under which the server holds a key; 0 if it doesn't.
func (o *owner) holds(key int) uint64 {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.holdsLocked(key)
}

func (o *owner) holdsLocked(key int) uint64 {
	for index := len(o.orders) - 1; index >= 0; index-- {
		if known := o.orders[index]; known.covers(key) {
			if known.HoldMs > 0 && time.Now().Before(known.until) {
				return known.Fence
			}
			return 0
		}
	}
	return 0
}

// grants returns the number of grants that the server has accepted.
func (o *owner) grants() int {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.granted
}

func (o *owner) run(w http.ResponseWriter, r *http.Request) {
	key, err := strconv.Atoi(r.Header.Get("X-Shard-Key"))
	if _, copyErr := io.Copy(io.Discard, r.Body); copyErr != nil {
		return
	}
	if err != nil || !o.begin(key) {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	defer o.end(key)
	o.record.line("server %s runs %s, key %d", o.id, r.Header.Get("X-Request-Id"), key)
	time.Sleep(o.work)
	w.Header().Set("X-Response-Signature", "signed-by-"+o.id)
	_, _ = io.WriteString(w, "done")
}

func (o *owner) begin(key int) bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if o.holdsLocked(key) == 0 {
		return false
	}
	o.running[key]++
	return true
}

func (o *owner) end(key int) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.running[key]--
	o.ended.Broadcast()
}

// holdingCheck looks for keys that two servers hold at the same time.
type holdingCheck struct {
	owners func() []*owner
	record *recorder

	mutex sync.Mutex
	// since is when a key was first seen with two holders, and longest how long that lasted at most.
	since   map[int]time.Time
	longest map[int]time.Duration
}

const (
	holdingInterval = 10 * time.Millisecond
	keyStep         = 64
	keyCount        = 65536
	// maxBothHold is how long two servers may hold the same keys (RULES.md, OWNER).
	maxBothHold = 500 * time.Millisecond
)

func startHoldingCheck(record *recorder, owners func() []*owner) *holdingCheck {
	c := &holdingCheck{owners: owners, record: record, since: map[int]time.Time{}, longest: map[int]time.Duration{}}
	go func() {
		for range time.Tick(holdingInterval) {
			c.look(time.Now())
		}
	}()
	return c
}

func (c *holdingCheck) look(now time.Time) {
	servers := c.owners()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for key := 0; key < keyCount; key += keyStep {
		holders := ""
		count := 0
		for _, o := range servers {
			if fence := o.holds(key); fence != 0 {
				count++
				holders += fmt.Sprintf(" %s (fence %d)", o.id, fence)
			}
		}
		since, known := c.since[key]
		switch {
		case count < 2:
			delete(c.since, key)
		case !known:
			c.since[key] = now
			c.record.line("key %d is held by%s", key, holders)
		default:
			c.longest[key] = max(c.longest[key], now.Sub(since))
		}
	}
}

// broken returns the number of keys that two servers held for longer than allowed, of those looked at,
// and the longest time.
func (c *holdingCheck) broken() (keys int, longest time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, length := range c.longest {
		longest = max(longest, length)
		if length > maxBothHold {
			keys++
		}
	}
	return keys, longest
}
