package soak

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/micahaven/micahaven/platform/standin"
)

const (
	dialTimeout = time.Second
	// responseSlack is how long after its deadline a client still waits for a response.
	responseSlack = time.Second
	// Slow requests are sent in up to maxPieces pieces with pauses of up to maxGap. Even if
	// all pieces belong to the head, it takes less than the configured header timeout of 3 s.
	maxPieces      = 6
	minGap, maxGap = 20 * time.Millisecond, 300 * time.Millisecond
)

// rawConnection is a client connection without the retries and the connection management of
// http.Client, so that each event on the wire can be recorded.
type rawConnection struct {
	net.Conn
	reader      *bufio.Reader
	node        *Node
	number      int
	connectedAt time.Time
	// requests is the number of requests started on the connection.
	requests int
	// ending is set if a response announced that the connection will be closed.
	ending bool
}

func dial(node *Node, number int) (*rawConnection, error) {
	socket, err := net.DialTimeout("tcp", node.Clients, dialTimeout)
	if err != nil {
		return nil, errors.Wrapf(err, "connect to %s", node.Name)
	}
	return &rawConnection{Conn: socket, reader: bufio.NewReader(socket), node: node, number: number, connectedAt: time.Now()}, nil
}

// idle waits for a pause and reports whether the connection is still open afterwards.
func (c *rawConnection) idle(pause time.Duration) bool {
	if pause <= 0 {
		return true
	}
	if err := c.SetReadDeadline(time.Now().Add(pause)); err != nil {
		return false
	}
	_, err := c.reader.Peek(1)
	return timedOut(err)
}

func timedOut(err error) bool {
	var failure net.Error
	return errors.As(err, &failure) && failure.Timeout()
}

// requestPlan is one request, and how its client sends it and waits for the response.
type requestPlan struct {
	id    string
	class *class
	// key is the request's key; negative if it has none.
	key int
	// slowly makes the client send the request in pieces.
	slowly bool
	// disconnectAfter is how long after the last byte the client closes the connection
	// deliberately; zero for never.
	disconnectAfter time.Duration
}

func (s *requestPlan) body() string {
	if s.class.method == http.MethodGet {
		return ""
	}
	return "order " + s.id
}

// bytes returns the request in wire format and the length of its head.
func (s *requestPlan) bytes() (content []byte, head int, err error) {
	request, err := http.NewRequest(s.class.method, "http://"+standin.Host+s.class.path, strings.NewReader(s.body()))
	if err != nil {
		return nil, 0, errors.Wrap(err, "make request")
	}
	standin.Prepare(request, s.id, s.class.deadline, s.key)
	var buffer bytes.Buffer
	if err := request.Write(&buffer); err != nil {
		return nil, 0, errors.Wrap(err, "write request")
	}
	const headEnd = "\r\n\r\n"
	return buffer.Bytes(), bytes.Index(buffer.Bytes(), []byte(headEnd)) + len(headEnd), nil
}

// exchange sends a request and waits until it has ended.
func (c *rawConnection) exchange(s *requestPlan, random *rand.Rand) (*record, error) {
	c.requests++
	r := &record{id: s.id, node: c.node, class: s.class, connection: c.number, position: c.requests, connectedAt: c.connectedAt}
	content, head, err := s.bytes()
	if err != nil {
		return nil, err
	}
	r.beganAt = time.Now()
	if err := c.send(r, content, head, s.slowly, random); err != nil {
		r.end, r.cause, r.endedAt = notSent, err, time.Now()
		return r, nil
	}
	return r, c.await(s, r, s.class.deadline, s.disconnectAfter)
}

