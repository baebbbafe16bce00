package store

import (
	"context"
	"errors"
	"time"
)

// Errors that a Client returns, wrapped with a description of the call.
var (
	// ErrNotApplied reports that the call has no effect: it was not sent, or the store
	// refused it.
	ErrNotApplied = errors.New("store: call was not applied")
	// ErrOutcomeUnknown reports that the call may have taken effect or may still do so.
	ErrOutcomeUnknown = errors.New("store: outcome is unknown")
	// ErrNotFound reports that the key or the lease does not exist.
	ErrNotFound = errors.New("store: not found")
	// ErrCompacted reports that the store no longer has the history after the given
	// revision.
	ErrCompacted = errors.New("store: history was compacted")
)

// Item is a key with its value.
type Item struct {
	Key            string
	Value          []byte
	Revision       int64 // of the last change of the key
	CreateRevision int64 // the revision at which the key was created
	Lease          int64 // the ID of the lease that the key is attached to, or 0
	Removed        bool  // set if Watch reports that the key was deleted
}

// Put is the write of one key. The store deletes the key when the lease with the ID Lease
// ends; with Lease 0 the key stays until it is deleted.
type Put struct {
	Key   string
	Value []byte
	Lease int64
}

// Txn is a conditional transaction: it writes all of Puts if each key in Expect has
// the revision given there, and nothing otherwise. Revision 0 means that the key does
// not exist.
type Txn struct {
	Expect map[string]int64
	Puts   []Put
}

// TxnResult is the outcome of a Txn.
type TxnResult struct {
	Applied  bool  // whether the condition held and Puts were written
	Revision int64 // of the written keys, if Applied
	// Current holds the current items of the keys in Expect if the transaction was not
	// applied, without keys that do not exist.
	Current map[string]Item
}

// Client calls the store. The errors of its methods wrap those above.
type Client interface {
	// Get returns the item of the key, or ErrNotFound.
	Get(ctx context.Context, key string) (Item, error)
	// Range returns all items under the prefix and the revision from which to watch.
	// The items reflect at least all changes up to that revision.
	Range(ctx context.Context, prefix string) ([]Item, int64, error)
	// Watch waits for changes after the given revision, for at most the given
	// duration, and returns them with the revision to continue from. It returns
	// ErrCompacted if the store no longer has these changes.
	Watch(ctx context.Context, prefix string, after int64, wait time.Duration) ([]Item, int64, error)
	// Commit executes the transaction. An unmet condition is not an error: Applied is
	// then false in the result.
	Commit(ctx context.Context, txn Txn) (TxnResult, error)
	// GrantLease returns the ID of a new lease and the duration granted.
	GrantLease(ctx context.Context, ttl time.Duration) (int64, time.Duration, error)
	// RenewLease restarts the lease's duration. It returns ErrNotFound if the lease
	// has ended.
	RenewLease(ctx context.Context, lease int64) error
	// EndLease ends the lease, if it still exists, and deletes the keys attached to it.
	EndLease(ctx context.Context, lease int64) error
}
