package platform

import (
	"context"
	"errors"
	"time"
)

// Entry is one key of the store; Revision is the store-wide revision of its
// last write, and a deleted key is reported by watches with Deleted set.
type Entry struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// Listing is the answer to a list or a watch: entries and the store-wide
// revision at which they were read.
type Listing struct {
	Entries  []Entry `json:"entries"`
	Revision int64   `json:"revision"`
}

// WriteRequest asks for a compare-and-swap of one key. IfRevision zero demands
// that the key does not exist. TTLMillis zero keeps the key until deleted.
type WriteRequest struct {
	Key        string `json:"key"`
	Value      []byte `json:"value,omitempty"`
	IfRevision int64  `json:"ifRevision"`
	Delete     bool   `json:"delete,omitempty"`
	TTLMillis  int64  `json:"ttlMillis,omitempty"`
}

// WriteResponse carries the revision of a write that took effect.
type WriteResponse struct {
	Revision int64 `json:"revision"`
}

// Store is the part of the platform that keeps what must last.
type Store interface {
	// Get returns the key's entry, or ErrNotFound.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns all entries below the prefix.
	List(ctx context.Context, prefix string) (Listing, error)
	// Watch returns the entries below the prefix written after the revision;
	// it blocks up to wait for the first one and may return none.
	Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (Listing, error)
	// Write performs a compare-and-swap and returns ErrConflict when the
	// revision differs; any other error leaves the outcome unknown.
	Write(ctx context.Context, request WriteRequest) (int64, error)
}

// VM states as the directory gives them.
const (
	StateLive    = "live"
	StateLeaving = "leaving"
)

// VM roles as the directory gives them.
const (
	RoleEntry  = "entry"
	RoleWorker = "worker"
	RoleRunner = "runner"
)

// VM describes one machine of the directory.
type VM struct {
	Name    string `json:"name"`
	Role    string `json:"role"`
	Address string `json:"address"`
	Domain  string `json:"domain"`
	Region  string `json:"region"`
	Rack    string `json:"rack,omitempty"`
	Service string `json:"service,omitempty"`
	State   string `json:"state"`
}

// IsUpstream reports whether the VM runs tasks.
func (v VM) IsUpstream() bool {
	return v.Role == RoleWorker || v.Role == RoleRunner
}

// Directory lists the VMs, with a lag.
type Directory interface {
	VMs(ctx context.Context) ([]VM, error)
}

// ErrNotFound reports that a key does not exist.
var ErrNotFound = errors.New("platform: key not found")

// ErrConflict reports that a compare-and-swap found another revision and did
// not take effect.
var ErrConflict = errors.New("platform: revision conflict")
