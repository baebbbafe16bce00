package upstream

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/citronbay/citronbay/internal/api/caller"
	"github.com/citronbay/citronbay/internal/decide/task"
	"github.com/citronbay/citronbay/internal/decide/worker"
)

// States of a task in a job's record, one byte for each task. The record does not
// show which tasks run: a task keeps the state taskWaiting until it has ended, or,
// if it must run at most once, until just before its start, when it becomes
// taskDispatched. The fate of a task in the state taskUnknown will not be known.
const (
	taskWaiting    = 'w'
	taskDispatched = 'd'
	taskCompleted  = 'c'
	taskFailed     = 'f'
	taskUnknown    = 'u'
)

const (
	// maxTaskFailures is the number of failures of a task after which it is not
	// retried. Retries prefer other upstreams, so the fault is then attributed to
	// the job.
	maxTaskFailures = 3
	// maxPlacements bounds the number of placements that an explanation lists.
	maxPlacements = 20
	// serviceBackoff is the delay before a service's task is restarted after it
	// has ended or failed once. It doubles each further time, up to 32 s.
	serviceBackoff = time.Second
)

// JobRecord is a job as it is kept in the platform's store.
type JobRecord struct {
	JobID string     `json:"jobId"`
	Team  string     `json:"team"`
	Spec  caller.Job `json:"spec"`
	// States has one byte for the state of each task.
	States string      `json:"states"`
	Fate   caller.Fate `json:"fate"`
	Reason string      `json:"reason,omitempty"`
	// Cancelled is set if the job was cancelled, by its team or at its deadline.
	Cancelled bool `json:"cancelled,omitempty"`
	// Ran is set once any task of the job has started.
	Ran       bool      `json:"ran,omitempty"`
	Submitted time.Time `json:"submitted"`
	// Writer and Version identify the write, so that a write whose answer was
	// lost is recognized. Writer is the writer's term of ownership.
	Writer  string `json:"writer"`
	Version int64  `json:"version"`
}

// job is a job with the state that its owner keeps beyond the record. The
// shard's lock guards its fields, except savedVersion and revision, which
// saveMutex guards; durable is written with both locks held. Maps with int keys
// are by the index of the task.
type job struct {
	record JobRecord
	// states holds the state of each task, and counts the number of tasks by
	// state. They replace record.States, which is not kept up to date.
	states []byte
	counts [256]int
	// waitingTasks lists the indexes of the tasks to be placed, in order, and
	// isWaiting has the same indexes.
	waitingTasks []int
	isWaiting    map[int]bool
	// waitingSince is when the job was last queued behind its team's other jobs,
	// or last considered for a preemption.
	waitingSince    time.Time
	checkpoints     map[int][]byte
	runs            map[int]*run
	failureCounts   map[int]int
	failedUpstreams map[string]bool
	// tasksByRack is the number of running tasks by rack.
	tasksByRack map[string]int
	placements  []string
	// admitted is set once the job's tasks may be queued.
	admitted bool
	// dirty is set if the job has changed since it was last saved; version counts
	// the changes.
	dirty   bool
	version int64

	saveMutex    sync.Mutex
	savedVersion int64
	// revision is the store's revision of the job's record; zero if there is none.
	revision int64
	// durable is set once the record has been in the store.
	durable bool
}

func newJob(record JobRecord) *job {
	j := &job{
		record:          record,
		states:          []byte(record.States),
		runs:            map[int]*run{},
		failureCounts:   map[int]int{},
		failedUpstreams: map[string]bool{},
		tasksByRack:     map[string]int{},
		checkpoints:     map[int][]byte{},
		isWaiting:       map[int]bool{},
	}
	for _, state := range j.states {
		j.counts[state]++
	}
	return j
}

// setState sets the state of one task and updates the counts.
func (j *job) setState(index int, state byte) {
	j.counts[j.states[index]]--
	j.states[index] = state
	j.counts[state]++
	j.markChanged()
}

// allTerminal reports whether every task is in a terminal state.
func (j *job) allTerminal() bool {
	return j.counts[taskCompleted]+j.counts[taskFailed]+j.counts[taskUnknown] == len(j.states)
}

// markChanged marks the job as changed since it was last saved.
func (j *job) markChanged() {
	j.version++
	j.dirty = true
}

// status returns the job's status. The shard's lock must be held.
func (j *job) status() caller.JobStatus {
	running := len(j.runs)
	return caller.JobStatus{
		JobID:     j.record.JobID,
		Team:      j.record.Team,
		Kind:      j.record.Spec.Kind,
		Name:      j.record.Spec.Name,
		Fate:      j.record.Fate,
		Reason:    j.record.Reason,
		Tasks:     len(j.states),
		Waiting:   max(0, j.counts[taskWaiting]+j.counts[taskDispatched]-running),
		Running:   running,
		Completed: j.counts[taskCompleted],
		Failed:    j.counts[taskFailed],
		Unknown:   j.counts[taskUnknown],
		Durable:   j.durable,
	}
}

