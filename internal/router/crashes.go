package router

import (
	"time"

	"github.com/micahaven/micahaven/internal/poison"
	"github.com/micahaven/micahaven/internal/view"
	"github.com/micahaven/micahaven/internal/wire"
)

// tellCrashes tells the other nodes of requests that servers crashed of.
func (p *peers) tellCrashes(suspects []poison.Suspect) {
	p.toHeads(crashEnvelope(suspects, true))
	p.toFollowers(crashEnvelope(suspects, false))
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

// takeCrashes takes in what another node told. A digest of another length is of no use.
func (p *peers) takeCrashes(report *wire.CrashReport) {
	var suspects []poison.Suspect
	for _, told := range report.GetSuspects() {
		if len(told.GetDigest()) != len(poison.Digest{}) {
			continue
		}
		suspects = append(suspects, poison.Suspect{
			Digest: poison.Digest(told.GetDigest()), Lives: told.GetLives(),
			Age: time.Duration(told.GetAgeMicros()) * time.Microsecond, Cleared: told.GetCleared(),
		})
	}
	p.guard.Receive(suspects)
	if report.GetForward() {
		p.toFollowers(crashEnvelope(suspects, false))
	}
}

// followNodes tells the guard of the nodes of a view.
func (p *peers) followNodes(current *view.View) {
	if current.Unchanged.Nodes {
		return
	}
	names := make([]string, 0, current.Nodes.Len())
	for name := range current.Nodes.All() {
		names = append(names, name)
	}
	p.guard.SetNodes(names)
}
