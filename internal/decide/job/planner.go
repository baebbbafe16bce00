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
	// most is the largest room of any usable worker in each dimension; what does
	// not fit in it fits nowhere.
	most Resources
	// byRoom lists the workers, those with most room at the start of the pass first;
	// empty until it is wanted.
	byRoom []*Worker
	// commitMillis is how long a decision takes to be recorded.
	commitMillis int64
}

// WithCommitMillis returns the planner for decisions that take so long to be
// recorded, in milliseconds; tickets must outlast that.
func (p *Planner) WithCommitMillis(millis int64) *Planner {
	with := *p
	with.commitMillis = millis
	return &with
}

// startBy returns when a ticket must still be valid for a start decided now.
func (p *Planner) startBy(now int64) int64 {
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
	p.collect(now)
	for _, w := range workers {
		if w.Usable {
			p.most = p.most.most(w.free)
		}
	}
	return p
}

// collect finds the steps with tasks to start and takes the room that gangs have
// reserved. The order is: jobs within their team's rate before those beyond it,
// operators' priority, hope, and the earliest due. It answers an overload, in
// which serving the earliest due first would make every job late.
func (p *Planner) collect(now int64) {
	type ranked struct {
		step *Step
		band int
		due  int64
	}
	var found []ranked
	for _, j := range p.state.unplaced {
		queue, ok := p.rules.Queues[j.Queue]
		if !ok {
			continue
		}
		for _, step := range j.Steps {
			if step.Waiting() == 0 || !step.Ready() {
				continue
			}
			p.takeReserved(step, now)
			found = append(found, ranked{
				step: step,
				band: band(step, queue, now),
				due:  j.DueMillis(queue),
			})
		}
	}
	slices.SortFunc(found, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.band, b.band), cmp.Compare(a.due, b.due),
			cmp.Compare(a.step.Job.ID, b.step.Job.ID), cmp.Compare(a.step.Number, b.step.Number))
	})
	p.steps = make([]*Step, len(found))
	for n, f := range found {
		p.steps[n] = f.step
	}
}

// band ranks a step by all that goes before its due time.
func band(step *Step, queue Queue, now int64) int {
	const excess, priority = 1 << 16, 1 << 2
	rank := queue.Priority*priority + int(step.hope(queue, now))
	if step.Job.Excess {
		rank += excess
	}
	return rank
}

