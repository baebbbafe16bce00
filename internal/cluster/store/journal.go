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
	// entriesPerSnapshot is the number of entries between snapshots; it leaves half of
	// the ring, so that an entry is never overwritten before a snapshot holds it.
	entriesPerSnapshot = ringSize / 2
	// minSendInterval gathers the changes of some milliseconds into one call, since
	// the store charges each.
	minSendInterval = 12 * time.Millisecond
	// maxInFlight bounds the entries that are on their way at once; a slow store's
	// answer time is divided by as much before entries wait for each other.
	maxInFlight = 6
	// stallThreshold is the age of the oldest entry on its way from which no further one
	// is sent, since what is not sent can still be withdrawn.
	stallThreshold = 500 * time.Millisecond
)

// Journal keeps the changes of a shard in order. Entries are written under the
// condition that the tenure still holds and that their place in the ring is as
// the owner has seen it, so neither an old owner nor a write that arrives late can
// change what is there. Several entries are on their way at once; each counts only
// together with all before it. Create it with Open.
type Journal[R any] struct {
	client   Client
	term     *Tenure
	snapshot func() []R
	log      *slog.Logger
	wakeup   chan struct{}
	results  chan writeResult[R]

	mu        sync.Mutex
	pending   []R
	callbacks []func()
	inFlight  []*journalWrite[R]
	// refusedSince is when the first of the writes was sent that the store has refusedSince
	// since its last success; zero without one.
	refusedSince time.Time
	// commitLatency is the moving average of the time of an answer.
	commitLatency time.Duration

	// All below belongs to Run.
	nextNumber     int64
	snapshotNumber int64
	revisions      map[string]int64
	lastSentAt     time.Time
	retryAt        time.Time
}

// journalWrite is an entry or a snapshot on its way to the store.
type journalWrite[R any] struct {
	number     int64
	key        string
	records    []R
	callbacks  []func()
	txn        Txn
	isSnapshot bool
	sentAt     time.Time
	committed  bool
}

type writeResult[R any] struct {
	write    *journalWrite[R]
	revision int64
	err      error
}

// Append adds the records and calls done, if any, once they and all before them
// are durable. Callers hold the lock that also guards what the snapshot function
// reads, so that order and content agree.
func (j *Journal[R]) Append(records []R, onDurable func()) {
	j.mu.Lock()
	j.pending = append(j.pending, records...)
	if onDurable != nil {
		j.callbacks = append(j.callbacks, onDurable)
	}
	j.mu.Unlock()
	j.wake()
}

func (j *Journal[R]) wake() {
	select {
	case j.wakeup <- struct{}{}:
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
	return j.stalledFor()
}

// Usual returns the moving average of the time of an answer of the store.
func (j *Journal[R]) Usual() time.Duration {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.commitLatency
}

func (j *Journal[R]) stalledFor() time.Duration {
	switch {
	case !j.refusedSince.IsZero():
		return time.Since(j.refusedSince)
	case len(j.inFlight) > 0:
		return time.Since(j.inFlight[0].sentAt)
	}
	return 0
}

// Run writes what is appended until the tenure ends. The lock guards appending
// and the snapshot function.
func (j *Journal[R]) Run(lock sync.Locker) error {
	ctx := j.term.Context()
	for {
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case r := <-j.results:
			if err := j.completeWrite(ctx, r); err != nil {
				j.term.Depose(err)
				return err
			}
		case <-j.wakeup:
			sleep(ctx, j.sendDelay())
		}
		if err := j.sendNext(ctx, lock); err != nil {
			j.term.Depose(err)
			return err
		}
	}
}

// sendDelay returns how long to gather changes before the next entry.
func (j *Journal[R]) sendDelay() time.Duration {
	j.mu.Lock()
	defer j.mu.Unlock()
	return max(minSendInterval, j.commitLatency/maxInFlight) - time.Since(j.lastSentAt)
}

