package job

import (
	"cmp"
	"slices"
)

// ticketMarginMillis is how long a ticket must still be valid when a start is planned,
// in addition to the commit time: one hop between regions, and one retry of it.
const ticketMarginMillis = 140

// Worker is the shard owner's view of one incarnation of a worker. The owner must use
// the same *Worker for an incarnation in all passes, since tickets are keyed by it.
type Worker struct {
	ID          string
	Incarnation int64
	Service     string
	Zone        string
	Rack        string
	Labels      []string
	Capacity    Resources
	// Usable is set if the worker is in the directory, answers, has seen the owner's
	// fencing token, and is neither draining nor in quarantine nor shut off.
	Usable bool
	// ShutOff is set if the worker's failure domain is evacuated.
	ShutOff bool
	// Penalty grows with the failures since the last success; workers with a lower
	// penalty are preferred.
	Penalty int

	// free is the capacity that is neither used nor reserved for a gang, in the
	// present pass.
	free Resources
	// isolatedFor is the ID of the job whose suspects run on the worker or will run there
	// once it is empty, in the present pass; empty if there is none.
	isolatedFor string
}

// Key returns the key of the worker's incarnation.
func (w *Worker) Key() WorkerKey {
	return WorkerKey{
		ID:          w.ID,
		Incarnation: w.Incarnation,
	}
}

// Planner plans which tasks start on a set of workers, in one pass.
type Planner struct {
	state   *State
	rules   Rules
	workers []*Worker
	// steps are the steps with tasks to place, in the order in which they are served.
	steps []*Step
	// largestFree is, in each dimension, the largest free capacity of any usable worker
	// at the start of the pass. A task that does not fit in it fits on no worker, unless
	// capacity is reserved for its own gang.
	largestFree Resources
	// byFree lists the workers in decreasing order of the processors that were free when
	// the pass first needed the list; nil before.
	byFree []*Worker
	// withoutWorkers holds the steps with suspects that fit on none of the workers on which
	// they may run.
	withoutWorkers map[*Step]bool
	// underused says, by service, whether under half of the processors are in use; a service is missing
	// until the pass needs it.
	underused map[string]bool
	// commitMillis is the expected time until a placement is durable.
	commitMillis int64
	// startBudget is what start orders may cost that are placed in the pass, and startCost returns
	// the cost of one; nil if there is no limit.
	startBudget float64
	startCost   func(*Job) float64
	// preference adds to the placement cost of a step on a worker; nil if there is none.
	preference func(*Step, *Worker) int64
}

// WithPreference returns a copy of the planner that adds cost(step, worker), in thousandths of a
// core, to the cost of placing a task of the step on the worker. It changes which of the workers
// with room is chosen, not whether one is.
func (p *Planner) WithPreference(cost func(*Step, *Worker) int64) *Planner {
	planner := *p
	planner.preference = cost
	return &planner
}

// WithStartBudget returns a copy of the planner that places no further step once the start orders
// of the pass cost the budget or more, by the cost of one order of a job. Tasks that are placed
// before their orders can be sent would hold their workers, and their tickets would expire.
func (p *Planner) WithStartBudget(budget float64, cost func(*Job) float64) *Planner {
	planner := *p
	planner.startBudget, planner.startCost = budget, cost
	return &planner
}

// StartCosts returns the costs of the start orders of all tasks that could be placed if there were
// room, by the priority of their queue.
func (p *Planner) StartCosts(cost func(*Job) float64) map[int]float64 {
	costs := map[int]float64{}
	for _, step := range p.steps {
		costs[p.rules.Queues[step.Job.Queue].Priority] += float64(step.Waiting()) * cost(step.Job)
	}
	return costs
}

// spend deducts the cost of the placements of a step from the budget.
func (p *Planner) spend(step *Step, placed []Record) {
	if p.startCost != nil {
		p.startBudget -= float64(len(placed)) * p.startCost(step.Job)
	}
}

// maySpend reports whether the budget permits a further step.
func (p *Planner) maySpend() bool {
	return p.startCost == nil || p.startBudget > 0
}

// WithCommitMillis returns a copy of the planner that expects a placement to become
// durable after millis milliseconds. Tasks start only then, so their tickets must
// outlast that time.
func (p *Planner) WithCommitMillis(millis int64) *Planner {
	planner := *p
	planner.commitMillis = millis
	return &planner
}

// requiredExpiry returns the Unix millisecond after which a ticket must expire so that a
// start planned now can use it.
func (p *Planner) requiredExpiry(now int64) int64 {
	return now + ticketMarginMillis + p.commitMillis
}

