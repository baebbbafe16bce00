package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/alecthomas/kingpin/v2"

	"github.com/citronbay/citronbay/internal/api/caller"
	"github.com/citronbay/citronbay/internal/api/operator"
)

const operatorPath = "/v1/operator"

// Register adds the commands of operators and callers to app; they print to out.
func Register(ctx context.Context, app *kingpin.Application, out io.Writer) {
	registerTeam(ctx, app, out)
	registerTeamNumber(ctx, app, out, "share", "Set a team's share, its weight in the fair sharing of a full cell.", func(request *operator.TeamRequest, n int64) { request.Share = &n })
	registerTeamNumber(ctx, app, out, "cap", "Set a team's cap, the maximum number of its tasks that run at a time.", func(request *operator.TeamRequest, n int64) { request.Cap = &n })
	registerKey(ctx, app, out)
	registerPreset(ctx, app, out)
	registerCell(ctx, app, out)
	registerAudit(ctx, app, out)
	registerDrain(ctx, app, out)
	registerQueue(ctx, app, out)
	registerJob(ctx, app, out)
	registerRequest(ctx, app, out)
	registerExplain(ctx, app, out)
	registerLogs(app, out)
}

func changeRows(response operator.ChangeResponse) [][]string {
	rows := [][]string{
		{"CHANGE", "REVISION", "DURABLE", "IN FORCE", "UNREACHED"},
		{response.Change, fmt.Sprint(response.Revision), fmt.Sprint(response.Durable), strings.Join(response.Confirmed, ","), strings.Join(response.Unreached, ",")},
	}
	if response.Token != "" {
		rows = append(rows, []string{"KEY", response.KeyID}, []string{"SECRET (shown once)", response.Token})
	}
	return rows
}

func registerTeam(ctx context.Context, app *kingpin.Application, out io.Writer) {
	parent := app.Command("team", "Create and show teams.")
	create := parent.Command("create", "Create a team.")
	s := newSession(ctx, out, create)
	name := create.Arg("name", "Name of the team.").Required().String()
	share := create.Flag("share", "The team's weight in the fair sharing of a full cell.").Required().Int64()
	maxTasks := create.Flag("cap", "Maximum number of the team's tasks that run at a time in the whole cell.").Required().Int64()
	create.Action(func(*kingpin.ParseContext) error {
		request := operator.TeamRequest{
			Name:  *name,
			Share: share,
			Cap:   maxTasks,
		}
		_, err := call(s, http.MethodPost, operatorPath+"/teams", request, changeRows)
		return err
	})
	registerTeamViews(ctx, parent, out)
}

func registerTeamViews(ctx context.Context, parent *kingpin.CmdClause, out io.Writer) {
	list := parent.Command("list", "List the teams.")
	listSession := newSession(ctx, out, list)
	list.Action(func(*kingpin.ParseContext) error {
		return showTeams(listSession, "")
	})
	view := parent.Command("show", "Show one team.")
	viewSession := newSession(ctx, out, view)
	name := view.Arg("name", "Name of the team.").Required().String()
	view.Action(func(*kingpin.ParseContext) error {
		return showTeams(viewSession, *name)
	})
}

func showTeams(s *session, teamName string) error {
	teams, err := teamViews(s, teamName)
	if err != nil {
		return err
	}
	rows := [][]string{{"TEAM", "SHARE", "CAP", "UNITS HELD", "RUNNING", "WAITING", "KEYS"}}
	for _, t := range teams {
		rows = append(rows, []string{t.Name, fmt.Sprint(t.Share), fmt.Sprint(t.Cap), fmt.Sprint(t.Held), fmt.Sprint(t.Running), fmt.Sprint(t.Waiting), fmt.Sprint(len(t.Keys))})
	}
	return printResult(s, teams, rows)
}

func teamViews(s *session, teamName string) ([]operator.TeamView, error) {
	status, err := call[operator.CellStatus](s, http.MethodGet, operatorPath+"/cell", nil, nil)
	if err != nil {
		return nil, err
	}
	teams := []operator.TeamView{}
	for _, t := range status.Teams {
		if teamName == "" || t.Name == teamName {
			teams = append(teams, t)
		}
	}
	if teamName != "" && len(teams) == 0 {
		return nil, &caller.StatusError{
			Status:  http.StatusNotFound,
			Problem: caller.Problem{Error: "team " + teamName + " does not exist"},
		}
	}
	return teams, nil
}

