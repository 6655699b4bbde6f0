package transport

import (
	"bufio"
	"context"
	"crypto/tls"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/micahaven/micahaven/internal/sockets"
	"github.com/micahaven/micahaven/internal/wire"
)

const (
	dialTimeout = time.Second
	// redialBackoff is the minimum time from the end of a dial to the next dial to the same
	// address, so that an unreachable node is not dialled in a tight loop.
	redialBackoff = 100 * time.Millisecond
)

// Client sends envelopes to other nodes. It keeps one connection per address
// and redials on the next use after a connection is lost. It is safe for concurrent use.
//
// Lock order: Client.mutex before peer.mutex.
type Client struct {
	hello *wire.Hello
	tls   *tls.Config

	mutex  sync.Mutex
	peers  map[string]*peer
	closed bool
}

// NewClient returns a client that sends hello in the handshake of each connection. A nil
// TLS configuration means plain TCP.
func NewClient(hello *wire.Hello, config *tls.Config) *Client {
	return &Client{hello: hello, tls: config, peers: make(map[string]*peer)}
}

// Call sends an envelope and waits for its response. The error matches ErrNotSent
// if the peer certainly did not receive the envelope.
func (c *Client) Call(ctx context.Context, address string, envelope *wire.Envelope) (*wire.Envelope, error) {
	return c.peer(address).call(ctx, envelope)
}

// Send queues a one-way message. It never blocks. The message is dropped if the send queue
// is full or if there is no connection, in which case a dial is started. It may also be lost
// in transit.
func (c *Client) Send(address string, envelope *wire.Envelope) {
	c.peer(address).send(envelope)
}

// SendOnceConnected queues a one-way message like Send, but if there is no connection, the message
// waits in the background for the dial. It is for rare messages that are not repeated and that
// may be late by a dial.
func (c *Client) SendOnceConnected(address string, envelope *wire.Envelope) {
	c.peer(address).sendOnceConnected(envelope)
}

// Close closes all connections.
func (c *Client) Close() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.closed = true
	for _, target := range c.peers {
		target.close()
	}
}

func (c *Client) peer(address string) *peer {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	target := c.peers[address]
	if target == nil {
		target = &peer{client: c, address: address, pending: make(map[uint64]chan *wire.Envelope)}
		c.peers[address] = target
	}
	return target
}

// peer holds the connection to one address and the calls and streams that use it.
type peer struct {
	client   *Client
	address  string
	nextCall atomic.Uint64

	mutex       sync.Mutex
	current     *connection
	dialing     bool
	nextDialAt  time.Time
	pending     map[uint64]chan *wire.Envelope
	dialWaiters []chan struct{}

	streamTable streamTable
}

