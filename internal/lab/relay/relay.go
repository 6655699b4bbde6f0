// Package relay stands between nodes on loopback, so that links can be cut. It
// tells the dialling node apart by the first frame, and forwards everything.
package relay

import (
	"bufio"
	"io"
	"net"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/micahaven/micahaven/internal/wire"
)

// Relay forwards connections to one node.
type Relay struct {
	listener net.Listener

	mutex   sync.Mutex
	target  string
	cuts    map[string]Cut
	sockets map[net.Conn]struct{}
	// changed is closed and replaced when a cut changes.
	changed chan struct{}
}

// Cut says which directions between a node and the relay's target are closed.
// Bytes of a closed direction are held back, as on a network that loses all
// packets, and delivered when it opens again.
type Cut struct {
	ToTarget   bool
	FromTarget bool
}

// Start opens a relay. Forward names its target afterwards.
func Start() (*Relay, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "open relay")
	}
	r := &Relay{
		listener: listener,
		cuts:     make(map[string]Cut),
		sockets:  make(map[net.Conn]struct{}),
		changed:  make(chan struct{}),
	}
	go r.accept()
	return r, nil
}

// Address returns where the relay accepts connections.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// Forward sets the address that connections are forwarded to.
func (r *Relay) Forward(target string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.target = target
}

// SetCut opens or closes the directions between a node and the target.
func (r *Relay) SetCut(node string, cut Cut) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.cuts[node] = cut
	close(r.changed)
	r.changed = make(chan struct{})
}

// Close ends the relay and all its connections.
func (r *Relay) Close() {
	// Accept sees the closed listener and ends; nothing else can fail here.
	_ = r.listener.Close()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for socket := range r.sockets {
		_ = socket.Close()
	}
}

func (r *Relay) accept() {
	for {
		socket, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.serve(socket)
	}
}

func (r *Relay) serve(caller net.Conn) {
	defer caller.Close()
	reader := bufio.NewReader(caller)
	first, err := wire.ReadFrame(reader)
	if err != nil {
		return
	}
	r.mutex.Lock()
	address := r.target
	r.mutex.Unlock()
	target, err := net.Dial("tcp", address)
	if err != nil {
		return
	}
	defer target.Close()
	node := first.GetHello().GetNode()
	r.remember(caller, target)
	defer r.forget(caller, target)
	if err := wire.WriteFrame(target, first); err != nil {
		return
	}
	ended := make(chan struct{}, 2)
	go func() {
		r.copy(target, reader, node, func(c Cut) bool { return c.ToTarget })
		ended <- struct{}{}
	}()
	go func() {
		r.copy(caller, target, node, func(c Cut) bool { return c.FromTarget })
		ended <- struct{}{}
	}()
	<-ended
}

// copy forwards bytes, holding them back while the direction is closed.
func (r *Relay) copy(to io.Writer, from io.Reader, node string, isClosed func(Cut) bool) {
	buffer := make([]byte, 64<<10)
	for {
		count, err := from.Read(buffer)
		if err != nil {
			return
		}
		r.waitOpen(node, isClosed)
		if _, err := to.Write(buffer[:count]); err != nil {
			return
		}
	}
}

func (r *Relay) waitOpen(node string, isClosed func(Cut) bool) {
	for {
		r.mutex.Lock()
		closed := isClosed(r.cuts[node])
		changed := r.changed
		r.mutex.Unlock()
		if !closed {
			return
		}
		<-changed
	}
}

func (r *Relay) remember(caller, target net.Conn) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.sockets[caller] = struct{}{}
	r.sockets[target] = struct{}{}
}

func (r *Relay) forget(caller, target net.Conn) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	delete(r.sockets, caller)
	delete(r.sockets, target)
}
