package cell

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// storeLatency is the usual time of an answer on the sites' sheets.
	storeLatency = 4 * time.Millisecond
	// maxPageItems and maxPageBytes bound a page of a range.
	maxPageItems = 500
	maxPageBytes = 1 << 20
	// maxValueBytes is the largest value that the store accepts.
	maxValueBytes = 1 << 20
	// maxTxnEntries is the largest number of entries of a transaction.
	maxTxnEntries = 32
)

type kvItem struct {
	Key             string `json:"key"`
	Value           []byte `json:"value,omitempty"`
	Revision        int64  `json:"revision"`
	CreatedRevision int64  `json:"createdRev,omitempty"`
	Lease           int64  `json:"lease,omitempty"`
	IsRemoved       bool   `json:"isRemoved,omitempty"`
}

type kvTxn struct {
	ExpectedRev []struct {
		Key      string `json:"key"`
		Revision int64  `json:"revision"`
	} `json:"expectedRev"`
	Puts []struct {
		Key   string `json:"key"`
		Value []byte `json:"value"`
		Lease int64  `json:"lease"`
	} `json:"puts"`
	Remove []string `json:"remove"`
}

type lease struct {
	ttl    time.Duration
	expiry time.Time
}

// Store is the platform's metadata store, in memory.
type Store struct {
	mu       sync.Mutex
	items    map[string]kvItem
	history  []kvItem
	revision int64
	leases   map[int64]*lease
	lastID   int64
	changed  chan struct{}
	latency  time.Duration
	server   *http.Server
	// Address is where the store listens.
	Address string
}

// NewStore starts a store on a free loopback port.
func NewStore() (*Store, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Store{
		items:   map[string]kvItem{},
		leases:  map[int64]*lease{},
		changed: make(chan struct{}),
		latency: storeLatency,
		Address: listener.Addr().String(),
	}
	s.server = &http.Server{Handler: s}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

// Close stops the store.
func (s *Store) Close() {
	_ = s.server.Close()
}

// Slow makes answers take the given number of times as long as usual.
func (s *Store) Slow(factor float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.latency = time.Duration(factor * float64(storeLatency))
}

// Put writes a key as the operator or a runner does.
func (s *Store) Put(key string, value any) {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.write(key, encoded, 0)
}

// Delete removes a key.
func (s *Store) Delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(key)
}

// Value returns the value of a key, or nil.
func (s *Store) Value(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	return s.items[key].Value
}

func (s *Store) write(key string, value []byte, leaseID int64) {
	item := kvItem{
		Key:             key,
		Value:           value,
		Revision:        s.revision,
		CreatedRevision: s.revision,
		Lease:           leaseID,
	}
	if old, ok := s.items[key]; ok {
		item.CreatedRevision = old.CreatedRevision
	}
	s.items[key] = item
	s.note(item)
}

func (s *Store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.note(kvItem{
		Key:       key,
		Revision:  s.revision,
		IsRemoved: true,
	})
}

// note adds an event to the history that watches read. Only small values are kept in it.
func (s *Store) note(event kvItem) {
	const maxHistory = 4000
	if !strings.HasPrefix(event.Key, "citronbay/") {
		s.history = append(s.history, event)
	}
	if len(s.history) > 2*maxHistory {
		s.history = append([]kvItem(nil), s.history[maxHistory:]...)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) expire() {
	for id, l := range s.leases {
		if time.Now().After(l.expiry) {
			s.endLease(id)
		}
	}
}

func (s *Store) endLease(id int64) {
	delete(s.leases, id)
	for key, item := range s.items {
		if item.Lease == id {
			s.remove(key)
		}
	}
}

func reply(w http.ResponseWriter, code int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_ = json.NewEncoder(w).Encode(body)
}

// ServeHTTP handles one call.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	latency := s.latency
	s.mu.Unlock()
	time.Sleep(latency / 2)
	verb, rest, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/citronbay/"), "/")
	if verb == "kv-watch" {
		s.serveWatch(w, r)
		return
	}
	s.mu.Lock()
	s.expire()
	code, response := s.answer(verb, rest, r, body)
	s.mu.Unlock()
	time.Sleep(latency / 2)
	if response == nil {
		w.WriteHeader(code)
		return
	}
	reply(w, code, response)
}

