package job

import (
	"cmp"
	"maps"
	"slices"
)

// Exclusion is why a worker cannot take a task of a step now.
type Exclusion string

// The exclusions, in the order in which they are checked.
const (
	ExcludedService   Exclusion = "service"   // it runs tasks of another service
	ExcludedUnusable  Exclusion = "unusable"  // it does not answer, leaves, is evacuated or in quarantine
	ExcludedLabel     Exclusion = "label"     // it lacks the label that the step requires
	ExcludedIsolation Exclusion = "isolation" // it is isolated for tasks that may crash workers
	ExcludedCapacity  Exclusion = "capacity"  // it has no room for a task beside those that go first
)

// AllExclusions returns all exclusions, in the order in which they are checked.
func AllExclusions() []Exclusion {
	return []Exclusion{ExcludedService, ExcludedUnusable, ExcludedLabel, ExcludedIsolation, ExcludedCapacity}
}

// Trial is a submission that is not accepted, only tried.
type Trial struct {
	Team       string
	Queue      string
	Submission *Submission
	// OverRate is set if the job would be over its team's agreed rate.
	OverRate bool
}

// Candidate is a worker on which tasks of a step could start now.
type Candidate struct {
	Worker *Worker
	// FreeMilliCores is what the steps that go first leave free.
	FreeMilliCores int64
	// Cost is the placement cost in thousandths of a core.
	Cost int64
	// Fits is how many of the step's tasks have room, and Starts how many would start there now.
	Fits, Starts int
}

// StepPreview says where the tasks of a step would go now.
type StepPreview struct {
	// Ahead is the number of steps of other jobs that go first and would still wait.
	Ahead int
	// Candidates are the workers with room, in the order in which they are preferred. If the queue
	// has a policy service, which is not asked, it may allow only some of them.
	Candidates []Candidate
	// Excluded counts the other workers.
	Excluded map[Exclusion]int
	// Starts is the number of tasks that would start now. Cause is why the others would wait, and
	// Reason describes it; both are empty if none would.
	Starts int
	Cause  WaitCause
	Reason string
}

// trialID comes after the IDs of jobs that callers choose, so that the trial is the last of equals.
const trialID = "~trial"

// Preview returns, for each step of the trial, where its tasks would go if it were accepted and
// planned now. It works on a copy, and neither the state nor the workers change. The function configure
// is applied to the planner, which it gets with the copy of the state.
func Preview(state *State, rules Rules, workers []*Worker, trial Trial, now int64, configure func(*State, *Planner) *Planner) ([]StepPreview, error) {
	defer keepWorkers(workers)()
	state = state.forTrial()
	err := state.Apply(Record{
		Kind:       RecordAccept,
		Job:        trialID,
		Team:       trial.Team,
		Queue:      trial.Queue,
		TimeMillis: now,
		Submission: trial.Submission,
		OverRate:   trial.OverRate,
	})
	if err != nil {
		return nil, err
	}
	tried := state.Job(trialID)
	isTried := func(s *Step) bool { return s.Job == tried }
	p := configure(state, NewPlanner(state, rules, workers, now))
	first := slices.IndexFunc(p.steps, isTried)
	previews := make([]StepPreview, len(tried.Steps))
	if first >= 0 {
		steps := p.steps
		p.steps = steps[:first]
		p.Plan(now)
		ahead := slices.DeleteFunc(slices.Clone(p.steps), func(s *Step) bool { return s.Waiting() == 0 })
		p.steps = slices.Clone(ahead)
		for _, step := range steps[first:] {
			if isTried(step) {
				previews[step.Number] = p.candidates(step)
				previews[step.Number].Ahead = len(ahead)
				p.steps = append(p.steps, step)
			}
		}
		p.Plan(now)
	}
	for n, step := range tried.Steps {
		previews[n].addOutcome(p, step, now)
	}
	return previews, nil
}

// addOutcome adds what has become of the step in the pass.
func (s *StepPreview) addOutcome(p *Planner, step *Step, now int64) {
	starts := map[WorkerKey]int{}
	for _, t := range step.Tasks {
		if t.Placement != nil {
			starts[t.Placement.Worker]++
			s.Starts++
		}
	}
	for n, c := range s.Candidates {
		s.Candidates[n].Starts = starts[c.Worker.Key()]
	}
	if step.unplaced > 0 {
		s.Cause, _ = p.waitCause(step, now)
		s.Reason = p.waitReason(step, now)
	}
}

