package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// storeDelay is what the store takes for an answer, in the site files.
	storeDelay = 4 * time.Millisecond
	// A page of a range holds at most pageItems items and, after the first, pageBytes of values.
	pageItems = 500
	pageBytes = 1 << 20
)

// item is a key of the store with its value, or the removal of a key.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"createdRev,omitempty"`
	Lease    int64  `json:"lease,omitempty"`
	Removed  bool   `json:"isRemoved,omitempty"`
}

// platformStore is an in-memory key-value store with the platform's protocol.
type platformStore struct {
	mu       sync.Mutex
	items    map[string]item
	history  []item
	revision int64
	expiry   map[int64]time.Time // by lease
	ttl      map[int64]time.Duration
	changed  chan struct{}
}

func newPlatformStore() *platformStore {
	return &platformStore{
		items:    map[string]item{},
		revision: 100,
		expiry:   map[int64]time.Time{},
		ttl:      map[int64]time.Duration{},
		changed:  make(chan struct{}),
	}
}

// put writes a key as the operator or a runner does.
func (s *platformStore) put(key string, value any) {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.write(item{
		Key:   key,
		Value: encoded,
	})
}

// get returns the value of the key, or nil.
func (s *platformStore) get(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	return s.items[key].Value
}

// remove deletes a key as a runner that leaves does.
func (s *platformStore) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeLocked(key)
}

func (s *platformStore) removeLocked(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	s.revision++
	s.recordRemoval(key)
}

func (s *platformStore) recordRemoval(key string) {
	s.record(item{
		Key:      key,
		Revision: s.revision,
		Removed:  true,
	})
}

// write sets the key at the present revision; the caller holds s.mu.
func (s *platformStore) write(i item) {
	i.Revision, i.Created = s.revision, s.revision
	if old, ok := s.items[i.Key]; ok {
		i.Created = old.Created
	}
	s.items[i.Key] = i
	s.record(i)
}

func (s *platformStore) record(i item) {
	s.history = append(s.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire ends the leases whose time is over; the caller holds s.mu.
func (s *platformStore) expire() {
	now := time.Now()
	for lease, at := range s.expiry {
		if now.After(at) {
			s.endLease(lease)
		}
	}
}

func (s *platformStore) endLease(lease int64) {
	delete(s.expiry, lease)
	for key, i := range s.items {
		if i.Lease == lease {
			s.removeLocked(key)
		}
	}
}

// expireLoop removes the keys of ended leases, so that watches see it.
func (s *platformStore) expireLoop() {
	for {
		time.Sleep(20 * time.Millisecond)
		s.mu.Lock()
		s.expire()
		s.mu.Unlock()
	}
}

// ServeHTTP answers one call of the store's protocol.
func (s *platformStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	path := strings.TrimPrefix(r.URL.Path, "/citronbay/")
	verb, id, _ := strings.Cut(path, "/")
	switch verb {
	case "kv-key":
		s.serveKey(w, r)
	case "kv-range":
		s.serveRange(w, r)
	case "kv-watch":
		s.serveWatch(w, r)
	case "kv-txn":
		s.serveTxn(w, r)
	case "kv-lease":
		s.serveLease(w, r)
	case "kv-keep":
		s.serveKeep(w, id)
	case "kv-lease-end":
		s.serveLeaseEnd(w, id)
	default:
		w.WriteHeader(http.StatusBadRequest)
	}
}

// reply writes a response with a JSON body.
func reply(w http.ResponseWriter, code int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *platformStore) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	i, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		reply(w, http.StatusNotFound, map[string]any{"storeRevision": s.revision})
		return
	}
	reply(w, http.StatusOK, map[string]any{
		"key": i.Key, "value": i.Value, "revision": i.Revision, "createdRev": i.Created, "lease": i.Lease,
		"storeRevision": s.revision,
	})
}

func (s *platformStore) serveRange(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	q := r.URL.Query()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, q.Get("prefix")) && key > q.Get("after") {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	list := []item{}
	size := 0
	for _, key := range keys {
		size += len(s.items[key].Value) * 4 / 3
		if len(list) == pageItems || len(list) > 0 && size > pageBytes {
			break
		}
		list = append(list, s.items[key])
	}
	reply(w, http.StatusOK, map[string]any{"items": list, "hasMore": len(list) < len(keys), "storeRevision": s.revision})
}

func (s *platformStore) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(q.Get("waitMs"), 10, 64)
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []item{}
		first := sort.Search(len(s.history), func(n int) bool { return s.history[n].Revision > after })
		for _, e := range s.history[first:] {
			if strings.HasPrefix(e.Key, q.Get("prefix")) {
				events = append(events, e)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "storeRevision": revision})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-deadline:
			reply(w, http.StatusOK, map[string]any{"events": events, "storeRevision": revision})
			return
		}
	}
}

func (s *platformStore) serveTxn(w http.ResponseWriter, r *http.Request) {
	var txn struct {
		ExpectedRev []struct {
			Key      string `json:"key"`
			Revision int64  `json:"revision"`
		} `json:"expectedRev"`
		Puts   []item   `json:"puts"`
		Remove []string `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&txn) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	matches := true
	current := []item{}
	for _, e := range txn.ExpectedRev {
		i, ok := s.items[e.Key]
		if ok {
			current = append(current, i)
		}
		matches = matches && i.Revision == e.Revision
	}
	if !matches {
		reply(w, http.StatusPreconditionFailed, map[string]any{"items": current, "storeRevision": s.revision})
		return
	}
	for _, p := range txn.Puts {
		if _, ok := s.expiry[p.Lease]; p.Lease != 0 && !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	s.revision++
	for _, p := range txn.Puts {
		s.write(item{
			Key:   p.Key,
			Value: p.Value,
			Lease: p.Lease,
		})
	}
	for _, key := range txn.Remove {
		if _, ok := s.items[key]; ok {
			delete(s.items, key)
			s.recordRemoval(key)
		}
	}
	reply(w, http.StatusOK, map[string]any{"revision": s.revision, "storeRevision": s.revision})
}

func (s *platformStore) serveLease(w http.ResponseWriter, r *http.Request) {
	var request struct {
		TTLMillis int64 `json:"ttlMs"`
	}
	if json.NewDecoder(r.Body).Decode(&request) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	ttl := time.Duration(max(1000, request.TTLMillis)) * time.Millisecond
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	lease := s.revision
	s.expiry[lease], s.ttl[lease] = time.Now().Add(ttl), ttl
	reply(w, http.StatusOK, map[string]any{"lease": lease, "ttlMs": ttl.Milliseconds()})
}

func (s *platformStore) serveKeep(w http.ResponseWriter, id string) {
	lease, _ := strconv.ParseInt(id, 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	if _, ok := s.expiry[lease]; !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.expiry[lease] = time.Now().Add(s.ttl[lease])
	reply(w, http.StatusOK, map[string]any{"ttlMs": s.ttl[lease].Milliseconds()})
}

func (s *platformStore) serveLeaseEnd(w http.ResponseWriter, id string) {
	lease, _ := strconv.ParseInt(id, 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.expiry[lease]; !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.endLease(lease)
	reply(w, http.StatusOK, map[string]any{})
}
