package soak

import "time"

// checkPlannedWork checks that planned work lost no request and that nodes ended in
// time, when everything is over.
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
			brokenOff: s.world.ledger.BrokenOff(r.id), stalled: s.stalls.between(r.sentAt, r.endedAt),
		}
		keeps, late := r.keepsStopping(known.events), r.reachedLate(known)
		if r.end != closed && !keeps && !late {
			continue
		}
		story := r.story(known.events, known.arrivals, s.history.during(r.beganAt, r.endedAt))
		switch {
		case late:
			s.breach("seed %d: reached a server after its client had left: %s", s.options.Seed, story)
		case keeps:
			result.Kept++
			s.breach("seed %d: the answer does not ask for another connection: %s", s.options.Seed, story)
		case r.lost(known):
			result.Lost++
			s.breach("seed %d: lost %s", s.options.Seed, story)
		default:
			result.Excused = append(result.Excused, story)
		}
	}
	if failure := s.pooled.failure; failure != nil {
		s.breach("the clients failed: %v", failure)
	}
}

// checkStops checks that a node ended by itself and within its grace each time.
func (s *soak) checkStops(n *Node, events []nodeEvent, result *Result) {
	for _, one := range stops(events, s.stalls.between) {
		took := one.endedAt.Sub(one.toldAt)
		result.LongestStop = max(result.LongestStop, took)
		if one.late(grace) {
			s.breach("seed %d: %s was told to stop at %.3f s and ended after %v; its grace is %v",
				s.options.Seed, n.Name, one.toldAt.Sub(s.started).Seconds(), took.Round(time.Millisecond), grace)
		}
		if one.cutShort() {
			s.breach("seed %d: %s was told to stop at %.3f s, and a further signal ended it after %v (%s)",
				s.options.Seed, n.Name, one.toldAt.Sub(s.started).Seconds(), took.Round(time.Millisecond), one.how)
		}
	}
}