// NewPlanner returns a planner for one pass at the Unix millisecond now. Until the pass is
// over, the workers must not change, and NewPlanner must not be called for them again.
func NewPlanner(state *State, rules Rules, workers []*Worker, now int64) *Planner {
	p := &Planner{
		state:     state,
		rules:     rules,
		workers:   workers,
		underused: map[string]bool{},
	}
	for _, w := range workers {
		w.free = w.Capacity.Minus(state.used[w.Key()])
		w.isolatedFor = ""
	}
	p.collectSteps(now)
	p.isolateSuspects(now)
	for _, w := range workers {
		if w.Usable {
			p.largestFree = p.largestFree.componentMax(w.free)
		}
	}
	return p
}

// collectSteps lists the steps with tasks to place, in the order in which they are
// served, and deducts the capacity that gangs have reserved. Jobs within their team's
// rate go before those over it; then the order is by the operators' priority, by
// feasibility and by deadline. Feasibility goes before the deadline because under
// overload serving the earliest deadline first would make every job late.
func (p *Planner) collectSteps(now int64) {
	type ranked struct {
		step      *Step
		class     int
		dueMillis int64
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
				step:      step,
				class:     priorityClass(step, queue, now),
				dueMillis: j.DueMillis(queue),
			})
		}
	}
	slices.SortFunc(runnable, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.class, b.class), cmp.Compare(a.dueMillis, b.dueMillis),
			cmp.Compare(a.step.Job.ID, b.step.Job.ID), cmp.Compare(a.step.Number, b.step.Number))
	})
	p.steps = make([]*Step, len(runnable))
	for n, r := range runnable {
		p.steps[n] = r.step
	}
}

// priorityClass combines the criteria that go before the deadline: the team's rate, the
// operators' priority and feasibility. Lower classes go first.
func priorityClass(step *Step, queue Queue, now int64) int {
	const overRateWeight, priorityWeight = 1 << 16, 1 << 2
	class := queue.Priority*priorityWeight + int(step.feasibility(queue, now))
	if step.Job.OverRate {
		class += overRateWeight
	}
	return class
}

// deductReserved deducts the step's reservation, if any, from the workers' free
// capacity, or drops the reservation if it has expired.
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

// freeFor returns the worker's free capacity for the step, which includes the step's
// own reservation.
func (p *Planner) freeFor(step *Step, w *Worker) Resources {
	if n := step.Advice.reserved[w]; n > 0 {
		return w.free.Plus(step.Spec.Needs.Times(int64(n)))
	}
	return w.free
}

// stepsToPrefetch returns the steps that become ready soon and about which the policy
// service has not answered yet.
func (p *Planner) stepsToPrefetch(now int64) []*Step {
	var steps []*Step
	for _, j := range p.state.unplaced {
		for _, step := range j.Steps {
			if len(step.Spec.After) == 0 || step.Advice.answered || step.done > 0 || step.Ready() {
				continue
			}
			if p.nearlyReady(step, now) {
				steps = append(steps, step)
			}
		}
	}
	return steps
}

// nearlyReady reports whether all unfinished tasks that the step waits for are running
// and are expected to end within prefetchLeadMillis.
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
			if t.Placement == nil || t.Placement.StartedMillis == 0 ||
				now < t.Placement.StartedMillis+dependency.Spec.EstimateMillis-prefetchLeadMillis {
				return false
			}
		}
	}
	return true
}

// eligible reports whether the worker is usable and has the service and the label that
// the step requires.
func (p *Planner) eligible(step *Step, queue Queue, w *Worker) bool {
	return w.Usable && isSuitable(step, queue, w)
}

// isSuitable reports whether the worker has the service and the label that the step requires.
func isSuitable(step *Step, queue Queue, w *Worker) bool {
	return w.Service == queue.Service && (step.Spec.Label == "" || slices.Contains(w.Labels, step.Spec.Label))
}

// allowedWorkers returns the eligible workers on which the policy, if any, and the
// isolation of suspects allow the step to run, whether or not its tickets are still valid.
func (p *Planner) allowedWorkers(step *Step, queue Queue) []*Worker {
	workers := p.permittedWorkers(step, queue)
	if len(p.state.suspects) == 0 {
		return workers
	}
	return slices.DeleteFunc(workers, func(w *Worker) bool {
		return !p.admits(w, step)
	})
}

