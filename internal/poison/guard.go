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
	// gatherFor is how long the requests are gathered that were lost with one life of a
	// server: their connections end within moments of each other.
	gatherFor = 100 * time.Millisecond
	// aloneWait is how long a suspect waits for another one that runs: most are answered by
	// then. aloneRetry is when it should come back otherwise.
	aloneWait  = 300 * time.Millisecond
	aloneRetry = 500 * time.Millisecond
	// tellers is how many nodes tell again what is certain: the first one may be the one that
	// has not heard it.
	tellers = 2
	// TellAgainEvery is the pause between two words of what is certain.
	TellAgainEvery = 2 * time.Second
)

// Tell tells the other nodes of requests.
type Tell func(suspects []Suspect)

// Guard keeps requests that crash servers from them. It is safe for concurrent use.
type Guard struct {
	self   string
	tell   Tell
	logger *zap.Logger
	// known is how many requests the table remembers: with none, nothing is looked up.
	known atomic.Int32

	mutex sync.Mutex
	table *Table
	nodes []string
	// lost are the requests that were lost with lives of servers lately.
	lost map[string][]Digest
	// alone holds, by service in which a suspect runs alone, what is closed once it has ended.
	alone map[string]chan struct{}
}

// NewGuard returns the guard of a node. Without a way to tell other nodes it knows what it
// saw itself.
func NewGuard(self string, tell Tell, logger *zap.Logger) *Guard {
	return &Guard{
		self: self, tell: tell, logger: logger, table: NewTable(),
		lost: make(map[string][]Digest), alone: make(map[string]chan struct{}),
	}
}

// Follow takes in the names of the registered nodes.
func (g *Guard) Follow(nodes []string) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.nodes = nodes
}

// Decision is what is decided of a request.
type Decision struct {
	// Refused is true if it may not be sent now, and RetryAfter when to come back then.
	Refused    bool
	RetryAfter time.Duration
	// Suspected is true if something is known of the request, so that Ended must be called
	// once it has ended.
	Suspected bool
	// alone is true if no other suspect of its service runs until then.
	alone bool
}

// Refused reports whether a request may be sent to no server, and when to come back.
func (g *Guard) Refused(request func() Request) (after time.Duration, refused bool) {
	if g.known.Load() == 0 {
		return 0, false
	}
	digest := DigestOf(request())
	g.mutex.Lock()
	defer g.mutex.Unlock()
	verdict, left := g.table.Verdict(time.Now(), digest, func() int { return g.rank(digest) })
	return left, verdict == Refuse
}

// Admit decides on a request that is about to be sent to a server of its service. A suspect
// waits a little for another one that runs.
func (g *Guard) Admit(ctx context.Context, request func() Request) Decision {
	if g.known.Load() == 0 {
		return Decision{}
	}
	asked := request()
	digest := DigestOf(asked)
	bounded, cancel := context.WithTimeout(ctx, aloneWait)
	defer cancel()
	for {
		decision, busy := g.admit(asked.Service, digest)
		if busy == nil {
			return decision
		}
		select {
		case <-busy:
		case <-bounded.Done():
			return Decision{Refused: true, RetryAfter: aloneRetry, Suspected: true}
		}
	}
}

// admit decides on a request, or returns what is closed once the suspect has ended that it has
// to wait for.
func (g *Guard) admit(service string, digest Digest) (Decision, <-chan struct{}) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	verdict, left := g.table.Verdict(time.Now(), digest, func() int { return g.rank(digest) })
	switch verdict {
	case Refuse:
		return Decision{Refused: true, RetryAfter: left, Suspected: true}, nil
	case Alone:
		if ended := g.alone[service]; ended != nil {
			return Decision{}, ended
		}
		g.alone[service] = make(chan struct{})
		g.logger.Info("suspected request runs alone", zap.String("digest", hex.EncodeToString(digest[:])), zap.String("service", service))
	}
	return Decision{Suspected: g.table.lives(digest) > 0, alone: verdict == Alone}, nil
}

// Ended takes in that a suspected request has ended, on which was decided so, and whether its
// server answered it.
func (g *Guard) Ended(request Request, decided Decision, answered bool) {
	digest := DigestOf(request)
	g.mutex.Lock()
	if decided.alone {
		close(g.alone[request.Service])
		delete(g.alone, request.Service)
	}
	var told Suspect
	tell := false
	if answered {
		told, tell = g.table.Answered(time.Now(), digest)
	}
	g.mutex.Unlock()
	if tell {
		g.logger.Info("suspicion cleared", zap.String("digest", hex.EncodeToString(digest[:])))
		changesTotal.WithLabelValues("cleared").Inc()
		g.tell([]Suspect{told})
	}
}

// Lost takes in that a life of a server crashed while it ran a request. What is lost with
// one life is judged together, a moment later.
func (g *Guard) Lost(life string, request Request) {
	digest := DigestOf(request)
	g.mutex.Lock()
	defer g.mutex.Unlock()
	gathered, open := g.lost[life]
	g.lost[life] = append(gathered, digest)
	if !open {
		time.AfterFunc(gatherFor, func() { g.judge(life) })
	}
}

// judge finds what is to blame for a crash and tells the other nodes.
func (g *Guard) judge(life string) {
	now := time.Now()
	g.mutex.Lock()
	running := g.lost[life]
	delete(g.lost, life)
	blamed := g.table.Crashed(now, life, running)
	g.known.Store(int32(g.table.Len()))
	g.mutex.Unlock()
	crashesTotal.Inc()
	g.logger.Info("server crashed", zap.String("server", life), zap.Int("running", len(running)), zap.Int("blamed", len(blamed)))
	for _, suspect := range blamed {
		g.logBlamed(suspect)
	}
	if len(blamed) > 0 {
		g.tell(blamed)
	}
}

func (g *Guard) logBlamed(suspect Suspect) {
	text := "request suspected"
	if suspect.Certain() {
		text = "request crashes servers"
		changesTotal.WithLabelValues("certain").Inc()
	}
	g.logger.Info(text, zap.String("digest", hex.EncodeToString(suspect.Digest[:])), zap.Strings("servers", suspect.Lives))
}

// Take takes in what another node told.
func (g *Guard) Take(suspects []Suspect) {
	now := time.Now()
	g.mutex.Lock()
	var changed []Suspect
	for _, told := range suspects {
		if g.table.Merge(now, told) {
			changed = append(changed, g.table.suspect(now, told.Digest))
		}
	}
	g.known.Store(int32(g.table.Len()))
	g.mutex.Unlock()
	for _, suspect := range changed {
		if suspect.Certain() {
			g.logBlamed(suspect)
		}
	}
}

// TellAgain tells the other nodes what is certain if this node is one of those that do so for
// it, and forgets what has lapsed. It is to be called every TellAgainEvery.
func (g *Guard) TellAgain() {
	if g.known.Load() == 0 {
		return
	}
	g.mutex.Lock()
	var certain []Suspect
	for _, suspect := range g.table.Certain(time.Now()) {
		if g.rank(suspect.Digest) < tellers {
			certain = append(certain, suspect)
		}
	}
	g.known.Store(int32(g.table.Len()))
	g.mutex.Unlock()
	for len(certain) > 0 {
		count := min(len(certain), MaxBlamed)
		g.tell(certain[:count])
		certain = certain[count:]
	}
}

// rank returns this node's place among those that may try a request again. The caller holds
// the mutex.
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
