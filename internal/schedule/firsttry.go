package schedule

import "time"

const (
	// rememberedTimes is of how many requests the callers' times are remembered, and
	// commonTimes how many of them must be alike to be those of first tries. The time that
	// is left of a second try is as good as never the same twice.
	rememberedTimes = 64
	commonTimes     = 4
)

// FirstTries estimates for one route when callers first asked. That is not told on the
// wire; but callers start with the time of their kind, which therefore is seen often, and
// tell with each further try what is left of it. It must not be used concurrently.
type FirstTries struct {
	// times is a ring of what was told lately, in milliseconds; count is how often each is
	// in it.
	times []int64
	next  int
	count map[int64]int
}

// Observe takes in how much time a caller had left when it asked.
func (f *FirstTries) Observe(left time.Duration) {
	if f.count == nil {
		f.count = make(map[int64]int)
	}
	told := left.Milliseconds()
	if len(f.times) < rememberedTimes {
		f.times = append(f.times, told)
	} else {
		f.forget(f.times[f.next])
		f.times[f.next] = told
	}
	f.next = (f.next + 1) % rememberedTimes
	f.count[told]++
}

func (f *FirstTries) forget(told int64) {
	f.count[told]--
	if f.count[told] == 0 {
		delete(f.count, told)
	}
}

// Since returns how long ago a caller that has some time left first asked: the difference
// to the least common time that is not below. Of callers whose times differ, one counts as
// younger than it is rather than as older. It returns 0 as long as too little is known.
func (f *FirstTries) Since(left time.Duration) time.Duration {
	told := left.Milliseconds()
	since := int64(-1)
	for common, count := range f.count {
		if count >= commonTimes && common >= told && (since < 0 || common-told < since) {
			since = common - told
		}
	}
	return time.Duration(max(0, since)) * time.Millisecond
}
