package experiment

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/micahaven/micahaven/internal/entry"
	"github.com/micahaven/micahaven/internal/lab/load"
	"github.com/micahaven/micahaven/internal/lab/server"
)

// Violation is one broken promise.
type Violation struct {
	Promise string `json:"promise"`
	What    string `json:"what"`
}

// The promises that a run is checked for.
const (
	PromiseOneOwner  = "one owner"
	PromiseOnce      = "at most once"
	PromiseNotRun    = "not run means not run"
	PromiseOwnAnswer = "the whole answer to the own request"
	PromiseNoRevert  = "accepted changes stay"
	PromiseKept      = "done means done"
)

// evidence is what a run left behind.
type evidence struct {
	samples []load.Sample
	effects []server.Effect
	// isComplete is false when a server was killed and took its record along.
	isComplete bool
}

// checkAll returns every broken promise.
func checkAll(found evidence) []Violation {
	var violations []Violation
	violations = append(violations, checkOwners(found.effects)...)
	violations = append(violations, checkOnce(found.effects)...)
	violations = append(violations, checkNotRun(found)...)
	violations = append(violations, checkAnswers(found.samples)...)
	if found.isComplete {
		violations = append(violations, checkKept(found)...)
	}
	return violations
}

// sliceKey names a slice of a service: servers are named after their service.
type sliceKey struct {
	service string
	slice   uint32
}

// checkOwners looks for a request that took effect under an older fence than an
// earlier one, or for two servers under one fence.
func checkOwners(effects []server.Effect) []Violation {
	var violations []Violation
	bySlice := make(map[sliceKey][]server.Effect)
	for _, effect := range effects {
		key := sliceKey{service: serviceOf(effect.Server), slice: effect.Slice}
		bySlice[key] = append(bySlice[key], effect)
	}
	for key, run := range bySlice {
		slices.SortFunc(run, func(a, b server.Effect) int { return cmp.Compare(a.AtNanos, b.AtNanos) })
		for i := 1; i < len(run); i++ {
			before, after := run[i-1], run[i]
			order := cmp.Or(cmp.Compare(after.Generation, before.Generation), cmp.Compare(after.Counter, before.Counter))
			isOther := order == 0 && before.Server != after.Server
			if order < 0 || isOther {
				violations = append(violations, Violation{
					Promise: PromiseOneOwner,
					What:    fmt.Sprintf("%s slice %d: %+v, then %+v", key.service, key.slice, before, after),
				})
			}
		}
	}
	return violations
}

func checkOnce(effects []server.Effect) []Violation {
	var violations []Violation
	seen := make(map[string]server.Effect)
	for _, effect := range effects {
		if effect.IdempotencyKey == "" {
			continue
		}
		if first, found := seen[effect.IdempotencyKey]; found {
			violations = append(violations, Violation{
				Promise: PromiseOnce,
				What:    fmt.Sprintf("%+v, and again %+v", first, effect),
			})
		}
		seen[effect.IdempotencyKey] = effect
	}
	return violations
}

func checkNotRun(found evidence) []Violation {
	ran := make(map[string]server.Effect)
	for _, effect := range found.effects {
		ran[effect.RequestID] = effect
	}
	var violations []Violation
	for _, sample := range found.samples {
		effect, didRun := ran[sample.RequestID]
		if sample.Outcome == entry.OutcomeNotRun && sample.RequestID != "" && didRun {
			violations = append(violations, Violation{
				Promise: PromiseNotRun,
				What:    fmt.Sprintf("caller was told %+v, but %+v", sample, effect),
			})
		}
	}
	return violations
}

func checkAnswers(samples []load.Sample) []Violation {
	var violations []Violation
	for _, sample := range samples {
		if sample.Wrong != "" {
			violations = append(violations, Violation{Promise: PromiseOwnAnswer, What: fmt.Sprintf("%+v", sample)})
		}
	}
	return violations
}

// checkKept looks for writes that callers were told are done, but that no
// server has on record.
func checkKept(found evidence) []Violation {
	kept := make(map[string]bool)
	for _, effect := range found.effects {
		kept[effect.IdempotencyKey] = true
	}
	var violations []Violation
	for _, sample := range found.samples {
		if sample.IsWrite && sample.Outcome == entry.OutcomeDone && !kept[sample.IdempotencyKey] {
			violations = append(violations, Violation{Promise: PromiseKept, What: fmt.Sprintf("%+v", sample)})
		}
	}
	return violations
}
