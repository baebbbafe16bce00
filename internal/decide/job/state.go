package job

import (
	"errors"
	"fmt"
	"slices"
)

// RecordKind is the kind of change that a record describes.
type RecordKind uint8

// The kinds of records.
const (
	RecordAccept     RecordKind = iota + 1 // a job is accepted
	RecordPlace                            // an attempt of a task is placed on a worker
	RecordAttemptEnd                       // an attempt ends
	RecordJobEnd                           // a job ends
	RecordTaskState                        // state of a task, in snapshots and when it changes without an attempt
)

// AttemptOutcome is how an attempt ended, as far as its job is concerned.
type AttemptOutcome uint8

// The outcomes of an attempt.
const (
	// AttemptLost means that the attempt neither completed nor failed, or never ran;
	// the task is queued again, and no failure is counted.
	AttemptLost AttemptOutcome = iota
	// AttemptCompleted means that the task is done, as are all members if it belongs to
	// a gang; an endless task is queued again.
	AttemptCompleted
	// AttemptFailed means that a failure is counted and the task is queued again.
	AttemptFailed
	// AttemptCrashed means that the attempt had started, the worker crashed and the attempt
	// is suspected of having caused it; a crash is counted and the task is queued again.
	AttemptCrashed
	// AttemptMayHaveCrashed is the same for an attempt that may not have started.
	AttemptMayHaveCrashed
)

// Record is one change of the state; replaying all records in order rebuilds it. The
// kind determines which fields are set. TimeMillis is the Unix millisecond of the
// submission in a RecordAccept and of the job's end in a RecordJobEnd. Call is the caller's
// call that had the job accepted, in a RecordAccept, or cancelled it, in a RecordJobEnd.
type Record struct {
	Kind           RecordKind     `cbor:"1,keyasint"`
	Job            string         `cbor:"2,keyasint"`
	Step           int            `cbor:"3,keyasint,omitempty"`
	Index          int            `cbor:"4,keyasint,omitempty"`
	Attempt        int            `cbor:"5,keyasint,omitempty"`
	Worker         string         `cbor:"6,keyasint,omitempty"`
	Incarnation    int64          `cbor:"7,keyasint,omitempty"`
	AttemptOutcome AttemptOutcome `cbor:"8,keyasint,omitempty"`
	Checkpoint     string         `cbor:"9,keyasint,omitempty"`
	Submission     *Submission    `cbor:"10,keyasint,omitempty"`
	Team           string         `cbor:"11,keyasint,omitempty"`
	Queue          string         `cbor:"12,keyasint,omitempty"`
	TimeMillis     int64          `cbor:"13,keyasint,omitempty"`
	Outcome        Outcome        `cbor:"14,keyasint,omitempty"`
	OverRate       bool           `cbor:"15,keyasint,omitempty"`
	Failures       int            `cbor:"16,keyasint,omitempty"`
	Done           bool           `cbor:"17,keyasint,omitempty"`
	Crashes        int            `cbor:"18,keyasint,omitempty"`
	CertainCrashes int            `cbor:"19,keyasint,omitempty"`
	Call           uint64         `cbor:"20,keyasint,omitempty"`
	FailedAttempt  int            `cbor:"21,keyasint,omitempty"`
}

// State is the state of a shard's jobs and their placements. Create it with NewState.
type State struct {
	jobs map[string]*Job
	open map[string]*Job
	// groups holds the groups that have open jobs, and groupByKey the same.
	groups     []*Group
	groupByKey map[groupKey]*Group
	// unplaced indexes the open jobs with tasks that are neither done nor placed.
	unplaced map[string]*Job
	// suspects indexes the open jobs with tasks that are suspected of crashing workers.
	suspects   map[string]*Job
	placements map[WorkerKey]map[TaskKey]*Placement
	// usedByEndless is the part of used that endless steps have.
	usedByEndless map[WorkerKey]Resources
	// used and teamUsed are the sums of the placements' demands per worker incarnation
	// and per team.
	used     map[WorkerKey]Resources
	teamUsed map[string]Resources
	// examinedRounds is the number of times that all steps with tasks to place have been
	// examined for queries. It is not part of the records.
	examinedRounds int
	// shares holds the shares of workers that the policy service allows, by queue. They
	// are not part of the records.
	shares map[string]*allowedShare
	// trial is nil unless the state is a copy for a trial.
	trial *trialState
}

