package dispatch

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"testing"
	"time"
)

// A long response that has begun is streamed beyond the time by which other requests end.
func TestLongAnswerGoesOnBeyondTheEnd(t *testing.T) {
	const length, begin = 600 << 10, 300 << 10
	const end, rest = 100 * time.Millisecond, 400 * time.Millisecond
	d, _ := newSingleServerDispatcher(t, func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set("Signature", "signed")
		writer.Header().Set("Content-Length", strconv.Itoa(length))
		_, _ = writer.Write(make([]byte, begin))
		writer.(http.Flusher).Flush()
		time.Sleep(rest)
		_, _ = writer.Write(make([]byte, length-begin))
	})
	request := longRequest()
	request.ID = ""
	answer, _, err := d.Do(context.Background(), request)
	if err != nil || answer.Rest == nil {
		t.Fatalf("response %v, error %v, want the beginning of a long response", answer, err)
	}
	defer answer.Rest.Close()
	d.ShutDownBy(time.Now().Add(end))
	remainder, err := io.ReadAll(answer.Rest)
	if got := len(answer.Body) + len(remainder); err != nil || got != length {
		t.Errorf("got %d of %d bytes, error %v", got, length, err)
	}
}
