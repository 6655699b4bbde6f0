package entry

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

var requestSeconds = promauto.NewHistogramVec(prometheus.HistogramOpts{
	Name:    "micahaven_entry_request_seconds",
	Help:    "Time from a caller's request to its final answer.",
	Buckets: prometheus.ExponentialBuckets(0.0005, 2, 16),
}, []string{"service", "outcome"})
