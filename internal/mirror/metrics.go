package mirror

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

var (
	storeCallsTotal = promauto.NewCounterVec(prometheus.CounterOpts{
		Name: "micahaven_mirror_store_calls_total",
		Help: "Calls to the store for the local copy, by kind and result.",
	}, []string{"call", "result"})

	revisionSeen = promauto.NewGauge(prometheus.GaugeOpts{
		Name: "micahaven_mirror_revision",
		Help: "Revision of the store that the local copy reflects.",
	})
)

func countCall(call string, err error) {
	result := "ok"
	if err != nil {
		result = "failed"
	}
	storeCallsTotal.WithLabelValues(call, result).Inc()
}
