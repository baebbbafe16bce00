package process

import (
	"context"
	"fmt"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronbay/citronbay/internal/api/caller"
)

// fill submits a batch that keeps every worker full for a while.
func (c *cell) fill(client *caller.Client, tasks int, run time.Duration) string {
	c.t.Helper()
	status, err := client.Submit(context.Background(), caller.Job{
		Kind:      caller.KindBatch,
		Tasks:     tasks,
		Size:      small,
		RunMillis: run.Milliseconds(),
	})
	assert.NilError(c.t, err)
	assert.Equal(c.t, status.Fate, caller.FateInProgress, status.Reason)
	return status.JobID
}

func TestOwnerLossOverfillsAndRepeatsNothing(t *testing.T) {
	for name, strike := range map[string]func(c *cell, owner string){
		"killed": func(c *cell, owner string) {
			c.kill(owner)
			c.start(owner)
		},
		"frozen longer than its lease": func(c *cell, owner string) {
			c.signal(owner, syscall.SIGSTOP)
			eventually(c.t, patience, "a new owner", func() error {
				next, err := c.status(c.other("izmir-a", owner))
				if err != nil {
					return err
				}
				return c.checkOwners(next)
			})
			c.signal(owner, syscall.SIGCONT)
		},
		"frozen twice in a row": func(c *cell, owner string) {
			for range 2 {
				c.signal(owner, syscall.SIGSTOP)
				time.Sleep(3 * time.Second)
				c.signal(owner, syscall.SIGCONT)
				time.Sleep(200 * time.Millisecond)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := startCell(t, oneDomain())
			key, _ := c.team("kiln", 100)
			owner := c.owner("izmir-a")
			other := c.other("izmir-a", owner)
			client := c.client(other, key)
			job := c.fill(client, 120, 300*time.Millisecond)
			eventually(t, patience, "full workers", func() error {
				if n := c.runningNow("kiln"); n < 16 {
					return fmt.Errorf("%d running", n)
				}
				return nil
			})
			strike(c, owner)
			ended := awaitJob(t, client, job, patience)
			assert.Equal(t, ended.Fate, caller.FateCompleted, ended.Reason)
			assert.Equal(t, ended.Completed, 120)
			c.checkFilled()
			c.checkNoOverlap()
			c.checkCap("kiln", 100)
		})
	}
}

func TestRequestsSurviveTheOwner(t *testing.T) {
	for name, atMostOnce := range map[string]bool{
		"repeatable":   false,
		"at most once": true,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := startCell(t, oneDomain())
			key, _ := c.team("kiln", 100)
			owner := c.owner("izmir-a")
			other := c.other("izmir-a", owner)
			load := c.startLoad(key, "req", []string{other}, 8, caller.Request{
				Service:        service,
				Command:        "shade",
				Payload:        "clay",
				RunMillis:      150,
				AtMostOnce:     atMostOnce,
				DeadlineMillis: 15000,
			})
			eventually(t, patience, "answers", func() error { return atLeast(load, 20) })
			c.kill(owner)
			before := load.count(caller.FateCompleted)
			eventually(t, patience, "answers after the kill", func() error { return atLeast(load, before+20) })
			load.finish()
			assert.Equal(t, len(load.broken), 0, load.why(load.broken))
			assert.Equal(t, len(load.fates[caller.FateUnknown]), 0, load.why(load.fates[caller.FateUnknown]))
			c.checkNoOverlap()
			c.checkFilled()
			c.checkFates(load, atMostOnce)
		})
	}
}

func atLeast(l *load, n int) error {
	if done := l.count(caller.FateCompleted); done < n {
		return fmt.Errorf("%d completed", done)
	}
	return nil
}

// checkFates compares what callers were told with what the upstreams saw.
func (c *cell) checkFates(l *load, atMostOnce bool) {
	c.t.Helper()
	starts := map[string]int{}
	for _, span := range c.spans() {
		starts[logical(span.Task)]++
	}
	for _, id := range l.fates[caller.FateNotRun] {
		assert.Equal(c.t, starts["request/"+id], 0, "%s was told notRun (%s) and ran", id, l.reasons[id])
	}
	for _, id := range l.fates[caller.FateCompleted] {
		assert.Assert(c.t, starts["request/"+id] >= 1, "%s was told completed and did not run", id)
	}
	if !atMostOnce {
		return
	}
	for id, n := range starts {
		assert.Assert(c.t, n <= 1, "%s ran %d times", id, n)
	}
}

// busiest returns the worker that runs most tasks.
func (c *cell) busiest() *machine {
	var found *machine
	most := 0
	for _, m := range c.upstreams {
		if n := len(m.state.Observe().Running); n > most {
			found = m
			most = n
		}
	}
	return found
}

// TestTakeoverWaitsForWhatItCannotSee kills the owner while the one worker that
// runs tasks cannot be reached, and another is idle: the new owner must not start
// there what may still run on the first.
func TestTakeoverWaitsForWhatItCannotSee(t *testing.T) {
	t.Parallel()
	c := startCell(t, oneDomain())
	key, _ := c.team("kiln", 8)
	owner := c.owner("izmir-a")
	client := c.client(c.other("izmir-a", owner), key)
	job := c.fill(client, 8, 4500*time.Millisecond)
	c.awaitRunning("kiln", 8, patience)
	unseen := c.busiest()
	unseen.proxy.SetSilent(true)
	c.kill(owner)
	time.Sleep(c.taskLease() + 4*time.Second)
	unseen.proxy.SetSilent(false)
	ended := awaitJob(t, client, job, 2*patience)
	assert.Equal(t, ended.Fate, caller.FateCompleted, ended.Reason)
	c.checkNoOverlap()
	c.checkCap("kiln", 8)
	c.checkFilled()
}

// TestWokenOwnerForgetsItsOldView freezes an owner while a job waits, lets its
// successor start the job, and wakes it when the successor dies and the worker
// that runs the job cannot be reached: by its old view the job still waits.
func TestWokenOwnerForgetsItsOldView(t *testing.T) {
	t.Parallel()
	c := startCell(t, oneDomain())
	key, _ := c.team("kiln", 100)
	first := c.owner("izmir-a")
	second := c.other("izmir-a", first)
	client := c.client(second, key)
	c.fill(client, 16, 2500*time.Millisecond)
	c.awaitRunning("kiln", 16, patience)
	job := c.fill(client, 8, 4800*time.Millisecond)
	c.signal(first, syscall.SIGSTOP)
	eventually(t, patience, "the job started by the successor", func() error {
		status, err := client.Job(context.Background(), job)
		if err == nil && (status.Running != 8 || c.runningNow("kiln") != 8) {
			err = fmt.Errorf("%d running", status.Running)
		}
		return err
	})
	unseen := c.busiest()
	unseen.proxy.SetSilent(true)
	c.kill(second)
	c.signal(first, syscall.SIGCONT)
	time.Sleep(c.taskLease() + 4*time.Second)
	unseen.proxy.SetSilent(false)
	ended := awaitJob(t, c.client(first, key), job, 2*patience)
	assert.Equal(t, ended.Fate, caller.FateCompleted, ended.Reason)
	c.checkNoOverlap()
	c.checkFilled()
}
