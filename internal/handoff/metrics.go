package handoff

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

var (
	handedOverTotal = promauto.NewCounterVec(prometheus.CounterOpts{
		Name: "micahaven_handoff_handed_over_total",
		Help: "Requests handed over to homes of servers, by how that ended.",
	}, []string{"service", "result"})

	takenOverTotal = promauto.NewCounterVec(prometheus.CounterOpts{
		Name: "micahaven_handoff_taken_over_total",
		Help: "Requests that this node, as a home, got from others, by how that ended.",
	}, []string{"service", "result"})

	substitutedTotal = promauto.NewCounterVec(prometheus.CounterOpts{
		Name: "micahaven_handoff_substituted_total",
		Help: "Requests handed over to any node, because neither this node nor the homes reach the server, by how that ended.",
	}, []string{"service", "result"})

	refusedTotal = promauto.NewCounterVec(prometheus.CounterOpts{
		Name: "micahaven_handoff_refused_total",
		Help: "Requests that homes refused, by reason.",
	}, []string{"reason"})

	unreachableTotal = promauto.NewCounterVec(prometheus.CounterOpts{
		Name: "micahaven_handoff_homes_unreachable_total",
		Help: "Homes that were passed over from then on for some time, by cause.",
	}, []string{"cause"})

	takenOverActive = promauto.NewGauge(prometheus.GaugeOpts{
		Name: "micahaven_handoff_taken_over_active",
		Help: "Requests of other nodes that this node works on.",
	})
)
