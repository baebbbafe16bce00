package platform

import (
	"strings"
	"sync"
	"time"

	"github.com/citronbay/citronbay/internal/api/platform"
)

// maxValue is the largest value the store takes, in bytes.
const maxValue = 1 << 20

// Store is an in-memory key-value store. Create it with NewStore.
type Store struct {
	mu       sync.Mutex
	entries  map[string]stored
	revision int64
	changed  chan struct{}
}

type stored struct {
	entry   platform.Entry
	expires time.Time
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{
		entries: map[string]stored{},
		changed: make(chan struct{}),
	}
}

// Get returns the key's entry, or ErrNotFound.
func (s *Store) Get(key string) (platform.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(time.Now())
	found, ok := s.entries[key]
	if !ok || found.entry.Deleted {
		return platform.Entry{}, platform.ErrNotFound
	}
	return found.entry, nil
}

// After returns the entries below the prefix written after the revision, the
// store's revision, and a channel that closes at the next write. Deleted keys
// are left out when after is zero.
func (s *Store) After(prefix string, after int64) (platform.Listing, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(time.Now())
	listing := platform.Listing{
		Entries:  []platform.Entry{},
		Revision: s.revision,
	}
	for key, found := range s.entries {
		if !strings.HasPrefix(key, prefix) || found.entry.Revision <= after {
			continue
		}
		if found.entry.Deleted && after == 0 {
			continue
		}
		listing.Entries = append(listing.Entries, found.entry)
	}
	return listing, s.changed
}

// Write performs a compare-and-swap and returns the new revision.
func (s *Store) Write(request platform.WriteRequest) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(time.Now())
	current := s.entries[request.Key].entry
	if current.Deleted {
		current.Revision = 0
	}
	if current.Revision != request.IfRevision || len(request.Value) > maxValue {
		return 0, platform.ErrConflict
	}
	return s.put(request), nil
}

func (s *Store) put(request platform.WriteRequest) int64 {
	s.revision++
	written := stored{
		entry: platform.Entry{
			Key:      request.Key,
			Value:    request.Value,
			Revision: s.revision,
			Deleted:  request.Delete,
		},
	}
	if request.TTLMillis > 0 {
		written.expires = time.Now().Add(time.Duration(request.TTLMillis) * time.Millisecond)
	}
	s.entries[request.Key] = written
	close(s.changed)
	s.changed = make(chan struct{})
	return s.revision
}

// expire deletes the keys whose lease has ended.
func (s *Store) expire(now time.Time) {
	for key, found := range s.entries {
		if found.expires.IsZero() || now.Before(found.expires) {
			continue
		}
		s.put(platform.WriteRequest{
			Key:    key,
			Delete: true,
		})
	}
}
