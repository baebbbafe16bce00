package job

import (
	"fmt"
	"slices"
)

var outcomeNames = map[Outcome]string{
	Open:      "open",
	Completed: "completed",
	Failed:    "failed",
	Cancelled: "cancelled",
}

// String returns the name of the outcome.
func (o Outcome) String() string {
	return outcomeNames[o]
}

// Explain describes where the step's tasks are placed and why the others wait, one fact
// per line.
func (p *Planner) Explain(step *Step, now int64) []string {
	lines := []string{fmt.Sprintf("step %d: %d of %d tasks done, %d placed, %d neither done nor placed",
		step.Number, step.done, len(step.Tasks), step.placed, step.unplaced)}
	if step.Spec.Gang && step.Failures(0) > 0 {
		lines = append(lines, fmt.Sprintf("step %d: %d runs of the gang have failed", step.Number, step.Failures(0)))
	}
	for n, t := range step.Tasks {
		if !step.Spec.Gang && t.Failures > 0 {
			lines = append(lines, fmt.Sprintf("step %d task %d: %d attempts have failed", step.Number, n, t.Failures))
		}
		if t.Crashes > 0 {
			lines = append(lines, fmt.Sprintf("step %d task %d: suspected of crashing %d workers", step.Number, n, t.Crashes))
		}
		if t.Placement != nil {
			lines = append(lines, fmt.Sprintf("step %d task %d: attempt %d on worker %s, confirmed %v, uncertain %v, stopping %v, progress %.0f %%",
				step.Number, n, t.Placement.Attempt, t.Placement.Worker.ID, t.Placement.Confirmed, t.Placement.Uncertain, t.Placement.Stopping, t.Placement.Percent))
		}
	}
	if step.Waiting() == 0 || step.Job.Outcome != Open {
		return lines
	}
	return append(lines, fmt.Sprintf("step %d waits: %s", step.Number, p.waitReason(step, now)))
}

// WaitCause is why the tasks of a step that is not placed cannot start.
type WaitCause string

// The causes, in the order in which they are checked.
const (
	WaitDependency WaitCause = "dependency" // an earlier step is not done
	WaitQueue      WaitCause = "queue"      // the operators' configuration has no such queue
	WaitCap        WaitCause = "cap"        // the team's cap
	WaitPolicy     WaitCause = "policy"     // the policy service has not answered yet
	// Tasks of the job are suspected of crashing workers, and one of these holds:
	WaitClearing    WaitCause = "clearing"    // the suspects are in other steps
	WaitIsolation   WaitCause = "isolation"   // no worker is isolated for the job
	WaitEmptyWorker WaitCause = "emptyWorker" // the isolated workers run other jobs
	// The evacuation of failure domains leaves no allowed worker, or too little capacity.
	WaitEvacuation WaitCause = "evacuation"
	WaitWorkers    WaitCause = "workers" // no usable worker is allowed
	// The allowed workers have too little capacity, even with no other than endless tasks there.
	WaitFleet    WaitCause = "fleet"
	WaitCapacity WaitCause = "capacity" // no allowed worker has room for a task
	WaitGang     WaitCause = "gang"     // the gang does not fit at once
	WaitTickets  WaitCause = "tickets"  // tickets must be renewed
	WaitOrder    WaitCause = "order"    // other steps go first, or a smaller limit applies
)

// AllWaitCauses returns all causes, in the order in which they are checked.
func AllWaitCauses() []WaitCause {
	return []WaitCause{
		WaitDependency, WaitQueue, WaitCap, WaitPolicy, WaitClearing, WaitIsolation, WaitEmptyWorker, WaitEvacuation, WaitWorkers,
		WaitFleet, WaitCapacity, WaitGang, WaitTickets, WaitOrder,
	}
}

// WaitCauses returns how many ready steps of jobs within their team's rate wait for each
// cause, and how many of jobs over it wait for any.
func (p *Planner) WaitCauses(now int64) (withinRate map[WaitCause]int, overRate int) {
	withinRate = map[WaitCause]int{}
	for _, step := range p.steps {
		if step.Waiting() == 0 {
			continue // placed in this pass
		}
		if step.Job.OverRate {
			overRate++
			continue
		}
		cause, _ := p.waitCause(step, now)
		withinRate[cause]++
	}
	return withinRate, overRate
}

