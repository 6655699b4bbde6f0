package pipeline

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

var headOfLineSeconds = promauto.NewHistogram(prometheus.HistogramOpts{
	Name:    "micahaven_ingress_behind_seconds",
	Help:    "Time that a finished answer waited for an earlier answer of its connection.",
	Buckets: prometheus.ExponentialBuckets(0.005, 2, 12),
})

var stalledClientsTotal = promauto.NewCounter(prometheus.CounterOpts{
	Name: "micahaven_ingress_given_up_total",
	Help: "Connections that were reset because their client took nothing of an answer.",
})

var heldPeakBytes = promauto.NewGauge(prometheus.GaugeOpts{
	Name: "micahaven_ingress_held_peak_bytes",
	Help: "The most bytes of requests and waiting answers that were held for clients at once.",
})

var malformedTotal = promauto.NewCounterVec(prometheus.CounterOpts{
	Name: "micahaven_ingress_malformed_total",
	Help: "Connections that were closed with an error status because their data was no valid request, by status.",
}, []string{"status"})

var bodyBytes = promauto.NewGauge(prometheus.GaugeOpts{
	Name: "micahaven_ingress_body_bytes",
	Help: "Memory that is charged for request bodies, in bytes.",
})
