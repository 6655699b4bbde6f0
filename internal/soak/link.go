package soak

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// Mode is how a link treats the traffic that it forwards.
type Mode int32

// The modes of a link.
const (
	// Pass forwards all traffic.
	Pass Mode = iota
	// Silent holds back traffic in both directions and keeps connections open.
	Silent
	// OneWay holds back traffic from the target only.
	OneWay
	// Reset resets every connection.
	Reset
	// Slow delays each read chunk by slowDelay.
	Slow
)

const (
	slowDelay = 150 * time.Millisecond
	// modePoll is the interval at which a held connection rechecks the mode.
	modePoll  = 20 * time.Millisecond
	copyBytes = 16 << 10
)

func (m Mode) String() string {
	names := []string{"pass", "silent", "one way", "reset", "slow"}
	if int(m) < len(names) {
		return names[m]
	}
	return "unknown"
}

// Link is a proxy on the loopback interface in front of one address, through which
// faults are injected from outside the processes on both sides.
type Link struct {
	// Address is where the link listens.
	Address  string
	target   string
	listener net.Listener
	mode     atomic.Int32

	mutex       sync.Mutex
	connections map[net.Conn]struct{}
	closed      bool
}

// NewLink starts a link to a target.
func NewLink(target string) (*Link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen for link")
	}
	l := &Link{Address: listener.Addr().String(), target: target, listener: listener, connections: make(map[net.Conn]struct{})}
	go l.accept(listener)
	return l, nil
}

// Set changes the mode. Reset also resets the open connections.
func (l *Link) Set(mode Mode) {
	l.mode.Store(int32(mode))
	if mode == Reset {
		l.resetAll()
	}
}

// Refuse makes the link's address refuse new connections, like that of a server that has
// crashed. Open connections stay.
func (l *Link) Refuse() {
	// The listener is closed either way, so the error is of no use.
	_ = l.listener.Close()
}

// CutOff makes the link's address refuse new connections and resets the open ones.
func (l *Link) CutOff() {
	l.Refuse()
	l.resetAll()
}

// Reopen makes the link accept connections again after CutOff.
func (l *Link) Reopen() error {
	listener, err := net.Listen("tcp", l.Address)
	if err != nil {
		return errors.Wrapf(err, "listen for link at %s", l.Address)
	}
	l.listener = listener
	go l.accept(listener)
	return nil
}

// Close stops the link and resets all its connections.
func (l *Link) Close() {
	l.mutex.Lock()
	l.closed = true
	l.mutex.Unlock()
	l.Refuse()
	l.resetAll()
}

func (l *Link) current() Mode { return Mode(l.mode.Load()) }

func (l *Link) resetAll() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for connection := range l.connections {
		reset(connection)
	}
}

func reset(connection net.Conn) {
	if socket, ok := connection.(*net.TCPConn); ok {
		// If it fails, Close ends the connection with FIN instead of RST.
		_ = socket.SetLinger(0)
	}
	_ = connection.Close()
}

func (l *Link) accept(listener net.Listener) {
	for {
		near, err := listener.Accept()
		if err != nil {
			return
		}
		go l.serve(near)
	}
}

func (l *Link) serve(near net.Conn) {
	if !l.add(near) {
		return
	}
	defer l.remove(near)
	if l.current() == Reset {
		reset(near)
		return
	}
	far, err := net.Dial("tcp", l.target)
	if err != nil {
		reset(near)
		return
	}
	if !l.add(far) {
		return
	}
	defer l.remove(far)
	done := make(chan struct{}, 2)
	go func() { l.copy(far, near, false); done <- struct{}{} }()
	go func() { l.copy(near, far, true); done <- struct{}{} }()
	<-done
}

func (l *Link) add(connection net.Conn) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.closed {
		reset(connection)
		return false
	}
	l.connections[connection] = struct{}{}
	return true
}

func (l *Link) remove(connection net.Conn) {
	l.mutex.Lock()
	delete(l.connections, connection)
	l.mutex.Unlock()
	_ = connection.Close()
}

// copy forwards bytes as the mode allows until either side closes. backward is set for the
// direction from the target.
func (l *Link) copy(into io.Writer, from io.Reader, backward bool) {
	buffer := make([]byte, copyBytes)
	for {
		count, err := from.Read(buffer)
		if count > 0 {
			if !l.hold(backward) {
				return
			}
			if _, err := into.Write(buffer[:count]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// hold blocks until the mode lets bytes pass. It returns false if the link was closed.
func (l *Link) hold(backward bool) bool {
	if l.current() == Slow {
		time.Sleep(slowDelay)
	}
	for l.current() == Silent || (l.current() == OneWay && backward) {
		time.Sleep(modePoll)
		l.mutex.Lock()
		closed := l.closed
		l.mutex.Unlock()
		if closed {
			return false
		}
	}
	return true
}