func registerTeamNumber(ctx context.Context, app *kingpin.Application, out io.Writer, name, help string, setNumber func(*operator.TeamRequest, int64)) {
	command := app.Command(name, help).Command("set", help)
	s := newSession(ctx, out, command)
	team := command.Arg("team", "Name of the team.").Required().String()
	number := command.Arg("number", "The new "+name+".").Required().Int64()
	command.Action(func(*kingpin.ParseContext) error {
		request := operator.TeamRequest{Name: *team}
		setNumber(&request, *number)
		_, err := call(s, http.MethodPost, operatorPath+"/teams", request, changeRows)
		return err
	})
}

func registerKey(ctx context.Context, app *kingpin.Application, out io.Writer) {
	parent := app.Command("key", "Grant, withdraw and list keys.")
	grant := parent.Command("grant", "Grant a key; its secret is shown once.")
	grantSession := newSession(ctx, out, grant)
	grantTeam := grant.Arg("team", "Name of the team.").Required().String()
	grant.Action(func(*kingpin.ParseContext) error {
		_, err := call(grantSession, http.MethodPost, operatorPath+"/teams/"+*grantTeam+"/keys", nil, changeRows)
		return err
	})
	withdraw := parent.Command("withdraw", "Withdraw a key.")
	withdrawSession := newSession(ctx, out, withdraw)
	withdrawTeam := withdraw.Arg("team", "Name of the team.").Required().String()
	withdrawKey := withdraw.Arg("key", "Id of the key.").Required().String()
	withdraw.Action(func(*kingpin.ParseContext) error {
		_, err := call(withdrawSession, http.MethodDelete, operatorPath+"/teams/"+*withdrawTeam+"/keys/"+*withdrawKey, nil, changeRows)
		return err
	})
	list := parent.Command("list", "List a team's keys.")
	listSession := newSession(ctx, out, list)
	listTeam := list.Arg("team", "Name of the team.").Required().String()
	list.Action(func(*kingpin.ParseContext) error {
		teams, err := teamViews(listSession, *listTeam)
		if err != nil {
			return err
		}
		rows := [][]string{{"KEY", "GRANTED", "WITHDRAWN"}}
		for _, key := range teams[0].Keys {
			rows = append(rows, []string{key.ID, key.Granted.Format("2006-01-02T15:04:05Z"), fmt.Sprint(key.Withdrawn)})
		}
		return printResult(listSession, teams[0].Keys, rows)
	})
}

func registerPreset(ctx context.Context, app *kingpin.Application, out io.Writer) {
	parent := app.Command("preset", "List presets, create or replace them, and put one into force.")
	list := parent.Command("list", "List the presets and show which one is in force.")
	listSession := newSession(ctx, out, list)
	list.Action(func(*kingpin.ParseContext) error {
		_, err := call(listSession, http.MethodGet, operatorPath+"/presets", nil, presetRows)
		return err
	})
	put := parent.Command("put", "Create or replace a preset.")
	putSession := newSession(ctx, out, put)
	name := put.Arg("name", "Name of the preset.").Required().String()
	body := put.Arg("json", "The preset's parameters as JSON: crossRegion, admitLow and admitJobs (true or false, default false), maxQueue (1 to 1048576, no default) and retryPercent (0 to 100, default 0).").Required().String()
	put.Action(func(*kingpin.ParseContext) error {
		var preset operator.Preset
		decoder := json.NewDecoder(strings.NewReader(*body))
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(&preset); err != nil {
			return fmt.Errorf("preset: decode the parameters: %w", err)
		}
		_, err := call(putSession, http.MethodPost, operatorPath+"/presets", operator.PresetRequest{
			Name:   *name,
			Preset: &preset,
		}, changeRows)
		return err
	})
	use := parent.Command("use", "Put a preset into force.")
	useSession := newSession(ctx, out, use)
	useName := use.Arg("name", "Name of the preset.").Required().String()
	use.Action(func(*kingpin.ParseContext) error {
		_, err := call(useSession, http.MethodPost, operatorPath+"/presets/use", operator.PresetRequest{Name: *useName}, changeRows)
		return err
	})
}

func presetRows(cell operator.Cell) [][]string {
	rows := [][]string{{"PRESET", "IN FORCE", "CROSS REGION", "ADMIT LOW", "ADMIT JOBS", "MAX QUEUE", "RETRY PERCENT"}}
	for name, p := range cell.Presets {
		rows = append(rows, []string{name, fmt.Sprint(name == cell.PresetInForce), fmt.Sprint(p.CrossRegion), fmt.Sprint(p.AdmitLow), fmt.Sprint(p.AdmitJobs), fmt.Sprint(p.MaxQueue), fmt.Sprint(p.RetryPercent)})
	}
	return rows
}