// answer carries out a call other than a watch. The caller holds s.mu.
func (s *Store) answer(verb, rest string, r *http.Request, body []byte) (int, any) {
	id, _ := strconv.ParseInt(rest, 10, 64)
	switch verb {
	case "kv-key":
		item, ok := s.items[r.URL.Query().Get("key")]
		if !ok {
			return http.StatusNotFound, nil
		}
		return http.StatusOK, item
	case "kv-range":
		return http.StatusOK, s.page(r.URL.Query().Get("prefix"), r.URL.Query().Get("after"))
	case "kv-txn":
		var txn kvTxn
		if json.Unmarshal(body, &txn) != nil {
			return http.StatusBadRequest, nil
		}
		return s.commit(txn)
	case "kv-lease":
		var request struct {
			TTLMS int64 `json:"ttlMs"`
		}
		if json.Unmarshal(body, &request) != nil {
			return http.StatusBadRequest, nil
		}
		s.lastID++
		ttl := time.Duration(request.TTLMS) * time.Millisecond
		s.leases[s.lastID] = &lease{
			ttl:    ttl,
			expiry: time.Now().Add(ttl),
		}
		return http.StatusOK, map[string]int64{"lease": s.lastID, "ttlMs": request.TTLMS}
	case "kv-keep":
		l, ok := s.leases[id]
		if !ok {
			return http.StatusNotFound, nil
		}
		l.expiry = time.Now().Add(l.ttl)
		return http.StatusOK, nil
	case "kv-lease-end":
		if _, ok := s.leases[id]; !ok {
			return http.StatusNotFound, nil
		}
		s.endLease(id)
		return http.StatusOK, nil
	}
	return http.StatusNotFound, nil
}

func (s *Store) page(prefix, after string) any {
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	items := []kvItem{}
	bytes := 0
	for _, key := range keys {
		bytes += len(s.items[key].Value)
		if len(items) > 0 && (len(items) == maxPageItems || bytes > maxPageBytes) {
			break
		}
		items = append(items, s.items[key])
	}
	return map[string]any{
		"items":         items,
		"hasMore":       len(items) < len(keys),
		"storeRevision": s.revision,
	}
}

func (s *Store) commit(txn kvTxn) (int, any) {
	if len(txn.ExpectedRev)+len(txn.Puts)+len(txn.Remove) > maxTxnEntries {
		return http.StatusBadRequest, nil
	}
	current := []kvItem{}
	matches := true
	for _, e := range txn.ExpectedRev {
		item, ok := s.items[e.Key]
		if ok {
			current = append(current, item)
		}
		matches = matches && item.Revision == e.Revision
	}
	if !matches {
		return http.StatusPreconditionFailed, map[string]any{"items": current}
	}
	for _, p := range txn.Puts {
		if len(p.Value) > maxValueBytes {
			return http.StatusBadRequest, nil
		}
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			return http.StatusForbidden, nil
		}
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			return http.StatusNotFound, nil
		}
	}
	s.revision++
	for _, p := range txn.Puts {
		s.write(p.Key, p.Value, p.Lease)
	}
	for _, key := range txn.Remove {
		s.remove(key)
	}
	return http.StatusOK, map[string]int64{"revision": s.revision}
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(query.Get("waitMs"), 10, 64)
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []kvItem{}
		for _, e := range s.history {
			if e.Revision > after && strings.HasPrefix(e.Key, query.Get("prefix")) {
				events = append(events, e)
			}
		}
		response := map[string]any{
			"events":        events,
			"storeRevision": s.revision,
		}
		changed := s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, http.StatusOK, response)
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-deadline:
			reply(w, http.StatusOK, response)
			return
		}
	}
}
