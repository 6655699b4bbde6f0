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
	// redialPause keeps a node that is gone from being dialled in a loop.
	redialPause = 100 * time.Millisecond
)

// Client sends envelopes to other nodes. It keeps one connection per address
// and dials again when one is lost. It is safe for concurrent use.
//
// Lock order: Client.mutex before peer.mutex.
type Client struct {
	hello *wire.Hello
	tls   *tls.Config

	mutex  sync.Mutex
	peers  map[string]*peer
	closed bool
}

// NewClient returns a client that introduces itself with hello. A nil tls
// configuration means plain TCP.
func NewClient(hello *wire.Hello, config *tls.Config) *Client {
	return &Client{hello: hello, tls: config, peers: make(map[string]*peer)}
}

// Call sends an envelope and waits for its answer. The error matches ErrNotSent
// when the peer certainly did not receive it.
func (c *Client) Call(ctx context.Context, address string, envelope *wire.Envelope) (*wire.Envelope, error) {
	return c.peer(address).call(ctx, envelope)
}

// Send queues a one-way message. It never blocks, and the message may be lost.
func (c *Client) Send(address string, envelope *wire.Envelope) {
	c.peer(address).send(envelope)
}

// Close ends all connections.
func (c *Client) Close() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.closed = true
	for _, known := range c.peers {
		known.close()
	}
}

func (c *Client) peer(address string) *peer {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	known := c.peers[address]
	if known == nil {
		known = &peer{client: c, address: address, pending: make(map[uint64]chan *wire.Envelope)}
		c.peers[address] = known
	}
	return known
}

// peer is the connection to one address and the calls that wait on it.
type peer struct {
	client   *Client
	address  string
	nextCall atomic.Uint64

	mutex     sync.Mutex
	current   *connection
	dialing   bool
	redialAt  time.Time
	pending   map[uint64]chan *wire.Envelope
	waitDials []chan struct{}

	streams streams
}

func (p *peer) call(ctx context.Context, envelope *wire.Envelope) (*wire.Envelope, error) {
	live, err := p.connect(ctx)
	if err != nil {
		return nil, errors.Mark(err, ErrNotSent)
	}
	envelope.CallId = p.nextCall.Add(1)
	answer := make(chan *wire.Envelope, 1)
	p.mutex.Lock()
	p.pending[envelope.CallId] = answer
	p.mutex.Unlock()
	defer p.forget(envelope.CallId)
	if !live.enqueue(envelope) {
		return nil, errors.Wrapf(ErrNotSent, "send queue of %s is full or closed", p.address)
	}
	select {
	case reply := <-answer:
		return reply, nil
	case <-live.closed:
		// The answer may have arrived just before the end.
		select {
		case reply := <-answer:
			return reply, nil
		default:
			return nil, errors.Wrapf(ErrConnectionLost, "peer %s", p.address)
		}
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (p *peer) forget(id uint64) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	delete(p.pending, id)
}

func (p *peer) send(envelope *wire.Envelope) {
	p.mutex.Lock()
	live := p.current
	if live == nil {
		p.startDial()
	}
	p.mutex.Unlock()
	if live != nil {
		live.enqueue(envelope)
	}
}

// connect returns the live connection, dialling if there is none.
func (p *peer) connect(ctx context.Context) (*connection, error) {
	p.mutex.Lock()
	if p.current != nil {
		live := p.current
		p.mutex.Unlock()
		return live, nil
	}
	done := make(chan struct{})
	p.waitDials = append(p.waitDials, done)
	p.startDial()
	if !p.dialing {
		p.waitDials = nil
		p.mutex.Unlock()
		return nil, errors.Newf("peer %s did not answer a moment ago", p.address)
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
		return nil, errors.Newf("cannot connect to peer %s", p.address)
	}
	return p.current, nil
}

// startDial begins a dial unless one runs or the last failed just now. The
// caller holds the mutex.
func (p *peer) startDial() {
	if p.dialing || time.Now().Before(p.redialAt) {
		return
	}
	p.dialing = true
	go p.dial()
}

func (p *peer) dial() {
	live, reader, err := p.open()
	p.mutex.Lock()
	p.dialing = false
	p.redialAt = time.Now().Add(redialPause)
	if err == nil {
		p.current = live
	}
	for _, done := range p.waitDials {
		close(done)
	}
	p.waitDials = nil
	p.mutex.Unlock()
	if err != nil {
		return
	}
	go live.writeLoop()
	// The loop ends with the connection; its error has no one to go to but the
	// callers, who see the closed connection.
	_ = live.readLoop(reader, p.receive)
	p.drop(live)
}

func (p *peer) open() (*connection, *bufio.Reader, error) {
	socket, err := sockets.Dialer(dialTimeout, silenceLimit).Dial("tcp", p.address)
	if err != nil {
		return nil, nil, errors.Wrapf(err, "dial peer %s", p.address)
	}
	if p.client.tls != nil {
		socket = tls.Client(socket, p.client.tls)
	}
	live := newConnection(socket)
	reader := bufio.NewReaderSize(socket, bufferBytes)
	if err := p.introduce(socket, reader); err != nil {
		live.close()
		return nil, nil, err
	}
	return live, reader, nil
}

// introduce sends this node's Hello and checks the peer's.
func (p *peer) introduce(socket net.Conn, reader *bufio.Reader) error {
	if err := socket.SetDeadline(time.Now().Add(dialTimeout)); err != nil {
		return err
	}
	hello := &wire.Envelope{Body: &wire.Envelope_Hello{Hello: p.client.hello}}
	if err := wire.WriteFrame(socket, hello); err != nil {
		return err
	}
	answer, err := wire.ReadFrame(reader)
	if err != nil {
		return err
	}
	if version := answer.GetHello().GetProtocolVersion(); version != wire.ProtocolVersion {
		return errors.Newf("peer %s speaks protocol version %d, wanted %d", p.address, version, wire.ProtocolVersion)
	}
	return socket.SetDeadline(time.Time{})
}

func (p *peer) receive(envelope *wire.Envelope) {
	if !envelope.GetReply() {
		return
	}
	if known := p.streams.find(envelope.GetCallId()); known != nil {
		known.deliver(envelope)
		return
	}
	if envelope.GetStream() != wire.StreamPart_STREAM_PART_NONE {
		return
	}
	p.mutex.Lock()
	answer := p.pending[envelope.GetCallId()]
	p.mutex.Unlock()
	if answer == nil {
		lateAnswers.Inc()
		return
	}
	answer <- envelope
}

func (p *peer) drop(live *connection) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.current == live {
		p.current = nil
	}
}

func (p *peer) close() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.redialAt = time.Now().Add(24 * time.Hour)
	if p.current != nil {
		p.current.close()
	}
}
