package sockets_test

import (
	"net"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"github.com/micahaven/micahaven/internal/sockets"
)

// option returns an option of a TCP connection.
func option(t *testing.T, socket net.Conn, level, name int) int {
	t.Helper()
	raw, err := socket.(syscall.Conn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	value := 0
	var failed error
	err = raw.Control(func(descriptor uintptr) { value, failed = unix.GetsockoptInt(int(descriptor), level, name) })
	if err != nil || failed != nil {
		t.Fatal(err, failed)
	}
	return value
}

// Nothing on one machine loses packets, so the test looks at what the kernel was told.
func TestBothEndsAreToldHowLongSilenceMayLast(t *testing.T) {
	const silence = 700 * time.Millisecond
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	dialed, err := sockets.Dialer(time.Second, silence).Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer dialed.Close()
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer accepted.Close()
	if err := sockets.BoundSilence(accepted, silence); err != nil {
		t.Fatal(err)
	}
	for name, socket := range map[string]net.Conn{"dialed": dialed, "accepted": accepted} {
		if got := option(t, socket, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT); got != 700 {
			t.Errorf("%s: peers must acknowledge within %d ms, want 700", name, got)
		}
		if got := option(t, socket, unix.SOL_SOCKET, unix.SO_KEEPALIVE); got != 1 {
			t.Errorf("%s: no keep-alive probes", name)
		}
		if got := option(t, socket, unix.IPPROTO_TCP, unix.TCP_KEEPIDLE); got != 1 {
			t.Errorf("%s: first probe after %d s, want 1", name, got)
		}
	}
}
