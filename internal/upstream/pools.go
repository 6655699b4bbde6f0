package upstream

import (
	"sync"
	"time"
)

// Pools holds a pool for each server that requests are sent to. It is safe for concurrent use. Its
// mutex may be held while a Pool's is acquired.
type Pools struct {
	link *Link
	// idleTimeout is how long connections to a server are kept after its pool was last asked for.
	idleTimeout time.Duration

	mutex sync.Mutex
	pools map[string]*serverPool
}

// serverPool is the pool of one server.
type serverPool struct {
	*Pool
	usedAt time.Time
}

// NewPools returns pools without open connections.
func NewPools(idleTimeout time.Duration) *Pools {
	return &Pools{link: NewLink(), idleTimeout: idleTimeout, pools: make(map[string]*serverPool)}
}

// Get returns the pool of the server at an address.
func (p *Pools) Get(address string) *Pool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	existing := p.pools[address]
	if existing == nil {
		existing = &serverPool{Pool: p.NewPool(address)}
		p.pools[address] = existing
	}
	existing.usedAt = time.Now()
	return existing.Pool
}

// NewPool returns a pool for a server's address that is not kept. The caller must close it.
func (p *Pools) NewPool(address string) *Pool { return NewPool(address, p.link) }

// Len returns the number of servers with a pool.
func (p *Pools) Len() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return len(p.pools)
}

// Prune closes connections that have been idle for too long and pools that are no longer used.
func (p *Pools) Prune(now time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for address, pool := range p.pools {
		if now.Sub(pool.usedAt) > p.idleTimeout {
			pool.Close()
			delete(p.pools, address)
			continue
		}
		pool.Prune(now)
	}
}
