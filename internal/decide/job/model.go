package job

import "math"

// Resources is an amount of processors in thousandths of a core, memory in
// megabytes, and accelerators.
type Resources struct {
	MilliCores   int64 `cbor:"1,keyasint,omitempty"`
	MemoryMB     int64 `cbor:"2,keyasint,omitempty"`
	Accelerators int64 `cbor:"3,keyasint,omitempty"`
}

// Plus returns the sum of r and o.
func (r Resources) Plus(o Resources) Resources {
	return Resources{
		MilliCores:   r.MilliCores + o.MilliCores,
		MemoryMB:     r.MemoryMB + o.MemoryMB,
		Accelerators: r.Accelerators + o.Accelerators,
	}
}

// Minus returns r less o; dimensions may become negative.
func (r Resources) Minus(o Resources) Resources {
	return r.Plus(o.Times(-1))
}

// Times returns r multiplied by n.
func (r Resources) Times(n int64) Resources {
	return Resources{
		MilliCores:   r.MilliCores * n,
		MemoryMB:     r.MemoryMB * n,
		Accelerators: r.Accelerators * n,
	}
}

// FitsIn reports whether r is at most available in each dimension.
func (r Resources) FitsIn(available Resources) bool {
	return r.MilliCores <= available.MilliCores && r.MemoryMB <= available.MemoryMB && r.Accelerators <= available.Accelerators
}

// WithinCap reports whether r is at most limit in each dimension; a zero in limit
// means that the dimension is unlimited.
func (r Resources) WithinCap(limit Resources) bool {
	return (limit.MilliCores == 0 || r.MilliCores <= limit.MilliCores) &&
		(limit.MemoryMB == 0 || r.MemoryMB <= limit.MemoryMB) &&
		(limit.Accelerators == 0 || r.Accelerators <= limit.Accelerators)
}

// componentMax returns the larger of r and o in each dimension.
func (r Resources) componentMax(o Resources) Resources {
	return Resources{
		MilliCores:   max(r.MilliCores, o.MilliCores),
		MemoryMB:     max(r.MemoryMB, o.MemoryMB),
		Accelerators: max(r.Accelerators, o.Accelerators),
	}
}

// fitCount returns how many times r fits in available, at most limit.
func (r Resources) fitCount(available Resources, limit int) int {
	n := int64(limit)
	if r.MilliCores > 0 {
		n = min(n, available.MilliCores/r.MilliCores)
	}
	if r.MemoryMB > 0 {
		n = min(n, available.MemoryMB/r.MemoryMB)
	}
	if r.Accelerators > 0 {
		n = min(n, available.Accelerators/r.Accelerators)
	}
	return int(max(0, n))
}

// StepSpec is a caller's specification of one step of a job.
type StepSpec struct {
	// Count is the number of tasks, and Needs the demand of each.
	Count int       `cbor:"1,keyasint"`
	Needs Resources `cbor:"2,keyasint"`
	// EstimateMillis is the caller's rough estimate of a task's run time.
	EstimateMillis int64 `cbor:"3,keyasint,omitempty"`
	// After lists the numbers of the earlier steps that must be done first.
	After []int `cbor:"4,keyasint,omitempty"`
	// Gang requires that all tasks start together or none does.
	Gang bool `cbor:"5,keyasint,omitempty"`
	// PreferOneRack prefers all tasks of a gang on one rack, since they run longer when
	// spread over racks. It has no effect on other steps.
	PreferOneRack bool `cbor:"6,keyasint,omitempty"`
	// Checkpointing is set if tasks save checkpoints of their progress.
	Checkpointing bool `cbor:"7,keyasint,omitempty"`
	// Endless is set if the tasks run until the job is cancelled.
	Endless bool `cbor:"8,keyasint,omitempty"`
	// Label, if set, must be among the worker's labels.
	Label string `cbor:"9,keyasint,omitempty"`
	// DataRack, if set, is the rack on which the tasks run fastest.
	DataRack string `cbor:"10,keyasint,omitempty"`
	// MaxPerWorker is the maximum number of the step's tasks on one worker; zero means
	// no limit.
	MaxPerWorker int `cbor:"11,keyasint,omitempty"`
	// Image, if set, names what the tasks run. Tasks of one image behave alike.
	Image string `cbor:"12,keyasint,omitempty"`
	// TailMillis is the target for the tail of the response times of tasks that serve; zero if
	// there is none.
	TailMillis int64 `cbor:"13,keyasint,omitempty"`
}

// Submission is a job as submitted by its caller.
type Submission struct {
	Payload string     `cbor:"1,keyasint,omitempty"`
	Steps   []StepSpec `cbor:"2,keyasint"`
}

// Outcome is how a job ended, or Open while it has not.
type Outcome uint8

// The outcomes of a job.
const (
	Open Outcome = iota
	Completed
	Failed
	Cancelled
)

