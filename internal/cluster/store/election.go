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
	// OwnershipLeaseTime is the duration of the ownership lease without renewal. A
	// successor waits up to this long after the owner crashes.
	OwnershipLeaseTime = 1200 * time.Millisecond
	// renewInterval is the time between renewals; four fit into a lease.
	renewInterval = 300 * time.Millisecond
	// failingRenewInterval is the same while renewals fail, since work waits for the first that
	// succeeds, and maxRenewalsInFlight bounds those without an answer.
	failingRenewInterval = 100 * time.Millisecond
	maxRenewalsInFlight  = 4
	// renewTimeout bounds a renewal; after a later response the lease would be about
	// to expire.
	renewTimeout = time.Second
	// callTimeout bounds one call. It leaves room for a store fifty times slower than
	// its normal 4 ms.
	callTimeout = time.Second
	// retryDelay is the delay between attempts while calls to the store fail. The
	// journal repeats a write in flight after a quarter of it.
	retryDelay = 100 * time.Millisecond
)

// Owner is the store's record of a shard's owner.
type Owner struct {
	Node        string `cbor:"1,keyasint"`
	Incarnation string `cbor:"2,keyasint"`
	Address     string `cbor:"3,keyasint"`
	// Token is the fencing token of the term of ownership: the revision at which the
	// key was created. It is not part of the stored value.
	Token int64 `cbor:"-"`
	// Lease is the ID of the lease that the key is attached to. It is not part of
	// the stored value.
	Lease int64 `cbor:"-"`
}

// DecodeOwner decodes the owner from the item at OwnerKey. It returns an error if
// the value is malformed.
func DecodeOwner(item Item) (Owner, error) {
	var o Owner
	if err := cbor.Unmarshal(item.Value, &o); err != nil {
		return o, fmt.Errorf("store: decode owner: %w", err)
	}
	o.Token = item.CreateRevision
	o.Lease = item.Lease
	return o, nil
}

// Term is the period in which this process owns one shard. It ends when the context
// returned by Context is cancelled. Create it with Claim.
type Term struct {
	client          Client
	shard           string
	token           int64
	leaseID         int64
	leaseExpiry     atomic.Int64 // in nanoseconds since boot
	renewalsFailing atomic.Bool
	ctx             context.Context
	cancel          context.CancelCauseFunc
	log             *slog.Logger
}

// ErrRevoked is wrapped by the cause of the term's context if the term ended other than
// by Release, for instance because its lease no longer exists or another process has
// become the owner.
var ErrRevoked = errors.New("store: no longer the owner")

// OwnerKey returns the key under which the shard's owner is stored.
func OwnerKey(shard string) string {
	return "citronbay/" + shard + "/owner"
}

