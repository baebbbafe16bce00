package entry

import (
	"context"
	"errors"
	"fmt"

	"github.com/citronbay/citronbay/internal/api/caller"
	"github.com/citronbay/citronbay/internal/api/upstream"
)

// errDemo reports that a piece of the demo's work did not run as it should.
var errDemo = errors.New("demo: not all work ran")

// runDemo submits one piece of work of each kind and prints each one's fate.
func runDemo(ctx context.Context, cell devCell) error {
	ctx, cancel := context.WithTimeout(ctx, demoTimeout)
	defer cancel()
	client, closeClient := caller.NewClient(cell.address, cell.teamKey)
	defer closeClient()
	err := demoRequest(ctx, client)
	for _, job := range demoJobs() {
		err = errors.Join(err, demoJob(ctx, client, job))
	}
	return err
}

func demoRequest(ctx context.Context, client *caller.Client) error {
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
		return errDemo
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

// demoJob submits a job and waits for its end; a service is waited for until it
// has its size, and then cancelled.
func demoJob(ctx context.Context, client *caller.Client, job caller.Job) error {
	status, err := client.Submit(ctx, job)
	if err != nil {
		return err
	}
	if status.Fate == caller.FateNotRun {
		return fmt.Errorf("%w: %s: %s", errDemo, job.Name, status.Reason)
	}
	err = until(ctx, func() error {
		status, err = client.Job(ctx, status.JobID)
		if err != nil {
			return err
		}
		serving := job.Kind == caller.KindService && status.Running == job.Tasks
		if status.Fate == caller.FateInProgress && !serving {
			return fmt.Errorf("%s is in progress", job.Name)
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
		return errDemo
	}
	return nil
}
