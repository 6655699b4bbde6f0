package shardmanager

import (
	"fmt"
	"math"
	"strconv"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/micahaven/micahaven/internal/discovery"
	"github.com/micahaven/micahaven/internal/routing"
	"github.com/micahaven/micahaven/internal/topo"
	"github.com/micahaven/micahaven/internal/view"
)

// slotDocuments decodes server entries that consist of the server's slots.
type slotDocuments struct{}

func (slotDocuments) Table([]byte) (routing.Spec, error) { return routing.Spec{}, nil }

func (slotDocuments) Server(id string, text []byte) (discovery.Server, error) {
	slots, err := strconv.Atoi(string(text))
	return discovery.Server{ID: discovery.ServerID(id), Service: "s", Slots: slots}, errors.Wrap(err, "slots")
}

// withSlots returns a builder of a service with a server for each of the given slots; their ids are
// the positions.
func withSlots(slots ...int) *view.Builder {
	builder := view.NewBuilder(view.Layout{TableKey: "table", ServerPrefix: "servers/"}, slotDocuments{}, zap.NewNop())
	var items []topo.Item
	for index, count := range slots {
		items = append(items, topo.Item{Key: fmt.Sprint("servers/", index), Value: []byte(strconv.Itoa(count)), Revision: int64(index + 1)})
	}
	builder.Replace(items, int64(len(items)))
	return builder
}

// requireCounted fails the test if other slots count than those wanted.
func requireCounted(t *testing.T, builder *view.Builder, want ...int) {
	t.Helper()
	counted := countedSlots(time.Now().Add(goneGrace+time.Millisecond), builder.Current().Services["s"])
	for index, slots := range want {
		if got := counted[discovery.ServerID(fmt.Sprint(index))]; got != slots {
			t.Errorf("server %d: %d slots count, want %d (all: %v)", index, got, slots, counted)
		}
	}
}

// Guards against a server with a wrong number of slots that is given all keys of its service.
func TestWrongNumberOfSlotsMovesABoundedShare(t *testing.T) {
	for _, odd := range []int{13, 1000, 1 << 16, math.MaxInt} {
		requireCounted(t, withSlots(2, 2, 2, 2, 2, odd), 2, 2, 2, 2, 2, 8)
		requireCounted(t, withSlots(2, odd), 2, 8)
		requireCounted(t, withSlots(3, odd, 4, 2), 3, 12, 4, 2)
		requireCounted(t, withSlots(2, 2, 2, 2, 2, 2, odd, odd), 2, 2, 2, 2, 2, 2, 8, 8)
	}
}

// Guards against a bound on slots that takes servers of different sizes for wrong figures.
func TestServersOfDifferentSizes(t *testing.T) {
	requireCounted(t, withSlots(16), 16)
	requireCounted(t, withSlots(2, 2, 2, 16, 16, 16), 2, 2, 2, 16, 16, 16)
	requireCounted(t, withSlots(2, 4, 8, 16), 2, 4, 8, 16)
	requireCounted(t, withSlots(2, 16, 16, 16, 16, 16), 2, 16, 16, 16, 16, 16)
	requireCounted(t, withSlots(2, 2, 2, 2, 2, 16), 2, 2, 2, 2, 2, 8)
	requireCounted(t, withSlots(2, 16), 2, 8)
}

// Guards against servers that have left and still bound the others.
func TestSlotsOfServersThatLeftDoNotCount(t *testing.T) {
	builder := withSlots(2, 2, 2, 16, 16)
	var left []topo.Event
	for index := range 3 {
		left = append(left, topo.Event{Item: topo.Item{Key: fmt.Sprint("servers/", index), Revision: 9}, Deleted: true})
	}
	builder.Apply(left, 9)
	requireCounted(t, builder, 2, 2, 2, 16, 16)
}

// Guards against a bounded server that counts as reduced, so that balancing leaves it without keys.
func TestBoundedServerIsNotReduced(t *testing.T) {
	slots := countedSlots(time.Now(), withSlots(2, 2, 2, 1<<16).Current().Services["s"])["3"]
	if capacity := make(speeds).capacity("3", slots); capacity != 8 || isReduced(capacity, slots) {
		t.Errorf("capacity %v, reduced %v, want 8 and not reduced", capacity, isReduced(capacity, slots))
	}
}
