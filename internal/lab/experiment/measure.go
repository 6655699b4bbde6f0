package experiment

import (
	"slices"
	"time"

	"github.com/micahaven/micahaven/internal/entry"
	"github.com/micahaven/micahaven/internal/identity"
	"github.com/micahaven/micahaven/internal/lab/load"
	"github.com/micahaven/micahaven/internal/placement"
	"github.com/micahaven/micahaven/internal/table"
)

func sliceCount(text []byte, service string) uint32 {
	parsed, err := table.ParseYAML(text)
	if err != nil {
		return 0
	}
	policy := parsed.Policy(identity.ServiceName(service))
	if policy == nil {
		return 0
	}
	return policy.Slices
}

// quietGap is the longest time between answers for one slice that still counts
// as being served: the load does not ask for every slice all the time.
const quietGap = 100 * time.Millisecond

// awayTimes returns, for each slice of the service that was not answered for a
// while after an incident, the time from the incident to the first answer to a
// request sent after it. Slices that nobody asked for are left out.
func awayTimes(samples []load.Sample, happened incident, count uint32) []time.Duration {
	if count == 0 {
		return nil
	}
	first := make(map[uint32]time.Duration)
	for _, sample := range samples {
		isAfter := sample.Service == happened.service && sample.SentAt >= happened.at && sample.Outcome == entry.OutcomeDone
		if !isAfter {
			continue
		}
		slice := placement.SliceOf(sample.Key, count)
		answered := sample.SentAt + sample.Took - happened.at
		if known, found := first[slice]; !found || answered < known {
			first[slice] = answered
		}
	}
	waited := longWaits(samples, happened, count)
	var away []time.Duration
	for slice, answered := range first {
		if waited[slice] {
			away = append(away, answered)
		}
	}
	slices.Sort(away)
	return away
}

// longWaits returns the slices for which a request that was sent soon after the
// incident had to wait: those that the incident took away.
func longWaits(samples []load.Sample, happened incident, count uint32) map[uint32]bool {
	const window = 300 * time.Millisecond
	waited := make(map[uint32]bool)
	for _, sample := range samples {
		isSoon := sample.SentAt >= happened.at && sample.SentAt < happened.at+window
		if sample.Service == happened.service && isSoon && sample.Took > quietGap {
			waited[placement.SliceOf(sample.Key, count)] = true
		}
	}
	return waited
}

// Quantile returns a quantile of durations, 0 to 1, or 0 when there are none.
func Quantile(values []time.Duration, share float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Clone(values)
	slices.Sort(sorted)
	at := int(share * float64(len(sorted)))
	return sorted[min(at, len(sorted)-1)]
}