func (p *peer) call(ctx context.Context, envelope *wire.Envelope) (*wire.Envelope, error) {
	conn, err := p.connect(ctx)
	if err != nil {
		return nil, errors.Mark(err, ErrNotSent)
	}
	envelope.CallId = p.nextCall.Add(1)
	waiter := make(chan *wire.Envelope, 1)
	p.mutex.Lock()
	p.pending[envelope.CallId] = waiter
	p.mutex.Unlock()
	defer p.removePending(envelope.CallId)
	if !conn.enqueue(envelope) {
		return nil, errors.Wrapf(ErrNotSent, "send queue of %s is full or closed", p.address)
	}
	select {
	case response := <-waiter:
		return response, nil
	case <-conn.closed:
		// The response may have arrived just before the connection was closed.
		select {
		case response := <-waiter:
			return response, nil
		default:
			return nil, errors.Wrapf(ErrConnectionLost, "peer %s", p.address)
		}
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (p *peer) removePending(id uint64) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	delete(p.pending, id)
}

func (p *peer) send(envelope *wire.Envelope) {
	p.mutex.Lock()
	conn := p.current
	if conn == nil {
		p.startDial()
	}
	p.mutex.Unlock()
	if conn != nil {
		conn.enqueue(envelope)
	}
}

func (p *peer) sendOnceConnected(envelope *wire.Envelope) {
	p.mutex.Lock()
	conn := p.current
	p.mutex.Unlock()
	if conn != nil {
		conn.enqueue(envelope)
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
		defer cancel()
		if conn, err := p.connect(ctx); err == nil {
			conn.enqueue(envelope)
		}
	}()
}

// connect returns the current connection. If there is none, it starts a dial or joins the
// one in progress, and waits for it.
func (p *peer) connect(ctx context.Context) (*connection, error) {
	p.mutex.Lock()
	if p.current != nil {
		conn := p.current
		p.mutex.Unlock()
		return conn, nil
	}
	done := make(chan struct{})
	p.dialWaiters = append(p.dialWaiters, done)
	p.startDial()
	if !p.dialing {
		p.dialWaiters = nil
		p.mutex.Unlock()
		return nil, errors.Newf("dial to peer %s is suppressed by the redial backoff", p.address)
	}
	p.mutex.Unlock()
	select {
	case <-done:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.current == nil {
		return nil, errors.Newf("connect to peer %s failed", p.address)
	}
	return p.current, nil
}

// startDial starts a dial unless one is in progress or the redial backoff has not
// expired. The caller holds the mutex.
func (p *peer) startDial() {
	if p.dialing || time.Now().Before(p.nextDialAt) {
		return
	}
	p.dialing = true
	go p.dial()
}

func (p *peer) dial() {
	conn, reader, err := p.establish()
	p.mutex.Lock()
	p.dialing = false
	p.nextDialAt = time.Now().Add(redialBackoff)
	if err == nil {
		p.current = conn
	}
	for _, done := range p.dialWaiters {
		close(done)
	}
	p.dialWaiters = nil
	p.mutex.Unlock()
	if err != nil {
		return
	}
	go conn.writeLoop()
	// readLoop returns when the connection is closed. Its error is not needed: pending calls
	// and streams observe the closed connection.
	_ = conn.readLoop(reader, p.receive)
	p.clearCurrent(conn)
}

// establish dials the peer and performs the handshake.
func (p *peer) establish() (*connection, *bufio.Reader, error) {
	socket, err := sockets.Dialer(dialTimeout, ackTimeout).Dial("tcp", p.address)
	if err != nil {
		return nil, nil, errors.Wrapf(err, "dial peer %s", p.address)
	}
	if p.client.tls != nil {
		socket = tls.Client(socket, p.client.tls)
	}
	conn := newConnection(socket)
	reader := bufio.NewReaderSize(socket, bufferBytes)
	if err := p.handshake(socket, reader); err != nil {
		conn.close()
		return nil, nil, err
	}
	return conn, reader, nil
}

// handshake sends this node's Hello and checks the protocol version in the peer's.
func (p *peer) handshake(socket net.Conn, reader *bufio.Reader) error {
	if err := socket.SetDeadline(time.Now().Add(dialTimeout)); err != nil {
		return err
	}
	hello := &wire.Envelope{Body: &wire.Envelope_Hello{Hello: p.client.hello}}
	if err := wire.WriteFrame(socket, hello); err != nil {
		return err
	}
	response, err := wire.ReadFrame(reader)
	if err != nil {
		return err
	}
	if version := response.GetHello().GetProtocolVersion(); version != wire.ProtocolVersion {
		return errors.Newf("peer %s uses protocol version %d, want %d", p.address, version, wire.ProtocolVersion)
	}
	return socket.SetDeadline(time.Time{})
}

// receive passes a response to the call or stream that it belongs to.
func (p *peer) receive(envelope *wire.Envelope) {
	if !envelope.GetReply() {
		return
	}
	if stream := p.streamTable.find(envelope.GetCallId()); stream != nil {
		stream.deliver(envelope)
		return
	}
	if envelope.GetStream() != wire.StreamPart_STREAM_PART_NONE {
		return
	}
	p.mutex.Lock()
	waiter := p.pending[envelope.GetCallId()]
	p.mutex.Unlock()
	if waiter == nil {
		lateResponses.Inc()
		return
	}
	waiter <- envelope
}

func (p *peer) clearCurrent(conn *connection) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.current == conn {
		p.current = nil
	}
}

func (p *peer) close() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	// Prevents new dials after the client is closed.
	p.nextDialAt = time.Now().Add(24 * time.Hour)
	if p.current != nil {
		p.current.close()
	}
}
