package upstream

import (
	"context"
	"errors"
	"time"

	"github.com/citronbay/citronbay/internal/api/platform"
	"github.com/citronbay/citronbay/internal/api/upstream"
)

const (
	// claimRetryDelay is the delay before a failed claim of an upstream's
	// lease is repeated.
	claimRetryDelay = 150 * time.Millisecond
	// maxClaimRetryDelay bounds that delay, which doubles while the upstream
	// does not answer.
	maxClaimRetryDelay = time.Second
	// leaseCallDivisor is the ratio of the lease's duration to the timeout of
	// a lease call, not counting the call's wait. It is large enough that a call
	// on a silent connection is followed by one on another connection before the
	// lease that it requests would end.
	leaseCallDivisor = 4
	// maxConnections bounds the connections to one upstream; a runner accepts
	// 64.
	maxConnections = 64
	// startWindow is how long a start may still take effect after it was sent. A leaving upstream must
	// get no new work after 3 s, of which the directory's poll takes one second by default.
	startWindow = 1500 * time.Millisecond
)

// link maintains the lease on one upstream and tracks what runs there. The
// shard's lock guards the fields from vm on.
type link struct {
	shard  *Shard
	client *upstream.Client
	// close closes the client's idle connections, and cancel ends maintainLease.
	close  func()
	cancel context.CancelFunc

	vm platform.VM
	// leaving is set if the VM is about to be shut down or is drained.
	leaving bool
	// missingSince is when the directory stopped listing the VM; zero if it is
	// listed.
	missingSince time.Time

	incarnation string
	clock       remoteClock
	// epoch is the fencing token of the lease; zero while no lease is held.
	epoch int64
	// leaseUntil is the end of the lease that was granted, and taskLeaseUntil
	// the latest end of the task lease that was requested, in milliseconds of
	// the upstream's clock.
	leaseUntil     int64
	taskLeaseUntil int64
	// claimed is set once the lease was granted to this owner in the
	// upstream's current incarnation.
	claimed bool
	// reconciled is set once all tasks that an earlier owner may have left at
	// the upstream are known or must have stopped.
	reconciled bool
	created    time.Time
	capacity   upstream.Resources

	runs map[string]*run
	// seenSequence is the sequence number of the last ended task that was
	// processed, and ackedSequence that of the last one that the upstream may
	// forget.
	seenSequence  int64
	ackedSequence int64

	// open is set while the upstream gets new tasks.
	open bool
	// failures is the number of consecutive failures of tasks.
	failures     int
	suspectUntil time.Time
}

// run is one attempt at a request or at a task of a job, which an upstream runs
// or may be running.
type run struct {
	id   string
	team string
	// job is the id of the job; empty for a request.
	job           string
	priorityClass int
	size          upstream.Resources
	link          *link
	// adopted is set if the run was found at the upstream when the lease was
	// claimed.
	adopted bool
	// index is the index of the task in its job; requests do not use it.
	index int
	// stopping is set once the upstream is being asked to stop the run.
	stopping bool
	// notAfter is the time after which the upstream refuses to start the run,
	// in milliseconds of the upstream's clock; zero if the run is adopted.
	notAfter int64
	// lost is closed once the run is known to have stopped, or never to have
	// begun, without a result.
	lost chan struct{}
}

// leaseValid reports whether the lease is certainly valid at the given time.
// It compares readings of the monotonic clock instead of relying on a timer,
// which a pause of the process would delay.
func (l *link) leaseValid(now time.Time) bool {
	return l.epoch != 0 && l.clock.upperBound(now) < l.leaseUntil
}

// isLeaving reports whether the upstream must get no new tasks because it leaves, is drained or is no
// longer listed.
func (l *link) isLeaving() bool {
	return l.leaving || !l.missingSince.IsZero()
}

// taskLeaseExpired reports whether the upstream has certainly stopped all
// tasks that were started under the leases that this owner requested.
func (l *link) taskLeaseExpired(now time.Time) bool {
	return l.clock.lowerBound(now) > l.taskLeaseUntil
}

