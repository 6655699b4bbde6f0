package soak

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"sync"

	"github.com/cockroachdb/errors"
)

const (
	// lowestPort and highestPort bound the ports of nodes. They are below the ephemeral
	// port range of Linux (from 32768), so that no outgoing connection can occupy a node's
	// port while the node is restarted.
	lowestPort, highestPort = 15000, 32000
	portAttempts            = 100
)

// reservedPorts are the ports assigned to nodes of this process.
var reservedPorts = struct {
	sync.Mutex
	taken map[int]bool
}{taken: make(map[int]bool)}

// nodesHost returns the loopback address for this process's nodes. It is derived from the
// process ID, so that the ports of concurrent soak runs do not collide.
func nodesHost() string {
	const (
		// Linux treats all of 127.0.0.0 to 127.255.255.255 as loopback.
		perByte    = 256
		firstBlock = 1
	)
	process := os.Getpid()
	return fmt.Sprintf("127.%d.%d.1", firstBlock+process/perByte%(perByte-firstBlock), process%perByte)
}

// freeAddress reserves an unused address on the loopback interface.
func freeAddress() (string, error) {
	reservedPorts.Lock()
	defer reservedPorts.Unlock()
	failed := errors.New("all ports that were tried are reserved")
	for range portAttempts {
		port := lowestPort + rand.IntN(highestPort-lowestPort)
		if reservedPorts.taken[port] {
			continue
		}
		listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", nodesHost(), port))
		if err != nil {
			failed = err
			continue
		}
		reservedPorts.taken[port] = true
		address := listener.Addr().String()
		return address, errors.Wrap(listener.Close(), "close port probe")
	}
	return "", errors.Wrap(failed, "find a free port")
}