// sendNext takes what is pending, unless it has to wait for entries on their way; a
// later result then calls it again.
func (j *Journal[R]) sendNext(ctx context.Context, lock sync.Locker) error {
	lock.Lock()
	w, err := j.prepareWrite()
	lock.Unlock()
	if err != nil || w == nil {
		return err
	}
	j.lastSentAt = w.sentAt
	go j.runWrite(ctx, w)
	return nil
}

// prepareWrite returns the next entry, or a snapshot when one is due and no entry is on
// its way, or nil.
func (j *Journal[R]) prepareWrite() (*journalWrite[R], error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if len(j.pending) == 0 {
		j.flushCallbacks()
		return nil, nil
	}
	snapshotDue := j.nextNumber-j.snapshotNumber >= entriesPerSnapshot
	if time.Now().Before(j.retryAt) {
		return nil, nil
	}
	busy := len(j.inFlight) > 0
	if busy && (snapshotDue || len(j.inFlight) == maxInFlight || j.inFlight[0].isSnapshot || !j.refusedSince.IsZero() || j.stalledFor() > stallThreshold) {
		return nil, nil
	}
	w := &journalWrite[R]{
		number:     j.nextNumber,
		records:    j.pending,
		callbacks:  j.callbacks,
		isSnapshot: snapshotDue,
		sentAt:     time.Now(),
	}
	if err := j.encode(w); err != nil {
		return nil, err
	}
	j.pending, j.callbacks = nil, nil
	j.inFlight = append(j.inFlight, w)
	j.nextNumber++
	return w, nil
}

// flushCallbacks hands callbacks that wait for nothing of their own to the last entry
// on its way, or calls them.
func (j *Journal[R]) flushCallbacks() {
	if len(j.callbacks) == 0 {
		return
	}
	callbacks := j.callbacks
	j.callbacks = nil
	if n := len(j.inFlight); n > 0 {
		j.inFlight[n-1].callbacks = append(j.inFlight[n-1].callbacks, callbacks...)
		return
	}
	go runCallbacks(callbacks)
}

func runCallbacks(callbacks []func()) {
	for _, done := range callbacks {
		done()
	}
}

// completeWrite takes the result of a flight: entries count in order, and one that the
// store has certainly not written goes back if none was sent after it.
func (j *Journal[R]) completeWrite(ctx context.Context, r writeResult[R]) error {
	w := r.write
	if errors.Is(r.err, ErrNotDone) {
		j.retryWrite(ctx, w)
		return nil
	}
	if r.err != nil {
		return r.err
	}
	w.committed = true
	j.revisions[w.key] = r.revision
	if w.isSnapshot {
		j.snapshotNumber = w.number
	}
	j.mu.Lock()
	j.refusedSince = time.Time{}
	var ready []func()
	for len(j.inFlight) > 0 && j.inFlight[0].committed {
		ready = append(ready, j.inFlight[0].callbacks...)
		j.inFlight = j.inFlight[1:]
	}
	j.mu.Unlock()
	runCallbacks(ready)
	j.wake()
	return nil
}

// retryWrite sends a refused flight again, or puts its records back if none was sent
// after it, so that they can be withdrawn.
func (j *Journal[R]) retryWrite(ctx context.Context, w *journalWrite[R]) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.refusedSince.IsZero() {
		j.refusedSince = w.sentAt
	}
	if j.inFlight[len(j.inFlight)-1] != w {
		go func() {
			sleep(ctx, retryDelay/4)
			j.runWrite(ctx, w)
		}()
		return
	}
	j.inFlight = j.inFlight[:len(j.inFlight)-1]
	j.pending = append(w.records, j.pending...)
	j.callbacks = append(w.callbacks, j.callbacks...)
	j.nextNumber = w.number
	j.retryAt = time.Now().Add(retryDelay)
	time.AfterFunc(retryDelay, j.wake)
}
