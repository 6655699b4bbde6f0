package sockets

import (
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// keepAliveInterval is the idle time before the first keep-alive probe and the interval between
// probes. The kernel counts it in whole seconds, so one second is the minimum.
const keepAliveInterval = time.Second

// Dialer returns a dialer whose connections fail if the peer acknowledges neither data nor
// keep-alive probes within ackTimeout. A connection may stop delivering packets for good
// without a reset while new connections to the same peer work.
func Dialer(dialTimeout, ackTimeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: 1},
		Control: func(_, _ string, raw syscall.RawConn) error {
			return setUserTimeout(raw, ackTimeout)
		},
	}
}

// SetAckTimeout configures an accepted connection in the same way as Dialer configures outgoing
// ones.
func SetAckTimeout(socket net.Conn, ackTimeout time.Duration) error {
	tcp, ok := socket.(*net.TCPConn)
	if !ok {
		return nil
	}
	config := net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: 1}
	if err := tcp.SetKeepAliveConfig(config); err != nil {
		return errors.Wrap(err, "set keep-alive probes")
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return errors.Wrap(err, "access file descriptor")
	}
	return setUserTimeout(raw, ackTimeout)
}

func setUserTimeout(raw syscall.RawConn, ackTimeout time.Duration) error {
	var optionErr error
	err := raw.Control(func(descriptor uintptr) {
		optionErr = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(ackTimeout.Milliseconds()))
	})
	if err != nil {
		return errors.Wrap(err, "access file descriptor")
	}
	return errors.Wrap(optionErr, "set TCP user timeout")
}
