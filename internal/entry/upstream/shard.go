package upstream

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/citronbay/citronbay/internal/api/operator"
	apiplatform "github.com/citronbay/citronbay/internal/api/platform"
	"github.com/citronbay/citronbay/internal/api/upstream"
	"github.com/citronbay/citronbay/internal/decide/task"
	"github.com/citronbay/citronbay/internal/decide/team"
	"github.com/citronbay/citronbay/internal/decide/worker"
	"github.com/citronbay/citronbay/internal/entry/platform"
	"github.com/citronbay/citronbay/internal/entry/settings"
)

// superviseEvery is the interval at which directory, leases and limits are
// looked at.
const superviseEvery = 200 * time.Millisecond

// Options are what a shard needs of its entry.
type Options struct {
	// Name names the shard, which is the failure domain's.
	Name string
	// Holder names the entry and its incarnation at the upstreams' leases.
	Holder   string
	Entry    string
	Timings  settings.Timings
	Store    apiplatform.Store
	Sync     *platform.Sync
	Registry *platform.Registry
	Peers    Peers
	Log      *slog.Logger
}

// Peers tells a shard what it must know of the other entries.
type Peers interface {
	// Wants returns, by team and shard, how many units other shards could use.
	Wants() map[string]map[string]int64
	// Alone reports whether other entries of the domain exist and none is heard.
	Alone() bool
}

// Shard owns the upstreams of one failure domain for one run of ownership.
// Create it with NewShard; Run does its work.
type Shard struct {
	Options
	holder  string
	timings settings.Timings
	journal *platform.Journal

	mu       sync.Mutex
	began    time.Time
	released bool
	// superseded tells that another owner has held a lease since this one did,
	// so that what this one knows of jobs and tasks is out of date.
	superseded bool
	links      map[string]*link
	runners    *worker.Fleet[worker.LeastLoaded]
	workers    *worker.Fleet[worker.BestFit]
	requests   *task.Queue[*ticket]
	tasks      *task.Queue[*job]
	ledger     *team.Ledger
	jobs       map[string]*job
	joined     map[string]*outcome
	units      unitsState
	reserve    reservation
	clearing   clearing
	jobsRead   bool
	flushNow   chan struct{}
	unitsNow   chan struct{}
}

// NewShard returns a shard that holds no lease yet.
func NewShard(options Options) *Shard {
	return &Shard{
		Options:  options,
		holder:   options.Holder,
		timings:  options.Timings,
		journal:  platform.NewJournal(options.Store),
		began:    time.Now(),
		links:    map[string]*link{},
		runners:  worker.NewFleet(worker.LeastLoaded{}),
		workers:  worker.NewFleet(worker.BestFit{}),
		requests: task.NewQueue[*ticket](),
		tasks:    task.NewQueue[*job](),
		ledger:   team.NewLedger(),
		jobs:     map[string]*job{},
		joined:   map[string]*outcome{},
		units:    newUnitsState(),
		flushNow: make(chan struct{}, 1),
		unitsNow: make(chan struct{}, 1),
	}
}

// Run owns the shard until the context ends, then releases every lease so that
// the next owner need not wait for them to lapse.
func (s *Shard) Run(ctx context.Context) {
	s.Log.Info("shard taken", "shard", s.Name)
	linkCtx, stopLinks := context.WithCancel(context.WithoutCancel(ctx))
	var loops sync.WaitGroup
	loops.Go(func() { s.readJobs(ctx) })
	loops.Go(func() { s.flushLoop(ctx) })
	loops.Go(func() { s.unitsLoop(ctx) })
	loops.Go(func() { s.superviseLoop(ctx, linkCtx) })
	<-ctx.Done()
	s.release()
	loops.Wait()
	s.flush(context.WithoutCancel(ctx))
	s.releaseLeases()
	stopLinks()
	s.Log.Info("shard released", "shard", s.Name)
}

