package shard

import (
	"slices"
	"time"

	"github.com/citronbay/citronbay/internal/cluster/store"
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

// serviceLoad is the load of the workers of one service.
type serviceLoad struct {
	load     *admission.Load
	capacity admission.Capacity
	fleet    job.Resources
	// sizes are the capacities of the workers that have a label, each once, and of all workers for
	// the empty label.
	sizes       map[string][]job.Resources
	advisors    int // the nodes that call the policy service
	builtMillis int64
	// waits is set if tasks wait for room.
	waits bool
}

func (l *serviceLoad) addSize(label string, capacity job.Resources) {
	if !slices.Contains(l.sizes[label], capacity) {
		l.sizes[label] = append(l.sizes[label], capacity)
	}
}

// fits reports whether a task of the step fits on any of the workers while nothing else runs there.
func (l *serviceLoad) fits(spec job.StepSpec) bool {
	return slices.ContainsFunc(l.sizes[spec.Label], spec.Needs.FitsIn)
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

// amountsOf returns the work of the given number of the step's tasks on workers and under the
// team's cap. The caller holds s.mu.
func (s *Shard) amountsOf(spec job.StepSpec, count int, ready bool, team string, fleet job.Resources, ratio float64) admission.Amounts {
	needs := spec.Needs.Times(int64(count))
	millis := ratio * float64(spec.EstimateMillis)
	share := largestShare(needs, fleet)
	amounts := admission.Amounts{
		Fleet: share * millis,
		Cap:   largestShare(needs, s.agreement.Rules.Teams[team].Cap) * millis,
	}
	if ready {
		amounts.Demand = share
	}
	return amounts
}

// largestShare returns the largest share of a dimension of whole that part takes; dimensions that
// are zero in whole don't count.
func largestShare(part, whole job.Resources) float64 {
	largest := 0.0
	for _, d := range []struct{ part, whole int64 }{
		{part: part.MilliCores, whole: whole.MilliCores},
		{part: part.MemoryMB, whole: whole.MemoryMB},
		{part: part.Accelerators, whole: whole.Accelerators},
	} {
		if d.whole > 0 {
			largest = max(largest, float64(d.part)/float64(d.whole))
		}
	}
	return largest
}

// callMillis returns the time that the agreement states for a call to the queue's policy service.
func callMillis(q job.Queue) float64 {
	if q.Policy == nil {
		return 0
	}
	return q.Policy.FixedMillis + policyWorkers*q.Policy.PerWorkerMillis
}

// policyMillis returns the time that the calls about a step take of the given number of nodes. The
// caller holds s.mu.
func (s *Shard) policyMillis(q job.Queue, advisors int, now int64) float64 {
	if q.Policy == nil || s.options.Advisors == nil {
		return 0
	}
	return s.gate.pace.CallRatio(now) * callMillis(q) / float64(max(1, advisors))
}

// linkMillis returns the time that start orders of the given size take of a small link.
func (s *Shard) linkMillis(bytes float64) float64 {
	if !s.options.Link.IsSmall() {
		return 0
	}
	return 1000 * bytes / s.startsPerSecond()
}

// openBytes returns about what the open job takes in a snapshot at most.
func openBytes(j *job.Job) int64 {
	bytes := jobBytes + len(j.Payload)
	for _, step := range j.Steps {
		bytes += stepBytes + taskBytes*len(step.Tasks)
	}
	return int64(bytes)
}

// submissionBytes is openBytes of the job that the submission would make.
func submissionBytes(submission *job.Submission) int64 {
	tasks := 0
	for _, spec := range submission.Steps {
		tasks += spec.Count
	}
	return int64(jobBytes + len(submission.Payload) + stepBytes*len(submission.Steps) + taskBytes*tasks)
}

// maxOpenBytes returns the limit on the size of all open jobs: what a snapshot can hold beside the
// jobs that have ended, and on a small link what the next owner can read before its takeover
// fails. The caller holds s.mu.
func (s *Shard) maxOpenBytes() int64 {
	limit := snapshotShare * store.MaxSnapshotBytes
	if s.options.Link.IsSmall() {
		limit = min(limit, readShare*s.options.Link.BytesPerSecond()*recoveryTimeout.Seconds())
	}
	return int64(max(limit/4, limit-endedBytes*float64(s.state.EndedJobs())))
}

// loadOf returns the load of the service's workers, which is built again once it is
// admissionInterval old. The caller holds s.mu.
func (s *Shard) loadOf(service string, now int64) *serviceLoad {
	l := s.gate.services[service]
	if l != nil && now-l.builtMillis < admissionInterval.Milliseconds() {
		return l
	}
	l = s.buildLoad(service, now)
	if l.waits && s.journal.StalledFor() < storeStallLimit && now-s.openedMillis > settleTime.Milliseconds() {
		s.gate.pace.ObserveUsage(service, l.capacity.Used, now)
	} else {
		s.gate.pace.SkipUsage(service, now)
	}
	s.gate.services[service] = l
	return l
}

// refreshLoads builds the loads again that submissions have used, so that what is learned of the
// fleet doesn't depend on when they come. The caller holds s.mu.
func (s *Shard) refreshLoads(now int64) {
	for service := range s.gate.services {
		s.loadOf(service, now)
	}
}

// buildLoad sums up the open jobs of the service's queues. The caller holds s.mu.
func (s *Shard) buildLoad(service string, now int64) *serviceLoad {
	l := &serviceLoad{
		sizes:       map[string][]job.Resources{},
		builtMillis: now,
	}
	if s.options.Advisors != nil {
		l.advisors = len(s.options.Advisors())
	}
	var used job.Resources
	for _, w := range s.links {
		if w.registration.Service != service || !w.listed || (w.answered && !w.worker.Usable) {
			continue
		}
		l.fleet = l.fleet.Plus(w.registration.Capacity)
		l.addSize("", w.registration.Capacity)
		for _, label := range w.registration.Labels {
			l.addSize(label, w.registration.Capacity)
		}
		used = used.Plus(s.state.Used(w.key()))
	}
	weights := map[string]float64{}
	for name, team := range s.agreement.Rules.Teams {
		weights[name] = max(1, team.JobsPerSecond)
	}
	var priorities []int
	for _, q := range s.agreement.Rules.Queues {
		if q.Service == service && !slices.Contains(priorities, q.Priority) {
			priorities = append(priorities, q.Priority)
		}
	}
	l.capacity = admission.Capacity{
		Achievable:   s.gate.pace.Achievable(service),
		Used:         largestShare(used, l.fleet),
		UrgentInflow: s.gate.pace.UrgentInflow(service, priorities, now),
		MaxOpenJobs:  maxOpenJobs,
		MaxOpenBytes: s.maxOpenBytes(),

		MaxIdleMillis: float64(maxIdleWait.Milliseconds()),
	}
	l.load = admission.NewLoad(l.capacity, weights)
	room := map[string]float64{}
	placeable := 0.0
	for _, j := range s.state.OpenJobs() {
		q := s.agreement.Rules.Queues[j.Queue]
		if q.Service != service {
			l.load.Hold(openBytes(j))
			continue
		}
		w, demand := s.waitingWork(j, q, l, room, now)
		placeable += demand
		l.load.Add(w)
	}
	l.waits = placeable > minMeasuredDemand
	for id := range s.gate.estimates {
		if s.state.Job(id) == nil {
			delete(s.gate.estimates, id) // withdrawn
		}
	}
	return l
}

// waitingWork returns the work of the job that waits, and the share of the fleet that it asks for
// which only room keeps from starting. The map room holds, by team, the share of the fleet that its
// cap still permits. The caller holds s.mu.
func (s *Shard) waitingWork(j *job.Job, q job.Queue, l *serviceLoad, room map[string]float64, now int64) (admission.Work, float64) {
	w := admission.Work{
		Team:     j.Team,
		Priority: q.Priority,
		OverRate: j.OverRate,
		Late:     j.Late(q, now),
		Bytes:    openBytes(j),
	}
	ratio := s.gate.pace.Ratio(j.Queue, now)
	placeable := 0.0
	for _, step := range j.Steps {
		count := step.Waiting()
		if count == 0 {
			continue
		}
		amounts := s.amountsOf(step.Spec, count, step.Ready(), j.Team, l.fleet, ratio)
		if amounts.Demand > 0 {
			left, known := room[j.Team]
			if !known {
				left = s.capRoom(j.Team, l.fleet)
			}
			if step.Spec.Gang && amounts.Demand > left || !l.fits(step.Spec) {
				amounts.Demand = 0 // room alone would not let any of it start
			}
			amounts.Demand = min(amounts.Demand, left)
			room[j.Team] = left - amounts.Demand
		}
		if step.AwaitsPolicy(q) {
			amounts.Policy = s.policyMillis(q, l.advisors, now)
		} else {
			placeable += amounts.Demand
		}
		amounts.Link = s.linkMillis(float64(count) * startCost(j))
		w.Amounts = w.Amounts.Plus(amounts)
	}
	return w, placeable
}

// capRoom returns the share of the fleet that the team's cap still permits. The caller holds s.mu.
func (s *Shard) capRoom(team string, fleet job.Resources) float64 {
	limit := s.agreement.Rules.Teams[team].Cap
	left := 1.0
	used := s.state.TeamUsed(team)
	for _, d := range []struct{ limit, used, fleet int64 }{
		{limit: limit.MilliCores, used: used.MilliCores, fleet: fleet.MilliCores},
		{limit: limit.MemoryMB, used: used.MemoryMB, fleet: fleet.MemoryMB},
		{limit: limit.Accelerators, used: used.Accelerators, fleet: fleet.Accelerators},
	} {
		if d.limit > 0 && d.fleet > 0 {
			left = min(left, max(0, float64(d.limit-d.used)/float64(d.fleet)))
		}
	}
	return left
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
