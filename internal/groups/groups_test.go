package groups

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/micahaven/micahaven/internal/machines"
	"github.com/micahaven/micahaven/internal/wire"
)

// deafCaller reaches nobody.
type deafCaller struct{}

func (deafCaller) Call(context.Context, string, *wire.Envelope) (*wire.Envelope, error) {
	return nil, errors.New("no answer")
}

const lag = 5 * time.Second

func listed(names ...string) []machines.Machine {
	var list []machines.Machine
	for i, name := range names {
		zone := fmt.Sprintf("zone-%d", i%3)
		list = append(list, machines.Machine{ID: name, Kind: machines.KindNode, Zone: zone, State: machines.StateLive})
	}
	return list
}

// TestOnlyTheMachineListProvesThatASilentMemberIsGone matters because a group is
// founded anew only when its old members are gone: one that is merely cut off
// still acts.
func TestOnlyTheMachineListProvesThatASilentMemberIsGone(t *testing.T) {
	type read struct {
		at   time.Duration
		list []machines.Machine
	}
	cases := map[string]struct {
		reads  []read
		askAt  time.Duration
		isGone bool
	}{
		"on the list":                      {[]read{{0, listed("n1", "n2")}, {time.Minute, listed("n1", "n2")}}, time.Minute, false},
		"list cannot be read":              {[]read{{0, listed("n1", "n2")}}, time.Hour, false},
		"dropped a moment ago":             {[]read{{0, listed("n1", "n2")}, {time.Second, listed("n1")}}, time.Minute, false},
		"dropped for longer than the lag":  {[]read{{0, listed("n1", "n2")}, {time.Minute, listed("n1")}}, time.Minute, true},
		"never seen, list read for long":   {[]read{{0, listed("n1")}, {time.Minute, listed("n1")}}, time.Minute, true},
		"never seen, list read just begun": {[]read{{time.Hour, listed("n1")}}, time.Hour, false},
		"list never read":                  {nil, time.Hour, false},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			now := time.Duration(0)
			r := NewRegistry(Options{
				Self: &wire.Member{Node: "n1", Address: "here"}, Lag: lag, Caller: deafCaller{}, Logger: zap.NewNop(),
				Clock: func() time.Duration { return now },
			})
			for _, read := range test.reads {
				now = read.at
				r.SetMachines(read.list)
			}
			now = test.askAt
			member := &wire.Member{Node: "n2", Incarnation: 1, Address: "there"}
			if got := r.isGone(context.Background(), member, r.view()); got != test.isGone {
				t.Errorf("gone: %v, want %v", got, test.isGone)
			}
		})
	}
}

func TestMembersComeFromDifferentZonesAndStay(t *testing.T) {
	nodes := listed("a", "b", "c", "d", "e", "f", "g")
	chosen := Choose("formula", nodes, nil, 3)
	zones := make(map[string]bool)
	var names []string
	for _, node := range chosen {
		zones[node.Zone] = true
		names = append(names, node.ID)
	}
	if len(chosen) != 3 || len(zones) != 3 {
		t.Errorf("chosen %v from zones %v, want three of three", names, zones)
	}
	others := slices.DeleteFunc(slices.Clone(nodes), func(m machines.Machine) bool { return slices.Contains(names, m.ID) })
	present := []string{names[0], names[1]}
	again := Choose("formula", append(others, chosen[0], chosen[1]), present, 3)
	for _, name := range present {
		if !slices.ContainsFunc(again, func(m machines.Machine) bool { return m.ID == name }) {
			t.Errorf("member %s was not kept", name)
		}
	}
}
