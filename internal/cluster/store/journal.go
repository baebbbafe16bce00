package store

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/citronbay/citronbay/internal/api/traffic"
)

const (
	// maxEntriesPerSnapshot is the largest number of entries between snapshots. Twice as many
	// fit into one page of the store's range response.
	maxEntriesPerSnapshot = 240
	// minBytesPerSnapshot is the size of the entries since the last snapshot below which no
	// snapshot is due. A takeover reads that much in a quarter of a second over a link of
	// 2 Mbit/s.
	minBytesPerSnapshot = 48 << 10
	// entryOverheadBytes is what the store transmits for an entry beside its value.
	entryOverheadBytes = 200
	// minSendInterval is the minimum time between entries. It batches the changes of
	// some milliseconds into one call, since the store charges for each call.
	minSendInterval = 12 * time.Millisecond
	// On a small link entries are sent less often, at most maxLinkInterval apart, so that what is
	// transmitted with each beside its records, commitBytes, takes only commitShare of the link.
	commitBytes     = 900
	commitShare     = 0.08
	maxLinkInterval = 50 * time.Millisecond
	// maxInFlight bounds the entries in flight at once. With a slow store, the next
	// entry is sent after 1/maxInFlight of the commit latency instead of all of it.
	maxInFlight = 6
	// stallThreshold is the age of the oldest entry in flight above which no further
	// entry is sent: records that are not sent can still be withdrawn.
	stallThreshold = 500 * time.Millisecond
)

// Journal is a shard's ordered log of records in the store: a snapshot and the entries after
// it. A snapshot is due once the entries are as large as the last one, so that what a takeover
// reads follows the open work, and writing snapshots at most doubles the bytes. A write is
// conditional on the owner key and on the key that it replaces (for a snapshot, the first of
// its keys), each at the revision this owner knows, so neither a former owner nor a delayed
// write can overwrite anything. Several
// entries are in flight at once; an entry is durable only once all entries before it are.
// Create it with OpenJournal.
type Journal[R any] struct {
	client   Client
	codec    codec
	term     *Term
	snapshot func() []R
	log      *slog.Logger
	wakeup   chan struct{}
	results  chan writeResult[R]

	mu sync.Mutex
	// pending holds the appended records that are neither in flight nor durable.
	pending []R
	// callbacks holds the functions to call once pending is durable or withdrawn.
	callbacks []func()
	inFlight  []*journalWrite[R]
	// refusedSince is the sentAt of the first write that was refused since a write last
	// succeeded, or zero if none was.
	refusedSince time.Time
	// commitLatency is the moving average of the latency of a commit call.
	commitLatency time.Duration

	// The fields below are used only by OpenJournal and the goroutine of Run.
	nextNumber     int64
	snapshotNumber int64
	// snapshotBytes is the size of the last snapshot, and entryBytes that of the entries since,
	// those in flight included.
	snapshotBytes int
	entryBytes    int
	// misplaced is set if entries since the last snapshot have other keys than entryKey gives.
	misplaced bool
	// revisions holds the revision of each key as last read or written, except that those
	// of a snapshot's chunks after the first are only as read.
	revisions  map[string]int64
	lastSentAt time.Time
	// link is the link to the store, and linkInterval the least time between entries that it
	// permits. Neither changes after SetLink.
	link         traffic.Link
	linkInterval time.Duration
	retryAt      time.Time // no new write is started before; retryWrite sets it
}

// journalWrite is an entry or a snapshot that is written to the store.
type journalWrite[R any] struct {
	number     int64
	key        string // the key of the entry or of the first snapshot chunk
	records    []R
	callbacks  []func()
	txn        Txn
	bytes      int // size of the values written
	isSnapshot bool
	sentAt     time.Time
	committed  bool
}

type writeResult[R any] struct {
	write    *journalWrite[R]
	revision int64
	err      error
}

// Append adds the records and calls onDurable, unless it is nil, once these and all
// earlier records are durable or withdrawn. If the term ends first, onDurable may never be
// called. The caller must hold the lock given to Run, which also guards the state that the
// snapshot function reads, so that a snapshot contains exactly the records appended before
// it. onDurable is called without that lock.
func (j *Journal[R]) Append(records []R, onDurable func()) {
	j.mu.Lock()
	j.pending = append(j.pending, records...)
	if onDurable != nil {
		j.callbacks = append(j.callbacks, onDurable)
	}
	j.mu.Unlock()
	j.wake()
}

// wake makes Run check for records to send.
func (j *Journal[R]) wake() {
	select {
	case j.wakeup <- struct{}{}:
	default:
	}
}

