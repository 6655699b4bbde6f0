package sockets

import (
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// probeInterval is the pause before and between keep-alive probes on an idle connection;
// the kernel counts it in whole seconds, and one is the least.
const probeInterval = time.Second

// Dialer returns a dialer whose connections end by themselves if their peer acknowledges
// nothing for some time, be it data or a keep-alive probe: a connection may go silent for
// good without a reset, and new ones to the same peer work meanwhile.
func Dialer(timeout, silence time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeInterval, Interval: probeInterval, Count: 1},
		Control: func(_, _ string, raw syscall.RawConn) error {
			return setUserTimeout(raw, silence)
		},
	}
}

// BoundSilence makes an accepted connection end as those of Dialer do.
func BoundSilence(socket net.Conn, silence time.Duration) error {
	connection, ok := socket.(*net.TCPConn)
	if !ok {
		return nil
	}
	config := net.KeepAliveConfig{Enable: true, Idle: probeInterval, Interval: probeInterval, Count: 1}
	if err := connection.SetKeepAliveConfig(config); err != nil {
		return errors.Wrap(err, "set keep-alive probes")
	}
	raw, err := connection.SyscallConn()
	if err != nil {
		return errors.Wrap(err, "reach descriptor")
	}
	return setUserTimeout(raw, silence)
}

func setUserTimeout(raw syscall.RawConn, silence time.Duration) error {
	var failed error
	err := raw.Control(func(descriptor uintptr) {
		failed = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silence.Milliseconds()))
	})
	if err != nil {
		return errors.Wrap(err, "reach descriptor")
	}
	return errors.Wrap(failed, "set the time within which a peer must acknowledge")
}
