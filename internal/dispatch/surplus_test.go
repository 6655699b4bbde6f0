package dispatch

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/micahaven/micahaven/internal/upstream"
)

// surplusServer refuses the first request that it receives and executes all others. On the connection of
// the refused request it sends a copy of the refusal in front of the next response.
type surplusServer struct {
	connections, executed atomic.Int64
	refused               atomic.Bool
}

func startSurplusServer(t *testing.T) (server *surplusServer, address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	server = &surplusServer{}
	go func() {
		for {
			socket, err := listener.Accept()
			if err != nil {
				return
			}
			server.connections.Add(1)
			go server.serve(socket)
		}
	}()
	return server, listener.Addr().String()
}

func (s *surplusServer) serve(socket net.Conn) {
	defer func() { _ = socket.Close() }()
	reader := bufio.NewReader(socket)
	surplus := ""
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		id := request.Header.Get("Id")
		if s.refused.CompareAndSwap(false, true) {
			surplus = fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\nId: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", id)
			_, _ = socket.Write([]byte(surplus))
			continue
		}
		s.executed.Add(1)
		_, _ = fmt.Fprintf(socket, "%sHTTP/1.1 200 OK\r\nId: %s\r\nSignature: signed\r\nContent-Length: 2\r\n\r\nok", surplus, id)
		surplus = ""
	}
}

// Guards against a surplus copy of an owner's refusal that is taken for its response to the retry.
func TestRetryAtTheSameOwnerTakesNoSurplusRefusal(t *testing.T) {
	server, address := startSurplusServer(t)
	w := newTestNode(t, 0, warmDivided)
	w.headers = Headers{RequestID: "Id", Deadline: "Deadline", Signature: "Signature", Target: "Target", NotExecuted: "Not-Executed"}
	w.setOwner(t, "s0")
	w.server("s0").pool = upstream.NewPool(address, w.link)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _ = w.Run(ctx) }()
	request := requestFor("divided", false)
	request.Method, request.Fields = http.MethodPost, []upstream.Field{{Name: "Id", Value: request.ID}}
	answer, trace, err := w.Do(t.Context(), request)
	if err != nil || answer.Status != http.StatusOK {
		t.Errorf("response %v, error %v after %d attempts; the server executed %d requests", answer, err, trace.Attempts, server.executed.Load())
	}
}
