package dispatch

import (
	"time"

	"github.com/micahaven/micahaven/internal/view"
	"github.com/micahaven/micahaven/internal/warmup"
)

// registeredNodes returns the nodes of a view.
func registeredNodes(current *view.View) []warmup.Node {
	nodes := make([]warmup.Node, 0, current.Nodes.Len())
	for _, node := range current.Nodes.All() {
		nodes = append(nodes, warmup.Node{Name: node.Name, Zone: node.Zone})
	}
	return nodes
}

// warming returns the warm-up rate of a server, and whether the server is warming up at a
// bounded rate. The caller holds the mutex.
func (d *Dispatcher) warming(now time.Time, current *view.View, s *server) (warmup.Server, bool) {
	if current.Table == nil || !now.Before(s.warmAt(current)) {
		return warmup.Server{}, false
	}
	return d.boundedWarmUp(current, s.Server)
}

// warmAt is when a server's warm-up ends, according to its registration and its responses
// to probes, whichever is later. The caller holds the mutex.
func (s *server) warmAt(current *view.View) time.Time {
	if warmAt := current.WarmUntil(s.Server); warmAt.After(s.coldUntil) {
		return warmAt
	}
	return s.coldUntil
}

// boundedWarmUp returns the rate of requests that a server gets while it is warming up, and
// whether that rate is bounded.
func (d *Dispatcher) boundedWarmUp(current *view.View, s *view.Server) (warmup.Server, bool) {
	service, _ := current.Table.Service(s.Service)
	if service.WarmUpRate <= 0 {
		return warmup.Server{}, false
	}
	rate := warmup.Rate{
		PerSecond: service.WarmUpRate,
		Limit:     service.WarmUpRate*max(1, d.options.WarmUpOver) + d.options.WarmUpSlack,
	}
	return warmup.Server{ID: string(s.ID), Zone: s.Zone, Rate: rate}, true
}

// maySend reports whether this node may send a request to a server now. It always may if
// the server is warm or its warm-up rate is unbounded, and otherwise only with a send
// permit. The caller holds the mutex.
func (d *Dispatcher) maySend(now time.Time, current *view.View, s *server) (may, bounded bool) {
	server, bounded := d.warming(now, current, s)
	if !bounded {
		return true, false
	}
	age, known := d.copyAge()
	return d.permits.MaySend(now, server, warmup.CopyState{Age: age, Confirmed: known}), true
}

// reserve reserves a slot at a server for a request that is about to be sent. The caller
// holds the mutex.
func (d *Dispatcher) reserve(now time.Time, s *server) {
	s.outstanding++
	d.ensurePool(s)
	if server, warmingUp := d.warming(now, d.views.Current(), s); warmingUp {
		d.permits.RecordSent(now, server)
	}
}

// ownerWarmingUp reports whether a request's key is owned by a warming server that this
// node may not send to now, and for how long that server is still warming up. Waiting is
// pointless then, because the nodes with send permits use up its rate. The caller holds the
// mutex.
func (d *Dispatcher) ownerWarmingUp(now time.Time, request *Request) (left time.Duration, warmingUp bool) {
	current := d.views.Current()
	owners, divided := d.owners(current, request)
	if !divided {
		return 0, false
	}
	owner, owned := d.ownerOf(request, owners)
	if !owned || d.server(owner.Owner) == nil {
		return 0, false
	}
	s := d.server(owner.Owner)
	may, _ := d.maySend(now, current, s)
	return s.warmAt(current).Sub(now), !may
}
