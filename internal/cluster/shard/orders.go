package shard

import (
	"context"
	"errors"
	"fmt"
	"time"

	"golang.org/x/time/rate"

	"github.com/citronbay/citronbay/internal/api/traffic"
	"github.com/citronbay/citronbay/internal/cluster/worker"
	"github.com/citronbay/citronbay/internal/decide/evacuation"
	"github.com/citronbay/citronbay/internal/decide/job"
)

const (
	// orderTimeout bounds the call of one start or stop order. It leaves room for a hop
	// between regions; a worker answers in about a millisecond.
	orderTimeout = 600 * time.Millisecond
	// maxStartTries is how often a start order is sent without an answer before the
	// attempt is abandoned or stopped.
	maxStartTries = 2
	// startShare is the share of the link that start orders may take. At once they may take
	// startBurstBytes, or startBurstTime of that share if it is more. On a full link orders and
	// polls are late, and their repetition adds to the load.
	startShare      = 0.4
	startBurstBytes = 8 << 10
	startBurstTime  = 50 * time.Millisecond
	// maxStartBacklog is for how long the start orders of a planning pass may take the link.
	maxStartBacklog = 100 * time.Millisecond
	// maxStartDelay is how long the start orders of waiting tasks may take before submissions are
	// refused, twice the usual time of a caller.
	maxStartDelay = 6 * time.Second
	// leaseCheckInterval is how often a start order that waits for permission checks it.
	leaseCheckInterval = 20 * time.Millisecond
	// startBytes is what is transmitted for a start order beside its payload.
	startBytes = 450
	// stopRetryInterval is the pause between tries of a stop order that fails.
	stopRetryInterval = 150 * time.Millisecond
)

// placementsOf returns the placements that the records have just made. A later placement
// of the same task may have the same attempt number, if these are withdrawn. The caller
// holds s.mu.
func (s *Shard) placementsOf(records []job.Record) []*job.Placement {
	var placements []*job.Placement
	for _, r := range records {
		p := s.state.Placement(job.TaskKey{
			Job:   r.Job,
			Step:  r.Step,
			Index: r.Index,
		})
		if p != nil && p.Attempt == r.Attempt {
			placements = append(placements, p)
		}
	}
	return placements
}

// sendStarts sends the start orders of the placements, whose records must be durable or
// withdrawn. It ignores placements that have ended or were withdrawn, and abandons those
// that are stopping, no longer fit on their worker or are in an evacuated failure domain.
func (s *Shard) sendStarts(placements []*job.Placement) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.giveBackEvacuated(placements)
	for _, p := range placements {
		if !s.isCurrent(p) {
			continue
		}
		l := s.links[p.Worker.ID]
		if l == nil || l.key() != p.Worker {
			continue // dropLink has ended the placement, or expireUnlistedWorkers will
		}
		if p.Stopping {
			s.abandonStart(p, "stopped before its start was sent")
			continue
		}
		if !s.state.Used(p.Worker).FitsIn(l.registration.Capacity) {
			s.abandonStart(p, "the worker's capacity has shrunk")
			continue
		}
		p.Uncertain = true
		go s.sendStart(l, p)
	}
}

// abandonStart ends an attempt that certainly never began, without counting a failure.
// The caller holds s.mu.
func (s *Shard) abandonStart(p *job.Placement, reason string) {
	if !s.isCurrent(p) {
		return
	}
	countLostAttempt("givenBack")
	s.log.Info("startGivenBack", "job", p.Task.Job, "step", p.Task.Step, "index", p.Task.Index,
		"attempt", p.Attempt, "worker", p.Worker.ID, "reason", reason)
	s.appendToJournal(s.endAttempt(nil, p, job.AttemptLost, ""), nil)
	s.requestPass()
}

// isCurrent reports whether the placement is still that of its task; the caller holds
// s.mu.
func (s *Shard) isCurrent(p *job.Placement) bool {
	return s.state.Placement(p.Task) == p
}

// startOrder extends the worker lease and returns the start order of the placement,
// or false if the placement has ended or the worker has confirmed the start. UntilMillis
// is zero if the lease must not be extended, the ticket has expired, or the failure domain is
// evacuated or not known not to be.
func (s *Shard) startOrder(l *link, p *job.Placement) (worker.Start, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l.ctx.Err() != nil || !s.isCurrent(p) || p.Confirmed {
		return worker.Start{}, false
	}
	if s.startVerdict(l) != evacuation.Permitted {
		return worker.Start{}, true
	}
	j := s.state.Job(p.Task.Job)
	step := j.Steps[p.Task.Step]
	p.Orders++
	untilMillis := l.extendLease()
	if step.TicketExpired(&l.worker, s.now()) {
		untilMillis = 0 // the worker would reject the order
	}
	if untilMillis > 0 && p.OrderedMillis == 0 {
		p.OrderedMillis = s.now()
	}
	return worker.Start{
		Task:        p.Task,
		Attempt:     p.Attempt,
		Payload:     j.Payload,
		UntilMillis: untilMillis,
		Token:       l.token,
		Checkpoint:  step.Checkpoint(p.Task.Index),
		Ticket:      step.TicketValue(&l.worker),
	}, true
}

