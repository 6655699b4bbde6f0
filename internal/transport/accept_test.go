package transport

import (
	"net"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/micahaven/micahaven/internal/wire"
)

// emfileListener is a listener whose first Accept fails with EMFILE, as when the process has
// run out of file descriptors.
type emfileListener struct {
	net.Listener
	failed atomic.Bool
}

// Accept implements net.Listener.
func (l *emfileListener) Accept() (net.Conn, error) {
	if l.failed.CompareAndSwap(false, true) {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

// Guards against a temporary shortage of file descriptors ending Serve: the node shuts down
// when Serve returns, which disconnects its clients.
func TestServerOutlastsAShortageOfFiles(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	handler := &echoHandler{}
	server := NewServer(&wire.Hello{Node: "server", ProtocolVersion: wire.ProtocolVersion}, &emfileListener{Listener: inner}, nil, handler, zap.NewNop())
	t.Cleanup(server.Close)
	served := make(chan error, 1)
	go func() { served <- server.Serve() }()
	client := newTestClient(t, wire.ProtocolVersion)
	if _, err := client.Call(t.Context(), inner.Addr().String(), probe("a")); err != nil {
		t.Errorf("call after EMFILE failed: %v", err)
	}
	select {
	case err := <-served:
		t.Errorf("Serve returned after EMFILE: %v", errors.Unwrap(err))
	default:
	}
}