// permittedWorkers returns the eligible workers on which the policy, if any, allows the
// step to run, whether or not their tickets are still valid.
func (p *Planner) permittedWorkers(step *Step, queue Queue) []*Worker {
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

// startableWorkers returns the allowed workers whose tickets are valid and that are not
// reserved for a gang of higher priority, unless reservations have held the step back for
// long. The map gangPriority holds the priorities of the gangs for which reserveForGang has
// reserved workers.
func (p *Planner) startableWorkers(step *Step, queue Queue, gangPriority map[*Worker]int, now int64) []*Worker {
	workers := p.allowedWorkers(step, queue)
	if len(gangPriority) > 0 {
		workers = p.withoutReserved(step, queue, workers, gangPriority, now)
	}
	if queue.Policy == nil {
		return workers
	}
	return slices.DeleteFunc(workers, func(w *Worker) bool {
		return !step.Advice.hasValidTicket(w, p.requiredExpiry(now))
	})
}

// Plan returns the placements that can be made now and applies them to the state.
// While a gang does not fit or lacks valid tickets, steps of lower priority may not start
// on the workers that it will need, so that wide gangs do not starve; maxHeldBackMillis
// limits this. It does not apply to a gang that would exceed its team's cap.
func (p *Planner) Plan(now int64) []Record {
	var records []Record
	gangPriority := map[*Worker]int{}
	for _, step := range p.steps {
		if p.awaitsIsolation(step) {
			continue
		}
		queue := p.rules.Queues[step.Job.Queue]
		fits := step.Advice.reserved != nil || step.Spec.Needs.FitsIn(p.largestFree)
		ticketValid := queue.Policy == nil || step.Advice.validUntil > p.requiredExpiry(now)
		if !p.maySpend() {
			fits = false
		}
		if !step.Spec.Gang {
			if fits && ticketValid {
				placed := p.placeTasks(step, p.startableWorkers(step, queue, gangPriority, now))
				p.spend(step, placed)
				records = append(records, placed...)
			}
			continue
		}
		if !p.withinCap(step, step.Spec.Count) {
			continue
		}
		var placed []Record
		if fits && ticketValid {
			placed = p.placeGang(step, p.startableWorkers(step, queue, gangPriority, now))
			p.spend(step, placed)
			records = append(records, placed...)
		}
		if placed == nil {
			p.reserveForGang(step, queue, gangPriority)
		}
	}
	return records
}

// withinCap reports whether the step's team stays within its cap with n more of the
// step's tasks.
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
		if t.Done || t.Placement != nil || (t.Crashes == 0 && p.isSuspect(step.Job)) {
			continue // tasks without crashes wait until the job's suspects are cleared
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

// bestWorker returns the worker for one more task of the step, or nil if the task fits on
// none within the step's limit per worker. It prefers workers with a lower penalty, then
// those on the step's data rack, then those with the fewest free processors (best fit).
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

// placementCost returns the cost of running the step on the worker, in thousandths of
// a core, so that it can be added to the free processors. Being off the data rack costs
// as much as 16 777 cores and each penalty point four times that, so that both outweigh
// free processors.
func (p *Planner) placementCost(step *Step, w *Worker) int64 {
	const offDataRackCost, costPerPenalty = 1 << 24, 1 << 26
	cost := int64(w.Penalty) * costPerPenalty
	if step.Spec.DataRack != "" && step.Spec.DataRack != w.Rack {
		cost += offDataRackCost
	}
	if p.preference != nil {
		cost += p.preference(step, w)
	}
	return cost
}

// remainingPerWorker returns how many more of the step's tasks may be placed on the
// worker under the step's limit per worker.
func (p *Planner) remainingPerWorker(step *Step, w *Worker) int {
	if step.Spec.MaxPerWorker == 0 {
		return len(step.Tasks)
	}
	remaining := step.Spec.MaxPerWorker
	key := w.Key()
	for _, t := range step.Tasks {
		if t.Placement != nil && t.Placement.Worker == key {
			remaining--
		}
	}
	return remaining
}

// placeGang places all tasks of the gang, or none and returns nil. The members start
// with the same attempt number.
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

// packGang returns the number of the gang's tasks for each worker, or nil if they do not
// all fit. A gang that prefers one rack is spread over racks only if it fits on none.
func (p *Planner) packGang(step *Step, workers []*Worker) map[*Worker]int {
	if step.Spec.PreferOneRack {
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

// pack returns the number of the step's tasks for each worker, or nil if they do not all
// fit. It fills the workers in ascending order of placement cost plus the processors that
// would remain free; ties go to workers with capacity for more tasks, to use few workers.
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

func (p *Planner) placeTask(step *Step, index, attempt int, w *Worker) Record {
	r := Record{
		Kind:        RecordPlace,
		Job:         step.Job.ID,
		Step:        step.Number,
		Index:       index,
		Attempt:     attempt,
		Worker:      w.ID,
		Incarnation: w.Incarnation,
	}
	if err := p.state.Apply(r); err != nil {
		panic("job: state rejected a planned placement: " + err.Error())
	}
	w.free = w.free.Minus(step.Spec.Needs)
	return r
}
