package admission

// Submission is a submission that is to be decided.
type Submission struct {
	Work Work
	// PathMillis is the expected run time of the job's critical path, with the answers of the
	// policy service.
	PathMillis float64
	// ObjectiveMillis is the time since the job was first submitted within which it should be
	// done, and UsefulMillis that after which its result is of no use; zero means no limit.
	ObjectiveMillis, UsefulMillis float64
	// ElapsedMillis is the time since the job was first submitted.
	ElapsedMillis float64
	// Calm is set if no task waits for room: then tasks can start wherever workers are not in use.
	Calm bool
}

// IsLate reports whether so much time has passed since a first refusal that the job cannot meet its objective.
func (s Submission) IsLate() bool {
	return s.ObjectiveMillis > 0 && s.ElapsedMillis > 0 && s.ElapsedMillis+s.PathMillis > s.ObjectiveMillis
}

// isOfUse reports whether the job's result is of use if it is done after the given time.
func (s Submission) isOfUse(millis float64) bool {
	return s.ElapsedMillis+millis <= s.UsefulMillis
}

// shortWait is the part of the run time for which a job may wait even if it is late by then: it
// goes with the room that the next tasks leave.
const shortWait = 0.25

// minDrainShare is the least part of the fleet on which late work is expected to be done beside what
// arrives: an overload ends.
const minDrainShare = 0.25

// Decide decides a submission. It answers a load of more work than can be done while it is of use:
// accepted work is carried out to its end, so that each job which ends too late takes the room of
// one that could have been of use.
//
//   - A job over its team's rate is accepted while the fleet has room for it beside all that waits.
//   - A job within the rate is accepted if it is expected to end while it is of use, behind the work
//     that goes before it or in its team's share of the fleet: the work of a team beyond its share
//     doesn't keep out those that are within theirs.
//
// RetryMillis is the time until the job could be accepted if nothing else were.
func (l *Load) Decide(s Submission) Decision {
	if reason, retry := l.full(s.Work); reason != "" {
		return Decision{}.refused(reason, retry)
	}
	wait, reason := l.wait(s)
	estimate := wait + s.runMillis(l.capacity)
	d := Decision{
		Accepted:       true,
		EstimateMillis: int64(estimate),
	}
	if s.ObjectiveMillis == 0 {
		return d
	}
	if s.Work.OverRate && l.isTaken(s) {
		return d.refused(OverRate, wait)
	}
	excess := min(estimate+s.ElapsedMillis-s.UsefulMillis, wait-shortWait*s.PathMillis)
	if excess <= 0 {
		return d
	}
	return d.refused(reason, excess)
}

func (d Decision) refused(reason Reason, retryMillis float64) Decision {
	d.Accepted = false
	d.Reason = reason
	d.RetryMillis = max(1, int64(retryMillis))
	return d
}

// full returns why the owner cannot carry out one job more, whatever its objective, and the time in
// milliseconds until it expects to; the reason is empty if it can.
func (l *Load) full(w Work) (Reason, float64) {
	c := l.capacity
	sum := total(l.within).Plus(total(l.over))
	var ahead Amounts
	for _, amounts := range l.ahead(w) {
		ahead = ahead.Plus(amounts)
	}
	if c.MaxOpenJobs > 0 && l.openJobs >= c.MaxOpenJobs || c.MaxOpenBytes > 0 && l.openBytes+w.Bytes > c.MaxOpenBytes {
		return OpenWork, sum.Fleet / float64(max(1, l.openJobs))
	}
	if excess := max(ahead.Link-c.MaxIdleMillis, sum.Link-2*c.MaxIdleMillis); c.MaxIdleMillis > 0 && excess > 0 {
		return LinkBusy, excess
	}
	if excess := max(ahead.Policy-c.MaxIdleMillis, sum.Policy-2*c.MaxIdleMillis); w.Amounts.Policy > 0 && c.MaxIdleMillis > 0 && excess > 0 {
		return PolicyBusy, excess
	}
	return "", 0
}

