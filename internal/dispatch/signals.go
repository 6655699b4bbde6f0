package dispatch

import (
	"time"

	"go.uber.org/zap"

	"github.com/micahaven/micahaven/internal/backpressure"
	"github.com/micahaven/micahaven/internal/discovery"
	"github.com/micahaven/micahaven/internal/quota"
	"github.com/micahaven/micahaven/internal/upstream"
)

// Signal is what a server asked of all nodes in an answer to this one.
type Signal struct {
	// Limit is the limit that it names, or that it names none any more; nil if that hasn't
	// changed.
	Limit *quota.Observation
	// Leaving is true if it has said that it leaves.
	Leaving bool
}

// Signalled tells the other nodes what a server asked of all of them. Most of them would
// hear nothing of it before they have sent the server something themselves.
type Signalled func(server discovery.ServerID, told Signal)

// SetSignalled sets what is told of what servers ask. It must be called before the first
// request.
func (d *Dispatcher) SetSignalled(signalled Signalled) { d.signalled = signalled }

// observeSignals takes in what a server asks for in an answer to this node.
func (d *Dispatcher) observeSignals(s *server, answer *upstream.Answer) {
	if signals, speaks := d.signalsOf(answer); speaks {
		d.takeSignals(s, signals)
	}
}

// observeHanded takes in what a server asks for in an answer that came through its home: this
// node may send it requests itself, and must know by then. Rest was asked of the home alone.
func (d *Dispatcher) observeHanded(trace Trace, answer *upstream.Answer) {
	if answer == nil {
		return
	}
	signals, speaks := d.signalsOf(answer)
	signals.Rest = 0
	_, limited := d.limits.Observed(trace.Server)
	if nothing := !limited && signals == (backpressure.Signals{}); nothing || !speaks {
		return
	}
	d.mutex.Lock()
	s := d.server(discovery.ServerID(trace.Server))
	d.mutex.Unlock()
	if s != nil {
		d.takeSignals(s, signals)
	}
}

// takeSignals takes in what a server asks for.
func (d *Dispatcher) takeSignals(s *server, signals backpressure.Signals) {
	countSignals(signals)
	now := time.Now()
	d.mutex.Lock()
	before := s.signals
	s.signals = signals
	if signals.Rest > 0 {
		s.rest(now, signals.Rest)
	}
	d.mutex.Unlock()
	d.logSignals(s, before, signals)
	d.observeLimit(s, signals)
	if signals.Leaving && !before.Leaving && d.views.MarkLeaving(s.id) {
		d.signalled(s.id, Signal{Leaving: true})
	}
}

// signalsOf returns what an answer says; false if it isn't the word of the server that was
// asked: another one may have its address now, and what is damaged says nothing.
func (d *Dispatcher) signalsOf(answer *upstream.Answer) (backpressure.Signals, bool) {
	if d.headers.Signals == nil || answer.Status == statusMisdirected {
		return backpressure.Signals{}, false
	}
	signals := d.headers.Signals(answer.Status, answer.Header)
	signed := answer.Header.Get(d.headers.Signature) != ""
	return signals, signed || signals != backpressure.Signals{}
}

func countSignals(signals backpressure.Signals) {
	if signals.Limited {
		signalsTotal.WithLabelValues("limit").Inc()
	}
	if signals.Leaving {
		signalsTotal.WithLabelValues("leaving").Inc()
	}
	if signals.Rest > 0 {
		signalsTotal.WithLabelValues("rest").Inc()
	}
}

// logSignals writes a line for each thing that a server asks for now and did not before.
func (d *Dispatcher) logSignals(s *server, before, now backpressure.Signals) {
	id := zap.String("server", string(s.id))
	switch {
	case now.Limited && (!before.Limited || before.Rate != now.Rate):
		d.logger.Info("server names a limit", id, zap.Float64("rate", now.Rate))
	case before.Limited && !now.Limited:
		d.logger.Info("server names no limit any more", id, zap.Float64("before", before.Rate))
	}
	if now.Leaving && !before.Leaving {
		d.logger.Info("server says that it leaves", id)
	}
	if now.Rest > 0 && before.Rest == 0 {
		d.logger.Info("server asks for rest", id, zap.Duration("for", now.Rest))
	}
}
