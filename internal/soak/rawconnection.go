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
	dialPatience = time.Second
	// answerSlack is how long a client waits for an answer after its deadline.
	answerSlack = time.Second
	// Requests that are sent slowly go out in up to mostPieces pieces with pauses of
	// up to longestGap. Even a head takes less than the configuration's limit of 3 s.
	mostPieces           = 6
	leastGap, longestGap = 20 * time.Millisecond, 300 * time.Millisecond
)

// rawConnection is a client's connection on which each event is seen as it happens:
// nothing is repeated, and nothing is hidden.
type rawConnection struct {
	net.Conn
	reader      *bufio.Reader
	node        *Node
	number      int
	connectedAt time.Time
	// requests is how many were begun on the connection.
	requests int
	// ending says that an answer asked for another connection.
	ending bool
}

func dial(node *Node, number int) (*rawConnection, error) {
	socket, err := net.DialTimeout("tcp", node.Clients, dialPatience)
	if err != nil {
		return nil, errors.Wrapf(err, "connect to %s", node.Name)
	}
	return &rawConnection{Conn: socket, reader: bufio.NewReader(socket), node: node, number: number, connectedAt: time.Now()}, nil
}

// idle waits and reports whether the connection is still open afterwards.
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

// sending is how a client sends one request and waits for its answer.
type sending struct {
	id    string
	class *class
	// key is the request's key; negative if it has none.
	key int
	// slowly sends the request in pieces.
	slowly bool
	// leaveAfter is when the client closes the connection of its own will, counted
	// from the last byte; zero if never.
	leaveAfter time.Duration
}

func (s *sending) body() string {
	if s.class.method == http.MethodGet {
		return ""
	}
	return "order " + s.id
}

// bytes returns the request as it goes over the wire and the length of its head.
func (s *sending) bytes() (content []byte, head int, err error) {
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

// exchange sends a request and waits for its end.
func (c *rawConnection) exchange(s *sending, random *rand.Rand) (*record, error) {
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
	return r, c.await(s, r, s.class.deadline, s.leaveAfter)
}

// pipeline sends requests together and waits for the end of each. The client leaves as
// the first of them says. Once an answer asks for another connection, the requests behind
// it count as not sent, unless they are found to have reached a server.
func (c *rawConnection) pipeline(batch []*sending) ([]*record, error) {
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
	var patience time.Duration
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
			r.end, r.cause, r.endedAt, r.behindEnd = before.end, before.cause, time.Now(), true
			if c.ending {
				r.end = closed
			}
			continue
		}
		// An answer may wait for all that were asked for before it.
		patience = max(patience, r.class.deadline)
		if failed := c.await(batch[index], r, patience, batch[0].leaveAfter); failed != nil {
			return nil, failed
		}
		r.followed = index+1 < len(records)
	}
	return records, nil
}

// await waits for the end of a request that was sent.
func (c *rawConnection) await(s *sending, r *record, patience, leaveAfter time.Duration) error {
	until := r.sentAt.Add(patience + answerSlack)
	if leaveAfter > 0 {
		until = r.sentAt.Add(leaveAfter)
	}
	if err := c.SetReadDeadline(until); err != nil {
		return errors.Wrap(err, "set deadline")
	}
	response, content, err := c.readAnswer(r, s.class.method)
	r.endedAt = time.Now()
	asked := *s
	asked.leaveAfter = leaveAfter
	r.finish(&asked, response, content, err)
	return nil
}

// send sends a request and notes when its head and its last byte were out.
func (c *rawConnection) send(r *record, content []byte, head int, slowly bool, random *rand.Rand) error {
	pieces := 1
	if slowly {
		pieces = 2 + random.IntN(mostPieces-1)
	}
	size := (len(content) + pieces - 1) / pieces
	for from := 0; from < len(content); from += size {
		if from > 0 {
			time.Sleep(leastGap + time.Duration(random.Int64N(int64(longestGap-leastGap))))
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

// readAnswer reads one whole answer.
func (c *rawConnection) readAnswer(r *record, method string) (*http.Response, []byte, error) {
	for {
		response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, nil, errors.Wrap(err, "read head of answer")
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		r.headArrived = true
		c.ending = response.Close
		r.endsConnection = response.Close
		content, err := io.ReadAll(response.Body)
		return response, content, errors.Wrap(err, "read body of answer")
	}
}

// finish notes how a request that was sent ended.
func (r *record) finish(s *sending, response *http.Response, content []byte, err error) {
	r.cause = err
	switch {
	case err == nil:
		r.status = response.StatusCode
		r.broken = wrongAnswer(response, content, s.class.method, s.class.path, s.body())
		r.end = answered
		if promises[r.status] && !standin.Signed(response) {
			r.end = refused
		}
	case !timedOut(err):
		r.end = closed
	case s.leaveAfter > 0:
		r.end = left
	default:
		r.end = expired
	}
}

// requestID returns the id of a request. The name of the node that it is sent to comes first.
func requestID(node *Node, client, sequence int) string {
	return fmt.Sprintf("%s-c%d-%d", node.Name, client, sequence)
}
