package backend_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/micahaven/micahaven/internal/backend"
	"github.com/micahaven/micahaven/internal/wire"
)

// Guards against a head of a server's response that takes up the memory of the node.
func TestLongHeadOfAResponseIsRejected(t *testing.T) {
	const size = 1 << 20
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set("Padding", strings.Repeat("x", size))
	}))
	defer server.Close()
	client := backend.NewHTTP(size)
	defer client.Release()
	dispatch := &backend.Dispatch{Request: &wire.Request{Method: http.MethodGet, Path: "/"}, Timeout: time.Second}
	_, err := client.Run(t.Context(), strings.TrimPrefix(server.URL, "http://"), dispatch)
	if !errors.Is(err, backend.ErrUncertain) || errors.Is(err, backend.ErrNotSent) {
		t.Errorf("error %v, want %v", err, backend.ErrUncertain)
	}
}

// Guards against answers of faulty servers whose malformed fields are passed on.
func TestAnswerWithAMalformedFieldNameIsRejected(t *testing.T) {
	for _, field := range []string{"X Name: v", "X-Name : v"} {
		server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
			socket, _, err := http.NewResponseController(writer).Hijack()
			if err != nil {
				return
			}
			_, _ = io.WriteString(socket, "HTTP/1.1 200 OK\r\n"+field+"\r\nContent-Length: 2\r\n\r\nok")
			_ = socket.Close()
		}))
		client := backend.NewHTTP(1 << 10)
		dispatch := &backend.Dispatch{Request: &wire.Request{Method: http.MethodGet, Path: "/"}, Timeout: time.Second}
		if _, err := client.Run(t.Context(), strings.TrimPrefix(server.URL, "http://"), dispatch); !errors.Is(err, backend.ErrUncertain) {
			t.Errorf("field %q: error %v, want %v", field, err, backend.ErrUncertain)
		}
		client.Release()
		server.Close()
	}
}