// wait returns the time that the submission would wait, and for what it would wait longest.
func (l *Load) wait(s Submission) (float64, Reason) {
	teams := l.ahead(s.Work)
	var all Amounts
	for _, amounts := range teams {
		all = all.Plus(amounts)
	}
	if s.Work.Amounts.Policy == 0 {
		all.Policy = 0
	}
	millis, reason := 0.0, FleetBusy
	for _, queue := range []struct {
		millis float64
		reason Reason
	}{
		{millis: l.fleetWait(s), reason: FleetBusy},
		{millis: teams[s.Work.Team].Cap, reason: TeamCap},
		{millis: all.Policy, reason: PolicyBusy},
		{millis: all.Link, reason: LinkBusy},
	} {
		if queue.millis > millis {
			millis, reason = queue.millis, queue.reason
		}
	}
	return millis, reason
}

// fleetWait returns the time that the submission would wait for workers. If it would be late by then,
// the planner puts it behind the late work of its priority, and behind what arrives until it starts.
func (l *Load) fleetWait(s Submission) float64 {
	inflow := l.capacity.UrgentInflow[s.Work.Priority]
	wait := l.queueMillis(s.Work, inflow.Urgent)
	slack := s.ObjectiveMillis - s.ElapsedMillis - s.PathMillis
	if s.Work.OverRate || s.ObjectiveMillis == 0 || wait <= slack {
		return wait
	}
	if slack > 0 && s.isOfUse(wait+s.PathMillis) && l.mayOvertake(s.Work) {
		return slack
	}
	late := s.Work
	late.Late = true
	left := max(minDrainShare, 1-inflow.Usual/l.capacity.Achievable)
	return max(wait, l.queueMillis(late, inflow.Urgent+inflow.Peers)/left)
}

// mayOvertake reports whether the work is likelier than not to start in time though more is ahead of
// it than can be done by then. What becomes late makes way for what is due later, so that this is so
// while at most twice as much of its priority is accepted as can be done, of all teams or of its own.
func (l *Load) mayOvertake(w Work) bool {
	inflow := l.capacity.UrgentInflow[w.Priority]
	most := 2 * flowMillis * (l.capacity.Achievable - inflow.UsualUrgent)
	return inflow.Peers > 0 && (inflow.Peers <= most || inflow.Teams[w.Team] <= l.Share(w.Team)*most)
}

// queueMillis returns the time until workers have carried out what goes before the work, and as much
// of the inflow as comes before it.
func (l *Load) queueMillis(w Work, inflow float64) float64 {
	teams := l.ahead(w)
	demand := 0.0
	for _, amounts := range teams {
		demand += amounts.Demand
	}
	free := l.capacity.free()
	if demand <= free {
		return 0
	}
	share := l.capacity.Achievable
	millis := drainMillis(teams, share) * (1 - free/demand)
	if !w.OverRate {
		millis = min(millis, teams[w.Team].Fleet/(share*l.Share(w.Team)))
	}
	return millis + min(millis, inflow/share)
}

// isTaken reports whether there is no room for a job over its team's rate beside what waits.
func (l *Load) isTaken(s Submission) bool {
	demand := l.Demand() + s.Work.Amounts.Demand
	if s.Calm && l.capacity.Used+demand > 1 || !s.Calm && demand > l.capacity.free() {
		return true
	}
	return l.ahead(s.Work)[s.Work.Team].Cap > shortWait*s.PathMillis
}

// runMillis returns the time that the job takes once nothing is ahead of it.
func (s Submission) runMillis(c Capacity) float64 {
	run := max(s.PathMillis, s.Work.Amounts.Cap, s.Work.Amounts.Link)
	if c.Achievable > 0 {
		run = max(run, s.Work.Amounts.Fleet/c.Achievable)
	}
	return run
}
