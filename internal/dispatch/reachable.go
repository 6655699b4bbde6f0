package dispatch

import "time"

// contactWindow is how long a response shows that this node has a path to a service's servers.
const contactWindow = time.Second

// ReachesNoServer reports whether requests of this node to a service's servers fail and none was
// answered recently.
func (d *Dispatcher) ReachesNoServer(service string) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	svc := d.services[service]
	if svc == nil {
		return false
	}
	now, failing := time.Now(), false
	for _, s := range svc.members {
		if now.Sub(s.answeredAt) < contactWindow {
			return false
		}
		failing = failing || s.failures > 0
	}
	return failing
}
