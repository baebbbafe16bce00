package upstream

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/citronbay/citronbay/internal/api/operator"
	apiplatform "github.com/citronbay/citronbay/internal/api/platform"
	"github.com/citronbay/citronbay/internal/api/upstream"
	"github.com/citronbay/citronbay/internal/decide/task"
	"github.com/citronbay/citronbay/internal/decide/team"
	"github.com/citronbay/citronbay/internal/decide/worker"
	"github.com/citronbay/citronbay/internal/entry/platform"
	"github.com/citronbay/citronbay/internal/entry/settings"
)

// superviseInterval is the interval at which the shard checks the directory,
// its leases and its limits.
const superviseInterval = 200 * time.Millisecond

// Options are the settings and dependencies of a shard.
type Options struct {
	// Name is the name of the shard, which is that of its failure domain.
	Name string
	// Holder identifies the entry and its incarnation as the holder of the
	// upstreams' leases.
	Holder string
	// Entry is the name of the entry, given in answers and reports.
	Entry    string
	Timings  settings.Timings
	Store    apiplatform.Store
	Sync     *platform.Sync
	Registry *platform.Registry
	Peers    Peers
	Log      *slog.Logger
}

// Peers provides what a shard needs to know of the other entries.
type Peers interface {
	// UnitDemand returns, by team and shard, how many more units the other
	// shards could use.
	UnitDemand() map[string]map[string]int64
	// AllDomainPeersDown reports whether the failure domain has other entries and
	// none of them is alive.
	AllDomainPeersDown() bool
}

// Shard owns the upstreams of one failure domain for one term of ownership.
// Use NewShard to create one, and Run to operate it.
type Shard struct {
	Options
	holder string
	// ownership identifies the term of ownership. The holder may be the same in several.
	ownership string
	timings   settings.Timings
	journal   *platform.Journal

	// mu guards the fields below and, unless stated otherwise, those of links and
	// jobs. Methods that use these without locking mu are called with mu held.
	mu      sync.Mutex
	created time.Time
	// placementStopped is set once the shard no longer accepts or places work,
	// because its context has ended or another owner has taken over.
	placementStopped bool
	// superseded is set once another owner has taken over, so that what this
	// one knows of jobs and tasks may be out of date.
	superseded bool
	// links holds the links by the name of the upstream.
	links        map[string]*link
	runners      *worker.Fleet[worker.LeastLoaded]
	workers      *worker.Fleet[worker.BestFit]
	requestQueue *task.Queue[*waitingRequest]
	taskQueue    *task.Queue[*job]
	ledger       *team.Ledger
	jobs         map[string]*job
	// sharedRequests holds requests by team and request id.
	sharedRequests map[string]*sharedRequest
	units          unitsState
	reservation    reservation
	preemption     preemption
	// jobsRead is set once the jobs that an earlier owner left have been read.
	jobsRead    bool
	flushSignal chan struct{}
	unitsSignal chan struct{}
}

// NewShard returns a shard that holds no lease yet.
func NewShard(options Options) *Shard {
	return &Shard{
		Options:        options,
		holder:         options.Holder,
		ownership:      options.Holder + "/" + uuid.NewString(),
		timings:        options.Timings,
		journal:        platform.NewJournal(options.Store),
		created:        time.Now(),
		links:          map[string]*link{},
		runners:        worker.NewFleet(worker.LeastLoaded{}),
		workers:        worker.NewFleet(worker.BestFit{}),
		requestQueue:   task.NewQueue[*waitingRequest](),
		taskQueue:      task.NewQueue[*job](),
		ledger:         team.NewLedger(),
		jobs:           map[string]*job{},
		sharedRequests: map[string]*sharedRequest{},
		units:          newUnitsState(),
		flushSignal:    make(chan struct{}, 1),
		unitsSignal:    make(chan struct{}, 1),
	}
}

