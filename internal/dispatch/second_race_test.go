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

// Both servers have answered before the node has looked at either answer: the one that is
// taken is delivered whole, also if it is so long that it is passed on as it comes.
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
	d, _, _ := pair(t, answer, answer)
	go func() {
		both.Wait()
		// Neither try can end while the mutex is held. Should an answer come later, there
		// is no race to be seen, and the test passes.
		d.mutex.Lock()
		defer d.mutex.Unlock()
		time.Sleep(100 * time.Millisecond)
	}()
	taken, _, err := d.Do(context.Background(), read(d))
	if err != nil {
		t.Fatal(err)
	}
	got := len(taken.Body)
	if taken.Rest != nil {
		// What the other try does to this answer it has done by then.
		time.Sleep(50 * time.Millisecond)
		rest, err := io.ReadAll(taken.Rest)
		if err != nil {
			t.Errorf("the answer breaks off: %v", err)
		}
		// Its connection may be closed already.
		_ = taken.Rest.Close()
		got += len(rest)
	}
	if got != len(long) {
		t.Errorf("%d bytes of %d", got, len(long))
	}
}
