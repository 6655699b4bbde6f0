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

// If both servers answer before the node has processed either answer, the selected answer
// is delivered completely, even if it is streamed.
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
		// Neither attempt can finish while the mutex is held. If an answer arrives later,
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
		// By then the other attempt has done whatever it does to this answer.
		time.Sleep(50 * time.Millisecond)
		rest, err := io.ReadAll(taken.Rest)
		if err != nil {
			t.Errorf("reading the answer: %v", err)
		}
		// The connection may already be closed.
		_ = taken.Rest.Close()
		got += len(rest)
	}
	if got != len(long) {
		t.Errorf("got %d of %d bytes", got, len(long))
	}
}