// Run operates the shard until the context ends. It then saves the changed jobs and
// releases every lease, so that the next owner need not wait until the leases
// expire. It must be called once.
func (s *Shard) Run(ctx context.Context) {
	s.Log.Info("shard taken", "shard", s.Name)
	// The leases are renewed until the jobs are saved.
	linkCtx, stopLinks := context.WithCancel(context.WithoutCancel(ctx))
	var loops sync.WaitGroup
	loops.Go(func() { s.readJobs(ctx) })
	loops.Go(func() { s.flushLoop(ctx) })
	loops.Go(func() { s.unitsLoop(ctx) })
	loops.Go(func() { s.superviseLoop(ctx, linkCtx) })
	<-ctx.Done()
	s.stopPlacement()
	loops.Wait()
	s.flush(context.WithoutCancel(ctx))
	s.releaseLeases()
	stopLinks()
	s.Log.Info("shard released", "shard", s.Name)
}

// superviseLoop calls refresh at each interval, for changes of the directory
// and for conditions that depend on elapsed time.
func (s *Shard) superviseLoop(ctx, linkCtx context.Context) {
	ticker := time.NewTicker(superviseInterval)
	defer ticker.Stop()
	for {
		s.refresh(linkCtx, s.Sync.Machines(), time.Now())
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// refresh updates the links from the directory and the limits from the registry,
// handles what depends on elapsed time, and places waiting work.
func (s *Shard) refresh(linkCtx context.Context, machines []platform.Machine, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, machine := range machines {
		if machine.VM.IsUpstream() && machine.VM.Domain == s.Name {
			s.updateLink(linkCtx, machine)
		}
	}
	for _, l := range s.links {
		s.updateReconciled(l, now)
		s.updateOpen(l, now)
		if !l.missingSince.IsZero() && len(l.runs) == 0 && !l.leaseValid(now) && l.reconciled {
			s.removeLink(l)
		}
	}
	s.applyLimits()
	s.adoptJobs()
	if !s.placementStopped {
		s.expireJobs(now)
		s.evictServices()
		s.preempt(now)
	}
	s.placeWaiting()
}

// updateLink creates the link to a new upstream, or updates what the directory
// says of a known one. A link whose upstream has a new address is replaced
// once nothing runs there.
func (s *Shard) updateLink(linkCtx context.Context, machine platform.Machine) {
	l, ok := s.links[machine.VM.Name]
	if ok && l.vm.Address != machine.VM.Address && len(l.runs) == 0 {
		s.removeLink(l)
		ok = false
	}
	leaving := machine.VM.State == apiplatform.StateLeaving || slices.Contains(s.Registry.Cell().Drained, machine.VM.Name)
	if ok {
		l.leaving = leaving
		l.missingSince = machine.MissingSince
		return
	}
	if !machine.MissingSince.IsZero() {
		return
	}
	client, closeClient := upstream.NewClient(machine.VM.Name, machine.VM.Address, maxConnections)
	ctx, cancel := context.WithCancel(linkCtx)
	l = &link{
		shard:   s,
		client:  client,
		close:   closeClient,
		cancel:  cancel,
		vm:      machine.VM,
		leaving: leaving,
		clock:   newRemoteClock(),
		created: time.Now(),
		runs:    map[string]*run{},
	}
	s.links[machine.VM.Name] = l
	go l.maintainLease(ctx)
}

func (s *Shard) removeLink(l *link) {
	l.cancel()
	l.close()
	delete(s.links, l.vm.Name)
	s.fleetOf(l).Remove(l.vm.Name)
}

// fleet has the methods that the fleets of the runners and the workers share.
type fleet interface {
	Put(worker.Machine)
	Remove(string)
	SetOpen(string, bool)
	Use(string, upstream.Resources)
	Free(string, upstream.Resources)
	Used(string) (upstream.Resources, int)
}

func (s *Shard) fleetOf(l *link) fleet {
	if l.vm.Role == apiplatform.RoleRunner {
		return s.runners
	}
	return s.workers
}

// addRun counts a run in capacity and units.
func (s *Shard) addRun(r *run) {
	r.link.runs[r.id] = r
	s.ledger.Add(r.team, r.size)
	s.fleetOf(r.link).Use(r.link.vm.Name, r.size)
}

// addPlacedRun counts a run in units. Its placement in the fleet has already
// counted it in capacity.
func (s *Shard) addPlacedRun(r *run) {
	r.link.runs[r.id] = r
	s.ledger.Add(r.team, r.size)
}

// removeRun stops counting a run and reports whether it was counted.
func (s *Shard) removeRun(r *run) bool {
	if r.link.runs[r.id] != r {
		return false
	}
	delete(r.link.runs, r.id)
	s.ledger.Remove(r.team, r.size)
	s.fleetOf(r.link).Free(r.link.vm.Name, r.size)
	return true
}

// markLost stops counting a run that has certainly stopped, or never begun, and
// whose result is not known.
func (s *Shard) markLost(r *run, reason string) {
	if !s.removeRun(r) {
		return
	}
	close(r.lost)
	if r.job != "" {
		s.handleTaskLost(r, reason)
	}
}

// stopPlacement stops accepting and placing work, and rejects waiting requests,
// so that they are sent to another owner. The leases are kept.
func (s *Shard) stopPlacement() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.placementStopped = true
	s.rejectWaitingRequests(reasonHandover)
	for _, l := range s.links {
		s.updateOpen(l, time.Now())
	}
}

// releaseLeases releases every lease that is held. A failed call is ignored,
// since the lease then expires.
func (s *Shard) releaseLeases() {
	s.mu.Lock()
	links := make([]*link, 0, len(s.links))
	epochs := make(map[*link]int64, len(s.links))
	for _, l := range s.links {
		links = append(links, l)
		epochs[l] = l.epoch
		l.cancel()
		l.epoch = 0
	}
	s.mu.Unlock()
	var calls sync.WaitGroup
	for _, l := range links {
		if epochs[l] == 0 {
			continue
		}
		calls.Go(func() {
			_, _ = l.call(context.Background(), 0, upstream.LeaseRequest{
				Holder:  s.holder,
				Epoch:   epochs[l],
				Release: true,
			})
		})
	}
	calls.Wait()
}

// applyLimits sets the ledger's limits from the units and caps in the registry. A
// team's limit is zero until all links are reconciled and, while the store can be
// reached, until this owner has written its term into the team's units.
func (s *Shard) applyLimits() {
	storeUnreachable := !s.Sync.Reachable()
	shardCount := s.shardCount()
	for name, t := range s.Registry.Teams() {
		units := s.Registry.Units(name)
		limit := team.Limit(units, s.Name, teamCap(t), shardCount)
		if !s.allReconciled() || !(storeUnreachable || units.Terms[s.Name] == s.units.term) {
			limit = 0
		}
		s.ledger.SetLimit(name, limit, t.Share)
	}
}

// Status returns the state of the shard as its owner knows it.
func (s *Shard) Status() operator.ShardStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	status := operator.ShardStatus{
		Shard:   s.Name,
		Owner:   s.Entry,
		Waiting: s.requestQueue.Len() + s.taskQueue.Tasks(),
		Jobs:    len(s.jobs),
	}
	for _, l := range s.links {
		used, running := s.fleetOf(l).Used(l.vm.Name)
		status.Running += running
		status.Upstreams = append(status.Upstreams, operator.UpstreamStatus{
			VM:      l.vm,
			Owner:   s.Entry,
			Leased:  l.leaseValid(now),
			Leaving: l.isLeaving(),
			Suspect: now.Before(l.suspectUntil),
			Running: running,
			Used:    usageText(used, l.capacity),
		})
	}
	for _, name := range s.ledger.Teams() {
		status.Teams = append(status.Teams, operator.TeamUsage{
			Team:    name,
			Limit:   s.ledger.EffectiveLimit(name),
			Running: s.ledger.Running(name),
			Waiting: s.waitingCount(name),
		})
	}
	return status
}

func usageText(used, capacity upstream.Resources) string {
	if capacity.Slots > 0 {
		return fmt.Sprintf("%d/%d slots", used.Slots, capacity.Slots)
	}
	return fmt.Sprintf("%.1f/%.1f processors, %d/%d MiB, %d/%d accelerators",
		float64(used.MilliProcessors)/1000, float64(capacity.MilliProcessors)/1000,
		used.MemoryBytes>>20, capacity.MemoryBytes>>20,
		used.Accelerators, capacity.Accelerators)
}
