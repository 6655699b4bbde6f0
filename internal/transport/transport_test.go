package transport

import (
	"context"
	"net"
	"testing"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/micahaven/micahaven/internal/wire"
)

// echoHandler responds to a probe with the name of its group. For the group "drop" it
// closes the server instead.
type echoHandler struct {
	server *Server
}

func (h *echoHandler) HandleMessage(*wire.Hello, *wire.Envelope) {}

func (h *echoHandler) HandleCall(_ *wire.Hello, envelope *wire.Envelope, reply func(*wire.Envelope)) {
	group := envelope.GetProbeRequest().GetGroup()
	if group == "drop" {
		go h.server.Close()
		return
	}
	reply(&wire.Envelope{Body: &wire.Envelope_Failure{Failure: &wire.Failure{Message: group}}})
}

func startServer(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	handler := &echoHandler{}
	server := NewServer(&wire.Hello{Node: "server", ProtocolVersion: wire.ProtocolVersion}, listener, nil, handler, zap.NewNop())
	handler.server = server
	go func() { _ = server.Serve() }()
	t.Cleanup(server.Close)
	return listener.Addr().String()
}

func newTestClient(t *testing.T, version uint32) *Client {
	client := NewClient(&wire.Hello{Node: "client", ProtocolVersion: version}, nil)
	t.Cleanup(client.Close)
	return client
}

func probe(group string) *wire.Envelope {
	return &wire.Envelope{Body: &wire.Envelope_ProbeRequest{ProbeRequest: &wire.ProbeRequest{Group: group}}}
}

func TestEveryCallGetsItsOwnAnswer(t *testing.T) {
	address := startServer(t)
	client := newTestClient(t, wire.ProtocolVersion)
	names := []string{"a", "b", "c", "d", "e", "f"}
	failures := make(chan error, len(names))
	for _, name := range names {
		go func() {
			answer, err := client.Call(context.Background(), address, probe(name))
			if err == nil && answer.GetFailure().GetMessage() != name {
				err = errors.Newf("call %s got response %v", name, answer)
			}
			failures <- err
		}()
	}
	for range names {
		if err := <-failures; err != nil {
			t.Error(err)
		}
	}
}

// The outcome "not run" relies on ErrNotSent: a client may repeat a request that was not
// run, so a call that may have reached the peer must not match ErrNotSent.
func TestErrorsTellWhetherACallWasSent(t *testing.T) {
	client := newTestClient(t, wire.ProtocolVersion)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = listener.Close()
	if _, err := client.Call(context.Background(), listener.Addr().String(), probe("a")); !errors.Is(err, ErrNotSent) {
		t.Errorf("no listener: got error %v, want ErrNotSent", err)
	}
	if _, err := client.Call(context.Background(), startServer(t), probe("drop")); !errors.Is(err, ErrConnectionLost) {
		t.Errorf("connection closed after the call: got error %v, want ErrConnectionLost", err)
	}
}

func TestOtherProtocolVersionsAreRefused(t *testing.T) {
	client := newTestClient(t, wire.ProtocolVersion+1)
	if _, err := client.Call(context.Background(), startServer(t), probe("a")); !errors.Is(err, ErrNotSent) {
		t.Errorf("different protocol version: got error %v, want ErrNotSent", err)
	}
}

func TestGarbageEndsTheConnection(t *testing.T) {
	socket, err := net.Dial("tcp", startServer(t))
	if err != nil {
		t.Fatal(err)
	}
	defer socket.Close()
	if _, err := socket.Write([]byte{3, 0xff, 0xff, 0xff}); err != nil {
		t.Fatal(err)
	}
	if _, err := socket.Read(make([]byte, 1)); err == nil {
		t.Error("server responded to an invalid frame")
	}
}
