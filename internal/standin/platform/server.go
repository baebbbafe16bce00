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

// Faults selects the faults that the stand-in injects.
type Faults struct {
	// Down answers every call to the store and the directory with status 503.
	Down bool `json:"down"`
	// DelayMillis delays every call to the store and the directory, in milliseconds.
	DelayMillis int64 `json:"slowMillis"`
	// LoseWriteResponses applies writes and then closes the connection without a
	// response.
	LoseWriteResponses bool `json:"loseAnswers"`
	// DropWatches answers watches with no keys once their wait has passed, but
	// with the current revision, so that the watcher misses the changes.
	DropWatches bool `json:"dropWatches"`
	// StaleReads answers gets and lists with the value and revision that each key had
	// before its last write. A key that did not exist before is answered as it is.
	StaleReads bool `json:"staleReads"`
	// FreezeDirectory answers calls to the directory with the VMs that it listed when
	// the fault was set.
	FreezeDirectory bool `json:"freezeDirectory"`
}

// Calls counts the calls to the store and the directory by kind; a list of VMs
// counts as a read.
type Calls struct {
	Reads   int64 `json:"reads"`
	Watches int64 `json:"watches"`
	Writes  int64 `json:"writes"`
}

// Server serves a store and a directory over HTTP.
type Server struct {
	store *Store

	mu                sync.Mutex
	faults            Faults
	calls             Calls
	vms               map[string]platform.VM
	frozenVMs         []platform.VM
	previousKeyValues map[string]platform.KeyValue
}

// NewServer returns a server with an empty store and directory.
func NewServer() *Server {
	return &Server{
		store:             NewStore(),
		vms:               map[string]platform.VM{},
		previousKeyValues: map[string]platform.KeyValue{},
	}
}

// SetFaults replaces the injected faults.
func (s *Server) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if faults.FreezeDirectory && !s.faults.FreezeDirectory {
		s.frozenVMs = s.currentVMs()
	}
	s.faults = faults
}

// Calls returns the number of calls served so far, without those refused by the
// fault Down.
func (s *Server) Calls() Calls {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// SetVM adds a VM to the directory or replaces it; an empty state removes it.
func (s *Server) SetVM(vm platform.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if vm.State == "" {
		delete(s.vms, vm.Name)
		return
	}
	s.vms[vm.Name] = vm
}

// currentVMs must be called with s.mu held.
func (s *Server) currentVMs() []platform.VM {
	vms := make([]platform.VM, 0, len(s.vms))
	for _, vm := range s.vms {
		vms = append(vms, vm)
	}
	return vms
}

// Handler returns the handler of the platform's HTTP API and, below /standin/, of the
// calls that set the faults and the directory and read the call counts.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv", s.withFaults(s.get))
	mux.HandleFunc("POST /v1/kv", s.withFaults(s.write))
	mux.HandleFunc("GET /v1/list", s.withFaults(s.listKeys))
	mux.HandleFunc("GET /v1/watch", s.withFaults(s.watch))
	mux.HandleFunc("GET /v1/vms", s.withFaults(s.listVMs))
	mux.HandleFunc("POST /standin/vms", s.setVM)
	mux.HandleFunc("POST /standin/faults", s.setFaults)
	mux.HandleFunc("GET /standin/calls", s.getCalls)
	return mux
}

func (s *Server) withFaults(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		faults := s.currentFaults()
		if faults.Down {
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		}
		if faults.DelayMillis > 0 {
			time.Sleep(time.Duration(faults.DelayMillis) * time.Millisecond)
		}
		next(w, r)
	}
}

func (s *Server) currentFaults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

func (s *Server) countCall(change func(*Calls)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.calls)
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	s.countCall(func(c *Calls) { c.Reads++ })
	key := r.URL.Query().Get("key")
	kv, err := s.store.Get(key)
	if s.currentFaults().StaleReads {
		s.mu.Lock()
		if previous, ok := s.previousKeyValues[key]; ok {
			kv, err = previous, nil
		}
		s.mu.Unlock()
	}
	writeResponse(w, kv, err)
}

func (s *Server) listKeys(w http.ResponseWriter, r *http.Request) {
	s.countCall(func(c *Calls) { c.Reads++ })
	listing, _ := s.store.KeyValuesAfter(r.URL.Query().Get("prefix"), 0)
	if s.currentFaults().StaleReads {
		s.mu.Lock()
		for i, kv := range listing.KeyValues {
			if previous, ok := s.previousKeyValues[kv.Key]; ok {
				listing.KeyValues[i] = previous
			}
		}
		s.mu.Unlock()
	}
	writeResponse(w, listing, nil)
}

func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	s.countCall(func(c *Calls) { c.Watches++ })
	query := r.URL.Query()
	after, err := strconv.ParseInt(query.Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "after: not an integer", http.StatusBadRequest)
		return
	}
	wait, err := strconv.ParseInt(query.Get("waitMillis"), 10, 64)
	if err != nil {
		http.Error(w, "waitMillis: not an integer", http.StatusBadRequest)
		return
	}
	timeout := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timeout.Stop()
	for {
		listing, changed := s.store.KeyValuesAfter(query.Get("prefix"), after)
		if s.currentFaults().DropWatches {
			listing.KeyValues = []platform.KeyValue{}
		}
		if len(listing.KeyValues) > 0 {
			writeResponse(w, listing, nil)
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timeout.C:
			writeResponse(w, listing, nil)
			return
		}
	}
}

func (s *Server) write(w http.ResponseWriter, r *http.Request) {
	s.countCall(func(c *Calls) { c.Writes++ })
	var request platform.WriteRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	previous, getErr := s.store.Get(request.Key)
	revision, err := s.store.Write(request)
	if err == nil && getErr == nil {
		s.mu.Lock()
		s.previousKeyValues[request.Key] = previous
		s.mu.Unlock()
	}
	if err == nil && s.currentFaults().LoseWriteResponses {
		panic(http.ErrAbortHandler)
	}
	writeResponse(w, platform.WriteResponse{Revision: revision}, err)
}

func (s *Server) listVMs(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	vms := s.frozenVMs
	if !s.faults.FreezeDirectory {
		vms = s.currentVMs()
	}
	s.calls.Reads++
	s.mu.Unlock()
	writeResponse(w, vms, nil)
}

func (s *Server) setVM(w http.ResponseWriter, r *http.Request) {
	var vm platform.VM
	if err := json.NewDecoder(r.Body).Decode(&vm); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetVM(vm)
	writeResponse(w, vm, nil)
}

func (s *Server) setFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(faults)
	writeResponse(w, faults, nil)
}

func (s *Server) getCalls(w http.ResponseWriter, _ *http.Request) {
	writeResponse(w, s.Calls(), nil)
}

func writeResponse(w http.ResponseWriter, body any, err error) {
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
