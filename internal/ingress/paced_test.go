package ingress

import (
	"bytes"
	"errors"
	"testing"
	"time"
)

// pieces takes what is written, piece by piece.
type pieces struct {
	bytes.Buffer
	sizes []int
	// failAt is the piece that cannot be written; 0 for none.
	failAt int
}

var errLeft = errors.New("client left")

func (p *pieces) Write(content []byte) (int, error) {
	p.sizes = append(p.sizes, len(content))
	if len(p.sizes) == p.failAt {
		return 0, errLeft
	}
	return p.Buffer.Write(content)
}

const testLink = 10e6

func pacedHandler() *Handler {
	h := &Handler{}
	h.PaceAnswers(testLink)
	return h
}

// What is large leaves in pieces that are short on the link, and whole.
func TestLargeAnswersAreWrittenInPieces(t *testing.T) {
	h, out := pacedHandler(), &pieces{}
	content := bytes.Repeat([]byte("0123456789"), 20_000)
	began := time.Now()
	if count, err := h.paced(out, len(content), false).Write(content); err != nil || count != len(content) {
		t.Fatalf("wrote %d of %d bytes: %v", count, len(content), err)
	}
	if !bytes.Equal(out.Bytes(), content) {
		t.Error("the answer was changed")
	}
	for _, size := range out.sizes {
		if most := int(testLink * pieceTime.Seconds()); size > most {
			t.Errorf("a piece of %d bytes, at most %d were to go out at once", size, most)
		}
	}
	// The last piece starts when those before it are through, less the burst.
	before := len(content) - out.sizes[len(out.sizes)-1]
	if least := time.Duration(float64(before)/testLink*float64(time.Second)) - answersBurst; time.Since(began) < least {
		t.Errorf("took %v, the link needs %v", time.Since(began), least)
	}
}

func TestSmallAnswersDoNotWaitForLargeOnes(t *testing.T) {
	h, out := pacedHandler(), &pieces{}
	// Large answers have the link for the next hour.
	h.link.reserve(testLink * 3600)
	content := make([]byte, largeAnswer-1)
	if _, err := h.paced(out, len(content), false).Write(content); err != nil || len(out.sizes) != 1 {
		t.Errorf("written in %d pieces, want 1: %v", len(out.sizes), err)
	}
}

// A stopping node has to bring its answers out before its time is over.
func TestStoppingNodeDoesNotPace(t *testing.T) {
	h, out := pacedHandler(), &pieces{}
	h.link.reserve(testLink * 3600)
	h.Drain()
	content := make([]byte, 4*largeAnswer)
	if _, err := h.paced(out, len(content), false).Write(content); err != nil || out.Len() != len(content) {
		t.Errorf("wrote %d of %d bytes: %v", out.Len(), len(content), err)
	}
}

func TestClientThatLeavesEndsAPacedAnswer(t *testing.T) {
	h, out := pacedHandler(), &pieces{failAt: 2}
	content := make([]byte, 10*h.link.piece)
	count, err := h.paced(out, len(content), true).Write(content)
	if !errors.Is(err, errLeft) || count != h.link.piece || len(out.sizes) != 2 {
		t.Errorf("%d bytes in %d pieces, error %v", count, len(out.sizes), err)
	}
}
