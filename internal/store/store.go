// Package store defines the interface to the platform's key-value service, limited to the
// operations that micahaven uses. All access to the service goes through it.
package store

import (
	"context"

	"github.com/cockroachdb/errors"
)

// Errors of a store.
var (
	// ErrConflict means that a key was not at the expected revision and that no
	// swap was applied.
	ErrConflict = errors.New("key is not at the expected revision")
	// ErrUnavailable means that the service did not respond as expected. A requested
	// change may have taken effect; the caller has to read the keys to find out.
	ErrUnavailable = errors.New("key-value service unavailable")
	// ErrCompacted means that a watch started at a revision whose history the service has
	// already compacted.
	ErrCompacted = errors.New("watch revision has been compacted")
)

// KeyValue is the value of a key at one revision.
type KeyValue struct {
	Key   string
	Value []byte
	// Revision is the store revision of the key's last change. It never decreases.
	Revision int64
}

// Swap is one conditional write of a CompareAndSwap.
type Swap struct {
	Key string
	// Expected is the required current revision of the key; 0 means that the key must not
	// exist.
	Expected int64
	// Value is the new value; nil deletes the key.
	Value []byte
}

// Event is one change reported by a watch.
type Event struct {
	KeyValue
	Deleted bool
}

// Store is a revisioned key-value service.
type Store interface {
	// List returns all keys with a prefix and the store revision at which they were read.
	List(ctx context.Context, prefix string) ([]KeyValue, int64, error)
	// CompareAndSwap applies all swaps atomically, or none of them, and returns the
	// revision of the change. The error matches ErrConflict if a key was not at its
	// expected revision.
	CompareAndSwap(ctx context.Context, swaps ...Swap) (int64, error)
	// Watch calls receive for each change to a key with the prefix after a revision, in
	// order, until the context or the connection ends.
	Watch(ctx context.Context, prefix string, after int64, receive func(Event)) error
}

// Get returns one key, or false if it does not exist.
func Get(ctx context.Context, source Store, key string) (KeyValue, bool, error) {
	found, _, err := source.List(ctx, key)
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