// candidates returns the workers with room for the step and why the others are excluded. The order is
// that of bestWorker, or of pack for a gang.
func (p *Planner) candidates(step *Step) StepPreview {
	preview := StepPreview{Excluded: map[Exclusion]int{}}
	queue := p.rules.Queues[step.Job.Queue]
	score := func(c Candidate) int64 {
		if step.Spec.Gang {
			return c.Cost + c.FreeMilliCores - int64(c.Fits)*step.Spec.Needs.MilliCores
		}
		return c.Cost + c.FreeMilliCores
	}
	for _, w := range p.workers {
		if cause := p.exclusion(step, queue, w); cause != "" {
			preview.Excluded[cause]++
			continue
		}
		free := p.freeFor(step, w)
		preview.Candidates = append(preview.Candidates, Candidate{
			Worker:         w,
			FreeMilliCores: free.MilliCores,
			Cost:           p.placementCost(step, w),
			Fits:           step.Spec.Needs.fitCount(free, min(step.Spec.Count, p.remainingPerWorker(step, w))),
		})
	}
	slices.SortFunc(preview.Candidates, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(score(a), score(b)), cmp.Compare(a.Worker.ID, b.Worker.ID))
	})
	return preview
}

// exclusion returns why the worker cannot take a task of the step, or an empty value.
func (p *Planner) exclusion(step *Step, queue Queue, w *Worker) Exclusion {
	switch {
	case w.Service != queue.Service:
		return ExcludedService
	case !w.Usable:
		return ExcludedUnusable
	case step.Spec.Label != "" && !slices.Contains(w.Labels, step.Spec.Label):
		return ExcludedLabel
	case !p.admits(w, step):
		return ExcludedIsolation
	case !step.Spec.Needs.FitsIn(p.freeFor(step, w)):
		return ExcludedCapacity
	}
	return ""
}

// keepWorkers returns the function that resets what a pass changes of the workers.
func keepWorkers(workers []*Worker) func() {
	kept := make([]Worker, len(workers))
	for n, w := range workers {
		kept[n] = *w
	}
	return func() {
		for n, w := range workers {
			*w = kept[n]
		}
	}
}

// trialState is what a copy of a state for a trial does not share with the original.
type trialState struct {
	// steps are those whose tasks, and workers those whose placements are the copy's own.
	steps   map[*Step]bool
	workers map[WorkerKey]bool
}

// forTrial returns a copy of the state that can accept and place jobs while the original does not change.
// It shares the jobs without tasks to place, which planning only reads, and all tasks and placements until it
// changes them: the owner holds its lock meanwhile. The copy's open jobs are those that it accepts.
func (s *State) forTrial() *State {
	c := *s
	c.trial = &trialState{
		steps:   map[*Step]bool{},
		workers: map[WorkerKey]bool{},
	}
	c.open, c.groups, c.groupByKey = map[string]*Job{}, nil, map[groupKey]*Group{}
	c.jobs, c.placements, c.suspects = maps.Clone(s.jobs), maps.Clone(s.placements), maps.Clone(s.suspects)
	c.used, c.usedByEndless = maps.Clone(s.used), maps.Clone(s.usedByEndless)
	c.teamUsed, c.shares = maps.Clone(s.teamUsed), maps.Clone(s.shares)
	c.unplaced = make(map[string]*Job, len(s.unplaced))
	for id, j := range s.unplaced {
		copied := j.forTrial()
		c.jobs[id], c.unplaced[id] = copied, copied
		if c.suspects[id] != nil {
			c.suspects[id] = copied
		}
	}
	return &c
}

// forTrial returns a copy of the job and its steps, which share their tasks and tickets with the original.
func (j *Job) forTrial() *Job {
	c := *j
	steps := make([]Step, len(j.Steps))
	c.Steps = make([]*Step, len(j.Steps))
	for n, step := range j.Steps {
		steps[n] = *step
		steps[n].Job = &c
		c.Steps[n] = &steps[n]
	}
	return &c
}

// own copies what the placement changes, if the state is a copy that shares it with its original.
func (s *State) own(place Record) {
	if s.trial == nil {
		return
	}
	if step := s.jobs[place.Job].Steps[place.Step]; !s.trial.steps[step] {
		s.trial.steps[step] = true
		step.Tasks = slices.Clone(step.Tasks)
	}
	key := WorkerKey{
		ID:          place.Worker,
		Incarnation: place.Incarnation,
	}
	if placements := s.placements[key]; placements != nil && !s.trial.workers[key] {
		s.placements[key] = maps.Clone(placements)
	}
	s.trial.workers[key] = true
}
