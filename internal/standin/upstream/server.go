package upstream

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/citronbay/citronbay/internal/api/upstream"
)

// Handler returns the handler of the upstream's HTTP API and, below /standin/, of the
// calls that set the faults and read what the upstream has observed.
func (u *Upstream) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/lease", handleWhenUnfrozen(u, u.serveLease))
	mux.HandleFunc("POST /v1/start", handleWhenUnfrozen(u, u.serveStart))
	mux.HandleFunc("POST /v1/stop", handleWhenUnfrozen(u, u.serveStop))
	mux.HandleFunc("POST /v1/result", handleWhenUnfrozen(u, u.serveResult))
	mux.HandleFunc("POST /standin/faults", u.serveFaults)
	mux.HandleFunc("GET /standin/observed", u.serveObserved)
	return mux
}

// handleWhenUnfrozen decodes the request, waits while the fault Freeze is set, and
// calls next.
func handleWhenUnfrozen[T any](u *Upstream, next func(http.ResponseWriter, *http.Request, T)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var message T
		if err := json.NewDecoder(r.Body).Decode(&message); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		u.mu.Lock()
		unfrozen := u.unfrozen
		u.mu.Unlock()
		<-unfrozen
		next(w, r, message)
	}
}

func (u *Upstream) serveLease(w http.ResponseWriter, r *http.Request, request upstream.LeaseRequest) {
	response, refusal := u.Lease(request)
	if refusal == "" && request.WaitMillis > 0 && len(response.Ended) == 0 {
		u.waitForEnd(r, request)
		response = u.StatusAfter(request.SeenSequence)
	}
	writeResponse(w, response, refusal)
}

func (u *Upstream) waitForEnd(r *http.Request, request upstream.LeaseRequest) {
	ended, taskEnded := u.HasEndedAfter(request.SeenSequence)
	if ended {
		return
	}
	timer := time.NewTimer(time.Duration(request.WaitMillis) * time.Millisecond)
	defer timer.Stop()
	select {
	case <-taskEnded:
	case <-timer.C:
	case <-r.Context().Done():
	}
}

func (u *Upstream) serveStart(w http.ResponseWriter, r *http.Request, request upstream.StartRequest) {
	done, refusal := u.Start(request)
	if refusal != "" {
		writeResponse(w, upstream.TaskResponse{}, refusal)
		return
	}
	if !request.Wait {
		writeResponse(w, u.Describe(request.Task), "")
		return
	}
	u.respondWhenDone(w, r, request.Task, done)
}

func (u *Upstream) respondWhenDone(w http.ResponseWriter, r *http.Request, task string, done <-chan struct{}) {
	select {
	case <-done:
	case <-r.Context().Done():
		return
	}
	u.mu.Lock()
	faults := u.faults
	response := u.describe(task)
	previous := u.lastResponse
	u.lastResponse = response
	u.mu.Unlock()
	time.Sleep(time.Duration(faults.ResponseDelayMillis) * time.Millisecond)
	if faults.SendPreviousResponse && previous.Task != "" {
		response = previous
	}
	if faults.TruncateResponses {
		writeTruncated(w, response)
	}
	writeResponse(w, response, "")
}

func writeTruncated(w http.ResponseWriter, response upstream.TaskResponse) {
	encoded, _ := json.Marshal(response)
	_, _ = w.Write(encoded[:len(encoded)/2])
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

func (u *Upstream) serveStop(w http.ResponseWriter, _ *http.Request, request upstream.StopRequest) {
	response, refusal := u.Stop(request)
	writeResponse(w, response, refusal)
}

func (u *Upstream) serveResult(w http.ResponseWriter, r *http.Request, request upstream.StopRequest) {
	if done := u.Done(request.Task); done != nil {
		u.respondWhenDone(w, r, request.Task, done)
		return
	}
	writeResponse(w, u.Describe(request.Task), "")
}

func (u *Upstream) serveFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	u.SetFaults(faults)
	writeResponse(w, faults, "")
}

func (u *Upstream) serveObserved(w http.ResponseWriter, _ *http.Request) {
	writeResponse(w, u.Observe(), "")
}

func writeResponse(w http.ResponseWriter, body any, refusal string) {
	w.Header().Set("Content-Type", "application/json")
	if refusal != "" {
		w.WriteHeader(http.StatusConflict)
		body = upstream.TaskResponse{
			State:  upstream.StateRefused,
			Reason: refusal,
		}
	}
	_ = json.NewEncoder(w).Encode(body)
}
