package caller

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/citronbay/citronbay/internal/api/caller"
	"github.com/citronbay/citronbay/internal/api/operator"
	"github.com/citronbay/citronbay/internal/entry/platform"
	"github.com/citronbay/citronbay/internal/entry/settings"
	"github.com/citronbay/citronbay/internal/entry/shard"
	"github.com/citronbay/citronbay/internal/entry/upstream"
)

// retryAfterSeconds is what a caller is told to wait after a refusal.
const retryAfterSeconds = 1

// Gate tells whether the entry takes new work.
type Gate interface {
	// Closed returns why no new work is taken, or nothing.
	Closed() string
	// KeysRefused reports whether keys are refused since the entry's failure
	// domain is isolated.
	KeysRefused() bool
}

// Server serves callers. Create it with New.
type Server struct {
	router   *shard.Router
	registry *platform.Registry
	gate     Gate
	settings settings.Entry
	metrics  *metrics.Set
	log      *slog.Logger
}

// New returns a server that hands work to the router.
func New(router *shard.Router, registry *platform.Registry, gate Gate, entry settings.Entry, set *metrics.Set, log *slog.Logger) *Server {
	return &Server{
		router:   router,
		registry: registry,
		gate:     gate,
		settings: entry,
		metrics:  set,
		log:      log,
	}
}

// Register adds the callers' paths to the mux.
func (s *Server) Register(mux *http.ServeMux) {
	mux.HandleFunc("POST /v1/requests", s.serveRequest)
	mux.HandleFunc("GET /v1/requests/{id}", s.authenticated(s.askRequest))
	mux.HandleFunc("DELETE /v1/requests/{id}", s.authenticated(s.askRequest))
	mux.HandleFunc("POST /v1/jobs", s.authenticated(s.submitJob))
	mux.HandleFunc("GET /v1/jobs/{id}", s.authenticated(s.jobStatus))
	mux.HandleFunc("DELETE /v1/jobs/{id}", s.authenticated(s.cancelJob))
	mux.HandleFunc("GET /v1/jobs/{id}/explanation", s.authenticated(s.explainJob))
}

type teamHandler func(w http.ResponseWriter, r *http.Request, team operator.Team)

func (s *Server) authenticated(next teamHandler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if team, ok := s.authenticate(w, r); ok {
			next(w, r, team)
		}
	}
}

// authenticate returns the team whose key the request shows, or answers that
// there is none.
func (s *Server) authenticate(w http.ResponseWriter, r *http.Request) (operator.Team, bool) {
	if s.gate.KeysRefused() {
		refuse(w, http.StatusServiceUnavailable, "the failure domain is isolated and its settings refuse keys meanwhile")
		return operator.Team{}, false
	}
	team, err := Authenticate(s.registry, r)
	if err != nil {
		s.metrics.GetOrCreateCounter("citronbay_keys_refused_total").Inc()
		refuse(w, http.StatusUnauthorized, err.Error())
		return operator.Team{}, false
	}
	return team, true
}

// requester returns the team that a request counts for: the one whose key it
// shows, or, without a key, the one of a service that is open to all.
func (s *Server) requester(w http.ResponseWriter, r *http.Request, service string) (operator.Team, bool) {
	if r.Header.Get("Authorization") == "" {
		if team, ok := s.registry.Team(s.registry.Cell().Open[service]); ok {
			return team, true
		}
	}
	return s.authenticate(w, r)
}

// decode reads a message, strictly, or answers with what is wrong with it.
func decode[T interface{ Validate() error }](s *Server, w http.ResponseWriter, r *http.Request) (message T, ok bool) {
	if reason := s.gate.Closed(); reason != "" {
		w.Header().Set("Connection", "close")
		refuse(w, http.StatusServiceUnavailable, reason)
		return message, false
	}
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, s.settings.Limits.BodyBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&message); err != nil {
		answerDecodeError(w, err)
		return message, false
	}
	err := message.Validate()
	var field *caller.FieldError
	if errors.As(err, &field) {
		answer(w, http.StatusBadRequest, field.Problem())
		return message, false
	}
	return message, true
}

func answerDecodeError(w http.ResponseWriter, err error) {
	var tooLarge *http.MaxBytesError
	var wrongType *json.UnmarshalTypeError
	problem := caller.Problem{
		Error: "the body is not the JSON message expected: " + err.Error(),
		Fate:  caller.FateNotRun,
	}
	switch {
	case errors.As(err, &tooLarge):
		problem.Field = "body"
		problem.Bound = fmt.Sprintf("at most %d bytes", tooLarge.Limit)
		answer(w, http.StatusRequestEntityTooLarge, problem)
		return
	case errors.As(err, &wrongType):
		problem.Field = wrongType.Field
		problem.Value = wrongType.Value
		problem.Bound = wrongType.Type.String()
	case strings.Contains(err.Error(), "unknown field"):
		_, quoted, _ := strings.Cut(err.Error(), "unknown field ")
		problem.Field, _ = strconv.Unquote(quoted)
		problem.Bound = "the fields named in docs/API.md"
	}
	answer(w, http.StatusBadRequest, problem)
}

