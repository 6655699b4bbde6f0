package admission

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/micahaven/micahaven/internal/wire"
)

const sliceTotal = 4

// recorder notes what happens to each item.
type recorder struct {
	started  map[*Item]int
	finished map[*Item]bool
	running  []*Item
}

func newRecorder() *recorder {
	return &recorder{started: make(map[*Item]int), finished: make(map[*Item]bool)}
}

func (r *recorder) item(slice uint32, priority wire.Priority, deadline time.Duration) *Item {
	item := &Item{Slice: slice, Priority: priority, Deadline: deadline}
	item.OnStart = func(Route) {
		r.started[item]++
		r.running = append(r.running, item)
	}
	item.OnGiveUp = func(wire.Reason, time.Duration) { r.finished[item] = true }
	return item
}

func serve(s *Scheduler, now time.Duration, slots int) {
	s.SetServer(now, "a", Limits{Slots: slots, Queue: 100})
	for slice := range uint32(sliceTotal) {
		s.SetRoute(now, slice, Route{Server: "a", Serving: true})
	}
}

// TestEveryRequestEndsOnceWithinSlots drives a scheduler with random steps.
func TestEveryRequestEndsOnceWithinSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := New(sliceTotal, 100)
		r := newRecorder()
		now := time.Duration(0)
		serve(s, now, 2)
		var items []*Item
		steps := map[string]func(*rapid.T){
			"submit": func(t *rapid.T) {
				priority := rapid.SampledFrom([]wire.Priority{wire.Priority_PRIORITY_INTERACTIVE, wire.Priority_PRIORITY_BACKGROUND}).Draw(t, "priority")
				slice := rapid.Uint32Range(0, sliceTotal-1).Draw(t, "slice")
				item := r.item(slice, priority, now+time.Duration(rapid.IntRange(1, 100).Draw(t, "deadline"))*time.Millisecond)
				items = append(items, item)
				s.Submit(now, item)
			},
			"end one": func(t *rapid.T) {
				if len(r.running) == 0 {
					t.Skip()
				}
				item := r.running[0]
				r.running = r.running[1:]
				r.finished[item] = true
				s.Done(now, item)
			},
			"pass time": func(t *rapid.T) {
				now += time.Duration(rapid.IntRange(1, 20).Draw(t, "time")) * time.Millisecond
				s.Expire(now)
			},
			"move": func(t *rapid.T) {
				slice := rapid.Uint32Range(0, sliceTotal-1).Draw(t, "slice")
				s.SetRoute(now, slice, Route{Server: "a", Serving: rapid.Bool().Draw(t, "serving")})
			},
			"": func(t *rapid.T) {
				if len(r.running) > 2 || s.Running("a") != len(r.running) {
					t.Fatalf("%d requests run, the scheduler counts %d, slots 2", len(r.running), s.Running("a"))
				}
				for _, item := range items {
					if r.started[item] > 1 {
						t.Fatalf("a request started %d times", r.started[item])
					}
				}
			},
		}
		t.Repeat(steps)
		s.GiveUpAll(wire.Reason_REASON_NOT_LEADER)
		for _, item := range items {
			if r.started[item] == 0 && !r.finished[item] {
				t.Fatalf("a request was lost")
			}
		}
		if s.Waiting() != 0 {
			t.Fatalf("%d requests wait after the end", s.Waiting())
		}
	})
}

func TestInteractiveFirstButBackgroundBeforeItIsLate(t *testing.T) {
	s := New(sliceTotal, 100)
	r := newRecorder()
	serve(s, 0, 1)
	running := r.item(0, wire.Priority_PRIORITY_INTERACTIVE, time.Second)
	patient := r.item(0, wire.Priority_PRIORITY_BACKGROUND, time.Hour)
	urgent := r.item(1, wire.Priority_PRIORITY_BACKGROUND, 10*time.Millisecond)
	customer := r.item(2, wire.Priority_PRIORITY_INTERACTIVE, time.Second)
	for _, item := range []*Item{running, patient, urgent, customer} {
		s.Submit(0, item)
	}
	for range 3 {
		s.Done(time.Millisecond, r.running[len(r.running)-1])
	}
	want := []*Item{running, urgent, customer, patient}
	for i, item := range r.running {
		if item != want[i] {
			t.Errorf("request %d was started out of turn", i)
		}
	}
}

func TestHopelessRequestsAreGivenUpAtOnce(t *testing.T) {
	s := New(sliceTotal, 100)
	r := newRecorder()
	serve(s, 0, 1)
	s.Submit(0, r.item(0, wire.Priority_PRIORITY_INTERACTIVE, time.Second))
	for range 10 {
		s.Submit(0, r.item(0, wire.Priority_PRIORITY_INTERACTIVE, time.Second))
	}
	hopeless := r.item(0, wire.Priority_PRIORITY_INTERACTIVE, 5*time.Millisecond)
	s.Submit(0, hopeless)
	if !r.finished[hopeless] {
		t.Errorf("a request behind ten others of %v was kept although its deadline is near", initialServiceTime)
	}
}

func TestSuspendedServerGetsNothing(t *testing.T) {
	s := New(sliceTotal, 100)
	r := newRecorder()
	serve(s, 0, 1)
	s.Suspend("a")
	item := r.item(0, wire.Priority_PRIORITY_INTERACTIVE, time.Second)
	s.Submit(0, item)
	if r.started[item] != 0 {
		t.Errorf("a request was sent to a server that does not answer")
	}
	s.Resume(0, "a")
	if r.started[item] != 1 {
		t.Errorf("a request was not sent although the server answers again")
	}
}
