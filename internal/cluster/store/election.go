package store

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
)

const (
	// LeaseTime is how long an owner stays owner without renewal; a successor
	// waits for it after a crash.
	LeaseTime = 1200 * time.Millisecond
	// renewInterval is between renewals; four fit into a lease.
	renewInterval = 300 * time.Millisecond
	// renewTimeout bounds a renewal; a later answer would find the lease at its end.
	renewTimeout = time.Second
	// callTimeout bounds one call, well above a store that is fifty times slower
	// than its 4 ms.
	callTimeout = time.Second
	// retryDelay is between tries while the store does not answer.
	retryDelay = 100 * time.Millisecond
)

// Owner is what the store tells of a shard's owner.
type Owner struct {
	Node    string `cbor:"1,keyasint"`
	Life    string `cbor:"2,keyasint"`
	Address string `cbor:"3,keyasint"`
	// Token is the fencing token of the tenure; it is not part of the value.
	Token int64 `cbor:"-"`
	// Lease is the store's lease of the tenure.
	Lease int64 `cbor:"-"`
}

// DecodeOwner reads the owner from the item of its key.
func DecodeOwner(item Item) (Owner, error) {
	var o Owner
	if err := cbor.Unmarshal(item.Value, &o); err != nil {
		return o, fmt.Errorf("store: decode owner: %w", err)
	}
	o.Token = item.Created
	o.Lease = item.Lease
	return o, nil
}

// Tenure is the ownership of one shard by this process, until its Done channel
// closes.
type Tenure struct {
	client          Client
	shard           string
	token           int64
	leaseID         int64
	leaseExpiry     atomic.Int64
	renewalsFailing atomic.Bool
	ctx             context.Context
	cancel          context.CancelCauseFunc
	log             *slog.Logger
}

// ErrRevoked is the cause of a tenure's end when the store has ended it.
var ErrRevoked = errors.New("store: no longer the owner")

// OwnerKey returns the key that holds the shard's owner.
func OwnerKey(shard string) string {
	return "citronbay/" + shard + "/owner"
}

// Claim tries to become the owner of the shard. It returns ErrNotDone when
// another process is. The clean-up function gives the ownership up.
func Claim(ctx context.Context, client Client, shard string, self Owner, log *slog.Logger) (*Tenure, func(), error) {
	value, err := cbor.Marshal(self)
	if err != nil {
		return nil, nil, fmt.Errorf("store: encode owner: %w", err)
	}
	requestedAt := timeSinceBoot()
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	leaseID, ttl, err := client.GrantLease(call, LeaseTime)
	if err != nil {
		return nil, nil, fmt.Errorf("store: lease for shard %s: %w", shard, err)
	}
	result, err := client.Commit(call, Txn{
		Expect: map[string]int64{OwnerKey(shard): 0},
		Puts: []Put{{
			Key:   OwnerKey(shard),
			Value: value,
			Lease: leaseID,
		}},
	})
	if err != nil || !result.Done {
		// The lease is ended so that a claim with a lost answer cannot win later.
		endLease(client, leaseID, log)
		if err == nil {
			err = ErrNotDone
		}
		return nil, nil, fmt.Errorf("store: claim shard %s: %w", shard, err)
	}
	termCtx, cancelTerm := context.WithCancelCause(context.WithoutCancel(ctx))
	t := &Tenure{
		client:  client,
		shard:   shard,
		token:   result.Revision,
		leaseID: leaseID,
		ctx:     termCtx,
		cancel:  cancelTerm,
		log:     log,
	}
	t.leaseExpiry.Store(int64(requestedAt + ttl))
	go t.renewLoop()
	return t, t.Release, nil
}

func endLease(client Client, leaseID int64, log *slog.Logger) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	if err := client.EndLease(ctx, leaseID); err != nil {
		log.Warn("leaseNotEnded", "lease", leaseID, "error", err)
	}
}

// Token returns the tenure's fencing token, higher than that of any before.
func (t *Tenure) Token() int64 {
	return t.token
}

// Context ends with the tenure.
func (t *Tenure) Context() context.Context {
	return t.ctx
}

// Remaining returns how long the lease certainly lasts; negative after its end.
func (t *Tenure) Remaining() time.Duration {
	return time.Duration(t.leaseExpiry.Load()) - timeSinceBoot()
}

// Release ends the tenure and tells the store, so that a successor need not
// wait.
func (t *Tenure) Release() {
	if t.ctx.Err() == nil {
		t.cancel(context.Canceled)
	}
	endLease(t.client, t.leaseID, t.log)
}

// Depose ends the tenure with the reason.
func (t *Tenure) Depose(reason error) {
	t.cancel(errors.Join(ErrRevoked, reason))
}

// renewLoop starts a renewal every interval, whether or not the one before has been
// answered, so that one lost or slow answer does not cost the lease.
func (t *Tenure) renewLoop() {
	for t.ctx.Err() == nil {
		go t.renewOnce()
		sleep(t.ctx, renewInterval)
	}
}

func (t *Tenure) renewOnce() {
	requestedAt := timeSinceBoot()
	ctx, cancel := context.WithTimeout(t.ctx, renewTimeout)
	defer cancel()
	err := t.client.RenewLease(ctx, t.leaseID)
	switch {
	case err == nil:
		t.extendLease(int64(requestedAt + LeaseTime))
		if t.renewalsFailing.CompareAndSwap(true, false) {
			t.log.Info("renewalsRegained", "shard", t.shard)
		}
	case errors.Is(err, ErrNotFound):
		t.Depose(fmt.Errorf("lease %d has ended", t.leaseID))
	case t.ctx.Err() == nil && t.renewalsFailing.CompareAndSwap(false, true):
		t.log.Warn("renewalsFail", "shard", t.shard, "remaining", t.Remaining(), "error", err)
	}
}

// extendLease moves the lease's end forward, never back.
func (t *Tenure) extendLease(expiry int64) {
	for {
		current := t.leaseExpiry.Load()
		if expiry <= current || t.leaseExpiry.CompareAndSwap(current, expiry) {
			return
		}
	}
}
