package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	accepted = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	conflict = "HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n"
	refused  = "HTTP/1.1 400 Bad Request\r\nContent-Length: 3\r\n\r\nbad"
	closing  = "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	interim  = "HTTP/1.1 103 Early Hints\r\n\r\n"
)

// exchangeBeforeBarrier sends a request with a barrier over a connection that has carried another one.
// The server writes the text once both have arrived, and leaves the connection open. It returns the
// number of connections that can be reused.
func exchangeBeforeBarrier(t *testing.T, text string) (*Response, int, error) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	go serveBeforeBarrier(listener, text)
	pool := NewPool(listener.Addr().String(), NewLink())
	defer pool.Close()
	request := &Request{
		Method: http.MethodPost, URI: "/order", Host: "h", Body: []byte("{}"),
		Barrier: &Barrier{Request: &Request{Method: http.MethodPost, URI: "/barrier", Host: "h"}, Statuses: []int{http.StatusBadRequest}},
	}
	if _, err := pool.Exchange(t.Context(), request); err != nil {
		t.Fatal(err)
	}
	const longerThanTheAnswers = 150 * time.Millisecond
	ctx, cancel := context.WithTimeout(t.Context(), longerThanTheAnswers)
	defer cancel()
	response, err := pool.Exchange(ctx, request)
	return response, len(pool.idle), err
}

func serveBeforeBarrier(listener net.Listener, text string) {
	socket, err := listener.Accept()
	if err != nil {
		return
	}
	reader := bufio.NewReader(socket)
	for _, step := range []struct{ path, answer string }{{"/order", accepted}, {"/order", ""}, {"/barrier", text}} {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		if request.URL.Path == step.path {
			_, _ = io.WriteString(socket, step.answer)
		}
	}
}

// Guards against a response that counts although nothing shows that the server has answered the request.
func TestOnlyTheResponseBeforeTheBarriersCounts(t *testing.T) {
	for _, c := range []struct {
		name, text string
		// status is 0 if no response counts.
		status, reusable int
	}{
		{"accepted", accepted + refused, http.StatusOK, 1},
		{"conflict", conflict + refused, http.StatusConflict, 1},
		{"interim responses", interim + accepted + interim + refused, http.StatusOK, 1},
		{"no response to the barrier", accepted, 0, 0},
		{"surplus response in front", accepted + accepted + refused, 0, 0},
		{"surplus response in front of a conflict", accepted + conflict + refused, 0, 0},
		{"surplus response to the last barrier", refused + accepted + refused, 0, 0},
		{"surplus responses to both", accepted + refused + accepted + refused, 0, 0},
		{"connection that is to be closed", closing, 0, 0},
		{"barrier that closes the connection", accepted + "HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", http.StatusOK, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			response, reusable, err := exchangeBeforeBarrier(t, c.text)
			if counts := err == nil && response.Status == c.status; counts != (c.status != 0) || reusable != c.reusable {
				t.Errorf("response %v, error %v, %d reusable connections", response, err, reusable)
			}
			if c.status == 0 && !errors.Is(err, ErrNoResponse) {
				t.Errorf("error %v, want %v", err, ErrNoResponse)
			}
		})
	}
}