// pipeline sends requests back to back and waits until each has ended. The disconnectAfter
// of the first applies to all. Requests behind a response that closes the connection count
// as not sent, unless they are found to have reached a server.
func (c *rawConnection) pipeline(batch []*requestPlan) ([]*record, error) {
	var content []byte
	records := make([]*record, 0, len(batch))
	for _, s := range batch {
		c.requests++
		records = append(records, &record{id: s.id, node: c.node, class: s.class, connection: c.number, position: c.requests, connectedAt: c.connectedAt})
		bytes, _, err := s.bytes()
		if err != nil {
			return nil, err
		}
		content = append(content, bytes...)
	}
	var timeout time.Duration
	beganAt := time.Now()
	_, err := c.Write(content)
	sentAt := time.Now()
	for index, r := range records {
		r.beganAt, r.headSentAt, r.sentAt = beganAt, sentAt, sentAt
		if err != nil {
			r.end, r.cause, r.endedAt = notSent, errors.Wrap(err, "send request"), sentAt
			continue
		}
		if index > 0 && (c.ending || (records[index-1].end != answered && records[index-1].end != refused)) {
			before := records[index-1]
			r.end, r.cause, r.endedAt, r.afterClose = before.end, before.cause, time.Now(), true
			if c.ending {
				r.end = connectionClosed
			}
			continue
		}
		// A response may have to wait for those of all earlier requests (head-of-line wait).
		timeout = max(timeout, r.class.deadline)
		if failed := c.await(batch[index], r, timeout, batch[0].disconnectAfter); failed != nil {
			return nil, failed
		}
		r.hasSuccessor = index+1 < len(records)
	}
	return records, nil
}

// await waits for the response to a request that was sent, or its end without one.
func (c *rawConnection) await(s *requestPlan, r *record, timeout, disconnectAfter time.Duration) error {
	until := r.sentAt.Add(timeout + responseSlack)
	if disconnectAfter > 0 {
		until = r.sentAt.Add(disconnectAfter)
	}
	if err := c.SetReadDeadline(until); err != nil {
		return errors.Wrap(err, "set deadline")
	}
	response, content, err := c.readResponse(r, s.class.method)
	r.endedAt = time.Now()
	asked := *s
	asked.disconnectAfter = disconnectAfter
	r.finish(&asked, response, content, err)
	return nil
}

// send writes a request and records when its head and its last byte were written.
func (c *rawConnection) send(r *record, content []byte, head int, slowly bool, random *rand.Rand) error {
	pieces := 1
	if slowly {
		pieces = 2 + random.IntN(maxPieces-1)
	}
	size := (len(content) + pieces - 1) / pieces
	for from := 0; from < len(content); from += size {
		if from > 0 {
			time.Sleep(minGap + time.Duration(random.Int64N(int64(maxGap-minGap))))
		}
		until := min(from+size, len(content))
		if _, err := c.Write(content[from:until]); err != nil {
			return errors.Wrap(err, "send request")
		}
		r.sentAt = time.Now()
		if from < head && head <= until {
			r.headSentAt = r.sentAt
		}
	}
	return nil
}

// readResponse reads one complete response and skips informational ones.
func (c *rawConnection) readResponse(r *record, method string) (*http.Response, []byte, error) {
	for {
		response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, nil, errors.Wrap(err, "read response head")
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		r.headReceived = true
		c.ending = response.Close
		r.closesConnection = response.Close
		content, err := io.ReadAll(response.Body)
		return response, content, errors.Wrap(err, "read response body")
	}
}

// finish records how a request that was sent ended.
func (r *record) finish(s *requestPlan, response *http.Response, content []byte, err error) {
	r.cause = err
	switch {
	case err == nil:
		r.status = response.StatusCode
		r.broken = validateResponse(response, content, s.class.method, s.class.path, s.body())
		r.end = answered
		if notExecutedStatuses[r.status] && !standin.Signed(response) {
			r.end = refused
		}
	case !timedOut(err):
		r.end = connectionClosed
	case s.disconnectAfter > 0:
		r.end = disconnected
	default:
		r.end = expired
	}
}

// requestID returns the ID of a request. It begins with the name of the node that the request
// is sent to.
func requestID(node *Node, client, sequence int) string {
	return fmt.Sprintf("%s-c%d-%d", node.Name, client, sequence)
}
