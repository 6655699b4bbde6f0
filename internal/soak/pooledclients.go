package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// clientsPerNode is how many clients there are for each node, and most the
	// number for all nodes, so that many nodes can run on one machine.
	clientsPerNode, mostClients = 12, 420
	// mostEager bounds the clients that send without a pause.
	mostEager = 24
	// redialPause is how long a client waits after a connection was refused.
	redialPause = 100 * time.Millisecond
	// leaveShare is the part of their requests that leaving clients break off, most of
	// them within earlyLeave, in which servers that are well answer.
	leaveShare = 0.4
	earlyShare = 0.7
	earlyLeave = 2 * serverWork
	// mostTogether bounds the requests that pipelining clients send together.
	mostTogether = 5
)

// habit is how a client behaves.
type habit struct {
	name string
	// least and most bound the pauses between requests.
	least, most time.Duration
	slowly      bool
	leaves      bool
	// pipelines sends reads together, up to mostTogether.
	pipelines bool
	// longShare is the part of requests that are long reads.
	longShare float64
}

// habits are those of all clients in turn. Clients with long pauses are the most:
// their connections are idle when a node begins to stop, and used afterwards.
var habits = []habit{
	{name: "eager", longShare: 0.1},
	{name: "idle", least: 100 * time.Millisecond, most: 3 * time.Second, longShare: 0.5},
	{name: "slow", most: 500 * time.Millisecond, slowly: true, longShare: 0.2},
	{name: "idle", least: 500 * time.Millisecond, most: 2 * time.Second, longShare: 0.5},
	{name: "pipelining", most: 500 * time.Millisecond, pipelines: true, longShare: 0.2},
	{name: "leaving", most: 500 * time.Millisecond, leaves: true, longShare: 0.3},
	{name: "idle", least: time.Second, most: 4 * time.Second, longShare: 0.7},
	{name: "pipelining and leaving", most: 500 * time.Millisecond, pipelines: true, leaves: true, longShare: 0.3},
}

// pooledClients are clients that keep connections open and use them for as long as
// they can, as connection pools do.
type pooledClients struct {
	nodes []*Node

	mutex       sync.Mutex
	records     []*record
	connections int
	// refusedDials counts connections that could not be made.
	refusedDials int
	// failure is why the clients themselves did not work.
	failure error
}

// run sends requests until the context ends.
func (c *pooledClients) run(ctx context.Context, seed uint64) {
	var group sync.WaitGroup
	for index := range min(clientsPerNode*len(c.nodes), mostClients) {
		client := &pooledClient{all: c, index: index, habit: habitOf(index), random: rand.New(rand.NewPCG(seed, uint64(index)))}
		group.Go(func() { client.run(ctx) })
	}
	group.Wait()
}

func habitOf(index int) habit {
	chosen := habits[index%len(habits)]
	if chosen.most == 0 && index >= mostEager*len(habits) {
		chosen = habits[1]
	}
	return chosen
}

func (c *pooledClients) add(r *record) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.records = append(c.records, r)
}

func (c *pooledClients) nextConnection() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.connections++
	return c.connections
}

func (c *pooledClients) dialRefused() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.refusedDials++
}

func (c *pooledClients) fail(err error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.failure = err
}

// all returns the records of all requests that have ended.
func (c *pooledClients) all() []*record {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return append([]*record(nil), c.records...)
}

// results returns what all clients saw.
func (c *pooledClients) results() []outcome {
	records := c.all()
	seen := make([]outcome, 0, len(records))
	for _, r := range records {
		seen = append(seen, r.outcome())
	}
	return seen
}

// pooledClient is one client. It has one connection at a time.
type pooledClient struct {
	all    *pooledClients
	index  int
	habit  habit
	random *rand.Rand
	sent   int
}

func (c *pooledClient) run(ctx context.Context) {
	node := c.all.nodes[c.index%len(c.all.nodes)]
	for ctx.Err() == nil {
		connection, err := dial(node, c.all.nextConnection())
		if err != nil {
			c.all.dialRefused()
			time.Sleep(redialPause)
		} else {
			c.use(ctx, connection)
		}
		node = c.all.nodes[c.random.IntN(len(c.all.nodes))]
	}
}

// use sends requests on a connection until it ends.
func (c *pooledClient) use(ctx context.Context, connection *rawConnection) {
	// The node sees the end of the connection; there is nobody to tell.
	defer func() { _ = connection.Close() }()
	for !connection.ending && connection.idle(c.pause()) && ctx.Err() == nil {
		records, err := c.exchange(connection)
		if err != nil {
			c.all.fail(err)
			return
		}
		for _, r := range records {
			c.all.add(r)
		}
		if last := records[len(records)-1]; last.end != answered && last.end != refused {
			return
		}
	}
}

// exchange sends one request, or some together, and waits for their end.
func (c *pooledClient) exchange(connection *rawConnection) ([]*record, error) {
	first := c.next(connection.node)
	if !c.habit.pipelines || !first.class.repeatable() {
		r, err := connection.exchange(first, c.random)
		return []*record{r}, err
	}
	batch := []*sending{first}
	for count := 1 + c.random.IntN(mostTogether); len(batch) < count; {
		if further := c.next(connection.node); further.class.repeatable() {
			batch = append(batch, further)
		}
	}
	return connection.pipeline(batch)
}

func (c *pooledClient) pause() time.Duration {
	if c.habit.most == 0 {
		return 0
	}
	return c.habit.least + time.Duration(c.random.Int64N(int64(c.habit.most-c.habit.least)))
}

// next draws the next request.
func (c *pooledClient) next(node *Node) *sending {
	c.sent++
	chosen := &classes[c.random.IntN(len(classes)-1)]
	if c.random.Float64() < c.habit.longShare {
		chosen = longReads
	}
	s := &sending{id: requestID(node, c.index, c.sent), class: chosen, key: -1, slowly: c.habit.slowly}
	if chosen.keyed {
		s.key = c.random.IntN(keyCount) * keySpread
	}
	if c.habit.leaves && c.random.Float64() < leaveShare {
		within := chosen.deadline
		if c.random.Float64() < earlyShare {
			within = earlyLeave
		}
		s.leaveAfter = 1 + upTo(c.random, within)
	}
	return s
}
