package pipeline

import "sync"

// maxIdleWorkers is the number of idle goroutines kept for later requests. A node usually
// serves fewer requests at a time, and each goroutine keeps about 16 KB of stack.
const maxIdleWorkers = 32

// workerPool runs requests on reusable goroutines, because growing the stack of a new goroutine
// costs an eighth of the processor time of a short request.
type workerPool struct {
	mutex  sync.Mutex
	idle   []chan *exchange
	closed bool
}

// run executes a request on an idle goroutine, or on a new one if none is idle. It does not
// block.
func (w *workerPool) run(e *exchange) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if last := len(w.idle) - 1; last >= 0 {
		next := w.idle[last]
		w.idle = w.idle[:last]
		next <- e
		return
	}
	go w.loop(e)
}

// loop executes requests until the goroutine is no longer needed.
func (w *workerPool) loop(e *exchange) {
	// The buffer of one ensures that run does not block.
	next := make(chan *exchange, 1)
	for e != nil {
		e.connection.handle(e)
		if !w.park(next) {
			return
		}
		e = <-next
	}
}

// park returns a goroutine to the pool. It reports false if the goroutine is not needed.
func (w *workerPool) park(next chan *exchange) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.closed || len(w.idle) >= maxIdleWorkers {
		return false
	}
	w.idle = append(w.idle, next)
	return true
}

// close ends the idle goroutines.
func (w *workerPool) close() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.closed = true
	for _, next := range w.idle {
		close(next)
	}
	w.idle = nil
}
