package operator

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/citronbay/citronbay/internal/api/caller"
	"github.com/citronbay/citronbay/internal/api/operator"
	entrycaller "github.com/citronbay/citronbay/internal/entry/caller"
)

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
			team = team.WithCap(*request.Cap)
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
