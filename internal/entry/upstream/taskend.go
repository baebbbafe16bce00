package upstream

import (
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/citronbay/citronbay/internal/api/caller"
	"github.com/citronbay/citronbay/internal/api/upstream"
)

// attach joins an adopted run to its job.
func (s *Shard) attach(r *run) {
	j, ok := s.jobs[r.job]
	if !ok {
		return
	}
	r.index = indexOf(r.id)
	if r.index < len(j.states) {
		j.runs[r.index] = r
		j.racks[r.link.vm.Rack]++
		j.noteRan()
	}
}

// taskID names one attempt at a task; no two attempts have the same name.
func taskID(job string, index int) string {
	return job + "/" + strconv.Itoa(index) + "/" + uuid.NewString()
}

func indexOf(id string) int {
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

// detach takes the run out of its job and returns the job, if this is the run
// that the job counts.
func (s *Shard) detach(jobID, taskID string) (*job, int, bool) {
	j, ok := s.jobs[jobID]
	if !ok {
		return nil, 0, false
	}
	index := indexOf(taskID)
	r := j.runs[index]
	if r == nil || r.id != taskID {
		return j, index, false
	}
	delete(j.runs, index)
	j.racks[r.link.vm.Rack]--
	return j, index, true
}

// taskEnded follows a task's end into its job.
func (s *Shard) taskEnded(l *link, end upstream.Ended) {
	j, index, current := s.detach(end.Job, end.Task)
	if j == nil || index >= len(j.states) || isTerminal(j.states[index]) {
		return
	}
	j.noteRan()
	if later := j.runs[index]; !current && later != nil {
		s.earlierEnded(j, index, later, end)
		return
	}
	switch {
	case end.Failed == "" && j.record.Spec.Kind != caller.KindService:
		s.setState(j, index, taskCompleted, "")
	case end.Failed == upstream.ReasonStopped || end.Failed == upstream.ReasonLapsed || j.record.Cancelled:
		j.resume[index] = end.Checkpoint
		s.taskStopped(j, index, end.Failed)
	default:
		s.taskFailed(j, index, l.vm.Name, end.Failed)
	}
}

// earlierEnded follows the end of an earlier attempt, told late, while another
// runs: a result counts, and makes the later attempt needless; a failure does
// not.
func (s *Shard) earlierEnded(j *job, index int, later *run, end upstream.Ended) {
	if end.Failed != "" || j.record.Spec.Kind == caller.KindService {
		return
	}
	s.setState(j, index, taskCompleted, "")
	if !later.stopping {
		go s.stopWith(later, false)
	}
}

func isTerminal(state byte) bool {
	return state == taskCompleted || state == taskFailed || state == taskUnknown
}

// taskFailed tries a failed task again elsewhere, or fails it.
func (s *Shard) taskFailed(j *job, index int, machine, reason string) {
	j.failures[index]++
	j.failedOn[machine] = true
	spec := j.record.Spec
	switch {
	case spec.Kind == caller.KindService:
		s.restartLater(j, index)
	case spec.AtMostOnce || spec.Kind == caller.KindAllAtOnce || j.failures[index] >= maxTaskAttempts:
		s.setState(j, index, taskFailed, reason)
		if spec.Kind == caller.KindAllAtOnce {
			s.stopAll(j)
		}
	default:
		s.requeue(j, index)
	}
}

func (s *Shard) restartLater(j *job, index int) {
	wait := serviceBackoff << min(5, j.failures[index]-1)
	time.AfterFunc(wait, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if j.record.Fate == caller.FateInProgress && j.runs[index] == nil {
			s.requeue(j, index)
			s.pump()
		}
	})
}

// taskStopped follows the end of a task that this system stopped.
func (s *Shard) taskStopped(j *job, index int, reason string) {
	spec := j.record.Spec
	switch {
	case j.record.Cancelled || spec.AtMostOnce:
		s.setState(j, index, taskFailed, reason)
	case spec.Kind == caller.KindAllAtOnce:
		if j.counts[taskFailed] > 0 {
			s.setState(j, index, taskFailed, reason)
		} else if len(j.runs) == 0 {
			s.enqueueJob(j)
		}
	default:
		s.requeue(j, index)
	}
}

// taskLost follows a run that has certainly stopped without a known result.
func (s *Shard) taskLost(r *run, reason string) {
	j, index, current := s.detach(r.job, r.id)
	if !current || isTerminal(j.states[index]) {
		return
	}
	if j.states[index] == taskDispatched || j.record.Spec.AtMostOnce {
		s.setState(j, index, taskUnknown, reason)
		return
	}
	if j.record.Spec.Kind == caller.KindAllAtOnce && len(j.runs) > 0 {
		s.stopAll(j)
		return
	}
	s.taskStopped(j, index, reason)
}

// setState records a task's state and, with the last one, the job's fate.
func (s *Shard) setState(j *job, index int, state byte, reason string) {
	j.set(index, state)
	if reason != "" {
		j.record.Reason = reason
	}
	if !j.allTerminal() {
		return
	}
	j.record.Fate = fateOf(j)
	s.Log.Info("job ended", "job", j.record.JobID, "team", j.record.Team, "fate", string(j.record.Fate), "reason", j.record.Reason)
	signal(s.flushNow)
}

func fateOf(j *job) caller.Fate {
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
