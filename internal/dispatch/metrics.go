package dispatch

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

var (
	attemptsTotal = promauto.NewCounterVec(prometheus.CounterOpts{
		Name: "micahaven_dispatch_attempts_total",
		Help: "Requests sent to servers, by how that ended.",
	}, []string{"service", "result"})

	queueSeconds = promauto.NewHistogramVec(prometheus.HistogramOpts{
		Name:    "micahaven_dispatch_queue_seconds",
		Help:    "Time that requests waited for a server.",
		Buckets: prometheus.ExponentialBuckets(0.001, 2, 12),
	}, []string{"service"})

	refusalSeconds = promauto.NewHistogramVec(prometheus.HistogramOpts{
		Name:    "micahaven_dispatch_refusal_seconds",
		Help:    "Time from reading a request to refusing it, by reason.",
		Buckets: prometheus.ExponentialBuckets(0.001, 4, 7),
	}, []string{"reason"})

	comeBackSeconds = promauto.NewHistogramVec(prometheus.HistogramOpts{
		Name:    "micahaven_dispatch_come_back_seconds",
		Help:    "Time after which refused callers were asked to come back, by reason.",
		Buckets: prometheus.ExponentialBuckets(0.03, 2, 9),
	}, []string{"reason"})

	hedgesTotal = promauto.NewCounterVec(prometheus.CounterOpts{
		Name: "micahaven_dispatch_second_tries_total",
		Help: "Requests sent to a second server because the first was slow, and those whose second server answered first.",
	}, []string{"service", "result"})

	probesTotal = promauto.NewCounterVec(prometheus.CounterOpts{
		Name: "micahaven_dispatch_probes_total",
		Help: "Servers asked whether they warm up, while the copy of the store is old, by what came of it.",
	}, []string{"result"})

	signalsTotal = promauto.NewCounterVec(prometheus.CounterOpts{
		Name: "micahaven_dispatch_server_signals_total",
		Help: "Answers with which a server asked for something, by what it asked for.",
	}, []string{"signal"})

	repeatsDeniedTotal = promauto.NewCounterVec(prometheus.CounterOpts{
		Name: "micahaven_dispatch_repeats_denied_total",
		Help: "Repeats that the retry budget did not allow.",
	}, []string{"service"})
)

// String returns the outcome's name in metrics.
func (a attemptOutcome) String() string {
	switch a {
	case answered:
		return "answered"
	case notSent:
		return "not sent"
	case rejected:
		return "rejected"
	default:
		return "failed"
	}
}
