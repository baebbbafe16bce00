package store_test

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/citronbay/citronbay/internal/cluster/store"
)

// memory is a store in memory that may lose answers, be late or refuse.
type memory struct {
	mu       sync.Mutex
	items    map[string]store.Item
	revision int64
	random   *rand.Rand
	late     []store.Txn

	// lost is the share of transactions without an answer; half of these are
	// carried out, now or later. refused is the share that is refused.
	lost, refused float64
	away          bool
	// delay is the longest time until a transaction is carried out, so that several
	// on their way overtake each other.
	delay time.Duration
}

func newMemory(seed uint64) *memory {
	return &memory{
		items:  map[string]store.Item{},
		random: rand.New(rand.NewPCG(seed, 3)),
	}
}

func (m *memory) Get(_ context.Context, key string) (store.Item, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	item, ok := m.items[key]
	if !ok {
		return item, store.ErrNotFound
	}
	return item, nil
}

func (m *memory) Range(_ context.Context, prefix string) ([]store.Item, int64, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []store.Item
	for _, key := range slices.Sorted(maps.Keys(m.items)) {
		if strings.HasPrefix(key, prefix) {
			list = append(list, m.items[key])
		}
	}
	return list, m.revision, nil
}

func (m *memory) Watch(context.Context, string, int64, time.Duration) ([]store.Item, int64, error) {
	return nil, 0, store.ErrCompacted
}

func (m *memory) Commit(_ context.Context, txn store.Txn) (store.TxnResult, error) {
	if m.delay > 0 {
		time.Sleep(rand.N(m.delay))
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.away {
		return store.TxnResult{}, store.ErrNotDone
	}
	if len(m.late) > 0 && m.random.IntN(2) == 0 {
		m.commit(m.late[0])
		m.late = m.late[1:]
	}
	switch p := m.random.Float64(); {
	case p < m.refused:
		return store.TxnResult{}, store.ErrNotDone
	case p < m.refused+m.lost/2:
		m.commit(txn)
		return store.TxnResult{}, store.ErrUnknown
	case p < m.refused+m.lost:
		m.late = append(m.late, txn)
		return store.TxnResult{}, store.ErrUnknown
	}
	return m.commit(txn), nil
}

func (m *memory) commit(txn store.Txn) store.TxnResult {
	result := store.TxnResult{Current: map[string]store.Item{}}
	holds := true
	for key, revision := range txn.Expect {
		if item, ok := m.items[key]; ok {
			result.Current[key] = item
		}
		holds = holds && m.items[key].Revision == revision
	}
	if !holds {
		return result
	}
	m.revision++
	for _, p := range txn.Puts {
		item := store.Item{
			Key:      p.Key,
			Value:    p.Value,
			Revision: m.revision,
			Created:  m.revision,
			Lease:    p.Lease,
		}
		if old, ok := m.items[p.Key]; ok {
			item.Created = old.Created
		}
		m.items[p.Key] = item
	}
	return store.TxnResult{
		Done:     true,
		Revision: m.revision,
	}
}

func (m *memory) GrantLease(context.Context, time.Duration) (int64, time.Duration, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.revision++
	return m.revision, time.Minute, nil
}

func (m *memory) RenewLease(context.Context, int64) error {
	return nil
}

func (m *memory) EndLease(_ context.Context, lease int64) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	for key, item := range m.items {
		if item.Lease == lease {
			delete(m.items, key)
		}
	}
	return nil
}

// claim becomes the owner, whatever the faults.
func claim(t *testing.T, m *memory) (*store.Tenure, func()) {
	t.Helper()
	for {
		tenure, release, err := store.Claim(t.Context(), m, "shard", store.Owner{Node: "node"}, slog.New(slog.DiscardHandler))
		if err == nil {
			return tenure, release
		}
		assert.Assert(t, errors.Is(err, store.ErrNotDone) || errors.Is(err, store.ErrUnknown), "%v", err)
		m.mu.Lock()
		delete(m.items, store.OwnerKey("shard"))
		m.mu.Unlock()
	}
}

// owner appends to a journal and remembers what is durable.
type owner struct {
	mu      sync.Mutex
	records []string
	durable int
	journal *store.Journal[string]
}

func openJournal(t *testing.T, m *memory, tenure *store.Tenure) *owner {
	t.Helper()
	o := &owner{}
	journal, records, err := store.Open(t.Context(), m, tenure, func() []string {
		return slices.Clone(o.records)
	}, slog.New(slog.DiscardHandler))
	assert.NilError(t, err)
	o.journal, o.records, o.durable = journal, records, len(records)
	go func() {
		_ = journal.Run(&o.mu)
	}()
	return o
}

func (o *owner) append(record string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.records = append(o.records, record)
	want := len(o.records)
	o.journal.Append([]string{record}, func() {
		o.mu.Lock()
		defer o.mu.Unlock()
		o.durable = max(o.durable, want)
	})
}

