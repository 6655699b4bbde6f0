package dispatch

import (
	"go.uber.org/zap"

	"github.com/micahaven/micahaven/internal/backpressure"
	"github.com/micahaven/micahaven/internal/upstream"
)

// observeSignals takes in what a server asks for in an answer.
func (d *Dispatcher) observeSignals(s *server, answer *upstream.Answer) {
	signals, speaks := d.signalsOf(answer)
	if !speaks {
		return
	}
	countSignals(signals)
	d.mutex.Lock()
	before := s.signals
	s.signals = signals
	d.mutex.Unlock()
	d.logSignals(s, before, signals)
	d.observeLimit(s, signals)
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