// TaskKey identifies one task of a job.
type TaskKey struct {
	Job   string
	Step  int
	Index int
}

// WorkerKey identifies one incarnation of a worker.
type WorkerKey struct {
	ID          string
	Incarnation int64 // Unix millisecond at which the incarnation started
}

// Placement is one attempt of a task on a worker, from the planning decision until
// the end of the attempt is recorded.
type Placement struct {
	Task    TaskKey
	Attempt int
	Worker  WorkerKey
	Team    string
	Needs   Resources
	Endless bool // the task is one of an endless step
	// The fields below are not in the records; only the present owner knows them.

	Confirmed bool // the worker reported that the attempt runs
	Uncertain bool // a start request has no answer and may still be carried out
	// Orders is the number of start requests that this owner has sent.
	Orders int
	// Reported is set once a report of the worker's incarnation has listed the attempt.
	Reported bool
	Stopping bool // the attempt is to be stopped
	// Suspicion is set if the attempt may have crashed the worker, but the worker's next
	// incarnation may have carried out its start order since.
	Suspicion Suspicion
	// StoppedMillis is the Unix millisecond of the owner's clock at which the worker
	// confirmed the stop; zero before.
	StoppedMillis int64
	// OrderedMillis is the Unix millisecond at which the start order was first sent; zero
	// before.
	OrderedMillis int64
	// StartedMillis is the Unix millisecond at which the worker first reported that the
	// attempt runs; zero before.
	StartedMillis int64
	// Percent is the last reported progress, and ProgressMillis the Unix millisecond
	// at which it last changed.
	Percent        float64
	ProgressMillis int64
}

// Settled reports whether the attempt certainly runs on its incarnation of the worker, and no
// other copy of its start request can be carried out.
func (p *Placement) Settled() bool {
	return p.Reported && p.Orders == 1
}

const (
	// An attempt may report the same progress for stallBaseMillis plus
	// stallEstimateShare of its estimated run time, and longer without checkpoints: see
	// UpdateProgress. A worker that is seven times slower than estimated advances by one
	// percent in 0.07 of the estimated run time, which is less.
	stallBaseMillis    = 1500
	stallEstimateShare = 0.1
)

// UpdateProgress sets the placement's progress to the percentage that the worker
// reported, and returns whether the attempt has stalled and should be moved: its progress
// has not changed for longer than a timeout. The parameter now is a Unix millisecond. The
// timeout grows with the work that a move would discard, because hung workers often
// resume. An attempt at 100 percent is not stalled: finished members of a gang report it
// while they wait for the others.
func (s *Step) UpdateProgress(p *Placement, percent float64, now int64) bool {
	if percent != p.Percent || p.ProgressMillis == 0 {
		p.Percent, p.ProgressMillis = percent, now
		return false
	}
	if percent >= 100 {
		return false
	}
	estimateMillis := float64(s.Spec.EstimateMillis)
	timeoutMillis := stallBaseMillis + stallEstimateShare*estimateMillis
	if !s.Spec.Checkpointing {
		timeoutMillis += s.discardedPercent(p) / 100 * estimateMillis
	}
	return float64(now-p.ProgressMillis) > timeoutMillis
}

// discardedPercent returns the progress that moving the attempt would discard if its
// step saves no checkpoints. A gang moves as a whole, so for a gang this is the progress
// of its most advanced member.
func (s *Step) discardedPercent(p *Placement) float64 {
	if !s.Spec.Gang {
		return p.Percent
	}
	maxPercent := 0.0
	for _, t := range s.Tasks {
		if t.Placement != nil {
			maxPercent = max(maxPercent, t.Placement.Percent)
		}
	}
	return maxPercent
}

// RemainingMillis returns the expected time in milliseconds until the attempt completes,
// extrapolated from its progress since it started, or from the estimate if there is none.
// For a member of a gang it is that of the slowest member, and for an endless step it is
// math.MaxInt64. The parameter now is a Unix millisecond.
func (s *Step) RemainingMillis(p *Placement, now int64) int64 {
	if s.Spec.Endless {
		return math.MaxInt64
	}
	if !s.Spec.Gang {
		return s.attemptRemainingMillis(p, now)
	}
	remaining := int64(0)
	for _, t := range s.Tasks {
		if t.Placement != nil {
			remaining = max(remaining, s.attemptRemainingMillis(t.Placement, now))
		}
	}
	return remaining
}

// attemptRemainingMillis is RemainingMillis for one attempt by itself. An attempt that
// resumed from a checkpoint has progressed faster than it runs, so the result is too low.
func (s *Step) attemptRemainingMillis(p *Placement, now int64) int64 {
	if p.Percent <= 0 || p.StartedMillis == 0 {
		return s.Spec.EstimateMillis
	}
	return int64(float64(now-p.StartedMillis) * (100 - p.Percent) / p.Percent)
}

