package dispatch

import "time"

// minPatience is the part of its objective that a request may wait for a server
// in any case.
const minPatience = 0.24

// safePart is the part of its objective within which an answer must be expected,
// because answers' times spread.
const safePart = 0.8

// patience returns until when a request may wait for a server, and false if it
// is already clear that its answer would come after its objective: then it is
// better refused at once, so that its client asks again. The caller holds the
// mutex.
func (d *Dispatcher) patience(request *Request, limit time.Time) (time.Time, bool) {
	objective := request.Route.Objective
	now := time.Now()
	if _, warms := d.ownerWarms(now, request); warms {
		return limit, false
	}
	if _, hopeless := d.keyHopeless(now, request); hopeless {
		return limit, false
	}
	left := time.Duration(safePart*float64(objective)) - now.Sub(request.ArrivedAt)
	ahead, places, answer := d.backlog(request)
	if places <= 0 {
		return earlier(limit, now.Add(time.Duration(minPatience*float64(objective)))), true
	}
	wait := float64(ahead+1) / places * answer
	if time.Duration((wait+answer)*float64(time.Second)) > left && ahead > 0 {
		return limit, false
	}
	most := max(minPatience*objective.Seconds(), left.Seconds()-answer)
	return earlier(limit, now.Add(time.Duration(most*float64(time.Second)))), true
}

// backlog returns how many requests wait before this one for the same servers,
// how many requests this node may have at those servers at a time, and how long
// their answers take in seconds.
func (d *Dispatcher) backlog(request *Request) (ahead int, places, answer float64) {
	now := time.Now()
	current := d.views.Current()
	owners, divided := d.owners(current, request)
	if !divided {
		sum, count := 0.0, 0
		for _, s := range d.candidates(now, current, request.Service) {
			if s.reachable(now, 0) && now.After(s.blockedUntil) {
				if _, bounded := d.warming(now, current, s); bounded {
					continue
				}
				places += s.throughput(now)
				sum += s.expected()
				count++
			}
		}
		return len(d.waiting[request.Service]), places, sum / float64(max(1, count))
	}
	owner := d.ownerOf(request, owners)
	if owner == nil || d.servers[owner.Owner] == nil {
		return 0, 0, 0
	}
	s := d.servers[owner.Owner]
	for _, w := range d.waiting[request.Service] {
		if other := d.ownerOf(w.request, owners); other != nil && other.Owner == owner.Owner {
			ahead++
		}
	}
	return ahead, s.throughput(now), s.expected()
}