// SubmitRequest asks the owner to accept a job for a team.
type SubmitRequest struct {
	Job  caller.Job `json:"job"`
	Team string     `json:"team"`
}

// Submit accepts a job and returns its status once the job is saved or the save
// has failed, which the status shows in Durable; a job that is not durable is
// saved later. A job has the fate FateNotRun, and a reason, if it is rejected: the
// shard is being handed over, the preset does not admit the job, the queue is
// full, or the job exceeds its team's cap or the workers' capacity.
func (s *Shard) Submit(ctx context.Context, request SubmitRequest) caller.JobStatus {
	j := newJob(JobRecord{
		JobID:     s.Name + "." + uuid.NewString(),
		Team:      request.Team,
		Spec:      request.Job,
		States:    strings.Repeat(string(taskWaiting), request.Job.Tasks),
		Submitted: time.Now(),
	})
	if reason := s.admit(j); reason != "" {
		s.mu.Lock()
		defer s.mu.Unlock()
		status := j.status()
		status.Fate = caller.FateNotRun
		status.Reason = reason
		return status
	}
	// No task starts before the save has succeeded or failed.
	err := s.save(ctx, j)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.Log.Warn("job is not durable", "job", j.record.JobID, "error", err)
	}
	j.admitted = true
	s.enqueueJob(j)
	s.placeWaiting()
	return j.status()
}

// admit adds the job to the shard, or returns the reason for which it is
// rejected.
func (s *Shard) admit(j *job) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	preset := s.Registry.Preset()
	spec := j.record.Spec
	switch {
	case s.placementStopped:
		return reasonHandover
	case !preset.AdmitJobs:
		return "the preset in force admits no new jobs"
	case spec.Urgency == caller.Low && !preset.AdmitLow:
		return "the preset in force admits no work of low urgency"
	case s.taskQueue.Tasks()+spec.Tasks > preset.MaxQueue:
		return "the queue is full"
	}
	if err := s.checkFeasible(j.record.Team, spec); err != nil {
		return err.Error()
	}
	j.markChanged()
	s.jobs[j.record.JobID] = j
	return ""
}

// checkFeasible returns an error if the job could never run, even in an idle
// shard.
func (s *Shard) checkFeasible(teamName string, spec caller.Job) error {
	atOnce := 1
	if spec.Kind != caller.KindBatch {
		atOnce = spec.Tasks
	}
	if t, ok := s.Registry.Team(teamName); ok && int64(atOnce) > t.Cap {
		return fmt.Errorf("%d tasks at once exceed the team's cap of %d", atOnce, t.Cap)
	}
	return s.workers.CheckFeasible(worker.Demand{Size: spec.Size}, atOnce)
}

// enqueueJob queues the tasks of the job that neither run nor have ended. If the
// tasks must start together, it does so only once none of them runs.
func (s *Shard) enqueueJob(j *job) {
	if j.record.Fate != caller.FateInProgress {
		return
	}
	if j.record.Spec.Kind == caller.KindAllAtOnce && len(j.runs) > 0 {
		return
	}
	j.clearWaiting()
	for index, state := range j.states {
		if state == taskWaiting && j.runs[index] == nil {
			j.pushWaiting(index)
		}
	}
	s.updateQueue(j, false)
}

// pushWaiting appends a task to the waiting tasks, unless it is one of them
// already.
func (j *job) pushWaiting(index int) {
	if !j.isWaiting[index] {
		j.isWaiting[index] = true
		j.waitingTasks = append(j.waitingTasks, index)
	}
}

// popWaiting removes the first waiting task and returns its index.
func (j *job) popWaiting() int {
	index := j.waitingTasks[0]
	j.waitingTasks = j.waitingTasks[1:]
	delete(j.isWaiting, index)
	return index
}

func (j *job) clearWaiting() {
	j.waitingTasks = nil
	clear(j.isWaiting)
}

// dropNotWaiting removes leading waiting tasks that no longer need to be
// started, and reports whether any waiting tasks remain.
func (j *job) dropNotWaiting() bool {
	for len(j.waitingTasks) > 0 {
		index := j.waitingTasks[0]
		if j.states[index] == taskWaiting && j.runs[index] == nil {
			return true
		}
		j.popWaiting()
	}
	return false
}

// requeue appends one task to the job's waiting tasks.
func (s *Shard) requeue(j *job, index int) {
	j.pushWaiting(index)
	s.updateQueue(j, false)
}

// updateQueue adds, resizes or removes the job's item in the task queue. The
// item represents all waiting tasks of the job; a new item goes to the front
// of the queue if front is true.
func (s *Shard) updateQueue(j *job, front bool) {
	id := j.record.JobID
	if len(j.waitingTasks) == 0 {
		s.taskQueue.Remove(id)
		return
	}
	if s.taskQueue.Resize(id, len(j.waitingTasks)) {
		return
	}
	if !front {
		j.waitingSince = time.Now()
	}
	s.taskQueue.Push(task.Item[*job]{
		ID:            id,
		Team:          j.record.Team,
		PriorityClass: j.record.Spec.Urgency.PriorityClass(),
		Tasks:         len(j.waitingTasks),
		Value:         j,
	}, front)
}

