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

// retryAfterSeconds is the Retry-After header of rejections with status 503.
const retryAfterSeconds = 1

// Admission decides whether the entry accepts new work and callers' keys.
type Admission interface {
	// RejectReason returns why new work is rejected, or the empty string if it is
	// accepted.
	RejectReason() string
	// RejectsKeys reports whether all keys are rejected because the entry's
	// failure domain is isolated.
	RejectsKeys() bool
}

// Server handles the HTTP requests of callers. Create it with New.
type Server struct {
	router    *shard.Router
	registry  *platform.Registry
	admission Admission
	settings  settings.Entry
	metrics   *metrics.Set
	log       *slog.Logger
}

// New returns a server that passes work to the router.
func New(router *shard.Router, registry *platform.Registry, admission Admission, entrySettings settings.Entry, metricSet *metrics.Set, log *slog.Logger) *Server {
	return &Server{
		router:    router,
		registry:  registry,
		admission: admission,
		settings:  entrySettings,
		metrics:   metricSet,
		log:       log,
	}
}

// Register adds the routes of the API to the mux.
func (s *Server) Register(mux *http.ServeMux) {
	mux.HandleFunc("POST /v1/requests", s.serveRequest)
	mux.HandleFunc("GET /v1/requests/{id}", s.requireTeam(s.queryRequest))
	mux.HandleFunc("DELETE /v1/requests/{id}", s.requireTeam(s.queryRequest))
	mux.HandleFunc("POST /v1/jobs", s.requireTeam(s.submitJob))
	mux.HandleFunc("GET /v1/jobs/{id}", s.requireTeam(s.jobStatus))
	mux.HandleFunc("DELETE /v1/jobs/{id}", s.requireTeam(s.cancelJob))
	mux.HandleFunc("GET /v1/jobs/{id}/explanation", s.requireTeam(s.explainJob))
}

type teamHandler func(w http.ResponseWriter, r *http.Request, team operator.Team)

func (s *Server) requireTeam(next teamHandler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if team, ok := s.authenticate(w, r); ok {
			next(w, r, team)
		}
	}
}

// authenticate returns the team whose key is the request's bearer token. If there
// is none, or the admission rejects all keys, it writes an error response and returns
// false.
func (s *Server) authenticate(w http.ResponseWriter, r *http.Request) (operator.Team, bool) {
	if s.admission.RejectsKeys() {
		writeRejection(w, http.StatusServiceUnavailable, "the failure domain is isolated and its settings reject keys until it is connected again")
		return operator.Team{}, false
	}
	team, err := Authenticate(s.registry, r)
	if err != nil {
		s.metrics.GetOrCreateCounter("citronbay_keys_refused_total").Inc()
		writeRejection(w, http.StatusUnauthorized, err.Error())
		return operator.Team{}, false
	}
	return team, true
}

// requestTeam returns the team that a request to the service is charged to. That is
// the team of the request's key or, if the request has no key, the team that the
// agreement names for a service that accepts such requests. If there is none, it
// writes an error response and returns false.
func (s *Server) requestTeam(w http.ResponseWriter, r *http.Request, service string) (operator.Team, bool) {
	if r.Header.Get("Authorization") == "" {
		if team, ok := s.registry.Team(s.registry.Cell().Open[service]); ok {
			return team, true
		}
	}
	return s.authenticate(w, r)
}

// decode reads and validates a JSON message, in which unknown fields are an error.
// If the message is invalid or new work is rejected, it writes an error response
// and returns false.
func decode[T interface{ Validate() error }](s *Server, w http.ResponseWriter, r *http.Request) (message T, ok bool) {
	if reason := s.admission.RejectReason(); reason != "" {
		w.Header().Set("Connection", "close")
		writeRejection(w, http.StatusServiceUnavailable, reason)
		return message, false
	}
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, s.settings.Limits.BodyBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&message); err != nil {
		writeDecodeError(w, err)
		return message, false
	}
	err := message.Validate()
	var fieldErr *caller.FieldError
	if errors.As(err, &fieldErr) {
		writeJSON(w, http.StatusBadRequest, fieldErr.Problem())
		return message, false
	}
	return message, true
}

func writeDecodeError(w http.ResponseWriter, err error) {
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
		writeJSON(w, http.StatusRequestEntityTooLarge, problem)
		return
	case errors.As(err, &wrongType):
		problem.Field = wrongType.Field
		problem.Value = wrongType.Value
		problem.Bound = wrongType.Type.String()
	case strings.Contains(err.Error(), "unknown field"):
		// encoding/json has no error type for an unknown field.
		_, quoted, _ := strings.Cut(err.Error(), "unknown field ")
		problem.Field, _ = strconv.Unquote(quoted)
		problem.Bound = "the fields named in docs/API.md"
	}
	writeJSON(w, http.StatusBadRequest, problem)
}

