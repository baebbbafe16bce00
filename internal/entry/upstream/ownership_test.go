package upstream

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronbay/citronbay/internal/api/platform"
)

var errLost = errors.New("lost")

// memoryStore is a store in memory.
type memoryStore struct {
	platform.Store

	keyValues map[string]platform.KeyValue
	revision  int64
	// afterWrite is called after a write, and its error returned; nil means no error.
	afterWrite func() error
	// unavailable makes writes fail without effect.
	unavailable bool
}

func newMemoryStore() *memoryStore {
	return &memoryStore{keyValues: map[string]platform.KeyValue{}}
}

func (m *memoryStore) Get(_ context.Context, key string) (platform.KeyValue, error) {
	kv, ok := m.keyValues[key]
	if !ok {
		return kv, platform.ErrNotFound
	}
	return kv, nil
}

func (m *memoryStore) Write(_ context.Context, request platform.WriteRequest) (int64, error) {
	switch {
	case m.unavailable:
		return 0, errLost
	case m.keyValues[request.Key].Revision != request.IfRevision:
		return 0, platform.ErrConflict
	}
	m.revision++
	m.keyValues[request.Key] = platform.KeyValue{
		Key:      request.Key,
		Value:    request.Value,
		Revision: m.revision,
	}
	if m.afterWrite != nil {
		return m.revision, m.afterWrite()
	}
	return m.revision, nil
}

// newOwner returns a shard with the store, owned by the holder.
func newOwner(store platform.Store, holder string) *Shard {
	return NewShard(Options{
		Name:   "shard",
		Holder: holder,
		Store:  store,
		Log:    slog.New(slog.NewTextHandler(io.Discard, nil)),
	})
}

// TestTermsOfOwnershipDiffer guards against an owner with the term of another one, whose late
// writes of units are then not rejected: an entry that owns the shard for the second time in
// one run of its process, or that learns late that its write of the term took effect.
func TestTermsOfOwnershipDiffer(t *testing.T) {
	for name, holders := range map[string][]string{
		"same entry again":           {"entry-0#1", "entry-0#1"},
		"same entry after another":   {"entry-0#1", "entry-1#1", "entry-0#1"},
		"both entries several times": {"entry-0#1", "entry-1#1", "entry-0#1", "entry-1#1", "entry-0#1"},
	} {
		t.Run(name, func(t *testing.T) {
			store := newMemoryStore()
			for n, holder := range holders {
				s := newOwner(store, holder)
				for range 2 {
					assert.Assert(t, s.acquireTerm(t.Context()))
				}
				assert.Equal(t, s.units.term, int64(n+1))
			}
		})
	}
	t.Run("another entry before the answer", func(t *testing.T) {
		store := newMemoryStore()
		later := newOwner(store, "entry-1#1")
		store.afterWrite = func() error {
			store.afterWrite = nil
			assert.Assert(t, later.acquireTerm(t.Context()))
			return errLost
		}
		s := newOwner(store, "entry-0#1")
		for range 2 {
			assert.Assert(t, !s.acquireTerm(t.Context()), "has term %d", s.units.term)
		}
		assert.Equal(t, later.units.term, int64(2))
		assert.Assert(t, s.Superseded())
	})
}

// TestSaveIsNotConfirmedByEarlierTerm guards against a failed save that counts as done, since
// the stored record has the same version and was written by the same entry, in an earlier term
// of ownership. The upstreams would then forget ends that no record has.
func TestSaveIsNotConfirmedByEarlierTerm(t *testing.T) {
	store := newMemoryStore()
	record := JobRecord{
		JobID:     "shard.1",
		States:    string([]byte{taskWaiting, taskWaiting}),
		Submitted: time.Now(),
	}
	complete := func(s *Shard, index int) *job {
		s.mu.Lock()
		defer s.mu.Unlock()
		if kv, ok := store.keyValues[s.recordKey(record.JobID)]; ok {
			s.restore(kv)
		} else {
			s.jobs[record.JobID] = newJob(record)
		}
		j := s.jobs[record.JobID]
		j.setState(index, taskCompleted)
		return j
	}
	first := newOwner(store, "entry-0#1")
	assert.NilError(t, first.save(t.Context(), complete(first, 0)))
	second := newOwner(store, "entry-0#1")
	j := complete(second, 1)
	store.unavailable = true
	assert.ErrorIs(t, second.save(t.Context(), j), errLost)
	assert.Assert(t, j.dirty)
	store.unavailable = false
	assert.NilError(t, second.save(t.Context(), j))
	_, stored, err := second.readRecord(t.Context(), record.JobID)
	assert.NilError(t, err)
	assert.Equal(t, stored.States, string([]byte{taskCompleted, taskCompleted}))
}

// TestSupersededOwnerDoesNotServe guards against an owner that answers callers, and accepts
// their cancellations, after it has learned that another one has taken over.
func TestSupersededOwnerDoesNotServe(t *testing.T) {
	s, l := newTestLink(t, func(http.ResponseWriter, *http.Request) {})
	l.epoch, l.claimed, l.leaseUntil = 1, true, 3000
	l.clock.observe(time.Now(), time.Now(), 1000)
	assert.Equal(t, s.HeldLeases(), 1)
	assert.Assert(t, s.markSupersededIfClaimed(l))
	assert.Equal(t, s.HeldLeases(), 0)
}
