// Package sockets asks the kernel about TCP connections: whether there is anything
// to read, and what the peer has not acknowledged yet.
package sockets

import (
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
