package view

import "maps"

// copyOnWriteMap is a small map whose published state never changes: the first change after a
// publication copies it. Views share maps that no change touched. Maps that grow with the size of
// the deployment use copyOnWriteIndex instead.
type copyOnWriteMap[K comparable, V any] struct {
	content map[K]V
	// published is true if a view holds content.
	published bool
}

func newCopyOnWriteMap[K comparable, V any]() *copyOnWriteMap[K, V] {
	return &copyOnWriteMap[K, V]{content: make(map[K]V)}
}

func (m *copyOnWriteMap[K, V]) get(key K) V { return m.content[key] }

func (m *copyOnWriteMap[K, V]) put(key K, value V) {
	m.detach()
	m.content[key] = value
}

func (m *copyOnWriteMap[K, V]) remove(key K) {
	if _, present := m.content[key]; !present {
		return
	}
	m.detach()
	delete(m.content, key)
}

// detach copies the content if a view holds it.
func (m *copyOnWriteMap[K, V]) detach() {
	if m.published {
		m.content = maps.Clone(m.content)
		m.published = false
	}
}

// publish returns the content and whether it is the same as at the last publication.
func (m *copyOnWriteMap[K, V]) publish() (map[K]V, bool) {
	same := m.published
	m.published = true
	return m.content, same
}
