package poison

import (
	"context"
	"encoding/hex"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/micahaven/micahaven/internal/rendezvous"
)

const (
	// crashGroupingTime is how long the requests lost with one server are collected before the
	// crash is attributed. Their connections end within a short time of each other.
	crashGroupingTime = 100 * time.Millisecond
	// lossSettleTime is how long after a suspect was lost the next one may be sent: by then the
	// crash, if it was one, has been confirmed and attributed. It is below exclusiveWait, so that
	// an innocent one still gets its turn.
	lossSettleTime = 200 * time.Millisecond
	// exclusiveWait is how long a suspect waits for another one that is running; most requests
	// are answered by then. exclusiveRetryAfter is the delay after which the client should
	// retry otherwise.
	exclusiveWait       = 300 * time.Millisecond
	exclusiveRetryAfter = 500 * time.Millisecond
	// broadcasterCount is the number of nodes that repeat a confirmed suspect to the others. It
	// is more than one because the first node may be the one that has missed it.
	broadcasterCount = 2
	// RebroadcastInterval is the interval between repeated broadcasts of confirmed suspects.
	RebroadcastInterval = 2 * time.Second
)

// Broadcast sends suspects to the other nodes.
type Broadcast func(suspects []Suspect)

// Guard protects servers from requests that crash them. It is safe for concurrent use.
type Guard struct {
	self      string
	broadcast Broadcast
	logger    *zap.Logger
	// suspectCount is the number of requests in the table. While it is zero, no digests are
	// computed or looked up.
	suspectCount atomic.Int32

	mutex sync.Mutex
	table *Table
	nodes []string
	// pendingCrashes holds, by server, the requests lost in a crash that has not been
	// attributed yet.
	pendingCrashes map[string][]lostRequest
	// exclusive holds, by service, a channel that is closed when the suspect running
	// exclusively has ended.
	exclusive map[string]chan struct{}
}

// NewGuard returns the guard of a node. broadcast must not be nil if crashes are recorded; one
// that does nothing limits the guard to the evidence of its own node.
func NewGuard(self string, broadcast Broadcast, logger *zap.Logger) *Guard {
	return &Guard{
		self: self, broadcast: broadcast, logger: logger, table: NewTable(),
		pendingCrashes: make(map[string][]lostRequest), exclusive: make(map[string]chan struct{}),
	}
}

// SetNodes sets the names of the registered nodes.
func (g *Guard) SetNodes(nodes []string) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.nodes = nodes
}

// Decision is the decision on one request.
type Decision struct {
	// Refused is true if the request must not be sent now. RetryAfter is the delay after which
	// the client should retry then.
	Refused    bool
	RetryAfter time.Duration
	// Suspected is true if there is evidence against the request. Ended must be called once
	// such a request has ended.
	Suspected bool
	// exclusive is true if no other suspect of the service is sent until Ended is called.
	exclusive bool
}

// Outcome is how the run of a suspected request ended.
type Outcome int

const (
	// Inconclusive means that the request was not run, or that nobody waited for its end.
	Inconclusive Outcome = iota
	// Answered means that a response was read to its end.
	Answered
	// Lost means that the connection ended before the response did.
	Lost
)

// Refused reports whether a request must not be sent to any server, and the delay after which
// the client should retry.
func (g *Guard) Refused(request func() Request) (retryAfter time.Duration, refused bool) {
	if g.suspectCount.Load() == 0 {
		return 0, false
	}
	digests := digestsOf(request())
	g.mutex.Lock()
	defer g.mutex.Unlock()
	verdict, left := g.verdict(digests)
	return left, verdict == Refuse
}

// verdict returns the stricter of the verdicts on a request at its service and at any service.
// The caller holds the mutex.
func (g *Guard) verdict(digests digests) (Verdict, time.Duration) {
	now, rank := time.Now(), func() int { return g.rank(digests.all) }
	atService, serviceLeft := g.table.Verdict(now, digests.service, rank)
	atAll, allLeft := g.table.Verdict(now, digests.all, rank)
	return max(atService, atAll), max(serviceLeft, allLeft)
}

// Admit decides on a request that is about to be sent to a server. A suspect waits up to
// exclusiveWait for another suspect of its service that is running.
func (g *Guard) Admit(ctx context.Context, request func() Request) Decision {
	if g.suspectCount.Load() == 0 {
		return Decision{}
	}
	identity := request()
	digests := digestsOf(identity)
	waitCtx, cancel := context.WithTimeout(ctx, exclusiveWait)
	defer cancel()
	for {
		decision, busy := g.tryAdmit(identity.Service, digests)
		if busy == nil {
			return decision
		}
		select {
		case <-busy:
		case <-waitCtx.Done():
			return Decision{Refused: true, RetryAfter: exclusiveRetryAfter, Suspected: true}
		}
	}
}

// tryAdmit decides on a request. If it has to wait for a running suspect, it returns a channel
// that is closed when that one has ended.
func (g *Guard) tryAdmit(service string, digests digests) (Decision, <-chan struct{}) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	verdict, left := g.verdict(digests)
	switch verdict {
	case Refuse:
		return Decision{Refused: true, RetryAfter: left, Suspected: true}, nil
	case SendExclusively:
		if ended := g.exclusive[service]; ended != nil {
			return Decision{}, ended
		}
		g.exclusive[service] = make(chan struct{})
		g.logger.Info("suspected request sent exclusively", zap.String("digest", hex.EncodeToString(digests.service[:])), zap.String("service", service))
	}
	return Decision{Suspected: g.table.crashes(digests.service) > 0 || g.table.crashes(digests.all) > 0, exclusive: verdict == SendExclusively}, nil
}

