package shards_test

import (
	"testing"
	"time"

	"github.com/micahaven/micahaven/internal/discovery"
	"github.com/micahaven/micahaven/internal/shards"
)

// spares reports whether a manager is spared a fault.
func (w *simulation) spares() bool { return w.longTerms && w.chance(97) }

// ownedFrom names the range of an owner that begins at a key.
type ownedFrom struct {
	owner discovery.ServerID
	first uint32
}

func (m *simManager) recordRelease(release shards.Release) {
	if m.released == nil {
		m.released = make(map[ownedFrom]bool)
	}
	m.released[ownedFrom{release.Owner, release.First}] = true
}

// countVacancies counts the ranges that a manager has taken from registered owners that it had not asked
// for a release.
func (w *simulation) countVacancies(manager *simManager, vacated []shards.Vacancy) {
	for _, vacancy := range vacated {
		owner := w.server(vacancy.Owner)
		registered := owner != nil && owner.up && owner.id == vacancy.Owner && !owner.leaving
		if registered && vacancy.Evidence == shards.LeaseExpired && !manager.released[ownedFrom{vacancy.Owner, vacancy.First}] {
			w.unasked++
		}
	}
}

// withUnansweredCommands adds unreached and silent servers that stay registered, beside all other faults.
func withUnansweredCommands(w *simulation) {
	w.entriesLiveOn, w.refusesConnections, w.silences, w.longTerms = true, true, true, true
	w.callTimeout, w.closesConnections = shards.DefaultOptions().CallTimeout, true
	w.resigns, w.restarts = true, true
}

// Guards against a second holder of keys that were taken from an owner that answers nothing.
func TestNoKeyHasTwoHoldersWhenServersAnswerNothing(t *testing.T) {
	requireOneHolder(t, withUnansweredCommands)
}

// Guards against a simulation in which unreached and silent owners that stay registered keep their keys.
func TestRegisteredOwnersLoseKeysInTheSimulation(t *testing.T) {
	for name, silent := range map[string]bool{"unreached": false, "silent": true} {
		taken := 0
		for seed := range uint64(60) {
			w := newSimulation(seed, shards.DefaultOptions())
			withUnansweredCommands(w)
			w.silences, w.neverCut = silent, silent
			for w.now < time.Minute {
				w.tick()
			}
			taken += w.unasked
		}
		t.Logf("%s: %d ranges", name, taken)
		if taken < 20 {
			t.Errorf("%s owners that stay registered lost %d ranges in 60 runs, want at least 20", name, taken)
		}
	}
}

// Guards against a wait for late grants that is left out for silent owners.
func TestImpatienceWithSilentOwnersIsCaught(t *testing.T) {
	violation := firstViolationIn(*simulationRuns, func(seed uint64) *simulation {
		options := shards.DefaultOptions()
		options.MaxCommandDelay = 0
		w := newSimulation(seed, options)
		withUnansweredCommands(w)
		return w
	})
	if violation == "" {
		t.Fatalf("no violation in %d runs", *simulationRuns)
	}
}
