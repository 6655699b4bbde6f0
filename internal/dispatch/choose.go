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
	// crossZoneCost is the cost factor of a server in another zone. Bodies make up most of
	// the traffic between nodes and servers, and traffic between zones is expensive.
	crossZoneCost = 4
	// warmingCost is the cost factor of a server that was started recently.
	warmingCost = 1.8
	// rightCost is the cost factor of a warming server that this node currently has a
	// permit to send to. Send permits are few and expire if unused.
	rightCost = 0.2
	// defaultLatency is the assumed latency, in seconds, of a server that has not answered
	// yet.
	defaultLatency = 0.1
	// movingHold is how long requests for a moving range are held back if no newer owner
	// map arrives.
	movingHold = 1500 * time.Millisecond
)

// choose returns the available server with the lowest cost for a request, or nil if none is
// available. The caller holds the mutex.
func (d *Dispatcher) choose(now time.Time, request *Request, excluded map[discovery.ServerID]bool) *server {
	current := d.views.Current()
	if owners, divided := d.owners(current, request); divided {
		return d.chooseOwner(now, current, request, owners)
	}
	var best *server
	bestCost := math.Inf(1)
	atHome := len(d.homeGroup(current, request.Service)) > 0
	for _, s := range d.candidates(now, current, request.Service) {
		if excluded[s.id] {
			continue
		}
		free, bounded := d.isFree(now, current, s)
		if !free {
			continue
		}
		spill, may := d.maySpill(now, request, s, atHome && !bounded)
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

// isFree reports whether a server of an unsharded service may get another request now, and whether
// it is warming up at a bounded rate. The caller holds the mutex.
func (d *Dispatcher) isFree(now time.Time, current *view.View, s *server) (free, bounded bool) {
	if !s.usable(now, 0) || d.limitLeft(now, s) > 0 {
		return false, false
	}
	return d.maySend(now, current, s)
}

// hasFreeServer reports whether a request of a service may find a free server. If not, choosing one
// for each request that waits is pointless. It is always true for sharded services, whose requests
// wait for different servers. The caller holds the mutex.
func (d *Dispatcher) hasFreeServer(now time.Time, service string) bool {
	current := d.views.Current()
	if current.Table != nil {
		if configured, _ := current.Table.Service(service); configured.ShardedByKey {
			return true
		}
	}
	for _, s := range d.candidates(now, current, service) {
		if free, _ := d.isFree(now, current, s); free {
			return true
		}
	}
	return false
}

// owners returns the owner map of the request's service, and whether the service is
// sharded, that is, whether each key is served by one owner.
func (d *Dispatcher) owners(current *view.View, request *Request) (view.Owners, bool) {
	if current.Table == nil {
		return view.Owners{}, false
	}
	service, _ := current.Table.Service(request.Service)
	return current.Owners[request.Service], service.ShardedByKey
}

// chooseOwner returns the owner of the request's key if it can take the request now, or
// nil. The caller holds the mutex.
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
	if _, tooSlow := d.coldKeyTooSlow(now, request); tooSlow && !d.coldRangesOf(request.Service).admitTrial(now, d.nodes) {
		return nil
	}
	if until, held := d.moving[movingRange{request.Service, owner.Fence, owner.Last}]; held && now.Before(until) {
		return nil
	}
	return s
}

// ownerGrace is how long the owner of a key still gets requests after it was seen draining,
// deregistered or evacuated.
func (d *Dispatcher) ownerGrace(s *server) time.Duration {
	if s.evacuated {
		return max(d.options.LeaveGrace, d.options.EvacuationGrace)
	}
	return d.options.LeaveGrace
}

// ownerOf returns the range that holds a request's key; false if the key has no owner.
func (d *Dispatcher) ownerOf(request *Request, owners view.Owners) (shards.OwnedRange, bool) {
	if owners.Owners == nil || !request.HasKey || request.Key > shards.LastKey {
		return shards.OwnedRange{}, false
	}
	held := owners.Find(request.Key)
	return held, held.Owner != ""
}

// cost estimates the relative cost of sending a request to a server. A random factor keeps
// nodes from all choosing the same server.
func (d *Dispatcher) cost(now time.Time, s *server) float64 {
	latency := s.latency
	if latency == 0 {
		latency = defaultLatency
	}
	// A server with free slots takes another request without queueing it.
	cost := latency * (1 + float64(s.outstanding)/float64(max(1, s.Slots)))
	cost *= 1 + failureCost*s.errorRate.now(now)
	if s.Zone != d.options.Zone {
		cost *= crossZoneCost
	}
	if now.Before(s.WarmAt) {
		cost *= warmingCost
	}
	const spread = 0.2
	return cost * (1 + spread*rand.Float64())
}

// HoldRanges holds back requests for ranges that are about to move to another owner.
func (d *Dispatcher) HoldRanges(service string, ranges []shards.Range) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	until := time.Now().Add(movingHold)
	for _, r := range ranges {
		d.moving[movingRange{service, r.Fence, r.Last}] = until
	}
}