func (s *Server) serveRequest(w http.ResponseWriter, r *http.Request) {
	request, ok := decode[caller.Request](s, w, r)
	if !ok {
		return
	}
	team, ok := s.requestTeam(w, r, request.Service)
	if !ok {
		return
	}
	started := time.Now()
	timeout := s.settings.Timings.RequestDeadline
	if request.DeadlineMillis > 0 {
		timeout = time.Duration(request.DeadlineMillis) * time.Millisecond
	}
	// The work goes on if the caller disconnects, so that a retry can learn the
	// fate of the work.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), timeout)
	defer cancel()
	answer := s.router.Serve(ctx, upstream.ServeRequest{
		Request: request,
		Team:    team.Name,
	})
	fate := string(answer.Fate)
	s.metrics.GetOrCreateCounter(fmt.Sprintf("citronbay_requests_total{fate=%q}", fate)).Inc()
	s.metrics.GetOrCreateHistogram("citronbay_request_seconds").UpdateDuration(started)
	s.log.Debug("request ended", "team", team.Name, "request", answer.RequestID, "fate", fate, "upstream", answer.Upstream, "reason", answer.Reason)
	writeFate(w, answer.Fate, answer)
}

// writeFate writes the body with the HTTP status for the fate.
func writeFate(w http.ResponseWriter, fate caller.Fate, body any) {
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
	writeJSON(w, status, body)
}

// queryRequest writes the answer so far of a request that the caller has given an id.
// If the method is DELETE, it cancels the request first.
func (s *Server) queryRequest(w http.ResponseWriter, r *http.Request, team operator.Team) {
	ctx, cancel := context.WithTimeout(r.Context(), s.settings.Timings.RequestDeadline)
	defer cancel()
	reply := s.router.QueryRequest(ctx, shard.RequestQuery{
		Team:      team.Name,
		RequestID: r.PathValue("id"),
		Cancel:    r.Method == http.MethodDelete,
	})
	if !reply.Found {
		writeJSON(w, http.StatusNotFound, caller.Problem{Error: "no reachable owner knows the request"})
		return
	}
	writeJSON(w, http.StatusOK, reply.Answer)
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
		writeJSON(w, http.StatusAccepted, status)
		return
	}
	writeFate(w, status.Fate, status)
}

func (s *Server) jobStatus(w http.ResponseWriter, r *http.Request, team operator.Team) {
	reply, err := s.router.JobStatus(r.Context(), jobRequest(r, team))
	s.writeJobReply(w, reply, err)
}

func (s *Server) cancelJob(w http.ResponseWriter, r *http.Request, team operator.Team) {
	reply, err := s.router.Cancel(r.Context(), jobRequest(r, team))
	s.writeJobReply(w, reply, err)
}

func jobRequest(r *http.Request, team operator.Team) shard.JobRequest {
	return shard.JobRequest{
		Team:  team.Name,
		JobID: r.PathValue("id"),
	}
}

func (s *Server) writeJobReply(w http.ResponseWriter, reply shard.JobReply, err error) {
	switch {
	case err != nil:
		writeJSON(w, http.StatusServiceUnavailable, caller.Problem{Error: err.Error()})
	case !reply.Found:
		writeJSON(w, http.StatusNotFound, caller.Problem{Error: "the team has no such job"})
	default:
		writeJSON(w, http.StatusOK, reply.Status)
	}
}

func (s *Server) explainJob(w http.ResponseWriter, r *http.Request, team operator.Team) {
	request := jobRequest(r, team)
	// Explain does not check that the job is the team's, but JobStatus does.
	reply, err := s.router.JobStatus(r.Context(), request)
	if err != nil || !reply.Found {
		s.writeJobReply(w, reply, err)
		return
	}
	explainReply, err := s.router.Explain(r.Context(), request)
	if err != nil || !explainReply.Found {
		s.writeJobReply(w, shard.JobReply{}, err)
		return
	}
	writeJSON(w, http.StatusOK, explainReply.Explanation)
}

func writeRejection(w http.ResponseWriter, status int, reason string) {
	if status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", strconv.Itoa(retryAfterSeconds))
	}
	writeJSON(w, status, caller.Problem{
		Error: reason,
		Fate:  caller.FateNotRun,
	})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
