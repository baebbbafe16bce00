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

// settle decides whether all that an earlier owner may have left at the
// upstream is known. It is when the lease has been claimed, or when the tasks'
// lease must have lapsed and either the VM is gone or most others are claimed.
func (s *Shard) settle(l *link, now time.Time) {
	if l.settled {
		return
	}
	grace := s.timings.TaskLease + s.timings.Lease
	gone := !l.missing.IsZero() && now.Sub(l.missing) > grace
	l.settled = l.claimed || gone || (now.Sub(l.began) > grace && s.holdsMost(now))
}

// holdsMost reports whether leases at more than half of the upstreams that the
// directory lists are held.
func (s *Shard) holdsMost(now time.Time) bool {
	held, listed := 0, 0
	for _, l := range s.links {
		if !l.missing.IsZero() {
			continue
		}
		listed++
		if l.holds(now) {
			held++
		}
	}
	return 2*held > listed
}

// Isolated reports that the owner must step down: it holds at most half of its
// upstreams and hears no other entry of its domain, so that another may own
// the shard.
func (s *Shard) Isolated() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if now.Sub(s.began) < s.timings.TaskLease || len(s.links) == 0 {
		return false
	}
	return !s.holdsMost(now) && s.Peers.Alone()
}

// hasLost notes that the link's lease went to another holder. If it was held
// here before, the shard is superseded: it stops placing, and is to be given up.
func (s *Shard) hasLost(l *link) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l.claimed {
		s.supersede("upstream " + l.vm.Name + " was leased to another")
	}
	return l.claimed
}

func (s *Shard) supersede(reason string) {
	if s.superseded {
		return
	}
	s.Log.Warn("superseded", "shard", s.Name, "reason", reason)
	s.superseded = true
	s.released = true
	s.refuseWaiting(handsOver)
}

// Superseded reports that another owner has taken over.
func (s *Shard) Superseded() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.superseded
}

// Held returns the number of leases held now; an owner without any is none yet.
func (s *Shard) Held() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	held := 0
	now := time.Now()
	for _, l := range s.links {
		if l.holds(now) {
			held++
		}
	}
	return held
}

func (s *Shard) allSettled() bool {
	for _, l := range s.links {
		if !l.settled {
			return false
		}
	}
	return len(s.links) > 0
}

// reopen decides whether the upstream takes new tasks.
func (s *Shard) reopen(l *link, now time.Time) {
	l.open = l.holds(now) && !l.leaving && l.missing.IsZero() && !now.Before(l.suspectUntil) && !s.released
	s.fleetOf(l).SetOpen(l.vm.Name, l.open)
}

// adopt takes over the lease that was granted, and everything that runs at the
// upstream.
func (s *Shard) adopt(l *link, response upstream.LeaseResponse) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l.epoch = response.Epoch
	l.until = response.Until
	l.claimed = true
	l.capacity = response.Capacity
	s.fleetOf(l).Put(worker.Machine{
		Name:     l.vm.Name,
		Rack:     l.vm.Rack,
		Service:  l.vm.Service,
		Capacity: response.Capacity,
	})
	s.takeEnds(l, response.Ended)
	running := make(map[string]bool, len(response.Running))
	for _, found := range response.Running {
		running[found.Task] = true
		s.adoptRun(l, found)
	}
	for _, r := range l.runs {
		if !running[r.id] {
			s.lose(r, "the upstream no longer runs it")
		}
	}
	s.settle(l, time.Now())
	s.reopen(l, time.Now())
	s.Log.Info("lease claimed", "upstream", l.vm.Name, "epoch", l.epoch, "running", len(response.Running))
	s.adoptJobs()
	s.pump()
}

func (s *Shard) adoptRun(l *link, found upstream.Running) {
	if _, known := l.runs[found.Task]; known {
		return
	}
	r := &run{
		id:      found.Task,
		team:    found.Team,
		job:     found.Job,
		band:    found.Band,
		size:    found.Size,
		link:    l,
		adopted: true,
		gone:    make(chan struct{}),
	}
	s.occupy(r)
	if r.job == "" {
		go s.watchAdopted(r)
		return
	}
	s.attach(r)
}

// renewed takes the answer to a renewal.
func (s *Shard) renewed(l *link, response upstream.LeaseResponse) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l.until = max(l.until, response.Until)
	s.reopen(l, time.Now())
	if len(response.Ended) > 0 {
		s.takeEnds(l, response.Ended)
		s.pump()
	}
}

// unlease notes that the lease is lost; what runs there stays counted.
func (s *Shard) unlease(l *link) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l.epoch = 0
	s.fleetOf(l).SetOpen(l.vm.Name, false)
	s.Log.Info("lease lost", "upstream", l.vm.Name)
}

// expire counts as stopped what ran at an upstream that cannot be reached, once
// its lease has certainly lapsed there.
func (s *Shard) expire(l *link) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l.tasksUntil == 0 || !l.lapsed(time.Now()) {
		return
	}
	for _, r := range l.runs {
		s.lose(r, "the upstream's lease lapsed")
	}
	s.pump()
}

// takeEnds follows the tasks that have ended. Ends of jobs that have not been
// read yet are left for the next answer.
func (s *Shard) takeEnds(l *link, ends []upstream.Ended) {
	for _, end := range ends {
		if !s.jobsRead && s.jobs[end.Job] == nil {
			return
		}
		if end.Sequence <= l.seen {
			continue
		}
		l.seen = end.Sequence
		if r, ok := l.runs[end.Task]; ok {
			s.vacate(r)
		}
		s.noteHealth(l, end.Failed)
		s.taskEnded(l, end)
	}
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
