package handoff

import (
	"bytes"
	"context"
	"io"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/micahaven/micahaven/internal/dispatch"
	"github.com/micahaven/micahaven/internal/transport"
	"github.com/micahaven/micahaven/internal/upstream"
	"github.com/micahaven/micahaven/internal/wire"
)

// failingBody is a body that its server cut.
type failingBody struct{ io.Reader }

// Read implements io.Reader.
func (b failingBody) Read(into []byte) (int, error) {
	count, err := b.Reader.Read(into)
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return count, err
}

// Close implements io.Closer.
func (failingBody) Close() error { return nil }

// readWhole reads the body of a handed-off request's response.
func readWhole(response *upstream.Response, err error) ([]byte, error) {
	if err != nil {
		return nil, err
	}
	if response.Rest == nil {
		return response.Body, nil
	}
	defer func() { _ = response.Rest.Close() }()
	rest, err := io.ReadAll(response.Rest)
	return append(response.Body, rest...), err
}

// Guards against a body that a server cut and that the sending node passes on as whole.
func TestTruncatedBodyIsWholeToNoSender(t *testing.T) {
	for _, size := range []int{0, 1, chunkBytes, maxBufferedBody - chunkBytes, maxBufferedBody, 2 * maxBufferedBody} {
		body := bytes.Repeat([]byte("x"), size)
		node, _ := newHome(t, &fakeDispatcher{do: func(context.Context, *dispatch.Request) (*upstream.Response, error) {
			begun := min(size, chunkBytes/2)
			return &upstream.Response{Status: 200, Body: body[:begun], Rest: failingBody{bytes.NewReader(body[begun:])}}, nil
		}})
		if got, err := readWhole(handOff(t.Context(), newSender(t), newRequest(true), node)); err == nil {
			t.Errorf("%d bytes of a truncated body of %d count as whole", len(got), size)
		}
	}
}

// Guards against the end of a stream that passes for the end of a body.
func TestStreamThatEndsInABodyIsWholeToNoSender(t *testing.T) {
	for _, chunks := range []int{0, 1, 3} {
		home := newScriptedHome(t, "home", func(_ *transport.Server, stream *transport.Stream) {
			defer stream.Close()
			if _, err := stream.Receive(context.Background()); err != nil {
				return
			}
			stream.Send(&wire.Envelope{Body: &wire.Envelope_HandoffAnswer{HandoffAnswer: &wire.HandoffAnswer{Status: 200, Body: []byte("begun")}}})
			for range chunks {
				stream.Send(&wire.Envelope{Body: &wire.Envelope_HandoffChunk{HandoffChunk: &wire.HandoffChunk{Body: []byte("more")}}})
			}
		})
		if got, err := readWhole(handOff(t.Context(), newSender(t), newRequest(true), home)); err == nil {
			t.Errorf("%q counts as whole after %d chunks", got, chunks)
		}
	}
}
