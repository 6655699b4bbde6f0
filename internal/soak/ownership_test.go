package soak

import (
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
