package dispatch

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/micahaven/micahaven/internal/discovery"
	"github.com/micahaven/micahaven/internal/shards"
	"github.com/micahaven/micahaven/internal/view"
)

const (
	// otherZoneCost is how much worse a server of another zone counts: bodies are
	// larger than all else that nodes send, and they are dear between zones.
	otherZoneCost = 4
	// warmingCost is how much worse a server counts that has just started.
	warmingCost = 1.8
	// rightCost is how much better a warming server counts for a node that has the right
	// to send it a request now: rights that are not used lapse, and they are few.
	rightCost = 0.2
	// defaultLatency stands for a server that has not answered yet, in seconds.
	defaultLatency = 0.1
	// movingMemory is how long a refused range is held back if no newer map comes.
	movingMemory = 1500 * time.Millisecond
)

// choose returns a free server for a request or nil. The caller holds the mutex.
func (d *Dispatcher) choose(now time.Time, request *Request, excluded map[discovery.ServerID]bool) *server {
	current := d.views.Current()
	if owners, divided := d.owners(current, request); divided {
		return d.chooseOwner(now, current, request, owners)
	}
	var best *server
	bestCost := math.Inf(1)
	atHome := len(d.homeGroup(current, request.Service)) > 0
	for _, s := range d.candidates(now, current, request.Service) {
		if excluded[s.id] || !s.usable(now, 0) || d.limitLeft(now, s) > 0 {
			continue
		}
		may, bounded := d.maySend(now, current, s)
		if !may {
			continue
		}
		spill, may := d.mayGoTo(now, request, s, atHome && !bounded)
		if !may {
			continue
		}
		cost := spill * d.cost(now, s)
		if bounded {
			cost *= rightCost
		}
		if cost < bestCost {
			best, bestCost = s, cost
		}
	}
	return best
}

// owners returns the owner map of the request's service, and whether its keys
// are divided among servers at all.
func (d *Dispatcher) owners(current *view.View, request *Request) (view.Owners, bool) {
	if current.Table == nil {
		return view.Owners{}, false
	}
	service, _ := current.Table.Service(request.Service)
	return current.Owners[request.Service], service.KeyDivided
}

func (d *Dispatcher) chooseOwner(now time.Time, current *view.View, request *Request, owners view.Owners) *server {
	owner, owned := d.ownerOf(request, owners)
	if !owned {
		return nil
	}
	s := d.server(owner.Owner)
	if s == nil || !s.usable(now, d.ownerGrace(s)) || d.limitLeft(now, s) > 0 {
		return nil
	}
	if may, _ := d.maySend(now, current, s); !may {
		return nil
	}
	if _, hopeless := d.keyHopeless(now, request); hopeless && !d.coldOf(request.Service).look(now, d.nodes) {
		return nil
	}
	if until, held := d.moving[movingRange{request.Service, owner.Fence, owner.Last}]; held && now.Before(until) {
		return nil
	}
	return s
}

// ownerGrace is how long the owner of a key gets requests after it was seen leaving.
func (d *Dispatcher) ownerGrace(s *server) time.Duration {
	if s.evacuated {
		return max(d.options.LeaveGrace, d.options.EvacuationGrace)
	}
	return d.options.LeaveGrace
}

// ownerOf returns the range of a request's key; false if the key has no owner.
func (d *Dispatcher) ownerOf(request *Request, owners view.Owners) (shards.Held, bool) {
	if owners.Owners == nil || !request.HasKey || request.Key > shards.LastKey {
		return shards.Held{}, false
	}
	held := owners.Find(request.Key)
	return held, held.Owner != ""
}

// cost estimates how long a request would take, with a little chance so that
// nodes do not choose alike.
func (d *Dispatcher) cost(now time.Time, s *server) float64 {
	latency := s.latency
	if latency == 0 {
		latency = defaultLatency
	}
	// A server with free slots takes another request without making it wait.
	cost := latency * (1 + float64(s.outstanding)/float64(max(1, s.Slots)))
	cost *= 1 + failureCost*s.failing.now(now)
	if s.Zone != d.options.Zone {
		cost *= otherZoneCost
	}
	if now.Before(s.WarmAt) {
		cost *= warmingCost
	}
	const spread = 0.2
	return cost * (1 + spread*rand.Float64())
}

// Hold keeps requests for ranges back that are about to change hands.
func (d *Dispatcher) Hold(service string, ranges []shards.Range) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	until := time.Now().Add(movingMemory)
	for _, r := range ranges {
		d.moving[movingRange{service, r.Fence, r.Last}] = until
	}
}