// waitCause returns the first cause found for which the step's tasks cannot start, and
// the number of usable workers on which the step may run.
func (p *Planner) waitCause(step *Step, now int64) (cause WaitCause, allowedCount int) {
	if !step.Ready() {
		return WaitDependency, 0
	}
	queue, ok := p.rules.Queues[step.Job.Queue]
	if !ok {
		return WaitQueue, 0
	}
	required := 1
	if step.Spec.Gang {
		required = step.Spec.Count
	}
	if !p.withinCap(step, required) {
		return WaitCap, 0
	}
	if queue.Policy != nil && !step.Advice.answered {
		return WaitPolicy, 0
	}
	if cause, waits := p.isolationCause(step); waits {
		return cause, 0
	}
	allowed := p.allowedWorkers(step, queue)
	fits := slices.ContainsFunc(allowed, func(w *Worker) bool {
		return step.Spec.Needs.FitsIn(p.freeFor(step, w))
	})
	switch {
	case p.awaitsEvacuated(step, queue, allowed):
		cause = WaitEvacuation
	case len(allowed) == 0:
		cause = WaitWorkers
	case !p.fitsDrained(step, allowed):
		cause = WaitFleet
	case !fits:
		cause = WaitCapacity
	case step.Spec.Gang && p.packGang(step, allowed) == nil:
		cause = WaitGang
	case queue.Policy != nil && step.Advice.validUntil <= p.requiredExpiry(now):
		cause = WaitTickets
	default:
		cause = WaitOrder
	}
	return cause, len(allowed)
}

// awaitsEvacuated reports whether the step fits on the allowed workers, once all tasks there have ended
// that will end, only together with workers that are shut off.
func (p *Planner) awaitsEvacuated(step *Step, queue Queue, allowed []*Worker) bool {
	all := slices.Clone(allowed)
	for _, w := range p.workers {
		if w.ShutOff && !step.Advice.denied[w] && isSuitable(step, queue, w) {
			all = append(all, w)
		}
	}
	return len(all) > len(allowed) && !p.fitsDrained(step, allowed) && p.fitsDrained(step, all)
}

// fitsDrained reports whether the gang, or one task of another step, fits on the workers once all
// tasks there have ended that will end.
func (p *Planner) fitsDrained(step *Step, workers []*Worker) bool {
	if step.Spec.Gang {
		return p.drainedCapacity(step, workers) >= step.Spec.Count
	}
	return slices.ContainsFunc(workers, func(w *Worker) bool {
		return step.Spec.Needs.FitsIn(p.drainedRoom(w))
	})
}

// waitReason describes the cause for which the step's tasks cannot start.
func (p *Planner) waitReason(step *Step, now int64) string {
	cause, allowed := p.waitCause(step, now)
	switch cause {
	case WaitDependency:
		return "an earlier step is not done"
	case WaitQueue:
		return "its queue is not in the operators' configuration in force"
	case WaitCap:
		return "it would exceed its team's cap"
	case WaitPolicy:
		return "the policy service has not answered yet"
	case WaitClearing:
		return "tasks of the job's other steps are suspected of crashing workers, and must be cleared first"
	case WaitIsolation:
		return "tasks of the job are suspected of crashing workers, and no worker is isolated for it yet"
	case WaitEmptyWorker:
		return "tasks of the job are suspected of crashing workers, and the workers that are isolated for it still run other jobs"
	case WaitEvacuation:
		return fmt.Sprintf("its failure domains are evacuated: with their workers it would fit, but not on the %d other allowed workers", allowed)
	case WaitWorkers:
		return "no usable worker has the service, the label and the policy's permission that the step requires"
	case WaitFleet:
		needed := "a task"
		if step.Spec.Gang {
			needed = fmt.Sprintf("the gang of %d", step.Spec.Count)
		}
		return fmt.Sprintf("%s does not fit on the %d allowed workers, even once all but endless tasks there have ended; it holds back no other job", needed, allowed)
	case WaitCapacity:
		return fmt.Sprintf("none of the %d allowed workers has free capacity for a task", allowed)
	case WaitGang:
		return fmt.Sprintf("the gang does not fit on the %d allowed workers at once", allowed)
	case WaitTickets:
		return "its tickets have expired or expire too soon, and must be renewed"
	default:
		return "other steps go first, workers are reserved for a gang, the step's limit per worker is reached, or some of its tickets must be renewed"
	}
}
