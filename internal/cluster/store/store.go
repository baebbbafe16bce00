package store

import (
	"context"
	"errors"
	"time"
)

// Errors that a Client returns, wrapped with the call.
var (
	// ErrNotDone reports that the store refused the call and changed nothing.
	ErrNotDone = errors.New("store: call was refused")
	// ErrUnknown reports that the call may or may not take effect, now or later.
	ErrUnknown = errors.New("store: outcome is unknown")
	// ErrNotFound reports that the key or the lease does not exist.
	ErrNotFound = errors.New("store: not found")
	// ErrCompacted reports that the history after the given revision is gone.
	ErrCompacted = errors.New("store: history is gone")
)

// Item is a key with its value; Revision is its last change, Created the
// revision at which it came into being.
type Item struct {
	Key      string
	Value    []byte
	Revision int64
	Created  int64
	Lease    int64
	Removed  bool
}

// Put writes a value; Lease 0 keeps the key until it is removed.
type Put struct {
	Key   string
	Value []byte
	Lease int64
}

// Txn writes all of Puts if each key of Expect still has the revision given
// there; revision 0 means that the key does not exist.
type Txn struct {
	Expect map[string]int64
	Puts   []Put
}

// TxnResult tells whether the transaction was carried out, at which revision,
// and otherwise what the expected keys are now (absent keys are left out).
type TxnResult struct {
	Done     bool
	Revision int64
	Current  map[string]Item
}

// Client calls the store. All methods return the errors above.
type Client interface {
	Get(ctx context.Context, key string) (Item, error)
	// Range returns all items under the prefix and a revision that is not newer
	// than any of them, from which a watch continues.
	Range(ctx context.Context, prefix string) ([]Item, int64, error)
	// Watch waits for changes after the revision, at most for the duration, and
	// returns them with the revision to continue from.
	Watch(ctx context.Context, prefix string, after int64, wait time.Duration) ([]Item, int64, error)
	Commit(ctx context.Context, txn Txn) (TxnResult, error)
	GrantLease(ctx context.Context, ttl time.Duration) (int64, time.Duration, error)
	RenewLease(ctx context.Context, lease int64) error
	EndLease(ctx context.Context, lease int64) error
}