// superviseLoop follows the directory and what only the passing of time tells.
func (s *Shard) superviseLoop(ctx, linkCtx context.Context) {
	ticker := time.NewTicker(superviseEvery)
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

// refresh brings links, limits and queues in line with directory and
// agreement.
func (s *Shard) refresh(linkCtx context.Context, machines []platform.Machine, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, machine := range machines {
		if machine.VM.IsUpstream() && machine.VM.Domain == s.Name {
			s.follow(linkCtx, machine)
		}
	}
	for _, l := range s.links {
		s.settle(l, now)
		s.reopen(l, now)
		if !l.missing.IsZero() && len(l.runs) == 0 && !l.holds(now) && l.settled {
			s.forget(l)
		}
	}
	s.applyLimits()
	s.adoptJobs()
	if !s.released {
		s.expireJobs(now)
		s.moveServices()
		s.preempt(now)
	}
	s.pump()
}

// follow opens a link to an upstream that is new or has moved.
func (s *Shard) follow(linkCtx context.Context, machine platform.Machine) {
	l, ok := s.links[machine.VM.Name]
	if ok && l.vm.Address != machine.VM.Address && len(l.runs) == 0 {
		s.forget(l)
		ok = false
	}
	if ok {
		l.leaving = machine.VM.State == apiplatform.StateLeaving || slices.Contains(s.Registry.Cell().Drained, l.vm.Name)
		l.missing = machine.Missing
		return
	}
	if !machine.Missing.IsZero() {
		return
	}
	client, closeClient := upstream.NewClient(machine.VM.Name, machine.VM.Address, runnerConnections)
	ctx, cancel := context.WithCancel(linkCtx)
	l = &link{
		shard:   s,
		client:  client,
		close:   closeClient,
		cancel:  cancel,
		vm:      machine.VM,
		leaving: machine.VM.State == apiplatform.StateLeaving,
		clock:   newRemoteClock(),
		began:   time.Now(),
		runs:    map[string]*run{},
	}
	s.links[machine.VM.Name] = l
	go l.follow(ctx)
}

func (s *Shard) forget(l *link) {
	l.cancel()
	l.close()
	delete(s.links, l.vm.Name)
	s.fleetOf(l).Remove(l.vm.Name)
}

// fleet is what runners and workers have in common.
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

// occupy counts a run in capacity and units.
func (s *Shard) occupy(r *run) {
	r.link.runs[r.id] = r
	s.ledger.Add(r.team, r.size)
	s.fleetOf(r.link).Use(r.link.vm.Name, r.size)
}

// placed counts a run that the fleet has already counted in capacity.
func (s *Shard) placed(r *run) {
	r.link.runs[r.id] = r
	s.ledger.Add(r.team, r.size)
}

// vacate ends the counting of a run; it reports whether it was counted.
func (s *Shard) vacate(r *run) bool {
	if r.link.runs[r.id] != r {
		return false
	}
	delete(r.link.runs, r.id)
	s.ledger.Done(r.team, r.size)
	s.fleetOf(r.link).Free(r.link.vm.Name, r.size)
	return true
}

// lose ends the counting of a run that has certainly stopped without a result
// known here.
func (s *Shard) lose(r *run, reason string) {
	if !s.vacate(r) {
		return
	}
	close(r.gone)
	if r.job != "" {
		s.taskLost(r, reason)
	}
}

// release stops placing; queued requests are told to go elsewhere.
func (s *Shard) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.released = true
	s.refuseWaiting(handsOver)
	for _, l := range s.links {
		s.reopen(l, time.Now())
	}
}

// releaseLeases gives up every lease that is held.
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

// applyLimits brings the ledger in line with the agreement.
func (s *Shard) applyLimits() {
	storeAway := !s.Sync.Reachable()
	shards := s.shards()
	for name, t := range s.Registry.Teams() {
		units := s.Registry.Units(name)
		limit := team.Limit(units, s.Name, capOf(t), shards)
		if !s.allSettled() || !(storeAway || units.Terms[s.Name] == s.units.term) {
			limit = 0
		}
		s.ledger.SetLimit(name, limit, t.Share)
	}
}

// Status returns what the owner knows of the shard.
func (s *Shard) Status() operator.ShardStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	status := operator.ShardStatus{
		Shard:   s.Name,
		Owner:   s.Entry,
		Waiting: s.requests.Len() + s.tasks.Tasks(),
		Jobs:    len(s.jobs),
	}
	for _, l := range s.links {
		used, running := s.fleetOf(l).Used(l.vm.Name)
		status.Running += running
		status.Upstreams = append(status.Upstreams, operator.UpstreamStatus{
			VM:      l.vm,
			Owner:   s.Entry,
			Leased:  l.holds(now),
			Leaving: l.leaving || !l.missing.IsZero(),
			Suspect: now.Before(l.suspectUntil),
			Running: running,
			Used:    describe(used, l.capacity),
		})
	}
	for _, name := range s.ledger.Teams() {
		status.Teams = append(status.Teams, operator.TeamUse{
			Team:    name,
			Held:    s.ledger.Limit(name),
			Running: s.ledger.Running(name),
			Waiting: s.waiting(name),
		})
	}
	return status
}

func describe(used, capacity upstream.Resources) string {
	if capacity.Slots > 0 {
		return fmt.Sprintf("%d/%d slots", used.Slots, capacity.Slots)
	}
	return fmt.Sprintf("%.1f/%.1f processors, %d/%d MiB, %d/%d accelerators",
		float64(used.MilliProcessors)/1000, float64(capacity.MilliProcessors)/1000,
		used.MemoryBytes>>20, capacity.MemoryBytes>>20,
		used.Accelerators, capacity.Accelerators)
}
