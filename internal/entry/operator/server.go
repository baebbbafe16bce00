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
	// confirmTimeout is how long a response waits at most for the other entries to
	// apply the change.
	confirmTimeout = 3 * time.Second
	// confirmInterval is the interval at which the peers' digests are checked.
	confirmInterval = 50 * time.Millisecond
	// changeTimeout limits the write of a change, retries included.
	changeTimeout = 5 * time.Second
	// maxShare is the largest share of a team, and maxCap its largest cap, in tasks.
	maxShare = 1 << 20
	maxCap   = 1 << 30
)

// Server serves the operators' HTTP API. Create it with New.
type Server struct {
	settings   settings.Entry
	store      apiplatform.Store
	registry   *platform.Registry
	membership *peer.Membership
	router     *shard.Router
	ownStatus  func() operator.EntryStatus
	log        *slog.Logger

	// mu guards pending, which holds withdrawals by the id of the API key.
	mu      sync.Mutex
	pending map[string]withdrawal
}

// New returns a server that writes the operators' changes to the store; ownStatus
// returns the status of the entry itself.
func New(entrySettings settings.Entry, store apiplatform.Store, registry *platform.Registry, membership *peer.Membership, router *shard.Router, ownStatus func() operator.EntryStatus, log *slog.Logger) *Server {
	return &Server{
		settings:   entrySettings,
		store:      store,
		registry:   registry,
		membership: membership,
		router:     router,
		ownStatus:  ownStatus,
		log:        log,
		pending:    map[string]withdrawal{},
	}
}

// Register adds the routes of the operators' API to the mux.
func (s *Server) Register(mux *http.ServeMux) {
	mux.HandleFunc("POST /v1/operator/teams", s.authenticated(s.putTeam))
	mux.HandleFunc("POST /v1/operator/teams/{team}/keys", s.authenticated(s.grantKey))
	mux.HandleFunc("DELETE /v1/operator/teams/{team}/keys/{key}", s.authenticated(s.withdrawKey))
	mux.HandleFunc("GET /v1/operator/presets", s.authenticated(s.getPresets))
	mux.HandleFunc("POST /v1/operator/presets", s.authenticated(s.putPreset))
	mux.HandleFunc("POST /v1/operator/presets/use", s.authenticated(s.usePreset))
	mux.HandleFunc("POST /v1/operator/drains", s.authenticated(s.drainUpstream))
	mux.HandleFunc("POST /v1/operator/queues", s.authenticated(s.openService))
	mux.HandleFunc("GET /v1/operator/cell", s.authenticated(s.getCell))
	mux.HandleFunc("GET /v1/operator/audit", s.authenticated(s.getAudit))
	mux.HandleFunc("GET /v1/operator/jobs/{id}/explanation", s.authenticated(s.explainJob))
}

type operatorHandler func(w http.ResponseWriter, r *http.Request, operatorName string)

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
		writeJSON(w, http.StatusUnauthorized, caller.Problem{Error: "the operator's key is missing or unknown"})
	}
}

func (s *Server) newRecord(operatorName, action, object, from, to string) operator.Record {
	return operator.Record{
		Operator: operatorName,
		Entry:    s.settings.Name,
		Action:   action,
		Object:   object,
		From:     from,
		To:       to,
		Change:   uuid.NewString(),
	}
}

// changeDocument updates one document in the store, applies it to the registry and
// waits at most confirmTimeout until the peers have applied it too. It continues if
// the operator's connection closes, so that a change is not abandoned halfway.
func changeDocument[T any](ctx context.Context, s *Server, key string, record operator.Record, apply apiplatform.Change[T]) (operator.ChangeResponse, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), changeTimeout+confirmTimeout)
	defer cancel()
	writeCtx, cancelWrite := context.WithTimeout(ctx, changeTimeout)
	defer cancelWrite()
	kv, err := apiplatform.Update(writeCtx, s.store, key, record.Change, apply)
	if err != nil {
		return operator.ChangeResponse{}, err
	}
	s.registry.Apply(kv)
	s.log.Info("agreement changed", "operator", record.Operator, "action", record.Action, "object", record.Object, "from", record.From, "to", record.To, "revision", kv.Revision, "change", record.Change)
	confirmed, unreached := s.awaitConfirmations(ctx)
	return operator.ChangeResponse{
		Change:    record.Change,
		Revision:  kv.Revision,
		Durable:   true,
		Confirmed: confirmed,
		Unreached: unreached,
	}, nil
}

// awaitConfirmations waits until every peer is alive and has the same Digest.Config as
// this entry, or confirmTimeout has passed. It returns the names of the entries that
// have it (confirmed, with this entry first) and of the other peers (unreached). A peer
// that the directory no longer lists is never waited for nor listed as unreached.
func (s *Server) awaitConfirmations(ctx context.Context) (confirmed, unreached []string) {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	for {
		want := s.registry.Digest().Config
		confirmed = []string{s.settings.Name}
		unreached = nil
		waiting := false
		for _, status := range s.membership.Peers() {
			switch {
			case status.Alive && status.LastHeartbeat.Digest.Config == want:
				confirmed = append(confirmed, status.Member.Name)
			case !status.Missing:
				unreached = append(unreached, status.Member.Name)
				waiting = true
			}
		}
		if !waiting {
			return confirmed, unreached
		}
		select {
		case <-ctx.Done():
			return confirmed, unreached
		case <-time.After(confirmInterval):
		}
	}
}

// requestError reports that a change was rejected because its request is invalid or
// names an object that does not exist; status is the HTTP status of the response.
type requestError struct {
	problem caller.Problem
	status  int
}

// Error returns the error text of the problem.
func (e *requestError) Error() string {
	return e.problem.Error
}

func newBoundError(field, value, bound string) *requestError {
	return &requestError{
		problem: caller.Problem{
			Error: fmt.Sprintf("%s: invalid value %q: must be %s", field, value, bound),
			Field: field,
			Value: value,
			Bound: bound,
		},
		status: http.StatusBadRequest,
	}
}

func newNotFoundError(object string) *requestError {
	return &requestError{
		problem: caller.Problem{Error: object + " does not exist"},
		status:  http.StatusNotFound,
	}
}

func writeChange(w http.ResponseWriter, response operator.ChangeResponse, err error) {
	var requestErr *requestError
	switch {
	case errors.As(err, &requestErr):
		writeJSON(w, requestErr.status, requestErr.problem)
	case err != nil:
		writeJSON(w, http.StatusServiceUnavailable, caller.Problem{Error: "the change may not have taken effect: " + err.Error()})
	default:
		writeJSON(w, http.StatusOK, response)
	}
}

func readJSON[T any](w http.ResponseWriter, r *http.Request, maxBytes int64) (message T, ok bool) {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&message); err != nil {
		writeJSON(w, http.StatusBadRequest, caller.Problem{Error: "the body is not the JSON message expected: " + err.Error()})
		return message, false
	}
	return message, true
}

// nextRecordTime returns the current time, or a nanosecond after the trail's last
// record if the clock is not past it, so that the times of a trail increase.
func nextRecordTime(trail operator.Trail) time.Time {
	now := time.Now().UTC()
	if len(trail) == 0 || now.After(trail[len(trail)-1].Time) {
		return now
	}
	return trail[len(trail)-1].Time.Add(time.Nanosecond)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
