package job

import "fmt"

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
	for n, t := range step.Tasks {
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

// waitReason returns the first reason found for which the step's tasks cannot start.
func (p *Planner) waitReason(step *Step, now int64) string {
	if !step.Ready() {
		return "an earlier step is not done"
	}
	queue, ok := p.rules.Queues[step.Job.Queue]
	if !ok {
		return "its queue is not in the operators' configuration in force"
	}
	required := 1
	if step.Spec.Gang {
		required = step.Spec.Count
	}
	if !p.withinCap(step, required) {
		return "it would exceed its team's cap"
	}
	allowed := p.allowedWorkers(step, queue)
	if queue.Policy != nil && !step.Advice.answered {
		return "the policy service has not answered yet"
	}
	fitting := 0
	for _, w := range allowed {
		if step.Spec.Needs.FitsIn(p.freeFor(step, w)) {
			fitting++
		}
	}
	switch {
	case len(allowed) == 0:
		return "no usable worker has the service, the label and the policy's permission that the step requires"
	case fitting == 0:
		return fmt.Sprintf("none of the %d allowed workers has free capacity for a task", len(allowed))
	case step.Spec.Gang && p.packGang(step, allowed) == nil:
		return fmt.Sprintf("the gang does not fit on the %d allowed workers at once", len(allowed))
	case queue.Policy != nil && step.Advice.validUntil <= p.requiredExpiry(now):
		return "its tickets have expired or expire too soon, and must be renewed"
	}
	return "other steps go first, workers are reserved for a gang, the step's limit per worker is reached, or some of its tickets must be renewed"
}
