package transport

import (
	"bufio"
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/micahaven/micahaven/internal/wire"
)

// streamHandler sends back what comes on a stream, and floods a stream that begins with
// "flood" with more than fits into its buffer.
type streamHandler struct{ echoHandler }

func (h *streamHandler) HandleStream(_ *wire.Hello, stream *Stream) {
	defer stream.Close()
	for {
		envelope, err := stream.Receive(context.Background())
		if err != nil {
			return
		}
		if envelope.GetProbeRequest().GetGroup() == "flood" {
			for range 2 * streamBuffer {
				stream.Send(probe("flood"))
			}
		}
		if envelope.GetProbeRequest().GetGroup() == "drop" {
			h.server.Close()
		}
		stream.Send(envelope)
	}
}

func startStreams(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	handler := &streamHandler{}
	handler.server = NewServer(&wire.Hello{Node: "server", ProtocolVersion: wire.ProtocolVersion}, listener, nil, handler, zap.NewNop())
	go func() { _ = handler.server.Serve() }()
	t.Cleanup(handler.server.Close)
	return listener.Addr().String()
}

func openStream(t *testing.T, client *Client, address, first string) *Stream {
	t.Helper()
	stream, err := client.Open(t.Context(), address, probe(first))
	if err != nil {
		t.Fatal(err)
	}
	return stream
}

func expect(t *testing.T, stream *Stream, wanted string) {
	t.Helper()
	expectWithin(t.Context(), t, stream, wanted)
}

func expectWithin(ctx context.Context, t *testing.T, stream *Stream, wanted string) {
	t.Helper()
	envelope, err := stream.Receive(ctx)
	if err != nil || envelope.GetProbeRequest().GetGroup() != wanted {
		t.Fatalf("got %v, error %v, wanted %q", envelope, err, wanted)
	}
}

// Streams on one connection carry several envelopes each, in order and apart.
func TestStreamsAreApart(t *testing.T) {
	address, client := startStreams(t), newTestClient(t, wire.ProtocolVersion)
	one, two := openStream(t, client, address, "1"), openStream(t, client, address, "2")
	one.Send(probe("1b"))
	two.Send(probe("2b"))
	expect(t, two, "2")
	expect(t, one, "1")
	expect(t, one, "1b")
	expect(t, two, "2b")
}

// A stream whose receiver takes nothing is given up, and the others go on.
func TestFullStreamHoldsUpNoOther(t *testing.T) {
	address, client := startStreams(t), newTestClient(t, wire.ProtocolVersion)
	full := openStream(t, client, address, "flood")
	other := openStream(t, client, address, "a")
	expect(t, other, "a")
	select {
	case <-full.ended:
	case <-time.After(2 * time.Second):
		t.Fatal("a stream that overflowed goes on")
	}
	other.Send(probe("b"))
	expect(t, other, "b")
	for {
		if _, err := full.Receive(t.Context()); err != nil {
			if !errors.Is(err, ErrStreamEnded) {
				t.Errorf("error %v", err)
			}
			return
		}
	}
}

// The end of the connection ends its streams.
func TestStreamsEndWithTheirConnection(t *testing.T) {
	address, client := startStreams(t), newTestClient(t, wire.ProtocolVersion)
	stream := openStream(t, client, address, "drop")
	for {
		if _, err := stream.Receive(t.Context()); err != nil {
			if !errors.Is(err, ErrConnectionLost) {
				t.Errorf("error %v", err)
			}
			return
		}
	}
}

// The last envelope of a stream is sent also if the connection's queue is full just then:
// it is an answer, or says that a caller left.
func TestLastEnvelopePassesAFullQueue(t *testing.T) {
	near, far := net.Pipe()
	defer far.Close()
	live := newConnection(near)
	defer live.close()
	stream := (&streams{}).add(1, false, live)
	for stream.Send(probe("fills")) {
		continue
	}
	stream.SendLast(probe("last"))
	go live.writeLoop()
	reader := bufio.NewReader(far)
	if err := far.SetReadDeadline(time.Now().Add(2 * time.Second)); err != nil {
		t.Fatal(err)
	}
	for {
		envelope, err := wire.ReadFrame(reader)
		if err != nil {
			t.Fatalf("the last envelope did not come: %v", err)
		}
		if envelope.GetStream() == wire.StreamPart_STREAM_PART_END {
			return
		}
	}
}

// A part of a whole waits for room in a full queue, and no longer than its context.
func TestPartOfAWholeWaitsForRoom(t *testing.T) {
	near, far := net.Pipe()
	defer far.Close()
	live := newConnection(near)
	defer live.close()
	stream := (&streams{}).add(1, false, live)
	for stream.Send(probe("fills")) {
		continue
	}
	ended, end := context.WithCancel(t.Context())
	end()
	if stream.SendWhole(ended, probe("part")) {
		t.Error("queued where there is no room")
	}
	queued := make(chan bool, 1)
	go func() { queued <- stream.SendWhole(t.Context(), probe("part")) }()
	go live.writeLoop()
	go func() { _, _ = io.Copy(io.Discard, far) }()
	if !<-queued {
		t.Error("not queued though there is room")
	}
}

// A part of a whole does not wait for room on a connection that is lost.
func TestPartOfAWholeEndsWithTheConnection(t *testing.T) {
	near, _ := net.Pipe()
	live := newConnection(near)
	stream := (&streams{}).add(1, false, live)
	// Nothing takes from the queue.
	for stream.Send(probe("fills")) {
		continue
	}
	time.AfterFunc(10*time.Millisecond, live.close)
	if stream.SendWhole(t.Context(), probe("part")) {
		t.Error("queued on a connection that is lost")
	}
}

// What has arrived counts also if the time for it is over: a process that was paused finds
// both at once.
func TestWhatArrivedCountsAfterTheTime(t *testing.T) {
	near, _ := net.Pipe()
	live := newConnection(near)
	defer live.close()
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	for range 100 {
		stream := (&streams{}).add(1, false, live)
		stream.deliver(probe("answer"))
		expectWithin(ctx, t, stream, "answer")
	}
}

// deadlineSocket counts the writes under one deadline.
type deadlineSocket struct {
	net.Conn
	since, most int
}

func (s *deadlineSocket) SetWriteDeadline(time.Time) error { s.since = 0; return nil }

func (s *deadlineSocket) Write(from []byte) (int, error) {
	s.since++
	s.most = max(s.most, s.since)
	return len(from), nil
}

// A peer that reads on is not lost because there is always more to send, as on a slow link
// with long answers: the time for writing begins anew with each envelope.
func TestBusyConnectionIsNotLost(t *testing.T) {
	socket := &deadlineSocket{}
	live := newConnection(socket)
	long := probe(strings.Repeat("a", 2*bufferBytes))
	for live.enqueue(long) {
		continue
	}
	if err := live.writeBatch(bufio.NewWriterSize(socket, bufferBytes), <-live.outgoing); err != nil {
		t.Fatal(err)
	}
	const writesOfOne = 4
	if socket.most > writesOfOne {
		t.Errorf("%d writes under one deadline, wanted those of one envelope", socket.most)
	}
}
