package handoff

import (
	"time"

	"go.uber.org/zap"
)

const (
	// initialBackoff is how long a home node is skipped after its first failure, and
	// maxBackoff is the upper bound; each further failure doubles the backoff.
	initialBackoff = 300 * time.Millisecond
	maxBackoff     = 5 * time.Second
	// stoppingBackoff is how long a home node that announced its shutdown is skipped; its
	// registration is gone by then.
	stoppingBackoff = 10 * time.Second
)

// backoff is the backoff state of a home node that failed to answer.
type backoff struct {
	until time.Time
	delay time.Duration
}

// reachability tracks which home nodes recently failed to answer. The caller must
// synchronize access.
type reachability struct {
	backoffs map[string]*backoff
	logger   *zap.Logger
}

// inBackoff reports whether a home node is to be skipped.
func (r *reachability) inBackoff(now time.Time, home string) bool {
	entry := r.backoffs[home]
	return entry != nil && now.Before(entry.until)
}

// markFailed records that a home node did not answer.
func (r *reachability) markFailed(now time.Time, home, cause string) {
	entry := r.backoffs[home]
	if entry != nil && now.Before(entry.until) {
		// Requests handed off to it before the failure are lost with it; together they count
		// as one failure.
		return
	}
	if entry == nil {
		entry = &backoff{delay: initialBackoff / 2}
		r.backoffs[home] = entry
	}
	entry.delay = min(2*entry.delay, maxBackoff)
	entry.until = now.Add(entry.delay)
	unreachableTotal.WithLabelValues(cause).Inc()
	r.logger.Warn("home node failed, skipping it temporarily", zap.String("home", home), zap.String("cause", cause), zap.Duration("for", entry.delay))
}

// markStopping records that a home node is shutting down.
func (r *reachability) markStopping(now time.Time, home string) {
	if r.inBackoff(now, home) {
		return
	}
	r.backoffs[home] = &backoff{until: now.Add(stoppingBackoff), delay: stoppingBackoff}
	unreachableTotal.WithLabelValues("leaving").Inc()
	r.logger.Info("home node is stopping, skipping it temporarily", zap.String("home", home), zap.String("cause", "leaving"), zap.Duration("for", stoppingBackoff))
}

// markReachable records that a home node answers.
func (r *reachability) markReachable(now time.Time, home string) {
	entry := r.backoffs[home]
	if entry == nil || now.Before(entry.until) {
		return
	}
	delete(r.backoffs, home)
	r.logger.Info("home node is reachable again", zap.String("home", home))
}

// prune forgets home nodes that are no longer registered or were restarted, so that a
// restarted one is tried at once.
func (r *reachability) prune(processes map[string]string, restarted func(home string) bool) {
	for home := range r.backoffs {
		if _, registered := processes[home]; !registered || restarted(home) {
			delete(r.backoffs, home)
		}
	}
}
