package store

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"golang.org/x/sync/errgroup"
)

const (
	// ringSize is the number of journal keys that are used in turn; one page of the
	// store's answers holds them.
	ringSize = 480
	// snapshotEvery is the number of entries between snapshots; it leaves half of
	// the ring, so that an entry is never overwritten before a snapshot holds it.
	snapshotEvery = 240
	// chunkBytes bounds one value of a snapshot: 1 MB at the store, as base64 text.
	chunkBytes = 640 << 10
	// commitPause gathers the changes of some milliseconds into one call, since
	// the store charges each.
	commitPause = 6 * time.Millisecond
	// maxCopies bounds the copies of one write that are under way; with a third of
	// the answers lost, one in a hundred writes needs more.
	maxCopies = 4
	// leastPatience and patienceFactor times the usual time of an answer is when
	// another copy is sent.
	leastPatience  = 60 * time.Millisecond
	patienceFactor = 3
	// maxChunks keeps a snapshot's transaction within the store's 32 entries.
	maxChunks = 30
)

// head is the journal's newest entry and its newest snapshot.
type head struct {
	Entry    int64 `cbor:"1,keyasint"`
	Snapshot int64 `cbor:"2,keyasint"`
	Chunks   int   `cbor:"3,keyasint"`
}

type entry[R any] struct {
	Number  int64 `cbor:"1,keyasint"`
	Records []R   `cbor:"2,keyasint"`
}

// Journal keeps the changes of a shard in order. An entry is written only if
// the tenure still holds and the entry before it is the newest, so neither an
// old owner nor a write that arrives late can change it. Create it with Open.
type Journal[R any] struct {
	client   Client
	tenure   *Tenure
	snapshot func() []R
	log      *slog.Logger

	mu      sync.Mutex
	pending []R
	waiting []func()
	next    int64
	// writing is when the call that is under way was first sent; zero without one.
	writing time.Time
	// usual is the moving average of the time of an answer.
	usual time.Duration

	head    head
	headRev int64
	kick    chan struct{}
}

func headKey(shard string) string {
	return "citronbay/" + shard + "/head"
}

func entryPrefix(shard string) string {
	return "citronbay/" + shard + "/log/"
}

func chunkPrefix(shard string) string {
	return "citronbay/" + shard + "/snapshot/"
}

// Open reads the journal and returns it with all records in order. The snapshot
// function returns records that stand for everything appended so far; it is
// called under the lock of Append's callers, see Journal.Append.
func Open[R any](ctx context.Context, client Client, tenure *Tenure, snapshot func() []R, log *slog.Logger) (*Journal[R], []R, error) {
	j := &Journal[R]{
		client:   client,
		tenure:   tenure,
		snapshot: snapshot,
		log:      log,
		kick:     make(chan struct{}, 1),
	}
	item, chunks, entries, err := j.read(ctx)
	switch {
	case errors.Is(err, ErrNotFound):
		j.next = 1
		return j, nil, nil
	case err != nil:
		return nil, nil, fmt.Errorf("store: read journal: %w", err)
	}
	if err := cbor.Unmarshal(item.Value, &j.head); err != nil {
		return nil, nil, fmt.Errorf("store: decode journal head: %w", err)
	}
	j.headRev = item.Revision
	j.next = j.head.Entry + 1
	records, err := j.decodeSnapshot(chunks)
	if err != nil {
		return nil, nil, err
	}
	records, err = j.replay(records, entries)
	return j, records, err
}

// read reads head, snapshot and ring side by side, which is one answer's time
// instead of three; nobody else writes them while the tenure lasts.
func (j *Journal[R]) read(ctx context.Context) (item Item, chunks, entries []Item, err error) {
	shard := j.tenure.shard
	var group errgroup.Group
	group.Go(func() (err error) {
		item, err = j.client.Get(ctx, headKey(shard))
		return err
	})
	group.Go(func() (err error) {
		chunks, _, err = j.client.Range(ctx, chunkPrefix(shard))
		return err
	})
	group.Go(func() (err error) {
		entries, _, err = j.client.Range(ctx, entryPrefix(shard))
		return err
	})
	err = group.Wait()
	return item, chunks, entries, err
}

func (j *Journal[R]) decodeSnapshot(chunks []Item) ([]R, error) {
	slices.SortFunc(chunks, func(a, b Item) int {
		return strings.Compare(a.Key, b.Key)
	})
	if len(chunks) < j.head.Chunks {
		return nil, fmt.Errorf("store: snapshot has %d chunks of %d", len(chunks), j.head.Chunks)
	}
	var records []R
	for _, c := range chunks[:j.head.Chunks] {
		var part []R
		if err := cbor.Unmarshal(c.Value, &part); err != nil {
			return nil, fmt.Errorf("store: decode %s: %w", c.Key, err)
		}
		records = append(records, part...)
	}
	return records, nil
}

