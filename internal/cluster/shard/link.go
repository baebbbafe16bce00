package shard

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/citronbay/citronbay/internal/cluster/store"
	"github.com/citronbay/citronbay/internal/cluster/worker"
	"github.com/citronbay/citronbay/internal/decide/job"
)

const (
	// A worker may wait between minPollWait and maxPollWait, the longest that workers permit,
	// for an attempt to end before it answers a poll: so long that polls, pollBytes each, take
	// only pollShare of the link.
	minPollWait = time.Second
	maxPollWait = 2 * time.Second
	pollBytes   = 600
	pollShare   = 0.1
	// The first polls of a takeover take firstPollShare of the link. Those of 2,700 workers
	// are sent within 0.6 s on a large link, and within 30 s on one of 1 Mbit/s.
	firstPollShare       = 0.5
	minFirstPollInterval = 200 * time.Microsecond
	maxFirstPollInterval = 10 * time.Millisecond
	// suspectPollWait is the same for a worker with suspects, which are to be cleared soon.
	suspectPollWait = 200 * time.Millisecond
	// pollTimeoutSlack is what a poll may take beyond its wait. It is also the pause
	// after a refused poll; the pause after a failed one is half as long.
	pollTimeoutSlack = 700 * time.Millisecond
	// pollPause batches the ended attempts of a few milliseconds into one poll,
	// since polls are charged per call.
	pollPause = 10 * time.Millisecond
	// responseSlack plus the wait of a poll is the age of a worker's last answer from which the
	// worker gets no work and its lease is not extended.
	responseSlack = 1200 * time.Millisecond
	// leaseExpirySlack covers the error in reading a worker's clock.
	leaseExpirySlack = 400 * time.Millisecond
	// clockDriftFactor is the maximum ratio of a time span on the owner's clock to the
	// same span on a worker's clock, according to the worker protocol.
	clockDriftFactor = 1.02
	// workerLeaseGrace is how long an owner goes on extending worker leases after its
	// ownership lease expired, so that an outage of the store does not end running
	// tasks.
	workerLeaseGrace = 4 * time.Second
	// predecessorExtension is how long after a claim the previous owner may go on
	// extending worker leases: an owner that does not know that its ownership lease was
	// ended early does so for the full OwnershipLeaseTime and the grace.
	predecessorExtension = store.OwnershipLeaseTime + workerLeaseGrace
)

// link is the owner's connection to one incarnation of a worker.
type link struct {
	shard *Shard
	// token is the fencing token of all requests. It is higher than those of earlier
	// links and of earlier terms. Once an incarnation has answered, it carries out no
	// earlier request, not even one that was meant for the incarnation before.
	token  int64
	client worker.Client
	close  func()
	ctx    context.Context
	cancel context.CancelFunc

	// The fields below are guarded by the shard's mu.

	registration       worker.Registration
	endedIncarnations  []int64          // earlier incarnations of the worker
	worker             job.Worker       // as the planner sees it; plannerWorker updates it
	listed             bool             // is in the directory
	provisional        bool             // registration is that of an earlier incarnation
	leavesAt           time.Time        // when a draining worker leaves at the earliest; zero otherwise
	addressReused      bool             // another worker answers at the address
	answered           bool             // has sent a complete report under the fencing token
	lastAnswer         time.Time        // to a poll; a refusal does not count
	lastExtension      time.Time        // the latest time at which the worker lease may have been extended
	lease              time.Duration    // from lastExtension, on the worker's clock, until the lease has ended
	clock              clockReading     // of the last report
	leaseEndMillis     int64            // the latest end of the worker lease in any request, on the worker's clock; zero if none
	leaseEndClock      clockReading     // by which leaseEndMillis was set
	newestEnded        int64            // the number of the newest ended attempt that was reported
	newestDurableEnded int64            // the number of the newest one that is durably recorded
	failures           int              // since the last completed attempt; checkProgress may add more
	failedRuns         map[gangRun]bool // runs of gangs that failures has counted
	quarantinedUntil   time.Time
}

