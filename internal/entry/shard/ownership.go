package shard

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/citronbay/citronbay/internal/entry/peer"
	"github.com/citronbay/citronbay/internal/entry/upstream"
)

// reconcileInterval is how often the entry checks whether it should own its shard.
const reconcileInterval = 150 * time.Millisecond

// Ownership starts and stops the shard of the entry's failure domain, depending
// on whether this entry should own it according to the membership. Create it
// with NewOwnership.
type Ownership struct {
	options    upstream.Options
	membership *peer.Membership
	log        *slog.Logger

	// mu guards the fields below. running is nil if there is no shard or it has
	// been told to stop. done is closed when a stopped shard has released its
	// leases; no new shard starts before done is nil again.
	mu       sync.Mutex
	running  *upstream.Shard
	cancel   context.CancelFunc
	done     chan struct{}
	draining bool
}

// NewOwnership returns an Ownership without a running shard.
func NewOwnership(options upstream.Options, membership *peer.Membership) *Ownership {
	return &Ownership{
		options:    options,
		membership: membership,
		log:        options.Log,
	}
}

// OwnedShard returns the running shard if it holds the lease of at least one
// upstream, and nil otherwise.
func (o *Ownership) OwnedShard() *upstream.Shard {
	if shard := o.runningShard(); shard != nil && shard.HeldLeases() > 0 {
		return shard
	}
	return nil
}

// runningShard returns the running shard, whether or not it holds leases, or nil.
func (o *Ownership) runningShard() *upstream.Shard {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.running
}

// Draining reports whether Drain has been called.
func (o *Ownership) Draining() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.draining
}

// Drain stops the shard and returns when it has saved its jobs and released its
// leases. The shard is not started again.
func (o *Ownership) Drain() {
	o.mu.Lock()
	o.draining = true
	done := o.stopShard()
	o.mu.Unlock()
	if done != nil {
		<-done
	}
}

// Run starts and stops the shard as needed until the context ends, then drains.
func (o *Ownership) Run(ctx context.Context) {
	ticker := time.NewTicker(reconcileInterval)
	defer ticker.Stop()
	for {
		o.reconcile(ctx)
		select {
		case <-ctx.Done():
			o.Drain()
			return
		case <-ticker.C:
		}
	}
}

// reconcile starts or stops the shard as the membership decides. It also stops a
// shard that another owner has superseded or that is in a minority partition.
func (o *Ownership) reconcile(ctx context.Context) {
	shard := o.runningShard()
	leases := 0
	if shard != nil {
		leases = shard.HeldLeases()
	}
	shouldOwn := o.membership.WarmedUp() && o.membership.ShouldOwn(leases)
	if shard != nil && (shard.Superseded() || shard.InMinorityPartition()) {
		o.log.Warn("stepping down", "shard", o.options.Name, "superseded", shard.Superseded())
		shouldOwn = false
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case o.draining:
	case shouldOwn && o.running == nil && o.done == nil:
		o.startShard(ctx)
	case !shouldOwn && o.running != nil:
		o.stopShard()
	}
}

func (o *Ownership) startShard(ctx context.Context) {
	shard := upstream.NewShard(o.options)
	// The shard runs until stopShard is called, even if the parent context ends.
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	done := make(chan struct{})
	o.running = shard
	o.cancel = cancel
	o.done = done
	go func() {
		shard.Run(ctx)
		close(done)
		o.mu.Lock()
		defer o.mu.Unlock()
		o.done = nil
	}()
}

// stopShard stops the running shard, if any. The returned channel is closed when
// its leases are released; it is nil if there is nothing to wait for. The caller
// holds mu.
func (o *Ownership) stopShard() <-chan struct{} {
	if o.running == nil {
		return o.done
	}
	o.running = nil
	o.cancel()
	return o.done
}
