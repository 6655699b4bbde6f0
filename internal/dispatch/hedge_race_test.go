package dispatch

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"
)

// If both servers answer before the node has processed either response, the selected
// response is delivered completely, even if it is streamed.
func TestAnswerThatWinsIsWholeThoughBothCome(t *testing.T) {
	long := bytes.Repeat([]byte("x"), 4<<20)
	var both sync.WaitGroup
	both.Add(2)
	answer := func(writer http.ResponseWriter, incoming *http.Request) {
		both.Done()
		both.Wait()
		sign(writer, incoming)
		_, _ = writer.Write(long)
	}
	d, _, _ := newServerPair(t, answer, answer)
	go func() {
		both.Wait()
		// Neither attempt can finish while the mutex is held. If a response arrives later,
		// the race is not exercised and the test passes.
		d.mutex.Lock()
		defer d.mutex.Unlock()
		time.Sleep(100 * time.Millisecond)
	}()
	taken, _, err := d.Do(context.Background(), hedgeableRequest(d))
	if err != nil {
		t.Fatal(err)
	}
	got := len(taken.Body)
	if taken.Rest != nil {
		// By then the other attempt has done whatever it does to this response.
		time.Sleep(50 * time.Millisecond)
		rest, err := io.ReadAll(taken.Rest)
		if err != nil {
			t.Errorf("reading the response: %v", err)
		}
		// The connection may already be closed.
		_ = taken.Rest.Close()
		got += len(rest)
	}
	if got != len(long) {
		t.Errorf("got %d of %d bytes", got, len(long))
	}
}
