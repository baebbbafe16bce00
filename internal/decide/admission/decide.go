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
}

// shortWait is the part of the run time for which a job may wait even if it is late by then: it
// goes with the room that the next tasks leave.
const shortWait = 0.25

// Decide decides a submission. It answers a load of more work than can be done in time: accepted
// work is carried out to its end, so that each job which is accepted too late takes the room of
// one that could have been in time.
//
//   - A job over its team's rate is accepted if it is expected to meet its objective behind all
//     that waits and all that arrives within the rates.
//   - A job within the rate is accepted if it is expected to meet its objective, behind the work
//     that goes before it or in its team's share of the fleet: the work of a team beyond its
//     share doesn't keep out those that are within theirs.
//   - While less is submitted than the fleet can do, a backlog ends by itself, and a job is accepted
//     whose result is still of use.
//
// RetryMillis is the time until the job could be accepted if nothing else were.
func (l *Load) Decide(s Submission) Decision {
	if l.isFull(s.Work) {
		// Room comes as the work in hand is done, each job at its size.
		return Decision{}.refused(OpenWork, total(l.within).Fleet/float64(max(1, l.openJobs)))
	}
	wait, reason := l.wait(s.Work)
	estimate := wait + s.runMillis(l.capacity)
	d := Decision{
		Accepted:       true,
		EstimateMillis: int64(estimate),
	}
	if s.ObjectiveMillis == 0 {
		return d
	}
	limit := s.ObjectiveMillis
	if !s.Work.OverRate && l.capacity.Offered <= l.capacity.Achievable {
		limit = s.UsefulMillis
	}
	excess := min(estimate+s.ElapsedMillis-limit, wait-shortWait*s.PathMillis)
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

// isFull reports whether the owner cannot hold the job.
func (l *Load) isFull(w Work) bool {
	return l.capacity.MaxOpenJobs > 0 && l.openJobs >= l.capacity.MaxOpenJobs ||
		l.capacity.MaxOpenBytes > 0 && l.openBytes+w.Bytes > l.capacity.MaxOpenBytes
}

// wait returns the time that the work would wait, and for what it would wait longest.
func (l *Load) wait(w Work) (float64, Reason) {
	teams := l.ahead(w)
	var all Amounts
	for _, amounts := range teams {
		all = all.plus(amounts)
	}
	own := teams[w.Team]
	fleet := 0.0
	if free := l.capacity.free(); all.Demand > free {
		fleet = l.fleetMillis(w, teams) * (1 - free/all.Demand)
	}
	millis, reason := 0.0, FleetBusy
	if w.OverRate {
		reason = OverRate
	}
	for _, queue := range []struct {
		millis float64
		reason Reason
	}{
		{millis: fleet, reason: reason},
		{millis: own.Cap, reason: TeamCap},
		{millis: all.Policy, reason: PolicyBusy},
		{millis: all.Link, reason: LinkBusy},
	} {
		if queue.millis > millis {
			millis, reason = queue.millis, queue.reason
		}
	}
	return millis, reason
}

// fleetMillis returns the time for which the work waits on a fleet without free room.
func (l *Load) fleetMillis(w Work, teams map[string]Amounts) float64 {
	share := l.capacity.Achievable
	if w.OverRate {
		// The fleet has to carry out what arrives within the rates, too.
		return drainMillis(teams, max(share-l.capacity.Offered, minShare))
	}
	millis := min(drainMillis(teams, share), teams[w.Team].Fleet/(share*l.Share(w.Team)))
	return millis + min(millis, l.capacity.UrgentInflow[w.Priority]/share)
}

// runMillis returns the time that the job takes once nothing is ahead of it.
func (s Submission) runMillis(c Capacity) float64 {
	run := max(s.PathMillis, s.Work.Amounts.Cap, s.Work.Amounts.Link)
	if c.Achievable > 0 {
		run = max(run, s.Work.Amounts.Fleet/c.Achievable)
	}
	return run
}
