package sockets

import "io"

// HeadReader reads from a connection and bounds the heads of the messages on it. Between BeginHead and
// EndHead, reads return io.EOF after a number of bytes.
type HeadReader struct {
	source    io.Reader
	remaining int
	limited   bool
}

// NewHeadReader returns a reader without a bound.
func NewHeadReader(source io.Reader) *HeadReader { return &HeadReader{source: source} }

// BeginHead bounds the bytes that are read until EndHead.
func (h *HeadReader) BeginHead(maxBytes int) { h.limited, h.remaining = true, maxBytes }

// EndHead removes the bound, so that a body can be read.
func (h *HeadReader) EndHead() { h.limited = false }

// Exhausted reports whether all the bytes that the last BeginHead allowed were read.
func (h *HeadReader) Exhausted() bool { return h.remaining <= 0 }

// Read implements io.Reader.
func (h *HeadReader) Read(buffer []byte) (int, error) {
	if !h.limited {
		return h.source.Read(buffer)
	}
	if h.remaining <= 0 {
		return 0, io.EOF
	}
	count, err := h.source.Read(buffer[:min(len(buffer), h.remaining)])
	h.remaining -= count
	return count, err
}
