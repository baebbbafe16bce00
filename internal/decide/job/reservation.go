package job

import (
	"cmp"
	"slices"
)

// maxReservedDivisor bounds what waiting gangs reserve: once the number of workers divided
// by it is reserved, further gangs reserve none.
const maxReservedDivisor = 3

// maxHeldBackMillis is for how long reservations may hold back a step of lower priority while under half
// of its service's processors are in use, or one that is endless. The users expect a task that has
// room to run within 3 s; the rest is for the start.
const maxHeldBackMillis = 2000

// reserveForGang reserves the workers on which the gang will fit once their tasks have
// ended, those with the most free processors first. It sets their gangPriority to the
// gang's priority; steps of lower priority do not start there in this pass. Unlike this
// reservation, the one in Advice.reserved lasts over passes, while tickets are renewed.
// The first gang can reserve what it needs; further ones reserve nothing once a part of
// the fleet is reserved, since reserved workers idle until the gang fits. A gang that
// would not fit even then reserves nothing: it may wait for ever.
func (p *Planner) reserveForGang(step *Step, queue Queue, gangPriority map[*Worker]int) {
	if len(gangPriority) > 0 && len(gangPriority) >= len(p.workers)/maxReservedDivisor {
		return
	}
	allowed := p.allowedWorkers(step, queue)
	if p.drainedCapacity(step, allowed) < step.Spec.Count {
		return
	}
	slices.SortFunc(allowed, func(a, b *Worker) int {
		return cmp.Or(cmp.Compare(b.free.MilliCores, a.free.MilliCores), cmp.Compare(a.ID, b.ID))
	})
	remaining := step.Spec.Count
	for _, w := range allowed {
		if remaining <= 0 {
			return
		}
		n := p.drainedCapacityOf(step, w)
		if _, reserved := gangPriority[w]; reserved || n == 0 {
			continue
		}
		gangPriority[w] = queue.Priority
		remaining -= n
	}
}

// drainedCapacity returns how many of the step's tasks fit on the workers once all tasks there have
// ended that will end.
func (p *Planner) drainedCapacity(step *Step, workers []*Worker) int {
	total := 0
	for _, w := range workers {
		total += p.drainedCapacityOf(step, w)
	}
	return total
}

// drainedRoom returns the worker's capacity less what endless tasks use.
func (p *Planner) drainedRoom(w *Worker) Resources {
	return w.Capacity.Minus(p.state.usedByEndless[w.Key()])
}

// drainedCapacityOf is drainedCapacity for one worker.
func (p *Planner) drainedCapacityOf(step *Step, w *Worker) int {
	return step.Spec.Needs.fitCount(p.drainedRoom(w), min(step.Spec.Count, p.remainingPerWorker(step, w)))
}

// withoutReserved returns those of the allowed workers that are not reserved for a gang of higher
// priority, or all once reservations have held the step back for maxHeldBackMillis.
func (p *Planner) withoutReserved(step *Step, queue Queue, allowed []*Worker, gangPriority map[*Worker]int, now int64) []*Worker {
	isReserved := func(w *Worker) bool {
		priority, ok := gangPriority[w]
		return ok && priority < queue.Priority
	}
	heldBack := (step.Spec.Endless || p.isUnderused(queue.Service)) && slices.ContainsFunc(allowed, func(w *Worker) bool {
		return isReserved(w) && step.Spec.Needs.FitsIn(p.freeFor(step, w))
	})
	switch {
	case !heldBack:
		step.heldBackSince = 0
	case step.heldBackSince == 0:
		step.heldBackSince = now
	case now-step.heldBackSince >= maxHeldBackMillis:
		return allowed
	}
	return slices.DeleteFunc(allowed, isReserved)
}

// isUnderused reports whether under half of the processors of the service's workers are in use.
func (p *Planner) isUnderused(service string) bool {
	underused, known := p.underused[service]
	if known {
		return underused
	}
	var used, capacity int64
	for _, w := range p.workers {
		if w.Service == service {
			used += p.state.used[w.Key()].MilliCores
			capacity += w.Capacity.MilliCores
		}
	}
	underused = 2*used < capacity
	p.underused[service] = underused
	return underused
}
