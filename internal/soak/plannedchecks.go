package soak

import "time"

// checkPlannedWork checks at the end of the run that planned work lost no request and that
// nodes shut down in time.
func (s *soak) checkPlannedWork(result *Result) {
	histories := make(map[*Node][]nodeEvent)
	for _, n := range s.nodes {
		histories[n] = n.history()
		s.checkStops(n, histories[n], result)
	}
	result.Ends = make(map[string]int)
	for _, r := range s.pooled.all() {
		result.Ends[r.end.String()]++
		known := evidence{
			events: histories[r.node], arrivals: s.world.ledger.ArrivalsOf(r.id),
			responseTruncated: s.world.ledger.BrokenOff(r.id), stalled: s.stalls.between(r.sentAt, r.endedAt),
		}
		keeps, late := r.keepsConnection(known.events), r.arrivedAfterDisconnect(known)
		if r.end != connectionClosed && !keeps && !late {
			continue
		}
		description := r.description(known.events, known.arrivals, s.history.during(r.beganAt, r.endedAt))
		switch {
		case late:
			s.recordViolation("seed %d: request reached a server after its client had disconnected: %s", s.options.Seed, description)
		case keeps:
			result.Kept++
			s.recordViolation("seed %d: response of a stopping node does not close the connection: %s", s.options.Seed, description)
		case r.lost(known):
			result.Lost++
			s.recordViolation("seed %d: request lost: %s", s.options.Seed, description)
		default:
			result.Excused = append(result.Excused, description)
		}
	}
	if failure := s.pooled.failure; failure != nil {
		s.recordViolation("clients failed: %v", failure)
	}
}

// checkStops checks that each shutdown of a node completed within its grace period and that
// no further signal killed the process.
func (s *soak) checkStops(n *Node, events []nodeEvent, result *Result) {
	for _, one := range stops(events, s.stalls.between) {
		took := one.endedAt.Sub(one.signalledAt)
		result.LongestStop = max(result.LongestStop, took)
		if one.late(grace) {
			s.recordViolation("seed %d: %s was told to stop at %.3f s and ended after %v; its grace is %v",
				s.options.Seed, n.Name, one.signalledAt.Sub(s.started).Seconds(), took.Round(time.Millisecond), grace)
		}
		if one.killedBySignal() {
			s.recordViolation("seed %d: %s was told to stop at %.3f s, and a further signal killed it after %v (%s)",
				s.options.Seed, n.Name, one.signalledAt.Sub(s.started).Seconds(), took.Round(time.Millisecond), one.exitState)
		}
	}
}
