package upstream

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// quiet reports whether an idle connection is open and has nothing to read. An
// idle server has nothing to say: bytes there belong to no request.
func quiet(socket net.Conn) bool {
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
	err = control.Read(func(descriptor uintptr) bool {
		_, _, received := unix.Recvfrom(int(descriptor), peeked[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		silent = received == unix.EAGAIN
		return true
	})
	return err == nil && silent
}
