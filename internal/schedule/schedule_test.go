package schedule

import (
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

// asked is a request that came some time after start.
func asked(after time.Duration, priority int, caller string) *Request {
	at := start.Add(after)
	return &Request{
		Class: "read", Priority: priority, Caller: caller, Arrived: at, FirstTry: at, Objective: time.Second,
		Limit: at.Add(3 * time.Second), Deadline: at.Add(6 * time.Second), Work: 200 * time.Millisecond,
	}
}

func itself(r *Request) *Request { return r }

func TestOrder(t *testing.T) {
	now := start.Add(time.Second)
	late := asked(0, 0, "")
	inTime, urgent := asked(600*time.Millisecond, 1, ""), asked(700*time.Millisecond, 0, "")
	returned := asked(900*time.Millisecond, 1, "")
	returned.FirstTry = start.Add(500 * time.Millisecond)
	first, second, other := asked(800*time.Millisecond, 2, "a"), asked(810*time.Millisecond, 2, "a"), asked(820*time.Millisecond, 2, "b")
	for _, check := range []struct {
		name          string
		waiting, want []*Request
	}{
		{"late ones go last, though they are more urgent", []*Request{late, inTime}, []*Request{inTime, late}},
		{"more urgent ones go first", []*Request{inTime, urgent}, []*Request{urgent, inTime}},
		{"a request that came back goes before those since", []*Request{inTime, returned}, []*Request{returned, inTime}},
		{"each caller's first goes before any second", []*Request{first, second, other}, []*Request{first, other, second}},
	} {
		Order(now, check.waiting, itself)
		for at, want := range check.want {
			if check.waiting[at] != want {
				t.Errorf("%s: another request is at place %d", check.name, at)
			}
		}
	}
}

func TestDecide(t *testing.T) {
	const work = 200 * time.Millisecond
	for _, check := range []struct {
		name string
		line Line
		age  time.Duration
		want Verdict
		// until is when the next decision is due, after the request's arrival.
		until time.Duration
	}{
		{"in time: until it must start", Line{Places: 2, Work: work, Ahead: 2}, 0, Wait, 600 * time.Millisecond},
		{"first in line, in time by chance", Line{Places: 0.1, Work: work}, 0, Wait, 600 * time.Millisecond},
		{"late, with room: half of its time", Line{Places: 1, Work: work, Ahead: 9}, 0, Wait, 2800 * time.Millisecond},
		{"late by its first try, with room", Line{Places: 1, Work: work, Ahead: 1}, 900 * time.Millisecond, Wait, 2800 * time.Millisecond},
		{"late without room", Line{Places: 1, Work: work, Ahead: 20}, 0, Refuse, 0},
		{"surely nothing is sent in time", Line{Places: 1, Work: work, Opens: 4 * time.Second}, 0, Refuse, 0},
		{"late, and the owner is gone", Line{Places: 1, Work: work, Ahead: 9, Closed: true}, 0, Refuse, 0},
		{"no server: a moment", Line{}, 0, Wait, 240 * time.Millisecond},
	} {
		request := asked(0, 0, "")
		request.FirstTry = start.Add(-check.age)
		got := Decide(start, request, check.line)
		if got.Verdict != check.want {
			t.Errorf("%s: verdict %d, want %d", check.name, got.Verdict, check.want)
		}
		if got.Verdict == Wait && got.Until.Sub(start) != check.until {
			t.Errorf("%s: until %v, want %v", check.name, got.Until.Sub(start), check.until)
		}
	}
}

// Nobody is held for more than half of the time that it has and refused then.
func TestNobodyIsHeldInVainForLong(t *testing.T) {
	for _, line := range []Line{{}, {Places: 1, Work: time.Second}, {Places: 0.03, Work: time.Second}, {Places: 4, Work: 200 * time.Millisecond, Ahead: 40}} {
		request := asked(0, 0, "")
		now := start
		for range 10 {
			decision := Decide(now, request, line)
			if decision.Verdict == Refuse {
				break
			}
			now = decision.Until
		}
		if half := request.Deadline.Sub(start) / 2; now.Sub(start) > half || Decide(now, request, line).Verdict != Refuse {
			t.Errorf("%+v: still held after %v", line, now.Sub(start))
		}
	}
}

// Callers that are refused together come back one after the other, as the servers have
// room, and none is told more than the part of its time for which it waits.
func TestReturnsAreSpread(t *testing.T) {
	line := Line{Places: 1, Work: 200 * time.Millisecond, Ahead: 20}
	var returns Returns
	earliest := time.Duration(0)
	for range 5 {
		request := asked(0, 0, "")
		request.Deadline = start.Add(30 * time.Second)
		after := returns.After(start, request, line, 0, 0)
		if after < earliest+line.Work || after > 10*time.Second {
			t.Errorf("come back after %v, the one before after %v", after, earliest)
		}
		earliest = after
	}
	brief := asked(0, 0, "")
	line.Ahead = 1000
	for _, random := range []float64{0, 0.5, 1} {
		if after := returns.After(start, brief, line, 0, random); after > 2*time.Second || after < time.Second {
			t.Errorf("come back after %v of 6 s", after)
		}
	}
	if after := returns.After(start, brief, line, time.Minute, 0); after < time.Minute {
		t.Errorf("come back after %v, though there is no use for a minute", after)
	}
}

// A refused caller that is told when to come back is in time for its second try, if it
// had been refused for a line that was too long by a little.
func TestReturnMeetsALineWithRoom(t *testing.T) {
	line := Line{Places: 1, Work: 200 * time.Millisecond, Ahead: 15}
	request := asked(0, 0, "")
	if Decide(start, request, line).Verdict != Refuse {
		t.Fatal("not refused")
	}
	var returns Returns
	after := returns.After(start, request, line, 0, 0)
	line.Ahead -= int(after / line.Work)
	again := asked(after, 0, "")
	again.FirstTry, again.Deadline, again.Limit = request.FirstTry, request.Deadline, start.Add(after+3*time.Second)
	if Decide(again.Arrived, again, line).Verdict == Refuse {
		t.Errorf("refused again after %v", after)
	}
}

func TestFirstTries(t *testing.T) {
	var tries FirstTries
	if since := tries.Since(time.Second); since != 0 {
		t.Errorf("%v without knowledge", since)
	}
	for range 8 {
		tries.Observe(6 * time.Second)
		tries.Observe(2 * time.Second)
		tries.Observe(3*time.Second + time.Duration(len(tries.times))*time.Millisecond)
	}
	for _, check := range []struct{ left, want time.Duration }{
		{6 * time.Second, 0}, {5 * time.Second, time.Second}, {2 * time.Second, 0},
		{1500 * time.Millisecond, 500 * time.Millisecond}, {7 * time.Second, 0},
	} {
		if since := tries.Since(check.left); since != check.want {
			t.Errorf("%v left: first asked %v ago, want %v", check.left, since, check.want)
		}
	}
	for range rememberedTimes {
		tries.Observe(4 * time.Second)
	}
	if since := tries.Since(3 * time.Second); since != time.Second {
		t.Errorf("%v after callers changed", since)
	}
}

// The quantile settles where the asked part of the times is below.
func TestQuantile(t *testing.T) {
	quantile := Quantile{Part: 0.9}
	for at := range 5000 {
		quantile.Observe(time.Duration(1+(at*37)%100) * time.Millisecond)
	}
	if value := quantile.Value(); value < 75*time.Millisecond || value > 100*time.Millisecond {
		t.Errorf("%v, want about 90 ms", value)
	}
}
