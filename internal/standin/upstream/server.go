package upstream

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/citronbay/citronbay/internal/api/upstream"
)

// Handler returns the HTTP interface of the upstream, of its faults and of
// what it observed.
func (u *Upstream) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/lease", frozen(u, u.serveLease))
	mux.HandleFunc("POST /v1/start", frozen(u, u.serveStart))
	mux.HandleFunc("POST /v1/stop", frozen(u, u.serveStop))
	mux.HandleFunc("POST /v1/result", frozen(u, u.serveResult))
	mux.HandleFunc("POST /standin/faults", u.serveFaults)
	mux.HandleFunc("GET /standin/observed", u.serveObserved)
	return mux
}

// frozen decodes a call's message, and holds it while the upstream is frozen.
func frozen[T any](u *Upstream, next func(http.ResponseWriter, *http.Request, T)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var message T
		if err := json.NewDecoder(r.Body).Decode(&message); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		u.mu.Lock()
		thaw := u.thaw
		u.mu.Unlock()
		<-thaw
		next(w, r, message)
	}
}

func (u *Upstream) serveLease(w http.ResponseWriter, r *http.Request, request upstream.LeaseRequest) {
	response, refused := u.Lease(request)
	if refused == "" && request.WaitMillis > 0 && len(response.Ended) == 0 {
		u.awaitNews(r, request)
		response = u.News(request.SeenSequence)
	}
	answer(w, response, refused)
}

func (u *Upstream) awaitNews(r *http.Request, request upstream.LeaseRequest) {
	news, signal := u.HasNews(request.SeenSequence)
	if news {
		return
	}
	timer := time.NewTimer(time.Duration(request.WaitMillis) * time.Millisecond)
	defer timer.Stop()
	select {
	case <-signal:
	case <-timer.C:
	case <-r.Context().Done():
	}
}

func (u *Upstream) serveStart(w http.ResponseWriter, r *http.Request, request upstream.StartRequest) {
	done, refused := u.Start(request)
	if refused != "" {
		answer(w, upstream.TaskResponse{}, refused)
		return
	}
	if !request.Wait {
		answer(w, u.Describe(request.Task), "")
		return
	}
	u.answerWhenDone(w, r, request.Task, done)
}

func (u *Upstream) answerWhenDone(w http.ResponseWriter, r *http.Request, task string, done <-chan struct{}) {
	select {
	case <-done:
	case <-r.Context().Done():
		return
	}
	u.mu.Lock()
	faults := u.faults
	response := u.describe(task)
	earlier := u.last
	u.last = response
	u.mu.Unlock()
	time.Sleep(time.Duration(faults.AnswerMillis) * time.Millisecond)
	if faults.CrossAnswers && earlier.Task != "" {
		response = earlier
	}
	if faults.CutAnswers {
		cutAnswer(w, response)
	}
	answer(w, response, "")
}

func cutAnswer(w http.ResponseWriter, response upstream.TaskResponse) {
	encoded, _ := json.Marshal(response)
	_, _ = w.Write(encoded[:len(encoded)/2])
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

func (u *Upstream) serveStop(w http.ResponseWriter, _ *http.Request, request upstream.StopRequest) {
	response, refused := u.Stop(request)
	answer(w, response, refused)
}

func (u *Upstream) serveResult(w http.ResponseWriter, r *http.Request, request upstream.StopRequest) {
	if done := u.Done(request.Task); done != nil {
		u.answerWhenDone(w, r, request.Task, done)
		return
	}
	answer(w, u.Describe(request.Task), "")
}

func (u *Upstream) serveFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	u.SetFaults(faults)
	answer(w, faults, "")
}

func (u *Upstream) serveObserved(w http.ResponseWriter, _ *http.Request) {
	answer(w, u.Observe(), "")
}

func answer(w http.ResponseWriter, body any, refused string) {
	w.Header().Set("Content-Type", "application/json")
	if refused != "" {
		w.WriteHeader(http.StatusConflict)
		body = upstream.TaskResponse{
			State:  upstream.StateRefused,
			Reason: refused,
		}
	}
	_ = json.NewEncoder(w).Encode(body)
}