// shareOf returns the share of workers that the policy service allows to steps of the
// queue.
func (s *State) shareOf(queue string) *allowedShare {
	share := s.shares[queue]
	if share == nil {
		share = &allowedShare{}
		s.shares[queue] = share
	}
	return share
}

// NewState returns a state without jobs.
func NewState() *State {
	return &State{
		jobs: map[string]*Job{},
		open: map[string]*Job{},

		groupByKey:    map[groupKey]*Group{},
		unplaced:      map[string]*Job{},
		suspects:      map[string]*Job{},
		placements:    map[WorkerKey]map[TaskKey]*Placement{},
		used:          map[WorkerKey]Resources{},
		usedByEndless: map[WorkerKey]Resources{},
		teamUsed:      map[string]Resources{},
		shares:        map[string]*allowedShare{},
	}
}

// Job returns the job with the given ID, or nil if there is none.
func (s *State) Job(id string) *Job {
	return s.jobs[id]
}

// OpenJobs returns the jobs that have not ended, by ID; callers must not modify the
// map.
func (s *State) OpenJobs() map[string]*Job {
	return s.open
}

// UnplacedJobs returns the open jobs with tasks that are neither done nor placed, by ID;
// callers must not modify the map.
func (s *State) UnplacedJobs() map[string]*Job {
	return s.unplaced
}

// Used returns the sum of the demands of all placements on the worker incarnation.
func (s *State) Used(w WorkerKey) Resources {
	return s.used[w]
}

// TeamUsed returns the sum of the demands of all placements of the team.
func (s *State) TeamUsed(team string) Resources {
	return s.teamUsed[team]
}

// Placements returns the placements on the worker incarnation, by task; callers must not
// modify the map.
func (s *State) Placements(w WorkerKey) map[TaskKey]*Placement {
	return s.placements[w]
}

// WorkersWithPlacements returns the worker incarnations that have placements, in no
// particular order.
func (s *State) WorkersWithPlacements() []WorkerKey {
	var keys []WorkerKey
	for k := range s.placements {
		keys = append(keys, k)
	}
	return keys
}

// Placement returns the placement of the task, or nil if the task is unknown or not
// placed.
func (s *State) Placement(k TaskKey) *Placement {
	t := s.Task(k)
	if t == nil {
		return nil
	}
	return t.Placement
}

// Task returns the task identified by k, or nil if there is none.
func (s *State) Task(k TaskKey) *Task {
	j := s.jobs[k.Job]
	if j == nil || k.Step < 0 || k.Step >= len(j.Steps) {
		return nil
	}
	tasks := j.Steps[k.Step].Tasks
	if k.Index < 0 || k.Index >= len(tasks) {
		return nil
	}
	return &tasks[k.Index]
}

// ErrUnknownKind reports a record of a kind that this version of the program does not know.
var ErrUnknownKind = errors.New("record of unknown kind")

// Apply applies the record to the state. It returns an error, and leaves the state as
// it is, if the record does not match the state. The acceptance of a job whose ID an earlier
// one had, which has ended and has no placements, replaces that job: its owner has pruned it
// without a record.
func (s *State) Apply(r Record) error {
	if r.Kind < RecordAccept || r.Kind > RecordTaskState {
		return fmt.Errorf("%w %d", ErrUnknownKind, r.Kind)
	}
	if r.Kind == RecordAccept {
		if err := s.acceptJob(r); err != nil {
			return err
		}
	}
	j := s.jobs[r.Job]
	if j == nil {
		return fmt.Errorf("record of kind %d for unknown job %s", r.Kind, r.Job)
	}
	defer s.updateIndexes(j)
	if r.Kind == RecordAccept {
		return nil
	}
	if r.Kind == RecordJobEnd {
		s.finishJob(j, r)
		return nil
	}
	key := TaskKey{
		Job:   r.Job,
		Step:  r.Step,
		Index: r.Index,
	}
	if s.Task(key) != nil && r.Kind == RecordPlace {
		s.own(r)
	}
	t := s.Task(key)
	if t == nil {
		return fmt.Errorf("record of kind %d for unknown task %v", r.Kind, key)
	}
	switch r.Kind {
	case RecordPlace:
		return s.placeTask(j, key, t, r)
	case RecordAttemptEnd:
		return s.endAttempt(j, key, t, r)
	default:
		s.restoreTask(j.Steps[r.Step], t, r)
		return nil
	}
}

