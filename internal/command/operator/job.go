package operator

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/citronbay/citronbay/internal/api/caller"
)

// jobPollInterval is the time between two queries of a job's status with --wait.
const jobPollInterval = 100 * time.Millisecond

func registerJob(ctx context.Context, app *kingpin.Application, out io.Writer) {
	parent := app.Command("job", "Submit and cancel jobs, and show their status.")
	registerSubmit(ctx, parent, out)
	status := parent.Command("status", "Show the status of a job.")
	statusSession := newSession(ctx, out, status)
	statusID := status.Arg("job", "Id of the job.").Required().String()
	status.Action(func(*kingpin.ParseContext) error {
		_, err := call(statusSession, http.MethodGet, "/v1/jobs/"+*statusID, nil, jobRows)
		return err
	})
	cancel := parent.Command("cancel", "Cancel a job.")
	cancelSession := newSession(ctx, out, cancel)
	cancelID := cancel.Arg("job", "Id of the job.").Required().String()
	cancel.Action(func(*kingpin.ParseContext) error {
		_, err := call(cancelSession, http.MethodDelete, "/v1/jobs/"+*cancelID, nil, jobRows)
		return err
	})
}

func registerSubmit(ctx context.Context, parent *kingpin.CmdClause, out io.Writer) {
	command := parent.Command("submit", "Submit a job.")
	s := newSession(ctx, out, command)
	job := caller.Job{}
	kind := command.Flag("kind", "batch (each task starts on its own), allAtOnce (all tasks start together, or none) or service (the number of tasks is kept running until the job is cancelled).").Default("batch").Enum("batch", "allAtOnce", "service")
	command.Flag("name", "Name of the job.").StringVar(&job.Name)
	command.Flag("tasks", "Number of tasks.").Default("1").IntVar(&job.Tasks)
	command.Flag("processors-milli", "Processors for each task, in thousandths.").Default("1000").Int64Var(&job.Size.MilliProcessors)
	command.Flag("memory-bytes", "Memory for each task, in bytes.").Default("1073741824").Int64Var(&job.Size.MemoryBytes)
	command.Flag("accelerators", "Accelerators for each task.").Int64Var(&job.Size.Accelerators)
	command.Flag("command", "Command that each task runs.").StringVar(&job.Command)
	command.Flag("payload", "Payload of the command.").StringVar(&job.Payload)
	run := command.Flag("run", "How long a simulated task takes.").Default("100ms").Duration()
	urgency := command.Flag("urgency", "urgent, normal or low.").Default("normal").Enum("urgent", "normal", "low")
	command.Flag("at-most-once", "Never run a task a second time, unless it belongs to a service and failed.").BoolVar(&job.AtMostOnce)
	wait := command.Flag("wait", "Wait until the job ends before printing its status; a service runs until it is cancelled.").Bool()
	command.Action(func(*kingpin.ParseContext) error {
		job.Kind = caller.Kind(*kind)
		job.Urgency = caller.Urgency(*urgency)
		job.RunMillis = run.Milliseconds()
		status, err := call[caller.JobStatus](s, http.MethodPost, "/v1/jobs", job, nil)
		if err != nil {
			return err
		}
		for *wait && status.Fate == caller.FateInProgress {
			time.Sleep(jobPollInterval)
			status, err = call[caller.JobStatus](s, http.MethodGet, "/v1/jobs/"+status.JobID, nil, nil)
			if err != nil {
				return err
			}
		}
		if err := printResult(s, status, jobRows(status)); err != nil {
			return err
		}
		return errorFromFate(status.Fate, status.Reason)
	})
}

// errorFromFate returns a *fateError unless the work is in progress or completed.
func errorFromFate(fate caller.Fate, reason string) error {
	if fate == caller.FateCompleted || fate == caller.FateInProgress {
		return nil
	}
	return &fateError{
		fate:   fate,
		reason: reason,
	}
}

func jobRows(status caller.JobStatus) [][]string {
	fate := string(status.Fate)
	if fate == "" {
		fate = "inProgress"
	}
	return [][]string{
		{"JOB", "KIND", "FATE", "TASKS", "WAITING", "RUNNING", "COMPLETED", "FAILED", "UNKNOWN", "DURABLE", "REASON"},
		{
			status.JobID,
			string(status.Kind),
			fate,
			fmt.Sprint(status.Tasks),
			fmt.Sprint(status.Waiting),
			fmt.Sprint(status.Running),
			fmt.Sprint(status.Completed),
			fmt.Sprint(status.Failed),
			fmt.Sprint(status.Unknown),
			fmt.Sprint(status.Durable),
			status.Reason,
		},
	}
}

func registerRequest(ctx context.Context, app *kingpin.Application, out io.Writer) {
	command := app.Command("request", "Run a quick request against a service.")
	s := newSession(ctx, out, command)
	request := caller.Request{}
	command.Arg("service", "Name of the service.").Required().StringVar(&request.Service)
	command.Arg("command", "Command of the service.").Required().StringVar(&request.Command)
	command.Flag("payload", "Payload of the command.").StringVar(&request.Payload)
	command.Flag("request-id", "Id of the request, by which a retry of it is recognised.").StringVar(&request.RequestID)
	command.Flag("at-most-once", "Never run the request a second time.").BoolVar(&request.AtMostOnce)
	run := command.Flag("run", "How long a simulated service takes.").Default("1ms").Duration()
	command.Action(func(*kingpin.ParseContext) error {
		request.RunMillis = run.Milliseconds()
		answer, err := call(s, http.MethodPost, "/v1/requests", request, func(answer caller.Answer) [][]string {
			return [][]string{
				{"REQUEST", "FATE", "UPSTREAM", "ANSWER", "REASON"},
				{answer.RequestID, string(answer.Fate), answer.Upstream, string(answer.Answer), answer.Reason},
			}
		})
		if err != nil {
			return err
		}
		return errorFromFate(answer.Fate, answer.Reason)
	})
}

func registerExplain(ctx context.Context, app *kingpin.Application, out io.Writer) {
	command := app.Command("explain", "Show why a job waits, or where its tasks were placed; needs an operator's key. With --route, show where a request would go now, and why, without sending it.")
	s := newSession(ctx, out, command)
	id := command.Arg("job", "Id of the job.").String()
	request := previewRequest{}
	command.Flag("route", "Host and path of a request that is not sent, such as jobs.example/queue/. --address is then the metrics address of any node on the platform.").StringVar(&request.route)
	command.Flag("team", "Name of the request's team.").StringVar(&request.team)
	command.Flag("body", "File with the request's body; - is standard input.").Default("-").StringVar(&request.file)
	command.Action(func(*kingpin.ParseContext) error {
		if (*id == "") == (request.route == "") {
			return errors.New("explain needs either a job's id or --route")
		}
		if request.route != "" {
			return explainRequest(s, request, os.Stdin)
		}
		_, err := call(s, http.MethodGet, operatorPath+"/jobs/"+*id+"/explanation", nil, func(e caller.Explanation) [][]string {
			rows := [][]string{{"JOB", e.JobID}, {"WAITS", e.WaitReason}}
			for _, placement := range e.Placements {
				rows = append(rows, []string{"PLACED", placement})
			}
			return rows
		})
		return err
	})
}