// adoptJobs queues the waiting tasks of jobs that an earlier owner left, once
// all tasks that such an owner may have left running are known. A dispatched task
// that is not found at any upstream gets the state taskUnknown. If some tasks of a
// job that must start together are found while others wait, those found are stopped,
// as are those of a cancelled job.
func (s *Shard) adoptJobs() {
	if !s.jobsRead || !s.allReconciled() {
		return
	}
	for _, j := range s.jobs {
		if j.admitted || j.revision == 0 {
			// A job without a revision was submitted here and is not saved yet.
			continue
		}
		j.admitted = true
		for index, state := range j.states {
			if state == taskDispatched && j.runs[index] == nil {
				s.setTaskState(j, index, taskUnknown, "the owner was lost while the task may have been running")
			}
		}
		if j.record.Cancelled {
			// The earlier owner may not have stopped all tasks.
			s.cancelJob(j, "cancelled")
			continue
		}
		if j.record.Spec.Kind == caller.KindAllAtOnce && len(j.runs) > 0 && len(j.runs) < j.counts[taskWaiting] {
			s.stopAllTasks(j)
			continue
		}
		s.enqueueJob(j)
	}
}

// markRan records that a task of the job has started.
func (j *job) markRan() {
	if !j.record.Ran {
		j.record.Ran = true
		j.markChanged()
	}
}

// Cancel cancels the job and returns its status, without waiting until the running
// tasks have stopped. A job that has ended stays as it is; ok is false if the job
// is unknown or belongs to another team.
func (s *Shard) Cancel(team, id string) (status caller.JobStatus, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	j, ok := s.jobs[id]
	if !ok || j.record.Team != team {
		return status, false
	}
	if j.record.Fate == caller.FateInProgress && !j.record.Cancelled {
		s.cancelJob(j, "cancelled")
	}
	return j.status(), true
}

// cancelJob fails the job's waiting tasks and begins to stop its running ones. The
// job has the fate FateNotRun if no task has started. The lock must be held.
func (s *Shard) cancelJob(j *job, reason string) {
	j.record.Cancelled = true
	j.markChanged()
	notify(s.flushSignal)
	j.clearWaiting()
	s.updateQueue(j, false)
	if len(j.runs) == 0 && j.counts[taskWaiting] == len(j.states) && !j.record.Ran {
		j.record.Fate = caller.FateNotRun
	}
	s.stopAllTasks(j)
	for index, state := range j.states {
		if !isTerminal(state) && j.runs[index] == nil {
			s.setTaskState(j, index, taskFailed, reason)
		}
	}
}

// JobsRead reports whether the shard knows the jobs that earlier owners have left.
func (s *Shard) JobsRead() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.jobsRead
}

// JobStatus returns the job's status; ok is false if the job is unknown or
// belongs to another team.
func (s *Shard) JobStatus(team, id string) (status caller.JobStatus, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	j, ok := s.jobs[id]
	if !ok || j.record.Team != team {
		return status, false
	}
	return j.status(), true
}

// Explain returns why the job waits, or that it has ended, and the first placements
// of its tasks by this owner, at most 20; ok is false if the job is unknown.
func (s *Shard) Explain(id string) (explanation caller.Explanation, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	j, ok := s.jobs[id]
	if !ok {
		return explanation, false
	}
	return caller.Explanation{
		JobID:      id,
		WaitReason: s.waitReason(j),
		Placements: append([]string(nil), j.placements...),
	}, true
}

// waitReason returns that the job has ended, or else why tasks of the job wait, or
// an empty string if none do.
func (s *Shard) waitReason(j *job) string {
	status := j.status()
	name := j.record.Team
	needed := int64(1)
	if j.record.Spec.Kind == caller.KindAllAtOnce {
		needed = int64(len(j.states))
	}
	switch {
	case status.Fate != caller.FateInProgress:
		return "the job has ended: " + string(status.Fate)
	case status.Waiting == 0:
		return ""
	case !j.admitted:
		return "an earlier owner may have left tasks at upstreams that have not answered yet"
	case s.ledger.Room(name) < needed:
		return fmt.Sprintf("team %s runs %d of the %d tasks that its cap allows in this shard", name, s.ledger.Running(name), s.ledger.EffectiveLimit(name))
	case s.reservation.blocks(j, time.Now()):
		return "room is reserved for job " + s.reservation.job + ", whose tasks must start together"
	default:
		return fmt.Sprintf("the workers have no room for %d more of its tasks", needed)
	}
}

// notify signals the channel unless a signal is already pending.
func notify(channel chan struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}
