package dispatch

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/micahaven/micahaven/internal/upstream"
)

// Such a request counts against no quota, exactly if no server can have it.
func TestRequestWhoseClientLeavesBeforeItIsSentWasNotExecuted(t *testing.T) {
	t.Run("in the queue", func(t *testing.T) {
		d, arrived := newSingleServerDispatcher(t, blockUntilCanceled)
		d.server("a").outstanding = 100
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(20*time.Millisecond, cancel)
		_, _, err := d.Do(ctx, longRequest())
		if !errors.Is(err, ErrCanceled) || !errors.Is(err, ErrNotExecuted) || arrived.Load() != 0 {
			t.Errorf("error %v, %d requests reached the server", err, arrived.Load())
		}
	})
	t.Run("before a home may send it", func(t *testing.T) {
		w, handover := newTestNodeWithHomes(t, ErrNoHome, warmDivided)
		w.setOwner(t, "s0")
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		_, _, err := w.Do(ctx, requestFor("divided", false))
		if !errors.Is(err, ErrCanceled) || !errors.Is(err, ErrNotExecuted) || handover.count != 1 {
			t.Errorf("error %v, handed off %d times", err, handover.count)
		}
	})
	t.Run("at a server", func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		d, arrived := newSingleServerDispatcher(t, func(writer http.ResponseWriter, incoming *http.Request) {
			cancel()
			blockUntilCanceled(writer, incoming)
		})
		_, _, err := d.Do(ctx, longRequest())
		if !errors.Is(err, ErrCanceled) || errors.Is(err, ErrNotExecuted) || arrived.Load() != 1 {
			t.Errorf("error %v, %d requests reached the server", err, arrived.Load())
		}
	})
	t.Run("in the queue after its home was lost", func(t *testing.T) {
		w, _ := newTestNodeWithHomes(t, ErrHomeLost, warmDivided)
		w.setOwner(t, "s0")
		w.server("s0").outstanding = 100
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(20*time.Millisecond, cancel)
		_, trace, err := w.Do(ctx, requestFor("divided", true))
		if !errors.Is(err, ErrCanceled) || errors.Is(err, ErrNotExecuted) || trace.Server != "" {
			t.Errorf("error %v, sent to %q", err, trace.Server)
		}
	})
}

// A request whose client has left when a server becomes free must not be sent.
func TestRequestOfAClientThatLeftIsNotSent(t *testing.T) {
	d, arrived := newSingleServerDispatcher(t, func(writer http.ResponseWriter, incoming *http.Request) {
		writer.Header().Set("Id", incoming.Header.Get("Id"))
		sign(writer, incoming)
	})
	identified := func() *Request {
		request := longRequest()
		request.Fields = append(request.Fields, upstream.Field{Name: "Id", Value: request.ID})
		return request
	}
	// The first request leaves an idle connection.
	if _, _, err := d.Do(t.Context(), identified()); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	const requests = 50
	notExecuted := 0
	for range requests {
		_, _, err := d.Do(ctx, identified())
		if errors.Is(err, ErrCanceled) && errors.Is(err, ErrNotExecuted) {
			notExecuted++
		}
	}
	if arrived.Load() != 1 || notExecuted != requests {
		t.Errorf("%d requests of clients that left reached the server, %d of %d ended as not executed", arrived.Load()-1, notExecuted, requests)
	}
	if s := d.server("a"); s.outstanding != 0 {
		t.Errorf("%d slots are still reserved", s.outstanding)
	}
}