func (s *State) updateIndexes(j *Job) {
	updateIndex(s.unplaced, j, (*Step).hasUnplaced)
	updateIndex(s.suspects, j, (*Step).hasSuspects)
}

func updateIndex(index map[string]*Job, j *Job, contains func(*Step) bool) {
	if j.Outcome == Open && slices.ContainsFunc(j.Steps, contains) {
		index[j.ID] = j
		return
	}
	delete(index, j.ID)
}

func (s *Step) hasUnplaced() bool {
	return s.unplaced > 0
}

func (s *State) acceptJob(r Record) error {
	if earlier := s.jobs[r.Job]; earlier != nil && !earlier.forgettable() {
		return fmt.Errorf("job %s is already accepted", r.Job)
	}
	j := &Job{
		ID:              r.Job,
		Team:            r.Team,
		Queue:           r.Queue,
		SubmittedMillis: r.TimeMillis,
		OverRate:        r.OverRate,
		AcceptedBy:      r.Call,
	}
	if r.Submission != nil {
		j.Payload = r.Submission.Payload
		for n, spec := range r.Submission.Steps {
			j.Steps = append(j.Steps, &Step{
				Job:      j,
				Number:   n,
				Spec:     spec,
				Tasks:    make([]Task, spec.Count),
				unplaced: spec.Count,
			})
		}
	}
	j.computeCriticalPaths()
	s.jobs[j.ID] = j
	s.addOpen(j)
	return nil
}

// Withdraw removes the job, if there is one, and its placements. The job's acceptance
// must not have been stored, and no start request may have been sent for its placements.
func (s *State) Withdraw(id string) {
	j := s.jobs[id]
	if j == nil {
		return
	}
	for _, step := range j.Steps {
		for n := range step.Tasks {
			if p := step.Tasks[n].Placement; p != nil {
				s.releasePlacement(p)
			}
		}
	}
	s.removeJob(id)
}

func (s *State) removeJob(id string) {
	delete(s.jobs, id)
	s.removeOpen(id)
	delete(s.unplaced, id)
	delete(s.suspects, id)
}

func (s *State) finishJob(j *Job, r Record) {
	j.Outcome = r.Outcome
	j.FinishedMillis = r.TimeMillis
	j.CancelledBy = r.Call
	s.removeOpen(j.ID)
}

func (s *State) placeTask(j *Job, key TaskKey, t *Task, r Record) error {
	if t.Placement != nil {
		return fmt.Errorf("task %v is already placed", key)
	}
	step := j.Steps[r.Step]
	p := &Placement{
		Task:    key,
		Attempt: r.Attempt,
		Worker: WorkerKey{
			ID:          r.Worker,
			Incarnation: r.Incarnation,
		},
		Team:    j.Team,
		Needs:   step.Spec.Needs,
		Endless: step.Spec.Endless,
	}
	t.Placement = p
	t.Attempt = r.Attempt
	if !t.Done {
		step.unplaced--
	}
	step.placed++
	step.suspectsWaitSince, step.heldBackSince = 0, 0
	placements := s.placements[p.Worker]
	if placements == nil {
		placements = map[TaskKey]*Placement{}
		s.placements[p.Worker] = placements
	}
	placements[key] = p
	s.used[p.Worker] = s.used[p.Worker].Plus(p.Needs)
	if p.Endless {
		s.usedByEndless[p.Worker] = s.usedByEndless[p.Worker].Plus(p.Needs)
	}
	s.teamUsed[p.Team] = s.teamUsed[p.Team].Plus(p.Needs)
	return nil
}

