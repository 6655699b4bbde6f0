package dispatch

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"testing"
	"time"
)

// A long answer that has begun is passed on beyond the moment at which others end.
func TestLongAnswerGoesOnBeyondTheEnd(t *testing.T) {
	const length, begin = 600 << 10, 300 << 10
	const end, rest = 100 * time.Millisecond, 400 * time.Millisecond
	d, _ := stopping(t, func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set("Signature", "signed")
		writer.Header().Set("Content-Length", strconv.Itoa(length))
		_, _ = writer.Write(make([]byte, begin))
		writer.(http.Flusher).Flush()
		time.Sleep(rest)
		_, _ = writer.Write(make([]byte, length-begin))
	})
	request := patient()
	request.ID = ""
	answer, _, err := d.Do(context.Background(), request)
	if err != nil || answer.Rest == nil {
		t.Fatalf("%v, %v, want the beginning of a long answer", answer, err)
	}
	defer answer.Rest.Close()
	d.EndBy(time.Now().Add(end))
	remainder, err := io.ReadAll(answer.Rest)
	if got := len(answer.Body) + len(remainder); err != nil || got != length {
		t.Errorf("%d bytes of %d, %v", got, length, err)
	}
}
