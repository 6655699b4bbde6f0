package view_test

import (
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/micahaven/micahaven/internal/discovery"
	"github.com/micahaven/micahaven/internal/routing"
	"github.com/micahaven/micahaven/internal/topo"
	"github.com/micahaven/micahaven/internal/view"
)

// warmUpDocuments decodes entries of servers whose text is the remaining warm-up.
type warmUpDocuments struct{}

func (warmUpDocuments) Table([]byte) (routing.Spec, error) { return routing.Spec{}, nil }

func (warmUpDocuments) Server(instance string, text []byte) (discovery.Server, error) {
	left, err := time.ParseDuration(string(text))
	return discovery.Server{ID: discovery.NewServerID(instance, 1000), StartedAt: 1000, Service: "formulas", WarmUp: left}, err
}

// Guards against too many requests for a server that warms up, once a restored store has its older entry.
func TestWarmUpOutlivesAnOlderEntryOfARestoredStore(t *testing.T) {
	builder := view.NewBuilder(view.Layout{TableKey: "table", ServerPrefix: "servers/"}, warmUpDocuments{}, zap.NewNop())
	builder.Replace([]topo.Item{{Key: serverKey, Value: []byte("0s"), Revision: 1}}, 1)
	put(builder, "3s", 2)
	put(builder, "0s", topo.RevisionIn(1, 1))
	if left := time.Until(builder.Current().Servers.Get(discovery.NewServerID("one", 1000)).WarmAt); left < 2*time.Second {
		t.Errorf("%v of the warm-up left, want 3s", left)
	}
}
