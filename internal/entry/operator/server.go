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
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/citronbay/citronbay/internal/api/caller"
	"github.com/citronbay/citronbay/internal/api/operator"
	apiplatform "github.com/citronbay/citronbay/internal/api/platform"
	entrycaller "github.com/citronbay/citronbay/internal/entry/caller"
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

func (s *Server) putTeam(w http.ResponseWriter, r *http.Request, name string) {
	request, ok := read[operator.TeamRequest](w, r, s.settings.Limits.BodyBytes)
	if !ok {
		return
	}
	if refused := checkTeam(request); refused != nil {
		answerChange(w, operator.ChangeResponse{}, refused)
		return
	}
	record := s.record(name, "team", request.Name, "", "")
	response, err := change(r.Context(), s, operator.TeamPrefix+request.Name, record, func(team operator.Team, exists bool) (operator.Team, error) {
		if !exists && (request.Share == nil || request.Cap == nil) {
			return team, missing("team " + request.Name)
		}
		record.From = describeTeam(team, exists)
		team.Name = request.Name
		if request.Share != nil {
			team.Share = *request.Share
		}
		if request.Cap != nil {
			team.Cap = *request.Cap
		}
		record.To = describeTeam(team, true)
		record.Time = after(team.Audit)
		return team.WithAudit(record), nil
	})
	answerChange(w, response, err)
}

func describeTeam(team operator.Team, exists bool) string {
	if !exists {
		return ""
	}
	return fmt.Sprintf("share=%d cap=%d", team.Share, team.Cap)
}

func checkTeam(request operator.TeamRequest) *invalid {
	name := request.Name
	if name == "" || len(name) > 64 || strings.ContainsAny(name, "/. \t\n#") {
		return bad("name", name, "1 to 64 characters without spaces, slashes, dots or #")
	}
	if request.Share != nil && (*request.Share < 1 || *request.Share > maxShare) {
		return bad("share", fmt.Sprint(*request.Share), fmt.Sprintf("1 to %d", maxShare))
	}
	if request.Cap != nil && (*request.Cap < 0 || *request.Cap > maxCap) {
		return bad("cap", fmt.Sprint(*request.Cap), fmt.Sprintf("0 to %d", maxCap))
	}
	return nil
}

func (s *Server) grantKey(w http.ResponseWriter, r *http.Request, name string) {
	team := r.PathValue("team")
	key, text := entrycaller.NewKey(team, time.Now().UTC())
	record := s.record(name, "grantKey", team, "", key.ID)
	response, err := change(r.Context(), s, operator.TeamPrefix+team, record, func(old operator.Team, exists bool) (operator.Team, error) {
		if !exists {
			return old, missing("team " + team)
		}
		record.Time = after(old.Audit)
		return old.WithKey(key).WithAudit(record), nil
	})
	response.KeyID = key.ID
	response.Secret = text
	answerChange(w, response, err)
}

// updateCell changes the presets' document, which begins with the defaults.
func (s *Server) updateCell(ctx context.Context, record operator.Record, apply func(operator.Cell) (operator.Cell, operator.Record, error)) (operator.ChangeResponse, error) {
	return change(ctx, s, operator.CellKey, record, func(cell operator.Cell, exists bool) (operator.Cell, error) {
		if !exists {
			cell = operator.DefaultCell()
		}
		next, described, err := apply(cell)
		if err != nil {
			return cell, err
		}
		described.Time = after(cell.Audit)
		return next.WithAudit(described), nil
	})
}

func (s *Server) getPresets(w http.ResponseWriter, _ *http.Request, _ string) {
	cell := s.registry.Cell()
	cell.Audit = nil
	answer(w, http.StatusOK, cell)
}

func (s *Server) putPreset(w http.ResponseWriter, r *http.Request, name string) {
	request, ok := read[operator.PresetRequest](w, r, s.settings.Limits.BodyBytes)
	if !ok {
		return
	}
	if refused := checkPreset(request); refused != nil {
		answerChange(w, operator.ChangeResponse{}, refused)
		return
	}
	record := s.record(name, "putPreset", request.Name, "", fmt.Sprintf("%+v", *request.Preset))
	response, err := s.updateCell(r.Context(), record, func(cell operator.Cell) (operator.Cell, operator.Record, error) {
		if old, ok := cell.Presets[request.Name]; ok {
			record.From = fmt.Sprintf("%+v", old)
		}
		return cell.WithPreset(request.Name, *request.Preset), record, nil
	})
	answerChange(w, response, err)
}

func checkPreset(request operator.PresetRequest) *invalid {
	switch {
	case request.Preset == nil || request.Name == "" || len(request.Name) > 64:
		return bad("name", request.Name, "1 to 64 characters, with a preset")
	case request.Preset.MaxQueue < 1 || request.Preset.MaxQueue > 1<<20:
		return bad("preset.maxQueue", fmt.Sprint(request.Preset.MaxQueue), fmt.Sprintf("1 to %d", 1<<20))
	case request.Preset.RetryPercent < 0 || request.Preset.RetryPercent > 100:
		return bad("preset.retryPercent", fmt.Sprint(request.Preset.RetryPercent), "0 to 100")
	}
	return nil
}

func (s *Server) usePreset(w http.ResponseWriter, r *http.Request, name string) {
	request, ok := read[operator.PresetRequest](w, r, s.settings.Limits.BodyBytes)
	if !ok {
		return
	}
	record := s.record(name, "usePreset", "cell", "", request.Name)
	response, err := s.updateCell(r.Context(), record, func(cell operator.Cell) (operator.Cell, operator.Record, error) {
		if _, ok := cell.Presets[request.Name]; !ok {
			return cell, record, missing("preset " + request.Name)
		}
		record.From = cell.InForce
		cell.InForce = request.Name
		return cell, record, nil
	})
	answerChange(w, response, err)
}

