package deflate_test

import (
	"bytes"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/micahaven/micahaven/internal/deflate"
)

func TestUnpackReversesPackWithinItsLimit(t *testing.T) {
	content := bytes.Repeat([]byte("content "), 1000)
	packed, err := deflate.Pack(content)
	if err != nil {
		t.Fatal(err)
	}
	if got, err := deflate.Unpack(packed, len(content)); err != nil || !bytes.Equal(got, content) {
		t.Errorf("unpacked: equal %v, error %v", bytes.Equal(got, content), err)
	}
	if _, err := deflate.Unpack(packed, len(content)-1); !errors.Is(err, deflate.ErrTooLong) {
		t.Errorf("one byte over the limit: error %v, want ErrTooLong", err)
	}
	if _, err := deflate.Unpack(packed[:len(packed)/2], len(content)); !errors.Is(err, deflate.ErrMalformed) {
		t.Errorf("truncated: error %v, want ErrMalformed", err)
	}
}
