package view

import (
	"hash/maphash"
	"iter"
	"maps"
)

// indexParts is in how many parts an index is kept. A change copies one of them: with ten
// thousand entries that is some eighty.
const indexParts = 128

var indexSeed = maphash.MakeSeed()

func partOf[K comparable](key K) int {
	return int(maphash.Comparable(indexSeed, key) % indexParts)
}

// Index is an immutable map that shares with others what they have in common. The zero
// value is empty.
type Index[K comparable, V any] struct {
	parts *[indexParts]map[K]V
	size  int
}

// Get returns the value of a key, or the zero value.
func (x Index[K, V]) Get(key K) V {
	value, _ := x.Lookup(key)
	return value
}

// Lookup returns the value of a key, and whether there is one.
func (x Index[K, V]) Lookup(key K) (V, bool) {
	if x.parts == nil {
		var none V
		return none, false
	}
	value, present := x.parts[partOf(key)][key]
	return value, present
}

// Len returns how many entries there are.
func (x Index[K, V]) Len() int { return x.size }

// All returns the entries in no order.
func (x Index[K, V]) All() iter.Seq2[K, V] {
	return func(yield func(K, V) bool) {
		if x.parts == nil {
			return
		}
		for _, part := range x.parts {
			for key, value := range part {
				if !yield(key, value) {
					return
				}
			}
		}
	}
}

// sharedIndex builds indexes one after the other. What was published is never changed: the
// first change of a part after a publication copies that part, so that a change of a large
// deployment costs what it touches.
type sharedIndex[K comparable, V any] struct {
	content Index[K, V]
	// published is true if a view holds the content, and owned names the parts that no view
	// holds.
	published bool
	owned     [indexParts]bool
}

func newSharedIndex[K comparable, V any]() *sharedIndex[K, V] {
	return &sharedIndex[K, V]{content: Index[K, V]{parts: new([indexParts]map[K]V)}}
}

func (x *sharedIndex[K, V]) get(key K) V { return x.content.Get(key) }

func (x *sharedIndex[K, V]) put(key K, value V) {
	part := x.own(key)
	before := len(part)
	part[key] = value
	x.content.size += len(part) - before
}

func (x *sharedIndex[K, V]) remove(key K) {
	if _, present := x.content.Lookup(key); !present {
		return
	}
	delete(x.own(key), key)
	x.content.size--
}

// own returns the part of a key, which no view holds.
func (x *sharedIndex[K, V]) own(key K) map[K]V {
	if x.published {
		parts := *x.content.parts
		x.content.parts = &parts
		x.published = false
	}
	at := partOf(key)
	switch {
	case x.content.parts[at] == nil:
		x.content.parts[at] = make(map[K]V)
	case !x.owned[at]:
		x.content.parts[at] = maps.Clone(x.content.parts[at])
	}
	x.owned[at] = true
	return x.content.parts[at]
}

// publish returns the content, and whether it is that of the last publication.
func (x *sharedIndex[K, V]) publish() (Index[K, V], bool) {
	same := x.published
	x.published = true
	if !same {
		x.owned = [indexParts]bool{}
	}
	return x.content, same
}
