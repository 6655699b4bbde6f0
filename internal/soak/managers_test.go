package soak

import (
	"testing"

	"github.com/micahaven/micahaven/internal/topo/memory"
	"github.com/micahaven/micahaven/internal/view"
	"github.com/micahaven/micahaven/platform/standin"
)

// Guards against rounds whose faults miss the manager.
func TestManagerIsTheHolderOfTheLock(t *testing.T) {
	store := standin.NewStore()
	defer store.Close()
	nodes := []*Node{{Name: "n0"}, {Name: "n1"}, {Name: "n10"}}
	s := &soak{world: &world{store: store}, nodes: nodes}
	if found := s.manager(); found != nil {
		t.Errorf("manager %s without a lock", found.Name)
	}
	store.Write(view.ManagerKey(standin.DividedService+"2"), []byte(`{"name":"n0"}`))
	store.Write(view.ManagerKey(standin.DividedService), []byte(`{"name":"n10","process":"5"}`))
	if found := s.manager(); found != nodes[2] {
		t.Errorf("manager %v, want n10", found)
	}
	store.SetFaults(memory.Faults{Down: true})
	if found := s.manager(); found != nodes[2] {
		t.Errorf("manager %v while the store is down, want n10", found)
	}
}
