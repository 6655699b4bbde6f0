package sockets_test

import (
	"net"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"github.com/micahaven/micahaven/internal/sockets"
)

// socketOption returns the value of a socket option of a TCP connection.
func socketOption(t *testing.T, socket net.Conn, level, name int) int {
	t.Helper()
	raw, err := socket.(syscall.Conn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	value := 0
	var optionErr error
	err = raw.Control(func(descriptor uintptr) { value, optionErr = unix.GetsockoptInt(int(descriptor), level, name) })
	if err != nil || optionErr != nil {
		t.Fatal(err, optionErr)
	}
	return value
}

// Loopback connections lose no packets, so the test checks the socket options instead of a
// timeout.
func TestBothEndsAreToldHowLongSilenceMayLast(t *testing.T) {
	const ackTimeout = 700 * time.Millisecond
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	dialed, err := sockets.Dialer(time.Second, ackTimeout).Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer dialed.Close()
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer accepted.Close()
	if err := sockets.SetAckTimeout(accepted, ackTimeout); err != nil {
		t.Fatal(err)
	}
	for name, socket := range map[string]net.Conn{"dialed": dialed, "accepted": accepted} {
		if got := socketOption(t, socket, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT); got != 700 {
			t.Errorf("%s: TCP user timeout %d ms, want 700", name, got)
		}
		if got := socketOption(t, socket, unix.SOL_SOCKET, unix.SO_KEEPALIVE); got != 1 {
			t.Errorf("%s: keep-alive is disabled", name)
		}
		if got := socketOption(t, socket, unix.IPPROTO_TCP, unix.TCP_KEEPIDLE); got != 1 {
			t.Errorf("%s: first keep-alive probe after %d s, want 1", name, got)
		}
	}
}