// maintainLease claims and renews the lease until the context ends.
func (l *link) maintainLease(ctx context.Context) {
	delay := claimRetryDelay
	for ctx.Err() == nil {
		if err := l.claim(ctx); err != nil {
			l.shard.markExpiredRunsLost(l)
			sleep(ctx, delay)
			if !errors.Is(err, upstream.ErrRefused) {
				delay = min(maxClaimRetryDelay, 2*delay)
			}
			continue
		}
		delay = claimRetryDelay
		held := true
		for held && ctx.Err() == nil {
			held = l.renew(ctx)
		}
		l.shard.handleLeaseLost(l)
	}
}

// call sends a lease request and updates the bounds of the upstream's clock. Its
// timeout is extended by wait, the time for which the upstream may delay the
// response. If the upstream has restarted, call resets what is known of the lease.
func (l *link) call(ctx context.Context, wait time.Duration, request upstream.LeaseRequest) (upstream.LeaseResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, l.shard.timings.Lease/leaseCallDivisor+wait)
	defer cancel()
	sent := time.Now()
	response, err := l.client.Lease(ctx, request)
	if err != nil {
		return response, err
	}
	l.shard.mu.Lock()
	defer l.shard.mu.Unlock()
	if response.Incarnation != l.incarnation {
		l.incarnation = response.Incarnation
		l.clock = newRemoteClock()
		l.epoch = 0
		l.claimed = false
		l.taskLeaseUntil = 0
		l.seenSequence = 0
		l.ackedSequence = 0
	}
	l.clock.observe(sent, time.Now(), response.Clock)
	return response, nil
}

// claim reads the upstream's clock and then requests the lease. It returns
// ErrFenced if another holder has the lease, or has taken over a lease that this
// owner held, and another ErrRefused if the upstream has restarted in between.
func (l *link) claim(ctx context.Context) error {
	request := upstream.LeaseRequest{Holder: l.shard.holder}
	status, err := l.call(ctx, 0, request)
	if err != nil {
		return err
	}
	if status.Holder != l.shard.holder {
		if l.shard.markSupersededIfClaimed(l) {
			return upstream.ErrFenced
		}
		if status.Clock < status.Until {
			return upstream.ErrFenced
		}
	}
	request.Incarnation = status.Incarnation
	l.shard.mu.Lock()
	l.setLeaseEnds(&request)
	l.shard.mu.Unlock()
	response, err := l.call(ctx, 0, request)
	if err != nil {
		return err
	}
	// A gap in the epochs shows that there was another claim between the two calls,
	// possibly by another holder.
	if response.Epoch != status.Epoch+1 && l.shard.markSupersededIfClaimed(l) {
		return upstream.ErrFenced
	}
	l.shard.applyClaim(l, response)
	return nil
}

// setLeaseEnds sets the requested ends of the lease and the task lease, in
// milliseconds of the upstream's clock. The shard's lock must be held.
func (l *link) setLeaseEnds(request *upstream.LeaseRequest) {
	now := l.clock.lowerBound(time.Now())
	request.Until = now + l.shard.timings.Lease.Milliseconds()
	request.TasksUntil = now + l.shard.timings.TaskLease.Milliseconds()
	l.taskLeaseUntil = max(l.taskLeaseUntil, request.TasksUntil)
}

// renew extends the lease, waits for ended tasks, and reports whether the
// lease is still held.
func (l *link) renew(ctx context.Context) bool {
	// Two waits are shorter than the lease, so that the lease extended by one
	// renewal is still valid when the next one is answered.
	wait := l.shard.timings.Lease * 9 / 20
	l.shard.mu.Lock()
	request := upstream.LeaseRequest{
		Holder:        l.shard.holder,
		Epoch:         l.epoch,
		WaitMillis:    wait.Milliseconds(),
		SeenSequence:  l.seenSequence,
		AckedSequence: l.ackedSequence,
	}
	l.setLeaseEnds(&request)
	l.shard.mu.Unlock()
	response, err := l.call(ctx, wait, request)
	if err == nil {
		l.shard.applyRenewal(l, response)
		return true
	}
	l.shard.mu.Lock()
	held := l.leaseValid(time.Now())
	l.shard.mu.Unlock()
	return held && !errors.Is(err, upstream.ErrRefused)
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