func (s *Server) serveRequest(w http.ResponseWriter, r *http.Request) {
	request, ok := decode[caller.Request](s, w, r)
	if !ok {
		return
	}
	team, ok := s.requester(w, r, request.Service)
	if !ok {
		return
	}
	begun := time.Now()
	limit := s.settings.Timings.RequestDeadline
	if request.DeadlineMillis > 0 {
		limit = time.Duration(request.DeadlineMillis) * time.Millisecond
	}
	// A caller that goes away does not end the work: its fate must be known
	// to a retry.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), limit)
	defer cancel()
	found := s.router.Serve(ctx, upstream.ServeRequest{
		Request: request,
		Team:    team.Name,
	})
	fate := string(found.Fate)
	s.metrics.GetOrCreateCounter(fmt.Sprintf("citronbay_requests_total{fate=%q}", fate)).Inc()
	s.metrics.GetOrCreateHistogram("citronbay_request_seconds").UpdateDuration(begun)
	s.log.Debug("request ended", "team", team.Name, "request", found.RequestID, "fate", fate, "upstream", found.Upstream, "reason", found.Reason)
	answerFate(w, found.Fate, found)
}

// answerFate answers with the status that belongs to the fate.
func answerFate(w http.ResponseWriter, fate caller.Fate, body any) {
	status := http.StatusOK
	switch fate {
	case caller.FateNotRun:
		w.Header().Set("Retry-After", strconv.Itoa(retryAfterSeconds))
		status = http.StatusServiceUnavailable
	case caller.FateFailed:
		status = http.StatusBadGateway
	case caller.FateUnknown:
		status = http.StatusGatewayTimeout
	}
	answer(w, status, body)
}

// askRequest tells what is known of a request that its caller has named, and
// cancels it on DELETE.
func (s *Server) askRequest(w http.ResponseWriter, r *http.Request, team operator.Team) {
	ctx, cancel := context.WithTimeout(r.Context(), s.settings.Timings.RequestDeadline)
	defer cancel()
	reply := s.router.QueryRequest(ctx, shard.RequestQuery{
		Team:      team.Name,
		RequestID: r.PathValue("id"),
		Cancel:    r.Method == http.MethodDelete,
	})
	if !reply.Found {
		answer(w, http.StatusNotFound, caller.Problem{Error: "no owner that can be reached knows the request"})
		return
	}
	answer(w, http.StatusOK, reply.Answer)
}

func (s *Server) submitJob(w http.ResponseWriter, r *http.Request, team operator.Team) {
	job, ok := decode[caller.Job](s, w, r)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), s.settings.Timings.RequestDeadline)
	defer cancel()
	status := s.router.Submit(ctx, upstream.SubmitRequest{
		Job:  job,
		Team: team.Name,
	})
	s.log.Info("job submitted", "team", team.Name, "job", status.JobID, "kind", string(job.Kind), "tasks", job.Tasks, "fate", string(status.Fate), "reason", status.Reason)
	if status.Fate == caller.FateInProgress {
		answer(w, http.StatusAccepted, status)
		return
	}
	answerFate(w, status.Fate, status)
}

func (s *Server) jobStatus(w http.ResponseWriter, r *http.Request, team operator.Team) {
	reply, err := s.router.Job(r.Context(), jobRequest(r, team))
	s.answerJob(w, reply, err)
}

func (s *Server) cancelJob(w http.ResponseWriter, r *http.Request, team operator.Team) {
	reply, err := s.router.Cancel(r.Context(), jobRequest(r, team))
	s.answerJob(w, reply, err)
}

func jobRequest(r *http.Request, team operator.Team) shard.JobRequest {
	return shard.JobRequest{
		Team:  team.Name,
		JobID: r.PathValue("id"),
	}
}

func (s *Server) answerJob(w http.ResponseWriter, reply shard.JobReply, err error) {
	switch {
	case err != nil:
		answer(w, http.StatusServiceUnavailable, caller.Problem{Error: err.Error()})
	case !reply.Found:
		answer(w, http.StatusNotFound, caller.Problem{Error: "the team has no such job"})
	default:
		answer(w, http.StatusOK, reply.Status)
	}
}

func (s *Server) explainJob(w http.ResponseWriter, r *http.Request, team operator.Team) {
	request := jobRequest(r, team)
	reply, err := s.router.Job(r.Context(), request)
	if err != nil || !reply.Found {
		s.answerJob(w, reply, err)
		return
	}
	explained, err := s.router.Explain(r.Context(), request)
	if err != nil || !explained.Found {
		s.answerJob(w, shard.JobReply{}, err)
		return
	}
	answer(w, http.StatusOK, explained.Explanation)
}

func refuse(w http.ResponseWriter, status int, reason string) {
	if status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", strconv.Itoa(retryAfterSeconds))
	}
	answer(w, status, caller.Problem{
		Error: reason,
		Fate:  caller.FateNotRun,
	})
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
