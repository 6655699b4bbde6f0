package upstream

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

// scriptedServer reads one request on each connection, sends the text of the test and closes the
// connection, with a TCP reset if asked to.
type scriptedServer struct {
	listener net.Listener
	text     atomic.Value
	reset    bool
}

func startScriptedServer(t *testing.T, reset bool) *scriptedServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	server := &scriptedServer{listener: listener, reset: reset}
	go func() {
		for {
			socket, err := listener.Accept()
			if err != nil {
				return
			}
			_, _ = socket.Read(make([]byte, readBufferBytes))
			_, _ = io.WriteString(socket, server.text.Load().(string))
			if server.reset {
				_ = socket.(*net.TCPConn).SetLinger(0)
			}
			_ = socket.Close()
		}
	}()
	return server
}

const exchangeTimeout = 10 * time.Second

// exchange sends a request on a new connection whose server answers with the text.
func (s *scriptedServer) exchange(t *testing.T, method, text string) (*Response, error) {
	t.Helper()
	pool := NewPool(s.listener.Addr().String(), NewLink())
	// The machine may be too busy for the usual bound.
	pool.dial = func(ctx context.Context, address string) (net.Conn, error) {
		var dialer net.Dialer
		return dialer.DialContext(ctx, "tcp", address)
	}
	pool.settleTime = func(time.Duration) time.Duration { return 0 }
	defer pool.Close()
	s.text.Store(text)
	ctx, cancel := context.WithTimeout(t.Context(), exchangeTimeout)
	defer cancel()
	response, err := pool.Exchange(ctx, &Request{Method: method, URI: "/", Host: "h", IDHeader: "Id", ID: "a"})
	if response != nil && response.Rest != nil {
		_ = response.Rest.Close()
	}
	return response, err
}

type responseForm struct {
	name, method, head, body string
	// toClose is true if only the end of the connection delimits the body.
	toClose bool
}

func responseForms() []responseForm {
	const signed = "Id: a\r\nSignature: s\r\n"
	return []responseForm{
		{"with a length", http.MethodGet, "HTTP/1.1 200 OK\r\n" + signed + "Content-Length: 5\r\n\r\n", "whole", false},
		{"without a body", http.MethodPost, "HTTP/1.1 200 OK\r\n" + signed + "Content-Length: 0\r\n\r\n", "", false},
		{"no content", http.MethodPost, "HTTP/1.1 204 No Content\r\n" + signed + "\r\n", "", false},
		{"in chunks", http.MethodGet, "HTTP/1.1 200 OK\r\n" + signed + "Transfer-Encoding: chunked\r\n\r\n", "3\r\nwho\r\n2\r\nle\r\n0\r\n\r\n", false},
		{"in chunks with a trailer", http.MethodGet, "HTTP/1.1 200 OK\r\n" + signed + "Trailer: Sum\r\nTransfer-Encoding: chunked\r\n\r\n", "5\r\nwhole\r\n0\r\nSum: 1\r\n\r\n", false},
		{"to HEAD", http.MethodHead, "HTTP/1.1 200 OK\r\n" + signed + "Content-Length: 5\r\n\r\n", "", false},
		{"after 100", http.MethodPost, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n" + signed + "Content-Length: 5\r\n\r\n", "whole", false},
		{"after 103 with fields", http.MethodGet, "HTTP/1.1 103 Early Hints\r\n" + signed + "\r\nHTTP/1.1 200 OK\r\n" + signed + "Content-Length: 5\r\n\r\n", "whole", false},
		{"with line feeds", http.MethodGet, "HTTP/1.1 200 OK\nId: a\nSignature: s\nContent-Length: 5\n\n", "whole", false},
		{"folded", http.MethodGet, "HTTP/1.1 200 OK\r\nId: a\r\nSignature: s\r\n t\r\nContent-Length: 5\r\n\r\n", "whole", false},
		{"of HTTP/1.0 with a length", http.MethodGet, "HTTP/1.0 200 OK\r\n" + signed + "Content-Length: 5\r\n\r\n", "whole", false},
		{"to the end of the connection", http.MethodGet, "HTTP/1.1 200 OK\r\n" + signed + "Connection: close\r\n\r\n", "whole", true},
		{"of HTTP/1.0 to the end of the connection", http.MethodGet, "HTTP/1.0 200 OK\r\n" + signed + "\r\n", "whole", true},
	}
}

// Guards against a response that a server cut in its head or body and that counts as whole.
func TestTruncatedResponseIsAnError(t *testing.T) {
	for _, reset := range []bool{false, true} {
		for _, form := range responseForms() {
			name := form.name
			if reset {
				name += ", reset"
			}
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				server := startScriptedServer(t, reset)
				text := form.head + form.body
				end := len(text)
				if form.toClose {
					// A body that the end of the connection delimits looks whole wherever it is cut.
					end = len(form.head)
				}
				for cut := range end {
					response, err := server.exchange(t, form.method, text[:cut])
					if err == nil || response != nil || !errors.IsAny(err, ErrNoResponse, ErrBadResponse) {
						t.Errorf("cut at %d after %q: response %v, error %v", cut, text[max(0, cut-12):cut], response, err)
					}
				}
			})
		}
	}
}

// Guards against forms that are rejected whole, so that TestTruncatedResponseIsAnError shows nothing.
func TestWholeResponseOfEachFormIsTaken(t *testing.T) {
	for _, form := range responseForms() {
		t.Run(form.name, func(t *testing.T) {
			response, err := startScriptedServer(t, false).exchange(t, form.method, form.head+form.body)
			if err != nil || !strings.HasPrefix(response.Header.Get("Signature"), "s") {
				t.Fatalf("response %v, error %v", response, err)
			}
			if form.body != "" && string(response.Body) != "whole" {
				t.Errorf("body %q", response.Body)
			}
		})
	}
}

// Guards against a reset that passes for the end of a body which the connection's end delimits.
func TestResetEndsNoBody(t *testing.T) {
	server := startScriptedServer(t, true)
	for _, form := range responseForms() {
		if !form.toClose {
			continue
		}
		if response, err := server.exchange(t, form.method, form.head+form.body); err == nil {
			t.Errorf("%s: %q counts as whole", form.name, response.Body)
		}
	}
}

// Guards against a damaged status that a client would get as 200.
func TestStatusBelow100IsDamaged(t *testing.T) {
	server := startScriptedServer(t, false)
	for _, status := range []string{"000", "020", "099"} {
		response, err := server.exchange(t, http.MethodGet, "HTTP/1.1 "+status+" OK\r\nId: a\r\nContent-Length: 0\r\n\r\n")
		if !errors.Is(err, ErrBadResponse) {
			t.Errorf("status %s: response %v, error %v", status, response, err)
		}
	}
}
