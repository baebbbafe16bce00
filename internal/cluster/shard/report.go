package shard

import (
	"errors"
	"math"
	"time"

	"github.com/citronbay/citronbay/internal/cluster/worker"
	"github.com/citronbay/citronbay/internal/decide/job"
)

const (
	// maxEndedPerReport is the maximum number of ended attempts in a report; a report
	// with that many may omit others.
	maxEndedPerReport = 500
	// After quarantineFailures failures in a row a worker gets no work for
	// minQuarantine; the time doubles with each further failure, up to maxQuarantine.
	quarantineFailures = 3
	minQuarantine      = time.Second
	maxQuarantine      = 8 * time.Second
)

// handleReport handles the report, which has arrived, of a poll that was sent, at the given times. If
// there are changes to make durable, the returned channel closes once they are; otherwise it
// is nil.
func (l *link) handleReport(report worker.Report, sent, arrived time.Time) <-chan struct{} {
	s := l.shard
	s.mu.Lock()
	defer s.mu.Unlock()
	if l.ctx.Err() != nil {
		return nil
	}
	if report.Refused != 0 {
		s.handlePollRefusal(l, report.Refused)
		return nil
	}
	if report.Incarnation != l.registration.Incarnation {
		r := l.registration
		r.Incarnation = report.Incarnation
		s.replaceLink(l, r, l.listed)
		s.links[r.ID].provisional = true // the new incarnation may differ
		return nil
	}
	s.crashes.Reconnect(l.key())
	complete := len(report.Ended) < maxEndedPerReport
	first := complete && !l.answered
	l.answered = l.answered || complete
	l.addressReused = false
	l.lastAnswer = time.Now()
	l.clock = clockReading{
		millis:  report.ClockMillis,
		sent:    sent,
		arrived: arrived,
	}
	if first {
		// From now on the worker rejects extensions by earlier owners.
		l.lastExtension, l.lease = arrived, s.longestLease()
	}
	records, ended := s.recordEnded(l, report.Ended)
	records = s.reconcile(records, l, report, ended, sent, first)
	s.observeInterference(l, report)
	if first {
		s.requestPass()
	}
	if len(records) == 0 && l.newestEnded == l.newestDurableEnded {
		return nil
	}
	s.requestPass()
	durable := make(chan struct{})
	newest := l.newestEnded
	s.appendToJournal(records, func() {
		s.mu.Lock()
		l.newestDurableEnded = max(l.newestDurableEnded, newest)
		s.mu.Unlock()
		close(durable)
	})
	return durable
}

func (s *Shard) handlePollRefusal(l *link, answer worker.Answer) {
	s.log.Warn("lookRefused", "worker", l.registration.ID, "answer", answer)
	switch answer {
	case worker.RefusedToken:
		s.term.Revoke(errors.New("a worker has seen a higher fencing token"))
	case worker.WrongIncarnation:
		l.addressReused = true
		s.dropReplacedLink(l)
	}
}

// recordEnded ends the placements of newly ended attempts. It returns the records, and
// for each task in the list the number of its last ended attempt.
func (s *Shard) recordEnded(l *link, list []worker.Ended) ([]job.Record, map[job.TaskKey]int) {
	var records []job.Record
	ended := map[job.TaskKey]int{}
	for _, e := range list {
		ended[e.Task] = max(ended[e.Task], e.Attempt)
		if e.Number <= l.newestEnded {
			continue
		}
		l.newestEnded = e.Number
		s.markStarted(e.Task.Job)
		p := s.state.Placement(e.Task)
		if p == nil || p.Attempt != e.Attempt || p.Worker != l.key() {
			if e.Outcome == worker.Done {
				records = s.recordLateCompletion(records, e)
			}
			continue
		}
		outcome := job.AttemptLost
		switch e.Outcome {
		case worker.Done:
			outcome = job.AttemptCompleted
			l.failures = 0
			clear(l.failedRuns)
		case worker.Failed:
			outcome = job.AttemptFailed
			l.countFailedEnd(e, s.state.Job(e.Task.Job).Steps[e.Task.Step].Spec.Gang)
		}
		if outcome != job.AttemptCompleted {
			s.log.Info("attemptEnded", "job", e.Task.Job, "step", e.Task.Step, "index", e.Task.Index,
				"attempt", e.Attempt, "worker", l.registration.ID, "how", e.Outcome, "number", e.Number)
		}
		records = s.endAttempt(records, p, outcome, e.Checkpoint)
	}
	return records, ended
}

