package soak

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/micahaven/micahaven/platform/standin"
)

// newTestServer starts a server that accepts one connection, reads one request and passes it to
// respond. The connection is closed when respond returns.
func newTestServer(t *testing.T, respond func(connection net.Conn, request *http.Request)) *Node {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		connection, err := listener.Accept()
		if err != nil {
			return
		}
		defer connection.Close()
		request, err := http.ReadRequest(bufio.NewReader(connection))
		if err != nil {
			return
		}
		_, _ = io.ReadAll(request.Body)
		respond(connection, request)
	}()
	return &Node{Name: "n1", Clients: listener.Addr().String()}
}

func orderClass() *class {
	return &class{name: "order", method: http.MethodPost, path: "/orders/x", deadline: 200 * time.Millisecond, timeout: time.Second}
}

func TestConnectionEndsAreSeenAsTheyAre(t *testing.T) {
	refusal := "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 2\r\nConnection: close\r\n\r\nno"
	signature := make(http.Header)
	standin.Sign(signature, "s1")
	var signed strings.Builder
	if err := signature.Write(&signed); err != nil {
		t.Fatal(err)
	}
	success := "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n" + signed.String() + "\r\n%s"
	for _, test := range []struct {
		name   string
		answer func(connection net.Conn, request *http.Request)
		change func(*requestPlan)
		end    end
		head   bool
		broken bool
		ending bool
	}{
		{"whole answer", func(connection net.Conn, request *http.Request) {
			body := "s1 POST /orders/x order " + standin.RequestID(request)
			fmt.Fprintf(connection, success, len(body), body)
		}, nil, answered, true, false, false},
		{"answer of another request", func(connection net.Conn, _ *http.Request) {
			fmt.Fprintf(connection, success, 5, "other")
		}, nil, answered, true, true, false},
		{"refusal that ends the connection", func(connection net.Conn, _ *http.Request) {
			_, _ = io.WriteString(connection, refusal)
		}, nil, refused, true, false, true},
		{"closed", func(net.Conn, *http.Request) {}, nil, connectionClosed, false, false, false},
		{"closed within the body", func(connection net.Conn, _ *http.Request) {
			fmt.Fprintf(connection, success, 50, "half")
		}, nil, connectionClosed, true, false, false},
		{"sent slowly and closed", func(net.Conn, *http.Request) {}, func(s *requestPlan) { s.slowly = true }, connectionClosed, false, false, false},
		{"silent", func(connection net.Conn, _ *http.Request) { _, _ = io.Copy(io.Discard, connection) }, nil, expired, false, false, false},
		{"client leaves", func(connection net.Conn, _ *http.Request) { _, _ = io.Copy(io.Discard, connection) },
			func(s *requestPlan) { s.disconnectAfter = 20 * time.Millisecond }, disconnected, false, false, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			connection, err := dial(newTestServer(t, test.answer), 1)
			if err != nil {
				t.Fatal(err)
			}
			defer connection.Close()
			request := &requestPlan{id: "n1-c1-1", class: orderClass(), key: -1}
			if test.change != nil {
				test.change(request)
			}
			r, err := connection.exchange(request, rand.New(rand.NewPCG(1, 1)))
			if err != nil {
				t.Fatal(err)
			}
			if r.end != test.end || r.headReceived != test.head || (r.broken != "") != test.broken || connection.ending != test.ending {
				t.Errorf("%v (%v), head %v, broken %q, ending %v", r.end, r.cause, r.headReceived, r.broken, connection.ending)
			}
			times := []time.Time{r.connectedAt, r.beganAt, r.headSentAt, r.sentAt, r.endedAt}
			for index := range times[1:] {
				if times[index].IsZero() || times[index+1].Before(times[index]) {
					t.Errorf("times out of order: %v", times)
				}
			}
		})
	}
}

func TestEndOfIdleConnectionIsSeen(t *testing.T) {
	end := make(chan struct{})
	node := newTestServer(t, func(connection net.Conn, _ *http.Request) {
		_, _ = io.WriteString(connection, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
		<-end
	})
	connection, err := dial(node, 1)
	if err != nil {
		t.Fatal(err)
	}
	defer connection.Close()
	if _, err := connection.exchange(&requestPlan{id: "n1-c1-1", class: orderClass(), key: -1}, rand.New(rand.NewPCG(1, 1))); err != nil {
		t.Fatal(err)
	}
	if !connection.idle(time.Millisecond) {
		t.Error("open connection reported as closed")
	}
	close(end)
	const patience = 5 * time.Second
	if connection.idle(patience) {
		t.Error("closed connection reported as open")
	}
}
