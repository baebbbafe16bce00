package job

import "errors"

// Replay applies a record of the journal, like Apply. A record that Apply refuses was written by an
// owner whose memory differed from what the journal tells, and that owner has acted on it: a
// placement replaces an earlier one of the task, and a completion marks the task as done, so that
// neither starts again beside it. Other such records are passed over, since each concerns one job
// only. The returned error says what did not match; it wraps ErrUnknownKind if the record cannot be
// interpreted, in which case the state is incomplete.
func (s *State) Replay(r Record) error {
	err := s.Apply(r)
	if err == nil {
		return nil
	}
	t := s.Task(TaskKey{
		Job:   r.Job,
		Step:  r.Step,
		Index: r.Index,
	})
	if t == nil {
		return err
	}
	j := s.jobs[r.Job]
	defer s.updateIndexes(j)
	switch {
	case r.Kind == RecordPlace && t.Placement != nil:
		return errors.Join(err, s.replacePlacement(j, t, r))
	case r.Kind == RecordAttemptEnd && r.AttemptOutcome == AttemptCompleted:
		j.Steps[r.Step].completeTask(t)
	}
	return err
}

// replacePlacement ends the task's placement as lost and makes the one of the record, which must be
// a RecordPlace.
func (s *State) replacePlacement(j *Job, t *Task, r Record) error {
	p := t.Placement
	lost := Record{
		Step:           p.Task.Step,
		Attempt:        p.Attempt,
		AttemptOutcome: AttemptLost,
	}
	return errors.Join(s.endAttempt(j, p.Task, t, lost), s.placeTask(j, p.Task, t, r))
}
