package pipeline_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/micahaven/micahaven/internal/ingress"
	"github.com/micahaven/micahaven/internal/ingress/pipeline"
)

// echo responds with everything that a handler sees of a request.
func echo(writer http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	switch request.URL.Path {
	case "/none":
		writer.WriteHeader(http.StatusNoContent)
		return
	case "/unchanged":
		writer.WriteHeader(http.StatusNotModified)
		return
	case "/long":
		// Longer than what is buffered to determine the Content-Length.
		body = bytes.Repeat([]byte("long "), 1000)
	case "/short":
		writer.Header().Set("Content-Length", "100000")
	}
	var header strings.Builder
	_ = request.Header.Write(&header)
	fmt.Fprintf(writer, "%s %q %q %s %d %q %q\n", request.Method, request.RequestURI, request.Host, request.Proto,
		request.ContentLength, request.TransferEncoding, header.String())
	_, _ = writer.Write(body)
}

// seeds are inputs on which HTTP servers are known to differ. The ordinary test runs them as
// well.
var seeds = []string{
	"GET / HTTP/1.1\r\nHost: h\r\n\r\n",
	"GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\nGET /long HTTP/1.1\r\nHost: h\r\n\r\n",
	"GET /none HTTP/1.1\r\nHost: h\r\n\r\nGET /unchanged HTTP/1.1\r\nHost: h\r\n\r\nGET /short HTTP/1.1\r\nHost: h\r\n\r\nGET / HTTP/1.1\r\nHost: h\r\n\r\n",
	"HEAD / HTTP/1.1\r\nHost: h\r\n\r\nHEAD /long HTTP/1.1\r\nHost: h\r\n\r\nHEAD /short HTTP/1.1\r\nHost: h\r\n\r\n",
	"GET / HTTP/1.0\r\n\r\nGET / HTTP/1.0\r\n\r\n",
	"GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\nGET /long HTTP/1.0\r\nConnection: keep-alive\r\n\r\n",
	"HEAD / HTTP/1.0\r\nConnection: keep-alive\r\n\r\nGET / HTTP/1.0\r\n\r\n",
	"GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\nGET / HTTP/1.1\r\nHost: h\r\n\r\n",
	"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello\r\nGET / HTTP/1.1\r\nHost: h\r\n\r\n",
	"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nContent-Length: 5\r\n\r\nhello",
	"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nhello!",
	"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
	"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: +5\r\n\r\nhello",
	"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 50\r\n\r\nhello",
	"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\nGET / HTTP/1.1\r\nHost: h\r\n\r\n",
	"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nTrailer: x\r\n\r\nGET / HTTP/1.1\r\nHost: h\r\n\r\n",
	"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5;a=b\r\nhello\r\n0\r\n\r\n",
	"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n-5\r\nhello\r\n0\r\n\r\n",
	"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffffff\r\nhello\r\n0\r\n\r\n",
	"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhel",
	"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip\r\n\r\nhello",
	"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	"POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
	"POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 5\r\n\r\nhelloGET / HTTP/1.1\r\nHost: h\r\n\r\n",
	"GET / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\n\r\nGET / HTTP/1.1\r\nHost: h\r\n\r\n",
	"POST / HTTP/1.1\r\nHost: h\r\nExpect: something\r\nContent-Length: 5\r\n\r\nhello",
	"GET / HTTP/1.1\r\nHost: h\r\nUpgrade: websocket\r\nConnection: upgrade\r\n\r\n",
	"GET / HTTP/1.1\r\nHost: h\r\nFolded: a\r\n b\r\n\r\n",
	"GET / HTTP/1.1\r\n Host: h\r\n\r\n",
	"GET / HTTP/1.1\nHost: h\n\n",
	"GET / HTTP/1.1\r\nHost : h\r\n\r\n",
	"GET / HTTP/1.1\r\nHost: h\r\nBad Name: x\r\n\r\n",
	"GET / HTTP/1.1\r\nHost: h\r\nName: a\x00b\r\n\r\n",
	"GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n",
	"GET / HTTP/1.1\r\nHost: a b\r\n\r\n",
	"GET / HTTP/1.1\r\n\r\n",
	"GET / HTTP/1.1\r\nHost:\r\n\r\n",
	"GET http://h/ HTTP/1.1\r\n\r\n",
	"GET http://a/ HTTP/1.1\r\nHost: b\r\n\r\n",
	"GET / HTTP/2.0\r\nHost: h\r\n\r\n",
	"GET / HTTP/0.9\r\nHost: h\r\n\r\n",
	"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
	"CONNECT h:1 HTTP/1.1\r\n\r\n",
	"OPTIONS * HTTP/1.1\r\nHost: h\r\n\r\n",
	"GET /%zz HTTP/1.1\r\nHost: h\r\n\r\n",
	"GET  / HTTP/1.1\r\nHost: h\r\n\r\n",
	"get / HTTP/1.1\r\nHost: h\r\n\r\n",
	"\r\n\r\nGET / HTTP/1.1\r\nHost: h\r\n\r\n",
	"GET / HTTP/1.1\r\nHost: h\r\n\r\nGE",
	"GET / HTTP/1.1\r\nHost: h\r\n\r\nGET / HTT",
	"GET / HTTP/1.1\r\nHost: h\r\n\r\nnonsense\r\n\r\nGET / HTTP/1.1\r\nHost: h\r\n\r\n",
	"GET / HTTP/1.1\r\nHost: h\r\nLong: " + strings.Repeat("x", 60<<10) + "\r\n\r\n",
	"GET / HTTP/1.1\r\nHost: h\r\nLong: " + strings.Repeat("x", 70<<10) + "\r\n\r\n",
	"GET /" + strings.Repeat("x", 70<<10) + " HTTP/1.1\r\nHost: h\r\n\r\n",
	"GET / HTTP/1.1\r\nHost: h\r\nLong: " + strings.Repeat("x", 70<<10),
	"GET / HTTP/1.1\r\nHost: h\r\nConnection: cl: close\r\n\r\nGET / HTTP/",
	"GET / HTTP/1.0\r\nConnection: keep-alive, close\r\n\r\nGET / HTTP/1.0\r\n\r\n",
	"GET / HTTP/1.0\r\nConnection: x keep-alive\r\n\r\nGET / HTTP/1.0\r\n\r\n",
	"GET http://a/ HTTP/1.1\r\nHost: b\x93\r\n\r\n",
	"CONNECT a:1 HTTP/1.1\r\nHost: b\x93\r\n\r\n",
	"POST / HTTP/1.0\r\nExpect: something\r\nContent-Length: 5\r\n\r\nhello",
	"GET / HTTP/1.1\r\nHost: h\r\nExpect: x 100-continue\r\n\r\nGET / HTTP/",
	"CONNECT h\xfc:1 HTTP/1.1\r\n\r\n",
	"0 /0 HTTP/1.1\r\nHost: \n\n0 * HTTP/1.1\n\n",
	"",
	"G",
}

