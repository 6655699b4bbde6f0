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

// shortOfFiles is a listener whose first Accept fails as it does while a process has no
// file descriptor left.
type shortOfFiles struct {
	net.Listener
	failed atomic.Bool
}

// Accept implements net.Listener.
func (l *shortOfFiles) Accept() (net.Conn, error) {
	if l.failed.CompareAndSwap(false, true) {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

// A node ends when this server does, and cuts its clients off: a passing shortage of
// file descriptors must not end it.
func TestServerOutlastsAShortageOfFiles(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	handler := &echoHandler{}
	server := NewServer(&wire.Hello{Node: "server", ProtocolVersion: wire.ProtocolVersion}, &shortOfFiles{Listener: inner}, nil, handler, zap.NewNop())
	t.Cleanup(server.Close)
	served := make(chan error, 1)
	go func() { served <- server.Serve() }()
	client := newTestClient(t, wire.ProtocolVersion)
	if _, err := client.Call(t.Context(), inner.Addr().String(), probe("a")); err != nil {
		t.Errorf("no answer after the shortage: %v", err)
	}
	select {
	case err := <-served:
		t.Errorf("ended with %v", errors.Unwrap(err))
	default:
	}
}
