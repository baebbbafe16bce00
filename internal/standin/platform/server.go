package platform

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/citronbay/citronbay/internal/api/platform"
)

// Faults are the failures that the stand-in brings about.
type Faults struct {
	// Down refuses every call to the store and the directory.
	Down bool `json:"down"`
	// SlowMillis delays every call to the store.
	SlowMillis int64 `json:"slowMillis"`
	// LoseAnswers lets writes take effect and then cuts their connection.
	LoseAnswers bool `json:"loseAnswers"`
	// DropWatches answers watches as if nothing had changed.
	DropWatches bool `json:"dropWatches"`
	// StaleReads answers reads with the value before the last write.
	StaleReads bool `json:"staleReads"`
	// FreezeDirectory answers with the directory as it was when it was set.
	FreezeDirectory bool `json:"freezeDirectory"`
}

// Calls counts the calls that the store has taken.
type Calls struct {
	Reads   int64 `json:"reads"`
	Watches int64 `json:"watches"`
	Writes  int64 `json:"writes"`
}

// Server serves a store and a directory over HTTP.
type Server struct {
	store *Store

	mu       sync.Mutex
	faults   Faults
	calls    Calls
	vms      map[string]platform.VM
	frozen   []platform.VM
	previous map[string]platform.Entry
}

// NewServer returns a server of an empty store and directory.
func NewServer() *Server {
	return &Server{
		store:    NewStore(),
		vms:      map[string]platform.VM{},
		previous: map[string]platform.Entry{},
	}
}

// SetFaults replaces the faults in force.
func (s *Server) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if faults.FreezeDirectory && !s.faults.FreezeDirectory {
		s.frozen = s.list()
	}
	s.faults = faults
}

// Calls returns the calls taken so far.
func (s *Server) Calls() Calls {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// SetVM adds or replaces a VM of the directory; an empty state removes it.
func (s *Server) SetVM(vm platform.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if vm.State == "" {
		delete(s.vms, vm.Name)
		return
	}
	s.vms[vm.Name] = vm
}

func (s *Server) list() []platform.VM {
	vms := make([]platform.VM, 0, len(s.vms))
	for _, vm := range s.vms {
		vms = append(vms, vm)
	}
	return vms
}

// Handler returns the HTTP interface of the platform and of its faults.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv", s.faulty(s.get))
	mux.HandleFunc("POST /v1/kv", s.faulty(s.write))
	mux.HandleFunc("GET /v1/list", s.faulty(s.listKeys))
	mux.HandleFunc("GET /v1/watch", s.faulty(s.watch))
	mux.HandleFunc("GET /v1/vms", s.faulty(s.listVMs))
	mux.HandleFunc("POST /standin/vms", s.setVM)
	mux.HandleFunc("POST /standin/faults", s.setFaults)
	mux.HandleFunc("GET /standin/calls", s.getCalls)
	return mux
}

func (s *Server) faulty(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		faults := s.currentFaults()
		if faults.Down {
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		}
		if faults.SlowMillis > 0 {
			time.Sleep(time.Duration(faults.SlowMillis) * time.Millisecond)
		}
		next(w, r)
	}
}

func (s *Server) currentFaults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

func (s *Server) count(change func(*Calls)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.calls)
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	s.count(func(c *Calls) { c.Reads++ })
	key := r.URL.Query().Get("key")
	entry, err := s.store.Get(key)
	if s.currentFaults().StaleReads {
		s.mu.Lock()
		if older, ok := s.previous[key]; ok {
			entry, err = older, nil
		}
		s.mu.Unlock()
	}
	reply(w, entry, err)
}

func (s *Server) listKeys(w http.ResponseWriter, r *http.Request) {
	s.count(func(c *Calls) { c.Reads++ })
	listing, _ := s.store.After(r.URL.Query().Get("prefix"), 0)
	if s.currentFaults().StaleReads {
		s.mu.Lock()
		for i, entry := range listing.Entries {
			if older, ok := s.previous[entry.Key]; ok {
				listing.Entries[i] = older
			}
		}
		s.mu.Unlock()
	}
	reply(w, listing, nil)
}

func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	s.count(func(c *Calls) { c.Watches++ })
	query := r.URL.Query()
	after, err := strconv.ParseInt(query.Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "after: not a number", http.StatusBadRequest)
		return
	}
	wait, err := strconv.ParseInt(query.Get("waitMillis"), 10, 64)
	if err != nil {
		http.Error(w, "waitMillis: not a number", http.StatusBadRequest)
		return
	}
	end := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer end.Stop()
	for {
		listing, changed := s.store.After(query.Get("prefix"), after)
		if s.currentFaults().DropWatches {
			listing.Entries = []platform.Entry{}
		}
		if len(listing.Entries) > 0 {
			reply(w, listing, nil)
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-end.C:
			reply(w, listing, nil)
			return
		}
	}
}

func (s *Server) write(w http.ResponseWriter, r *http.Request) {
	s.count(func(c *Calls) { c.Writes++ })
	var request platform.WriteRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	before, found := s.store.Get(request.Key)
	revision, err := s.store.Write(request)
	if err == nil && found == nil {
		s.mu.Lock()
		s.previous[request.Key] = before
		s.mu.Unlock()
	}
	if err == nil && s.currentFaults().LoseAnswers {
		panic(http.ErrAbortHandler)
	}
	reply(w, platform.WriteResponse{Revision: revision}, err)
}

func (s *Server) listVMs(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	vms := s.frozen
	if !s.faults.FreezeDirectory {
		vms = s.list()
	}
	s.calls.Reads++
	s.mu.Unlock()
	reply(w, vms, nil)
}

func (s *Server) setVM(w http.ResponseWriter, r *http.Request) {
	var vm platform.VM
	if err := json.NewDecoder(r.Body).Decode(&vm); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetVM(vm)
	reply(w, vm, nil)
}

func (s *Server) setFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(faults)
	reply(w, faults, nil)
}

func (s *Server) getCalls(w http.ResponseWriter, _ *http.Request) {
	reply(w, s.Calls(), nil)
}

func reply(w http.ResponseWriter, body any, err error) {
	switch {
	case errors.Is(err, platform.ErrNotFound):
		http.Error(w, err.Error(), http.StatusNotFound)
	case errors.Is(err, platform.ErrConflict):
		http.Error(w, err.Error(), http.StatusConflict)
	case err != nil:
		http.Error(w, err.Error(), http.StatusInternalServerError)
	default:
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(body)
	}
}
