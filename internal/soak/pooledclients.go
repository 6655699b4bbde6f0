package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// clientsPerNode is the number of clients per node. maxClients bounds their total, so
	// that many nodes can run on one machine.
	clientsPerNode, maxClients = 12, 420
	// maxEager bounds the number of clients that send without a pause.
	maxEager = 24
	// redialPause is how long a client waits after a failed dial.
	redialPause = 100 * time.Millisecond
	// disconnectShare is the fraction of requests that disconnecting clients abandon.
	// earlyShare of these are abandoned within earlyDisconnect, the time in which healthy
	// servers respond.
	disconnectShare = 0.4
	earlyShare      = 0.7
	earlyDisconnect = 2 * serviceTime
	// maxPipelined bounds the number of requests that pipelining clients send at once.
	maxPipelined = 5
)

// profile is the behavior of a client.
type profile struct {
	name string
	// minPause and maxPause bound the pauses between requests; both zero for no pause.
	minPause, maxPause time.Duration
	slowly             bool
	disconnects        bool
	// pipelines is set for clients that pipeline up to maxPipelined reads.
	pipelines bool
	// longShare is the fraction of requests that are long reads.
	longShare float64
}

// profiles are assigned to the clients in turn. Most have long pauses, so that their
// connections are idle when a node begins its shutdown, and used afterwards.
var profiles = []profile{
	{name: "eager", longShare: 0.1},
	{name: "idle", minPause: 100 * time.Millisecond, maxPause: 3 * time.Second, longShare: 0.5},
	{name: "slow", maxPause: 500 * time.Millisecond, slowly: true, longShare: 0.2},
	{name: "idle", minPause: 500 * time.Millisecond, maxPause: 2 * time.Second, longShare: 0.5},
	{name: "pipelining", maxPause: 500 * time.Millisecond, pipelines: true, longShare: 0.2},
	{name: "leaving", maxPause: 500 * time.Millisecond, disconnects: true, longShare: 0.3},
	{name: "idle", minPause: time.Second, maxPause: 4 * time.Second, longShare: 0.7},
	{name: "pipelining and leaving", maxPause: 500 * time.Millisecond, pipelines: true, disconnects: true, longShare: 0.3},
}

// pooledClients is a set of clients that reuse connections for as long as possible, as
// connection pools do.
type pooledClients struct {
	nodes []*Node

	mutex       sync.Mutex
	records     []*record
	connections int
	// refusedDials counts failed dials.
	refusedDials int
	// failure is an error of the clients themselves, which invalidates the run.
	failure error
}

// run sends requests until the context is done.
func (c *pooledClients) run(ctx context.Context, seed uint64) {
	var group sync.WaitGroup
	for index := range min(clientsPerNode*len(c.nodes), maxClients) {
		client := &pooledClient{pool: c, index: index, profile: profileOf(index), random: rand.New(rand.NewPCG(seed, uint64(index)))}
		group.Go(func() { client.run(ctx) })
	}
	group.Wait()
}

func profileOf(index int) profile {
	chosen := profiles[index%len(profiles)]
	if chosen.maxPause == 0 && index >= maxEager*len(profiles) {
		chosen = profiles[1]
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

// all returns the records of all finished requests.
func (c *pooledClients) all() []*record {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return append([]*record(nil), c.records...)
}

// results returns the outcomes of all finished requests.
func (c *pooledClients) results() []outcome {
	records := c.all()
	seen := make([]outcome, 0, len(records))
	for _, r := range records {
		seen = append(seen, r.outcome())
	}
	return seen
}

// pooledClient is a client with one connection at a time.
type pooledClient struct {
	pool    *pooledClients
	index   int
	profile profile
	random  *rand.Rand
	sent    int
}

func (c *pooledClient) run(ctx context.Context) {
	node := c.pool.nodes[c.index%len(c.pool.nodes)]
	for ctx.Err() == nil {
		connection, err := dial(node, c.pool.nextConnection())
		if err != nil {
			c.pool.dialRefused()
			time.Sleep(redialPause)
		} else {
			c.use(ctx, connection)
		}
		node = c.pool.nodes[c.random.IntN(len(c.pool.nodes))]
	}
}

// use sends requests on a connection until the connection or the context ends.
func (c *pooledClient) use(ctx context.Context, connection *rawConnection) {
	// The connection is closed either way, so the error is of no use.
	defer func() { _ = connection.Close() }()
	for !connection.ending && connection.idle(c.pause()) && ctx.Err() == nil {
		records, err := c.exchange(connection)
		if err != nil {
			c.pool.fail(err)
			return
		}
		for _, r := range records {
			c.pool.add(r)
		}
		if last := records[len(records)-1]; last.end != answered && last.end != refused {
			return
		}
	}
}

// exchange sends one request, or a pipelined batch, and waits until all have ended.
func (c *pooledClient) exchange(connection *rawConnection) ([]*record, error) {
	first := c.next(connection.node)
	if !c.profile.pipelines || !first.class.repeatable() {
		r, err := connection.exchange(first, c.random)
		return []*record{r}, err
	}
	batch := []*requestPlan{first}
	for count := 1 + c.random.IntN(maxPipelined); len(batch) < count; {
		if further := c.next(connection.node); further.class.repeatable() {
			batch = append(batch, further)
		}
	}
	return connection.pipeline(batch)
}

func (c *pooledClient) pause() time.Duration {
	if c.profile.maxPause == 0 {
		return 0
	}
	return c.profile.minPause + time.Duration(c.random.Int64N(int64(c.profile.maxPause-c.profile.minPause)))
}

// next draws the next request.
func (c *pooledClient) next(node *Node) *requestPlan {
	c.sent++
	chosen := &classes[c.random.IntN(len(classes)-1)]
	if c.random.Float64() < c.profile.longShare {
		chosen = longReads
	}
	s := &requestPlan{id: requestID(node, c.index, c.sent), class: chosen, key: -1, slowly: c.profile.slowly}
	if chosen.keyed {
		s.key = c.random.IntN(keyCount) * keySpread
	}
	if c.profile.disconnects && c.random.Float64() < disconnectShare {
		within := chosen.deadline
		if c.random.Float64() < earlyShare {
			within = earlyDisconnect
		}
		s.disconnectAfter = 1 + randomBelow(c.random, within)
	}
	return s
}