// recordLateCompletion marks the task of an attempt that was given up and has completed all
// the same as done, or all members of its gang, since the worker forgets the attempt once it
// is acknowledged. It stops later attempts. It returns records followed by those of the
// changes.
func (s *Shard) recordLateCompletion(records []job.Record, e worker.Ended) []job.Record {
	j, t := s.state.Job(e.Task.Job), s.state.Task(e.Task)
	if t == nil || t.Done || j.Outcome != job.Open || j.Steps[e.Task.Step].Spec.Endless {
		return records
	}
	s.log.Info("lateCompletion", "job", e.Task.Job, "step", e.Task.Step, "index", e.Task.Index, "attempt", e.Attempt)
	step := j.Steps[e.Task.Step]
	for n := range step.Tasks {
		if n != e.Task.Index && !step.Spec.Gang {
			continue
		}
		done := step.TaskState(n)
		done.Done = true
		records = s.apply(records, done)
		if p := step.Tasks[n].Placement; p != nil {
			s.requestStop(p)
		}
	}
	if j.Complete() {
		records = s.finishJob(records, j, job.Completed, 0)
	}
	return records
}

// gangRun identifies a run of a gang.
type gangRun struct {
	job     string
	step    int
	attempt int
}

// countFailedEnd counts an attempt that ended failed against the worker. The members that a run of a
// gang has on the worker count once: they end together, and the run may have failed by its own fault.
func (l *link) countFailedEnd(e worker.Ended, gang bool) {
	if gang {
		run := gangRun{
			job:     e.Task.Job,
			step:    e.Task.Step,
			attempt: e.Attempt,
		}
		if l.failedRuns[run] {
			return
		}
		if l.failedRuns == nil {
			l.failedRuns = map[gangRun]bool{}
		}
		l.failedRuns[run] = true
	}
	l.countFailure()
}

// countFailure counts a failure of the worker and quarantines it after
// quarantineFailures in a row.
func (l *link) countFailure() {
	l.failures++
	if l.failures < quarantineFailures {
		return
	}
	quarantine := min(maxQuarantine, minQuarantine*time.Duration(math.Pow(2, float64(l.failures-quarantineFailures))))
	l.quarantinedUntil = time.Now().Add(quarantine)
	l.shard.log.Warn("workerRests", "worker", l.registration.ID, "failures", l.failures, "rest", quarantine)
}

// endAttempt ends the placement, and its job if all tasks are done or the task has
// failed too often. If a member of a gang did not complete, it stops the others. It
// returns records followed by those of the changes. The caller holds s.mu.
func (s *Shard) endAttempt(records []job.Record, p *job.Placement, outcome job.AttemptOutcome, checkpoint string) []job.Record {
	s.observeAttempt(p, outcome)
	records = s.apply(records, job.Record{
		Kind:           job.RecordAttemptEnd,
		Job:            p.Task.Job,
		Step:           p.Task.Step,
		Index:          p.Task.Index,
		Attempt:        p.Attempt,
		AttemptOutcome: outcome,
		Checkpoint:     checkpoint,
	})
	j := s.state.Job(p.Task.Job)
	if j == nil || j.Outcome != job.Open {
		return records
	}
	step := j.Steps[p.Task.Step]
	switch {
	case j.Complete():
		records = s.finishJob(records, j, job.Completed, 0)
	case outcome == job.AttemptFailed && !step.Spec.Endless && step.Failures(p.Task.Index) >= s.maxFailures(j):
		s.log.Info("jobFailed", "job", j.ID, "team", j.Team, "step", p.Task.Step, "index", p.Task.Index,
			"gang", step.Spec.Gang, "failures", step.Failures(p.Task.Index), "limit", s.maxFailures(j))
		records = s.finishJob(records, j, job.Failed, 0)
	case step.Spec.Gang && outcome != job.AttemptCompleted && !step.Done():
		s.stopGang(step)
	}
	return records
}

// maxFailures returns the number of failures of a task, or of failed runs of a gang, at which the
// job fails. It is math.MaxInt if there is no limit.
func (s *Shard) maxFailures(j *job.Job) int {
	if q, ok := s.agreement.Rules.Queues[j.Queue]; ok && q.MaxFailures > 0 {
		return q.MaxFailures
	}
	return math.MaxInt
}

