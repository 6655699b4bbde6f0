package router

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

var feedChangesTotal = promauto.NewCounterVec(prometheus.CounterOpts{
	Name: "micahaven_feed_source_changes_total",
	Help: "How often this node began to watch the store itself, by reason, or to follow another node (none).",
}, []string{"reason"})

var missedChangesTotal = promauto.NewCounter(prometheus.CounterOpts{
	Name: "micahaven_feed_missed_changes_total",
	Help: "How often changes from the upstream were lost and requested again.",
})
