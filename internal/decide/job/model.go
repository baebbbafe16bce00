package job

// Resources is an amount of processors in thousandths of a core, memory in
// megabytes, and accelerators.
type Resources struct {
	MilliCores   int64 `cbor:"1,keyasint,omitempty"`
	MemoryMB     int64 `cbor:"2,keyasint,omitempty"`
	Accelerators int64 `cbor:"3,keyasint,omitempty"`
}

// Plus returns the sum of both amounts.
func (r Resources) Plus(o Resources) Resources {
	return Resources{
		MilliCores:   r.MilliCores + o.MilliCores,
		MemoryMB:     r.MemoryMB + o.MemoryMB,
		Accelerators: r.Accelerators + o.Accelerators,
	}
}

// Minus returns what is left of the amount without o.
func (r Resources) Minus(o Resources) Resources {
	return r.Plus(o.Times(-1))
}

// Times returns n such amounts.
func (r Resources) Times(n int64) Resources {
	return Resources{
		MilliCores:   r.MilliCores * n,
		MemoryMB:     r.MemoryMB * n,
		Accelerators: r.Accelerators * n,
	}
}

// FitsIn reports whether the amount is within the room in each dimension.
func (r Resources) FitsIn(available Resources) bool {
	return r.MilliCores <= available.MilliCores && r.MemoryMB <= available.MemoryMB && r.Accelerators <= available.Accelerators
}

// WithinCap reports whether the amount is within the cap, in which zero means
// no limit of that dimension.
func (r Resources) WithinCap(limit Resources) bool {
	return (limit.MilliCores == 0 || r.MilliCores <= limit.MilliCores) &&
		(limit.MemoryMB == 0 || r.MemoryMB <= limit.MemoryMB) &&
		(limit.Accelerators == 0 || r.Accelerators <= limit.Accelerators)
}

// componentMax returns the larger amount of both in each dimension.
func (r Resources) componentMax(o Resources) Resources {
	return Resources{
		MilliCores:   max(r.MilliCores, o.MilliCores),
		MemoryMB:     max(r.MemoryMB, o.MemoryMB),
		Accelerators: max(r.Accelerators, o.Accelerators),
	}
}

// fitCount returns how many such amounts the room holds, at most limit.
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

// StepSpec is what a caller asks of one step of a job.
type StepSpec struct {
	Count int       `cbor:"1,keyasint"`
	Needs Resources `cbor:"2,keyasint"`
	// EstimateMillis is the caller's rough estimate of a task's run time.
	EstimateMillis int64 `cbor:"3,keyasint,omitempty"`
	// After lists the earlier steps that must be done first.
	After []int `cbor:"4,keyasint,omitempty"`
	// Gang starts all tasks at once or none.
	Gang bool `cbor:"5,keyasint,omitempty"`
	// OneRack asks for all tasks on one rack; elsewhere they run longer.
	OneRack bool `cbor:"6,keyasint,omitempty"`
	// Checkpoints tells that tasks save their progress.
	Checkpoints bool `cbor:"7,keyasint,omitempty"`
	// Endless tasks run until the job is cancelled.
	Endless bool `cbor:"8,keyasint,omitempty"`
	// Label must be among the worker's labels, when set.
	Label string `cbor:"9,keyasint,omitempty"`
	// DataRack is the rack on which the tasks run fastest, when set.
	DataRack string `cbor:"10,keyasint,omitempty"`
	// PerWorker limits the step's tasks on one worker; zero means no limit.
	PerWorker int `cbor:"11,keyasint,omitempty"`
}

// Submission is a job as its caller hands it in.
type Submission struct {
	Payload string     `cbor:"1,keyasint,omitempty"`
	Steps   []StepSpec `cbor:"2,keyasint"`
}

// Outcome is how a job ended, or Open.
type Outcome uint8

// The outcomes of a job.
const (
	Open Outcome = iota
	Completed
	Failed
	Cancelled
)

// TaskKey names one task of a job.
type TaskKey struct {
	Job   string
	Step  int
	Index int
}

// WorkerKey names one life of a worker; Born is the Unix millisecond of its
// start.
type WorkerKey struct {
	ID   string
	Born int64
}

