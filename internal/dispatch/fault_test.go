package dispatch

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/micahaven/micahaven/internal/discovery"
	"github.com/micahaven/micahaven/internal/upstream"
)

// Seen on the users' shifted deployment, trouble-3: 1,486 requests in 4 s were refused
// because their key's owner had lost the answers of other requests, or timed out.
func TestBrokenAnswersDoNotKeepKeysFromTheirOwner(t *testing.T) {
	for _, test := range []struct {
		name   string
		cause  error
		told   bool
		blocks bool
	}{
		{"an answer was lost", upstream.ErrNoAnswer, true, false},
		{"nothing could be sent", errors.Mark(errors.New("refused"), upstream.ErrNotSent), true, true},
		{"an answer was lost by a server that does not tell its load", upstream.ErrNoAnswer, false, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			w := newWarmUpWorld(t, 1, "divided z 0s")
			w.own(t, "s0")
			s := w.servers["s0"]
			if test.told {
				s.limit.tell(time.Now(), time.Millisecond, discovery.Load{Slots: 3})
			}
			w.fault(&Request{Service: "divided", HasKey: true, Route: plainRoute()}, s, test.cause)
			if got := w.chooses(time.Now(), "divided"); (got == "") != test.blocks {
				t.Errorf("%q gets the next request, blocked: want %v", got, test.blocks)
			}
		})
	}
}
