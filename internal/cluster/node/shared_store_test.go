package node

import (
	"cmp"
	"context"
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronbay/citronbay/internal/cluster/operator"
	"github.com/citronbay/citronbay/internal/cluster/store"
)

// sharedStore is a store in memory for several nodes. Its leases last until they are ended.
type sharedStore struct {
	mu       sync.Mutex
	revision int64
	items    map[string]store.Item
	leases   map[int64]bool
	changed  chan struct{} // closed at the next change
}

func newSharedStore() *sharedStore {
	return &sharedStore{
		items:   map[string]store.Item{},
		leases:  map[int64]bool{},
		changed: make(chan struct{}),
	}
}

// put writes an item; the caller holds s.mu.
func (s *sharedStore) put(p store.Put) {
	item := store.Item{
		Key:            p.Key,
		Value:          p.Value,
		Revision:       s.revision,
		CreateRevision: cmp.Or(s.items[p.Key].CreateRevision, s.revision),
		Lease:          p.Lease,
	}
	s.items[p.Key] = item
}

// advance starts the next revision and wakes the watches; the caller holds s.mu.
func (s *sharedStore) advance() {
	s.revision++
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *sharedStore) putAgreement(t *testing.T, a *operator.Agreement) {
	t.Helper()
	value, err := json.Marshal(a)
	assert.NilError(t, err)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance()
	s.put(store.Put{
		Key:   agreementKey,
		Value: value,
	})
}

func (s *sharedStore) Get(_ context.Context, key string) (store.Item, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	item, ok := s.items[key]
	if !ok {
		return item, store.ErrNotFound
	}
	return item, nil
}

func (s *sharedStore) Range(_ context.Context, prefix string) ([]store.Item, int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.itemsAfter(prefix, 0), s.revision, nil
}

// itemsAfter returns the items that were written after the revision. The caller holds s.mu.
func (s *sharedStore) itemsAfter(prefix string, revision int64) []store.Item {
	var items []store.Item
	for key, item := range s.items {
		if strings.HasPrefix(key, prefix) && item.Revision > revision {
			items = append(items, item)
		}
	}
	slices.SortFunc(items, func(a, b store.Item) int {
		return cmp.Compare(a.Revision, b.Revision)
	})
	return items
}

func (s *sharedStore) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) ([]store.Item, int64, error) {
	timeout := time.After(wait)
	for {
		s.mu.Lock()
		items, revision, changed := s.itemsAfter(prefix, after), s.revision, s.changed
		s.mu.Unlock()
		if len(items) > 0 {
			return items, revision, nil
		}
		select {
		case <-changed:
		case <-timeout:
			return nil, revision, nil
		case <-ctx.Done():
			return nil, 0, store.ErrOutcomeUnknown
		}
	}
}

func (s *sharedStore) Commit(_ context.Context, txn store.Txn) (store.TxnResult, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, revision := range txn.Expect {
		if s.items[key].Revision != revision {
			return store.TxnResult{Current: maps.Clone(s.items)}, nil
		}
	}
	s.advance()
	for _, p := range txn.Puts {
		s.put(p)
	}
	return store.TxnResult{
		Applied:  true,
		Revision: s.revision,
	}, nil
}

func (s *sharedStore) GrantLease(context.Context, time.Duration) (int64, time.Duration, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	lease := int64(len(s.leases) + 1)
	s.leases[lease] = true
	return lease, time.Hour, nil
}

func (s *sharedStore) RenewLease(_ context.Context, lease int64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.leases[lease] {
		return store.ErrNotFound
	}
	return nil
}

func (s *sharedStore) EndLease(_ context.Context, lease int64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leases[lease] = false
	for key, item := range s.items {
		if item.Lease == lease {
			delete(s.items, key)
		}
	}
	return nil
}

// remoteStore is a node's path to a shared store. It delays calls as the function says, and
// the answers of watches as well.
type remoteStore struct {
	*sharedStore
	// delay returns how long a call for the key or prefix takes, or a negative time if it
	// gets no answer.
	delay func(operation, key string) time.Duration
	// leaseTime is the time of a new lease.
	leaseTime time.Duration
}

const (
	noAnswer = -1
	// usualDelay is a round trip to the store from another region.
	usualDelay = 50 * time.Millisecond
)

func (s *remoteStore) wait(ctx context.Context, operation, key string) error {
	var answered <-chan time.Time
	if d := s.delay(operation, key); d >= 0 {
		answered = time.After(d)
	}
	select {
	case <-answered:
		return nil
	case <-ctx.Done():
		return store.ErrOutcomeUnknown
	}
}

func (s *remoteStore) Get(ctx context.Context, key string) (store.Item, error) {
	if err := s.wait(ctx, "get", key); err != nil {
		return store.Item{}, err
	}
	return s.sharedStore.Get(ctx, key)
}

func (s *remoteStore) Range(ctx context.Context, prefix string) ([]store.Item, int64, error) {
	if err := s.wait(ctx, "range", prefix); err != nil {
		return nil, 0, err
	}
	return s.sharedStore.Range(ctx, prefix)
}

func (s *remoteStore) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) ([]store.Item, int64, error) {
	items, revision, err := s.sharedStore.Watch(ctx, prefix, after, wait)
	if err == nil {
		err = s.wait(ctx, "watch", prefix)
	}
	return items, revision, err
}

func (s *remoteStore) Commit(ctx context.Context, txn store.Txn) (store.TxnResult, error) {
	if err := s.wait(ctx, "commit", ""); err != nil {
		return store.TxnResult{}, err
	}
	return s.sharedStore.Commit(ctx, txn)
}

func (s *remoteStore) GrantLease(ctx context.Context, ttl time.Duration) (int64, time.Duration, error) {
	lease, _, err := s.sharedStore.GrantLease(ctx, ttl)
	return lease, s.leaseTime, err
}

func (s *remoteStore) RenewLease(ctx context.Context, lease int64) error {
	if err := s.wait(ctx, "renew", ""); err != nil {
		return err
	}
	return s.sharedStore.RenewLease(ctx, lease)
}
