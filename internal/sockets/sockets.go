// Package sockets provides TCP socket operations that the net package lacks: non-blocking
// checks for unread data, for a closed peer and for unacknowledged bytes, and socket options
// that bound unsent data and peer silence.
package sockets

import (
	"context"
	"io"
	"net"
	"syscall"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// IsIdle reports whether a connection is open and has no unread data. A connection without a
// file descriptor is reported as idle.
func IsIdle(socket net.Conn) bool {
	raw, ok := socket.(syscall.Conn)
	if !ok {
		return true
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	idle := false
	var peeked [1]byte
	// Control takes no lock on the descriptor, so another goroutine may be blocked in a read.
	err = control.Control(func(descriptor uintptr) {
		_, _, recvErr := unix.Recvfrom(int(descriptor), peeked[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		idle = recvErr == unix.EAGAIN
	})
	return err == nil && idle
}

// PeerClosed reports whether the peer has closed its side of the connection or the connection has
// failed, even if data that the peer sent earlier is still unread.
func PeerClosed(socket net.Conn) bool {
	raw, ok := socket.(syscall.Conn)
	if !ok {
		return false
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	err = control.Control(func(descriptor uintptr) {
		descriptors := []unix.PollFd{{Fd: int32(descriptor), Events: unix.POLLRDHUP}}
		count, pollErr := unix.Poll(descriptors, 0)
		closed = pollErr == nil && count > 0
	})
	return err != nil || closed
}

// Read behaves like net.Conn's Read, but passes each non-blocking read attempt to locked. The
// caller can thus hold a lock while data is copied out of the socket without holding it while
// waiting for data.
func Read(socket net.Conn, buffer []byte, locked func(attempt func() (int, error)) (int, error)) (int, error) {
	raw, ok := socket.(syscall.Conn)
	if !ok || len(buffer) == 0 {
		return socket.Read(buffer)
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return 0, err
	}
	var count int
	var readErr error
	// The error of RawConn.Read reports an expired deadline or a closed connection in the same
	// way as net.Conn does; net/http compares these errors.
	err = control.Read(func(descriptor uintptr) bool {
		count, readErr = locked(func() (int, error) { return tryRead(int(descriptor), buffer) })
		return readErr != unix.EAGAIN
	})
	switch {
	case err != nil:
		return 0, err
	case readErr != nil:
		return 0, &net.OpError{Op: "read", Net: "tcp", Source: socket.LocalAddr(), Addr: socket.RemoteAddr(), Err: readErr}
	case count == 0:
		return 0, io.EOF
	default:
		return count, nil
	}
}

// tryRead reads the available data, or returns EAGAIN if there is none.
func tryRead(descriptor int, buffer []byte) (int, error) {
	for {
		count, err := unix.Read(descriptor, buffer)
		if err == unix.EINTR {
			continue
		}
		return max(0, count), err
	}
}

// LimitUnsent sets TCP_NOTSENT_LOWAT: the kernel accepts at most limit bytes that it can't send
// yet. Data that a peer does not read then stays with the writer instead of filling kernel
// buffers.
func LimitUnsent(socket net.Conn, limit int) error {
	raw, ok := socket.(syscall.Conn)
	if !ok {
		return errors.New("connection has no file descriptor")
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return errors.Wrap(err, "access file descriptor")
	}
	var optionErr error
	err = control.Control(func(descriptor uintptr) {
		optionErr = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_NOTSENT_LOWAT, limit)
	})
	if err != nil {
		return errors.Wrap(err, "access file descriptor")
	}
	return errors.Wrap(optionErr, "limit unsent data")
}

// Listen listens on a TCP address. The kernel keeps about twice maxUnread bytes of each connection that
// have arrived and are not read; without a bound its buffer grows to megabytes. The bound is set before a
// connection is opened, because a window that was offered and is reduced later costs retransmissions.
func Listen(address string, maxUnread int) (net.Listener, error) {
	var optionErr error
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(descriptor uintptr) {
			optionErr = unix.SetsockoptInt(int(descriptor), unix.SOL_SOCKET, unix.SO_RCVBUF, maxUnread)
		})
	}}
	listener, err := config.Listen(context.Background(), "tcp", address)
	if err == nil && optionErr != nil {
		return nil, errors.CombineErrors(errors.Wrap(optionErr, "limit unread data"), listener.Close())
	}
	return listener, err
}

// EndedInOrder reports whether the peer has ended its side of a connection that is still open on this side,
// and the connection was not reset since. known is false if the state of the connection cannot be read.
// The error of a reset is reported to one system call only: if that is a write, reads return io.EOF.
func EndedInOrder(socket net.Conn) (ended, known bool) {
	raw, ok := socket.(syscall.Conn)
	if !ok {
		return false, false
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false, false
	}
	var info *unix.TCPInfo
	var optionErr error
	err = control.Control(func(descriptor uintptr) {
		info, optionErr = unix.GetsockoptTCPInfo(int(descriptor), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	if err != nil || optionErr != nil || info.State == 0 {
		return false, false
	}
	return info.State == unix.BPF_TCP_CLOSE_WAIT, true
}

// Unacknowledged returns the number of bytes written to a connection that its peer has not
// acknowledged.
func Unacknowledged(socket net.Conn) (int, error) {
	raw, ok := socket.(syscall.Conn)
	if !ok {
		return 0, errors.New("connection has no file descriptor")
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return 0, errors.Wrap(err, "access file descriptor")
	}
	unacknowledged := 0
	var ioctlErr error
	err = control.Control(func(descriptor uintptr) {
		unacknowledged, ioctlErr = unix.IoctlGetInt(int(descriptor), unix.SIOCOUTQ)
	})
	if err != nil {
		return 0, errors.Wrap(err, "access file descriptor")
	}
	return unacknowledged, errors.Wrap(ioctlErr, "query unacknowledged bytes")
}
