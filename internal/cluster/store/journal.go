package store

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"sync"
	"time"
)

const (
	// snapshotEvery is the number of entries between snapshots; it leaves half of
	// the ring, so that an entry is never overwritten before a snapshot holds it.
	snapshotEvery = ringSize / 2
	// commitPause gathers the changes of some milliseconds into one call, since
	// the store charges each.
	commitPause = 12 * time.Millisecond
	// maxWindow bounds the entries that are on their way at once; a slow store's
	// answer time is divided by as much before entries wait for each other.
	maxWindow = 6
	// stallTime is the age of the oldest entry on its way from which no further one
	// is sent, since what is not sent can still be withdrawn.
	stallTime = 500 * time.Millisecond
)

// Journal keeps the changes of a shard in order. Entries are written under the
// condition that the tenure still holds and that their place in the ring is as
// the owner has seen it, so neither an old owner nor a write that arrives late can
// change what is there. Several entries are on their way at once; each counts only
// together with all before it. Create it with Open.
type Journal[R any] struct {
	client   Client
	tenure   *Tenure
	snapshot func() []R
	log      *slog.Logger
	kick     chan struct{}
	results  chan flightResult[R]

	mu      sync.Mutex
	pending []R
	waiting []func()
	window  []*flight[R]
	// refused is when the first of the writes was sent that the store has refused
	// since its last success; zero without one.
	refused time.Time
	// usual is the moving average of the time of an answer.
	usual time.Duration

	// All below belongs to Run.
	next       int64
	snapshotAt int64
	revisions  map[string]int64
	lastSent   time.Time
	retryAt    time.Time
}

// flight is an entry or a snapshot on its way to the store.
type flight[R any] struct {
	number  int64
	key     string
	records []R
	waiting []func()
	txn     Txn
	whole   bool
	sent    time.Time
	done    bool
}

type flightResult[R any] struct {
	flight   *flight[R]
	revision int64
	err      error
}

// Append adds the records and calls done, if any, once they and all before them
// are durable. Callers hold the lock that also guards what the snapshot function
// reads, so that order and content agree.
func (j *Journal[R]) Append(records []R, done func()) {
	j.mu.Lock()
	j.pending = append(j.pending, records...)
	if done != nil {
		j.waiting = append(j.waiting, done)
	}
	j.mu.Unlock()
	j.wake()
}

func (j *Journal[R]) wake() {
	select {
	case j.kick <- struct{}{}:
	default:
	}
}

// Withdraw drops the records that match and have not been sent to the store, and
// returns how many; these certainly never take effect.
func (j *Journal[R]) Withdraw(match func(R) bool) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	before := len(j.pending)
	j.pending = slices.DeleteFunc(j.pending, match)
	return before - len(j.pending)
}

// Stalled returns how long the store has left a write without success.
func (j *Journal[R]) Stalled() time.Duration {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.stalled()
}

// Usual returns the moving average of the time of an answer of the store.
func (j *Journal[R]) Usual() time.Duration {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.usual
}

func (j *Journal[R]) stalled() time.Duration {
	switch {
	case !j.refused.IsZero():
		return time.Since(j.refused)
	case len(j.window) > 0:
		return time.Since(j.window[0].sent)
	}
	return 0
}

// Run writes what is appended until the tenure ends. The lock guards appending
// and the snapshot function.
func (j *Journal[R]) Run(lock sync.Locker) error {
	ctx := j.tenure.Context()
	for {
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case r := <-j.results:
			if err := j.land(ctx, r); err != nil {
				j.tenure.Depose(err)
				return err
			}
		case <-j.kick:
			pause(ctx, j.sendPause())
		}
		if err := j.send(ctx, lock); err != nil {
			j.tenure.Depose(err)
			return err
		}
	}
}

// sendPause returns how long to gather changes before the next entry.
func (j *Journal[R]) sendPause() time.Duration {
	j.mu.Lock()
	defer j.mu.Unlock()
	return max(commitPause, j.usual/maxWindow) - time.Since(j.lastSent)
}

// send takes what is pending, unless it has to wait for entries on their way; a
// later result then calls it again.
func (j *Journal[R]) send(ctx context.Context, lock sync.Locker) error {
	lock.Lock()
	f, err := j.prepare()
	lock.Unlock()
	if err != nil || f == nil {
		return err
	}
	j.lastSent = f.sent
	go j.fly(ctx, f)
	return nil
}

// prepare returns the next entry, or a snapshot when one is due and no entry is on
// its way, or nil.
func (j *Journal[R]) prepare() (*flight[R], error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if len(j.pending) == 0 {
		j.answerIdle()
		return nil, nil
	}
	due := j.next-j.snapshotAt >= snapshotEvery
	if time.Now().Before(j.retryAt) {
		return nil, nil
	}
	busy := len(j.window) > 0
	if busy && (due || len(j.window) == maxWindow || j.window[0].whole || !j.refused.IsZero() || j.stalled() > stallTime) {
		return nil, nil
	}
	f := &flight[R]{
		number:  j.next,
		records: j.pending,
		waiting: j.waiting,
		whole:   due,
		sent:    time.Now(),
	}
	if err := j.encode(f); err != nil {
		return nil, err
	}
	j.pending, j.waiting = nil, nil
	j.window = append(j.window, f)
	j.next++
	return f, nil
}

// answerIdle hands callbacks that wait for nothing of their own to the last entry
// on its way, or calls them.
func (j *Journal[R]) answerIdle() {
	if len(j.waiting) == 0 {
		return
	}
	waiting := j.waiting
	j.waiting = nil
	if n := len(j.window); n > 0 {
		j.window[n-1].waiting = append(j.window[n-1].waiting, waiting...)
		return
	}
	go call(waiting)
}

func call(waiting []func()) {
	for _, done := range waiting {
		done()
	}
}

// land takes the result of a flight: entries count in order, and one that the
// store has certainly not written goes back if none was sent after it.
func (j *Journal[R]) land(ctx context.Context, r flightResult[R]) error {
	f := r.flight
	if errors.Is(r.err, ErrNotDone) {
		j.retry(ctx, f)
		return nil
	}
	if r.err != nil {
		return r.err
	}
	f.done = true
	j.revisions[f.key] = r.revision
	if f.whole {
		j.snapshotAt = f.number
	}
	j.mu.Lock()
	j.refused = time.Time{}
	var ready []func()
	for len(j.window) > 0 && j.window[0].done {
		ready = append(ready, j.window[0].waiting...)
		j.window = j.window[1:]
	}
	j.mu.Unlock()
	call(ready)
	j.wake()
	return nil
}

// retry sends a refused flight again, or puts its records back if none was sent
// after it, so that they can be withdrawn.
func (j *Journal[R]) retry(ctx context.Context, f *flight[R]) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.refused.IsZero() {
		j.refused = f.sent
	}
	if j.window[len(j.window)-1] != f {
		go func() {
			pause(ctx, retryPause/4)
			j.fly(ctx, f)
		}()
		return
	}
	j.window = j.window[:len(j.window)-1]
	j.pending = append(f.records, j.pending...)
	j.waiting = append(f.waiting, j.waiting...)
	j.next = f.number
	j.retryAt = time.Now().Add(retryPause)
	time.AfterFunc(retryPause, j.wake)
}
