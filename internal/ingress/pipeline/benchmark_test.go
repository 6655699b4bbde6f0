package pipeline_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/micahaven/micahaven/internal/ingress"
)

// benchmarked answers with a short body, as the router's handler does.
func benchmarked(writer http.ResponseWriter, _ *http.Request) {
	body := []byte("answer")
	writer.Header()["X-Signature"] = []string{"server"}
	writer.Header().Set("Content-Length", "6")
	writer.WriteHeader(http.StatusOK)
	_, _ = writer.Write(body)
}

// BenchmarkServers compares the server with net/http's: requests one at a time, and eight
// at a time.
func BenchmarkServers(b *testing.B) {
	limits := ingress.NewConnectionLimits(func() (idle, header time.Duration) { return time.Minute, time.Minute })
	standard := &http.Server{Handler: http.HandlerFunc(benchmarked), ConnState: limits.Track}
	own := newServer(http.HandlerFunc(benchmarked), limits, room())
	for _, server := range []struct {
		name  string
		serve func(net.Listener) error
		close func() error
	}{{"net/http", standard.Serve, standard.Close}, {"pipeline", own.Serve, own.Close}} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		go func() { _ = server.serve(limits.Listener(listener)) }()
		for _, mode := range []struct {
			name string
			many int
		}{{"keep-alive", 1}, {"pipelined", 8}} {
			b.Run(server.name+"/"+mode.name, func(b *testing.B) { exchange(b, listener.Addr().String(), mode.many) })
		}
		if err := server.close(); err != nil {
			b.Fatal(err)
		}
	}
}

// exchange sends requests, some at a time, and reads their answers.
func exchange(b *testing.B, address string, many int) {
	socket, err := net.Dial("tcp", address)
	if err != nil {
		b.Fatal(err)
	}
	defer socket.Close()
	reader := bufio.NewReader(socket)
	request := "GET /safe/x?number=7 HTTP/1.1\r\nHost: a.example\r\nX-Request: abcdef-12345\r\nX-Deadline: 2000\r\nX-Key: 4711\r\n\r\n"
	batch := []byte(strings.Repeat(request, many))
	line := []byte("\r\n\r\nanswer")
	b.ReportAllocs()
	b.ResetTimer()
	before := processorTime(b)
	defer func() { b.ReportMetric(float64(processorTime(b)-before)/float64(b.N), "cpu-ns/op") }()
	for done := 0; done < b.N; done += many {
		if _, err := socket.Write(batch); err != nil {
			b.Fatal(err)
		}
		for range many {
			// The end of the answer, found without the cost of parsing.
			if err := skipTo(reader, line); err != nil {
				b.Fatal(err)
			}
		}
	}
}

// processorTime returns the processor time of the process, client and server.
func processorTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// skipTo reads up to and with some text.
func skipTo(reader io.ByteReader, text []byte) error {
	matched := 0
	for matched < len(text) {
		character, err := reader.ReadByte()
		if err != nil {
			return err
		}
		switch character {
		case text[matched]:
			matched++
		case text[0]:
			matched = 1
		default:
			matched = 0
		}
	}
	return nil
}

// BenchmarkTimeToHandler measures how long a request takes to its handler: alone on its
// connection, and behind one that runs.
func BenchmarkTimeToHandler(b *testing.B) {
	for name, paths := range map[string][]string{"alone": {"/safe/x"}, "behind a slow one": {"/safe/slow", "/safe/x"}} {
		b.Run(name, func(b *testing.B) {
			reached := make(chan time.Time)
			open := make(chan struct{})
			handler := http.HandlerFunc(func(_ http.ResponseWriter, request *http.Request) {
				if request.URL.Path == "/safe/slow" {
					<-open
					return
				}
				reached <- time.Now()
			})
			limits := ingress.NewConnectionLimits(func() (idle, header time.Duration) { return time.Minute, time.Minute })
			server := newServer(handler, limits, room())
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			go func() { _ = server.Serve(limits.Listener(listener)) }()
			defer server.Close()
			var total time.Duration
			for range b.N {
				total += timeToHandler(b, listener.Addr().String(), paths, reached, open)
			}
			b.ReportMetric(float64(total.Nanoseconds())/float64(b.N), "ns-to-handler")
		})
	}
}

// timeToHandler sends requests on a connection, the last one 2 ms after the others, and
// returns how long that one took.
func timeToHandler(b *testing.B, address string, paths []string, reached <-chan time.Time, open chan<- struct{}) time.Duration {
	socket, err := net.Dial("tcp", address)
	if err != nil {
		b.Fatal(err)
	}
	defer socket.Close()
	ask := func(path string) {
		if _, err := io.WriteString(socket, "GET "+path+" HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
			b.Fatal(err)
		}
	}
	last := len(paths) - 1
	for _, path := range paths[:last] {
		ask(path)
	}
	time.Sleep(2 * time.Millisecond)
	sentAt := time.Now()
	ask(paths[last])
	took := (<-reached).Sub(sentAt)
	for range last {
		open <- struct{}{}
	}
	return took
}
