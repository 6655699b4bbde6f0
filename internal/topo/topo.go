// Package topo is the router's one way to the platform's metadata store: what
// the router needs of it, and no more. The implementation for a platform lives
// with that platform's adapter; package topo/memory is the stand-in of the tests.
package topo

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// Errors of a store. Every other error means that the store did not answer: a
// change that was asked for may have been made, or may be made later if its
// condition still holds.
var (
	// ErrConflict means that a condition did not hold. Nothing was changed.
	ErrConflict = errors.New("condition of the transaction does not hold")
	// ErrLeaseGone means that a lease has ended. Nothing was changed.
	ErrLeaseGone = errors.New("lease has ended")
	// ErrCompacted means that a watch asked for history that the store forgot.
	ErrCompacted = errors.New("history is compacted")
	// ErrRestored means that a watch asked for changes since a revision of an earlier era.
	ErrRestored = errors.New("store was restored from an older copy")
	// ErrRefused means that the store answered and did nothing (overload).
	ErrRefused = errors.New("store refused the call")
	// ErrUnavailable means that the store did not answer in time.
	ErrUnavailable = errors.New("store did not answer")
)

// LeaseID names a lease; 0 means none.
type LeaseID int64

// Item is one key of the store.
type Item struct {
	Key   string
	Value []byte
	// Revision is the store's revision at the key's last change.
	Revision int64
	Lease    LeaseID
}

// Event is one change that a watch reports.
type Event struct {
	Item
	Deleted bool
	// Delta, if there is one, leads to the value from the one that the key had at
	// BaseRevision; Value may then be missing. A store reports none.
	Delta        []byte
	BaseRevision int64
}

// Batch holds all changes of the store between two revisions.
type Batch struct {
	// After is the revision before the first change.
	After int64
	// Revision is the one that the changes lead to.
	Revision int64
	Events   []Event
}

// Condition holds if a key is at a revision; revision 0 means it is absent.
type Condition struct {
	Key      string
	Revision int64
}

// Put writes a key. With a lease, the key disappears when the lease ends.
type Put struct {
	Key   string
	Value []byte
	Lease LeaseID
}

// Transaction is applied as a whole if all conditions hold, or not at all.
type Transaction struct {
	Conditions []Condition
	Puts       []Put
	Deletes    []string
}

// Store is a linearizable key-value store with one revision counter. Revisions include the
// era; conditions hold if the number of the key's revision is equal, whatever the era.
type Store interface {
	// List returns all keys with a prefix and the revision from which a watch
	// may continue without missing a change.
	List(ctx context.Context, prefix string) ([]Item, int64, error)
	// Watch waits up to wait for changes after a revision and returns them with
	// the revision to continue from.
	Watch(ctx context.Context, prefix string, after int64, wait time.Duration) ([]Event, int64, error)
	// Era returns the highest era that an answer of the store has named; 0 before the first
	// one, and always if the store has no eras. The era rises each time that the store is
	// restored from an older copy of itself.
	Era() int64
	// Revision returns the store's current revision.
	Revision(ctx context.Context) (int64, error)
	// Commit applies a transaction and returns its revision.
	Commit(ctx context.Context, transaction Transaction) (int64, error)
	// GrantLease creates a lease and returns the time to live that applies,
	// counted from the moment the call arrives.
	GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, time.Duration, error)
	// KeepLease renews a lease.
	KeepLease(ctx context.Context, lease LeaseID) error
	// EndLease ends a lease and removes its keys.
	EndLease(ctx context.Context, lease LeaseID) error
}
