package upstream

import (
	"cmp"
	"slices"
	"time"

	"github.com/citronbay/citronbay/internal/api/caller"
	"github.com/citronbay/citronbay/internal/api/upstream"
)

// preemptionDelay is how long urgent work waits for capacity before less
// urgent tasks are stopped for it.
const preemptionDelay = 150 * time.Millisecond

// freedCapacityHold is how long freed capacity is kept for the job for which
// it was freed.
const freedCapacityHold = time.Second

// preemption holds the capacity that is being freed for one job: until the given
// time, less urgent jobs must not use it.
type preemption struct {
	job           string
	priorityClass int
	until         time.Time
}

// blocks reports whether the job must not use the freed capacity.
func (p preemption) blocks(j *job, now time.Time) bool {
	return now.Before(p.until) && j.record.JobID != p.job && j.record.Spec.Urgency.PriorityClass() > p.priorityClass
}

// preempt makes one worker checkpoint and stop less urgent tasks if an urgent
// job, whose tasks need not start together, has waited for preemptionDelay though
// its team may run more tasks. The lock must be held.
func (s *Shard) preempt(now time.Time) {
	if now.Before(s.preemption.until) {
		return
	}
	for _, j := range s.jobs {
		if !j.admitted || j.record.Spec.Urgency != caller.Urgent || len(j.waitingTasks) == 0 {
			continue
		}
		if j.record.Spec.Kind == caller.KindAllAtOnce || s.ledger.Room(j.record.Team) <= 0 {
			continue
		}
		if now.Sub(j.waitingSince) < preemptionDelay {
			continue
		}
		j.waitingSince = now
		victims := s.victims(j)
		if len(victims) == 0 {
			continue
		}
		s.preemption = preemption{
			job:           j.record.JobID,
			priorityClass: j.record.Spec.Urgency.PriorityClass(),
			until:         now.Add(freedCapacityHold),
		}
		for _, r := range victims {
			r.stopping = true
			go s.stopRun(r, true)
		}
		return
	}
}

// victims returns the runs to stop on one worker to make room for one task of
// the job, from the worker where the fewest are needed. It returns none if no
// worker has enough of them.
func (s *Shard) victims(j *job) []*run {
	capacity := s.workers.Capacity()
	var best []*run
	for _, l := range s.links {
		if !l.open {
			continue
		}
		used, _ := s.fleetOf(l).Used(l.vm.Name)
		chosen, enough := s.victimsAt(l, j, l.capacity.Minus(used), capacity)
		if enough && (best == nil || len(chosen) < len(best)) {
			best = chosen
		}
	}
	return best
}

// victimsAt chooses the runs to stop on one worker, which has the given free
// resources, to make room for one task of the job: the least urgent runs first
// and, among those, the runs of the team with the highest weighted share of the
// capacity of all workers. If even all of them are not enough, enough is false.
func (s *Shard) victimsAt(l *link, j *job, free, capacity upstream.Resources) (chosen []*run, enough bool) {
	var preemptable []*run
	for _, r := range l.runs {
		if s.mayPreempt(r, j) {
			preemptable = append(preemptable, r)
		}
	}
	slices.SortFunc(preemptable, func(a, b *run) int {
		return cmp.Or(
			cmp.Compare(b.priorityClass, a.priorityClass),
			cmp.Compare(s.ledger.WeightedShare(b.team, capacity), s.ledger.WeightedShare(a.team, capacity)),
			cmp.Compare(a.id, b.id),
		)
	})
	for _, r := range preemptable {
		chosen = append(chosen, r)
		free = free.Plus(r.size)
		if j.record.Spec.Size.Fits(free) {
			return chosen, true
		}
	}
	return nil, false
}

// mayPreempt reports whether the run may be stopped for the job: it is a less
// urgent task of a batch job that may be run again.
func (s *Shard) mayPreempt(r *run, j *job) bool {
	runJob, ok := s.jobs[r.job]
	if !ok || r.stopping || r.priorityClass <= j.record.Spec.Urgency.PriorityClass() {
		return false
	}
	return runJob.record.Spec.Kind == caller.KindBatch && !runJob.record.Spec.AtMostOnce
}

// evictServices stops service tasks on upstreams that are leaving or no longer
// listed in the directory, so that they start elsewhere. The lock must be
// held.
func (s *Shard) evictServices() {
	for _, l := range s.links {
		if !l.leaving && l.missingSince.IsZero() {
			continue
		}
		for _, r := range l.runs {
			runJob, ok := s.jobs[r.job]
			if ok && !r.stopping && runJob.record.Spec.Kind == caller.KindService {
				go s.stopRun(r, true)
			}
		}
	}
}

// expireJobs cancels the jobs of which no task has started by their deadline.
// The lock must be held.
func (s *Shard) expireJobs(now time.Time) {
	for _, j := range s.jobs {
		limit := time.Duration(j.record.Spec.DeadlineMillis) * time.Millisecond
		waits := j.admitted && j.record.Fate == caller.FateInProgress && !j.record.Ran && len(j.runs) == 0
		if limit == 0 || !waits || now.Sub(j.record.Submitted) < limit {
			continue
		}
		s.cancelJob(j, "no task of the job could start by the deadline")
	}
}
