// Package store is the one way to the platform's key-value service: what
// micahaven needs of it, and no more.
package store

import (
	"context"

	"github.com/cockroachdb/errors"
)

// Errors of a store.
var (
	// ErrConflict means that a key was not at the expected revision. Nothing
	// was changed.
	ErrConflict = errors.New("key is at another revision")
	// ErrUnavailable means that the service did not answer. A change that was
	// asked for may have taken effect; the caller has to read to know.
	ErrUnavailable = errors.New("key-value service unavailable")
	// ErrCompacted means that a watch asked for history that is gone.
	ErrCompacted = errors.New("watch revision is compacted")
)

// KeyValue is one key at one revision.
type KeyValue struct {
	Key   string
	Value []byte
	// Revision is the revision of the key's last change; it only grows.
	Revision int64
}

// Swap is one conditional write.
type Swap struct {
	Key string
	// Expected is the revision the key must be at; 0 means it must not exist.
	Expected int64
	// Value is the new value; nil deletes the key.
	Value []byte
}

// Event is one change that a watch reports.
type Event struct {
	KeyValue
	Deleted bool
}

// Store is a revisioned key-value service.
type Store interface {
	// List returns all keys with a prefix, and the revision of the whole read.
	List(ctx context.Context, prefix string) ([]KeyValue, int64, error)
	// CompareAndSwap applies all swaps together, or none, and returns the
	// revision of the change.
	CompareAndSwap(ctx context.Context, swaps ...Swap) (int64, error)
	// Watch calls receive for every change of the prefix after a revision, in
	// order, until the context or the connection ends.
	Watch(ctx context.Context, prefix string, after int64, receive func(Event)) error
}

// Get returns one key, and false if it does not exist.
func Get(ctx context.Context, from Store, key string) (KeyValue, bool, error) {
	found, _, err := from.List(ctx, key)
	if err != nil {
		return KeyValue{}, false, err
	}
	for _, pair := range found {
		if pair.Key == key {
			return pair, true, nil
		}
	}
	return KeyValue{}, false, nil
}
