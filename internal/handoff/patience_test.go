package handoff

import (
	"context"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/micahaven/micahaven/internal/dispatch"
	"github.com/micahaven/micahaven/internal/transport"
	"github.com/micahaven/micahaven/internal/wire"
)

// count is a number of arrivals set by a test.
type count uint64

func (c *count) Arrivals() uint64 { return uint64(*c) }

func TestPatience(t *testing.T) {
	const silence = 4 * patienceSlice
	all := int(longestWait / patienceSlice)
	never := func(int) bool { return false }
	cases := map[string]struct {
		// arrives and paused tell in which slices something arrives or this process is paused.
		arrives, paused func(slice int) bool
		slices          int
	}{
		"silent":               {never, never, 4},
		"silent after a while": {func(slice int) bool { return slice <= 3 }, never, 7},
		"alive":                {func(int) bool { return true }, never, all},
		"alive now and then":   {func(slice int) bool { return slice%3 == 0 }, never, all},
		"silent in a pause":    {never, func(slice int) bool { return slice == 4 }, 5},
		"paused all the time":  {never, func(int) bool { return true }, all},
	}
	for name, c := range cases {
		var arrived count
		now := time.Now()
		p := newPatience(now, &arrived, silence)
		slices := 0
		for exhausted := false; !exhausted; exhausted = p.exhausted(now) {
			slices++
			now = now.Add(patienceSlice)
			if c.arrives(slices) {
				arrived++
			}
			if c.paused(slices) {
				now = now.Add(10 * time.Second)
			}
		}
		if slices != c.slices {
			t.Errorf("%s: given up after %d slices, want %d", name, slices, c.slices)
		}
	}
}

// busyFor is longer than any single wait, and shorter than the longest one.
const busyFor = 2 * ackWithin

// keepBusy sends a message on a stream every few milliseconds until its peer is gone.
func keepBusy(stream *transport.Stream) {
	for stream.Send(step(wire.HandoffStep_STEP_QUEUED, "")) {
		time.Sleep(10 * time.Millisecond)
	}
}

// Guards against a home that is busy with a crowd of requests, and so acknowledges one late,
// being taken for lost.
func TestBusyHomeIsNotLost(t *testing.T) {
	home := scripted(t, "home", func(server *transport.Server, stream *transport.Stream) {
		first, err := stream.Receive(context.Background())
		if err != nil {
			return
		}
		if string(first.GetHandoff().GetRequestId()) == "other" {
			keepBusy(stream)
			return
		}
		time.Sleep(busyFor)
		serveFrom(first, stream)
	})
	other := scripted(t, "other", func(*transport.Server, *transport.Stream) { t.Error("the request went to another home") })
	client := newClient(t)
	sender := NewSender("sender", client, zap.NewNop())
	crowd := newRequest(true)
	crowd.ID = "other"
	if _, err := client.Open(t.Context(), home.Address, encodeRequest(crowd, crowd.Deadline, dispatch.Destination{})); err != nil {
		t.Fatal(err)
	}
	answer, err := handOver(t.Context(), sender, newRequest(false), home, other)
	if err != nil || string(answer.Body) != "r" {
		t.Errorf("answer %v, error %v", answer, err)
	}
}

// Guards against a home that gives up a place at a server because the sender, busy with a
// crowd of requests, lets the request go late.
func TestBusySenderIsNotLost(t *testing.T) {
	dispatcher := &fakeDispatcher{}
	node, _ := newHome(t, dispatcher)
	client := newClient(t)
	other := open(t, client, node, false)
	go keepBusy(other)
	stream := open(t, client, node, false)
	awaitStep(t, stream, wire.HandoffStep_STEP_READY)
	time.Sleep(busyFor)
	stream.Send(step(wire.HandoffStep_STEP_GO, ""))
	envelope, err := stream.Receive(t.Context())
	if err != nil || envelope.GetHandoffAnswer().GetStatus() != 200 {
		t.Errorf("got %v, error %v", envelope, err)
	}
	if sent := dispatcher.sent.Load(); sent != 1 {
		t.Errorf("sent %d times, want once", sent)
	}
}

// Guards against a place at a server that stays taken: a sender that is alive and never lets
// the request go is given up.
func TestRequestThatIsNeverLetGoIsGivenUp(t *testing.T) {
	dispatcher := &fakeDispatcher{}
	node, home := newHome(t, dispatcher)
	client := newClient(t)
	go keepBusy(open(t, client, node, false))
	stream := open(t, client, node, false)
	awaitStep(t, stream, wire.HandoffStep_STEP_READY)
	awaitStep(t, stream, wire.HandoffStep_STEP_NOT_TAKEN)
	waitUntil(t, func() bool { return home.Active() == 0 })
	if sent := dispatcher.sent.Load(); sent != 0 {
		t.Errorf("sent %d times without a go", sent)
	}
}
