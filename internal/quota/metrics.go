package quota

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

var decisionsTotal = promauto.NewCounterVec(prometheus.CounterOpts{
	Name: "micahaven_quota_decisions_total",
	Help: "Requests of tenants with a limit, by how they were decided: ahead of the next report, granted or refused by the tenant's home, or let through or refused without it.",
}, []string{"decision"})

var homesLostTotal = promauto.NewCounter(prometheus.CounterOpts{
	Name: "micahaven_quota_homes_lost_total",
	Help: "Reports that the home of tenants did not answer in time.",
})