// SetWorkers updates the shard's workers from the directory's list.
func (s *Shard) SetWorkers(list []worker.Registration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	listed := map[string]bool{}
	// Workers with placements are polled first after a takeover: their tasks wait for that.
	ordered := slices.Clone(list)
	slices.SortStableFunc(ordered, func(a, b worker.Registration) int {
		return len(s.earlier[b.ID]) - len(s.earlier[a.ID])
	})
	for _, r := range ordered {
		listed[r.ID] = true
		s.applyRegistration(r)
	}
	for id, l := range s.links {
		if l.listed && !listed[id] {
			s.log.Info("workerUnlisted", "worker", id, "placements", len(s.state.Placements(l.key())))
			l.listed = false
			s.dropReplacedLink(l)
		}
	}
	s.requestPass()
}

// applyRegistration applies one entry of the directory. It ignores an entry of an earlier
// incarnation, which is out of date and may have the higher number if the worker's clock was
// set back, and one of the same incarnation at another address, which is not this worker's:
// neither shows that running attempts have ended.
func (s *Shard) applyRegistration(r worker.Registration) {
	l := s.links[r.ID]
	switch {
	case l == nil:
		s.addLink(r, true)
	case r.Incarnation > l.registration.Incarnation && !slices.Contains(l.endedIncarnations, r.Incarnation):
		s.replaceLink(l, r, true)
	case r.Incarnation == l.registration.Incarnation && r.Address == l.registration.Address:
		if r.Draining != l.registration.Draining {
			s.log.Info("workerDraining", "worker", r.ID, "draining", r.Draining, "remainingMillis", r.RemainingMillis)
		}
		if r.Draining != l.registration.Draining || r.RemainingMillis != l.registration.RemainingMillis {
			l.leavesAt = departure(r)
		}
		l.registration = r
		l.listed, l.provisional = true, false
	default:
		s.log.Warn("workerEntryIgnored", "worker", r.ID, "born", r.Incarnation, "known", l.registration.Incarnation, "address", r.Address)
	}
}

func (s *Shard) addLink(r worker.Registration, listed bool) {
	l := s.newLink(s.term.Context(), r, listed)
	s.links[r.ID] = l
	for _, key := range s.earlier[r.ID] {
		s.state.Move(key, l.key())
	}
	delete(s.earlier, r.ID)
	for _, p := range s.state.Placements(l.key()) {
		// An earlier owner may have sent a start order that is yet to be carried out.
		p.Uncertain = true
		if p.Stopping {
			go s.retryStop(l, p) // the stop was requested when the worker had no link
		}
	}
	go l.runAfter(s.firstPollDelay())
}

// firstPollDelay returns the delay of a new link's first poll. It spaces those of a takeover, so that
// they take at most firstPollShare of the link. The caller holds s.mu.
func (s *Shard) firstPollDelay() time.Duration {
	now := time.Now()
	start := s.nextFirstPoll
	if start.Before(now) {
		start = now
	}
	s.nextFirstPoll = start.Add(s.options.Link.Interval(pollBytes, firstPollShare, minFirstPollInterval, maxFirstPollInterval))
	return start.Sub(now)
}

// closeLinks ends all links, whose connections and descriptors the next owner's VM may need
// elsewhere: workers accept a limited number of connections.
func (s *Shard) closeLinks() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.links {
		s.closeLink(l)
	}
}

func (s *Shard) newLink(ctx context.Context, r worker.Registration, listed bool) *link {
	client, closeClient := s.options.NewWorkerClient(r)
	ctx, cancel := context.WithCancel(ctx)
	return &link{
		shard:         s,
		token:         s.newLinkToken(),
		client:        client,
		close:         closeClient,
		ctx:           ctx,
		cancel:        cancel,
		registration:  r,
		leavesAt:      departure(r),
		listed:        listed,
		lastExtension: time.Now().Add(predecessorExtension),
		lease:         s.longestLease(),
	}
}

// closeLink ends the calls of the link and removes it.
func (s *Shard) closeLink(l *link) {
	l.cancel()
	l.close()
	delete(s.links, l.registration.ID)
	// Step.Advice may still hold this worker; the planner places no tasks on an unusable
	// one.
	l.worker.Usable = false
}

// dropLink closes the link to a worker incarnation that has ended or whose worker lease
// has expired, and records its attempts as lost.
func (s *Shard) dropLink(l *link, reason string) {
	s.closeLink(l)
	s.losePlacements(l.key(), reason, nil)
}

