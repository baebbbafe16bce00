package process

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronbay/citronbay/internal/api/caller"
)

// submitBatch submits a batch job of small tasks and returns its id.
func (c *cell) submitBatch(client *caller.Client, tasks int, run time.Duration) string {
	c.t.Helper()
	status, err := client.Submit(context.Background(), caller.Job{
		Kind:      caller.KindBatch,
		Tasks:     tasks,
		Size:      smallTask,
		RunMillis: run.Milliseconds(),
	})
	assert.NilError(c.t, err)
	assert.Equal(c.t, status.Fate, caller.FateInProgress, status.Reason)
	return status.JobID
}

// TestOwnerLossCausesNoOverfillOrOverlap guards against a task that runs twice at the
// same time, and against workers asked to run more than their capacity, when the
// owner is killed or frozen while a batch fills all workers.
func TestOwnerLossCausesNoOverfillOrOverlap(t *testing.T) {
	for name, injectFault := range map[string]func(c *cell, owner string){
		"killed": func(c *cell, owner string) {
			c.killEntry(owner)
			c.startEntry(owner)
		},
		"frozen for longer than its lease": func(c *cell, owner string) {
			c.freezeEntry(owner)
			eventually(c.t, defaultTimeout, "a new owner", func() error {
				next, err := c.status(c.otherEntry("izmir-a", owner))
				if err != nil {
					return err
				}
				return c.checkAllLeased(next)
			})
			c.thawEntry(owner)
		},
		"frozen twice in a row": func(c *cell, owner string) {
			for range 2 {
				c.freezeEntry(owner)
				time.Sleep(3 * time.Second)
				c.thawEntry(owner)
				time.Sleep(200 * time.Millisecond)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := startCell(t, oneDomain())
			key, _ := c.createTeam("kiln", 100)
			owner := c.owner("izmir-a")
			other := c.otherEntry("izmir-a", owner)
			client := c.client(other, key)
			job := c.submitBatch(client, 120, 300*time.Millisecond)
			eventually(t, defaultTimeout, "full workers", func() error {
				if n := c.runningCount("kiln"); n < 16 {
					return fmt.Errorf("%d running", n)
				}
				return nil
			})
			injectFault(c, owner)
			ended := awaitJob(t, client, job, defaultTimeout)
			assert.Equal(t, ended.Fate, caller.FateCompleted, ended.Reason)
			assert.Equal(t, ended.Completed, 120)
			c.checkNoOverfill()
			c.checkNoOverlap()
			c.checkCap("kiln", 100)
		})
	}
}

// TestRequestsSurviveOwnerCrash guards against a request that gets no answer, or one
// with the fate unknown, when the owner is killed while another entry forwards requests
// to it.
func TestRequestsSurviveOwnerCrash(t *testing.T) {
	for name, atMostOnce := range map[string]bool{
		"repeatable":   false,
		"at most once": true,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := startCell(t, oneDomain())
			key, _ := c.createTeam("kiln", 100)
			owner := c.owner("izmir-a")
			other := c.otherEntry("izmir-a", owner)
			load := c.startLoad(key, "req", []string{other}, 8, caller.Request{
				Service:        service,
				Command:        "shade",
				Payload:        "clay",
				RunMillis:      150,
				AtMostOnce:     atMostOnce,
				DeadlineMillis: 15000,
			})
			eventually(t, defaultTimeout, "answers", func() error { return checkCompletedAtLeast(load, 20) })
			c.killEntry(owner)
			before := load.count(caller.FateCompleted)
			eventually(t, defaultTimeout, "answers after the kill", func() error { return checkCompletedAtLeast(load, before+20) })
			load.finish()
			assert.Equal(t, len(load.invalidIDs), 0, load.reasonSummary(load.invalidIDs))
			assert.Equal(t, len(load.fates[caller.FateUnknown]), 0, load.reasonSummary(load.fates[caller.FateUnknown]))
			c.checkNoOverlap()
			c.checkNoOverfill()
			c.checkFates(load, atMostOnce)
		})
	}
}

// checkCompletedAtLeast returns an error while fewer than n requests are completed.
func checkCompletedAtLeast(l *load, n int) error {
	if done := l.count(caller.FateCompleted); done < n {
		return fmt.Errorf("%d completed", done)
	}
	return nil
}