func (p *Planner) takeReserved(step *Step, now int64) {
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

// upcoming returns steps that wait only for steps that run, and that the policy
// was never asked about.
func (p *Planner) upcoming(now int64) []*Step {
	var steps []*Step
	for _, j := range p.state.unplaced {
		for _, step := range j.Steps {
			if len(step.Spec.After) == 0 || step.Advice.asked || step.done > 0 || step.Ready() {
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
		before := step.Job.Steps[a]
		if before.Done() {
			continue
		}
		for _, t := range before.Tasks {
			if t.Done {
				continue
			}
			if t.Place == nil || t.Place.StartedMillis == 0 ||
				now < t.Place.StartedMillis+before.Spec.EstimateMillis-prefetchMillis {
				return false
			}
		}
	}
	return true
}

// runsOn reports whether the step may run on the worker by service and label.
func (p *Planner) runsOn(step *Step, queue Queue, w *Worker) bool {
	return w.Usable && w.Service == queue.Service &&
		(step.Spec.Label == "" || slices.Contains(w.Labels, step.Spec.Label))
}

// known returns the usable workers on which the policy, if any, lets the step
// run, whether or not the ticket is still valid.
func (p *Planner) known(step *Step, queue Queue) []*Worker {
	var found []*Worker
	if queue.Policy == nil {
		for _, w := range p.workers {
			if p.runsOn(step, queue, w) {
				found = append(found, w)
			}
		}
		return found
	}
	for w := range step.Advice.allowed {
		if p.runsOn(step, queue, w) {
			found = append(found, w)
		}
	}
	slices.SortFunc(found, func(a, b *Worker) int {
		return cmp.Compare(a.ID, b.ID)
	})
	return found
}

// ready returns the workers on which the step can start now.
func (p *Planner) ready(step *Step, queue Queue, kept map[*Worker]int, now int64) []*Worker {
	found := p.known(step, queue)
	return slices.DeleteFunc(found, func(w *Worker) bool {
		if priority, ok := kept[w]; ok && priority < queue.Priority {
			return true
		}
		return queue.Policy != nil && !step.Advice.valid(w, p.startBy(now))
	})
}

// Plan returns the placements that can be made now and applies them to the
// state. Wide gangs neither starve nor are overtaken for long: while the first
// waiting gang lacks room, steps of lower priority keep off the workers that it
// will need.
func (p *Planner) Plan(now int64) []Record {
	var records []Record
	kept := map[*Worker]int{}
	for _, step := range p.steps {
		queue := p.rules.Queues[step.Job.Queue]
		fits := step.Advice.reserved != nil || step.Spec.Needs.FitsIn(p.most)
		valid := queue.Policy == nil || step.Advice.validUntil > p.startBy(now)
		if !step.Spec.Gang {
			if fits && valid {
				records = append(records, p.placeEach(step, p.ready(step, queue, kept, now))...)
			}
			continue
		}
		if !p.withinCap(step, step.Spec.Count) {
			continue
		}
		var placed []Record
		if fits && valid {
			placed = p.placeGang(step, p.ready(step, queue, kept, now))
			records = append(records, placed...)
		}
		if placed == nil {
			p.keepRoom(step, queue, kept)
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
	return p.state.teams[team.Name].Plus(step.Spec.Needs.Times(int64(n))).WithinCap(team.Cap)
}

func (p *Planner) placeEach(step *Step, usable []*Worker) []Record {
	var records []Record
	for n := range step.Tasks {
		t := &step.Tasks[n]
		if t.Done || t.Place != nil {
			continue
		}
		if !p.withinCap(step, 1) {
			return records
		}
		w := p.best(step, usable)
		if w == nil {
			return records
		}
		records = append(records, p.place(step, n, t.Attempt+1, w))
	}
	return records
}

// best returns the worker with the least room left after one more task, sound
// workers and those near the step's data first, or nil.
func (p *Planner) best(step *Step, usable []*Worker) *Worker {
	var best *Worker
	var bestScore int64
	for _, w := range usable {
		room := p.freeFor(step, w)
		if !step.Spec.Needs.FitsIn(room) || p.spreadLeft(step, w) < 1 {
			continue
		}
		score := room.MilliCores + p.distance(step, w)
		if best == nil || score < bestScore {
			best, bestScore = w, score
		}
	}
	return best
}

// distance weighs what is against a worker, in thousandths of a core of room
// that would have to speak for it.
func (p *Planner) distance(step *Step, w *Worker) int64 {
	const farFromData, perPenalty = 1 << 24, 1 << 26
	score := int64(w.Penalty) * perPenalty
	if step.Spec.DataRack != "" && step.Spec.DataRack != w.Rack {
		score += farFromData
	}
	return score
}

// spreadLeft returns how many more tasks of the step the worker may have.
func (p *Planner) spreadLeft(step *Step, w *Worker) int {
	if step.Spec.PerWorker == 0 {
		return len(step.Tasks)
	}
	left := step.Spec.PerWorker
	key := w.Key()
	for _, t := range step.Tasks {
		if t.Place != nil && t.Place.Worker == key {
			left--
		}
	}
	return left
}

func (p *Planner) placeGang(step *Step, usable []*Worker) []Record {
	plan := p.packGang(step, usable)
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
			records = append(records, p.place(step, len(records), attempt+1, w))
		}
	}
	return records
}

// packGang returns how many of the gang's tasks go to each worker, on as few
// workers as possible, or nil when they do not all fit.
func (p *Planner) packGang(step *Step, usable []*Worker) map[*Worker]int {
	if step.Spec.OneRack {
		if plan := p.packOneRack(step, usable); plan != nil {
			return plan
		}
	}
	return p.pack(step, usable)
}

func (p *Planner) packOneRack(step *Step, usable []*Worker) map[*Worker]int {
	racks := map[string][]*Worker{}
	var names []string
	for _, w := range usable {
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

func (p *Planner) pack(step *Step, usable []*Worker) map[*Worker]int {
	type slot struct {
		worker *Worker
		copies int
		score  int64
	}
	var slots []slot
	total := 0
	for _, w := range usable {
		n := step.Spec.Needs.copiesIn(p.freeFor(step, w), min(step.Spec.Count, p.spreadLeft(step, w)))
		if n == 0 {
			continue
		}
		total += n
		slots = append(slots, slot{
			worker: w,
			copies: n,
			score:  p.distance(step, w) + w.free.MilliCores - int64(n)*step.Spec.Needs.MilliCores,
		})
	}
	if total < step.Spec.Count {
		return nil
	}
	slices.SortFunc(slots, func(a, b slot) int {
		return cmp.Or(cmp.Compare(a.score, b.score), cmp.Compare(b.copies, a.copies), cmp.Compare(a.worker.ID, b.worker.ID))
	})
	plan := map[*Worker]int{}
	left := step.Spec.Count
	for _, s := range slots {
		n := min(left, s.copies)
		if n == 0 {
			break
		}
		plan[s.worker] = n
		left -= n
	}
	return plan
}

// keepRoom marks the workers that will hold the gang once they have emptied, the
// emptiest first, so that lower priorities leave them alone.
func (p *Planner) keepRoom(step *Step, queue Queue, kept map[*Worker]int) {
	if len(kept) == len(p.workers) {
		return
	}
	allowed := slices.DeleteFunc(p.known(step, queue), func(w *Worker) bool {
		_, taken := kept[w]
		return taken
	})
	slices.SortFunc(allowed, func(a, b *Worker) int {
		return cmp.Or(cmp.Compare(b.free.MilliCores, a.free.MilliCores), cmp.Compare(a.ID, b.ID))
	})
	left := step.Spec.Count
	for _, w := range allowed {
		if left <= 0 {
			return
		}
		kept[w] = queue.Priority
		left -= step.Spec.Needs.copiesIn(w.Capacity, step.Spec.Count)
	}
}

func (p *Planner) place(step *Step, index, attempt int, w *Worker) Record {
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
