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

// streamHandler echoes the envelopes of a stream. For "flood" it first sends more envelopes
// than fit into the receive buffer, and for "drop" it closes the server.
type streamHandler struct{ echoHandler }

func (h *streamHandler) HandleStream(_ *wire.Hello, stream *Stream) {
	defer stream.Close()
	for {
		envelope, err := stream.Receive(context.Background())
		if err != nil {
			return
		}
		if envelope.GetProbeRequest().GetGroup() == "flood" {
			for range 2 * streamBufferSize {
				stream.Send(probe("flood"))
			}
		}
		if envelope.GetProbeRequest().GetGroup() == "drop" {
			h.server.Close()
		}
		stream.Send(envelope)
	}
}

func startStreamServer(t *testing.T) string {
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

func expectProbe(t *testing.T, stream *Stream, want string) {
	t.Helper()
	expectProbeWithContext(t.Context(), t, stream, want)
}

func expectProbeWithContext(ctx context.Context, t *testing.T, stream *Stream, want string) {
	t.Helper()
	envelope, err := stream.Receive(ctx)
	if err != nil || envelope.GetProbeRequest().GetGroup() != want {
		t.Fatalf("got %v, error %v, want %q", envelope, err, want)
	}
}

// Streams on one connection each deliver their own envelopes in order.
func TestStreamsAreApart(t *testing.T) {
	address, client := startStreamServer(t), newTestClient(t, wire.ProtocolVersion)
	first, second := openStream(t, client, address, "1"), openStream(t, client, address, "2")
	first.Send(probe("1b"))
	second.Send(probe("2b"))
	expectProbe(t, second, "2")
	expectProbe(t, first, "1")
	expectProbe(t, first, "1b")
	expectProbe(t, second, "2b")
}

// A stream whose receiver does not read is closed when its buffer overflows, and the other
// streams on the connection continue.
func TestFullStreamHoldsUpNoOther(t *testing.T) {
	address, client := startStreamServer(t), newTestClient(t, wire.ProtocolVersion)
	full := openStream(t, client, address, "flood")
	other := openStream(t, client, address, "a")
	expectProbe(t, other, "a")
	select {
	case <-full.ended:
	case <-time.After(2 * time.Second):
		t.Fatal("stream is still open after its buffer overflowed")
	}
	other.Send(probe("b"))
	expectProbe(t, other, "b")
	for {
		if _, err := full.Receive(t.Context()); err != nil {
			if !errors.Is(err, ErrStreamEnded) {
				t.Errorf("got error %v, want ErrStreamEnded", err)
			}
			return
		}
	}
}

// Streams fail with ErrConnectionLost when their connection is closed.
func TestStreamsEndWithTheirConnection(t *testing.T) {
	address, client := startStreamServer(t), newTestClient(t, wire.ProtocolVersion)
	stream := openStream(t, client, address, "drop")
	for {
		if _, err := stream.Receive(t.Context()); err != nil {
			if !errors.Is(err, ErrConnectionLost) {
				t.Errorf("got error %v, want ErrConnectionLost", err)
			}
			return
		}
	}
}

// The last envelope of a stream is sent even if the send queue is full when it is queued.
// It is a response, or reports that a client disconnected.
func TestLastEnvelopePassesAFullQueue(t *testing.T) {
	local, remote := net.Pipe()
	defer remote.Close()
	conn := newConnection(local)
	defer conn.close()
	stream := (&streamTable{}).add(1, false, conn)
	for stream.Send(probe("fills")) {
		continue
	}
	stream.SendLast(probe("last"))
	go conn.writeLoop()
	reader := bufio.NewReader(remote)
	if err := remote.SetReadDeadline(time.Now().Add(2 * time.Second)); err != nil {
		t.Fatal(err)
	}
	for {
		envelope, err := wire.ReadFrame(reader)
		if err != nil {
			t.Fatalf("last envelope was not received: %v", err)
		}
		if envelope.GetStream() == wire.StreamPart_STREAM_PART_END {
			return
		}
	}
}

// SendWhole blocks while the send queue is full, but not beyond the end of its context.
func TestPartOfAWholeWaitsForRoom(t *testing.T) {
	local, remote := net.Pipe()
	defer remote.Close()
	conn := newConnection(local)
	defer conn.close()
	stream := (&streamTable{}).add(1, false, conn)
	for stream.Send(probe("fills")) {
		continue
	}
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	if stream.SendWhole(cancelled, probe("part")) {
		t.Error("SendWhole queued an envelope in a full queue")
	}
	queued := make(chan bool, 1)
	go func() { queued <- stream.SendWhole(t.Context(), probe("part")) }()
	go conn.writeLoop()
	go func() { _, _ = io.Copy(io.Discard, remote) }()
	if !<-queued {
		t.Error("SendWhole did not queue an envelope after the queue had room")
	}
}

// SendWhole stops waiting for room in the send queue when the connection is closed.
func TestPartOfAWholeEndsWithTheConnection(t *testing.T) {
	local, _ := net.Pipe()
	conn := newConnection(local)
	stream := (&streamTable{}).add(1, false, conn)
	// No write loop drains the queue.
	for stream.Send(probe("fills")) {
		continue
	}
	time.AfterFunc(10*time.Millisecond, conn.close)
	if stream.SendWhole(t.Context(), probe("part")) {
		t.Error("SendWhole queued an envelope on a closed connection")
	}
}

// Receive returns an envelope that has arrived even if its context has ended. After a pause
// of the process, the envelope and the end of the context are ready at the same time.
func TestWhatArrivedCountsAfterTheTime(t *testing.T) {
	local, _ := net.Pipe()
	conn := newConnection(local)
	defer conn.close()
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	for range 100 {
		stream := (&streamTable{}).add(1, false, conn)
		stream.deliver(probe("answer"))
		expectProbeWithContext(ctx, t, stream, "answer")
	}
}

// deadlineSocket counts the writes since the last SetWriteDeadline and records the maximum.
type deadlineSocket struct {
	net.Conn
	writes, maxWrites int
}

func (s *deadlineSocket) SetWriteDeadline(time.Time) error { s.writes = 0; return nil }

func (s *deadlineSocket) Write(from []byte) (int, error) {
	s.writes++
	s.maxWrites = max(s.maxWrites, s.writes)
	return len(from), nil
}

// Guards against closing the connection to a peer that keeps reading but whose send queue
// never empties, as on a slow link with large responses: the write deadline must be reset
// for each envelope, not once per batch.
func TestBusyConnectionIsNotLost(t *testing.T) {
	socket := &deadlineSocket{}
	conn := newConnection(socket)
	long := probe(strings.Repeat("a", 2*bufferBytes))
	for conn.enqueue(long) {
		continue
	}
	if err := conn.writeBatch(bufio.NewWriterSize(socket, bufferBytes), <-conn.outgoing); err != nil {
		t.Fatal(err)
	}
	const writesOfOne = 4
	if socket.maxWrites > writesOfOne {
		t.Errorf("%d writes under one deadline, want at most the writes of one envelope", socket.maxWrites)
	}
}