func (s *State) endAttempt(j *Job, key TaskKey, t *Task, r Record) error {
	if t.Placement == nil || t.Placement.Attempt != r.Attempt {
		return fmt.Errorf("end of attempt %d of task %v, but that attempt is not placed", r.Attempt, key)
	}
	s.releasePlacement(t.Placement)
	step := j.Steps[r.Step]
	t.Placement = nil
	step.placed--
	if r.Checkpoint != "" {
		t.Checkpoint = r.Checkpoint
	}
	if r.AttemptOutcome != AttemptLost || r.Checkpoint != "" {
		j.Started = true
	}
	if t.Done {
		return nil
	}
	step.unplaced++
	switch r.AttemptOutcome {
	case AttemptCompleted:
		step.completeTask(t)
	case AttemptFailed:
		step.countFailure(t, r.Attempt)
	case AttemptCrashed:
		step.setCrashes(t, t.Crashes+1, t.CertainCrashes+1)
	case AttemptMayHaveCrashed:
		step.setCrashes(t, t.Crashes+1, t.CertainCrashes)
	}
	return nil
}

// countFailure counts that the attempt of the task has failed. A run of a gang, whose members have the
// same attempt number, counts once, with the member that is recorded first.
func (s *Step) countFailure(t *Task, attempt int) {
	counted := s.Spec.Gang && slices.ContainsFunc(s.Tasks, func(member Task) bool {
		return member.FailedAttempt == attempt
	})
	if !counted {
		t.Failures++
	}
	t.FailedAttempt = attempt
}

// completeTask marks the task of a completed attempt as done, as are all members if it belongs to a
// gang. An endless task is never done.
func (s *Step) completeTask(t *Task) {
	switch {
	case s.Spec.Endless:
	case s.Spec.Gang:
		for n := range s.Tasks {
			s.markDone(&s.Tasks[n])
		}
	default:
		s.markDone(t)
	}
}

// markDone marks the task as done; a member of a gang may still have a placement.
func (s *Step) markDone(t *Task) {
	if t.Done {
		return
	}
	s.setCrashes(t, 0, 0)
	t.Done = true
	s.done++
	if t.Placement == nil {
		s.unplaced--
	}
}

func (s *State) releasePlacement(p *Placement) {
	delete(s.placements[p.Worker], p.Task)
	s.used[p.Worker] = s.used[p.Worker].Minus(p.Needs)
	if p.Endless {
		s.usedByEndless[p.Worker] = s.usedByEndless[p.Worker].Minus(p.Needs)
	}
	if len(s.placements[p.Worker]) == 0 {
		delete(s.placements, p.Worker)
		delete(s.used, p.Worker)
		delete(s.usedByEndless, p.Worker)
	}
	s.teamUsed[p.Team] = s.teamUsed[p.Team].Minus(p.Needs)
}

// Move assigns the placements on one incarnation of a worker to a later one.
func (s *State) Move(from, to WorkerKey) {
	moved := s.placements[from]
	if len(moved) == 0 || from == to {
		return
	}
	if s.placements[to] == nil {
		s.placements[to] = map[TaskKey]*Placement{}
	}
	for key, p := range moved {
		p.Worker = to
		s.placements[to][key] = p
	}
	s.used[to] = s.used[to].Plus(s.used[from])
	if lasting, ok := s.usedByEndless[from]; ok {
		s.usedByEndless[to] = s.usedByEndless[to].Plus(lasting)
	}
	delete(s.placements, from)
	delete(s.used, from)
	delete(s.usedByEndless, from)
}

func (s *State) restoreTask(step *Step, t *Task, r Record) {
	t.Attempt = r.Attempt
	t.Failures = r.Failures
	t.FailedAttempt = r.FailedAttempt
	t.Checkpoint = r.Checkpoint
	if !t.Done {
		step.setCrashes(t, r.Crashes, r.CertainCrashes)
	}
	if r.Done || r.Failures > 0 || r.CertainCrashes > 0 || r.Checkpoint != "" {
		step.Job.Started = true
	}
	if r.Done {
		step.markDone(t)
	}
}

// Failures returns the number of failures of the task or, if the step is a gang, of the gang's runs
// in which a member failed. An earlier version of this program counted each of those members; the
// number of runs is the limit for such counts.
func (s *Step) Failures(index int) int {
	if !s.Spec.Gang {
		return s.Tasks[index].Failures
	}
	failures, runs := 0, 0
	for _, t := range s.Tasks {
		failures += t.Failures
		runs = max(runs, t.Attempt)
	}
	return min(failures, runs)
}
