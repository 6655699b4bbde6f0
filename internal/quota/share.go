package quota

import (
	"math"
	"time"

	"github.com/micahaven/micahaven/internal/tenants"
)

const (
	// usualFor is the time over which a node's usual rate of a tenant is taken: long enough
	// for some requests of most tenants, and short against how long demand stays alike.
	usualFor = 5 * time.Second
	// wishFor is for how much of its usual rate a node asks ahead: two pauses between
	// reports.
	wishFor = 2 * ReportPause
	// calmPart and busyPart are the parts of its usual rate that a node goes on to let
	// through without the tenant's home: all of it if the tenant had room when the home was
	// last heard. Else the limit is used up, and nodes that reach the home use it too: with
	// half of the nodes cut off the sum stays within 1.3 times the rate, which the burst
	// that a window allows bears.
	calmPart = 1.0
	busyPart = 0.6
)

// Share is what one node lets through for a tenant.
type Share struct {
	limit tenants.Limit
	// ahead may be used until aheadUntil without asking.
	ahead      int
	aheadUntil time.Duration
	// used were let through and not reported.
	used int
	// calm is what the home said last of the tenant.
	calm bool
	// usual is the mean rate at which this node lets through, a second, as of usualAt.
	usual   float64
	usualAt time.Duration
	// alone is how many requests may go without the home, as of aloneAt.
	alone   float64
	aloneAt time.Duration
}

// NewShare returns the share of a node that has not heard of the tenant's home.
func NewShare(now time.Duration, limit tenants.Limit) *Share {
	return &Share{limit: limit, usualAt: now, aloneAt: now}
}

// SetLimit changes the limit. What was given ahead under another one lapses.
func (s *Share) SetLimit(limit tenants.Limit) {
	if s.limit != limit {
		s.limit, s.ahead = limit, 0
	}
}

// TakeAhead reports whether a request may go without asking.
func (s *Share) TakeAhead(now time.Duration) bool {
	if s.ahead <= 0 || now >= s.aheadUntil {
		return false
	}
	s.ahead--
	s.used++
	s.count(now)
	return true
}

// TakeAlone reports whether a request may go while the home does not answer, and otherwise
// when one may. nodes is how many nodes there are.
func (s *Share) TakeAlone(now time.Duration, nodes int) (bool, time.Duration) {
	rate := s.aloneRate(now, nodes)
	s.alone = min(1, s.alone+rate*(now-s.aloneAt).Seconds())
	s.aloneAt = now
	if s.alone < 1 {
		wait := (1 - s.alone) / rate
		return false, min(LongestReturn, time.Duration(wait*float64(time.Second)))
	}
	s.alone--
	s.used++
	s.count(now)
	return true, 0
}

// aloneRate is how many requests a second go without the home: what the node usually lets
// through, or an even part of the limit if that is more.
func (s *Share) aloneRate(now time.Duration, nodes int) float64 {
	part := busyPart
	if s.calm {
		part = calmPart
	}
	even := s.limit.Rate / float64(max(1, nodes))
	return max(part*s.rate(now), busyPart*even)
}

// HomeChanged drops what was to be reported: the account of the new home began when that of
// the old one ended, so that it does not cover what was used before.
func (s *Share) HomeChanged() { s.used = 0 }

// GiveBack returns a request that did not run.
func (s *Share) GiveBack() { s.used-- }

// Idle reports whether there is nothing to report.
func (s *Share) Idle() bool { return s.used == 0 }

// Report returns what is to be told, with some requests that wait.
func (s *Share) Report(now time.Duration, waiting int) Report {
	wish := 1 + int(math.Ceil(s.rate(now)*wishFor.Seconds()))
	return Report{Used: s.used, Waiting: waiting, Wish: wish}
}

// Answered takes in the answer to a report, which was sent at a moment.
func (s *Share) Answered(sentAt, now time.Duration, report Report, grant Grant) {
	s.used -= report.Used
	s.calm = grant.Calm
	// What was let through since the report used some of what is given now.
	s.ahead, s.aheadUntil = max(0, grant.Ahead-max(0, s.used)), sentAt+aheadFor
	for range grant.Granted {
		s.count(now)
	}
}

// rate is the mean rate of requests that were let through, a second.
func (s *Share) rate(now time.Duration) float64 {
	return s.usual * math.Exp(-(now-s.usualAt).Seconds()/usualFor.Seconds())
}

func (s *Share) count(now time.Duration) {
	s.usual = s.rate(now) + 1/usualFor.Seconds()
	s.usualAt = now
}
