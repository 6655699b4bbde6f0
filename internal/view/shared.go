package view

import "maps"

// sharedMap is a map of few entries whose published state is never changed: the first
// change after a publication copies it. Views share the maps that no change touched. Maps
// that grow with the deployment are a sharedIndex.
type sharedMap[K comparable, V any] struct {
	content map[K]V
	// published is true if a view holds content.
	published bool
}

func newSharedMap[K comparable, V any]() *sharedMap[K, V] {
	return &sharedMap[K, V]{content: make(map[K]V)}
}

func (m *sharedMap[K, V]) get(key K) V { return m.content[key] }

func (m *sharedMap[K, V]) put(key K, value V) {
	m.own()
	m.content[key] = value
}

func (m *sharedMap[K, V]) remove(key K) {
	if _, present := m.content[key]; !present {
		return
	}
	m.own()
	delete(m.content, key)
}

// own makes sure that no view holds the content.
func (m *sharedMap[K, V]) own() {
	if m.published {
		m.content = maps.Clone(m.content)
		m.published = false
	}
}

// publish returns the content, and whether it is that of the last publication.
func (m *sharedMap[K, V]) publish() (map[K]V, bool) {
	same := m.published
	m.published = true
	return m.content, same
}
