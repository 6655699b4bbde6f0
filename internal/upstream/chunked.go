package upstream

import (
	"fmt"
	"io"
)

// chunkedWriter writes a body of unknown length in the chunked transfer coding.
type chunkedWriter struct{ socket io.Writer }

func newChunkedWriter(socket io.Writer) *chunkedWriter { return &chunkedWriter{socket: socket} }

// Write implements io.Writer. Each call writes one chunk.
func (w *chunkedWriter) Write(part []byte) (int, error) {
	if len(part) == 0 {
		return 0, nil
	}
	if _, err := fmt.Fprintf(w.socket, "%x\r\n", len(part)); err != nil {
		return 0, err
	}
	if _, err := w.socket.Write(part); err != nil {
		return 0, err
	}
	_, err := io.WriteString(w.socket, "\r\n")
	return len(part), err
}

// Close writes the last chunk and an empty trailer section.
func (w *chunkedWriter) Close() error {
	_, err := io.WriteString(w.socket, "0\r\n\r\n")
	return err
}
