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

// warming returns what a server bears while it warms up, and whether it warms up and
// that is bounded at all. The caller holds the mutex.
func (d *Dispatcher) warming(now time.Time, current *view.View, s *server) (warmup.Server, bool) {
	if current.Table == nil || !now.Before(s.warmAt(current)) {
		return warmup.Server{}, false
	}
	return d.boundedWarmUp(current, s.Server)
}

// warmAt is when a server is warm, by its entry and by what it answered to a probe. The
// caller holds the mutex.
func (s *server) warmAt(current *view.View) time.Time {
	if warmAt := current.WarmUntil(s.Server); warmAt.After(s.coldUntil) {
		return warmAt
	}
	return s.coldUntil
}

// boundedWarmUp returns what a server bears while it warms up, and whether that is bounded.
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

// maySend reports whether this node may send a server a request now: always if it is
// warm, and by right if it warms up and what it bears is bounded. The caller holds the
// mutex.
func (d *Dispatcher) maySend(now time.Time, current *view.View, s *server) (may, bounded bool) {
	server, bounded := d.warming(now, current, s)
	if !bounded {
		return true, false
	}
	age, known := d.copyAge()
	return d.rights.May(now, server, warmup.Copy{Age: age, Known: known}), true
}

// occupy counts a request that is about to be sent to a server. The caller holds the
// mutex.
func (d *Dispatcher) occupy(now time.Time, s *server) {
	s.outstanding++
	d.connect(s)
	if server, warms := d.warming(now, d.views.Current(), s); warms {
		d.rights.Sent(now, server)
	}
}

// ownerWarms reports whether a request's key is owned by a server that warms up and to
// which this node may not send now, and for how long it still warms up. There is no use
// in waiting then: the server gets what it bears from the nodes that may. The caller
// holds the mutex.
func (d *Dispatcher) ownerWarms(now time.Time, request *Request) (left time.Duration, warms bool) {
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
