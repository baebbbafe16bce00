package platform

import (
	"context"
	"errors"
	"time"
)

// KeyValue is a key of the store with its value. Revision is the store-wide revision of
// the key's last write. Watches report a deleted key with Deleted set.
type KeyValue struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// Listing is the response to a list or a watch: keys with their values, and the
// store-wide revision at which they were read.
type Listing struct {
	KeyValues []KeyValue `json:"entries"`
	Revision  int64      `json:"revision"`
}

// WriteRequest is a compare-and-swap of one key: the write takes effect only if the
// key's revision is IfRevision, where zero means that the key must not exist. With
// Delete set it deletes the key. The key expires after TTLMillis milliseconds; with zero
// it stays until it is deleted.
type WriteRequest struct {
	Key        string `json:"key"`
	Value      []byte `json:"value,omitempty"`
	IfRevision int64  `json:"ifRevision"`
	Delete     bool   `json:"delete,omitempty"`
	TTLMillis  int64  `json:"ttlMillis,omitempty"`
}

// WriteResponse is the response to a write that took effect: its revision.
type WriteResponse struct {
	Revision int64 `json:"revision"`
}

// Store is the platform's key-value store, which holds all persistent state.
type Store interface {
	// Get returns the key with its value, or ErrNotFound.
	Get(ctx context.Context, key string) (KeyValue, error)
	// List returns all keys that have the prefix, with their values.
	List(ctx context.Context, prefix string) (Listing, error)
	// Watch returns the keys that have the prefix and were written after the
	// revision, with their values. It waits at most the given time for the first
	// one, and may return none.
	Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (Listing, error)
	// Write performs a compare-and-swap and returns the revision of the write. It
	// returns ErrConflict, without effect, if the key has another revision. After
	// any other error the outcome is unknown.
	Write(ctx context.Context, request WriteRequest) (int64, error)
}

// Values of VM.State. A VM in StateLeaving is about to be shut down.
const (
	StateLive    = "live"
	StateLeaving = "leaving"
)

// Values of VM.Role: an entry accepts requests and schedules work, a worker runs the
// tasks of jobs, and a runner runs the requests to one service.
const (
	RoleEntry  = "entry"
	RoleWorker = "worker"
	RoleRunner = "runner"
)

// VM is one virtual machine in the directory. Address is where its process serves
// (IP:port), Domain the name of its failure domain, and Service the service whose
// requests a runner runs.
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

// IsUpstream reports whether the VM runs tasks, that is, whether it is a worker or a
// runner.
func (v VM) IsUpstream() bool {
	return v.Role == RoleWorker || v.Role == RoleRunner
}

// Directory is the platform's directory of VMs. It lags behind the actual state.
type Directory interface {
	// VMs returns all VMs in the directory.
	VMs(ctx context.Context) ([]VM, error)
}

// ErrNotFound reports that a key does not exist.
var ErrNotFound = errors.New("platform: key not found")

// ErrConflict reports that a compare-and-swap had no effect because the key has
// another revision.
var ErrConflict = errors.New("platform: revision conflict")
