package group

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

var leaderChanges = promauto.NewCounter(prometheus.CounterOpts{
	Name: "micahaven_group_leads_total",
	Help: "Times that this node started to lead a group.",
})

var churn = promauto.NewCounterVec(prometheus.CounterOpts{
	Name: "micahaven_group_slices_assigned_total",
	Help: "Slices given to a server, by the leader: first placements and moves.",
}, []string{"service"})

var sessionFailures = promauto.NewCounterVec(prometheus.CounterOpts{
	Name: "micahaven_group_session_failures_total",
	Help: "Session messages to servers that got no answer.",
}, []string{"service"})

var retries = promauto.NewCounterVec(prometheus.CounterOpts{
	Name: "micahaven_group_retries_total",
	Help: "Requests sent to a server again.",
}, []string{"service"})

var outcomes = promauto.NewCounterVec(prometheus.CounterOpts{
	Name: "micahaven_group_outcomes_total",
	Help: "Final answers of the leader, by outcome and reason.",
}, []string{"service", "outcome", "reason"})

var serverSeconds = promauto.NewHistogram(prometheus.HistogramOpts{
	Name:    "micahaven_group_server_seconds",
	Help:    "Time that servers take to answer a request.",
	Buckets: prometheus.ExponentialBuckets(0.0005, 2, 14),
})

var awaySeconds = promauto.NewHistogramVec(prometheus.HistogramOpts{
	Name:    "micahaven_group_slice_away_seconds",
	Help:    "Time during which a slice was not served, per occurrence.",
	Buckets: prometheus.ExponentialBuckets(0.001, 2, 14),
}, []string{"service"})
