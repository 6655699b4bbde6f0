package mirror_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/micahaven/micahaven/internal/mirror"
	"github.com/micahaven/micahaven/internal/topo"
	"github.com/micahaven/micahaven/internal/topo/memory"
)

// slowConfirmations takes some time to record a confirmation.
type slowConfirmations struct {
	delay     time.Duration
	confirmed atomic.Bool
}

func (*slowConfirmations) Changed(topo.Batch) {}
func (*slowConfirmations) Restored()          {}
func (*slowConfirmations) Watching() bool     { return true }

func (c *slowConfirmations) Confirmed(time.Time, int64) {
	time.Sleep(c.delay)
	c.confirmed.Store(true)
}

func (c *slowConfirmations) ConfirmedByPeer(at time.Time, revision int64) { c.Confirmed(at, revision) }

// suppliedCopy is the copy of another node.
type suppliedCopy struct {
	copied mirror.Copy
	found  bool
}

func (s suppliedCopy) Copy(context.Context, int64) (mirror.Copy, bool) { return s.copied, s.found }

// Other nodes would take the copy for one that was never confirmed.
func TestNoReaderSeesALoadedCopyBeforeItsConfirmation(t *testing.T) {
	const delay = 50 * time.Millisecond
	sources := map[string]suppliedCopy{
		"list of the store":    {},
		"copy of another node": {copied: mirror.Copy{Items: []topo.Item{item("a", "value", 1)}, Revision: 1, ConfirmedAt: time.Now()}, found: true},
	}
	for name, source := range sources {
		t.Run(name, func(t *testing.T) {
			store := memory.New()
			store.Write("a", []byte("value"))
			m, observed := mirror.New(store, newRecorder(), zap.NewNop()), &slowConfirmations{delay: delay}
			m.SetObserver(observed)
			m.SetCopySource(source)
			ctx, cancel := context.WithCancel(context.Background())
			var group sync.WaitGroup
			defer group.Wait()
			defer cancel()
			group.Go(func() { _ = m.Run(ctx) })
			for m.Revision() == 0 {
				time.Sleep(time.Millisecond)
			}
			if !observed.confirmed.Load() {
				t.Error("the copy is visible and not confirmed")
			}
		})
	}
}
