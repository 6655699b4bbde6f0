package ingress

import (
	"context"
	"math"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/micahaven/micahaven/internal/routing"
	"github.com/micahaven/micahaven/internal/view"
)

// maxConfigWait is how long a request waits for the first configuration of a starting node. A
// node that can reach the store has its configuration within 0.25 s of its start, even on an
// eighth of a processor. A longer wait would only keep clients from trying other nodes when
// this node cannot reach the store.
const maxConfigWait = 400 * time.Millisecond

// configWaitDeadlineShare bounds the wait to a fraction of the client's deadline, so that the
// client has time to try another node.
const configWaitDeadlineShare = 0.5

// maxClientDeadline caps the deadline that a client may send. Route timeouts are much shorter;
// a value that overflows time.Duration would be taken for a deadline in the past.
const maxClientDeadline = 24 * time.Hour

// initialTable lets requests that arrive before the first configuration wait for it. Without
// it, after a power failure, clients that could be served a moment later would be refused and
// retry only after a pause.
type initialTable struct {
	views *view.Builder
	ready chan struct{}
	once  sync.Once
	// draining is closed when the node drains: a configuration would come too late then.
	draining  chan struct{}
	drainOnce sync.Once
}

func newInitialTable(views *view.Builder) *initialTable {
	t := &initialTable{views: views, ready: make(chan struct{}), draining: make(chan struct{})}
	// The dispatcher subscribed earlier, so it has the servers by the time this callback
	// runs.
	views.Subscribe(t.onViewChange)
	return t
}

func (t *initialTable) onViewChange(current *view.View) {
	if current.Table != nil {
		t.once.Do(func() { close(t.ready) })
	}
}

// drain ends all waits.
func (t *initialTable) drain() { t.drainOnce.Do(func() { close(t.draining) }) }

// await returns the current configuration. If there is none yet, it waits up to limit, and
// returns nil if none arrives in that time or before the client leaves or the node drains.
func (t *initialTable) await(ctx context.Context, limit time.Duration) *routing.Table {
	if table := t.views.Current().Table; table != nil {
		return table
	}
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-t.ready:
	case <-timer.C:
	case <-t.draining:
	case <-ctx.Done():
	}
	return t.views.Current().Table
}

// maxConfigWait returns how long a request may wait for the first configuration.
func (h *Handler) maxConfigWait(header http.Header) time.Duration {
	deadline, known := h.clientDeadline(header)
	if !known {
		return maxConfigWait
	}
	return min(maxConfigWait, time.Duration(configWaitDeadlineShare*float64(deadline)))
}

// clientDeadline returns how long the client waits for a response according to its deadline
// header, capped at maxClientDeadline.
func (h *Handler) clientDeadline(header http.Header) (time.Duration, bool) {
	millis, err := strconv.ParseFloat(header.Get(h.headers.Deadline), 64)
	if err != nil || millis < 0 || math.IsNaN(millis) {
		return 0, false
	}
	return time.Duration(min(millis*float64(time.Millisecond), float64(maxClientDeadline))), true
}
