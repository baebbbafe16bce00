package upstream

import (
	"context"
	"errors"
	"time"

	"github.com/citronbay/citronbay/internal/api/platform"
	"github.com/citronbay/citronbay/internal/api/upstream"
)

const (
	// claimPause is the wait between two claims of an upstream.
	claimRetryDelay = 150 * time.Millisecond
	// maxClaimPause bounds that wait for an upstream that does not answer.
	maxClaimRetryDelay = time.Second
	// leaseCallPart is the part of a lease that a call about it may take besides
	// its wait, so that a silent connection is replaced before the lease ends.
	leaseCallDivisor = 4
	// runnerConnections is how many connections a runner takes.
	maxConnections = 64
	// startWindow is how long after its sending a start may still take effect.
	startWindow = 2 * time.Second
)

// link holds the lease of one upstream and knows what runs there. Its fields
// below client are guarded by the shard's lock.
type link struct {
	shard  *Shard
	client *upstream.Client
	close  func()
	cancel context.CancelFunc

	vm           platform.VM
	leaving      bool
	missingSince time.Time

	boot           string
	clock          remoteClock
	epoch          int64
	leaseUntil     int64
	taskLeaseUntil int64
	claimed        bool
	reconciled     bool
	created        time.Time
	capacity       upstream.Resources

	runs          map[string]*run
	seenSequence  int64
	ackedSequence int64

	open         bool
	failures     int
	suspectUntil time.Time
}

// run is one task that an upstream runs or may run.
type run struct {
	id            string
	team          string
	job           string
	priorityClass int
	size          upstream.Resources
	link          *link
	adopted       bool
	index         int
	// stopping tells that the upstream has been asked to stop it.
	stopping bool
	// notAfter is when, in the upstream's clock, a start of it is refused.
	notAfter int64
	// gone closes when the run is known to have stopped without a result.
	lost chan struct{}
}

// holds reports whether the lease is certainly valid at this moment, judged by
// the monotonic clock and not by a timer, which a pause would delay.
func (l *link) leaseValid(now time.Time) bool {
	return l.epoch != 0 && l.clock.upperBound(now) < l.leaseUntil
}

// lapsed reports whether the upstream has certainly stopped all that was
// started under the leases that this owner asked for.
func (l *link) taskLeaseExpired(now time.Time) bool {
	return l.clock.lowerBound(now) > l.taskLeaseUntil
}

// follow claims and renews the lease until the context ends.
func (l *link) maintainLease(ctx context.Context) {
	delay := claimRetryDelay
	for ctx.Err() == nil {
		if err := l.claim(ctx); err != nil {
			l.shard.loseExpiredRuns(l)
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
	if response.Boot != l.boot {
		l.boot = response.Boot
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

// claim reads the upstream's clock and asks for the lease.
func (l *link) claim(ctx context.Context) error {
	request := upstream.LeaseRequest{Holder: l.shard.holder}
	status, err := l.call(ctx, 0, request)
	if err != nil {
		return err
	}
	if status.Holder != l.shard.holder {
		if l.shard.supersedeIfClaimed(l) {
			return upstream.ErrFenced
		}
		if status.Clock < status.Until {
			return upstream.ErrFenced
		}
	}
	l.shard.mu.Lock()
	l.setLeaseEnds(&request)
	l.shard.mu.Unlock()
	response, err := l.call(ctx, 0, request)
	if err != nil {
		return err
	}
	if response.Epoch != status.Epoch+1 && l.shard.supersedeIfClaimed(l) {
		return upstream.ErrFenced
	}
	l.shard.applyClaim(l, response)
	return nil
}

// extend states the ends of the lease in the upstream's clock. The shard's
// lock is held.
func (l *link) setLeaseEnds(request *upstream.LeaseRequest) {
	now := l.clock.lowerBound(time.Now())
	request.Until = now + l.shard.timings.Lease.Milliseconds()
	request.TasksUntil = now + l.shard.timings.TaskLease.Milliseconds()
	l.taskLeaseUntil = max(l.taskLeaseUntil, request.TasksUntil)
}

// renew extends the lease, waits for ended tasks, and reports whether the
// lease is still held.
func (l *link) renew(ctx context.Context) bool {
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
