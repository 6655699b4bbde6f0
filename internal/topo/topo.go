// Package topo defines the router's interface to the platform's metadata store. It is
// limited to the operations that the router needs. Each platform adapter provides an
// implementation; package topo/memory is an in-memory fake for tests.
package topo

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// Errors returned by a store. Any other error means that the store did not answer: a
// requested change may have been applied, or may be applied later if its conditions still
// hold.
var (
	// ErrConflict means that a condition of a transaction did not hold. Nothing was changed.
	ErrConflict = errors.New("transaction condition does not hold")
	// ErrLeaseEnded means that a lease has expired or was revoked. Nothing was changed.
	ErrLeaseEnded = errors.New("lease has expired or was revoked")
	// ErrCompacted means that a watch requested history that the store has discarded.
	ErrCompacted = errors.New("requested history has been compacted")
	// ErrRestored means that a watch requested changes since a revision of an earlier era,
	// that is, from before the store was restored from an older copy.
	ErrRestored = errors.New("store was restored from an older copy")
	// ErrRefused means that the store rejected the call because of overload. Nothing was
	// changed.
	ErrRefused = errors.New("store refused the call")
	// ErrUnavailable means that the store did not answer in time.
	ErrUnavailable = errors.New("store did not answer")
)

// LeaseID identifies a lease; 0 means no lease.
type LeaseID int64

// Item is a key of the store with its value.
type Item struct {
	Key   string
	Value []byte
	// Revision is the revision of the key's last change.
	Revision int64
	Lease    LeaseID
}

// Event is a change reported by a watch.
type Event struct {
	Item
	Deleted bool
	// Delta, if set, transforms the key's value at BaseRevision into the new value; Value may
	// then be missing. Stores do not set it.
	Delta        []byte
	BaseRevision int64
}

// Batch holds the changes between two revisions.
type Batch struct {
	// After is the revision before the first change.
	After int64
	// Revision is the revision after the last change.
	Revision int64
	Events   []Event
	// Difference is true if Events were computed from the copies at After and Revision. They lack keys
	// that were both created and deleted in between.
	Difference bool
}

// Condition requires that a key's last change has the given revision; 0 requires that the
// key does not exist.
type Condition struct {
	Key      string
	Revision int64
}

// Put writes a key. If Lease is set, the store deletes the key when the lease ends.
type Put struct {
	Key   string
	Value []byte
	Lease LeaseID
}

// Transaction is applied atomically if all conditions hold, or not at all.
type Transaction struct {
	Conditions []Condition
	Puts       []Put
	Deletes    []string
}

// Store is a linearizable key-value store with a single revision counter. Revisions include
// the era. Conditions compare only the revision number within its era and ignore the era.
type Store interface {
	// List returns all keys with a prefix and the revision from which a watch can continue
	// without missing a change.
	List(ctx context.Context, prefix string) ([]Item, int64, error)
	// Watch waits for changes after a revision, for at most wait, and returns them with the
	// revision from which to continue.
	Watch(ctx context.Context, prefix string, after int64, wait time.Duration) ([]Event, int64, error)
	// Era returns the highest era seen in the store's responses; 0 before the first response,
	// and always 0 if the store has no eras. The era increases each time the store is restored
	// from an older copy of itself.
	Era() int64
	// Revision returns the store's current revision.
	Revision(ctx context.Context) (int64, error)
	// Commit applies a transaction and returns the revision that it created.
	Commit(ctx context.Context, transaction Transaction) (int64, error)
	// GrantLease creates a lease and returns its effective time to live, which is counted
	// from the arrival of the call at the store.
	GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, time.Duration, error)
	// KeepLease renews a lease.
	KeepLease(ctx context.Context, lease LeaseID) error
	// EndLease revokes a lease and deletes its keys.
	EndLease(ctx context.Context, lease LeaseID) error
}