// checkFates fails if a fate that a caller got disagrees with the runs that the
// upstreams recorded. With atMostOnce, it also fails if a task started more than once.
func (c *cell) checkFates(l *load, atMostOnce bool) {
	c.t.Helper()
	starts := map[string]int{}
	for _, span := range c.spans() {
		starts[logicalTaskID(span.Task)]++
	}
	for _, id := range l.fates[caller.FateNotRun] {
		assert.Equal(c.t, starts["request/"+id], 0, "%s has fate notRun (%s) but ran", id, l.reasons[id])
	}
	for _, id := range l.fates[caller.FateCompleted] {
		assert.Assert(c.t, starts["request/"+id] >= 1, "%s has fate completed but did not run", id)
	}
	if !atMostOnce {
		return
	}
	for id, n := range starts {
		assert.Assert(c.t, n <= 1, "%s ran %d times", id, n)
	}
}

// busiestWorker returns the upstream that runs the most tasks, nil if none runs any.
// It is a worker if only jobs run.
func (c *cell) busiestWorker() *proxiedUpstream {
	var busiest *proxiedUpstream
	maxRunning := 0
	for _, u := range c.upstreams {
		if n := len(u.state.Observe().Running); n > maxRunning {
			busiest = u
			maxRunning = n
		}
	}
	return busiest
}

// TestTakeoverWaitsForUnreachableWorker guards against a new owner that starts
// tasks on an idle worker while they may still run on a worker that it cannot
// reach. The owner is killed just after the only worker with tasks becomes
// unreachable.
func TestTakeoverWaitsForUnreachableWorker(t *testing.T) {
	t.Parallel()
	c := startCell(t, oneDomain())
	key, _ := c.createTeam("kiln", 8)
	owner := c.owner("izmir-a")
	client := c.client(c.otherEntry("izmir-a", owner), key)
	job := c.submitBatch(client, 8, 4500*time.Millisecond)
	c.awaitRunning("kiln", 8, defaultTimeout)
	unreachable := c.busiestWorker()
	unreachable.proxy.SetSilent(true)
	c.killEntry(owner)
	time.Sleep(c.taskLease() + 4*time.Second)
	unreachable.proxy.SetSilent(false)
	ended := awaitJob(t, client, job, 2*defaultTimeout)
	assert.Equal(t, ended.Fate, caller.FateCompleted, ended.Reason)
	c.checkNoOverlap()
	c.checkCap("kiln", 8)
	c.checkNoOverfill()
}

// TestResumedOwnerDiscardsStaleState guards against an owner that resumes with
// stale state and starts a job a second time. The owner is frozen while the job waits,
// so that another entry takes over and starts the job. The first owner resumes when the
// second has been killed and the worker that runs the job is unreachable.
func TestResumedOwnerDiscardsStaleState(t *testing.T) {
	t.Parallel()
	c := startCell(t, oneDomain())
	key, _ := c.createTeam("kiln", 100)
	first := c.owner("izmir-a")
	second := c.otherEntry("izmir-a", first)
	client := c.client(second, key)
	c.submitBatch(client, 16, 2500*time.Millisecond)
	c.awaitRunning("kiln", 16, defaultTimeout)
	job := c.submitBatch(client, 8, 4800*time.Millisecond)
	c.freezeEntry(first)
	eventually(t, defaultTimeout, "job started by the successor", func() error {
		status, err := client.Job(context.Background(), job)
		if err == nil && (status.Running != 8 || c.runningCount("kiln") != 8) {
			err = fmt.Errorf("%d running", status.Running)
		}
		return err
	})
	unreachable := c.busiestWorker()
	unreachable.proxy.SetSilent(true)
	c.killEntry(second)
	c.thawEntry(first)
	time.Sleep(c.taskLease() + 4*time.Second)
	unreachable.proxy.SetSilent(false)
	ended := awaitJob(t, c.client(first, key), job, 2*defaultTimeout)
	assert.Equal(t, ended.Fate, caller.FateCompleted, ended.Reason)
	c.checkNoOverlap()
	c.checkNoOverfill()
}
