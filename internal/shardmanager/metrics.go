package shardmanager

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

var (
	ordersTotal = promauto.NewCounterVec(prometheus.CounterOpts{
		Name: "micahaven_shardmanager_orders_total",
		Help: "Grants and releases sent to servers, by how they ended.",
	}, []string{"service", "order", "outcome"})

	movesTotal = promauto.NewCounterVec(prometheus.CounterOpts{
		Name: "micahaven_shardmanager_moves_total",
		Help: "Ranges that their owners have released, by why they were taken.",
	}, []string{"service", "reason"})

	vacanciesTotal = promauto.NewCounterVec(prometheus.CounterOpts{
		Name: "micahaven_shardmanager_vacancies_total",
		Help: "Ranges that lost their owners, by the evidence that no server holds them.",
	}, []string{"service", "evidence"})

	reachChangesTotal = promauto.NewCounterVec(prometheus.CounterOpts{
		Name: "micahaven_shardmanager_reach_changes_total",
		Help: "Times that a server was given no more keys because nothing reached it (reached=false), or answered and may be given keys.",
	}, []string{"service", "reached"})

	commitsTotal = promauto.NewCounterVec(prometheus.CounterOpts{
		Name: "micahaven_shardmanager_commits_total",
		Help: "Owner maps written to the store.",
	}, []string{"service"})

	termsTotal = promauto.NewCounterVec(prometheus.CounterOpts{
		Name: "micahaven_shardmanager_terms_total",
		Help: "Times that this node took the lock of a service's manager.",
	}, []string{"service"})
)
