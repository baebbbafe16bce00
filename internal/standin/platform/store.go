package platform

import (
	"strings"
	"sync"
	"time"

	"github.com/citronbay/citronbay/internal/api/platform"
)

// maxValueBytes is the largest value that the store accepts.
const maxValueBytes = 1 << 20

// Store is an in-memory key-value store with a store-wide revision. Create it
// with NewStore.
type Store struct {
	mu       sync.Mutex
	records  map[string]record
	revision int64
	changed  chan struct{}
}

type record struct {
	kv      platform.KeyValue
	expires time.Time // zero if the key does not expire
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{
		records: map[string]record{},
		changed: make(chan struct{}),
	}
}

// Get returns the key with its value, or ErrNotFound.
func (s *Store) Get(key string) (platform.KeyValue, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireKeys(time.Now())
	current, ok := s.records[key]
	if !ok || current.kv.Deleted {
		return platform.KeyValue{}, platform.ErrNotFound
	}
	return current.kv, nil
}

// KeyValuesAfter returns the keys with the prefix written after the given revision and
// their values, with the store's revision, and a channel that closes at the next write.
// Deleted keys are left out when after is zero.
func (s *Store) KeyValuesAfter(prefix string, after int64) (platform.Listing, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireKeys(time.Now())
	listing := platform.Listing{
		KeyValues: []platform.KeyValue{},
		Revision:  s.revision,
	}
	for key, current := range s.records {
		if !strings.HasPrefix(key, prefix) || current.kv.Revision <= after {
			continue
		}
		if current.kv.Deleted && after == 0 {
			continue
		}
		listing.KeyValues = append(listing.KeyValues, current.kv)
	}
	return listing, s.changed
}

// Write performs a compare-and-swap and returns the new revision, or ErrConflict
// when the key's revision differs or the value is larger than 1 MiB.
func (s *Store) Write(request platform.WriteRequest) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireKeys(time.Now())
	current := s.records[request.Key].kv
	if current.Deleted {
		current.Revision = 0
	}
	if current.Revision != request.IfRevision || len(request.Value) > maxValueBytes {
		return 0, platform.ErrConflict
	}
	return s.putRecord(request), nil
}

// putRecord and expireKeys must be called with s.mu held.
func (s *Store) putRecord(request platform.WriteRequest) int64 {
	s.revision++
	written := record{
		kv: platform.KeyValue{
			Key:      request.Key,
			Value:    request.Value,
			Revision: s.revision,
			Deleted:  request.Delete,
		},
	}
	if request.TTLMillis > 0 {
		written.expires = time.Now().Add(time.Duration(request.TTLMillis) * time.Millisecond)
	}
	s.records[request.Key] = written
	close(s.changed)
	s.changed = make(chan struct{})
	return s.revision
}

// expireKeys deletes the keys whose TTL has passed. It runs at the start of each
// call. Between calls an expired key stays, and waiting watches are not notified.
func (s *Store) expireKeys(now time.Time) {
	for key, current := range s.records {
		if current.expires.IsZero() || now.Before(current.expires) {
			continue
		}
		s.putRecord(platform.WriteRequest{
			Key:    key,
			Delete: true,
		})
	}
}
