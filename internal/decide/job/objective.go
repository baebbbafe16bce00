package job

// Objective is what a job's caller expects, in milliseconds since the submission; zero means no
// limit.
type Objective struct {
	// CriticalPathMillis is the estimated run time of the longest chain of dependent steps.
	CriticalPathMillis int64
	// DueMillis is the time within which the job should be done, and UsefulMillis that after which
	// its result is of no use.
	DueMillis, UsefulMillis int64
}

// Objective returns the objective of the submission in the queue.
func (s *Submission) Objective(q Queue) Objective {
	j := Job{}
	for _, spec := range s.Steps {
		j.Steps = append(j.Steps, &Step{Spec: spec})
	}
	j.computeCriticalPaths()
	due := j.objectiveMillis(q)
	return Objective{
		CriticalPathMillis: j.criticalPathMillis,
		DueMillis:          due,
		UsefulMillis:       usefulFactor * due,
	}
}

// Late reports whether the job can no longer meet its objective, by the estimates of the steps that
// are not done.
func (j *Job) Late(q Queue, now int64) bool {
	for _, step := range j.Steps {
		if !step.Done() && step.feasibility(q, now) != onTime {
			return true
		}
	}
	return false
}

// AwaitsPolicy reports whether the policy service has yet to answer about the step.
func (s *Step) AwaitsPolicy(q Queue) bool {
	return q.Policy != nil && !s.Advice.answered && s.Waiting() > 0
}

// EndedJobs returns the number of jobs that have ended and are kept.
func (s *State) EndedJobs() int {
	return len(s.jobs) - len(s.open)
}

// WithinRateSince returns the number of jobs of the team within its rate that were submitted after
// the Unix millisecond.
func (s *State) WithinRateSince(team string, millis int64) int {
	n := 0
	for _, j := range s.jobs {
		if j.Team == team && !j.OverRate && j.SubmittedMillis > millis {
			n++
		}
	}
	return n
}