// losePlacements records that those attempts placed on this incarnation of the worker that
// match, or all if match is nil, do not run any more.
func (s *Shard) losePlacements(key job.WorkerKey, reason string, match func(*job.Placement) bool) {
	var records []job.Record
	for _, p := range s.state.Placements(key) {
		if match != nil && !match(p) {
			continue
		}
		countLostAttempt("workerGone")
		s.log.Info("attemptLost", "job", p.Task.Job, "step", p.Task.Step, "index", p.Task.Index,
			"attempt", p.Attempt, "worker", key.ID, "reason", reason)
		records = s.endAttempt(records, p, job.AttemptLost, "")
	}
	if len(records) > 0 {
		s.appendToJournal(records, nil)
		s.requestPass()
	}
}

// expireUnlistedWorkers schedules the end of the placements from earlier terms on workers
// that have no link, because the directory does not list them. Those workers cannot be
// polled; their attempts count as lost once their worker leases have certainly expired.
func (s *Shard) expireUnlistedWorkers() {
	time.AfterFunc(s.maxWorkerLease()+predecessorExtension, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		for _, key := range s.state.WorkersWithPlacements() {
			if l := s.links[key.ID]; l == nil || l.registration.Incarnation != key.Incarnation {
				s.losePlacements(key, "worker lease expired; the worker is not listed", nil)
			}
		}
	})
}

// grantedLease returns the duration for which a request extends the worker lease, so that
// WorkerLease is left when the next poll is due. The caller holds s.mu.
func (s *Shard) grantedLease() time.Duration {
	return s.leaseBeyond(s.pollWait())
}

// longestLease returns the longest duration for which any owner extends the worker lease.
func (s *Shard) longestLease() time.Duration {
	return s.leaseBeyond(maxPollWait)
}

// leaseBeyond returns WorkerLease and the time until the next poll, if workers grant so much.
func (s *Shard) leaseBeyond(untilPoll time.Duration) time.Duration {
	lease := s.options.WorkerLease + untilPoll
	if s.options.MaxWorkerLease > 0 {
		lease = min(lease, s.options.MaxWorkerLease)
	}
	return lease
}

// maxWorkerLease returns how long a worker lease may last on the owner's clock after any
// owner has extended it.
func (s *Shard) maxWorkerLease() time.Duration {
	return onOwnerClock(s.longestLease())
}

// onOwnerClock returns how long a time span on a worker's clock may last.
func onOwnerClock(span time.Duration) time.Duration {
	return time.Duration(float64(span)*clockDriftFactor) + leaseExpirySlack
}

// expireLinks ends the placements on unresponsive workers whose worker lease has certainly
// expired, and drops the links of those workers that the directory no longer lists. An
// attempt that no report has listed may run on the worker's next incarnation, whose clock
// starts anew, so that the end of the lease in the order means the longest lease there. The
// caller holds s.mu.
func (s *Shard) expireLinks() {
	const reason = "worker lease expired; the worker does not respond"
	now := time.Now()
	for _, l := range s.links {
		if now.Sub(l.lastAnswer) < s.unresponsiveAfter() || now.Before(l.lastExtension.Add(onOwnerClock(l.lease))) {
			continue
		}
		l.logLeaseExpired(now)
		if now.Before(l.lastExtension.Add(onOwnerClock(s.options.MaxWorkerLease))) {
			s.losePlacements(l.key(), reason, func(p *job.Placement) bool {
				return p.Reported
			})
			continue
		}
		s.losePlacements(l.key(), reason, nil)
		if !l.listed {
			s.dropLink(l, "gone")
		}
	}
}

// pollWait returns how long a worker may wait before it answers a poll; the caller holds s.mu.
func (s *Shard) pollWait() time.Duration {
	return s.options.Link.Interval(float64(pollBytes*len(s.links)), pollShare, minPollWait, maxPollWait)
}

// unresponsiveAfter returns the age of a worker's last answer from which the worker gets no work
// and its lease is not extended; the caller holds s.mu.
func (s *Shard) unresponsiveAfter() time.Duration {
	return s.pollWait() + responseSlack
}

func (l *link) key() job.WorkerKey {
	return job.WorkerKey{
		ID:          l.registration.ID,
		Incarnation: l.registration.Incarnation,
	}
}

