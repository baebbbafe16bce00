package job

import (
	"cmp"
	"slices"
)

// ticketMarginMillis is what a ticket must still be valid when a start is decided,
// beside the time of a commit: a hop between regions, and its repetition.
const ticketMarginMillis = 140

// Worker is what the shard's owner believes of one life of a worker. The owner
// keeps one value a life, since tickets refer to it.
type Worker struct {
	ID       string
	Born     int64
	Service  string
	Zone     string
	Rack     string
	Labels   []string
	Capacity Resources
	// Usable workers answer, do not drain, and have been seen under the owner's
	// fencing token.
	Usable bool
	// Penalty grows with failures without success; workers with less go first.
	Penalty int

	// free is the room that nobody takes or has reserved, in the present pass.
	free Resources
}

// Key returns the worker's identity.
func (w *Worker) Key() WorkerKey {
	return WorkerKey{
		ID:   w.ID,
		Born: w.Born,
	}
}

// Planner decides what starts next on a set of workers.
type Planner struct {
	state   *State
	rules   Rules
	workers []*Worker
	steps   []*Step
	// largestFree is the largest room of any usable worker in each dimension; what does
	// not fit in it fits nowhere.
	largestFree Resources
	// byFree lists the workers, those with most room at the start of the pass first;
	// empty until it is wanted.
	byFree []*Worker
	// commitMillis is how long a decision takes to be recorded.
	commitMillis int64
}

// WithCommitMillis returns the planner for decisions that take so long to be
// recorded, in milliseconds; tickets must outlast that.
func (p *Planner) WithCommitMillis(millis int64) *Planner {
	planner := *p
	planner.commitMillis = millis
	return &planner
}

// requiredExpiry returns when a ticket must still be valid for a start decided now.
func (p *Planner) requiredExpiry(now int64) int64 {
	return now + ticketMarginMillis + p.commitMillis
}

// NewPlanner returns a planner of one moment; the workers must not change while
// it is used.
func NewPlanner(state *State, rules Rules, workers []*Worker, now int64) *Planner {
	p := &Planner{
		state:   state,
		rules:   rules,
		workers: workers,
	}
	for _, w := range workers {
		w.free = w.Capacity.Minus(state.used[w.Key()])
	}
	p.collectSteps(now)
	for _, w := range workers {
		if w.Usable {
			p.largestFree = p.largestFree.componentMax(w.free)
		}
	}
	return p
}

// collectSteps finds the steps with tasks to start and takes the room that gangs have
// reserved. The order is: jobs within their team's rate before those beyond it,
// operators' priority, hope, and the earliest due. It answers an overload, in
// which serving the earliest due first would make every job late.
func (p *Planner) collectSteps(now int64) {
	type ranked struct {
		step  *Step
		class int
		due   int64
	}
	var runnable []ranked
	for _, j := range p.state.unplaced {
		queue, ok := p.rules.Queues[j.Queue]
		if !ok {
			continue
		}
		for _, step := range j.Steps {
			if step.Waiting() == 0 || !step.Ready() {
				continue
			}
			p.deductReserved(step, now)
			runnable = append(runnable, ranked{
				step:  step,
				class: priorityClass(step, queue, now),
				due:   j.DueMillis(queue),
			})
		}
	}
	slices.SortFunc(runnable, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.class, b.class), cmp.Compare(a.due, b.due),
			cmp.Compare(a.step.Job.ID, b.step.Job.ID), cmp.Compare(a.step.Number, b.step.Number))
	})
	p.steps = make([]*Step, len(runnable))
	for n, r := range runnable {
		p.steps[n] = r.step
	}
}

// priorityClass ranks a step by all that goes before its due time.
func priorityClass(step *Step, queue Queue, now int64) int {
	const overRateWeight, priorityWeight = 1 << 16, 1 << 2
	class := queue.Priority*priorityWeight + int(step.feasibility(queue, now))
	if step.Job.Excess {
		class += overRateWeight
	}
	return class
}

func (p *Planner) deductReserved(step *Step, now int64) {
	a := &step.Advice
	if a.reserved == nil {
		return
	}
	if a.reservedUntil < now {
		a.reserved = nil
		return
	}
	for w, n := range a.reserved {
		w.free = w.free.Minus(step.Spec.Needs.Times(int64(n)))
	}
}

// freeFor returns the worker's room for the step, its own reservation included.
func (p *Planner) freeFor(step *Step, w *Worker) Resources {
	if n := step.Advice.reserved[w]; n > 0 {
		return w.free.Plus(step.Spec.Needs.Times(int64(n)))
	}
	return w.free
}

// stepsToPrefetch returns steps that wait only for steps that run, and that the policy
// was never asked about.
func (p *Planner) stepsToPrefetch(now int64) []*Step {
	var steps []*Step
	for _, j := range p.state.unplaced {
		for _, step := range j.Steps {
			if len(step.Spec.After) == 0 || step.Advice.queried || step.done > 0 || step.Ready() {
				continue
			}
			if p.nearlyReady(step, now) {
				steps = append(steps, step)
			}
		}
	}
	return steps
}

