package job

import (
	"cmp"
	"slices"
)

// The number of a service's workers that are isolated for suspects at a time is at most their
// number divided by maxIsolatedDivisor, and that of those on which other jobs have to end
// first is at most their number divided by maxDrainedDivisor, but at least one. A gang that
// needs more is isolated while no other job is.
const (
	maxIsolatedDivisor = 4
	maxDrainedDivisor  = 8
)

// longWaitMillis is how long a suspect may wait for a worker before it goes before others. The
// users expect a task that has room to run within 3 s; the rest is for emptying the worker.
const longWaitMillis = 1500

// isolateSuspects assigns workers to the jobs that have suspects, first to those that have
// waited long, then in the order in which their steps are served. A job that is not a gang
// gets one worker at a time, so that it crashes few. Until a suspect is cleared, nothing of
// another job starts on its worker.
func (p *Planner) isolateSuspects(now int64) {
	if len(p.state.suspects) == 0 {
		return
	}
	p.withoutWorkers = map[*Step]bool{}
	isolated, isolatedJobs := p.findIsolated()
	drained := map[string]int{} // by service, like isolated
	full := map[string]bool{}   // by service
	for _, step := range p.suspectSteps(now) {
		if isolatedJobs[step.Job.ID] || !p.withinCap(step, p.tasksAtOnce(step)) {
			continue
		}
		queue := p.rules.Queues[step.Job.Queue]
		if full[queue.Service] {
			continue
		}
		workers := p.workersToIsolate(step, queue, now)
		if len(workers) == 0 {
			p.withoutWorkers[step] = true
			continue
		}
		count := isolated[queue.Service] + len(workers)
		drainedCount := drained[queue.Service]
		for _, w := range workers {
			if p.runsOthers(w, step.Job.ID) {
				drainedCount++
			}
		}
		total := p.countWorkers(queue.Service)
		if isolated[queue.Service] > 0 && (count > total/maxIsolatedDivisor || drainedCount > max(1, total/maxDrainedDivisor)) {
			full[queue.Service] = true // jobs that need fewer workers must not overtake gangs
			continue
		}
		for _, w := range workers {
			w.isolatedFor = step.Job.ID
		}
		isolated[queue.Service], drained[queue.Service] = count, drainedCount
		isolatedJobs[step.Job.ID] = true
	}
}

// suspectSteps returns the steps with suspects to place, those first that have waited long.
func (p *Planner) suspectSteps(now int64) []*Step {
	var steps []*Step
	for _, step := range p.steps {
		if !step.hasSuspects() {
			continue
		}
		if step.suspectsWaitSince == 0 {
			step.suspectsWaitSince = now
		}
		steps = append(steps, step)
	}
	longAgo := now - longWaitMillis
	slices.SortStableFunc(steps, func(a, b *Step) int {
		return cmp.Compare(min(a.suspectsWaitSince, longAgo), min(b.suspectsWaitSince, longAgo))
	})
	return steps
}

// findIsolated sets isolatedFor of the workers with suspects. It returns the number of
// those by service, including workers that are gone, and the suspects' jobs.
func (p *Planner) findIsolated() (map[string]int, map[string]bool) {
	isolatedFor := map[WorkerKey]string{}
	for _, j := range p.state.suspects {
		for _, step := range j.Steps {
			for n := range step.Tasks {
				if placement := step.Tasks[n].Placement; placement != nil && step.hasSuspects() && step.Crashes(n) > 0 {
					isolatedFor[placement.Worker] = j.ID
				}
			}
		}
	}
	byService := map[string]int{}
	jobs := map[string]bool{}
	for _, id := range isolatedFor {
		byService[p.rules.Queues[p.state.jobs[id].Queue].Service]++
		jobs[id] = true
	}
	for _, w := range p.workers {
		w.isolatedFor = isolatedFor[w.Key()]
	}
	return byService, jobs
}

func (p *Planner) countWorkers(service string) int {
	n := 0
	for _, w := range p.workers {
		if w.Service == service {
			n++
		}
	}
	return n
}

// Isolation returns the numbers of open jobs with suspects, of workers that are isolated for
// such jobs, and of workers, also ones that are gone, on which suspects are placed.
func (p *Planner) Isolation() (jobs, isolated, placed int) {
	for _, w := range p.workers {
		if w.isolatedFor != "" {
			isolated++
		}
	}
	for key := range p.state.placements {
		if p.state.RunsSuspects(key) {
			placed++
		}
	}
	return len(p.state.suspects), isolated, placed
}

// tasksAtOnce returns how many tasks of the step must start together.
func (p *Planner) tasksAtOnce(step *Step) int {
	if step.Spec.Gang {
		return step.Spec.Count
	}
	return 1
}

