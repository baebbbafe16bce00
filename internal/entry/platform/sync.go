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
	// watchWait is how long a watch waits for a change.
	watchWait = 5 * time.Second
	// relistEvery is the least interval of whole reads, which find what a watch
	// that was dropped silently has missed; it grows with the agreement, up to
	// maxRelist, so that whole reads cost at most relistRate bytes a second.
	relistEvery = 3 * time.Second
	maxRelist   = time.Minute
	relistRate  = 4 << 10
	// retryPause is the wait after a failed call.
	retryPause = 300 * time.Millisecond
)

// Sync keeps a registry current from the store, and the directory of VMs.
// Create it with NewSync.
type Sync struct {
	store     platform.Store
	directory platform.Directory
	registry  *Registry
	poll      time.Duration
	log       *slog.Logger

	reachable atomic.Bool
	lastHeard atomic.Int64

	mu  sync.Mutex
	vms map[string]listed
}

// listed is a VM with the time since which the directory no longer lists it.
type listed struct {
	vm      platform.VM
	missing time.Time
}

// NewSync returns a synchronizer of the registry that reads the directory at
// the poll interval.
func NewSync(store platform.Store, directory platform.Directory, registry *Registry, poll time.Duration, log *slog.Logger) *Sync {
	return &Sync{
		store:     store,
		directory: directory,
		registry:  registry,
		poll:      poll,
		log:       log,
		vms:       map[string]listed{},
	}
}

// Reachable reports whether the store answered the last call.
func (s *Sync) Reachable() bool {
	return s.reachable.Load()
}

// Heard returns when the store answered last.
func (s *Sync) Heard() time.Time {
	return time.UnixMilli(s.lastHeard.Load())
}

func (s *Sync) note(step string, err error) {
	if err == nil {
		s.lastHeard.Store(time.Now().UnixMilli())
	}
	if was := s.reachable.Swap(err == nil); was != (err == nil) {
		s.log.Info("store reachability changed", "step", step, "reachable", err == nil, "error", err)
	}
}

// Run watches the store and the directory until the context ends.
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
		s.note("watch", err)
		if err != nil {
			sleep(ctx, retryPause)
			continue
		}
		s.registry.Apply(listing.Entries...)
		after = listing.Revision
	}
}

func (s *Sync) relist(ctx context.Context) {
	for ctx.Err() == nil {
		listing, err := s.store.List(ctx, operator.ConfigPrefix)
		s.note("list", err)
		if err != nil {
			sleep(ctx, retryPause)
			continue
		}
		s.registry.Apply(listing.Entries...)
		sleep(ctx, relistAfter(listing))
	}
}

// relistAfter returns the wait after a whole read of the listing.
func relistAfter(listing platform.Listing) time.Duration {
	bytes := 0
	for _, entry := range listing.Entries {
		bytes += len(entry.Key) + len(entry.Value)
	}
	earned := time.Duration(bytes) * time.Second / relistRate
	return min(maxRelist, max(relistEvery, earned))
}

func (s *Sync) pollDirectory(ctx context.Context) {
	for ctx.Err() == nil {
		vms, err := s.directory.VMs(ctx)
		if err != nil {
			s.log.Debug("directory failed", "step", "list VMs", "error", err)
			sleep(ctx, retryPause)
			continue
		}
		s.SetVMs(vms, time.Now())
		sleep(ctx, s.poll)
	}
}

// SetVMs takes a new list of the directory. A VM that it no longer has is kept
// as missing since then.
func (s *Sync) SetVMs(vms []platform.VM, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	present := make(map[string]bool, len(vms))
	for _, vm := range vms {
		present[vm.Name] = true
		s.vms[vm.Name] = listed{vm: vm}
	}
	for name, known := range s.vms {
		if !present[name] && known.missing.IsZero() {
			known.missing = now
			s.vms[name] = known
		}
	}
}

// Machine is a VM as the directory told last.
type Machine struct {
	VM platform.VM
	// Missing is since when the directory no longer has it; zero if it has.
	Missing time.Time
}

// Machines returns the VMs that the directory has, and those it had.
func (s *Sync) Machines() []Machine {
	s.mu.Lock()
	defer s.mu.Unlock()
	machines := make([]Machine, 0, len(s.vms))
	for _, known := range s.vms {
		machines = append(machines, Machine{
			VM:      known.vm,
			Missing: known.missing,
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
