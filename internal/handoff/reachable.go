package handoff

import (
	"time"

	"go.uber.org/zap"
)

const (
	// firstPause is for how long a home that did not answer is passed over at first, and
	// mostPause bounds that; each time it fails again the pause is doubled.
	firstPause = 300 * time.Millisecond
	mostPause  = 5 * time.Second
	// leavingPause is for how long one that said that it stops is passed over; its
	// registration is gone by then.
	leavingPause = 10 * time.Second
)

// absence is that of a home that did not answer.
type absence struct {
	until time.Time
	pause time.Duration
}

// reachability knows which homes did not answer lately. The caller guards it.
type reachability struct {
	absent map[string]*absence
	logger *zap.Logger
}

// passedOver reports whether a home is to be passed over.
func (r *reachability) passedOver(now time.Time, home string) bool {
	known := r.absent[home]
	return known != nil && now.Before(known.until)
}

// missed notes that a home did not answer.
func (r *reachability) missed(now time.Time, home, cause string) {
	known := r.absent[home]
	if known != nil && now.Before(known.until) {
		// Others that were handed to it before are lost with it; it is one absence.
		return
	}
	if known == nil {
		known = &absence{pause: firstPause / 2}
		r.absent[home] = known
	}
	known.pause = min(2*known.pause, mostPause)
	known.until = now.Add(known.pause)
	unreachableTotal.WithLabelValues(cause).Inc()
	r.logger.Warn("home passed over", zap.String("home", home), zap.String("cause", cause), zap.Duration("for", known.pause))
}

// leaves notes that a home stops.
func (r *reachability) leaves(now time.Time, home string) {
	if r.passedOver(now, home) {
		return
	}
	r.absent[home] = &absence{until: now.Add(leavingPause), pause: leavingPause}
	unreachableTotal.WithLabelValues("leaving").Inc()
	r.logger.Info("home passed over", zap.String("home", home), zap.String("cause", "leaving"), zap.Duration("for", leavingPause))
}

// heard notes that a home answers.
func (r *reachability) heard(now time.Time, home string) {
	known := r.absent[home]
	if known == nil || now.Before(known.until) {
		return
	}
	delete(r.absent, home)
	r.logger.Info("home answers again", zap.String("home", home))
}

// keep forgets homes that are not registered any more, so that a restarted one is asked.
func (r *reachability) keep(processes map[string]string, changed func(home string) bool) {
	for home := range r.absent {
		if _, registered := processes[home]; !registered || changed(home) {
			delete(r.absent, home)
		}
	}
}