// Placement is one attempt of a task on a worker, from the decision until its
// end is known.
type Placement struct {
	Task    TaskKey
	Attempt int
	Worker  WorkerKey
	Team    string
	Needs   Resources
	// Progress of the orders, which only the present owner knows.
	Confirmed bool // the worker said that it runs
	Uncertain bool // a start had no answer and may yet be carried out
	Stopping  bool // a stop is wanted
	// Stopped is the owner's clock, in milliseconds, when the worker confirmed
	// the stop; zero before.
	Stopped int64
	// StartedMillis is the owner's clock when the start was confirmed.
	StartedMillis int64
	// Percent is the progress last reported, and ProgressMillis the owner's clock
	// when it last changed.
	Percent        float64
	ProgressMillis int64
}

const (
	// stallBaseMillis, and stallShare of the estimated run time, is how long an attempt
	// may report the same progress: a worker seven times slower than estimated
	// moves by a hundredth in less.
	stallBaseMillis    = 1500
	stallEstimateShare = 0.1
)

// Progress takes a report of the placed attempt and returns whether it stands
// still for so long that it should be moved. It waits the longer the more time
// would be lost, since workers that hang often go on. Finished members of a gang
// report 100 while they wait for the others.
func (s *Step) Progress(p *Placement, percent float64, now int64) bool {
	if percent != p.Percent || p.ProgressMillis == 0 {
		p.Percent, p.ProgressMillis = percent, now
		return false
	}
	if percent >= 100 {
		return false
	}
	estimateMillis := float64(s.Spec.EstimateMillis)
	timeoutMillis := stallBaseMillis + stallEstimateShare*estimateMillis
	if !s.Spec.Checkpoints {
		timeoutMillis += s.discardedPercent(p) / 100 * estimateMillis
	}
	return float64(now-p.ProgressMillis) > timeoutMillis
}

// discardedPercent returns how much progress, in hundredths, moving the attempt would
// undo: that of the member that is farthest, when the whole gang must move.
func (s *Step) discardedPercent(p *Placement) float64 {
	if !s.Spec.Gang {
		return p.Percent
	}
	maxPercent := 0.0
	for _, t := range s.Tasks {
		if t.Place != nil {
			maxPercent = max(maxPercent, t.Place.Percent)
		}
	}
	return maxPercent
}

// Task is the fate of one task so far.
type Task struct {
	Done       bool
	Attempt    int
	Failures   int
	Checkpoint string
	Place      *Placement
}

// Step is one step of a job and its tasks.
type Step struct {
	Job    *Job
	Number int
	Spec   StepSpec
	Tasks  []Task
	Advice Advice

	// criticalPathMillis is the longest chain of estimated run times from this step on.
	criticalPathMillis int64

	done    int
	waiting int
	placed  int
}

// Job is a job of the shard.
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
	// Excess marks a job beyond its team's agreed rate.
	Excess  bool
	Started bool
	// Recorded and EndRecorded tell that acceptance and end are durable.
	Recorded    bool
	EndRecorded bool
	// criticalPathMillis is the longest chain of estimated run times.
	criticalPathMillis int64
}

// Done reports whether all tasks of the step are done.
func (s *Step) Done() bool {
	return s.done == len(s.Tasks)
}

// Ready reports whether tasks of the step may start now.
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

// Waiting returns the number of tasks that are neither done nor placed; for a
// gang it is zero until no member is placed any more.
func (s *Step) Waiting() int {
	if s.Spec.Gang && (s.placed > 0 || s.done > 0) {
		return 0
	}
	return s.waiting
}

// Placed returns the number of tasks that have a placement.
func (s *Step) Placed() int {
	return s.placed
}

// Complete reports whether all tasks of the job are done.
func (j *Job) Complete() bool {
	for _, s := range j.Steps {
		if !s.Done() || s.Spec.Endless {
			return false
		}
	}
	return true
}

// computeCriticalPaths sets the longest chain of estimated run times of the job, and
// that from each step on.
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

// Checkpoint returns the saved progress from which the task may go on; any
// member's is good for a whole gang, whose members must all be given the same.
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