// Claim tries to become the owner of the shard and, if that succeeds, keeps renewing
// the lease until the term ends. It returns an error that wraps ErrNotApplied if another
// process is the owner, and otherwise the error of the call that failed, which may wrap
// ErrNotApplied too. The context bounds only the claim, not the term. The returned
// function is the term's Release.
func Claim(ctx context.Context, client Client, shard string, self Owner, log *slog.Logger) (*Term, func(), error) {
	value, err := cbor.Marshal(self)
	if err != nil {
		return nil, nil, fmt.Errorf("store: encode owner: %w", err)
	}
	requestedAt := timeSinceBoot()
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	leaseID, ttl, err := client.GrantLease(callCtx, OwnershipLeaseTime)
	if err != nil {
		return nil, nil, fmt.Errorf("store: grant lease for shard %s: %w", shard, err)
	}
	result, err := client.Commit(callCtx, Txn{
		Expect: map[string]int64{OwnerKey(shard): 0},
		Puts: []Put{{
			Key:   OwnerKey(shard),
			Value: value,
			Lease: leaseID,
		}},
	})
	if err != nil || !result.Applied {
		// A claim whose response was lost may have taken effect or still do so;
		// without its lease it is void.
		endLease(client, leaseID, log)
		if err == nil {
			err = ErrNotApplied
		}
		return nil, nil, fmt.Errorf("store: claim shard %s: %w", shard, err)
	}
	termCtx, cancelTerm := context.WithCancelCause(context.WithoutCancel(ctx))
	t := &Term{
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

// Token returns the fencing token, which is higher than those of all earlier terms.
func (t *Term) Token() int64 {
	return t.token
}

// Context returns a context that is cancelled when the term ends.
func (t *Term) Context() context.Context {
	return t.ctx
}

// Remaining returns the time for which the lease is still guaranteed to hold. It is
// negative once that time has passed.
func (t *Term) Remaining() time.Duration {
	return time.Duration(t.leaseExpiry.Load()) - timeSinceBoot()
}

// Confirm reads from the store whether this process is still the owner. If it is not, Confirm
// ends the term and returns an error that wraps ErrRevoked.
func (t *Term) Confirm() error {
	ctx, cancel := context.WithTimeout(t.ctx, callTimeout)
	defer cancel()
	item, err := t.client.Get(ctx, OwnerKey(t.shard))
	switch {
	case t.ctx.Err() != nil:
		return context.Cause(t.ctx)
	case errors.Is(err, ErrNotFound), err == nil && item.CreateRevision != t.token:
		t.Revoke(fmt.Errorf("the store has another owner than that with token %d", t.token))
		return context.Cause(t.ctx)
	case err != nil:
		return fmt.Errorf("store: confirm ownership of shard %s: %w", t.shard, err)
	}
	return nil
}

// Release ends the term and its lease, so that a successor can claim the shard at
// once. If the call to the store fails, the lease expires instead.
func (t *Term) Release() {
	if t.ctx.Err() == nil {
		t.cancel(context.Canceled)
	}
	endLease(t.client, t.leaseID, t.log)
}

// Revoke ends the term with ErrRevoked and the reason as its cause. It does not end
// the lease, which expires without further renewals.
func (t *Term) Revoke(reason error) {
	t.cancel(errors.Join(ErrRevoked, reason))
}

// renewLoop starts a renewal every renewInterval without waiting for the response to
// the previous one, so that one lost or slow response does not cost the lease. With
// maxRenewalsInFlight without a response it starts the next one as soon as one of them ends: in
// steps of an interval they would come to end together, with a longer wait until the next ones.
func (t *Term) renewLoop() {
	inFlight := make(chan struct{}, maxRenewalsInFlight)
	for {
		select {
		case inFlight <- struct{}{}:
		case <-t.ctx.Done():
			return
		}
		go func() {
			t.renewOnce()
			<-inFlight
		}()
		interval := renewInterval
		if t.renewalsFailing.Load() {
			interval = failingRenewInterval
		}
		sleep(t.ctx, interval)
	}
}

func (t *Term) renewOnce() {
	requestedAt := timeSinceBoot()
	ctx, cancel := context.WithTimeout(t.ctx, renewTimeout)
	defer cancel()
	err := t.client.RenewLease(ctx, t.leaseID)
	switch {
	case err == nil:
		t.extendLease(int64(requestedAt + OwnershipLeaseTime))
		if t.renewalsFailing.CompareAndSwap(true, false) {
			t.log.Info("renewalsRegained", "shard", t.shard)
		}
	case errors.Is(err, ErrNotFound):
		t.Revoke(fmt.Errorf("lease %d no longer exists", t.leaseID))
	case t.ctx.Err() == nil && t.renewalsFailing.CompareAndSwap(false, true):
		t.log.Warn("renewalsFail", "shard", t.shard, "remaining", t.Remaining(), "error", err)
	}
}

// extendLease moves leaseExpiry to the expiry, in nanoseconds since boot, but never back:
// renewals may complete out of order.
func (t *Term) extendLease(expiry int64) {
	for {
		current := t.leaseExpiry.Load()
		if expiry <= current || t.leaseExpiry.CompareAndSwap(current, expiry) {
			return
		}
	}
}
