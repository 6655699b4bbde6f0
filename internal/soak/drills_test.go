package soak

import (
	"math/rand/v2"
	"testing"
)

func TestDrillsStayWithinTheirBounds(t *testing.T) {
	const drawn, nodes = 2000, 5
	random := rand.New(rand.NewPCG(1, drillStream))
	all, several, managers, second, twice, none := 0, 0, 0, 0, 0, 0
	count := func(r restoreDrill) {
		if r.outage > maxOutage || r.kills.after > r.outage {
			t.Errorf("outage of %v, kill after %v, want at most %v", r.outage, r.kills.after, maxOutage)
		}
		for _, down := range r.kills.down {
			for _, length := range down {
				if length < minRestart || length > maxRestart {
					t.Errorf("down for %v, want %v to %v", length, minRestart, maxRestart)
				}
			}
		}
		switch {
		case r.kills.none:
			none++
		case len(r.kills.nodes) == nodes:
			all++
		case len(r.kills.nodes) > 0:
			several++
		default:
			managers++
		}
		if len(r.kills.down) > 1 {
			twice++
		}
	}
	for range drawn {
		d := drawDrill(random, nodes)
		count(d.first)
		if d.cut < minCut || d.cut > maxCut {
			t.Errorf("cut of %v, want %v to %v", d.cut, minCut, maxCut)
		}
		if d.second == nil {
			continue
		}
		second++
		count(*d.second)
		if d.secondAfter+d.second.outage > maxSecondRestore {
			t.Errorf("second restore after %v, want at most %v", d.secondAfter+d.second.outage, maxSecondRestore)
		}
	}
	for name, seen := range map[string]int{"all": all, "several": several, "managers": managers, "second": second, "twice": twice, "none": none} {
		if seen < drawn/10 {
			t.Errorf("%s: %d of %d, want at least a tenth", name, seen, drawn)
		}
	}
}

func TestDrillsHaveNoLateGrants(t *testing.T) {
	if got := len(drillFaults()); got != len(faults)-1 {
		t.Errorf("%d kinds of faults beside drills, want %d", got, len(faults)-1)
	}
}

func TestDrillsOfASeedAreTheSame(t *testing.T) {
	first := drawDrill(rand.New(rand.NewPCG(7, drillStream)), 4)
	again := drawDrill(rand.New(rand.NewPCG(7, drillStream)), 4)
	if first.cut != again.cut || first.first.kills.String() != again.first.kills.String() {
		t.Errorf("drills %v and %v, want the same", first, again)
	}
}
