package operator

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/citronbay/citronbay/internal/api/caller"
	"github.com/citronbay/citronbay/internal/api/operator"
	apiplatform "github.com/citronbay/citronbay/internal/api/platform"
	"github.com/citronbay/citronbay/internal/entry/peer"
	"github.com/citronbay/citronbay/internal/entry/platform"
	"github.com/citronbay/citronbay/internal/entry/settings"
	"github.com/citronbay/citronbay/internal/entry/shard"
)

const (
	// confirmTimeout is how long an answer waits for entries to confirm.
	confirmTimeout = 3 * time.Second
	// confirmPause is the interval at which confirmations are looked for.
	confirmPause = 50 * time.Millisecond
	// changeTimeout bounds the write of a change.
	changeTimeout = 5 * time.Second
	// maxShare and maxCap bound the agreement's numbers.
	maxShare = 1 << 20
	maxCap   = 1 << 30
)

// Server serves operators. Create it with New.
type Server struct {
	settings   settings.Entry
	store      apiplatform.Store
	registry   *platform.Registry
	membership *peer.Membership
	router     *shard.Router
	self       func() operator.EntryStatus
	log        *slog.Logger

	mu      sync.Mutex
	pending map[string]withdrawal
}

// New returns a server that changes the agreement in the store; self gives the
// status of the entry itself.
func New(entry settings.Entry, store apiplatform.Store, registry *platform.Registry, membership *peer.Membership, router *shard.Router, self func() operator.EntryStatus, log *slog.Logger) *Server {
	return &Server{
		settings:   entry,
		store:      store,
		registry:   registry,
		membership: membership,
		router:     router,
		self:       self,
		log:        log,
		pending:    map[string]withdrawal{},
	}
}

// Register adds the operators' paths to the mux.
func (s *Server) Register(mux *http.ServeMux) {
	mux.HandleFunc("POST /v1/operator/teams", s.authenticated(s.putTeam))
	mux.HandleFunc("POST /v1/operator/teams/{team}/keys", s.authenticated(s.grantKey))
	mux.HandleFunc("DELETE /v1/operator/teams/{team}/keys/{key}", s.authenticated(s.withdrawKey))
	mux.HandleFunc("GET /v1/operator/presets", s.authenticated(s.getPresets))
	mux.HandleFunc("POST /v1/operator/presets", s.authenticated(s.putPreset))
	mux.HandleFunc("POST /v1/operator/presets/use", s.authenticated(s.usePreset))
	mux.HandleFunc("POST /v1/operator/drains", s.authenticated(s.drain))
	mux.HandleFunc("POST /v1/operator/queues", s.authenticated(s.openQueue))
	mux.HandleFunc("GET /v1/operator/cell", s.authenticated(s.cell))
	mux.HandleFunc("GET /v1/operator/audit", s.authenticated(s.audit))
	mux.HandleFunc("GET /v1/operator/jobs/{id}/explanation", s.authenticated(s.explain))
}

type operatorHandler func(w http.ResponseWriter, r *http.Request, name string)

func (s *Server) authenticated(next operatorHandler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		key, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		sum := sha256.Sum256([]byte(key))
		for _, known := range s.settings.Operators {
			hash, err := hex.DecodeString(known.KeyHash)
			if err == nil && subtle.ConstantTimeCompare(sum[:], hash) == 1 {
				next(w, r, known.Name)
				return
			}
		}
		answer(w, http.StatusUnauthorized, caller.Problem{Error: "the operator's key is missing or unknown"})
	}
}

func (s *Server) record(name, action, object, from, to string) operator.Record {
	return operator.Record{
		Operator: name,
		Entry:    s.settings.Name,
		Action:   action,
		Object:   object,
		From:     from,
		To:       to,
		Change:   uuid.NewString(),
	}
}

// change writes one document with its audit record and returns where it is in
// force.
func change[T any](ctx context.Context, s *Server, key string, record operator.Record, apply apiplatform.Change[T]) (operator.ChangeResponse, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), changeTimeout+confirmTimeout)
	defer cancel()
	writeCtx, cancelWrite := context.WithTimeout(ctx, changeTimeout)
	defer cancelWrite()
	entry, err := apiplatform.Update(writeCtx, s.store, key, record.Change, apply)
	if err != nil {
		return operator.ChangeResponse{}, err
	}
	s.registry.Apply(entry)
	s.log.Info("agreement changed", "operator", record.Operator, "action", record.Action, "object", record.Object, "from", record.From, "to", record.To, "revision", entry.Revision, "change", record.Change)
	inForce, unreached := s.confirm(ctx)
	return operator.ChangeResponse{
		Change:    record.Change,
		Revision:  entry.Revision,
		Durable:   true,
		InForce:   inForce,
		Unreached: unreached,
	}, nil
}

// confirm waits until all entries that are heard hold what this one does, and
// returns the names of those that do and of those that do not.
func (s *Server) confirm(ctx context.Context) (inForce, unreached []string) {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	for {
		want := s.registry.Digest().Config
		inForce = []string{s.settings.Name}
		unreached = nil
		waiting := false
		for _, status := range s.membership.Peers() {
			switch {
			case status.Heard && status.Beat.Digest.Config == want:
				inForce = append(inForce, status.Member.Name)
			case !status.Missing:
				unreached = append(unreached, status.Member.Name)
				waiting = true
			}
		}
		if !waiting {
			return inForce, unreached
		}
		select {
		case <-ctx.Done():
			return inForce, unreached
		case <-time.After(confirmPause):
		}
	}
}

// invalid is a change that the agreement's rules refuse.
type invalid struct {
	problem caller.Problem
	status  int
}

// Error returns the problem's text.
func (e *invalid) Error() string {
	return e.problem.Error
}

func bad(field, value, bound string) *invalid {
	return &invalid{
		problem: caller.Problem{
			Error: fmt.Sprintf("%s: %q breaks the bound: %s", field, value, bound),
			Field: field,
			Value: value,
			Bound: bound,
		},
		status: http.StatusBadRequest,
	}
}

func missing(object string) *invalid {
	return &invalid{
		problem: caller.Problem{Error: object + " does not exist"},
		status:  http.StatusNotFound,
	}
}

func answerChange(w http.ResponseWriter, response operator.ChangeResponse, err error) {
	var refused *invalid
	switch {
	case errors.As(err, &refused):
		answer(w, refused.status, refused.problem)
	case err != nil:
		answer(w, http.StatusServiceUnavailable, caller.Problem{Error: "the change may not have been accepted: " + err.Error()})
	default:
		answer(w, http.StatusOK, response)
	}
}

func read[T any](w http.ResponseWriter, r *http.Request, limit int64) (message T, ok bool) {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, limit))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&message); err != nil {
		answer(w, http.StatusBadRequest, caller.Problem{Error: "the body is not the JSON message expected: " + err.Error()})
		return message, false
	}
	return message, true
}

// after returns a time for a new record that is later than the trail's last.
func after(trail operator.Trail) time.Time {
	now := time.Now().UTC()
	if len(trail) == 0 || now.After(trail[len(trail)-1].Time) {
		return now
	}
	return trail[len(trail)-1].Time.Add(time.Nanosecond)
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