// serverPair holds the addresses of the pipelining server and of a net/http server, both with
// the same handler.
type serverPair struct{ pipelined, standard string }

func newServerPair(t testing.TB) serverPair {
	t.Helper()
	limits := ingress.NewConnectionTracker(func() (idle, header time.Duration) { return time.Minute, time.Minute })
	pipelined := &pipeline.Server{
		Handler: http.HandlerFunc(echo), Connections: limits, HeaderBytes: 64 << 10, MemoryBudget: newBudget(), Logger: zap.NewNop(),
		MayRunConcurrently: func(*http.Request) bool { return true },
	}
	standard := &http.Server{Handler: http.HandlerFunc(echo), MaxHeaderBytes: 64 << 10}
	start := func(serve func(net.Listener) error, closeServer func() error) string {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		go func() { _ = serve(limits.Listener(listener)) }()
		t.Cleanup(func() { _ = closeServer() })
		return listener.Addr().String()
	}
	return serverPair{pipelined: start(pipelined.Serve, pipelined.Close), standard: start(standard.Serve, standard.Close)}
}

// sendAll sends content, closes the writing side and returns everything that the server sends
// back.
func sendAll(t *testing.T, address string, content []byte) []byte {
	t.Helper()
	socket, err := net.Dial("tcp", address)
	if err != nil {
		t.Skip(err)
	}
	defer socket.Close()
	if err := socket.SetDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	// The server may have closed the connection already.
	_, _ = socket.Write(content)
	_ = socket.(*net.TCPConn).CloseWrite()
	got, err := io.ReadAll(socket)
	if netErr, ok := err.(net.Error); ok && netErr.Timeout() {
		t.Fatalf("%s does not close the connection", address)
	}
	return got
}