// workersToIsolate returns the workers on which a task of the step, or all members of a
// gang, will fit once no other job runs there, those first that are empty soonest. If they
// fit on no workers without endless tasks of other jobs, which would have to be awaited for
// ever, workers with such tasks are used too. It returns none if the tasks fit on no workers
// that are free for isolation.
func (p *Planner) workersToIsolate(step *Step, queue Queue, now int64) []*Worker {
	workers := p.permittedWorkers(step, queue)
	withoutEndless := slices.DeleteFunc(slices.Clone(workers), func(w *Worker) bool {
		return p.runsOtherEndless(w, step.Job.ID)
	})
	if p.firstWithRoom(step, withoutEndless) != nil {
		workers = withoutEndless
	}
	workers = slices.DeleteFunc(workers, func(w *Worker) bool {
		return w.isolatedFor != ""
	})
	drainMillis := map[*Worker]int64{}
	for _, w := range workers {
		drainMillis[w] = p.drainMillis(w, step.Job.ID, now)
	}
	slices.SortFunc(workers, func(a, b *Worker) int {
		return cmp.Or(cmp.Compare(drainMillis[a], drainMillis[b]),
			cmp.Compare(p.placementCost(step, a), p.placementCost(step, b)), cmp.Compare(a.ID, b.ID))
	})
	return p.firstWithRoom(step, workers)
}

// firstWithRoom returns the first of the workers on which a task of the step, or all members of a
// gang, will fit beside endless tasks of other jobs, or nil if they do not fit.
func (p *Planner) firstWithRoom(step *Step, workers []*Worker) []*Worker {
	remaining := p.tasksAtOnce(step)
	var first []*Worker
	for _, w := range workers {
		room := w.Capacity.Minus(p.usedByJobAndEndless(w, step.Job.ID))
		n := step.Spec.Needs.fitCount(room, min(remaining, p.remainingPerWorker(step, w)))
		if n == 0 {
			continue
		}
		first = append(first, w)
		if remaining -= n; remaining == 0 {
			return first
		}
	}
	return nil
}

// drainMillis returns the expected time in milliseconds until no task of another job runs
// on the worker, except for endless ones.
func (p *Planner) drainMillis(w *Worker, id string, now int64) int64 {
	millis := int64(0)
	for key, placement := range p.state.placements[w.Key()] {
		if key.Job != id && !placement.Endless {
			millis = max(millis, p.state.jobs[key.Job].Steps[key.Step].RemainingMillis(placement, now))
		}
	}
	return millis
}

// usedByJobAndEndless returns what the tasks of the job and all endless tasks use on the worker.
func (p *Planner) usedByJobAndEndless(w *Worker, id string) Resources {
	var used Resources
	for key, placement := range p.state.placements[w.Key()] {
		if key.Job == id || placement.Endless {
			used = used.Plus(placement.Needs)
		}
	}
	return used
}

// runsOtherEndless reports whether endless tasks of other jobs than the given one are placed on
// the worker.
func (p *Planner) runsOtherEndless(w *Worker, id string) bool {
	for key, placement := range p.state.placements[w.Key()] {
		if key.Job != id && placement.Endless {
			return true
		}
	}
	return false
}

// isSuspect reports whether the job has tasks that are suspected of crashing workers.
func (p *Planner) isSuspect(j *Job) bool {
	return p.state.suspects[j.ID] != nil
}

// admits reports whether the isolation of suspects allows tasks of the step on the worker
// now. Suspects need a worker that is isolated for their job and runs no other, except for endless
// tasks if workersToIsolate had to admit these.
func (p *Planner) admits(w *Worker, step *Step) bool {
	if !p.isSuspect(step.Job) {
		return w.isolatedFor == ""
	}
	if w.isolatedFor != step.Job.ID {
		return false
	}
	return !p.runsOthers(w, step.Job.ID)
}

// runsOthers reports whether the worker has placements of other jobs than the given one that will
// end.
func (p *Planner) runsOthers(w *Worker, id string) bool {
	for key, placement := range p.state.placements[w.Key()] {
		if key.Job != id && !placement.Endless {
			return true
		}
	}
	return false
}

// awaitsIsolation reports whether the step must wait until a worker is isolated for its job
// and runs no other, or until the suspects of its job's other steps are cleared.
func (p *Planner) awaitsIsolation(step *Step) bool {
	_, waits := p.isolationCause(step)
	return waits
}

// isolationCause returns for which part of the isolation the step must wait, or false if it
// need not.
func (p *Planner) isolationCause(step *Step) (WaitCause, bool) {
	if !p.isSuspect(step.Job) || p.withoutWorkers[step] {
		return "", false
	}
	if !step.hasSuspects() {
		return WaitClearing, true
	}
	cause := WaitIsolation
	for _, w := range p.workers {
		if w.isolatedFor != step.Job.ID {
			continue
		}
		if p.admits(w, step) {
			return "", false
		}
		cause = WaitEmptyWorker
	}
	return cause, true
}
