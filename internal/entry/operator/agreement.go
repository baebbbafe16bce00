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

func (s *Server) putTeam(w http.ResponseWriter, r *http.Request, operatorName string) {
	request, ok := readJSON[operator.TeamRequest](w, r, s.settings.Limits.BodyBytes)
	if !ok {
		return
	}
	if requestErr := checkTeam(request); requestErr != nil {
		writeChange(w, operator.ChangeResponse{}, requestErr)
		return
	}
	record := s.newRecord(operatorName, "team", request.Name, "", "")
	response, err := changeDocument(r.Context(), s, operator.TeamPrefix+request.Name, record, func(team operator.Team, exists bool) (operator.Team, error) {
		if !exists && (request.Share == nil || request.Cap == nil) {
			return team, newNotFoundError("team " + request.Name)
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
		record.Time = nextRecordTime(team.Audit)
		return team.WithAudit(record), nil
	})
	writeChange(w, response, err)
}

func describeTeam(team operator.Team, exists bool) string {
	if !exists {
		return ""
	}
	return fmt.Sprintf("share=%d cap=%d", team.Share, team.Cap)
}

func checkTeam(request operator.TeamRequest) *requestError {
	name := request.Name
	if name == "" || len(name) > 64 || strings.ContainsAny(name, "/. \t\n#") {
		return newBoundError("name", name, "1 to 64 characters without spaces, slashes, dots or #")
	}
	if request.Share != nil && (*request.Share < 1 || *request.Share > maxShare) {
		return newBoundError("share", fmt.Sprint(*request.Share), fmt.Sprintf("1 to %d", maxShare))
	}
	if request.Cap != nil && (*request.Cap < 0 || *request.Cap > maxCap) {
		return newBoundError("cap", fmt.Sprint(*request.Cap), fmt.Sprintf("0 to %d", maxCap))
	}
	return nil
}

func (s *Server) grantKey(w http.ResponseWriter, r *http.Request, operatorName string) {
	team := r.PathValue("team")
	key, text := entrycaller.NewKey(team, time.Now().UTC())
	record := s.newRecord(operatorName, "grantKey", team, "", key.ID)
	response, err := changeDocument(r.Context(), s, operator.TeamPrefix+team, record, func(old operator.Team, exists bool) (operator.Team, error) {
		if !exists {
			return old, newNotFoundError("team " + team)
		}
		record.Time = nextRecordTime(old.Audit)
		return old.WithKey(key).WithAudit(record), nil
	})
	response.KeyID = key.ID
	response.Token = text
	writeChange(w, response, err)
}

// updateCell applies the change to the cell's document, starting from the default
// presets if the document does not exist. The record that apply returns goes into the
// audit trail; the record passed to updateCell goes into the log.
func (s *Server) updateCell(ctx context.Context, record operator.Record, apply func(operator.Cell) (operator.Cell, operator.Record, error)) (operator.ChangeResponse, error) {
	return changeDocument(ctx, s, operator.CellKey, record, func(cell operator.Cell, exists bool) (operator.Cell, error) {
		if !exists {
			cell = operator.DefaultCell()
		}
		next, updatedRecord, err := apply(cell)
		if err != nil {
			return cell, err
		}
		updatedRecord.Time = nextRecordTime(cell.Audit)
		return next.WithAudit(updatedRecord), nil
	})
}

func (s *Server) getPresets(w http.ResponseWriter, _ *http.Request, _ string) {
	cell := s.registry.Cell()
	cell.Audit = nil
	writeJSON(w, http.StatusOK, cell)
}

func (s *Server) putPreset(w http.ResponseWriter, r *http.Request, operatorName string) {
	request, ok := readJSON[operator.PresetRequest](w, r, s.settings.Limits.BodyBytes)
	if !ok {
		return
	}
	if requestErr := checkPreset(request); requestErr != nil {
		writeChange(w, operator.ChangeResponse{}, requestErr)
		return
	}
	record := s.newRecord(operatorName, "putPreset", request.Name, "", fmt.Sprintf("%+v", *request.Preset))
	response, err := s.updateCell(r.Context(), record, func(cell operator.Cell) (operator.Cell, operator.Record, error) {
		if old, ok := cell.Presets[request.Name]; ok {
			record.From = fmt.Sprintf("%+v", old)
		}
		return cell.WithPreset(request.Name, *request.Preset), record, nil
	})
	writeChange(w, response, err)
}

func checkPreset(request operator.PresetRequest) *requestError {
	switch {
	case request.Preset == nil || request.Name == "" || len(request.Name) > 64:
		return newBoundError("name", request.Name, "1 to 64 characters, and the request must contain a preset")
	case request.Preset.MaxQueue < 1 || request.Preset.MaxQueue > 1<<20:
		return newBoundError("preset.maxQueue", fmt.Sprint(request.Preset.MaxQueue), fmt.Sprintf("1 to %d", 1<<20))
	case request.Preset.RetryPercent < 0 || request.Preset.RetryPercent > 100:
		return newBoundError("preset.retryPercent", fmt.Sprint(request.Preset.RetryPercent), "0 to 100")
	}
	return nil
}

func (s *Server) usePreset(w http.ResponseWriter, r *http.Request, operatorName string) {
	request, ok := readJSON[operator.PresetRequest](w, r, s.settings.Limits.BodyBytes)
	if !ok {
		return
	}
	record := s.newRecord(operatorName, "usePreset", "cell", "", request.Name)
	response, err := s.updateCell(r.Context(), record, func(cell operator.Cell) (operator.Cell, operator.Record, error) {
		if _, ok := cell.Presets[request.Name]; !ok {
			return cell, record, newNotFoundError("preset " + request.Name)
		}
		record.From = cell.PresetInForce
		cell.PresetInForce = request.Name
		return cell, record, nil
	})
	writeChange(w, response, err)
}

func (s *Server) drainUpstream(w http.ResponseWriter, r *http.Request, operatorName string) {
	request, ok := readJSON[operator.DrainRequest](w, r, s.settings.Limits.BodyBytes)
	if !ok {
		return
	}
	if request.Upstream == "" || len(request.Upstream) > 64 {
		writeChange(w, operator.ChangeResponse{}, newBoundError("upstream", request.Upstream, "1 to 64 characters"))
		return
	}
	record := s.newRecord(operatorName, "drain", request.Upstream, "", fmt.Sprintf("drained=%t", !request.Undo))
	response, err := s.updateCell(r.Context(), record, func(cell operator.Cell) (operator.Cell, operator.Record, error) {
		return cell.WithDrained(request.Upstream, !request.Undo), record, nil
	})
	writeChange(w, response, err)
}

// openService opens a service to requests without an API key, which are charged to
// the team, or closes it to them if the team is empty.
func (s *Server) openService(w http.ResponseWriter, r *http.Request, operatorName string) {
	request, ok := readJSON[operator.OpenRequest](w, r, s.settings.Limits.BodyBytes)
	if !ok {
		return
	}
	if request.Service == "" || len(request.Service) > caller.MaxNameBytes {
		writeChange(w, operator.ChangeResponse{}, newBoundError("service", request.Service, fmt.Sprintf("1 to %d characters", caller.MaxNameBytes)))
		return
	}
	if _, known := s.registry.Team(request.Team); request.Team != "" && !known {
		writeChange(w, operator.ChangeResponse{}, newNotFoundError("team "+request.Team))
		return
	}
	record := s.newRecord(operatorName, "openQueue", request.Service, "", request.Team)
	response, err := s.updateCell(r.Context(), record, func(cell operator.Cell) (operator.Cell, operator.Record, error) {
		record.From = cell.Open[request.Service]
		return cell.WithOpen(request.Service, request.Team), record, nil
	})
	writeChange(w, response, err)
}
