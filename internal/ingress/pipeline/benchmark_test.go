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

// benchmarkHandler sends a short response, as the router's handler does.
func benchmarkHandler(writer http.ResponseWriter, _ *http.Request) {
	body := []byte("answer")
	writer.Header()["X-Signature"] = []string{"server"}
	writer.Header().Set("Content-Length", "6")
	writer.WriteHeader(http.StatusOK)
	_, _ = writer.Write(body)
}

// BenchmarkServers compares the server with net/http's: one request at a time, and eight
// pipelined requests at a time.
func BenchmarkServers(b *testing.B) {
	limits := ingress.NewConnectionTracker(func() (idle, header time.Duration) { return time.Minute, time.Minute })
	standard := &http.Server{Handler: http.HandlerFunc(benchmarkHandler), ConnState: limits.Track}
	pipelined := newServer(http.HandlerFunc(benchmarkHandler), limits, newBudget())
	for _, server := range []struct {
		name  string
		serve func(net.Listener) error
		close func() error
	}{{"net/http", standard.Serve, standard.Close}, {"pipeline", pipelined.Serve, pipelined.Close}} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		go func() { _ = server.serve(limits.Listener(listener)) }()
		for _, mode := range []struct {
			name      string
			batchSize int
		}{{"keep-alive", 1}, {"pipelined", 8}} {
			b.Run(server.name+"/"+mode.name, func(b *testing.B) { runBatches(b, listener.Addr().String(), mode.batchSize) })
		}
		if err := server.close(); err != nil {
			b.Fatal(err)
		}
	}
}

// runBatches sends requests in batches of batchSize and reads their responses.
func runBatches(b *testing.B, address string, batchSize int) {
	socket, err := net.Dial("tcp", address)
	if err != nil {
		b.Fatal(err)
	}
	defer socket.Close()
	reader := bufio.NewReader(socket)
	request := "GET /safe/x?number=7 HTTP/1.1\r\nHost: a.example\r\nX-Request: abcdef-12345\r\nX-Deadline: 2000\r\nX-Key: 4711\r\n\r\n"
	batch := []byte(strings.Repeat(request, batchSize))
	terminator := []byte("\r\n\r\nanswer")
	b.ReportAllocs()
	b.ResetTimer()
	before := processorTime(b)
	defer func() { b.ReportMetric(float64(processorTime(b)-before)/float64(b.N), "cpu-ns/op") }()
	for done := 0; done < b.N; done += batchSize {
		if _, err := socket.Write(batch); err != nil {
			b.Fatal(err)
		}
		for range batchSize {
			// Searching for the end of the response avoids the cost of parsing it.
			if err := skipTo(reader, terminator); err != nil {
				b.Fatal(err)
			}
		}
	}
}

// processorTime returns the processor time used by the process, which runs both client and
// server.
func processorTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// skipTo reads up to and including the given text.
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

// BenchmarkTimeToHandler measures how long a request takes to reach the handler: alone on its
// connection, and behind a request in progress.
func BenchmarkTimeToHandler(b *testing.B) {
	for name, paths := range map[string][]string{"alone": {"/safe/x"}, "behind a slow one": {"/safe/slow", "/safe/x"}} {
		b.Run(name, func(b *testing.B) {
			reached := make(chan time.Time)
			unblock := make(chan struct{})
			handler := http.HandlerFunc(func(_ http.ResponseWriter, request *http.Request) {
				if request.URL.Path == "/safe/slow" {
					<-unblock
					return
				}
				reached <- time.Now()
			})
			limits := ingress.NewConnectionTracker(func() (idle, header time.Duration) { return time.Minute, time.Minute })
			server := newServer(handler, limits, newBudget())
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			go func() { _ = server.Serve(limits.Listener(listener)) }()
			defer server.Close()
			var total time.Duration
			for range b.N {
				total += timeToHandler(b, listener.Addr().String(), paths, reached, unblock)
			}
			b.ReportMetric(float64(total.Nanoseconds())/float64(b.N), "ns-to-handler")
		})
	}
}

// timeToHandler sends one request for each path, the last one 2 ms after the others, and
// returns how long the last one took to reach the handler.
func timeToHandler(b *testing.B, address string, paths []string, reached <-chan time.Time, unblock chan<- struct{}) time.Duration {
	socket, err := net.Dial("tcp", address)
	if err != nil {
		b.Fatal(err)
	}
	defer socket.Close()
	get := func(path string) {
		if _, err := io.WriteString(socket, "GET "+path+" HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
			b.Fatal(err)
		}
	}
	last := len(paths) - 1
	for _, path := range paths[:last] {
		get(path)
	}
	time.Sleep(2 * time.Millisecond)
	sentAt := time.Now()
	get(paths[last])
	elapsed := (<-reached).Sub(sentAt)
	for range last {
		unblock <- struct{}{}
	}
	return elapsed
}
