package operator

import (
	"net/http"
	"slices"
	"strings"

	"github.com/citronbay/citronbay/internal/api/caller"
	"github.com/citronbay/citronbay/internal/api/operator"
	apiplatform "github.com/citronbay/citronbay/internal/api/platform"
	"github.com/citronbay/citronbay/internal/entry/shard"
)

func (s *Server) getCell(w http.ResponseWriter, r *http.Request, _ string) {
	status := operator.CellStatus{
		Preset:  s.registry.Cell().PresetInForce,
		Entries: []operator.EntryStatus{s.ownStatus()},
		Shards:  s.router.ShardStatuses(r.Context()),
	}
	for _, p := range s.membership.Peers() {
		status.Entries = append(status.Entries, operator.EntryStatus{
			Name:        p.Member.Name,
			Domain:      p.Member.Domain,
			Region:      p.Member.Region,
			Alive:       p.Alive,
			OwnsShard:   p.Alive && p.LastHeartbeat.OwnsShard(),
			Draining:    p.LastHeartbeat.Draining,
			Revision:    p.LastHeartbeat.Digest.Revision,
			Preset:      p.LastHeartbeat.Preset,
			Incarnation: p.LastHeartbeat.Incarnation,
		})
	}
	status.Teams = s.teamViews(status.Shards)
	writeJSON(w, http.StatusOK, status)
}

// teamViews returns all teams, sorted by name, with their running and waiting tasks
// summed over the shards.
func (s *Server) teamViews(shards []operator.ShardStatus) []operator.TeamView {
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
			for _, usage := range sh.Teams {
				if usage.Team == name {
					view.Running += usage.Running
					view.Waiting += usage.Waiting
				}
			}
		}
		views = append(views, view)
	}
	slices.SortFunc(views, func(a, b operator.TeamView) int { return strings.Compare(a.Name, b.Name) })
	return views
}

func (s *Server) getAudit(w http.ResponseWriter, _ *http.Request, _ string) {
	entries := []operator.AuditEntry{}
	for _, kv := range s.registry.KeyValues() {
		for _, record := range auditTrail(kv) {
			entries = append(entries, operator.AuditEntry{
				Key:      kv.Key,
				Revision: kv.Revision,
				Record:   record,
			})
		}
	}
	slices.SortFunc(entries, func(a, b operator.AuditEntry) int { return a.Record.Time.Compare(b.Record.Time) })
	writeJSON(w, http.StatusOK, entries)
}

func auditTrail(kv apiplatform.KeyValue) operator.Trail {
	if kv.Key == operator.CellKey {
		document, err := apiplatform.Decode[operator.Cell](kv)
		if err == nil {
			return document.Body.Audit
		}
	}
	if strings.HasPrefix(kv.Key, operator.TeamPrefix) {
		document, err := apiplatform.Decode[operator.Team](kv)
		if err == nil {
			return document.Body.Audit
		}
	}
	return nil
}

func (s *Server) explainJob(w http.ResponseWriter, r *http.Request, _ string) {
	reply, err := s.router.Explain(r.Context(), shard.JobRequest{JobID: r.PathValue("id")})
	switch {
	case err != nil:
		writeJSON(w, http.StatusServiceUnavailable, caller.Problem{Error: err.Error()})
	case !reply.Found:
		writeJSON(w, http.StatusNotFound, caller.Problem{Error: "there is no such job"})
	default:
		writeJSON(w, http.StatusOK, reply.Explanation)
	}
}
