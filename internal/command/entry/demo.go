package entry

import (
	"context"
	"errors"
	"fmt"

	"github.com/citronbay/citronbay/internal/api/caller"
	"github.com/citronbay/citronbay/internal/api/upstream"
)

// errDemoFailed reports that the request or a job of the demo did not complete.
var errDemoFailed = errors.New("demo: not all work completed")

// runDemo runs a request and a job of each kind in the cell and prints their fates.
// It returns the joined errors of those that did not complete.
func runDemo(ctx context.Context, cell devCell) error {
	ctx, cancel := context.WithTimeout(ctx, demoTimeout)
	defer cancel()
	client, closeClient := caller.NewClient(cell.callerAddress, cell.teamKey)
	defer closeClient()
	err := runDemoRequest(ctx, client)
	for _, job := range demoJobs() {
		err = errors.Join(err, runDemoJob(ctx, client, job))
	}
	return err
}

func runDemoRequest(ctx context.Context, client *caller.Client) error {
	answer, err := client.Request(ctx, caller.Request{
		Service:    devService,
		Command:    "lookup",
		Payload:    "terracotta",
		Urgency:    caller.Urgent,
		AtMostOnce: true,
		RequestID:  "demo-1",
	})
	if err != nil {
		return err
	}
	fmt.Printf("%-10s fate=%s upstream=%s answer=%s\n", "request", answer.Fate, answer.Upstream, answer.Answer)
	if answer.Fate != caller.FateCompleted {
		return errDemoFailed
	}
	return nil
}

func demoJobs() []caller.Job {
	size := upstream.Resources{
		MilliProcessors: 500,
		MemoryBytes:     256 << 20,
	}
	return []caller.Job{
		{
			Kind:      caller.KindBatch,
			Name:      "checks",
			Tasks:     10,
			Size:      size,
			RunMillis: 50,
		},
		{
			Kind:      caller.KindAllAtOnce,
			Name:      "comparison",
			Tasks:     6,
			Size:      size,
			RunMillis: 100,
		},
		{
			Kind:  caller.KindService,
			Name:  "lookups",
			Tasks: 2,
			Size:  size,
		},
	}
}

// runDemoJob submits a job and waits until it ends. A service does not end: it is
// cancelled once all its tasks run.
func runDemoJob(ctx context.Context, client *caller.Client, job caller.Job) error {
	status, err := client.Submit(ctx, job)
	if err != nil {
		return err
	}
	if status.Fate == caller.FateNotRun {
		return fmt.Errorf("%w: %s: %s", errDemoFailed, job.Name, status.Reason)
	}
	err = retry(ctx, func() error {
		status, err = client.Job(ctx, status.JobID)
		if err != nil {
			return err
		}
		serving := job.Kind == caller.KindService && status.Running == job.Tasks
		if status.Fate == caller.FateInProgress && !serving {
			return fmt.Errorf("job %s is in progress", job.Name)
		}
		return nil
	})
	if err != nil {
		return err
	}
	if job.Kind == caller.KindService {
		fmt.Printf("%-10s fate=running running=%d\n", job.Kind, status.Running)
		_, err = client.Cancel(ctx, status.JobID)
		return err
	}
	fmt.Printf("%-10s fate=%s completed=%d\n", job.Kind, status.Fate, status.Completed)
	if status.Fate != caller.FateCompleted {
		return errDemoFailed
	}
	return nil
}
