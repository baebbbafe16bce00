package shard

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/citronbay/citronbay/internal/cluster/store"
)

// memoryStore is a store in memory. Its leases end only by EndLease, but while expired is
// set, new ones are over from the start and cannot be renewed.
type memoryStore struct {
	mu       sync.Mutex
	items    map[string]store.Item
	revision int64
	expired  atomic.Bool
}

func newMemoryStore() *memoryStore {
	return &memoryStore{items: map[string]store.Item{}}
}

func (m *memoryStore) Get(_ context.Context, key string) (store.Item, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	item, ok := m.items[key]
	if !ok {
		return item, store.ErrNotFound
	}
	return item, nil
}

func (m *memoryStore) Range(_ context.Context, prefix string) ([]store.Item, int64, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var items []store.Item
	for _, key := range slices.Sorted(maps.Keys(m.items)) {
		if strings.HasPrefix(key, prefix) {
			items = append(items, m.items[key])
		}
	}
	return items, m.revision, nil
}

func (m *memoryStore) Watch(ctx context.Context, _ string, after int64, wait time.Duration) ([]store.Item, int64, error) {
	select {
	case <-ctx.Done():
		return nil, 0, ctx.Err()
	case <-time.After(wait):
		return nil, after, nil
	}
}

func (m *memoryStore) Commit(_ context.Context, txn store.Txn) (store.TxnResult, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	result := store.TxnResult{
		Applied: true,
		Current: map[string]store.Item{},
	}
	for key, revision := range txn.Expect {
		item, ok := m.items[key]
		if ok {
			result.Current[key] = item
		}
		result.Applied = result.Applied && item.Revision == revision
	}
	if !result.Applied {
		return result, nil
	}
	m.revision++
	for _, p := range txn.Puts {
		created := m.revision
		if item, ok := m.items[p.Key]; ok {
			created = item.CreateRevision
		}
		m.items[p.Key] = store.Item{
			Key:            p.Key,
			Value:          p.Value,
			Revision:       m.revision,
			CreateRevision: created,
			Lease:          p.Lease,
		}
	}
	result.Revision = m.revision
	return result, nil
}

func (m *memoryStore) GrantLease(context.Context, time.Duration) (int64, time.Duration, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.revision++
	if m.expired.Load() {
		return m.revision, -time.Second, nil
	}
	return m.revision, time.Hour, nil
}

func (m *memoryStore) RenewLease(context.Context, int64) error {
	if m.expired.Load() {
		return store.ErrNotApplied
	}
	return nil
}

func (m *memoryStore) EndLease(_ context.Context, lease int64) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	maps.DeleteFunc(m.items, func(_ string, item store.Item) bool {
		return item.Lease == lease
	})
	return nil
}