func (j *Journal[R]) replay(records []R, items []Item) ([]R, error) {
	entries := make([]entry[R], 0, len(items))
	for _, item := range items {
		var e entry[R]
		if err := cbor.Unmarshal(item.Value, &e); err != nil {
			return nil, fmt.Errorf("store: decode %s: %w", item.Key, err)
		}
		if e.Number > j.head.Snapshot && e.Number <= j.head.Entry {
			entries = append(entries, e)
		}
	}
	slices.SortFunc(entries, func(a, b entry[R]) int {
		return int(a.Number - b.Number)
	})
	for n, e := range entries {
		if want := j.head.Snapshot + int64(n) + 1; e.Number != want {
			return nil, fmt.Errorf("store: journal entry %d is missing", want)
		}
		records = append(records, e.Records...)
	}
	if want := j.head.Entry - j.head.Snapshot; int64(len(entries)) != want {
		return nil, fmt.Errorf("store: journal has %d entries after its snapshot, want %d", len(entries), want)
	}
	return records, nil
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

// Withdraw drops the records that match and have not been sent to the store, and
// returns how many; these certainly never take effect.
func (j *Journal[R]) Withdraw(match func(R) bool) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	before := len(j.pending)
	j.pending = slices.DeleteFunc(j.pending, match)
	return before - len(j.pending)
}

// Stalled returns how long the store has left a write without an answer.
func (j *Journal[R]) Stalled() time.Duration {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.writing.IsZero() {
		return 0
	}
	return time.Since(j.writing)
}

// startWriting notes the time, unless an earlier write still has no success.
func (j *Journal[R]) startWriting() {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.writing.IsZero() {
		j.writing = time.Now()
	}
}

// endWriting takes the time of an answer into the usual one.
func (j *Journal[R]) endWriting(took time.Duration) {
	const weight = 4
	j.mu.Lock()
	defer j.mu.Unlock()
	j.writing = time.Time{}
	j.usual += (took - j.usual) / weight
}

// Run writes what is appended until the tenure ends. The lock guards appending
// and the snapshot function.
func (j *Journal[R]) Run(lock sync.Locker) error {
	ctx := j.tenure.Context()
	for {
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-j.kick:
		}
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-time.After(commitPause):
		}
		if err := j.commit(ctx, lock); err != nil {
			j.tenure.Depose(err)
			return err
		}
	}
}

func (j *Journal[R]) commit(ctx context.Context, lock sync.Locker) error {
	b, err := j.prepare(lock)
	if err != nil {
		return err
	}
	if b.txn.Puts != nil {
		revision, err := j.write(ctx, b.txn, b.next)
		if errors.Is(err, ErrNotDone) {
			j.putBack(ctx, b)
			return nil
		}
		if err != nil {
			return err
		}
		j.head, j.headRev = b.next, revision
		j.next = b.next.Entry + 1
	}
	for _, done := range b.waiting {
		done()
	}
	return nil
}

// batch is what one transaction takes from what was appended.
type batch[R any] struct {
	records []R
	waiting []func()
	txn     Txn
	next    head
}

// putBack returns a batch that the store has certainly not written, so that its
// records can still be withdrawn, and tries again soon.
func (j *Journal[R]) putBack(ctx context.Context, b batch[R]) {
	j.mu.Lock()
	j.pending = append(b.records, j.pending...)
	j.waiting = append(b.waiting, j.waiting...)
	j.mu.Unlock()
	pause(ctx, retryPause/4)
	j.wake()
}

func (j *Journal[R]) wake() {
	select {
	case j.kick <- struct{}{}:
	default:
	}
}

// prepare takes what is pending and turns it into an entry, or into a snapshot
// when one is due. Without pending records it returns a transaction without
// puts, and the callbacks need not wait.
func (j *Journal[R]) prepare(lock sync.Locker) (batch[R], error) {
	lock.Lock()
	j.mu.Lock()
	b := batch[R]{
		records: j.pending,
		waiting: j.waiting,
		next: head{
			Entry:    j.next,
			Snapshot: j.head.Snapshot,
			Chunks:   j.head.Chunks,
		},
	}
	j.pending, j.waiting = nil, nil
	j.mu.Unlock()
	whole := j.next-j.head.Snapshot >= snapshotEvery && len(b.records) > 0
	var all []R
	if whole {
		all = j.snapshot()
	}
	lock.Unlock()
	if len(b.records) == 0 {
		return b, nil
	}
	var puts []Put
	var err error
	if whole {
		b.next.Snapshot = b.next.Entry
		puts, err = j.chunks(all)
		b.next.Chunks = len(puts)
	} else {
		puts, err = j.entry(b.next.Entry, b.records)
	}
	if err != nil {
		return b, err
	}
	value, err := cbor.Marshal(b.next)
	if err != nil {
		return b, fmt.Errorf("store: encode journal head: %w", err)
	}
	b.txn = Txn{
		Expect: map[string]int64{
			headKey(j.tenure.shard):  j.headRev,
			OwnerKey(j.tenure.shard): j.tenure.token,
		},
		Puts: append(puts, Put{
			Key:   headKey(j.tenure.shard),
			Value: value,
		}),
	}
	return b, nil
}