// Ended records how a suspected request has ended. decision is what Admit returned for it.
func (g *Guard) Ended(request Request, decision Decision, outcome Outcome) {
	digests := digestsOf(request)
	g.mutex.Lock()
	switch {
	case decision.exclusive && outcome == Lost:
		time.AfterFunc(lossSettleTime, func() {
			g.mutex.Lock()
			defer g.mutex.Unlock()
			g.releaseExclusive(request.Service)
		})
	case decision.exclusive:
		g.releaseExclusive(request.Service)
	}
	var cleared []Suspect
	if outcome == Answered {
		cleared = g.clear(digests)
	}
	g.mutex.Unlock()
	if len(cleared) > 0 {
		g.logger.Info("suspected request cleared", zap.String("digest", hex.EncodeToString(digests.service[:])))
		changesTotal.WithLabelValues("cleared").Inc()
		g.broadcast(cleared)
	}
}

// releaseExclusive lets the next suspect of a service be sent. The caller holds the mutex.
func (g *Guard) releaseExclusive(service string) {
	close(g.exclusive[service])
	delete(g.exclusive, service)
}

// clear records that a server answered a request, and returns what the other nodes must learn of
// it. The caller holds the mutex.
func (g *Guard) clear(digests digests) []Suspect {
	now := time.Now()
	var cleared []Suspect
	for _, digest := range []Digest{digests.service, digests.all} {
		if update, broadcast := g.table.RecordAnswer(now, digest); broadcast {
			cleared = append(cleared, update)
		}
	}
	return cleared
}

// Lost records that a server crashed while it ran a request. The requests lost with one server
// are collected for crashGroupingTime and evaluated together.
func (g *Guard) Lost(server string, request Request, point LossPoint) {
	lost := newLostRequest(request, point)
	g.mutex.Lock()
	defer g.mutex.Unlock()
	others, scheduled := g.pendingCrashes[server]
	g.pendingCrashes[server] = append(others, lost)
	if !scheduled {
		time.AfterFunc(crashGroupingTime, func() { g.attributeCrash(server) })
	}
}

// attributeCrash determines the suspects of a crash and sends them to the other nodes.
func (g *Guard) attributeCrash(server string) {
	now := time.Now()
	g.mutex.Lock()
	running := g.pendingCrashes[server]
	delete(g.pendingCrashes, server)
	atService, atAll := make([]Digest, 0, len(running)), make([]Digest, 0, len(running))
	fields := make(map[Digest][]zap.Field, len(running))
	for _, lost := range running {
		atService, atAll = append(atService, lost.digests.service), append(atAll, lost.digests.all)
		fields[lost.digests.service], fields[lost.digests.all] = lost.fields, lost.fields
	}
	blamed := g.table.RecordCrash(now, server, atService)
	blamedAtAll := g.table.RecordCrash(now, server, atAll)
	g.suspectCount.Store(int32(g.table.Len()))
	g.mutex.Unlock()
	crashesTotal.Inc()
	g.logger.Info("server crashed", zap.String("server", server), zap.Int("running", len(running)), zap.Int("blamed", len(blamed)))
	for _, suspect := range blamed {
		g.logSuspect(suspect, fields[suspect.Digest]...)
	}
	for _, suspects := range [][]Suspect{blamed, blamedAtAll} {
		if len(suspects) > 0 {
			g.broadcast(suspects)
		}
	}
}

// logSuspect logs what is known of a suspect. identity describes the request, if this node has
// sent it.
func (g *Guard) logSuspect(suspect Suspect, identity ...zap.Field) {
	text := "request suspected of crashing servers"
	if suspect.Confirmed() {
		text = "request confirmed to crash servers"
		changesTotal.WithLabelValues("certain").Inc()
	}
	digest, servers := zap.String("digest", hex.EncodeToString(suspect.Digest[:])), zap.Strings("servers", suspect.Lives)
	g.logger.Info(text, append([]zap.Field{digest, servers}, identity...)...)
}

// Receive merges suspects received from another node.
func (g *Guard) Receive(suspects []Suspect) {
	now := time.Now()
	g.mutex.Lock()
	var changed []Suspect
	for _, received := range suspects {
		if g.table.Merge(now, received) {
			changed = append(changed, g.table.suspect(now, received.Digest))
		}
	}
	g.suspectCount.Store(int32(g.table.Len()))
	g.mutex.Unlock()
	for _, suspect := range changed {
		if suspect.Confirmed() {
			g.logSuspect(suspect)
		}
	}
}

// Rebroadcast repeats the confirmed suspects that this node is responsible for to the other
// nodes, and drops expired ones. It must be called at the interval for repeated broadcasts.
func (g *Guard) Rebroadcast() {
	if g.suspectCount.Load() == 0 {
		return
	}
	g.mutex.Lock()
	var confirmed []Suspect
	for _, suspect := range g.table.Confirmed(time.Now()) {
		if g.rank(suspect.Digest) < broadcasterCount {
			confirmed = append(confirmed, suspect)
		}
	}
	g.suspectCount.Store(int32(g.table.Len()))
	g.mutex.Unlock()
	for len(confirmed) > 0 {
		count := min(len(confirmed), MaxBlamed)
		g.broadcast(confirmed[:count])
		confirmed = confirmed[count:]
	}
}

// rank returns this node's position, by rendezvous hashing, among the nodes that may try a
// refused request again. The caller holds the mutex.
func (g *Guard) rank(digest Digest) int {
	own := rendezvous.Score(string(digest[:]), g.self)
	rank := 0
	for _, node := range g.nodes {
		if node != g.self && rendezvous.Score(string(digest[:]), node) > own {
			rank++
		}
	}
	return rank
}
