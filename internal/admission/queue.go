package admission

import "github.com/micahaven/micahaven/internal/wire"

// queue is a heap of waiting requests: interactive before background, then by
// deadline, then by arrival. It implements heap.Interface.
type queue struct {
	items []*Item
}

// Len returns the number of waiting requests.
func (q *queue) Len() int { return len(q.items) }

// Less orders two waiting requests.
func (q *queue) Less(i, j int) bool {
	a, b := q.items[i], q.items[j]
	aBackground := a.Priority == wire.Priority_PRIORITY_BACKGROUND
	bBackground := b.Priority == wire.Priority_PRIORITY_BACKGROUND
	if aBackground != bBackground {
		return bBackground
	}
	if a.Deadline != b.Deadline {
		return a.Deadline < b.Deadline
	}
	return a.sequence < b.sequence
}

// Swap exchanges two waiting requests.
func (q *queue) Swap(i, j int) {
	q.items[i], q.items[j] = q.items[j], q.items[i]
	q.items[i].position = i
	q.items[j].position = j
}

// Push adds a request; it is called by container/heap only.
func (q *queue) Push(x any) {
	item := x.(*Item)
	item.position = len(q.items)
	q.items = append(q.items, item)
}

// Pop removes the last request; it is called by container/heap only.
func (q *queue) Pop() any {
	last := len(q.items) - 1
	item := q.items[last]
	q.items[last] = nil
	q.items = q.items[:last]
	item.position = -1
	return item
}
