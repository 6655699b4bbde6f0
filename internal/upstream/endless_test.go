package upstream

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

// endlessServer accepts connections, and answers each with a prefix and then one text over and over,
// until the connection fails. The returned channel receives a value for each connection that has ended.
func endlessServer(t *testing.T, prefix, repeated string) (address string, ended <-chan struct{}) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	done := make(chan struct{}, 1)
	go func() {
		socket, err := listener.Accept()
		if err != nil {
			return
		}
		_, _ = socket.Read(make([]byte, readBufferBytes))
		_, err = io.WriteString(socket, prefix)
		for block := bytes.Repeat([]byte(repeated), 1<<10); err == nil; {
			_, err = socket.Write(block)
		}
		done <- struct{}{}
	}()
	return listener.Addr().String(), done
}

// heapGrowth returns how much the heap grows in a call of f at its peak, as seen every few
// milliseconds.
func heapGrowth(f func()) uint64 {
	heap := func() uint64 {
		var stats runtime.MemStats
		runtime.ReadMemStats(&stats)
		return stats.HeapAlloc
	}
	runtime.GC()
	before, peak := heap(), uint64(0)
	done := make(chan struct{})
	go func() {
		defer close(done)
		f()
	}()
	const interval = 5 * time.Millisecond
	for {
		select {
		case <-done:
			return max(peak, heap(), before) - before
		case <-time.After(interval):
			peak = max(peak, heap())
		}
	}
}

// Guards against an endless response that takes up memory or holds its request until the deadline.
func TestResponseWithoutEndIsGivenUp(t *testing.T) {
	const (
		deadline  = 5 * time.Second
		giveUp    = 2 * time.Second
		maxGrowth = 8 << 20
	)
	const own = "HTTP/1.1 200 OK\r\nId: r\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, test := range map[string]struct {
		prefix, repeated string
		want             error
	}{
		"no line breaks":             {"", "x", ErrBadResponse},
		"status line":                {"HTTP/1.1 200 ", "x", ErrBadResponse},
		"one header field":           {"HTTP/1.1 200 OK\r\nId: ", "x", ErrBadResponse},
		"header fields":              {"HTTP/1.1 200 OK\r\n", "Name: value\r\n", ErrBadResponse},
		"interim responses":          {"", "HTTP/1.1 100 Continue\r\n\r\n", ErrNoResponse},
		"head of a second response":  {"HTTP/1.1 200 OK\r\nId: s\r\nContent-Length: 0\r\n\r\n", "x", ErrBadResponse},
		"body of another response":   {"HTTP/1.1 200 OK\r\nId: s\r\n\r\n", "x", ErrNoResponse},
		"chunks of another response": {"HTTP/1.1 200 OK\r\nId: s\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n", ErrNoResponse},
		"chunk extension":            {own + "1;", "x", ErrBadResponse},
		"trailers":                   {own + "0\r\n", "Name: value\r\n", ErrBadResponse},
	} {
		t.Run(name, func(t *testing.T) {
			address, ended := endlessServer(t, test.prefix, test.repeated)
			pool := NewPool(address, NewLink())
			defer pool.Close()
			ctx, cancel := context.WithTimeout(t.Context(), deadline)
			defer cancel()
			startedAt := time.Now()
			var err error
			growth := heapGrowth(func() {
				_, err = pool.Exchange(ctx, &Request{Method: http.MethodPost, URI: "/", Host: "h", IDHeader: "Id", ID: "r"})
			})
			took := time.Since(startedAt)
			t.Logf("ended after %v, the heap grew by %d KB: %v", took, growth>>10, err)
			if took > giveUp {
				t.Errorf("ended after %v, want at most %v", took, giveUp)
			}
			if growth > maxGrowth {
				t.Errorf("the heap grew by %d MB, want at most %d", growth>>20, maxGrowth>>20)
			}
			if !errors.Is(err, test.want) || errors.Is(err, ErrNotSent) || ConnectionEnded(err) {
				t.Errorf("error %v, want %v and neither ErrNotSent nor the end of the connection", err, test.want)
			}
			select {
			case <-ended:
			case <-time.After(giveUp):
				t.Error("the connection is still open")
			}
		})
	}
}

// Guards against a surplus response in small chunks that is read for long although its body is short.
func TestSkippedBodyIsBoundedByBytesOfTheConnection(t *testing.T) {
	const chunk, own = "1\r\nx\r\n", "HTTP/1.1 200 OK\r\nId: r\r\nContent-Length: 0\r\n\r\n"
	const surplus = "HTTP/1.1 200 OK\r\nId: s\r\nTransfer-Encoding: chunked\r\n\r\n"
	for _, test := range []struct {
		chunks int
		want   error
	}{
		{maxSkippedBody / len(chunk) / 2, nil},
		{2 * maxSkippedBody / len(chunk), ErrNoResponse},
	} {
		t.Run(fmt.Sprint(test.chunks, " chunks"), func(t *testing.T) {
			address, _ := endlessServer(t, surplus+strings.Repeat(chunk, test.chunks)+"0\r\n\r\n"+own, "x")
			pool := NewPool(address, NewLink())
			defer pool.Close()
			_, err := pool.Exchange(t.Context(), &Request{Method: http.MethodPost, URI: "/", Host: "h", IDHeader: "Id", ID: "r"})
			if !errors.Is(err, test.want) {
				t.Errorf("error %v, want %v", err, test.want)
			}
		})
	}
}
