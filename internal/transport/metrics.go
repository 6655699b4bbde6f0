package transport

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

var lateResponses = promauto.NewCounter(prometheus.CounterOpts{
	Name: "micahaven_transport_late_answers_total",
	Help: "Answers that arrived after their caller had stopped waiting.",
})

var badFrames = promauto.NewCounter(prometheus.CounterOpts{
	Name: "micahaven_transport_bad_frames_total",
	Help: "Connections ended because the peer broke the protocol.",
})
