package pipeline

import (
	"net"
	"time"

	"github.com/micahaven/micahaven/internal/sockets"
)

// delivery tracks how a client receives what has been written to its connection.
type delivery struct {
	socket net.Conn
	// unacknowledged is the number of bytes that the client's host had not acknowledged at the last
	// check, and advancedAt is when that number last changed.
	unacknowledged int
	advancedAt     time.Time
}

func trackDelivery(socket net.Conn) *delivery {
	return &delivery{socket: socket, unacknowledged: unacknowledged(socket), advancedAt: time.Now()}
}

// check returns whether the client's host has acknowledged everything, and for how long it has
// acknowledged nothing more.
func (d *delivery) check(now time.Time) (complete bool, unchangedFor time.Duration) {
	if count := unacknowledged(d.socket); count != d.unacknowledged {
		d.unacknowledged, d.advancedAt = count, now
	}
	return d.unacknowledged == 0, now.Sub(d.advancedAt)
}

// unacknowledged returns the number of bytes written to a connection that the client's host has not
// acknowledged, and 0 for a connection that does not support the query.
func unacknowledged(socket net.Conn) int {
	count, err := sockets.Unacknowledged(socket)
	if err != nil {
		return 0
	}
	return count
}