// Withdraw calls match in order, once for each record that is neither in flight nor
// durable, removes the matching records and returns their number. They never take effect.
// The caller must hold the lock given to Run until it has removed them from the state
// that the snapshot function reads.
func (j *Journal[R]) Withdraw(match func(R) bool) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	before := len(j.pending)
	j.pending = slices.DeleteFunc(j.pending, match)
	return before - len(j.pending)
}

// StalledFor returns how long ago the oldest unconfirmed write was sent, and 0 if there
// is none. While the store refuses writes, it returns how long ago the first refused one
// was sent.
func (j *Journal[R]) StalledFor() time.Duration {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.stalledForLocked()
}

// CommitLatency returns the moving average of the latency of the store's commit calls.
func (j *Journal[R]) CommitLatency() time.Duration {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.commitLatency
}

// stalledForLocked is StalledFor for callers that hold j.mu.
func (j *Journal[R]) stalledForLocked() time.Duration {
	switch {
	case !j.refusedSince.IsZero():
		return time.Since(j.refusedSince)
	case len(j.inFlight) > 0:
		return time.Since(j.inFlight[0].sentAt)
	}
	return 0
}

// Run writes the appended records to the store until the term ends, and returns the
// cause. On an error it revokes the term and returns the error. It holds the lock, which
// also guards Append, while it prepares a write and calls the snapshot function for it.
func (j *Journal[R]) Run(lock sync.Locker) error {
	ctx := j.term.Context()
	for {
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case r := <-j.results:
			if err := j.completeWrite(ctx, r); err != nil {
				j.term.Revoke(err)
				return err
			}
		case <-j.wakeup:
			sleep(ctx, j.sendDelay())
		}
		if err := j.sendNext(ctx, lock); err != nil {
			j.term.Revoke(err)
			return err
		}
	}
}

// sendDelay returns how long to wait for further records before the next write.
func (j *Journal[R]) sendDelay() time.Duration {
	j.mu.Lock()
	defer j.mu.Unlock()
	return max(j.linkInterval, j.commitLatency/maxInFlight) - time.Since(j.lastSentAt)
}

// SetLink sets the link to the store, which bounds how often entries are sent and writes are
// repeated. It must be called before Run.
func (j *Journal[R]) SetLink(link traffic.Link) {
	j.link = link
	j.linkInterval = link.Interval(commitBytes, commitShare, minSendInterval, maxLinkInterval)
}

// sendNext starts the write that prepareWrite returns, if any. If the write has to wait
// for others in flight, Run calls sendNext again after their results.
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

// prepareWrite returns a write of all pending records and adds it to those in flight.
// The write is a snapshot if one is due, which requires that nothing is in flight. It
// returns nil if there is nothing to write or if the write has to wait.
func (j *Journal[R]) prepareWrite() (*journalWrite[R], error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if len(j.pending) == 0 {
		j.flushCallbacks()
		return nil, nil
	}
	snapshotDue := j.misplaced || j.nextNumber-j.snapshotNumber >= maxEntriesPerSnapshot ||
		j.entryBytes >= max(minBytesPerSnapshot, j.snapshotBytes)
	if time.Now().Before(j.retryAt) {
		return nil, nil
	}
	busy := len(j.inFlight) > 0
	if busy && (snapshotDue || len(j.inFlight) == maxInFlight || j.inFlight[0].isSnapshot || !j.refusedSince.IsZero() || j.stalledForLocked() > stallThreshold) {
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
	if !w.isSnapshot {
		j.entryBytes += w.bytes + entryOverheadBytes
	}
	j.pending, j.callbacks = nil, nil
	j.inFlight = append(j.inFlight, w)
	j.nextNumber++
	return w, nil
}

// flushCallbacks handles callbacks without pending records, which were appended
// without any or whose records were withdrawn: it attaches them to the last write in
// flight, or calls them if there is none.
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
	for _, callback := range callbacks {
		callback()
	}
}

// completeWrite processes the result of a write. It calls the callbacks of writes in
// order, each once all earlier ones are committed.
func (j *Journal[R]) completeWrite(ctx context.Context, r writeResult[R]) error {
	w := r.write
	if errors.Is(r.err, ErrNotApplied) {
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
		j.log.Info("snapshotWritten", "shard", j.term.shard, "number", w.number, "bytes", w.bytes,
			"entryBytes", j.entryBytes, "took", time.Since(w.sentAt))
		j.snapshotBytes, j.entryBytes = w.bytes, 0
		j.misplaced = false
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

// retryWrite sends a refused write again. The last write in flight, whose number no
// later write depends on, is returned to pending instead, so that its records can be
// withdrawn.
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
	if !w.isSnapshot {
		j.entryBytes -= w.bytes + entryOverheadBytes
	}
	j.retryAt = time.Now().Add(retryDelay)
	time.AfterFunc(retryDelay, j.wake)
}
