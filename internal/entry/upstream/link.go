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
	claimPause = 150 * time.Millisecond
	// maxClaimPause bounds that wait for an upstream that does not answer.
	maxClaimPause = time.Second
	// leaseCallPart is the part of a lease that a call about it may take besides
	// its wait, so that a silent connection is replaced before the lease ends.
	leaseCallPart = 4
	// runnerConnections is how many connections a runner takes.
	runnerConnections = 64
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

	vm      platform.VM
	leaving bool
	missing time.Time

	boot       string
	clock      remoteClock
	epoch      int64
	until      int64
	tasksUntil int64
	claimed    bool
	settled    bool
	began      time.Time
	capacity   upstream.Resources

	runs  map[string]*run
	seen  int64
	acked int64

	open         bool
	failures     int
	suspectUntil time.Time
}

// run is one task that an upstream runs or may run.
type run struct {
	id      string
	team    string
	job     string
	band    int
	size    upstream.Resources
	link    *link
	adopted bool
	index   int
	// stopping tells that the upstream has been asked to stop it.
	stopping bool
	// notAfter is when, in the upstream's clock, a start of it is refused.
	notAfter int64
	// gone closes when the run is known to have stopped without a result.
	gone chan struct{}
}

// holds reports whether the lease is certainly valid at this moment, judged by
// the monotonic clock and not by a timer, which a pause would delay.
func (l *link) holds(now time.Time) bool {
	return l.epoch != 0 && l.clock.atMost(now) < l.until
}

// lapsed reports whether the upstream has certainly stopped all that was
// started under the leases that this owner asked for.
func (l *link) lapsed(now time.Time) bool {
	return l.clock.atLeast(now) > l.tasksUntil
}

// follow claims and renews the lease until the context ends.
func (l *link) follow(ctx context.Context) {
	wait := claimPause
	for ctx.Err() == nil {
		if err := l.claim(ctx); err != nil {
			l.shard.expire(l)
			sleep(ctx, wait)
			if !errors.Is(err, upstream.ErrRefused) {
				wait = min(maxClaimPause, 2*wait)
			}
			continue
		}
		wait = claimPause
		held := true
		for held && ctx.Err() == nil {
			held = l.renew(ctx)
		}
		l.shard.unlease(l)
	}
}

func (l *link) call(ctx context.Context, wait time.Duration, request upstream.LeaseRequest) (upstream.LeaseResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, l.shard.timings.Lease/leaseCallPart+wait)
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
		l.tasksUntil = 0
		l.seen = 0
		l.acked = 0
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
		if l.shard.hasLost(l) {
			return upstream.ErrFenced
		}
		if status.Clock < status.Until {
			return upstream.ErrFenced
		}
	}
	l.shard.mu.Lock()
	l.extend(&request)
	l.shard.mu.Unlock()
	response, err := l.call(ctx, 0, request)
	if err != nil {
		return err
	}
	if response.Epoch != status.Epoch+1 && l.shard.hasLost(l) {
		return upstream.ErrFenced
	}
	l.shard.adopt(l, response)
	return nil
}

// extend states the ends of the lease in the upstream's clock. The shard's
// lock is held.
func (l *link) extend(request *upstream.LeaseRequest) {
	now := l.clock.atLeast(time.Now())
	request.Until = now + l.shard.timings.Lease.Milliseconds()
	request.TasksUntil = now + l.shard.timings.TaskLease.Milliseconds()
	l.tasksUntil = max(l.tasksUntil, request.TasksUntil)
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
		SeenSequence:  l.seen,
		AckedSequence: l.acked,
	}
	l.extend(&request)
	l.shard.mu.Unlock()
	response, err := l.call(ctx, wait, request)
	if err == nil {
		l.shard.renewed(l, response)
		return true
	}
	l.shard.mu.Lock()
	held := l.holds(time.Now())
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