// Task is the state of one task.
type Task struct {
	Done    bool
	Attempt int // number of the latest attempt; zero before the first
	// Failures is the number of attempts that failed. A run of a gang in which several members
	// failed counts with one of them: see Step.Failures.
	Failures int
	// FailedAttempt is the number of the latest attempt that failed; zero if there is none, or it
	// is not known since an earlier version of this program has recorded it.
	FailedAttempt int
	// Crashes is the number of workers that crashed while an attempt of the task was
	// suspected of causing it, since the task was last cleared. In CertainCrashes of them
	// the attempt had certainly started.
	Crashes, CertainCrashes int
	Checkpoint              string     // latest one reported at the end of an attempt, or empty
	Placement               *Placement // nil if the task is not placed
}

// Step is one step of a job and its tasks.
type Step struct {
	Job    *Job
	Number int
	Spec   StepSpec
	Tasks  []Task
	Advice Advice

	// criticalPathMillis is the estimated run time of the longest chain of dependent
	// steps that starts with this one.
	criticalPathMillis int64

	// The numbers of tasks that are done, neither done nor placed, and placed. A member of
	// a gang that is done may still be placed.
	done     int
	unplaced int
	placed   int
	// suspects is the number of tasks that are not done and have crashes.
	suspects int
	// suspectsWaitSince is the Unix millisecond since which the planner has found suspects to
	// place, or zero. It is not part of the records.
	suspectsWaitSince int64
	// heldBackSince is the Unix millisecond since which workers that are reserved for gangs have had
	// room for a task of the step, under the conditions of maxHeldBackMillis, or zero. It is not part
	// of the records.
	heldBackSince int64
}

// Job is a job of the shard and its state.
type Job struct {
	ID      string
	Team    string
	Queue   string
	Payload string
	Steps   []*Step
	// SubmittedMillis is the Unix millisecond of the submission.
	SubmittedMillis int64
	// FinishedMillis is the Unix millisecond at which the job ended; zero before.
	FinishedMillis int64
	Outcome        Outcome
	// OverRate is set if the job was submitted over its team's agreed rate.
	OverRate bool
	// AcceptedBy and CancelledBy identify the caller's calls that had the job accepted and
	// cancelled; zero if none is known.
	AcceptedBy  uint64
	CancelledBy uint64
	// Started is set once an attempt is known to have run. The records tell this only of
	// attempts that completed, failed or saved a checkpoint; of others, the present owner
	// knows it from their worker's report.
	Started bool
	// Recorded and EndRecorded are set once the job's acceptance and its end are
	// durable.
	Recorded    bool
	EndRecorded bool
	// criticalPathMillis is the estimated run time of the longest chain of dependent
	// steps.
	criticalPathMillis int64
	// group is nil once the job has ended.
	group *Group
}

// Done reports whether all tasks of the step are done.
func (s *Step) Done() bool {
	return s.done == len(s.Tasks)
}

// Ready reports whether the job is open and all steps that the step depends on are
// done.
func (s *Step) Ready() bool {
	if s.Job.Outcome != Open {
		return false
	}
	for _, a := range s.Spec.After {
		if !s.Job.Steps[a].Done() {
			return false
		}
	}
	return true
}

// Waiting returns the number of tasks that can be placed: those that are neither
// done nor placed. A gang is placed as a whole, so for a gang it is zero while any
// member is placed or done.
func (s *Step) Waiting() int {
	if s.Spec.Gang && (s.placed > 0 || s.done > 0) {
		return 0
	}
	return s.unplaced
}

// Placed returns the number of tasks that have a placement.
func (s *Step) Placed() int {
	return s.placed
}

// Complete reports whether all tasks of the job are done. A job with an endless step is
// never complete.
func (j *Job) Complete() bool {
	for _, s := range j.Steps {
		if !s.Done() || s.Spec.Endless {
			return false
		}
	}
	return true
}

// computeCriticalPaths sets criticalPathMillis of the job and its steps. It visits
// the steps last to first, since a step depends only on earlier ones.
func (j *Job) computeCriticalPaths() {
	for n := len(j.Steps) - 1; n >= 0; n-- {
		step := j.Steps[n]
		step.criticalPathMillis += step.Spec.EstimateMillis
		j.criticalPathMillis = max(j.criticalPathMillis, step.criticalPathMillis)
		for _, a := range step.Spec.After {
			dependency := j.Steps[a]
			dependency.criticalPathMillis = max(dependency.criticalPathMillis, step.criticalPathMillis)
		}
	}
}

// Checkpoint returns the checkpoint from which the task resumes, or an empty string.
// All members of a gang must resume from the same one, and any member's will do.
func (s *Step) Checkpoint(index int) string {
	if !s.Spec.Gang {
		return s.Tasks[index].Checkpoint
	}
	for _, t := range s.Tasks {
		if t.Checkpoint != "" {
			return t.Checkpoint
		}
	}
	return ""
}
