package ingress

import (
	"bytes"
	"errors"
	"testing"
	"time"
)

// recordingWriter records the size of each write.
type recordingWriter struct {
	bytes.Buffer
	sizes []int
	// failAtWrite is the number of the write that fails; 0 for none.
	failAtWrite int
}

var errClientLeft = errors.New("client left")

func (w *recordingWriter) Write(content []byte) (int, error) {
	w.sizes = append(w.sizes, len(content))
	if len(w.sizes) == w.failAtWrite {
		return 0, errClientLeft
	}
	return w.Buffer.Write(content)
}

const testLinkRate = 10e6

func pacedHandler() *Handler {
	h := &Handler{initial: &initialTable{draining: make(chan struct{})}}
	h.PaceResponses(testLinkRate)
	return h
}

// Large responses are written completely, in segments that occupy the link only briefly.
func TestLargeAnswersAreWrittenInPieces(t *testing.T) {
	h, out := pacedHandler(), &recordingWriter{}
	content := bytes.Repeat([]byte("0123456789"), 20_000)
	startedAt := time.Now()
	if count, err := h.withPacing(out, len(content), false).Write(content); err != nil || count != len(content) {
		t.Fatalf("wrote %d of %d bytes: %v", count, len(content), err)
	}
	if !bytes.Equal(out.Bytes(), content) {
		t.Error("the response was altered")
	}
	for _, size := range out.sizes {
		if maxSize := int(testLinkRate * segmentDuration.Seconds()); size > maxSize {
			t.Errorf("a segment of %d bytes, want at most %d", size, maxSize)
		}
	}
	// The last segment starts once the earlier ones have been sent, minus the burst.
	before := len(content) - out.sizes[len(out.sizes)-1]
	if minDuration := time.Duration(float64(before)/testLinkRate*float64(time.Second)) - pacedBurst; time.Since(startedAt) < minDuration {
		t.Errorf("took %v, want at least %v", time.Since(startedAt), minDuration)
	}
}

func TestSmallAnswersDoNotWaitForLargeOnes(t *testing.T) {
	h, out := pacedHandler(), &recordingWriter{}
	// Large responses occupy the link for the next hour.
	h.pacer.reserve(testLinkRate * 3600)
	content := make([]byte, pacedThreshold-1)
	if _, err := h.withPacing(out, len(content), false).Write(content); err != nil || len(out.sizes) != 1 {
		t.Errorf("written in %d segments, want 1: %v", len(out.sizes), err)
	}
}

// A stopping node must write its responses before the shutdown timeout.
func TestStoppingNodeDoesNotPace(t *testing.T) {
	h, out := pacedHandler(), &recordingWriter{}
	h.pacer.reserve(testLinkRate * 3600)
	h.Drain()
	content := make([]byte, 4*pacedThreshold)
	if _, err := h.withPacing(out, len(content), false).Write(content); err != nil || out.Len() != len(content) {
		t.Errorf("wrote %d of %d bytes: %v", out.Len(), len(content), err)
	}
}

func TestClientThatLeavesEndsAPacedAnswer(t *testing.T) {
	h, out := pacedHandler(), &recordingWriter{failAtWrite: 2}
	content := make([]byte, 10*h.pacer.segment)
	count, err := h.withPacing(out, len(content), true).Write(content)
	if !errors.Is(err, errClientLeft) || count != h.pacer.segment || len(out.sizes) != 2 {
		t.Errorf("%d bytes in %d segments, error %v", count, len(out.sizes), err)
	}
}
