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

	revisionGauge = promauto.NewGauge(prometheus.GaugeOpts{
		Name: "micahaven_mirror_revision",
		Help: "Revision of the store that the local copy reflects.",
	})

	eraGauge = promauto.NewGauge(prometheus.GaugeOpts{
		Name: "micahaven_mirror_store_era",
		Help: "Era of the store: how often it was restored from an older copy.",
	})
)

var copiesTotal = promauto.NewCounterVec(prometheus.CounterOpts{
	Name: "micahaven_mirror_copies_total",
	Help: "Attempts to take a whole copy from another node, by result.",
}, []string{"result"})

func countCopy(found bool) {
	result := "taken"
	if !found {
		result = "none"
	}
	copiesTotal.WithLabelValues(result).Inc()
}

func countCall(call string, err error) {
	result := "ok"
	if err != nil {
		result = "failed"
	}
	storeCallsTotal.WithLabelValues(call, result).Inc()
}
