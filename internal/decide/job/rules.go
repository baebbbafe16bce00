package job

// Queue is the operators' configuration of one queue of jobs.
type Queue struct {
	Name string
	// Service is the service of the workers that run the queue's tasks.
	Service string
	// Priority orders the queues; lower values go first.
	Priority int
	// MaxFailures is the number of failures of one task, or of failed runs of one gang, at
	// which its job fails; zero means no limit. Failures of endless tasks do not end the job.
	MaxFailures int
	// SlackFactor times the estimated run time of a job's critical path, plus
	// TargetMillis, is the time after its submission within which the job should be done.
	SlackFactor  float64
	TargetMillis int64
	// Policy describes the queue's policy service; nil if it has none.
	Policy *Policy
}

// Policy describes the service that decides which workers may run a step.
type Policy struct {
	// FixedMillis is the fixed part of a call's time.
	FixedMillis float64
	// PerWorkerMillis is added to a call's time for each worker that the call names.
	PerWorkerMillis float64
	// TicketValidMillis is how long the tickets of an answer are valid.
	TicketValidMillis int64
}

// Team is the operators' configuration of one team.
type Team struct {
	Name string
	// JobsPerSecond is the team's agreed rate of submissions, in jobs per second; zero
	// means no limit.
	JobsPerSecond float64
	// Cap limits the resources of the team's placed tasks; a zero dimension is
	// unlimited.
	Cap Resources
}

// Rules is the part of the operators' configuration that governs the scheduling of jobs:
// the queues and the teams, by name.
type Rules struct {
	Queues map[string]Queue
	Teams  map[string]Team
}

// usefulFactor is the multiple of a job's objective after which its result is of no
// use to its caller, from the users' rules for crediting results.
const usefulFactor = 3

// feasibility is whether a job can still meet its objective.
type feasibility int

const (
	onTime  feasibility = iota
	late                // expected to end after its objective, with a result that is still useful
	useless             // expected to end after usefulFactor times its objective
)

// objectiveMillis returns the job's objective: the time after its submission within
// which it should be done.
func (j *Job) objectiveMillis(q Queue) int64 {
	return int64(q.SlackFactor*float64(j.criticalPathMillis)) + q.TargetMillis
}

// DueMillis returns the job's deadline, the Unix millisecond by which it should be
// done.
func (j *Job) DueMillis(q Queue) int64 {
	return j.SubmittedMillis + j.objectiveMillis(q)
}

// feasibility returns whether the job can meet its objective if the step starts now
// and the critical path from it takes as long as estimated.
func (s *Step) feasibility(q Queue, now int64) feasibility {
	estimatedMillis := now + s.criticalPathMillis - s.Job.SubmittedMillis
	objectiveMillis := s.Job.objectiveMillis(q)
	switch {
	case estimatedMillis <= objectiveMillis:
		return onTime
	case estimatedMillis <= usefulFactor*objectiveMillis:
		return late
	}
	return useless
}
