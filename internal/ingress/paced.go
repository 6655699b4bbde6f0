package ingress

import (
	"io"
	"sync"
	"time"

	"github.com/micahaven/micahaven/internal/pace"
)

const (
	// largeAnswer is from how many bytes on an answer is written at the link's pace; a
	// smaller one takes 26 ms of a link of 10 Mbit/s at most and never waits.
	largeAnswer = 32 << 10
	// answersPart is the part of the link that large answers may take. The rest is for
	// small answers, for requests to servers and for what nodes tell each other.
	answersPart = 0.8
	// answersBurst is for how long large answers may occupy the link, and so how long
	// something small stands behind them; a timer that fires late leaves no gap then.
	answersBurst = 8 * time.Millisecond
	// pieceTime is how long a piece of an answer takes on the link.
	pieceTime = 8 * time.Millisecond
	// leastPiece bounds the system calls for an answer on slow links.
	leastPiece = 4 << 10
)

// answerLink paces the large answers of a node. Without it, an answer of 90 KB stands on a
// link of 10 Mbit/s for 72 ms and several for 200 ms, before all that is small.
type answerLink struct {
	start time.Time
	piece int

	mutex sync.Mutex
	pacer *pace.Pacer
}

// newAnswerLink returns the link of a machine that carries some bytes a second.
func newAnswerLink(linkBytes float64) *answerLink {
	rate := answersPart * linkBytes
	return &answerLink{start: time.Now(), piece: max(leastPiece, int(rate*pieceTime.Seconds())), pacer: pace.New(rate, answersBurst)}
}

// reserve returns how long to wait before the next piece of an answer.
func (l *answerLink) reserve(bytes int) time.Duration {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.pacer.Reserve(time.Since(l.start), bytes)
}

// PaceAnswers makes large answers leave room on a link that carries some bytes a second.
// It must be called before the first request.
func (h *Handler) PaceAnswers(linkBytes float64) { h.link = newAnswerLink(linkBytes) }

// paced returns a writer of an answer of some bytes, or of unknown length if more follow.
func (h *Handler) paced(writer io.Writer, bytes int, more bool) io.Writer {
	if h.link == nil || (bytes < largeAnswer && !more) {
		return writer
	}
	return &pacedWriter{handler: h, writer: writer}
}

// pacedWriter writes in pieces, each when the link is ready for it.
type pacedWriter struct {
	handler *Handler
	writer  io.Writer
}

// Write implements io.Writer. A client that leaves is noticed with the next piece.
func (w *pacedWriter) Write(content []byte) (int, error) {
	written := 0
	for written < len(content) {
		piece := content[written:min(len(content), written+w.handler.link.piece)]
		wait := w.handler.link.reserve(len(piece))
		// A node that stops has no time to give away.
		if wait > 0 && !w.handler.draining.Load() {
			pacedSeconds.Add(wait.Seconds())
			time.Sleep(wait)
		}
		count, err := w.writer.Write(piece)
		written += count
		if err != nil {
			return written, err
		}
	}
	return written, nil
}
