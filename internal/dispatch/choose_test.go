package dispatch

import (
	"testing"
	"time"

	"github.com/micahaven/micahaven/internal/discovery"
	"github.com/micahaven/micahaven/internal/upstream"
	"github.com/micahaven/micahaven/internal/view"
)

// A server of this node's zone is chosen unless it is much slower. The random cost factor
// does not change that.
func TestServersOfTheOwnZoneArePreferred(t *testing.T) {
	const seconds = 0.1
	for _, check := range []struct {
		name        string
		slower      float64
		outstanding int
		wantOwn     bool
	}{
		{name: "as fast", slower: 1, wantOwn: true},
		{name: "twice as slow", slower: 2, wantOwn: true},
		{name: "half of its slots taken", slower: 1.5, outstanding: 2, wantOwn: true},
		{name: "many times slower", slower: 6, wantOwn: false},
	} {
		t.Run(check.name, func(t *testing.T) {
			d := newDispatcher(0, 1)
			d.options.Zone = "here"
			own := d.server("a")
			own.latency, own.outstanding = seconds*check.slower, check.outstanding
			own.Server = &view.Server{Server: discovery.Server{ID: "a", Zone: "here", Slots: 4}}
			other := &server{latency: seconds, pool: upstream.NewPool("127.0.0.1:1", upstream.NewLink()), Server: &view.Server{Server: discovery.Server{ID: "b", Zone: "there", Slots: 4}}}
			for range 100 {
				now := time.Now()
				if got := d.cost(now, own) < d.cost(now, other); got != check.wantOwn {
					t.Fatalf("server of this node's zone preferred: %v, want %v", got, check.wantOwn)
				}
			}
		})
	}
}
