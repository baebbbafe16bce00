package upstream

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"testing"

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
	if m.keyValues[request.Key].Revision != request.IfRevision {
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
