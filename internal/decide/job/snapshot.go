package job

import "slices"

// Snapshot returns records that rebuild the state. Ended jobs without placements are
// kept without payload and steps, and omitted if they ended before the Unix millisecond
// endedBefore.
func (s *State) Snapshot(endedBefore int64) []Record {
	var records []Record
	for _, j := range s.jobs {
		if j.forgettable() && j.FinishedMillis < endedBefore {
			continue
		}
		records = append(records, j.snapshot(!j.forgettable())...)
	}
	return records
}

// Prune removes the jobs without placements that ended before the Unix millisecond
// endedBefore, the same ones that Snapshot omits. No record tells of it, so the journal may
// hold them until the next snapshot.
func (s *State) Prune(endedBefore int64) {
	for id, j := range s.jobs {
		if j.forgettable() && j.FinishedMillis < endedBefore {
			s.removeJob(id)
		}
	}
}

// MarkRecorded marks the acceptance and the end of all jobs as durable, which they are
// in a state that was just rebuilt from records.
func (s *State) MarkRecorded() {
	for _, j := range s.jobs {
		j.Recorded = true
		j.EndRecorded = j.Outcome != Open
	}
}

// forgettable reports whether the job has ended and has no placements.
func (j *Job) forgettable() bool {
	return j.Outcome != Open && !slices.ContainsFunc(j.Steps, func(s *Step) bool {
		return s.placed > 0
	})
}

func (j *Job) snapshot(full bool) []Record {
	accept := Record{
		Kind:       RecordAccept,
		Job:        j.ID,
		Team:       j.Team,
		Queue:      j.Queue,
		TimeMillis: j.SubmittedMillis,
		OverRate:   j.OverRate,
		Call:       j.AcceptedBy,
	}
	if full {
		accept.Submission = &Submission{Payload: j.Payload}
		for _, step := range j.Steps {
			accept.Submission.Steps = append(accept.Submission.Steps, step.Spec)
		}
	}
	records := []Record{accept}
	if full {
		for _, step := range j.Steps {
			records = append(records, step.snapshot()...)
		}
	}
	if j.Outcome != Open {
		records = append(records, Record{
			Kind:       RecordJobEnd,
			Job:        j.ID,
			Outcome:    j.Outcome,
			TimeMillis: j.FinishedMillis,
			Call:       j.CancelledBy,
		})
	}
	return records
}

func (s *Step) snapshot() []Record {
	var records []Record
	for n, t := range s.Tasks {
		if t.Attempt > 0 || t.Done {
			records = append(records, s.TaskState(n))
		}
		if t.Placement != nil {
			records = append(records, Record{
				Kind:        RecordPlace,
				Job:         s.Job.ID,
				Step:        s.Number,
				Index:       n,
				Attempt:     t.Placement.Attempt,
				Worker:      t.Placement.Worker.ID,
				Incarnation: t.Placement.Worker.Incarnation,
			})
		}
	}
	return records
}

// TaskState returns the record of the task's state, without its placement.
func (s *Step) TaskState(index int) Record {
	t := s.Tasks[index]
	return Record{
		Kind:           RecordTaskState,
		Job:            s.Job.ID,
		Step:           s.Number,
		Index:          index,
		Attempt:        t.Attempt,
		Failures:       t.Failures,
		FailedAttempt:  t.FailedAttempt,
		Crashes:        t.Crashes,
		CertainCrashes: t.CertainCrashes,
		Checkpoint:     t.Checkpoint,
		Done:           t.Done,
	}
}
