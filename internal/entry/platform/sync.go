package platform

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/citronbay/citronbay/internal/api/operator"
	"github.com/citronbay/citronbay/internal/api/platform"
)

const (
	// watchWait is how long one watch call waits for a change at most.
	watchWait = 5 * time.Second
	// minRelistInterval is the shortest interval between full reads of the
	// agreement, which find changes missed by a watch that was dropped silently.
	// Up to maxRelistInterval, the interval grows with the agreement's size so
	// that full reads transfer at most relistBytesPerSecond.
	minRelistInterval    = 3 * time.Second
	maxRelistInterval    = time.Minute
	relistBytesPerSecond = 4 << 10
	// retryDelay is the wait before a failed call is repeated.
	retryDelay = 300 * time.Millisecond
)

// Sync updates a registry from the store and keeps a copy of the directory of VMs.
// Create it with NewSync.
type Sync struct {
	store        platform.Store
	directory    platform.Directory
	registry     *Registry
	pollInterval time.Duration
	log          *slog.Logger

	reachable          atomic.Bool
	lastResponseMillis atomic.Int64

	mu  sync.Mutex
	vms map[string]knownVM
}

// knownVM is a VM that the directory lists or has listed; missingSince is zero while
// it is listed.
type knownVM struct {
	vm           platform.VM
	missingSince time.Time
}

// NewSync returns a Sync that updates the registry from the store and reads the
// directory every pollInterval.
func NewSync(store platform.Store, directory platform.Directory, registry *Registry, pollInterval time.Duration, log *slog.Logger) *Sync {
	return &Sync{
		store:        store,
		directory:    directory,
		registry:     registry,
		pollInterval: pollInterval,
		log:          log,
		vms:          map[string]knownVM{},
	}
}

// Reachable reports whether the last watch or list call to the store succeeded.
func (s *Sync) Reachable() bool {
	return s.reachable.Load()
}

// LastResponseTime returns the time, in whole milliseconds, of the store's last
// successful response to a watch or list call, or the Unix epoch if there was none.
func (s *Sync) LastResponseTime() time.Time {
	return time.UnixMilli(s.lastResponseMillis.Load())
}

func (s *Sync) recordStoreResult(step string, err error) {
	if err == nil {
		s.lastResponseMillis.Store(time.Now().UnixMilli())
	}
	if wasReachable := s.reachable.Swap(err == nil); wasReachable != (err == nil) {
		s.log.Info("store reachability changed", "step", step, "reachable", err == nil, "error", err)
	}
}

// Run watches the store and polls the directory until the context ends.
func (s *Sync) Run(ctx context.Context) {
	var loops sync.WaitGroup
	loops.Go(func() { s.watchStore(ctx) })
	loops.Go(func() { s.relist(ctx) })
	loops.Go(func() { s.pollDirectory(ctx) })
	loops.Wait()
}

func (s *Sync) watchStore(ctx context.Context) {
	var after int64
	for ctx.Err() == nil {
		listing, err := s.store.Watch(ctx, operator.ConfigPrefix, after, watchWait)
		s.recordStoreResult("watch", err)
		if err != nil {
			sleep(ctx, retryDelay)
			continue
		}
		s.registry.Apply(listing.KeyValues...)
		after = listing.Revision
	}
}

func (s *Sync) relist(ctx context.Context) {
	for ctx.Err() == nil {
		listing, err := s.store.List(ctx, operator.ConfigPrefix)
		s.recordStoreResult("list", err)
		if err != nil {
			sleep(ctx, retryDelay)
			continue
		}
		s.registry.Apply(listing.KeyValues...)
		sleep(ctx, relistInterval(listing))
	}
}

// relistInterval returns the wait after a full read that returned the listing.
func relistInterval(listing platform.Listing) time.Duration {
	listingBytes := 0
	for _, kv := range listing.KeyValues {
		listingBytes += len(kv.Key) + len(kv.Value)
	}
	rateInterval := time.Duration(listingBytes) * time.Second / relistBytesPerSecond
	return min(maxRelistInterval, max(minRelistInterval, rateInterval))
}

func (s *Sync) pollDirectory(ctx context.Context) {
	for ctx.Err() == nil {
		vms, err := s.directory.VMs(ctx)
		if err != nil {
			s.log.Debug("directory poll failed", "step", "list VMs", "error", err)
			sleep(ctx, retryDelay)
			continue
		}
		s.SetVMs(vms, time.Now())
		sleep(ctx, s.pollInterval)
	}
}

// SetVMs replaces the list of VMs by that which the directory returned at the time
// now. A VM that is no longer listed is kept and marked as missing since the time of
// the first list without it.
func (s *Sync) SetVMs(vms []platform.VM, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	present := make(map[string]bool, len(vms))
	for _, vm := range vms {
		present[vm.Name] = true
		s.vms[vm.Name] = knownVM{vm: vm}
	}
	for name, known := range s.vms {
		if !present[name] && known.missingSince.IsZero() {
			known.missingSince = now
			s.vms[name] = known
		}
	}
}

// Machine is a VM as last listed by the directory.
type Machine struct {
	VM platform.VM
	// MissingSince is the time since which the directory no longer lists the VM; zero
	// while it does.
	MissingSince time.Time
}

// Machines returns the VMs that the directory lists, and those that it listed
// before, in no order.
func (s *Sync) Machines() []Machine {
	s.mu.Lock()
	defer s.mu.Unlock()
	machines := make([]Machine, 0, len(s.vms))
	for _, known := range s.vms {
		machines = append(machines, Machine{
			VM:           known.vm,
			MissingSince: known.missingSince,
		})
	}
	return machines
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
