package quota

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

var decisionsTotal = promauto.NewCounterVec(prometheus.CounterOpts{
	Name: "micahaven_quota_decisions_total",
	Help: "Requests that count for a limit, of tenants or of servers that name one, by how they were decided: ahead of the next report, granted or refused by the home of the limit, or let through or refused without it.",
}, []string{"of", "decision"})

var homesLostTotal = promauto.NewCounter(prometheus.CounterOpts{
	Name: "micahaven_quota_homes_lost_total",
	Help: "Reports that the home of limits did not answer in time.",
})
