package feed_test

import (
	"testing"
	"time"

	"github.com/micahaven/micahaven/internal/feed"
	"github.com/micahaven/micahaven/internal/topo"
)

const (
	// largeLink and smallLink are the bandwidths of two classes of machines, in bytes per second.
	largeLink = 200e6 / 8
	smallLink = 20e6 / 8
	// messageBytes is the size of a message without its changes.
	messageBytes = 100
)

// link is the connection of a node to the network. Messages leave and arrive one after the other.
type link struct {
	bytesPerSecond          float64
	sentUntil, arrivedUntil time.Duration
	// bytes counts the bytes of the batches sent.
	bytes int
}

func (l *link) duration(size int) time.Duration {
	return time.Duration(float64(size) / l.bytesPerSecond * float64(time.Second))
}

// useLinks gives each node a link: a large one to the first nodes of each zone, which become heads.
func (c *cluster) useLinks(large int) {
	for index, n := range c.nodes {
		n.link, n.Share = &link{bytesPerSecond: smallLink}, 0.16
		if index < large {
			n.link, n.Share = &link{bytesPerSecond: largeLink}, 0.8
		}
	}
	for _, n := range c.nodes {
		n.core = feed.New(n.Member)
		n.core.SetMembers(0, c.members())
	}
}

// arrival returns when a message that is sent now has arrived.
func (c *cluster) arrival(from, to *node, message feed.Message) time.Duration {
	if from.link == nil {
		return c.now + c.delay()
	}
	size := messageBytes
	if message.Batch != nil {
		size += batchBytes(*message.Batch)
		from.link.bytes += size
	}
	from.link.sentUntil = max(from.link.sentUntil, c.now) + from.link.duration(size)
	to.link.arrivedUntil = max(to.link.arrivedUntil, from.link.sentUntil+c.delay()) + to.link.duration(size)
	return to.link.arrivedUntil
}

func batchBytes(batch topo.Batch) int {
	bytes := 0
	for _, event := range batch.Events {
		bytes += len(event.Value) + len(event.Delta)
	}
	return bytes
}

// changeLarge increments the store's revision with a value of the given size.
func (c *cluster) changeLarge(size int) {
	c.change()
	c.values[c.revision] = make([]byte, size)
}

// bytesSent returns the bytes of all batches that nodes sent.
func (c *cluster) bytesSent() int {
	bytes := 0
	for _, n := range c.nodes {
		bytes += n.link.bytes
	}
	return bytes
}

const (
	// fleetSize and fleetHeads are the nodes of a large system and those of them with large links.
	fleetSize, fleetHeads = 295, 18
	// largeChange is the size of a configuration with 1,760 routes, in bytes.
	largeChange = 400e3
	// inForce is the time within which a change has to be in force at all nodes.
	inForce = 3 * time.Second
)

func newLinkedCluster(t *testing.T) *cluster {
	c := newCluster(t, fleetSize, 6)
	c.useLinks(fleetHeads)
	c.setMaxCopyAge(inForce * 8 / 10)
	c.start()
	return c
}

// wantAllAtRevision fails unless every node has reached the store's revision.
func (c *cluster) wantAllAtRevision() {
	c.t.Helper()
	late := 0
	for _, n := range c.nodes {
		if n.revision < c.revision {
			late++
		}
	}
	if late > 0 {
		c.t.Errorf("%d of %d nodes are behind revision %d", late, len(c.nodes), c.revision)
	}
}

// Guards against changes that are sent again to followers that they are on their way to.
func TestChangeInTransitIsNotSentAgain(t *testing.T) {
	c := newLinkedCluster(t)
	before := c.bytesSent()
	c.changeLarge(largeChange)
	c.run(inForce)
	c.wantAllAtRevision()
	if sent, most := c.bytesSent()-before, fleetSize*largeChange*11/10; float64(sent) > most {
		t.Errorf("%d MB were sent for a change of %.1f MB to %d nodes, want at most %.0f MB", sent/1e6, largeChange/1e6, fleetSize, most/1e6)
	}
}

// Guards against heartbeats and small changes that wait behind repetitions of a large change.
func TestNodesStayWithTheirHeadsWhileALargeChangeArrives(t *testing.T) {
	c := newLinkedCluster(t)
	c.changeLarge(largeChange)
	most := 0
	for end := c.now + inForce; c.now < end; {
		c.run(10 * step)
		c.change()
		most = max(most, len(c.watching()))
	}
	c.run(10 * step)
	c.wantAllAtRevision()
	if most > 1 {
		t.Errorf("%d nodes watched the store, want one", most)
	}
}

// Guards against a large change that is dropped from the log while a follower lacks it.
func TestLargeChangeIsKeptForFollowersThatMissedIt(t *testing.T) {
	c := newCluster(t, 24, 3)
	c.start()
	missed := c.nodes[len(c.nodes)-1]
	missed.isolated = true
	c.changeLarge(largeChange)
	c.run(10 * step)
	for range 3 {
		c.change()
		c.run(5 * step)
	}
	missed.isolated = false
	const heartbeats = 500 * time.Millisecond
	for end := c.now + heartbeats; c.now < end; {
		c.run(step)
		if missed.core.Watching(c.now) {
			t.Fatal("the node watches the store, want its upstream to send the change again")
		}
	}
	c.wantAllAtRevision()
}