func (p *Planner) nearlyReady(step *Step, now int64) bool {
	for _, a := range step.Spec.After {
		dependency := step.Job.Steps[a]
		if dependency.Done() {
			continue
		}
		for _, t := range dependency.Tasks {
			if t.Done {
				continue
			}
			if t.Place == nil || t.Place.StartedMillis == 0 ||
				now < t.Place.StartedMillis+dependency.Spec.EstimateMillis-prefetchLeadMillis {
				return false
			}
		}
	}
	return true
}

// eligible reports whether the step may run on the worker by service and label.
func (p *Planner) eligible(step *Step, queue Queue, w *Worker) bool {
	return w.Usable && w.Service == queue.Service &&
		(step.Spec.Label == "" || slices.Contains(w.Labels, step.Spec.Label))
}

// allowedWorkers returns the usable workers on which the policy, if any, lets the step
// run, whether or not the ticket is still valid.
func (p *Planner) allowedWorkers(step *Step, queue Queue) []*Worker {
	var workers []*Worker
	if queue.Policy == nil {
		for _, w := range p.workers {
			if p.eligible(step, queue, w) {
				workers = append(workers, w)
			}
		}
		return workers
	}
	for w := range step.Advice.allowed {
		if p.eligible(step, queue, w) {
			workers = append(workers, w)
		}
	}
	slices.SortFunc(workers, func(a, b *Worker) int {
		return cmp.Compare(a.ID, b.ID)
	})
	return workers
}

// startableWorkers returns the workers on which the step can start now.
func (p *Planner) startableWorkers(step *Step, queue Queue, gangPriority map[*Worker]int, now int64) []*Worker {
	workers := p.allowedWorkers(step, queue)
	return slices.DeleteFunc(workers, func(w *Worker) bool {
		if priority, ok := gangPriority[w]; ok && priority < queue.Priority {
			return true
		}
		return queue.Policy != nil && !step.Advice.hasValidTicket(w, p.requiredExpiry(now))
	})
}

// Plan returns the placements that can be made now and applies them to the
// state. Wide gangs neither starve nor are overtaken for long: while the first
// waiting gang lacks room, steps of lower priority keep off the workers that it
// will need.
func (p *Planner) Plan(now int64) []Record {
	var records []Record
	gangPriority := map[*Worker]int{}
	for _, step := range p.steps {
		queue := p.rules.Queues[step.Job.Queue]
		fits := step.Advice.reserved != nil || step.Spec.Needs.FitsIn(p.largestFree)
		ticketValid := queue.Policy == nil || step.Advice.validUntil > p.requiredExpiry(now)
		if !step.Spec.Gang {
			if fits && ticketValid {
				records = append(records, p.placeTasks(step, p.startableWorkers(step, queue, gangPriority, now))...)
			}
			continue
		}
		if !p.withinCap(step, step.Spec.Count) {
			continue
		}
		var placed []Record
		if fits && ticketValid {
			placed = p.placeGang(step, p.startableWorkers(step, queue, gangPriority, now))
			records = append(records, placed...)
		}
		if placed == nil {
			p.reserveForGang(step, queue, gangPriority)
		}
	}
	return records
}

// withinCap reports whether n more tasks of the step stay within its team's cap.
func (p *Planner) withinCap(step *Step, n int) bool {
	team, ok := p.rules.Teams[step.Job.Team]
	if !ok {
		return true
	}
	return p.state.teamUsed[team.Name].Plus(step.Spec.Needs.Times(int64(n))).WithinCap(team.Cap)
}

func (p *Planner) placeTasks(step *Step, workers []*Worker) []Record {
	var records []Record
	for n := range step.Tasks {
		t := &step.Tasks[n]
		if t.Done || t.Place != nil {
			continue
		}
		if !p.withinCap(step, 1) {
			return records
		}
		w := p.bestWorker(step, workers)
		if w == nil {
			return records
		}
		records = append(records, p.placeTask(step, n, t.Attempt+1, w))
	}
	return records
}

// bestWorker returns the worker with the least room left after one more task, sound
// workers and those near the step's data first, or nil.
func (p *Planner) bestWorker(step *Step, workers []*Worker) *Worker {
	var best *Worker
	var bestScore int64
	for _, w := range workers {
		free := p.freeFor(step, w)
		if !step.Spec.Needs.FitsIn(free) || p.remainingPerWorker(step, w) < 1 {
			continue
		}
		score := free.MilliCores + p.placementCost(step, w)
		if best == nil || score < bestScore {
			best, bestScore = w, score
		}
	}
	return best
}

