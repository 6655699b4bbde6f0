package sockets

import "io"

// LimitedReader reads from a connection and bounds parts of the messages on it. Between Limit and
// Unlimit, reads return io.EOF after a number of bytes.
type LimitedReader struct {
	source    io.Reader
	remaining int
	limited   bool
}

// NewLimitedReader returns a reader without a bound.
func NewLimitedReader(source io.Reader) *LimitedReader { return &LimitedReader{source: source} }

// Limit bounds the bytes that are read until Unlimit.
func (l *LimitedReader) Limit(maxBytes int) { l.limited, l.remaining = true, maxBytes }

// Unlimit removes the bound.
func (l *LimitedReader) Unlimit() { l.limited = false }

// Exhausted reports whether all the bytes that the last Limit allowed were read.
func (l *LimitedReader) Exhausted() bool { return l.remaining <= 0 }

// Read implements io.Reader.
func (l *LimitedReader) Read(buffer []byte) (int, error) {
	if !l.limited {
		return l.source.Read(buffer)
	}
	if l.remaining <= 0 {
		return 0, io.EOF
	}
	count, err := l.source.Read(buffer[:min(len(buffer), l.remaining)])
	l.remaining -= count
	return count, err
}
