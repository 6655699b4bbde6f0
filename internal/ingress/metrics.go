package ingress

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

var requestSeconds = promauto.NewHistogramVec(prometheus.HistogramOpts{
	Name:    "micahaven_ingress_request_seconds",
	Help:    "Time from reading a client's request to its final answer.",
	Buckets: prometheus.ExponentialBuckets(0.005, 2, 12),
}, []string{"service", "outcome"})

var cutOffTotal = promauto.NewCounter(prometheus.CounterOpts{
	Name: "micahaven_ingress_cut_off_total",
	Help: "Requests that had been read and were cut off without an answer when the node ended.",
})
