package upstream

import (
	"time"

	"github.com/citronbay/citronbay/internal/api/upstream"
	"github.com/citronbay/citronbay/internal/decide/worker"
)

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
