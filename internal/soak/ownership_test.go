package soak

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/micahaven/micahaven/platform/standin"
)

func TestOverlapIsReportedOnceItExceedsTheLimit(t *testing.T) {
	start := time.Unix(1000, 0)
	first, second, third := &standin.Server{ID: "s1"}, &standin.Server{ID: "s2"}, &standin.Server{ID: "s3"}
	restarted := &standin.Server{ID: "s1"}
	shared := func(holders ...*standin.Server) map[int][]*standin.Server {
		return map[int][]*standin.Server{0: {first}, 1024: holders}
	}
	type sample struct {
		at      time.Duration
		holders map[int][]*standin.Server
		want    int
	}
	const limit = overlapLimit
	for _, test := range []struct {
		name    string
		samples []sample
	}{
		{"at the limit", []sample{{0, shared(first, second), 0}, {limit, shared(first, second), 0}}},
		{"beyond it, once", []sample{{0, shared(first, second), 0}, {limit + 1, shared(first, second), 1}, {limit + 2, shared(first, second), 0}}},
		{"interrupted", []sample{{0, shared(first, second), 0}, {limit, shared(second), 0}, {limit + 1, shared(first, second), 0}}},
		{"another pair", []sample{{0, shared(first, second), 0}, {limit + 1, shared(second, third), 0}}},
		{"another incarnation", []sample{{0, shared(first, second), 0}, {limit + 1, shared(restarted, second), 0}}},
		{"three servers", []sample{{0, shared(first, second, third), 0}, {limit + 1, shared(first, second, third), 3}}},
	} {
		var watch overlapWatch
		for _, s := range test.samples {
			if got := watch.observe(start.Add(s.at), s.holders); len(got) != s.want {
				t.Errorf("%s: %d shared keys reported after %v, want %d", test.name, len(got), s.at, s.want)
			}
		}
	}
}

// Guards against an overlap between two of the keys that clients request.
func TestDrillsWatchKeysBetweenThoseThatClientsRequest(t *testing.T) {
	store, ledger := standin.NewStore(), standin.NewLedger()
	t.Cleanup(store.Close)
	const first, last, shared = 100, 200, 150
	for index, from := range []int{first, shared} {
		server := standin.NewServer(store, ledger, fmt.Sprintf("s%d", index), standin.DividedService, nil)
		t.Cleanup(server.Stop)
		if !server.Take(from, last, uint64(index+1), time.Minute) {
			t.Fatalf("server %s does not take its keys", server.ID)
		}
	}
	s := &soak{world: &world{store: store, ledger: ledger}, options: Options{Drills: true}}
	if found := sharedKeys(s.world.holders(s.watchedKeys(&overlapWatch{}))); len(found) != 1 || found[0].key != shared {
		t.Errorf("shared keys %v, want key %d of two servers", found, shared)
	}
	s.options.Drills = false
	if got := s.watchedKeys(&overlapWatch{}); !slices.Equal(got, requestedKeys()) {
		t.Errorf("%d keys are watched without drills, want those that clients request", len(got))
	}
}
