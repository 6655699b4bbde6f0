package dispatch

import (
	"time"

	"go.uber.org/zap"

	"github.com/micahaven/micahaven/internal/backpressure"
	"github.com/micahaven/micahaven/internal/discovery"
	"github.com/micahaven/micahaven/internal/quota"
	"github.com/micahaven/micahaven/internal/upstream"
)

// Signal is a backpressure signal, received in a response of a server, that concerns all
// nodes.
type Signal struct {
	// Limit is the rate limit that the server announced, or that it announces none any
	// more; nil if unchanged.
	Limit *quota.Observation
	// Leaving is true if the server announced that it is leaving.
	Leaving bool
}

// SignalFunc notifies the other nodes of a server's signal. Most of them would otherwise
// learn of it only when they send the server a request themselves.
type SignalFunc func(server discovery.ServerID, signal Signal)

// SetSignalFunc sets the notification of servers' signals. It must be called before the
// first request.
func (d *Dispatcher) SetSignalFunc(onSignal SignalFunc) { d.onSignal = onSignal }

// observeSignals applies the signals in a response to a request that this node sent.
func (d *Dispatcher) observeSignals(s *server, answer *upstream.Response) {
	if signals, fromServer := d.signalsOf(answer); fromServer {
		d.takeSignals(s, signals)
	}
}

// observeHandoffSignals applies the signals in a response that came through the server's
// home, because this node may later send requests to the server itself. A requested
// backoff is ignored, as it was meant for the home only.
func (d *Dispatcher) observeHandoffSignals(trace Trace, answer *upstream.Response) {
	if answer == nil {
		return
	}
	signals, fromServer := d.signalsOf(answer)
	signals.Rest = 0
	_, limited := d.limits.Observed(trace.Server)
	if nothing := !limited && signals == (backpressure.Signals{}); nothing || !fromServer {
		return
	}
	d.mutex.Lock()
	s := d.server(discovery.ServerID(trace.Server))
	d.mutex.Unlock()
	if s != nil {
		d.takeSignals(s, signals)
	}
}

// takeSignals applies the signals of a server.
func (d *Dispatcher) takeSignals(s *server, signals backpressure.Signals) {
	countSignals(signals)
	now := time.Now()
	d.mutex.Lock()
	previous := s.signals
	s.signals = signals
	if signals.Rest > 0 {
		s.extendBackoff(now, signals.Rest)
	}
	d.mutex.Unlock()
	d.logSignals(s, previous, signals)
	d.observeLimit(s, signals)
	if signals.Leaving && !previous.Leaving && d.views.MarkLeaving(s.id) {
		d.onSignal(s.id, Signal{Leaving: true})
	}
}

// signalsOf returns the signals in a response; false if they are not from the server that
// was asked. Another server may have its address by now, and an unsigned response without
// signals may be damaged.
func (d *Dispatcher) signalsOf(answer *upstream.Response) (backpressure.Signals, bool) {
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

// logSignals logs each signal that was not in the server's previous response.
func (d *Dispatcher) logSignals(s *server, previous, now backpressure.Signals) {
	id := zap.String("server", string(s.id))
	switch {
	case now.Limited && (!previous.Limited || previous.Rate != now.Rate):
		d.logger.Info("server announced a rate limit", id, zap.Float64("rate", now.Rate))
	case previous.Limited && !now.Limited:
		d.logger.Info("server withdrew its rate limit", id, zap.Float64("before", previous.Rate))
	}
	if now.Leaving && !previous.Leaving {
		d.logger.Info("server announced that it is leaving", id)
	}
	if now.Rest > 0 && previous.Rest == 0 {
		d.logger.Info("server requested backoff", id, zap.Duration("for", now.Rest))
	}
}