// placementCost weighs what is against a worker, in thousandths of a core of room
// that would have to speak for it.
func (p *Planner) placementCost(step *Step, w *Worker) int64 {
	const offDataRackCost, costPerPenalty = 1 << 24, 1 << 26
	cost := int64(w.Penalty) * costPerPenalty
	if step.Spec.DataRack != "" && step.Spec.DataRack != w.Rack {
		cost += offDataRackCost
	}
	return cost
}

// remainingPerWorker returns how many more tasks of the step the worker may have.
func (p *Planner) remainingPerWorker(step *Step, w *Worker) int {
	if step.Spec.PerWorker == 0 {
		return len(step.Tasks)
	}
	remaining := step.Spec.PerWorker
	key := w.Key()
	for _, t := range step.Tasks {
		if t.Place != nil && t.Place.Worker == key {
			remaining--
		}
	}
	return remaining
}

func (p *Planner) placeGang(step *Step, workers []*Worker) []Record {
	plan := p.packGang(step, workers)
	if plan == nil {
		return nil
	}
	attempt := 0
	for _, t := range step.Tasks {
		attempt = max(attempt, t.Attempt)
	}
	for w, n := range step.Advice.reserved {
		w.free = w.free.Plus(step.Spec.Needs.Times(int64(n)))
	}
	step.Advice.reserved = nil
	var records []Record
	for w, n := range plan {
		for range n {
			records = append(records, p.placeTask(step, len(records), attempt+1, w))
		}
	}
	return records
}

// packGang returns how many of the gang's tasks go to each worker, on as few
// workers as possible, or nil when they do not all fit.
func (p *Planner) packGang(step *Step, workers []*Worker) map[*Worker]int {
	if step.Spec.OneRack {
		if plan := p.packOneRack(step, workers); plan != nil {
			return plan
		}
	}
	return p.pack(step, workers)
}

func (p *Planner) packOneRack(step *Step, workers []*Worker) map[*Worker]int {
	racks := map[string][]*Worker{}
	var names []string
	for _, w := range workers {
		if racks[w.Rack] == nil {
			names = append(names, w.Rack)
		}
		racks[w.Rack] = append(racks[w.Rack], w)
	}
	slices.Sort(names)
	for _, name := range names {
		if plan := p.pack(step, racks[name]); plan != nil {
			return plan
		}
	}
	return nil
}

func (p *Planner) pack(step *Step, workers []*Worker) map[*Worker]int {
	type candidate struct {
		worker *Worker
		tasks  int
		score  int64
	}
	var candidates []candidate
	total := 0
	for _, w := range workers {
		n := step.Spec.Needs.fitCount(p.freeFor(step, w), min(step.Spec.Count, p.remainingPerWorker(step, w)))
		if n == 0 {
			continue
		}
		total += n
		candidates = append(candidates, candidate{
			worker: w,
			tasks:  n,
			score:  p.placementCost(step, w) + w.free.MilliCores - int64(n)*step.Spec.Needs.MilliCores,
		})
	}
	if total < step.Spec.Count {
		return nil
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.score, b.score), cmp.Compare(b.tasks, a.tasks), cmp.Compare(a.worker.ID, b.worker.ID))
	})
	plan := map[*Worker]int{}
	remaining := step.Spec.Count
	for _, c := range candidates {
		n := min(remaining, c.tasks)
		if n == 0 {
			break
		}
		plan[c.worker] = n
		remaining -= n
	}
	return plan
}

// reserveForGang marks the workers that will hold the gang once they have emptied, the
// emptiest first, so that lower priorities leave them alone.
func (p *Planner) reserveForGang(step *Step, queue Queue, gangPriority map[*Worker]int) {
	if len(gangPriority) == len(p.workers) {
		return
	}
	allowed := slices.DeleteFunc(p.allowedWorkers(step, queue), func(w *Worker) bool {
		_, reserved := gangPriority[w]
		return reserved
	})
	slices.SortFunc(allowed, func(a, b *Worker) int {
		return cmp.Or(cmp.Compare(b.free.MilliCores, a.free.MilliCores), cmp.Compare(a.ID, b.ID))
	})
	remaining := step.Spec.Count
	for _, w := range allowed {
		if remaining <= 0 {
			return
		}
		gangPriority[w] = queue.Priority
		remaining -= step.Spec.Needs.fitCount(w.Capacity, step.Spec.Count)
	}
}

func (p *Planner) placeTask(step *Step, index, attempt int, w *Worker) Record {
	r := Record{
		Kind:    RecordPlace,
		Job:     step.Job.ID,
		Step:    step.Number,
		Index:   index,
		Attempt: attempt,
		Worker:  w.ID,
		Born:    w.Born,
	}
	if err := p.state.Apply(r); err != nil {
		panic("job: planned a placement that the state refuses: " + err.Error())
	}
	w.free = w.free.Minus(step.Spec.Needs)
	return r
}
