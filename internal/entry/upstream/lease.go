package upstream

import (
	"time"

	"github.com/citronbay/citronbay/internal/api/upstream"
	"github.com/citronbay/citronbay/internal/decide/worker"
)

// updateReconciled sets l.reconciled once all tasks that an earlier owner may
// have left at the upstream are known or must have stopped. They are known once
// this owner has claimed the lease. They count as stopped once the grace period, the
// sum of the lease and the task lease, has passed since the directory stopped listing
// the VM, or since the link was created if this owner now holds most leases. An
// earlier owner that is cut off from the other entries then holds too few to keep the
// shard (see InMinorityPartition), and so no longer extends the task lease.
func (s *Shard) updateReconciled(l *link, now time.Time) {
	if l.reconciled {
		return
	}
	grace := s.timings.TaskLease + s.timings.Lease
	gone := !l.missingSince.IsZero() && now.Sub(l.missingSince) > grace
	l.reconciled = l.claimed || gone || (now.Sub(l.created) > grace && s.holdsMajority(now))
}

// holdsMajority reports whether the leases of more than half of the upstreams
// listed in the directory are held.
func (s *Shard) holdsMajority(now time.Time) bool {
	held, listed := 0, 0
	for _, l := range s.links {
		if !l.missingSince.IsZero() {
			continue
		}
		listed++
		if l.leaseValid(now) {
			held++
		}
	}
	return 2*held > listed
}

// InMinorityPartition reports whether the owner must step down because it may be cut
// off while another entry owns the shard: it holds the leases of at most half of the
// listed upstreams, and sees none of the failure domain's other entries alive
// although there are some. It returns false if the shard has no upstreams, and until
// a task lease's duration has passed since NewShard.
func (s *Shard) InMinorityPartition() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if now.Sub(s.created) < s.timings.TaskLease || len(s.links) == 0 {
		return false
	}
	return !s.holdsMajority(now) && s.Peers.AllDomainPeersDown()
}

// markSupersededIfClaimed is called when another holder has claimed the link's
// lease. If this owner held the lease before, another owner has taken over, and
// the shard is marked as superseded. It reports whether this was so.
func (s *Shard) markSupersededIfClaimed(l *link) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l.claimed {
		s.markSuperseded("upstream " + l.vm.Name + " was leased to another holder")
	}
	return l.claimed
}

// markSuperseded records that another owner has taken over, after which the shard
// accepts and places no more work. The lock must be held.
func (s *Shard) markSuperseded(reason string) {
	if s.superseded {
		return
	}
	s.Log.Warn("superseded", "shard", s.Name, "reason", reason)
	s.superseded = true
	s.placementStopped = true
	s.rejectWaitingRequests(reasonHandover)
}

// Superseded reports whether another owner is known to have taken over.
func (s *Shard) Superseded() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.superseded
}

// HeldLeases returns the number of valid leases, and zero if the shard is superseded. An
// owner without any does not serve the shard yet, or no longer.
func (s *Shard) HeldLeases() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.superseded {
		return 0
	}
	held := 0
	now := time.Now()
	for _, l := range s.links {
		if l.leaseValid(now) {
			held++
		}
	}
	return held
}

func (s *Shard) allReconciled() bool {
	for _, l := range s.links {
		if !l.reconciled {
			return false
		}
	}
	return len(s.links) > 0
}

// updateOpen decides whether the upstream takes new tasks.
func (s *Shard) updateOpen(l *link, now time.Time) {
	l.open = l.leaseValid(now) && !l.isLeaving() && !now.Before(l.suspectUntil) && !s.placementStopped
	s.fleetOf(l).SetOpen(l.vm.Name, l.open)
}

// applyClaim records the lease that was granted and adopts the tasks that run at
// the upstream. Counted runs that the upstream neither runs nor has reported as ended
// are marked as lost.
func (s *Shard) applyClaim(l *link, response upstream.LeaseResponse) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l.epoch = response.Epoch
	l.leaseUntil = response.Until
	l.claimed = true
	l.capacity = response.Capacity
	s.fleetOf(l).Put(worker.Machine{
		Name:     l.vm.Name,
		Rack:     l.vm.Rack,
		Service:  l.vm.Service,
		Capacity: response.Capacity,
	})
	s.applyEnded(l, response.Ended)
	running := make(map[string]bool, len(response.Running))
	for _, found := range response.Running {
		running[found.Task] = true
		s.adoptRun(l, found)
	}
	for _, r := range l.runs {
		if !running[r.id] {
			s.markLost(r, "the upstream no longer runs it")
		}
	}
	s.updateReconciled(l, time.Now())
	s.updateOpen(l, time.Now())
	s.Log.Info("lease claimed", "upstream", l.vm.Name, "epoch", l.epoch, "running", len(response.Running))
	s.adoptJobs()
	s.placeWaiting()
}

// adoptRun counts a task that was found at the upstream. It attaches the task to
// its job, or, if the task is a request's, polls it until it has ended.
func (s *Shard) adoptRun(l *link, found upstream.Running) {
	if _, known := l.runs[found.Task]; known {
		return
	}
	r := &run{
		id:            found.Task,
		team:          found.Team,
		job:           found.Job,
		priorityClass: found.PriorityClass,
		size:          found.Size,
		link:          l,
		adopted:       true,
		lost:          make(chan struct{}),
	}
	s.addRun(r)
	if r.job == "" {
		go s.watchUntilEnded(r)
		return
	}
	s.attachRun(r)
}

// applyRenewal processes the response to a renewal.
func (s *Shard) applyRenewal(l *link, response upstream.LeaseResponse) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l.leaseUntil = max(l.leaseUntil, response.Until)
	s.updateOpen(l, time.Now())
	if len(response.Ended) > 0 {
		s.applyEnded(l, response.Ended)
		s.placeWaiting()
	}
}

// handleLeaseLost records that the lease was lost. The runs at the upstream stay
// counted.
func (s *Shard) handleLeaseLost(l *link) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l.epoch = 0
	s.fleetOf(l).SetOpen(l.vm.Name, false)
	s.Log.Info("lease lost", "upstream", l.vm.Name)
}

// markExpiredRunsLost marks all runs at an unreachable upstream as lost once
// the task lease has certainly expired there.
func (s *Shard) markExpiredRunsLost(l *link) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l.taskLeaseUntil == 0 || !l.taskLeaseExpired(time.Now()) {
		return
	}
	for _, r := range l.runs {
		s.markLost(r, "the upstream's lease expired")
	}
	s.placeWaiting()
}

// applyEnded processes the reports of ended tasks. Until the jobs have been
// read, it stops at the first report whose job is not known or that has none,
// since the upstream repeats it and all later ones in its next response.
func (s *Shard) applyEnded(l *link, endedTasks []upstream.Ended) {
	for _, ended := range endedTasks {
		if !s.jobsRead && s.jobs[ended.Job] == nil {
			return
		}
		if ended.Sequence <= l.seenSequence {
			continue
		}
		l.seenSequence = ended.Sequence
		if r, ok := l.runs[ended.Task]; ok {
			s.removeRun(r)
		}
		s.updateHealth(l, ended.FailureReason)
		s.handleTaskEnded(l, ended)
	}
}
