package job

// Queue is what operators set for the jobs of one queue.
type Queue struct {
	Name     string
	Service  string
	Priority int
	// Attempts is how many failures of a task end its job.
	Attempts int
	// Slack times the longest chain of work, plus TargetMillis, is the time in
	// which a job should be done.
	Slack        float64
	TargetMillis int64
	// Policy tells what the queue's policy service costs; nil without one.
	Policy *Policy
}

// Policy describes the service that says which workers may run a step.
type Policy struct {
	// DecisionMillis and WorkerMillis are the time of a call: a fixed part, and a
	// part for each worker that is asked about.
	DecisionMillis float64
	WorkerMillis   float64
	// ValidMillis is how long an answer may be used.
	ValidMillis int64
}

// Team is what operators set for one team.
type Team struct {
	Name string
	// Rate is the number of jobs a second that the team is owed.
	Rate float64
	// Cap is what the team may have running; zero means no limit.
	Cap Resources
}

// Rules is the part of the agreement that decides about jobs.
type Rules struct {
	Queues map[string]Queue
	Teams  map[string]Team
}

// usefulFactor times its objective is when a job's result stops being useful to
// its caller, from the users' rules of credit.
const usefulFactor = 3

// feasibility says what a step's job can still reach.
type feasibility int

const (
	onTime feasibility = iota
	late
	useless
)

// objectiveMillis returns the time in which the job should be done.
func (j *Job) objectiveMillis(q Queue) int64 {
	return int64(q.Slack*float64(j.criticalPathMillis)) + q.TargetMillis
}

// DueMillis returns the Unix millisecond by which the job should be done.
func (j *Job) DueMillis(q Queue) int64 {
	return j.SubmittedMillis + j.objectiveMillis(q)
}

// feasibility compares the estimated end of the step's chain, if it starts now, with
// the job's objective.
func (s *Step) feasibility(q Queue, now int64) feasibility {
	estimatedMillis := now + s.criticalPathMillis - s.Job.SubmittedMillis
	objective := s.Job.objectiveMillis(q)
	switch {
	case estimatedMillis <= objective:
		return onTime
	case estimatedMillis <= usefulFactor*objective:
		return late
	}
	return useless
}
