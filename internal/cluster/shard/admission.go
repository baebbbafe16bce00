package shard

import (
	"time"

	"github.com/citronbay/citronbay/internal/decide/admission"
	"github.com/citronbay/citronbay/internal/decide/job"
)

const (
	// admissionInterval is the age of the load from which it is built again.
	admissionInterval = 100 * time.Millisecond
	// policyWorkers is the number of workers that a call to the policy service names, as far as
	// the estimate is concerned.
	policyWorkers = 30
	// minMeasuredDemand is the share of the fleet that waiting tasks must ask for if the share in
	// use is to tell what the fleet can do.
	minMeasuredDemand = 0.02
	// settleTime is the time from the start of a term in which tasks wait that have room.
	settleTime = 3 * time.Second
	// maxOpenJobs bounds the planning passes, which look at each open job.
	maxOpenJobs = 1 << 14
	// snapshotShare is the part of the largest snapshot that jobs may take: their sizes are
	// estimates.
	snapshotShare = 0.9
	// endedBytes is about what a job that has ended takes in a snapshot.
	endedBytes = 160
	// readShare is the part of the link, and of the time in which a new owner must have read the
	// journal, for open jobs.
	readShare = 0.5
	// maxIdleWait is for how long accepted work may wait for the owner's link or the policy service
	// beside idle workers.
	maxIdleWait = maxStartDelay
	// taskBytes, stepBytes and jobBytes are about what a task, a step and a job take in a
	// snapshot, beside the job's payload.
	taskBytes = 160
	stepBytes = 80
	jobBytes  = 160
)

// gate holds what the owner knows about the work that it accepts. The zero value is that of a new
// term. It is guarded by Shard.mu.
type gate struct {
	pace    *admission.Pace
	returns *admission.Returns
	// services holds the load by service.
	services map[string]*serviceLoad
	// estimates holds the Unix millisecond at which a job that was accepted in this term was
	// expected to be done, by its ID.
	estimates map[string]int64
	// overrunsMillis is when attempts that run longer than estimated were last observed.
	overrunsMillis int64
}

// openGate prepares the gate of a new term. The caller holds s.mu.
func (s *Shard) openGate() {
	if s.gate.pace != nil {
		return
	}
	s.gate = gate{
		pace:      admission.NewPace(s.now()),
		returns:   admission.NewReturns(),
		services:  map[string]*serviceLoad{},
		estimates: map[string]int64{},
	}
}

// WouldAdmit returns what would be decided now about the team's submission to the queue. It changes
// nothing.
func (s *Shard) WouldAdmit(team, queue string, submission *job.Submission) admission.Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.openGate()
	now := s.now()
	load, sub := s.admissionOf(team, queue, submission, now, now)
	return load.Decide(sub)
}

// admit decides a submission, and notes it. It also returns whether the submission is over its team's
// rate. The caller holds s.mu.
func (s *Shard) admit(id, team, queue string, submission *job.Submission, now int64) (d admission.Decision, overRate bool) {
	s.openGate()
	first, repeated := s.gate.returns.FirstMillis(id, now)
	load, sub := s.admissionOf(team, queue, submission, first, now)
	overRate = sub.Work.OverRate
	d = load.Decide(sub)
	if !d.Accepted {
		d = s.gate.returns.Refuse(id, sub.Work, load.Share(team), d, now)
		countRefusedJob(s.metricTeam(team), d, repeated)
		return d, overRate
	}
	s.gate.returns.Accept(id)
	if !overRate {
		s.takeRate(team, now)
		s.gate.pace.ObserveAccepted(s.agreement.Rules.Queues[queue].Service, sub.Work, now)
	}
	load.Add(sub.Work)
	s.gate.estimates[id] = now + d.EstimateMillis
	countAcceptedJob(s.metricTeam(team), overRate, repeated)
	return d, overRate
}

// metricTeam returns the team's name for metrics, which is empty for one that the agreement does
// not list.
func (s *Shard) metricTeam(team string) string {
	if _, ok := s.agreement.Rules.Teams[team]; ok {
		return team
	}
	return ""
}

