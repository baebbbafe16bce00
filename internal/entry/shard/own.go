package shard

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/citronbay/citronbay/internal/entry/peer"
	"github.com/citronbay/citronbay/internal/entry/upstream"
)

// ownEvery is the interval at which ownership is decided anew.
const ownEvery = 150 * time.Millisecond

// Keeper takes up and gives up the ownership of the entry's shard as the
// membership decides. Create it with NewKeeper.
type Keeper struct {
	options    upstream.Options
	membership *peer.Membership
	log        *slog.Logger

	mu       sync.Mutex
	owned    *upstream.Shard
	stop     context.CancelFunc
	done     chan struct{}
	draining bool
}

// NewKeeper returns a keeper that owns nothing yet.
func NewKeeper(options upstream.Options, membership *peer.Membership) *Keeper {
	return &Keeper{
		options:    options,
		membership: membership,
		log:        options.Log,
	}
}

// Owned returns the shard owned now, or nil; it holds at least one lease.
func (k *Keeper) Owned() *upstream.Shard {
	if taken := k.taken(); taken != nil && taken.Held() > 0 {
		return taken
	}
	return nil
}

// taken returns the shard that the entry owns or tries to.
func (k *Keeper) taken() *upstream.Shard {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.owned
}

// Draining reports whether the entry is shutting down.
func (k *Keeper) Draining() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.draining
}

// Drain gives up the shard for good and returns when its leases are released.
func (k *Keeper) Drain() {
	k.mu.Lock()
	k.draining = true
	done := k.giveUp()
	k.mu.Unlock()
	if done != nil {
		<-done
	}
}

// Run decides until the context ends.
func (k *Keeper) Run(ctx context.Context) {
	ticker := time.NewTicker(ownEvery)
	defer ticker.Stop()
	for {
		k.decide(ctx)
		select {
		case <-ctx.Done():
			k.Drain()
			return
		case <-ticker.C:
		}
	}
}

func (k *Keeper) decide(ctx context.Context) {
	taken := k.taken()
	held := 0
	if taken != nil {
		held = taken.Held()
	}
	should := k.membership.Warm() && k.membership.ShouldOwn(held)
	if taken != nil && (taken.Superseded() || taken.Isolated()) {
		k.log.Warn("stepping down", "shard", k.options.Name, "superseded", taken.Superseded())
		should = false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	switch {
	case k.draining:
	case should && k.owned == nil && k.done == nil:
		k.takeUp(ctx)
	case !should && k.owned != nil:
		k.giveUp()
	}
}

func (k *Keeper) takeUp(ctx context.Context) {
	shard := upstream.NewShard(k.options)
	ctx, stop := context.WithCancel(context.WithoutCancel(ctx))
	done := make(chan struct{})
	k.owned = shard
	k.stop = stop
	k.done = done
	go func() {
		shard.Run(ctx)
		close(done)
		k.mu.Lock()
		defer k.mu.Unlock()
		k.done = nil
	}()
}

// giveUp ends the ownership; the channel closes when the leases are released.
func (k *Keeper) giveUp() <-chan struct{} {
	if k.owned == nil {
		return k.done
	}
	k.owned = nil
	k.stop()
	return k.done
}
