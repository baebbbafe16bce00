package upstream

import (
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/citronbay/citronbay/internal/api/caller"
	"github.com/citronbay/citronbay/internal/api/upstream"
)

// attachRun attaches an adopted run to its job, if the job is known.
func (s *Shard) attachRun(r *run) {
	j, ok := s.jobs[r.job]
	if !ok {
		return
	}
	r.index = taskIndex(r.id)
	if r.index < len(j.states) {
		j.runs[r.index] = r
		j.tasksByRack[r.link.vm.Rack]++
		j.markRan()
	}
}

// newRunID returns a new id for an attempt at the task with the given index in
// the job. Upstreams treat each attempt as a task of its own with that id.
func newRunID(job string, index int) string {
	return job + "/" + strconv.Itoa(index) + "/" + uuid.NewString()
}

// taskIndex returns the index of the task that is part of the id of a run, or 0
// if the id has another form.
func taskIndex(id string) int {
	parts := strings.Split(id, "/")
	if len(parts) != 3 {
		return 0
	}
	index, err := strconv.Atoi(parts[1])
	if err != nil {
		return 0
	}
	return index
}

// detachRun detaches the run from its job. It returns the job, or nil if the job is
// not known, the index of the task, and whether the run was the current one of that
// task.
func (s *Shard) detachRun(jobID, runID string) (*job, int, bool) {
	j, ok := s.jobs[jobID]
	if !ok {
		return nil, 0, false
	}
	index := taskIndex(runID)
	r := j.runs[index]
	if r == nil || r.id != runID {
		return j, index, false
	}
	delete(j.runs, index)
	j.tasksByRack[r.link.vm.Rack]--
	return j, index, true
}

// handleTaskEnded updates the job of a task that has ended.
func (s *Shard) handleTaskEnded(l *link, ended upstream.Ended) {
	j, index, current := s.detachRun(ended.Job, ended.Task)
	if j == nil || index >= len(j.states) || isTerminal(j.states[index]) {
		return
	}
	j.markRan()
	if laterRun := j.runs[index]; !current && laterRun != nil {
		s.handleEarlierAttemptEnded(j, index, laterRun, ended)
		return
	}
	switch {
	case ended.FailureReason == "" && j.record.Spec.Kind != caller.KindService:
		s.setTaskState(j, index, taskCompleted, "")
	case ended.FailureReason == upstream.ReasonStopped || ended.FailureReason == upstream.ReasonLapsed || j.record.Cancelled:
		j.checkpoints[index] = ended.Checkpoint
		s.handleTaskStopped(j, index, ended.FailureReason)
	default:
		s.handleTaskFailed(j, index, l.vm.Name, ended.FailureReason)
	}
}

// handleEarlierAttemptEnded processes a late report of an earlier attempt
// while a later one runs. A result counts and makes the later attempt
// unnecessary; a failure is ignored.
func (s *Shard) handleEarlierAttemptEnded(j *job, index int, laterRun *run, ended upstream.Ended) {
	if ended.FailureReason != "" || j.record.Spec.Kind == caller.KindService {
		return
	}
	s.setTaskState(j, index, taskCompleted, "")
	if !laterRun.stopping {
		go s.stopRun(laterRun, false)
	}
}

func isTerminal(state byte) bool {
	return state == taskCompleted || state == taskFailed || state == taskUnknown
}

// handleTaskFailed retries a failed task, on another upstream if possible, or
// records that it has failed. A task of a service, which should not end by itself,
// is always restarted.
func (s *Shard) handleTaskFailed(j *job, index int, upstreamName, reason string) {
	j.failureCounts[index]++
	j.failedUpstreams[upstreamName] = true
	spec := j.record.Spec
	switch {
	case spec.Kind == caller.KindService:
		s.restartAfterBackoff(j, index)
	case spec.AtMostOnce || spec.Kind == caller.KindAllAtOnce || j.failureCounts[index] >= maxTaskFailures:
		s.setTaskState(j, index, taskFailed, reason)
		if spec.Kind == caller.KindAllAtOnce {
			s.stopAllTasks(j)
		}
	default:
		s.requeue(j, index)
	}
}

// restartAfterBackoff queues the task of a service after a delay that grows with
// the number of its failures.
func (s *Shard) restartAfterBackoff(j *job, index int) {
	wait := serviceBackoff << min(5, j.failureCounts[index]-1)
	time.AfterFunc(wait, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if j.record.Fate == caller.FateInProgress && j.runs[index] == nil {
			s.requeue(j, index)
			s.placeWaiting()
		}
	})
}

// handleTaskStopped updates the job of a task that was stopped before it ended
// by itself. The task waits again, unless it must not be repeated or its job
// has failed or was cancelled. Tasks that must start together wait again only once
// none of them runs.
func (s *Shard) handleTaskStopped(j *job, index int, reason string) {
	spec := j.record.Spec
	switch {
	case j.record.Cancelled || spec.AtMostOnce:
		s.setTaskState(j, index, taskFailed, reason)
	case spec.Kind == caller.KindAllAtOnce:
		if j.counts[taskFailed] > 0 {
			s.setTaskState(j, index, taskFailed, reason)
		} else if len(j.runs) == 0 {
			s.enqueueJob(j)
		}
	default:
		s.requeue(j, index)
	}
}

// handleTaskLost updates the job of a run that has certainly stopped and whose
// result is not known.
func (s *Shard) handleTaskLost(r *run, reason string) {
	j, index, current := s.detachRun(r.job, r.id)
	if !current || isTerminal(j.states[index]) {
		return
	}
	if j.states[index] == taskDispatched || j.record.Spec.AtMostOnce {
		s.setTaskState(j, index, taskUnknown, reason)
		return
	}
	if j.record.Spec.Kind == caller.KindAllAtOnce && len(j.runs) > 0 {
		s.stopAllTasks(j)
		return
	}
	s.handleTaskStopped(j, index, reason)
}

// setTaskState records a task's state and, once every task is in a terminal
// state, the job's fate.
func (s *Shard) setTaskState(j *job, index int, state byte, reason string) {
	j.setState(index, state)
	if reason != "" {
		j.record.Reason = reason
	}
	if !j.allTerminal() {
		return
	}
	j.record.Fate = jobFate(j)
	s.Log.Info("job ended", "job", j.record.JobID, "team", j.record.Team, "fate", string(j.record.Fate), "reason", j.record.Reason)
	notify(s.flushSignal)
}

func jobFate(j *job) caller.Fate {
	switch {
	case j.record.Fate != caller.FateInProgress:
		return j.record.Fate
	case j.counts[taskUnknown] > 0:
		return caller.FateUnknown
	case j.counts[taskFailed] > 0:
		return caller.FateFailed
	default:
		return caller.FateCompleted
	}
}
