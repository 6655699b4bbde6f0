package placement

import (
	"fmt"
	"math"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/micahaven/micahaven/internal/identity"
)

func drawInput(t *rapid.T) Input {
	servers := rapid.IntRange(1, 12).Draw(t, "servers")
	slicesPerServer := rapid.IntRange(4, 16).Draw(t, "slices per server")
	input := Input{
		Current:   make([]identity.ServerID, servers*slicesPerServer),
		Tolerance: rapid.Float64Range(0.05, 0.5).Draw(t, "tolerance"),
	}
	for i := range servers {
		weight := rapid.Float64Range(0.5, 2).Draw(t, "weight")
		input.Targets = append(input.Targets, Target{Server: serverID(i), Weight: weight})
	}
	for slice := range input.Current {
		// Owners that are no targets stand for servers that are lost.
		input.Current[slice] = serverID(rapid.IntRange(0, servers+1).Draw(t, "owner"))
	}
	if rapid.Bool().Draw(t, "measured") {
		for range input.Current {
			input.Loads = append(input.Loads, rapid.Float64Range(0, 10).Draw(t, "load"))
		}
	}
	return input
}

func serverID(i int) identity.ServerID { return identity.ServerID(fmt.Sprintf("s%02d", i)) }

func TestPlansAreCompleteAndStable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		input := drawInput(t)
		owners := Plan(input)
		for slice, owner := range owners {
			isTarget := slices.ContainsFunc(input.Targets, func(target Target) bool { return target.Server == owner })
			if !isTarget {
				t.Fatalf("slice %d went to %q, which is no target", slice, owner)
			}
		}
		if again := Plan(input); !slices.Equal(owners, again) {
			t.Fatalf("two plans of one input differ")
		}
		input.Current = owners
		if moved := Moves(owners, Plan(input)); moved != 0 {
			t.Fatalf("a plan that was carried out moves %d slices again", moved)
		}
	})
}

// TestLossMovesOnlyTheLostServersSlices checks churn against the least possible.
func TestLossMovesOnlyTheLostServersSlices(t *testing.T) {
	const servers, slicesEach = 15, 8
	input := Input{Current: make([]identity.ServerID, servers*slicesEach), Tolerance: 0.1}
	for i := range servers {
		input.Targets = append(input.Targets, Target{Server: serverID(i), Weight: 1})
	}
	before := Plan(input)
	if worst := Imbalance(input, before); math.Abs(worst-1) > 1e-9 {
		t.Fatalf("imbalance of a first plan: %v, want 1", worst)
	}
	input.Current = before
	input.Targets = input.Targets[1:]
	after := Plan(input)
	if moved := Moves(before, after); moved != slicesEach {
		t.Errorf("the loss of one server moved %d slices, want %d", moved, slicesEach)
	}
	input.Tolerance = 0.2
	if worst := Imbalance(input, after); worst > 1.13 {
		t.Errorf("imbalance after the loss: %v", worst)
	}
}

// TestFewRequestsMoveNothing guards against plans made from noise: one request
// once moved nearly all slices of a service.
func TestFewRequestsMoveNothing(t *testing.T) {
	const slicesEach = 64
	input := Input{
		Current:   make([]identity.ServerID, 2*slicesEach),
		Targets:   []Target{{Server: serverID(0), Weight: 1}, {Server: serverID(1), Weight: 1}},
		Tolerance: 0.05,
	}
	input.Current = Plan(input)
	input.Loads = make([]float64, len(input.Current))
	input.Loads[0] = 0.3
	if moved := Moves(input.Current, Plan(input)); moved != 0 {
		t.Errorf("a third of a request a second moved %d slices", moved)
	}
	for slice := range input.Loads {
		input.Loads[slice] = 20
		if input.Current[slice] == serverID(0) {
			input.Loads[slice] = 60
		}
	}
	if moved := Moves(input.Current, Plan(input)); moved == 0 {
		t.Errorf("three times the load on one server moved nothing")
	}
}
