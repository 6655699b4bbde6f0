package router

import (
	"time"

	"github.com/micahaven/micahaven/internal/poison"
	"github.com/micahaven/micahaven/internal/view"
	"github.com/micahaven/micahaven/internal/wire"
)

// announceCrashes notifies the other nodes of requests that crashed servers.
func (p *peers) announceCrashes(suspects []poison.Suspect) {
	p.reportToHeads(crashEnvelope(suspects, true))
	p.reportToFollowers(crashEnvelope(suspects, false))
}

func crashEnvelope(suspects []poison.Suspect, forward bool) *wire.Envelope {
	report := &wire.CrashReport{Forward: forward}
	for _, suspect := range suspects {
		report.Suspects = append(report.Suspects, &wire.CrashSuspect{
			Digest: suspect.Digest[:], Lives: suspect.Lives, AgeMicros: suspect.Age.Microseconds(), Cleared: suspect.Cleared,
		})
	}
	return &wire.Envelope{Body: &wire.Envelope_CrashReport{CrashReport: report}}
}

// applyCrashReport applies another node's report of crashes. Digests of a wrong length are
// skipped.
func (p *peers) applyCrashReport(report *wire.CrashReport) {
	var suspects []poison.Suspect
	for _, reported := range report.GetSuspects() {
		if len(reported.GetDigest()) != len(poison.Digest{}) {
			continue
		}
		suspects = append(suspects, poison.Suspect{
			Digest: poison.Digest(reported.GetDigest()), Lives: reported.GetLives(),
			Age: time.Duration(reported.GetAgeMicros()) * time.Microsecond, Cleared: reported.GetCleared(),
		})
	}
	p.guard.Receive(suspects)
	if report.GetForward() {
		p.reportToFollowers(crashEnvelope(suspects, false))
	}
}

// updateGuardNodes passes the nodes of a view to the guard.
func (p *peers) updateGuardNodes(current *view.View) {
	if current.Unchanged.Nodes {
		return
	}
	names := make([]string, 0, current.Nodes.Len())
	for name := range current.Nodes.All() {
		names = append(names, name)
	}
	p.guard.SetNodes(names)
}