// stopGang stops the remaining members of a gang, which cannot complete alone.
func (s *Shard) stopGang(step *job.Step) {
	for n := range step.Tasks {
		if p := step.Tasks[n].Placement; p != nil {
			s.requestStop(p)
		}
	}
}

// reconcile compares the placements with the attempts that run according to the
// worker's report. It stops orphans and stalled attempts, confirms running attempts, and
// ends as lost the placements whose attempts certainly do not run. It returns records
// followed by those of the changes. The parameter ended is what recordEnded returned,
// sent is when the poll was sent, and first marks the first report of this incarnation
// of the worker in this term of ownership.
func (s *Shard) reconcile(records []job.Record, l *link, report worker.Report, ended map[job.TaskKey]int, sent time.Time, first bool) []job.Record {
	sentMillis := s.millisAt(sent)
	running := map[job.TaskKey]worker.Running{}
	for _, r := range report.Running {
		running[r.Task] = r
		p := s.state.Placement(r.Task)
		if p == nil || p.Worker != l.key() || p.Attempt != r.Attempt {
			s.markStarted(r.Task.Job)
			if p != nil && p.Worker == l.key() && p.Attempt > r.Attempt {
				continue // a stop of the earlier attempt is in flight
			}
			s.log.Warn("strayAttempt", "worker", l.registration.ID, "job", r.Task.Job, "step", r.Task.Step,
				"index", r.Task.Index, "attempt", r.Attempt)
			go s.stopOrphan(l, r.Task, r.Attempt)
			continue
		}
		s.confirmRunning(p)
		p.Reported = true
		s.checkProgress(l, p, r.Percent)
		records = s.clearSurvivor(records, p, sentMillis)
	}
	if len(report.Ended) >= maxEndedPerReport {
		return records
	}
	for key, p := range s.state.Placements(l.key()) {
		if _, ok := running[key]; ok || ended[key] >= p.Attempt {
			continue
		}
		// A worker that has seen this link's token carries out no earlier order.
		inherited := first && p.Uncertain
		stopped := p.StoppedMillis > 0 && p.StoppedMillis < sentMillis
		vanished := p.Confirmed && p.StartedMillis < sentMillis
		if !inherited && !stopped && !vanished {
			continue
		}
		countLostAttempt("absent")
		s.log.Info("attemptAbsent", "job", key.Job, "step", key.Step, "index", key.Index, "attempt", p.Attempt,
			"worker", l.registration.ID, "inherited", inherited, "stopped", stopped)
		if inherited && p.Suspicion != job.NotSuspected {
			records = s.endSuspect(records, p)
			continue
		}
		records = s.endAttempt(records, p, job.AttemptLost, "")
	}
	return records
}

// checkProgress stops an attempt that has stalled, so that it continues elsewhere, and
// counts it against the worker, which is quarantined at its next failure at the latest.
// It handles workers that accept work but do not execute it.
func (s *Shard) checkProgress(l *link, p *job.Placement, percent float64) {
	step := s.state.Job(p.Task.Job).Steps[p.Task.Step]
	if p.Stopping || step.Spec.Endless || !step.UpdateProgress(p, percent, s.now()) {
		return
	}
	countLostAttempt("stalled")
	s.log.Warn("attemptStalled", "job", p.Task.Job, "step", p.Task.Step, "index", p.Task.Index,
		"attempt", p.Attempt, "worker", l.registration.ID, "percent", percent, "since", s.now()-p.ProgressMillis)
	l.countFailure()
	l.failures = max(l.failures, quarantineFailures-1)
	s.requestStop(p)
}

// markStarted marks the job, if it is known, as started: a worker has reported that an
// attempt of it runs or ran.
func (s *Shard) markStarted(id string) {
	if j := s.state.Job(id); j != nil {
		j.Started = true
	}
}

// confirmRunning marks the attempt as running, as its worker has reported, and stops it
// if its job has failed or been cancelled.
func (s *Shard) confirmRunning(p *job.Placement) {
	p.Uncertain, p.Suspicion = false, job.NotSuspected
	s.markStarted(p.Task.Job)
	if !p.Confirmed {
		p.Confirmed = true
		p.StartedMillis = s.now()
	}
	if j := s.state.Job(p.Task.Job); j != nil && j.Outcome != job.Open && j.Outcome != job.Completed {
		s.requestStop(p)
	}
}
