package view

import (
	"hash/maphash"
	"iter"
	"maps"
)

// indexParts is the number of parts of an index. A change copies one of them: with ten thousand
// entries, about eighty entries.
const indexParts = 128

var indexSeed = maphash.MakeSeed()

func partOf[K comparable](key K) int {
	return int(maphash.Comparable(indexSeed, key) % indexParts)
}

// Index is an immutable map that shares unchanged parts with other versions of it. The zero value
// is empty.
type Index[K comparable, V any] struct {
	parts *[indexParts]map[K]V
	size  int
}

// Get returns the value of a key, or the zero value if there is none.
func (x Index[K, V]) Get(key K) V {
	value, _ := x.Lookup(key)
	return value
}

// Lookup returns the value of a key and whether there is one.
func (x Index[K, V]) Lookup(key K) (V, bool) {
	if x.parts == nil {
		var none V
		return none, false
	}
	value, present := x.parts[partOf(key)][key]
	return value, present
}

// Len returns the number of entries.
func (x Index[K, V]) Len() int { return x.size }

// All returns an iterator over the entries in no particular order.
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

// copyOnWriteIndex builds successive versions of an index. Published versions never change: the
// first change of a part after a publication copies that part, so that the cost of a change does
// not depend on the size of the deployment.
type copyOnWriteIndex[K comparable, V any] struct {
	content Index[K, V]
	// published is true if a view holds content, and owned marks the parts that no view holds.
	published bool
	owned     [indexParts]bool
}

func newCopyOnWriteIndex[K comparable, V any]() *copyOnWriteIndex[K, V] {
	return &copyOnWriteIndex[K, V]{content: Index[K, V]{parts: new([indexParts]map[K]V)}}
}

func (x *copyOnWriteIndex[K, V]) get(key K) V { return x.content.Get(key) }

func (x *copyOnWriteIndex[K, V]) put(key K, value V) {
	part := x.ownedPart(key)
	before := len(part)
	part[key] = value
	x.content.size += len(part) - before
}

func (x *copyOnWriteIndex[K, V]) remove(key K) {
	if _, present := x.content.Lookup(key); !present {
		return
	}
	delete(x.ownedPart(key), key)
	x.content.size--
}

// ownedPart returns the part of a key for modification, copied first if a view holds it.
func (x *copyOnWriteIndex[K, V]) ownedPart(key K) map[K]V {
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

// publish returns the content and whether it is the same as at the last publication.
func (x *copyOnWriteIndex[K, V]) publish() (Index[K, V], bool) {
	same := x.published
	x.published = true
	if !same {
		x.owned = [indexParts]bool{}
	}
	return x.content, same
}