// plannerWorker updates the worker as the planner sees it and returns it; the caller
// holds the shard's mu.
func (l *link) plannerWorker(now time.Time) *job.Worker {
	r := l.registration
	w := &l.worker
	w.ID, w.Incarnation, w.Service = r.ID, r.Incarnation, r.Service
	w.Zone, w.Rack, w.Labels = r.Zone, r.Rack, r.Labels
	w.Capacity = r.Capacity
	w.ShutOff = l.shard.evacuations.Covers(r.Zone)
	w.Usable = l.answered && l.listed && !l.provisional && !r.Draining && !w.ShutOff && now.Sub(l.lastAnswer) < l.shard.unresponsiveAfter() && now.After(l.quarantinedUntil)
	w.Penalty = l.failures
	return w
}

// extendLease returns the new end of the worker lease, in milliseconds of the worker's
// clock, and sets lastExtension, as if the worker had received that end now. It returns
// zero if the lease must not be extended. The caller holds the shard's mu.
func (l *link) extendLease() int64 {
	// One reading for all: the process may be paused between any two.
	now := time.Now()
	if !l.answered || l.shard.term.Remaining() < -workerLeaseGrace || now.Sub(l.lastAnswer) > l.shard.unresponsiveAfter() {
		return 0
	}
	granted := l.shard.grantedLease()
	// An earlier extension may have been for longer.
	l.lease = max(granted, l.lease-now.Sub(l.lastExtension))
	l.lastExtension = now
	end := l.clock.lowerBound(now) + granted.Milliseconds()
	if end > l.leaseEndMillis {
		l.leaseEndMillis, l.leaseEndClock = end, l.clock
	}
	return end
}

// runAfter is run after a delay.
func (l *link) runAfter(delay time.Duration) {
	if delay > 0 {
		sleep(l.ctx, delay)
	}
	l.run()
}

// run polls the worker until the link is closed. After a report with changes, it waits up
// to half of minPollWait until they are durable, so that the next poll acknowledges them; the
// worker answers a poll at once while it has unacknowledged ended attempts. After a failed
// poll it acknowledges none until the next report, since the worker may have restarted.
func (l *link) run() {
	reported := false
	for l.ctx.Err() == nil {
		poll := l.nextPoll()
		if !reported {
			poll.AckedNumber = 0
		}
		sent := time.Now()
		timeout := time.Duration(poll.WaitMillis)*time.Millisecond + pollTimeoutSlack
		ctx, cancel := context.WithTimeout(l.ctx, timeout)
		report, err := l.client.Poll(ctx, poll)
		cancel()
		if err != nil {
			l.logPollFailure(err)
			l.notePollFailure(err)
			reported = false
			if poll.AckedNumber == 0 || !errors.Is(err, worker.ErrNotSent) {
				sleep(l.ctx, pollTimeoutSlack/2)
			}
			continue
		}
		reported = reported || report.Refused == 0
		durable := l.handleReport(report, sent, time.Now())
		if durable != nil {
			select {
			case <-durable:
			case <-time.After(minPollWait / 2):
			case <-l.ctx.Done():
			}
			sleep(l.ctx, pollPause)
		}
		if report.Refused != 0 {
			sleep(l.ctx, pollTimeoutSlack)
		}
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func (l *link) nextPoll() worker.Poll {
	s := l.shard
	s.mu.Lock()
	defer s.mu.Unlock()
	poll := worker.Poll{
		Token:       l.token,
		AckedNumber: l.newestDurableEnded,
		UntilMillis: l.extendLease(),
	}
	if l.answered && time.Since(l.lastAnswer) < s.unresponsiveAfter() {
		poll.WaitMillis = s.pollWait().Milliseconds()
		if s.state.RunsSuspects(l.key()) {
			poll.WaitMillis = suspectPollWait.Milliseconds()
		}
	}
	return poll
}

func (l *link) logPollFailure(err error) {
	s := l.shard
	s.mu.Lock()
	defer s.mu.Unlock()
	if l.answered && time.Since(l.lastAnswer) < s.unresponsiveAfter() && !errors.Is(err, context.Canceled) {
		s.log.Warn("lookFailed", "worker", l.registration.ID, "sinceAnswer", time.Since(l.lastAnswer), "error", err)
	}
}
