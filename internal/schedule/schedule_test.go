package schedule

import (
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

// requestAt returns a request that arrives some time after start.
func requestAt(after time.Duration, priority int, caller string) *Request {
	at := start.Add(after)
	return &Request{
		Class: "read", Priority: priority, Caller: caller, Arrived: at, FirstAttempt: at, Objective: time.Second,
		ExecutionDeadline: at.Add(3 * time.Second), Deadline: at.Add(6 * time.Second), ServiceTime: 200 * time.Millisecond,
	}
}

func identity(r *Request) *Request { return r }

func TestOrder(t *testing.T) {
	now := start.Add(time.Second)
	late := requestAt(0, 0, "")
	inTime, urgent := requestAt(600*time.Millisecond, 1, ""), requestAt(700*time.Millisecond, 0, "")
	returned := requestAt(900*time.Millisecond, 1, "")
	returned.FirstAttempt = start.Add(500 * time.Millisecond)
	first, second, other := requestAt(800*time.Millisecond, 2, "a"), requestAt(810*time.Millisecond, 2, "a"), requestAt(820*time.Millisecond, 2, "b")
	for _, check := range []struct {
		name          string
		waiting, want []*Request
	}{
		{"late requests come last even at a higher priority", []*Request{late, inTime}, []*Request{inTime, late}},
		{"higher priority comes first", []*Request{inTime, urgent}, []*Request{urgent, inTime}},
		{"a retry precedes requests that arrived after its first attempt", []*Request{inTime, returned}, []*Request{returned, inTime}},
		{"the first request of each caller precedes any second one", []*Request{first, second, other}, []*Request{first, other, second}},
	} {
		Order(now, check.waiting, identity)
		for at, want := range check.want {
			if check.waiting[at] != want {
				t.Errorf("%s: wrong request at position %d", check.name, at)
			}
		}
	}
}

func TestDecide(t *testing.T) {
	const work = 200 * time.Millisecond
	for _, check := range []struct {
		name  string
		queue Queue
		age   time.Duration
		want  Verdict
		// until is the time of the next decision, relative to the request's arrival.
		until time.Duration
	}{
		{"in time: waits until its latest start", Queue{Concurrency: 2, ServiceTime: work, Ahead: 2}, 0, Wait, 600 * time.Millisecond},
		{"head of the queue: may be served in time", Queue{Concurrency: 0.1, ServiceTime: work}, 0, Wait, 600 * time.Millisecond},
		{"late, with capacity: waits for half of its timeout", Queue{Concurrency: 1, ServiceTime: work, Ahead: 9}, 0, Wait, 2800 * time.Millisecond},
		{"late since its first attempt, with capacity", Queue{Concurrency: 1, ServiceTime: work, Ahead: 1}, 900 * time.Millisecond, Wait, 2800 * time.Millisecond},
		{"late without capacity", Queue{Concurrency: 1, ServiceTime: work, Ahead: 20}, 0, Refuse, 0},
		{"servers accept nothing in time", Queue{Concurrency: 1, ServiceTime: work, BlockedFor: 4 * time.Second}, 0, Refuse, 0},
		{"late, and no owner is known", Queue{Concurrency: 1, ServiceTime: work, Ahead: 9, Unavailable: true}, 0, Refuse, 0},
		{"no server: waits for the minimum time", Queue{}, 0, Wait, 240 * time.Millisecond},
	} {
		request := requestAt(0, 0, "")
		request.FirstAttempt = start.Add(-check.age)
		got := Decide(start, request, check.queue)
		if got.Verdict != check.want {
			t.Errorf("%s: verdict %d, want %d", check.name, got.Verdict, check.want)
		}
		if got.Verdict == Wait && got.Until.Sub(start) != check.until {
			t.Errorf("%s: until %v, want %v", check.name, got.Until.Sub(start), check.until)
		}
	}
}

// A request that is refused in the end must have been queued for at most half of its
// timeout.
func TestNobodyIsHeldInVainForLong(t *testing.T) {
	for _, queue := range []Queue{{}, {Concurrency: 1, ServiceTime: time.Second}, {Concurrency: 0.03, ServiceTime: time.Second}, {Concurrency: 4, ServiceTime: 200 * time.Millisecond, Ahead: 40}} {
		request := requestAt(0, 0, "")
		now := start
		for range 10 {
			decision := Decide(now, request, queue)
			if decision.Verdict == Refuse {
				break
			}
			now = decision.Until
		}
		if half := request.Deadline.Sub(start) / 2; now.Sub(start) > half || Decide(now, request, queue).Verdict != Refuse {
			t.Errorf("%+v: still queued after %v", queue, now.Sub(start))
		}
	}
}

// Callers that are refused together must retry one after another, at the rate at which the
// servers accept requests, and no delay may exceed the fraction of its remaining time that
// a caller respects.
func TestReturnsAreSpread(t *testing.T) {
	queue := Queue{Concurrency: 1, ServiceTime: 200 * time.Millisecond, Ahead: 20}
	var returns RetrySchedule
	earliest := time.Duration(0)
	for range 5 {
		request := requestAt(0, 0, "")
		request.Deadline = start.Add(30 * time.Second)
		after := returns.After(start, request, queue, 0, 0)
		if after < earliest+queue.ServiceTime || after > 10*time.Second {
			t.Errorf("retry after %v, previous caller after %v", after, earliest)
		}
		earliest = after
	}
	brief := requestAt(0, 0, "")
	queue.Ahead = 1000
	for _, random := range []float64{0, 0.5, 1} {
		if after := returns.After(start, brief, queue, 0, random); after > 2*time.Second || after < time.Second {
			t.Errorf("retry after %v of 6 s", after)
		}
	}
	if after := returns.After(start, brief, queue, time.Minute, 0); after < time.Minute {
		t.Errorf("retry after %v, but the cause is known to last for a minute", after)
	}
}

// A caller that was refused because the queue was slightly too long must be accepted when
// it retries after the returned delay.
func TestReturnMeetsALineWithRoom(t *testing.T) {
	queue := Queue{Concurrency: 1, ServiceTime: 200 * time.Millisecond, Ahead: 15}
	request := requestAt(0, 0, "")
	if Decide(start, request, queue).Verdict != Refuse {
		t.Fatal("not refused")
	}
	var returns RetrySchedule
	after := returns.After(start, request, queue, 0, 0)
	queue.Ahead -= int(after / queue.ServiceTime)
	again := requestAt(after, 0, "")
	again.FirstAttempt, again.Deadline, again.ExecutionDeadline = request.FirstAttempt, request.Deadline, start.Add(after+3*time.Second)
	if Decide(again.Arrived, again, queue).Verdict == Refuse {
		t.Errorf("refused again after %v", after)
	}
}

func TestFirstTries(t *testing.T) {
	var tries FirstAttempts
	if since := tries.EstimateAge(time.Second); since != 0 {
		t.Errorf("got %v without observations, want 0", since)
	}
	for range 8 {
		tries.Observe(6 * time.Second)
		tries.Observe(2 * time.Second)
		tries.Observe(3*time.Second + time.Duration(len(tries.timeouts))*time.Millisecond)
	}
	for _, check := range []struct{ left, want time.Duration }{
		{6 * time.Second, 0}, {5 * time.Second, time.Second}, {2 * time.Second, 0},
		{1500 * time.Millisecond, 500 * time.Millisecond}, {7 * time.Second, 0},
	} {
		if since := tries.EstimateAge(check.left); since != check.want {
			t.Errorf("%v left: first attempt %v ago, want %v", check.left, since, check.want)
		}
	}
	for range historySize {
		tries.Observe(4 * time.Second)
	}
	if since := tries.EstimateAge(3 * time.Second); since != time.Second {
		t.Errorf("got %v after all callers changed their timeout, want 1 s", since)
	}
}

// The estimate must converge to the requested quantile.
func TestQuantile(t *testing.T) {
	quantile := Quantile{Part: 0.9}
	for at := range 5000 {
		quantile.Observe(time.Duration(1+(at*37)%100) * time.Millisecond)
	}
	if value := quantile.Value(); value < 75*time.Millisecond || value > 100*time.Millisecond {
		t.Errorf("got %v, want about 90 ms", value)
	}
}
