package wire

import (
	"bufio"
	"bytes"
	"io"
	"testing"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
)

func TestFrameRoundTrip(t *testing.T) {
	var buffer bytes.Buffer
	sent := &Envelope{CallId: 7, Body: &Envelope_Request{Request: &Request{Key: "k", Body: []byte("b")}}}
	if err := WriteFrame(&buffer, sent); err != nil {
		t.Fatal(err)
	}
	reader := bufio.NewReader(&buffer)
	received, err := ReadFrame(reader)
	if err != nil || !proto.Equal(sent, received) {
		t.Errorf("received %v, %v, want %v", received, err, sent)
	}
	if _, err := ReadFrame(reader); !errors.Is(err, io.EOF) {
		t.Errorf("after the last frame: %v, want io.EOF", err)
	}
}

func TestMalformedFrames(t *testing.T) {
	cases := map[string]struct {
		bytes []byte
		want  error
	}{
		"cut within the body": {append(protowire.AppendVarint(nil, 100), 1, 2, 3), ErrBadFrame},
		"not protobuf":        {append(protowire.AppendVarint(nil, 3), 0xff, 0xff, 0xff), ErrBadFrame},
		"too large":           {protowire.AppendVarint(nil, MaxFrameBytes+1), ErrFrameTooLarge},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := ReadFrame(bufio.NewReader(bytes.NewReader(test.bytes)))
			if !errors.Is(err, test.want) {
				t.Errorf("got %v, want %v", err, test.want)
			}
		})
	}
}

func FuzzReadFrame(f *testing.F) {
	var buffer bytes.Buffer
	if err := WriteFrame(&buffer, &Envelope{CallId: 1, Body: &Envelope_Hello{Hello: &Hello{Node: "n"}}}); err != nil {
		f.Fatal(err)
	}
	f.Add(buffer.Bytes())
	f.Add([]byte{0x80})
	f.Fuzz(func(t *testing.T, data []byte) {
		envelope, err := ReadFrame(bufio.NewReader(bytes.NewReader(data)))
		isKnown := errors.IsAny(err, io.EOF, ErrBadFrame, ErrFrameTooLarge)
		if (envelope == nil) != isKnown {
			t.Errorf("envelope %v with error %v", envelope, err)
		}
	})
}
