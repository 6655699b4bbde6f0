// Package sockets asks the kernel about TCP connections: whether there is anything
// to read, and what the peer has not acknowledged yet.
package sockets

import (
	"io"
	"net"
	"syscall"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// Quiet reports whether a connection is open and has nothing to read. It takes a
// connection that has no descriptor as quiet.
func Quiet(socket net.Conn) bool {
	raw, ok := socket.(syscall.Conn)
	if !ok {
		return true
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	silent := false
	var peeked [1]byte
	// Control takes no lock, so that another goroutine may be reading meanwhile.
	err = control.Control(func(descriptor uintptr) {
		_, _, received := unix.Recvfrom(int(descriptor), peeked[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		silent = received == unix.EAGAIN
	})
	return err == nil && silent
}

// Left reports whether the peer of a connection has closed its side or the connection has
// failed, also if bytes that the peer sent before lie unread.
func Left(socket net.Conn) bool {
	raw, ok := socket.(syscall.Conn)
	if !ok {
		return false
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return true
	}
	left := false
	err = control.Control(func(descriptor uintptr) {
		asked := []unix.PollFd{{Fd: int32(descriptor), Events: unix.POLLRDHUP}}
		count, failed := unix.Poll(asked, 0)
		left = failed == nil && count > 0
	})
	return err != nil || left
}

// Read reads from a connection as net.Conn's Read does, but calls around with what
// makes one attempt that does not wait, so that the caller can hold a lock while
// bytes are taken and not while they are waited for.
func Read(socket net.Conn, into []byte, around func(attempt func() (int, error)) (int, error)) (int, error) {
	raw, ok := socket.(syscall.Conn)
	if !ok || len(into) == 0 {
		return socket.Read(into)
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return 0, err
	}
	var count int
	var failed error
	// The error of Read tells of a deadline or of a closed connection, as that of
	// net.Conn does; net/http compares it.
	err = control.Read(func(descriptor uintptr) bool {
		count, failed = around(func() (int, error) { return attemptRead(int(descriptor), into) })
		return failed != unix.EAGAIN
	})
	switch {
	case err != nil:
		return 0, err
	case failed != nil:
		return 0, &net.OpError{Op: "read", Net: "tcp", Source: socket.LocalAddr(), Addr: socket.RemoteAddr(), Err: failed}
	case count == 0:
		return 0, io.EOF
	default:
		return count, nil
	}
}

// attemptRead reads what is there, or returns EAGAIN.
func attemptRead(descriptor int, into []byte) (int, error) {
	for {
		count, err := unix.Read(descriptor, into)
		if err == unix.EINTR {
			continue
		}
		return max(0, count), err
	}
}

// BoundUnsent makes a connection take no more than some bytes that it can't send yet, so
// that what a peer doesn't read stays with the writer and not in the kernel.
func BoundUnsent(socket net.Conn, count int) error {
	raw, ok := socket.(syscall.Conn)
	if !ok {
		return errors.New("connection has no descriptor")
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return errors.Wrap(err, "reach descriptor")
	}
	var failed error
	err = control.Control(func(descriptor uintptr) {
		failed = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_NOTSENT_LOWAT, count)
	})
	if err != nil {
		return errors.Wrap(err, "reach descriptor")
	}
	return errors.Wrap(failed, "bound unsent bytes")
}

// Unacknowledged returns how many bytes that were written to a connection its
// peer has not acknowledged yet.
func Unacknowledged(socket net.Conn) (int, error) {
	raw, ok := socket.(syscall.Conn)
	if !ok {
		return 0, errors.New("connection has no descriptor")
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return 0, errors.Wrap(err, "reach descriptor")
	}
	queued := 0
	var asked error
	err = control.Control(func(descriptor uintptr) {
		queued, asked = unix.IoctlGetInt(int(descriptor), unix.SIOCOUTQ)
	})
	if err != nil {
		return 0, errors.Wrap(err, "reach descriptor")
	}
	return queued, errors.Wrap(asked, "ask for unacknowledged bytes")
}