func (j *Journal[R]) entry(number int64, records []R) ([]Put, error) {
	value, err := cbor.Marshal(entry[R]{
		Number:  number,
		Records: records,
	})
	if err != nil {
		return nil, fmt.Errorf("store: encode journal entry: %w", err)
	}
	return []Put{{
		Key:   entryPrefix(j.tenure.shard) + strconv.FormatInt(number%ringSize, 10),
		Value: value,
	}}, nil
}

// chunks encodes the records into values of at most chunkBytes each.
func (j *Journal[R]) chunks(records []R) ([]Put, error) {
	var puts []Put
	var part []cbor.RawMessage
	size := 0
	flush := func() error {
		value, err := cbor.Marshal(part)
		if err != nil {
			return fmt.Errorf("store: encode snapshot: %w", err)
		}
		puts = append(puts, Put{
			Key:   fmt.Sprintf("%s%03d", chunkPrefix(j.tenure.shard), len(puts)),
			Value: value,
		})
		part, size = nil, 0
		return nil
	}
	for _, r := range records {
		encoded, err := cbor.Marshal(r)
		if err != nil {
			return nil, fmt.Errorf("store: encode snapshot: %w", err)
		}
		if size+len(encoded) > chunkBytes {
			if err := flush(); err != nil {
				return nil, err
			}
		}
		part = append(part, encoded)
		size += len(encoded)
	}
	if err := flush(); err != nil {
		return nil, err
	}
	if len(puts) > maxChunks {
		return nil, fmt.Errorf("store: snapshot has %d chunks, at most %d fit", len(puts), maxChunks)
	}
	return puts, nil
}

// answer is the outcome of one copy of a write.
type answer struct {
	result TxnResult
	err    error
	took   time.Duration
}

// write sends copies of the transaction until its outcome is certain. Copies are
// harmless: whichever comes first moves the head, and the others fail. Another
// copy goes out when the one before takes much longer than usual, since an answer
// that is lost never comes. It returns ErrNotDone only if no copy can take effect
// any more.
func (j *Journal[R]) write(ctx context.Context, txn Txn, next head) (int64, error) {
	j.startWriting()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan answer, maxCopies)
	inFlight := 0
	send := func() {
		inFlight++
		go j.sendCopy(ctx, txn, answers)
	}
	unknown := false
	send()
	for {
		select {
		case <-ctx.Done():
			return 0, context.Cause(ctx)
		case <-time.After(j.patience()):
			if inFlight < maxCopies {
				send()
			}
			continue
		case a := <-answers:
			inFlight--
			if a.err == nil {
				j.endWriting(a.took)
				if a.result.Done {
					return a.result.Revision, nil
				}
				return j.judge(a.result, next)
			}
			if ctx.Err() != nil {
				return 0, context.Cause(ctx)
			}
			unknown = unknown || !errors.Is(a.err, ErrNotDone)
			if !unknown && inFlight == 0 {
				return 0, a.err
			}
			j.log.Warn("commitRepeated", "shard", j.tenure.shard, "entry", next.Entry, "error", a.err)
		}
		if inFlight == 0 {
			pause(ctx, retryPause/4)
			send()
		}
	}
}

func (j *Journal[R]) sendCopy(ctx context.Context, txn Txn, answers chan<- answer) {
	begun := time.Now()
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	result, err := j.client.Commit(call, txn)
	answers <- answer{
		result: result,
		err:    err,
		took:   time.Since(begun),
	}
}

// patience returns how long a copy may take before another is sent.
func (j *Journal[R]) patience() time.Duration {
	j.mu.Lock()
	defer j.mu.Unlock()
	return max(leastPatience, patienceFactor*j.usual)
}

// judge tells an earlier copy of the same entry that took effect from a
// deposition.
func (j *Journal[R]) judge(result TxnResult, next head) (int64, error) {
	owner, ok := result.Current[OwnerKey(j.tenure.shard)]
	if !ok || owner.Revision != j.tenure.token {
		return 0, fmt.Errorf("%w: another owner at revision %d", ErrDeposed, owner.Revision)
	}
	item, ok := result.Current[headKey(j.tenure.shard)]
	if !ok {
		return 0, errors.New("store: the journal's head is gone")
	}
	var current head
	if err := cbor.Unmarshal(item.Value, &current); err != nil {
		return 0, fmt.Errorf("store: decode journal head: %w", err)
	}
	if current != next {
		return 0, fmt.Errorf("store: the journal's head is %v, want %v", current, next)
	}
	return item.Revision, nil
}
