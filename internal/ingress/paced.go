package ingress

import (
	"io"
	"sync"
	"time"

	"github.com/micahaven/micahaven/internal/pace"
)

const (
	// pacedThreshold is the size in bytes from which responses are paced. A smaller response
	// takes at most 26 ms on a link of 10 Mbit/s and is written at once.
	pacedThreshold = 32 << 10
	// pacedLinkShare is the fraction of the link capacity available to large responses. The
	// remainder serves small responses, requests to servers and traffic between nodes.
	pacedLinkShare = 0.8
	// pacedBurst bounds how long large responses may occupy the link without a pause, and so
	// how long a small message waits behind them. It also covers timers that fire late, which
	// would otherwise leave the link unused.
	pacedBurst = 8 * time.Millisecond
	// segmentDuration is the time that one segment of a response takes on the link.
	segmentDuration = 8 * time.Millisecond
	// minSegmentSize bounds the number of system calls for each response on slow links.
	minSegmentSize = 4 << 10
)

// responsePacer paces the large responses of a node. Without pacing, a response of 90 KB
// occupies a link of 10 Mbit/s for 72 ms, and several of them for 200 ms, delaying all small
// messages.
type responsePacer struct {
	start time.Time
	// segment is the size in bytes of the pieces in which a response is written.
	segment int

	mutex sync.Mutex
	pacer *pace.Pacer
}

// newResponsePacer returns a pacer for a link with a capacity of bytesPerSecond.
func newResponsePacer(bytesPerSecond float64) *responsePacer {
	rate := pacedLinkShare * bytesPerSecond
	return &responsePacer{start: time.Now(), segment: max(minSegmentSize, int(rate*segmentDuration.Seconds())), pacer: pace.New(rate, pacedBurst)}
}

// reserve books the next segment and returns how long to wait before writing it.
func (p *responsePacer) reserve(size int) time.Duration {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.pacer.Reserve(time.Since(p.start), size)
}

// PaceResponses enables pacing of large responses on a link with a capacity of bytesPerSecond.
// It must be called before the first request.
func (h *Handler) PaceResponses(bytesPerSecond float64) { h.pacer = newResponsePacer(bytesPerSecond) }

// withPacing returns a writer for a response of the given size. A streamed response is of
// unknown size and is always paced.
func (h *Handler) withPacing(writer io.Writer, size int, streamed bool) io.Writer {
	if h.pacer == nil || (size < pacedThreshold && !streamed) {
		return writer
	}
	return &pacedWriter{handler: h, writer: writer}
}

// pacedWriter writes a response in segments, each when the pacer permits it.
type pacedWriter struct {
	handler *Handler
	writer  io.Writer
}

// Write implements io.Writer. A client that has left is detected when the next segment is
// written.
func (w *pacedWriter) Write(content []byte) (int, error) {
	written := 0
	for written < len(content) {
		segment := content[written:min(len(content), written+w.handler.pacer.segment)]
		wait := w.handler.pacer.reserve(len(segment))
		// A stopping node does not pace, because its responses must be written before the
		// shutdown timeout.
		if wait > 0 && !w.handler.draining.Load() {
			pacedSeconds.Add(wait.Seconds())
			time.Sleep(wait)
		}
		count, err := w.writer.Write(segment)
		written += count
		if err != nil {
			return written, err
		}
	}
	return written, nil
}