// parseResponses describes the responses as a client parses them: status, headers, body and
// whether the body is complete.
func parseResponses(content, received []byte) []string {
	requests, reader := bufio.NewReader(bytes.NewReader(content)), bufio.NewReader(bytes.NewReader(received))
	var responses []string
	for {
		// Whether a response has a body depends on the request method.
		request, err := http.ReadRequest(requests)
		if err != nil {
			request = &http.Request{Method: http.MethodGet, Body: http.NoBody}
		}
		_, _ = io.Copy(io.Discard, request.Body)
		status := http.StatusContinue
		for status == http.StatusContinue {
			response, err := http.ReadResponse(reader, request)
			if err != nil {
				rest, _ := io.ReadAll(reader)
				return append(responses, fmt.Sprintf("%q", rest))
			}
			status = response.StatusCode
			body, err := io.ReadAll(response.Body)
			for _, name := range []string{"Date", "Connection"} {
				response.Header.Del(name)
			}
			responses = append(responses, fmt.Sprint(response.Proto, response.Status, response.Header, response.ContentLength, response.TransferEncoding, string(body), err))
		}
	}
}

// knownDifference reports whether the servers are allowed to differ on an input.
// docs/design/callers.md lists these cases.
func knownDifference(content, pipelined, standard []byte) bool {
	if bytes.Contains(content, []byte("PRI * HTTP/2.0")) {
		return true
	}
	actual, expected := parseResponses(content, pipelined), parseResponses(content, standard)
	const missing, malformed = "missing required Host header", "malformed Host header"
	if refusedAfter(missing, actual, expected) || refusedAfter(missing, expected, actual) {
		return true
	}
	targetNamesHost := bytes.Contains(content, []byte("://")) || bytes.Contains(content, []byte("CONNECT "))
	if targetNamesHost && refusedAfter(malformed, expected, actual) {
		return true
	}
	// Requests behind one that runs alone are not started once the client has closed its
	// writing side.
	actual = actual[:len(actual)-1]
	alone := bytes.Contains(bytes.ToLower(content), []byte("100-continue"))
	return alone && len(actual) > 0 && isProperPrefix(expected, actual)
}

func isProperPrefix(all, prefix []string) bool {
	return len(prefix) < len(all) && slices.Equal(prefix, all[:len(prefix)])
}

// refusedAfter reports whether one server's last response is the given refusal, while the other
// server sends further responses after the same preceding ones.
func refusedAfter(refusal string, refused, other []string) bool {
	last := len(refused) - 2
	return last >= 0 && strings.Contains(refused[last], refusal) && isProperPrefix(other, refused[:last])
}

func (p serverPair) compare(t *testing.T, content []byte) {
	t.Helper()
	pipelined, standard := sendAll(t, p.pipelined, content), sendAll(t, p.standard, content)
	if !slices.Equal(parseResponses(content, pipelined), parseResponses(content, standard)) && !knownDifference(content, pipelined, standard) {
		t.Errorf("%q\nis answered\n%q\nby net/http\n%q", content, pipelined, standard)
	}
}

func TestSameAnswersAsTheStandardServer(t *testing.T) {
	servers := newServerPair(t)
	for _, seed := range seeds {
		servers.compare(t, []byte(seed))
	}
}

func FuzzSameAnswersAsTheStandardServer(f *testing.F) {
	servers := newServerPair(f)
	for _, seed := range seeds {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, content []byte) { servers.compare(t, content) })
}