func registerCell(ctx context.Context, app *kingpin.Application, out io.Writer) {
	command := app.Command("cell", "Show the state of the cell.").Command("status", "Show the preset in force, the entries, the upstreams with their owners, and the teams.")
	s := newSession(ctx, out, command)
	command.Action(func(*kingpin.ParseContext) error {
		_, err := call(s, http.MethodGet, operatorPath+"/cell", nil, cellRows)
		return err
	})
}

func cellRows(status operator.CellStatus) [][]string {
	rows := [][]string{{"PRESET", status.Preset}, {}, {"ENTRY", "DOMAIN", "ALIVE", "OWNS", "DRAINING", "REVISION"}}
	for _, e := range status.Entries {
		rows = append(rows, []string{e.Name, e.Domain, fmt.Sprint(e.Alive), fmt.Sprint(e.OwnsShard), fmt.Sprint(e.Draining), fmt.Sprint(e.Revision)})
	}
	rows = append(rows, []string{}, []string{"UPSTREAM", "ROLE", "RACK", "OWNER", "LEASED", "LEAVING", "SUSPECT", "RUNNING", "USED"})
	for _, s := range status.Shards {
		for _, u := range s.Upstreams {
			rows = append(rows, []string{u.VM.Name, u.VM.Role, u.VM.Rack, u.Owner, fmt.Sprint(u.Leased), fmt.Sprint(u.Leaving), fmt.Sprint(u.Suspect), fmt.Sprint(u.Running), u.Used})
		}
	}
	rows = append(rows, []string{}, []string{"TEAM", "SHARE", "CAP", "UNITS HELD", "RUNNING", "WAITING"})
	for _, t := range status.Teams {
		rows = append(rows, []string{t.Name, fmt.Sprint(t.Share), fmt.Sprint(t.Cap), fmt.Sprint(t.Held), fmt.Sprint(t.Running), fmt.Sprint(t.Waiting)})
	}
	return rows
}

func registerAudit(ctx context.Context, app *kingpin.Application, out io.Writer) {
	command := app.Command("audit", "Show the audit trail: each change with its time, its operator, and the old and new values.")
	s := newSession(ctx, out, command)
	command.Action(func(*kingpin.ParseContext) error {
		_, err := call(s, http.MethodGet, operatorPath+"/audit", nil, auditRows)
		return err
	})
}

func auditRows(entries []operator.AuditEntry) [][]string {
	rows := [][]string{{"TIME", "OPERATOR", "ENTRY", "ACTION", "OBJECT", "FROM", "TO", "CHANGE"}}
	for _, e := range entries {
		r := e.Record
		rows = append(rows, []string{r.Time.Format("2006-01-02T15:04:05.000Z"), r.Operator, r.Entry, r.Action, r.Object, r.From, r.To, r.Change})
	}
	return rows
}

func registerDrain(ctx context.Context, app *kingpin.Application, out io.Writer) {
	command := app.Command("drain", "Drain an upstream: let it finish its tasks and give it no new ones.")
	s := newSession(ctx, out, command)
	name := command.Arg("upstream", "Name of the worker or runner.").Required().String()
	undo := command.Flag("undo", "End the drain, so that the upstream gets tasks again.").Bool()
	command.Action(func(*kingpin.ParseContext) error {
		_, err := call(s, http.MethodPost, operatorPath+"/drains", operator.DrainRequest{
			Upstream: *name,
			Undo:     *undo,
		}, changeRows)
		return err
	})
}

func registerQueue(ctx context.Context, app *kingpin.Application, out io.Writer) {
	parent := app.Command("queue", "Open the queues of services to requests without a key, and close them.")
	openCommand := parent.Command("open", "Accept requests for a service without a key.")
	openSession := newSession(ctx, out, openCommand)
	openService := openCommand.Arg("service", "Name of the service.").Required().String()
	openTeam := openCommand.Flag("team", "Team that requests without a key are charged to.").Required().String()
	openCommand.Action(func(*kingpin.ParseContext) error {
		_, err := call(openSession, http.MethodPost, operatorPath+"/queues", operator.OpenRequest{
			Service: *openService,
			Team:    *openTeam,
		}, changeRows)
		return err
	})
	closeCommand := parent.Command("close", "Accept requests for a service only with a key.")
	closeSession := newSession(ctx, out, closeCommand)
	closeService := closeCommand.Arg("service", "Name of the service.").Required().String()
	closeCommand.Action(func(*kingpin.ParseContext) error {
		_, err := call(closeSession, http.MethodPost, operatorPath+"/queues", operator.OpenRequest{Service: *closeService}, changeRows)
		return err
	})
}
