package poison

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

var crashesTotal = promauto.NewCounter(prometheus.CounterOpts{
	Name: "micahaven_poison_crashes_total",
	Help: "Lives of servers that crashed while they ran requests of this node.",
})

var changesTotal = promauto.NewCounterVec(prometheus.CounterOpts{
	Name: "micahaven_poison_changes_total",
	Help: "Requests that this node found to crash servers, or cleared of it.",
}, []string{"change"})