// sendStart sends the start order until it is answered, at most maxStartTries times, and only while
// the ownership lease holds and the failure domain is known not to be evacuated. If
// the order is refused, gets no answer or must not be sent, sendStart stops the attempt when an unanswered copy of the order may still be
// carried out, and abandons it otherwise. A refusal of the fencing token revokes the term
// of ownership instead.
func (s *Shard) sendStart(l *link, p *job.Placement) {
	maybeDelivered := false
	for range maxStartTries {
		if err := s.awaitLink(l, p); err != nil {
			break
		}
		if err := s.awaitPermission(l); err != nil {
			return
		}
		order, wanted := s.startOrder(l, p)
		if !wanted {
			return
		}
		if order.UntilMillis == 0 {
			break
		}
		ctx, cancel := context.WithTimeout(l.ctx, orderTimeout)
		answer, _, err := l.client.Start(ctx, order)
		cancel()
		if err == nil {
			countStartAnswer(answer)
			s.handleStartAnswer(l, p, answer, maybeDelivered)
			return
		}
		if l.ctx.Err() != nil {
			return
		}
		if !errors.Is(err, worker.ErrNotSent) {
			maybeDelivered = true
		}
		countUnansweredOrder("start")
		s.log.Warn("startUnanswered", "job", p.Task.Job, "step", p.Task.Step, "index", p.Task.Index,
			"attempt", p.Attempt, "worker", p.Worker.ID, "error", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if l.ctx.Err() != nil || !s.isCurrent(p) || p.Confirmed {
		return
	}
	switch {
	case maybeDelivered:
		s.requestStop(p)
	case s.startVerdict(l) != evacuation.Permitted:
		s.abandonStart(p, reasonEvacuated)
	default:
		s.abandonStart(p, "the worker cannot be reached, its lease cannot be extended or the ticket has expired")
	}
}

// newStartLimiter returns the limiter of the bytes of start orders.
func newStartLimiter(link traffic.Link) *rate.Limiter {
	if link.Mbps <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	perSecond := startShare * link.BytesPerSecond()
	return rate.NewLimiter(rate.Limit(perSecond), max(startBurstBytes, int(perSecond*startBurstTime.Seconds())))
}

// startCost returns about how many bytes a start order of the job takes.
func startCost(j *job.Job) float64 {
	return float64(startBytes + len(j.Payload))
}

// startCredit is what start orders may take of a small link: it grows at startShare of the link, up
// to maxStartBacklog of that, and each placement uses it up. The zero value is that of a new term.
type startCredit struct {
	bytes   float64
	updated time.Time
	// waiting holds the bytes of the start orders of tasks that wait, by the priority of their
	// queue.
	waiting map[int]float64
}

// grow returns the credit at the given time.
func (c startCredit) grow(now time.Time, perSecond float64) startCredit {
	most := perSecond * maxStartBacklog.Seconds()
	if c.updated.IsZero() {
		c.bytes = most
	} else {
		c.bytes = min(most, c.bytes+now.Sub(c.updated).Seconds()*perSecond)
	}
	c.updated = now
	return c
}

// delay returns how long the start orders of tasks of the priority, and of more urgent ones, that
// wait now will take.
func (c startCredit) delay(priority int, perSecond float64) time.Duration {
	bytes := 0.0
	for p, n := range c.waiting {
		if p <= priority {
			bytes += n
		}
	}
	return time.Duration(bytes / perSecond * float64(time.Second))
}

// startsPerSecond returns the bytes of start orders that a small link permits each second.
func (s *Shard) startsPerSecond() float64 {
	return startShare * s.options.Link.BytesPerSecond()
}

// plan places tasks, on a small link no more than can be ordered soon: the choice is left to those
// that are most urgent then. The caller holds s.mu.
func (s *Shard) plan(planner *job.Planner, now int64) []job.Record {
	if !s.options.Link.IsSmall() {
		return planner.Plan(now)
	}
	s.credit = s.credit.grow(time.Now(), s.startsPerSecond())
	s.credit.waiting = planner.StartCosts(startCost)
	records := planner.WithStartBudget(s.credit.bytes, startCost).Plan(now)
	for _, r := range records {
		if j := s.state.Job(r.Job); j != nil {
			s.credit.bytes -= startCost(j)
		}
	}
	return records
}

// overloaded reports whether the tasks that wait take so long to be ordered over a small link that
// a further job of the queue could not start in time. The caller holds s.mu.
func (s *Shard) overloaded(queue string) bool {
	return s.options.Link.IsSmall() &&
		s.credit.delay(s.agreement.Rules.Queues[queue].Priority, s.startsPerSecond()) > maxStartDelay
}

// awaitPermission waits until the ownership lease holds and it is known whether the worker's failure
// domain is evacuated. Without the lease, another owner may have recorded the completion of an
// attempt whose order has had no answer, and a worker that has restarted since does not know that
// owner's token. It returns an error if the link to the worker is closed first.
func (s *Shard) awaitPermission(l *link) error {
	for s.term.Remaining() <= 0 || s.awaitsRequests(l) {
		sleep(l.ctx, leaseCheckInterval)
		if err := l.ctx.Err(); err != nil {
			return fmt.Errorf("shard: await permission to start: %w", err)
		}
	}
	return nil
}

// awaitLink waits until the link permits the start order of the placement. It returns an error if
// the link to the worker is closed first.
func (s *Shard) awaitLink(l *link, p *job.Placement) error {
	if !s.options.Link.IsSmall() {
		return nil
	}
	s.mu.Lock()
	bytes := startBytes
	if j := s.state.Job(p.Task.Job); j != nil {
		bytes = int(startCost(j))
	}
	s.mu.Unlock()
	return s.starts.WaitN(l.ctx, min(bytes, s.starts.Burst()))
}

// handleStartAnswer handles a worker's answer to a start order. maybeDelivered is set if
// an earlier copy of the order got no answer and may still be carried out.
func (s *Shard) handleStartAnswer(l *link, p *job.Placement, answer worker.Answer, maybeDelivered bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l.ctx.Err() != nil || !s.isCurrent(p) {
		return // after a restart, the first report of the new incarnation decides
	}
	if answer == worker.Started {
		s.confirmRunning(p)
		if p.Stopping {
			p.Stopping = false
			s.requestStop(p)
		}
		return
	}
	s.log.Warn("startRefused", "job", p.Task.Job, "step", p.Task.Step, "index", p.Task.Index,
		"attempt", p.Attempt, "worker", p.Worker.ID, "answer", answer)
	switch answer {
	case worker.RefusedToken:
		s.term.Revoke(errors.New("a worker has seen a higher fencing token"))
		return
	case worker.RefusedTicket:
		s.state.Job(p.Task.Job).Steps[p.Task.Step].ExpireTicket(&l.worker)
	case worker.RefusedUnhealthy, worker.RefusedResources:
		l.quarantinedUntil = time.Now().Add(minQuarantine)
	}
	if maybeDelivered {
		s.requestStop(p)
		return
	}
	s.abandonStart(p, "refused")
}

// requestStop marks the attempt as stopping and starts sending stop orders until the
// worker confirms one. It sends none if the start order has not been sent, in which case
// sendStarts abandons the attempt, or if the worker has no link. The attempt's resources
// stay allocated until the attempt certainly does not run. The caller holds s.mu.
func (s *Shard) requestStop(p *job.Placement) {
	if p.Stopping {
		return
	}
	p.Stopping = true
	l := s.links[p.Worker.ID]
	if l == nil || l.key() != p.Worker || (!p.Uncertain && !p.Confirmed) {
		return
	}
	go s.retryStop(l, p)
}

// retryStop sends stop orders until the worker confirms one or the attempt has ended.
func (s *Shard) retryStop(l *link, p *job.Placement) {
	for l.ctx.Err() == nil {
		sent := time.Now()
		err := s.stopOnce(l, p.Task, p.Attempt)
		s.mu.Lock()
		ended := !s.isCurrent(p)
		if err == nil && !ended && l.ctx.Err() == nil {
			p.StoppedMillis = s.now()
		}
		s.mu.Unlock()
		if err == nil || ended {
			return
		}
		sleep(l.ctx, stopRetryInterval)
		if errors.Is(err, worker.ErrNotSent) {
			s.awaitPoll(l, sent)
		}
	}
}

// awaitPoll waits until the worker has answered a poll after the given time. Without
// this wait, each task on an unreachable worker would have its stop order retried until
// the worker lease has expired.
func (s *Shard) awaitPoll(l *link, after time.Time) {
	for l.ctx.Err() == nil {
		s.mu.Lock()
		answered := l.lastAnswer.After(after)
		s.mu.Unlock()
		if answered {
			return
		}
		sleep(l.ctx, stopRetryInterval)
	}
}

// stopOnce sends one stop order. A refusal is an error too.
func (s *Shard) stopOnce(l *link, task job.TaskKey, attempt int) error {
	ctx, cancel := context.WithTimeout(l.ctx, orderTimeout)
	defer cancel()
	err := l.client.Stop(ctx, task, attempt, l.token)
	if err != nil && l.ctx.Err() == nil {
		countUnansweredOrder("stop")
		s.log.Warn("stopUnanswered", "job", task.Job, "step", task.Step, "index", task.Index,
			"attempt", attempt, "worker", l.registration.ID, "error", err)
	}
	return err
}

// stopOrphan stops an attempt that runs without a current placement. If the order is
// lost, the next report lists the attempt again.
func (s *Shard) stopOrphan(l *link, task job.TaskKey, attempt int) {
	_ = s.stopOnce(l, task, attempt)
}
