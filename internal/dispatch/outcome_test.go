package dispatch

import (
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/micahaven/micahaven/internal/upstream"
)

// Guards against failed requests whose errors take longer to classify than their responses to write.
func TestOutcomesAreToldApartWithoutFormattingErrors(t *testing.T) {
	outcomes := []error{
		ErrNotExecuted, ErrUnknown, ErrTimeout, ErrNodeStopping, ErrCanceled, ErrAtHome, ErrNoHome, ErrHomeLost,
		upstream.ErrNotSent, upstream.ErrConnectionLimit, upstream.ErrNoResponse, upstream.ErrUndelivered,
		upstream.ErrUnacknowledged, upstream.ErrBadResponse,
	}
	for _, outcome := range outcomes {
		err := errors.Wrapf(outcome, "%v", errors.New("connection reset"))
		for _, other := range outcomes {
			if other == outcome {
				continue
			}
			matches := false
			allocations := testing.AllocsPerRun(10, func() { matches = errors.Is(err, other) })
			if matches || allocations > 0 {
				t.Errorf("%q matches %q: %v, found with %v allocations", err, other, matches, allocations)
			}
		}
	}
}
