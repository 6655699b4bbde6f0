package pipeline

const (
	// unreservedHead is the part of a header that is read although the budget is used up, and headStep
	// the unit in which the rest is charged.
	unreservedHead = 4 << 10
	headStep       = 4 << 10
)

// headReader reads from a connection and charges the headers of requests while they arrive. Only the
// connection's reader goroutine uses it.
type headReader struct {
	connection *connection
	// reading is true while a header is read, of which received bytes have arrived and reserved are
	// charged.
	reading            bool
	received, reserved int
	// arrival is set once the header exceeds unreservedHead, and refused if there is no memory for it.
	arrival *arrival
	refused bool
}

// begin starts a header.
func (h *headReader) begin() { *h = headReader{connection: h.connection, reading: true} }

// end ends a header that was read with the given error. It returns the bytes that are charged for it, and
// the error.
func (h *headReader) end(err error) (reserved int, result error) {
	h.reading = false
	if h.arrival == nil {
		return 0, err
	}
	h.connection.server.removeArrival(h.arrival)
	if h.refused {
		// The error of the read may have been replaced by one about a part of a line.
		err = ErrNoMemory
	}
	return h.reserved, h.arrival.result(err)
}

// Read implements io.Reader.
func (h *headReader) Read(buffer []byte) (int, error) {
	count, err := h.connection.socket.Read(buffer)
	if h.reading && count > 0 && !h.charge(count) {
		return count, ErrNoMemory
	}
	return count, err
}

// charge charges bytes of the header that were received, and reports whether there is memory for them.
func (h *headReader) charge(count int) bool {
	h.received += count
	if h.received <= unreservedHead {
		return true
	}
	server := h.connection.server
	if h.arrival == nil {
		h.arrival = newArrival(h.connection)
		server.addArrival(h.arrival)
	}
	h.arrival.record(count)
	for h.reserved < h.received-unreservedHead {
		if !server.reserveArrival(headStep) {
			h.refused = true
			return false
		}
		h.reserved += headStep
	}
	return true
}