// admissionOf returns the load that a submission meets and the submission as amounts of work. The
// caller holds s.mu.
func (s *Shard) admissionOf(team, queue string, submission *job.Submission, first, now int64) (*admission.Load, admission.Submission) {
	q := s.agreement.Rules.Queues[queue]
	s.observeOverruns(now)
	service := s.loadOf(q.Service, now)
	objective := submission.Objective(q)
	ratio := s.gate.pace.Ratio(queue, now)
	sub := admission.Submission{
		Work: admission.Work{
			Team:     team,
			Priority: q.Priority,
		},
		PathMillis:      ratio * float64(objective.CriticalPathMillis),
		ObjectiveMillis: float64(objective.DueMillis),
		UsefulMillis:    float64(objective.UsefulMillis),
		ElapsedMillis:   float64(now - first),
		Calm:            !service.waits,
	}
	capped := s.agreement.Rules.Teams[team].Cap != (job.Resources{})
	room := max(0, s.capRoom(team, service.fleet)-service.load.TeamDemand(team))
	bytes := float64(startBytes + len(submission.Payload))
	for _, spec := range submission.Steps {
		amounts := s.amountsOf(spec, spec.Count, len(spec.After) == 0, team, service.fleet, ratio)
		if !spec.Gang && capped {
			amounts.Demand = min(amounts.Demand, room)
			room -= amounts.Demand
		}
		amounts.Policy = s.policyMillis(q, service.advisors, now)
		amounts.Link = s.linkMillis(float64(spec.Count) * bytes)
		sub.Work.Amounts = sub.Work.Amounts.Plus(amounts)
	}
	sub.PathMillis += callMillis(q)
	sub.Work.OverRate = s.isOverRate(team, sub.IsLate(), now)
	sub.Work.Bytes = submissionBytes(submission)
	return service.load, sub
}

// submissionBytes is openBytes of the job that the submission would make.
func submissionBytes(submission *job.Submission) int64 {
	tasks := 0
	for _, spec := range submission.Steps {
		tasks += spec.Count
	}
	return int64(jobBytes + len(submission.Payload) + stepBytes*len(submission.Steps) + taskBytes*tasks)
}

// observeAttempt notes for how long an attempt that has ended held its worker. The caller holds
// s.mu.
func (s *Shard) observeAttempt(p *job.Placement, outcome job.AttemptOutcome) {
	j := s.state.Job(p.Task.Job)
	if s.gate.pace == nil || j == nil || p.Endless || p.OrderedMillis == 0 {
		return
	}
	estimate := 0.0
	if outcome == job.AttemptCompleted {
		estimate = float64(j.Steps[p.Task.Step].Spec.EstimateMillis)
	}
	now := s.now()
	s.gate.pace.ObserveAttempt(j.Queue, float64(now-p.OrderedMillis), estimate, now)
}

// observeOverruns notes the attempts that run longer than estimated, once in admissionInterval. The
// caller holds s.mu.
func (s *Shard) observeOverruns(now int64) {
	if now-s.gate.overrunsMillis < admissionInterval.Milliseconds() {
		return
	}
	s.gate.overrunsMillis = now
	overruns := map[string]admission.Overruns{}
	for _, j := range s.state.OpenJobs() {
		for _, step := range j.Steps {
			estimate := step.Spec.EstimateMillis
			if step.Placed() == 0 || step.Spec.Endless || estimate <= 0 {
				continue
			}
			for n := range step.Tasks {
				p := step.Tasks[n].Placement
				if p != nil && p.OrderedMillis > 0 && now-p.OrderedMillis > estimate {
					overruns[j.Queue] = overruns[j.Queue].Plus(float64(now-p.OrderedMillis), float64(estimate))
				}
			}
		}
	}
	s.gate.pace.ObserveOverruns(overruns)
}

// observeCall notes a call to the policy service that took the given time, for which its node made no
// other. The caller holds s.mu.
func (s *Shard) observeCall(q job.PolicyQuery, took time.Duration, ok bool) {
	if s.gate.pace == nil || q.ExpectedMillis <= 0 {
		return
	}
	queue := s.agreement.Rules.Queues[q.Step.Job.Queue]
	estimate := 0.0
	if ok && q.Step.AwaitsPolicy(queue) {
		estimate = callMillis(queue)
	}
	s.gate.pace.ObserveCall(float64(took.Milliseconds()), estimate, s.now())
}

// observeEnd compares the end of a job with its estimate. The caller holds s.mu.
func (s *Shard) observeEnd(j *job.Job, outcome job.Outcome) {
	expected, ok := s.gate.estimates[j.ID]
	if !ok {
		return
	}
	delete(s.gate.estimates, j.ID)
	if outcome == job.Completed {
		countEstimate(j.Queue, time.Duration(s.now()-expected)*time.Millisecond)
	}
}