func (s *Server) drain(w http.ResponseWriter, r *http.Request, name string) {
	request, ok := read[operator.DrainRequest](w, r, s.settings.Limits.BodyBytes)
	if !ok {
		return
	}
	if request.Upstream == "" || len(request.Upstream) > 64 {
		answerChange(w, operator.ChangeResponse{}, bad("upstream", request.Upstream, "1 to 64 characters"))
		return
	}
	record := s.record(name, "drain", request.Upstream, "", fmt.Sprintf("drained=%t", !request.Undo))
	response, err := s.updateCell(r.Context(), record, func(cell operator.Cell) (operator.Cell, operator.Record, error) {
		return cell.WithDrained(request.Upstream, !request.Undo), record, nil
	})
	answerChange(w, response, err)
}

func (s *Server) openQueue(w http.ResponseWriter, r *http.Request, name string) {
	request, ok := read[operator.OpenRequest](w, r, s.settings.Limits.BodyBytes)
	if !ok {
		return
	}
	if request.Service == "" || len(request.Service) > caller.MaxName {
		answerChange(w, operator.ChangeResponse{}, bad("service", request.Service, fmt.Sprintf("1 to %d characters", caller.MaxName)))
		return
	}
	if _, known := s.registry.Team(request.Team); request.Team != "" && !known {
		answerChange(w, operator.ChangeResponse{}, missing("team "+request.Team))
		return
	}
	record := s.record(name, "openQueue", request.Service, "", request.Team)
	response, err := s.updateCell(r.Context(), record, func(cell operator.Cell) (operator.Cell, operator.Record, error) {
		record.From = cell.Open[request.Service]
		return cell.WithOpen(request.Service, request.Team), record, nil
	})
	answerChange(w, response, err)
}

func (s *Server) cell(w http.ResponseWriter, r *http.Request, _ string) {
	status := operator.CellStatus{
		Preset:  s.registry.Cell().InForce,
		Entries: []operator.EntryStatus{s.self()},
		Shards:  s.router.Shards(r.Context()),
	}
	for _, p := range s.membership.Peers() {
		status.Entries = append(status.Entries, operator.EntryStatus{
			Name:        p.Member.Name,
			Domain:      p.Member.Domain,
			Region:      p.Member.Region,
			Alive:       p.Heard,
			Owns:        p.Heard && p.Beat.Owns(),
			Draining:    p.Beat.Draining,
			Revision:    p.Beat.Digest.Revision,
			Preset:      p.Beat.Preset,
			Incarnation: p.Beat.Incarnation,
		})
	}
	status.Teams = s.teams(status.Shards)
	answer(w, http.StatusOK, status)
}

// teams sums up what the shards tell of each team.
func (s *Server) teams(shards []operator.ShardStatus) []operator.TeamView {
	views := []operator.TeamView{}
	for name, team := range s.registry.Teams() {
		view := operator.TeamView{
			Name:  name,
			Share: team.Share,
			Cap:   team.Cap,
			Held:  s.registry.Units(name).Sum(),
		}
		for _, key := range team.Keys {
			view.Keys = append(view.Keys, operator.KeyView{
				ID:        key.ID,
				Granted:   key.Granted,
				Withdrawn: key.Withdrawn || s.registry.IsWithdrawn(key.ID),
			})
		}
		for _, sh := range shards {
			for _, use := range sh.Teams {
				if use.Team == name {
					view.Running += use.Running
					view.Waiting += use.Waiting
				}
			}
		}
		views = append(views, view)
	}
	slices.SortFunc(views, func(a, b operator.TeamView) int { return strings.Compare(a.Name, b.Name) })
	return views
}

func (s *Server) audit(w http.ResponseWriter, _ *http.Request, _ string) {
	entries := []operator.AuditEntry{}
	for _, entry := range s.registry.Entries() {
		for _, record := range trailOf(entry) {
			entries = append(entries, operator.AuditEntry{
				Key:      entry.Key,
				Revision: entry.Revision,
				Record:   record,
			})
		}
	}
	slices.SortFunc(entries, func(a, b operator.AuditEntry) int { return a.Record.Time.Compare(b.Record.Time) })
	answer(w, http.StatusOK, entries)
}

// after returns a time for a new record that is later than the trail's last.
func after(trail operator.Trail) time.Time {
	now := time.Now().UTC()
	if len(trail) == 0 || now.After(trail[len(trail)-1].Time) {
		return now
	}
	return trail[len(trail)-1].Time.Add(time.Nanosecond)
}

func trailOf(entry apiplatform.Entry) operator.Trail {
	if entry.Key == operator.CellKey {
		document, err := apiplatform.Decode[operator.Cell](entry)
		if err == nil {
			return document.Body.Audit
		}
	}
	if strings.HasPrefix(entry.Key, operator.TeamPrefix) {
		document, err := apiplatform.Decode[operator.Team](entry)
		if err == nil {
			return document.Body.Audit
		}
	}
	return nil
}

func (s *Server) explain(w http.ResponseWriter, r *http.Request, _ string) {
	reply, err := s.router.Explain(r.Context(), shard.JobRequest{JobID: r.PathValue("id")})
	switch {
	case err != nil:
		answer(w, http.StatusServiceUnavailable, caller.Problem{Error: err.Error()})
	case !reply.Found:
		answer(w, http.StatusNotFound, caller.Problem{Error: "there is no such job"})
	default:
		answer(w, http.StatusOK, reply.Explanation)
	}
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
