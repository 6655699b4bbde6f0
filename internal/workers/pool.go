// Package workers runs tasks on a fixed number of goroutines, so that their number stays bounded
// when servers are slow.
package workers

import (
	"context"
	"sync"
)

// Pool runs tasks from a bounded queue. It is safe for concurrent use.
type Pool struct {
	tasks chan func()
	stop  context.CancelFunc
	ended <-chan struct{}
	group sync.WaitGroup
}

// NewPool starts size workers with a queue of the given length.
func NewPool(size, queue int) *Pool {
	ctx, cancel := context.WithCancel(context.Background())
	pool := &Pool{tasks: make(chan func(), queue), stop: cancel, ended: ctx.Done()}
	for range size {
		pool.group.Go(pool.work)
	}
	return pool
}

// TrySubmit queues a task and reports whether there was room for it.
func (p *Pool) TrySubmit(task func()) bool {
	select {
	case p.tasks <- task:
		return true
	default:
		return false
	}
}

// Close stops the workers after their current tasks. Queued tasks are dropped.
func (p *Pool) Close() {
	p.stop()
	p.group.Wait()
}

func (p *Pool) work() {
	for {
		select {
		case <-p.ended:
			return
		case task := <-p.tasks:
			task()
		}
	}
}
