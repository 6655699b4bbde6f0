package pipeline

import "sync"

// mostIdleWorkers is how many goroutines are kept for requests to come. A node serves fewer
// at once most of the time, and each keeps some 16 KB of stack.
const mostIdleWorkers = 32

// workers runs requests. It keeps goroutines for further ones, because growing the stack of
// a new goroutine costs an eighth of the processor time of a short request.
type workers struct {
	mutex  sync.Mutex
	idle   []chan *exchange
	closed bool
}

// run runs a request on a goroutine of its own. It does not block.
func (w *workers) run(e *exchange) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if last := len(w.idle) - 1; last >= 0 {
		next := w.idle[last]
		w.idle = w.idle[:last]
		next <- e
		return
	}
	go w.work(e)
}

// work runs requests as long as the goroutine is kept.
func (w *workers) work(e *exchange) {
	// One request fits in, so that whoever sends it does not wait.
	next := make(chan *exchange, 1)
	for e != nil {
		e.connection.handle(e)
		if !w.keep(next) {
			return
		}
		e = <-next
	}
}

// keep takes a goroutine back that has nothing to do. It reports false if it is not needed.
func (w *workers) keep(next chan *exchange) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.closed || len(w.idle) >= mostIdleWorkers {
		return false
	}
	w.idle = append(w.idle, next)
	return true
}

// close ends the goroutines that have nothing to do.
func (w *workers) close() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.closed = true
	for _, next := range w.idle {
		close(next)
	}
	w.idle = nil
}
