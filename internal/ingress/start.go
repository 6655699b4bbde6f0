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

// startPatience is how long a request waits for the first configuration of a node that
// starts. A node that can reach the store has it within 0.25 s of its start, on an eighth
// of a processor too, so that a longer wait would only keep those from other nodes whose
// node cannot reach the store.
const startPatience = 400 * time.Millisecond

// startPatiencePart is the part of its own deadline that a client waits for that at most,
// so that it can still try another node.
const startPatiencePart = 0.5

// mostDeadline bounds what a client may name as its deadline. Routes end requests long
// before; a time beyond what a Duration holds would be taken for a past one.
const mostDeadline = 24 * time.Hour

// firstTable hands the first configuration to the requests that came before it. It guards
// against refusing, right after a loss of power, callers that could be served a moment
// later: they would come back only after a pause.
type firstTable struct {
	views *view.Builder
	known chan struct{}
	once  sync.Once
}

func newFirstTable(views *view.Builder) *firstTable {
	f := &firstTable{views: views, known: make(chan struct{})}
	// The dispatcher has subscribed before, so that it knows the servers by then.
	views.Subscribe(f.changed)
	return f
}

func (f *firstTable) changed(current *view.View) {
	if current.Table != nil {
		f.once.Do(func() { close(f.known) })
	}
}

// await returns the configuration in force, after a wait if the node has none yet; nil
// if none came in that time or before the client left.
func (f *firstTable) await(client context.Context, wait time.Duration) *routing.Table {
	if table := f.views.Current().Table; table != nil {
		return table
	}
	patience := time.NewTimer(wait)
	defer patience.Stop()
	select {
	case <-f.known:
	case <-patience.C:
	case <-client.Done():
	}
	return f.views.Current().Table
}

// startPatience returns how long a client waits for the first configuration.
func (h *Handler) startPatience(header http.Header) time.Duration {
	deadline, known := h.clientDeadline(header)
	if !known {
		return startPatience
	}
	return min(startPatience, time.Duration(startPatiencePart*float64(deadline)))
}

// clientDeadline returns how long a client says that it waits for its answer, at most
// mostDeadline.
func (h *Handler) clientDeadline(header http.Header) (time.Duration, bool) {
	wait, err := strconv.ParseFloat(header.Get(h.headers.Deadline), 64)
	if err != nil || wait < 0 || math.IsNaN(wait) {
		return 0, false
	}
	return time.Duration(min(wait*float64(time.Millisecond), float64(mostDeadline))), true
}
