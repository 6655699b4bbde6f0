package upstream

import (
	"slices"
	"sync"
)

// Attempts are the attempts to send one request. Each of them uses another connection: they share the
// request's id, so on one connection a surplus response to the first could be taken for the response
// to the second. A nil *Attempts stands for a request that is sent once. It is safe for concurrent
// use. Its mutex may be acquired while a Pool's is held.
type Attempts struct {
	mutex       sync.Mutex
	connections []*connection
}

// record notes that an attempt uses a connection.
func (a *Attempts) record(c *connection) {
	if a == nil {
		return
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.connections = append(a.connections, c)
}

// used reports whether an attempt has used a connection.
func (a *Attempts) used(c *connection) bool {
	if a == nil {
		return false
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return slices.Contains(a.connections, c)
}