func (o *owner) waitDurable(t *testing.T) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		o.mu.Lock()
		defer o.mu.Unlock()
		if o.durable < len(o.records) {
			return poll.Continue("%d of %d records are durable", o.durable, len(o.records))
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(5*time.Millisecond))
}

// TestJournalKeepsWhatItConfirmed compares what a successor reads with what was
// confirmed, under lost, late and refused writes and changes of owner.
func TestJournalKeepsWhatItConfirmed(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprintf("seed%d", seed), func(t *testing.T) {
			t.Parallel()
			m := newMemory(seed)
			m.lost, m.refused = 0.2, 0.1
			if seed%2 == 1 {
				m.delay = 60 * time.Millisecond
			}
			var confirmed []string
			for life := range 4 {
				tenure, release := claim(t, m)
				o := openJournal(t, m, tenure)
				assert.Assert(t, len(o.records) >= len(confirmed))
				assert.DeepEqual(t, o.records[:len(confirmed)], confirmed)
				for n := range 30 {
					o.append(fmt.Sprintf("%d-%d", life, n))
					time.Sleep(time.Duration(n%3) * 3 * time.Millisecond)
				}
				if life%2 == 0 {
					o.waitDurable(t)
				}
				release()
				o.mu.Lock()
				confirmed = slices.Clone(o.records[:o.durable])
				o.mu.Unlock()
			}
		})
	}
}

// TestJournalOutlivesItsRing writes more entries than the ring has keys.
func TestJournalOutlivesItsRing(t *testing.T) {
	m := newMemory(1)
	tenure, release := claim(t, m)
	o := openJournal(t, m, tenure)
	for n := range 600 {
		o.append(fmt.Sprint(n))
		o.waitDurable(t)
	}
	release()
	tenure, release = claim(t, m)
	defer release()
	assert.DeepEqual(t, openJournal(t, m, tenure).records, o.records)
}

// TestEntriesBehindAGapAreNotRead lets an owner die with an entry missing, and its
// successor write a few: what lies behind must not come back.
func TestEntriesBehindAGapAreNotRead(t *testing.T) {
	m := newMemory(1)
	tenure, release := claim(t, m)
	o := openJournal(t, m, tenure)
	for n := range 6 {
		o.append(fmt.Sprintf("old%d", n))
		o.waitDurable(t)
	}
	release()
	m.mu.Lock()
	delete(m.items, "citronbay/shard/log/3")
	m.mu.Unlock()
	tenure, release = claim(t, m)
	next := openJournal(t, m, tenure)
	assert.DeepEqual(t, next.records, []string{"old0", "old1"})
	next.append("new")
	next.waitDurable(t)
	release()
	tenure, release = claim(t, m)
	defer release()
	assert.DeepEqual(t, openJournal(t, m, tenure).records, []string{"old0", "old1", "new"})
}

// TestOldOwnerCannotWrite lets an owner go on after another has taken over.
func TestOldOwnerCannotWrite(t *testing.T) {
	m := newMemory(1)
	before, _ := claim(t, m)
	old := openJournal(t, m, before)
	old.append("first")
	old.waitDurable(t)
	m.mu.Lock()
	delete(m.items, store.OwnerKey("shard"))
	m.mu.Unlock()
	after, release := claim(t, m)
	defer release()
	assert.Assert(t, after.Token() > before.Token())
	next := openJournal(t, m, after)
	old.append("second")
	<-before.Context().Done()
	assert.ErrorIs(t, context.Cause(before.Context()), store.ErrDeposed)
	next.append("third")
	next.waitDurable(t)
	assert.DeepEqual(t, next.records, []string{"first", "third"})
	assert.Equal(t, old.durable, 1)
}

// TestWithdrawnRecordsAreNotWritten takes records back while the store refuses.
func TestWithdrawnRecordsAreNotWritten(t *testing.T) {
	m := newMemory(1)
	tenure, release := claim(t, m)
	o := openJournal(t, m, tenure)
	m.mu.Lock()
	m.away = true
	m.mu.Unlock()
	o.append("kept")
	o.append("withdrawn")
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if o.journal.Stalled() == 0 {
			return poll.Continue("no write is under way")
		}
		return poll.Success()
	})
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		o.mu.Lock()
		defer o.mu.Unlock()
		if o.journal.Withdraw(func(r string) bool { return r == "withdrawn" }) != 1 {
			return poll.Continue("the batch is on its way")
		}
		o.records = o.records[:1]
		return poll.Success()
	}, poll.WithDelay(time.Millisecond))
	m.mu.Lock()
	m.away = false
	m.mu.Unlock()
	o.append("last")
	o.waitDurable(t)
	release()
	tenure, release = claim(t, m)
	defer release()
	assert.DeepEqual(t, openJournal(t, m, tenure).records, []string{"kept", "last"})
}
