package soak

import (
	"strings"
	"testing"
	"time"

	"github.com/micahaven/micahaven/platform/standin"
)

var testStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(seconds float64) time.Time {
	return testStart.Add(time.Duration(seconds * float64(time.Second)))
}

// closedRecord returns a long read on a reused connection: sent 1.3 s after SIGTERM (at 10 s)
// and closed without a response at 0.9 of the grace period.
func closedRecord() *record {
	return &record{
		id: "n1-c2-3", node: &Node{Name: "n1"}, class: longReads, connection: 4, position: 5,
		connectedAt: at(9), beganAt: at(11.3), headSentAt: at(11.3), sentAt: at(11.3), endedAt: at(13.6), end: connectionClosed,
	}
}

func stopEvents() []nodeEvent {
	return []nodeEvent{
		{at: at(0), kind: processStarted}, {at: at(9.9), kind: reloadSignal}, {at: at(10), kind: termSignal}, {at: at(13.62), kind: processEnded},
	}
}

// withEvent returns the events of a shutdown with one more event inserted in order of time.
func withEvent(kind nodeEventKind, seconds float64, detail string) []nodeEvent {
	var events []nodeEvent
	added := nodeEvent{at: at(seconds), kind: kind, detail: detail}
	for _, event := range stopEvents() {
		if event.at.After(added.at) && added.detail != "added" {
			events = append(events, added)
			added.detail = "added"
		}
		events = append(events, event)
	}
	return events
}

func TestRequestIsLostIfItWasReadAndNotAnswered(t *testing.T) {
	reached := []standin.Arrival{{Request: "n1-c2-3", Server: "s1", At: at(11.31)}}
	for _, test := range []struct {
		name   string
		change func(r *record, known *evidence)
		lost   bool
	}{
		{"closed at the end of the grace", func(*record, *evidence) {}, true},
		{"sent just before the connection ended", func(r *record, _ *evidence) { r.endedAt = at(11.45) }, false},
		{"the same, and a server saw it", func(r *record, known *evidence) {
			r.endedAt = at(11.45)
			known.arrivals = reached
		}, true},
		{"the same, and its answer had begun", func(r *record, _ *evidence) {
			r.endedAt = at(11.45)
			r.headReceived = true
		}, true},
		{"sent 200 ms before the connection ended", func(r *record, _ *evidence) { r.endedAt = at(11.5) }, true},
		{"the same while the soak stalled", func(r *record, known *evidence) {
			r.endedAt = at(11.5)
			known.stalled = 50 * time.Millisecond
		}, false},
		{"answered", func(r *record, _ *evidence) { r.end = answered }, false},
		{"refused", func(r *record, _ *evidence) { r.end = refused }, false},
		{"client left", func(r *record, _ *evidence) { r.end = disconnected }, false},
		{"client's time over", func(r *record, _ *evidence) { r.end = expired }, false},
		{"not sent whole", func(r *record, _ *evidence) { r.end = notSent }, false},
		{"route's time over", func(r *record, _ *evidence) {
			r.headSentAt, r.sentAt = at(8.5), at(9)
		}, false},
		{"node killed", func(_ *record, known *evidence) { known.events = withEvent(killSignal, 12, "") }, false},
		{"earlier process killed", func(_ *record, known *evidence) { known.events = withEvent(killSignal, -1, "") }, true},
		{"node frozen before", func(_ *record, known *evidence) { known.events = withEvent(freezeSignal, 5, "") }, false},
		{"node cut off meanwhile", func(_ *record, known *evidence) { known.events = withEvent(linkChanged, 12, Silent.String()) }, false},
		{"node cut off and healed before", func(_ *record, known *evidence) { known.events = withEvent(linkChanged, 5, Pass.String()) }, true},
		{"server broke its answer off after the head", func(r *record, known *evidence) {
			known.responseTruncated, r.headReceived = true, true
		}, false},
		{"server broke its answer off, and no head came", func(_ *record, known *evidence) { known.responseTruncated = true }, true},
		{"not stopping at all", func(_ *record, known *evidence) { known.events = known.events[:1] }, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			r, known := closedRecord(), evidence{events: stopEvents()}
			test.change(r, &known)
			if lost := r.lost(known); lost != test.lost {
				t.Errorf("lost: %v, want %v", lost, test.lost)
			}
		})
	}
}

func TestAnswersOfStoppingNodesAskForAnotherConnection(t *testing.T) {
	for _, test := range []struct {
		name   string
		change func(r *record)
		keeps  bool
	}{
		{"long after SIGTERM", func(*record) {}, true},
		{"a refusal", func(r *record) { r.end = refused }, true},
		{"asks for another connection", func(r *record) { r.closesConnection = true }, false},
		{"just after SIGTERM", func(r *record) { r.endedAt = at(10.4) }, false},
		{"before SIGTERM", func(r *record) { r.endedAt = at(9.5) }, false},
		{"no answer", func(r *record) { r.end = expired }, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := closedRecord()
			r.end = answered
			test.change(r)
			if keeps := r.keepsConnection(stopEvents()); keeps != test.keeps {
				t.Errorf("connection kept open: %v, want %v", keeps, test.keeps)
			}
		})
	}
}

