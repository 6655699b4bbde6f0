package transport

import (
	"bufio"
	"context"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/micahaven/micahaven/internal/wire"
)

// Guards against a server that closes before its peers have received its responses.
func TestDrainedServerHasDeliveredItsResponses(t *testing.T) {
	const calls, size, timeout = 40, 64 << 10, 5 * time.Second
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := NewServer(&wire.Hello{Node: "server", ProtocolVersion: wire.ProtocolVersion}, listener, nil, &echoHandler{}, zap.NewNop())
	go func() { _ = server.Serve() }()
	t.Cleanup(server.Close)
	peer, reader := dialSlowPeer(t, listener.Addr().String())
	for id := range uint64(calls) {
		envelope := probe(strings.Repeat("x", size))
		envelope.CallId = id + 1
		if err := wire.WriteFrame(peer, envelope); err != nil {
			t.Fatal(err)
		}
	}
	// The server has read the calls by then.
	time.Sleep(100 * time.Millisecond)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		server.Drain(ctx)
		server.Close()
	}()
	time.Sleep(100 * time.Millisecond)
	// A message that crosses the close would reset a connection that was closed before.
	_ = wire.WriteFrame(peer, probe("late"))
	time.Sleep(100 * time.Millisecond)
	_ = peer.SetReadDeadline(time.Now().Add(timeout))
	for received := range calls {
		if _, err := wire.ReadFrame(reader); err != nil {
			t.Fatalf("%d of %d responses arrived, then %v", received, calls, err)
		}
	}
}

// dialSlowPeer connects as a node with a small receive buffer.
func dialSlowPeer(t *testing.T, address string) (net.Conn, *bufio.Reader) {
	t.Helper()
	const buffer = 8 << 10
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(descriptor uintptr) {
			_ = syscall.SetsockoptInt(int(descriptor), syscall.SOL_SOCKET, syscall.SO_RCVBUF, buffer)
		})
	}}
	socket, err := dialer.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = socket.Close() })
	hello := &wire.Hello{Node: "peer", ProtocolVersion: wire.ProtocolVersion}
	if err := wire.WriteFrame(socket, &wire.Envelope{Body: &wire.Envelope_Hello{Hello: hello}}); err != nil {
		t.Fatal(err)
	}
	reader := bufio.NewReader(socket)
	if _, err := wire.ReadFrame(reader); err != nil {
		t.Fatal(err)
	}
	return socket, reader
}
