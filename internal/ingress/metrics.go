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

var forcedCloseTotal = promauto.NewCounter(prometheus.CounterOpts{
	Name: "micahaven_ingress_cut_off_total",
	Help: "Requests that were cut off before their answer was written when the node ended.",
})

var pacedSeconds = promauto.NewCounter(prometheus.CounterOpts{
	Name: "micahaven_ingress_paced_seconds_total",
	Help: "Time that large answers waited so that others found the link free.",
})

var startRefusalsTotal = promauto.NewCounter(prometheus.CounterOpts{
	Name: "micahaven_ingress_start_refusals_total",
	Help: "Requests that were refused because no configuration was known in time after the node's start.",
})

var authorizationsTotal = promauto.NewCounterVec(prometheus.CounterOpts{
	Name: "micahaven_ingress_authorizations_total",
	Help: "Requests of a configuration with tenants, by what was decided of the key that they show.",
}, []string{"verdict"})

var denialsTotal = promauto.NewCounterVec(prometheus.CounterOpts{
	Name: "micahaven_ingress_denials_total",
	Help: "Requests that were answered with a final 4xx status of the node itself, by reason.",
}, []string{"reason"})

var staleRefusalsTotal = promauto.NewCounter(prometheus.CounterOpts{
	Name: "micahaven_ingress_stale_refusals_total",
	Help: "Requests without a route, or with too long a body, that were refused with 503 because the copy of the configuration was out of date.",
})

var bodiesRefusedTotal = promauto.NewCounterVec(prometheus.CounterOpts{
	Name: "micahaven_ingress_bodies_refused_total",
	Help: "Requests that were refused while their body was read, by reason.",
}, []string{"reason"})
