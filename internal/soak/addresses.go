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
	// lowestPort and highestPort bound the ports of nodes. They are below those that
	// Linux gives to outgoing connections (from 32768), one of which could otherwise
	// have a node's port while the node is being started again.
	lowestPort, highestPort = 15000, 32000
	portAttempts            = 100
)

// reservedPorts are those that nodes of this process have or are to have.
var reservedPorts = struct {
	sync.Mutex
	taken map[int]bool
}{taken: make(map[int]bool)}

// nodesHost is the loopback address of this process's nodes, so that soaks which run
// at the same time do not have each other's ports.
func nodesHost() string {
	const (
		// Linux takes every address from 127.0.0.0 to 127.255.255.255 for the machine.
		perByte    = 256
		firstBlock = 1
	)
	process := os.Getpid()
	return fmt.Sprintf("127.%d.%d.1", firstBlock+process/perByte%(perByte-firstBlock), process%perByte)
}

// freeAddress reserves an address on the loopback interface that nobody uses.
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
		return address, errors.Wrap(listener.Close(), "give the port back")
	}
	return "", errors.Wrap(failed, "find a free port")
}