func TestNodesAreLateAfterTheirGrace(t *testing.T) {
	none := func(time.Time, time.Time) time.Duration { return 0 }
	second := nodeEvent{at: at(12), kind: termSignal}
	for _, test := range []struct {
		name   string
		events []nodeEvent
		stops  int
		late   bool
	}{
		{"in time", stopEvents(), 1, false},
		{"after its grace", append(stopEvents()[:3:3], nodeEvent{at: at(14.01), kind: processEnded}), 1, true},
		{"killed by the soak", append(stopEvents()[:3:3], nodeEvent{at: at(18), kind: killSignal}, nodeEvent{at: at(18.01), kind: processEnded}), 1, true},
		{"killed within its grace", append(stopEvents()[:3:3], nodeEvent{at: at(11), kind: killSignal}, nodeEvent{at: at(11.01), kind: processEnded}), 1, false},
		{"told twice", append(stopEvents()[:3:3], second, nodeEvent{at: at(14.5), kind: processEnded}), 1, true},
		{"frozen meanwhile", append(stopEvents()[:3:3], nodeEvent{at: at(11), kind: freezeSignal}, nodeEvent{at: at(18), kind: processEnded}), 0, false},
		{"never told", append(stopEvents()[:2:2], nodeEvent{at: at(18), kind: processEnded}), 0, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			found := stops(test.events, none)
			late := false
			for _, one := range found {
				late = late || one.late(grace)
			}
			if len(found) != test.stops || late != test.late {
				t.Errorf("%d shutdowns, late: %v, want %d, %v", len(found), late, test.stops, test.late)
			}
		})
	}
}

func TestFurtherSignalsMustNotEndANode(t *testing.T) {
	none := func(time.Time, time.Time) time.Duration { return 0 }
	for how, short := range map[string]bool{"exit status 0": false, "signal: hangup": true, "signal: terminated": true} {
		events := stopEvents()
		events[len(events)-1].detail = how
		found := stops(events, none)
		if len(found) != 1 || found[0].killedBySignal() != short {
			t.Errorf("%s: %+v, want one shutdown, killed by signal: %v", how, found, short)
		}
	}
}

// Runs the whole check on hand-made records: a violation must contain the seed and the
// description of the lost request.
func TestLostRequestIsReportedWithDetails(t *testing.T) {
	n := &Node{Name: "n1", events: append(stopEvents()[:3:3], nodeEvent{at: at(14.2), kind: processEnded, detail: "exit status 0"})}
	r := closedRecord()
	r.node = n
	fine, crossing := *r, *r
	fine.end, fine.closesConnection = answered, true
	crossing.sentAt, crossing.endedAt = at(13.59), at(13.6)
	var output strings.Builder
	s := &soak{
		options: Options{Seed: 77, Output: &output}, nodes: []*Node{n}, started: testStart,
		world:  &world{ledger: standin.NewLedger()},
		pooled: &pooledClients{records: []*record{r, &fine, &crossing}},
	}
	s.history.spans = []*faultSpan{
		{name: "server s1 hangs", from: at(9), until: at(12)}, {name: "drain of server s2", from: at(1), until: at(2)},
	}
	result := &Result{}
	s.checkPlannedWork(result)
	if result.Lost != 1 || len(s.violations) != 2 {
		t.Fatalf("%d requests lost, violations: %q, want one lost request and one late shutdown", result.Lost, s.violations)
	}
	if late := s.violations[0]; !strings.Contains(late, "seed 77: n1 was told to stop at 10.000 s and ended after 4.2s") {
		t.Errorf("late shutdown reported as %q", late)
	}
	if len(result.Excused) != 1 {
		t.Errorf("requests reported as not lost: %q, want one", result.Excused)
	}
	told := s.violations[1]
	for _, part := range []string{
		"seed 77", "long read n1-c2-3 to n1 (connection 4, request 5 on it)", "times from SIGTERM", "last byte +1.300 s",
		"connection closed without a whole answer at +3.600 s", "reached no server", "SIGHUP -0.100 s", "in force: server s1 hangs",
	} {
		if !strings.Contains(told, part) {
			t.Errorf("%q missing in %q", part, told)
		}
	}
	if strings.Contains(told, "s2") {
		t.Errorf("report names a fault that had ended: %q", told)
	}
}

func TestRequestsOfClientsThatLeftMustNotReachServersLater(t *testing.T) {
	for _, test := range []struct {
		name    string
		change  func(r *record, known *evidence)
		arrives float64
		late    bool
	}{
		{"soon", func(*record, *evidence) {}, 14.0, false},
		{"late", func(*record, *evidence) {}, 14.2, true},
		{"late, and the client had not left", func(r *record, _ *evidence) { r.end = expired }, 14.2, false},
		{"late, and the soak itself did not run", func(_ *record, known *evidence) { known.stalled = time.Second }, 14.2, false},
		{"late, and the node was frozen", func(_ *record, known *evidence) { known.events = withEvent(freezeSignal, 13.0, "") }, 14.2, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := closedRecord()
			r.end = disconnected
			known := evidence{events: stopEvents(), arrivals: []standin.Arrival{{Request: r.id, Server: "s1", At: at(test.arrives)}}}
			test.change(r, &known)
			if late := r.arrivedAfterDisconnect(known); late != test.late {
				t.Errorf("late %t, want %t", late, test.late)
			}
		})
	}
}

func TestRequestsBehindTheEndOfAConnectionAreLostOnlyIfTheyReachedAServer(t *testing.T) {
	r := closedRecord()
	r.afterClose = true
	if r.lost(evidence{events: stopEvents()}) {
		t.Error("counted as lost, although the node may not have read it")
	}
	if !r.lost(evidence{events: stopEvents(), arrivals: []standin.Arrival{{Request: r.id, Server: "s1", At: at(11.31)}}}) {
		t.Error("not counted as lost, although it reached a server")
	}
}

func TestOfRequestsSentTogetherTheLastAnswerAsksForAnotherConnection(t *testing.T) {
	r := closedRecord()
	r.end, r.hasSuccessor = answered, true
	if r.keepsConnection(stopEvents()) {
		t.Error("a response before the last one was required to close the connection")
	}
	r.hasSuccessor = false
	if !r.keepsConnection(stopEvents()) {
		t.Error("the last response was allowed to keep the connection open")
	}
}
