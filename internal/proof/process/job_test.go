package process

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronbay/citronbay/internal/api/caller"
	"github.com/citronbay/citronbay/internal/api/operator"
	apiupstream "github.com/citronbay/citronbay/internal/api/upstream"
	"github.com/citronbay/citronbay/internal/standin/platform"
	"github.com/citronbay/citronbay/internal/standin/upstream"
)

// urgentLimit is the specified time within which urgent work starts.
const urgentLimit = 1400 * time.Millisecond

// submit submits the job and returns its status. The size of its tasks is smallTask
// unless the job sets one.
func (c *cell) submit(client *caller.Client, job caller.Job) caller.JobStatus {
	c.t.Helper()
	if job.Size.MilliProcessors == 0 {
		job.Size = smallTask
	}
	status, err := client.Submit(context.Background(), job)
	assert.NilError(c.t, err)
	return status
}

// TestUrgentWorkStartsOnFullWorkers guards against an urgent task that waits until
// running tasks end. Tasks of low urgency, which take 4 s, fill all workers; the urgent
// task needs the processors of three such tasks.
func TestUrgentWorkStartsOnFullWorkers(t *testing.T) {
	t.Parallel()
	c := startCell(t, oneDomain())
	key, _ := c.createTeam("kiln", 100)
	client := c.client(c.entryNames[0], key)
	batch := c.submit(client, caller.Job{
		Kind:      caller.KindBatch,
		Tasks:     24,
		RunMillis: 4000,
		Urgency:   caller.Low,
	})
	c.awaitRunning("kiln", 16, defaultTimeout)
	start := time.Now()
	urgent := c.submit(client, caller.Job{
		Kind:      caller.KindBatch,
		Tasks:     1,
		Size:      apiupstream.Resources{MilliProcessors: 1500},
		RunMillis: 10,
		Urgency:   caller.Urgent,
	})
	eventually(t, urgentLimit, "start of urgent work", func() error {
		status, err := client.Job(context.Background(), urgent.JobID)
		if err == nil && status.Running+status.Completed == 0 {
			err = errors.New("the job still waits")
		}
		return err
	})
	t.Logf("urgent work started after %s", time.Since(start).Round(time.Millisecond))
	ended := awaitJob(t, client, batch.JobID, defaultTimeout)
	assert.Equal(t, ended.Fate, caller.FateCompleted, ended.Reason)
	c.checkNoOverlap()
	c.checkNoOverfill()
}

// TestJobsEndWithCorrectFate guards against a wrong fate or reason, and against the
// wrong number of starts, of a job that cannot run, fails, is cancelled or passes its
// deadline. A failed task is tried three times, unless it must run at most once or is
// part of an all-at-once job.
func TestJobsEndWithCorrectFate(t *testing.T) {
	c := startCell(t, oneDomain())
	key, _ := c.createTeam("kiln", 100)
	smallCapKey, _ := c.createTeam("tally", 2)
	client := c.client(c.entryNames[0], key)
	for name, test := range map[string]struct {
		key    string
		job    caller.Job
		fate   caller.Fate
		reason string
		starts int
	}{
		"larger than any worker": {key, caller.Job{
			Kind:  caller.KindBatch,
			Tasks: 1,
			Size:  apiupstream.Resources{MilliProcessors: 5000},
		}, caller.FateNotRun, "cannot run the tasks at once even when idle", 0},
		"all-at-once job larger than the cell": {key, caller.Job{
			Kind:  caller.KindAllAtOnce,
			Tasks: 17,
		}, caller.FateNotRun, "cannot run the tasks at once even when idle", 0},
		"all-at-once job larger than the cap": {smallCapKey, caller.Job{
			Kind:  caller.KindAllAtOnce,
			Tasks: 3,
		}, caller.FateNotRun, "cap", 0},
		"command fails": {key, caller.Job{
			Kind:    caller.KindBatch,
			Tasks:   1,
			Command: "fail",
		}, caller.FateFailed, "the command failed", 3},
		"at-most-once command fails": {key, caller.Job{
			Kind:       caller.KindBatch,
			Tasks:      1,
			Command:    "fail",
			AtMostOnce: true,
		}, caller.FateFailed, "the command failed", 1},
		"task of an all-at-once job fails": {key, caller.Job{
			Kind:      caller.KindAllAtOnce,
			Tasks:     2,
			Command:   "fail",
			RunMillis: 300,
		}, caller.FateFailed, "", 2},
	} {
		t.Run(name, func(t *testing.T) {
			client := c.client(c.entryNames[1], test.key)
			status := c.submit(client, test.job)
			if status.Fate == caller.FateInProgress {
				status = awaitJob(t, client, status.JobID, defaultTimeout)
			}
			assert.Equal(t, status.Fate, test.fate, status.Reason)
			assert.Assert(t, strings.Contains(status.Reason, test.reason), status.Reason)
			starts := 0
			for _, span := range c.spans() {
				if status.JobID != "" && strings.HasPrefix(span.Task, status.JobID) {
					starts++
				}
			}
			assert.Equal(t, starts, test.starts)
		})
	}
	t.Run("deadline passes while workers are full", func(t *testing.T) {
		blocker := c.submitBatch(client, 16, 3*time.Second)
		c.awaitRunning("kiln", 16, defaultTimeout)
		status := c.submit(client, caller.Job{
			Kind:           caller.KindBatch,
			Tasks:          2,
			DeadlineMillis: 500,
		})
		ended := awaitJob(t, client, status.JobID, defaultTimeout)
		assert.Equal(t, ended.Fate, caller.FateNotRun, ended.Reason)
		_, err := client.Cancel(context.Background(), blocker)
		assert.NilError(t, err)
		assert.Equal(t, awaitJob(t, client, blocker, defaultTimeout).Fate, caller.FateFailed)
	})
	t.Run("cancelled before it starts", func(t *testing.T) {
		blocker := c.submitBatch(client, 16, time.Second)
		status := c.submit(client, caller.Job{
			Kind:  caller.KindBatch,
			Tasks: 5,
		})
		ended, err := client.Cancel(context.Background(), status.JobID)
		assert.NilError(t, err)
		assert.Equal(t, ended.Fate, caller.FateNotRun, ended.Reason)
		awaitJob(t, client, blocker, defaultTimeout)
	})
}

// TestServiceKeepsItsTaskCount guards against too few or too many tasks of a service
// after a worker leaves and after the owner is killed, and against tasks that run on
// after the service is cancelled.
func TestServiceKeepsItsTaskCount(t *testing.T) {
	t.Parallel()
	c := startCell(t, oneDomain())
	key, _ := c.createTeam("kiln", 100)
	client := c.client(c.entryNames[0], key)
	status := c.submit(client, caller.Job{
		Kind:  caller.KindService,
		Tasks: 4,
	})
	checkTaskCount := func() error {
		found, err := client.Job(context.Background(), status.JobID)
		if err == nil && (found.Running != 4 || c.runningCount("kiln") != 4) {
			err = fmt.Errorf("%d running in the job's status, %d on the upstreams", found.Running, c.runningCount("kiln"))
		}
		return err
	}
	eventually(t, defaultTimeout, "initial task count", checkTaskCount)
	leaving := c.upstreams["izmir-a-worker-0"]
	leaving.vm.State = "leaving"
	c.platform.SetVM(leaving.vm)
	eventually(t, defaultTimeout, "no tasks on the leaving worker", func() error {
		if n := len(leaving.state.Observe().Running); n > 0 {
			return fmt.Errorf("%d running there", n)
		}
		return checkTaskCount()
	})
	c.killEntry(c.owner("izmir-a"))
	client = c.client(c.owner("izmir-a"), key)
	eventually(t, defaultTimeout, "task count after the owner was killed", checkTaskCount)
	_, err := client.Cancel(context.Background(), status.JobID)
	assert.NilError(t, err)
	eventually(t, defaultTimeout, "no tasks after the cancellation", func() error {
		if n := c.runningCount("kiln"); n > 0 {
			return fmt.Errorf("%d running", n)
		}
		return nil
	})
	c.checkNoOverlap()
}

// TestFailingWorkerIsAvoided guards against a worker that fails every task at once,
// and therefore always has room, and so gets most of a job's tasks.
func TestFailingWorkerIsAvoided(t *testing.T) {
	t.Parallel()
	c := startCell(t, oneDomain())
	key, _ := c.createTeam("kiln", 100)
	failing := c.upstreams["izmir-a-worker-0"]
	failing.state.SetFaults(upstream.Faults{FailAll: true})
	client := c.client(c.entryNames[0], key)
	id := c.submitBatch(client, 60, 50*time.Millisecond)
	ended := awaitJob(t, client, id, defaultTimeout)
	assert.Equal(t, ended.Fate, caller.FateCompleted, ended.Reason)
	failedStarts := len(failing.state.Observe().Spans)
	t.Logf("%d of 60 tasks started on the failing worker", failedStarts)
	assert.Assert(t, failedStarts < 30)
}

// TestWorkerReconnectsAfterTaskLeaseExpiry guards against a task that runs on two
// workers at once. A worker is cut off for longer than the task lease, so that its
// tasks are started elsewhere, and then reconnects.
func TestWorkerReconnectsAfterTaskLeaseExpiry(t *testing.T) {
	t.Parallel()
	c := startCell(t, oneDomain())
	key, _ := c.createTeam("kiln", 100)
	client := c.client(c.entryNames[0], key)
	id := c.submitBatch(client, 24, 1500*time.Millisecond)
	c.awaitRunning("kiln", 16, defaultTimeout)
	for range 2 {
		c.upstreams["izmir-a-worker-0"].proxy.SetSilent(true)
		time.Sleep(c.taskLease() + 2*time.Second)
		c.upstreams["izmir-a-worker-0"].proxy.SetSilent(false)
		time.Sleep(500 * time.Millisecond)
	}
	ended := awaitJob(t, client, id, defaultTimeout)
	assert.Equal(t, ended.Fate, caller.FateCompleted, ended.Reason)
	c.checkNoOverlap()
	c.checkNoOverfill()
}

// TestKeyWithdrawalSurvivesEntryCrash guards against the loss of a withdrawal that
// the store has not recorded: the entry that accepted it is killed while the store
// is down, so that only its peers know of it.
func TestKeyWithdrawalSurvivesEntryCrash(t *testing.T) {
	t.Parallel()
	c := startCell(t, oneDomain())
	key, id := c.createTeam("kiln", 10)
	c.platform.SetFaults(platform.Faults{Down: true})
	var response operator.ChangeResponse
	assert.NilError(t, c.callOperator(c.entryNames[0], http.MethodDelete, "/v1/operator/teams/kiln/keys/"+id, nil, &response))
	assert.Assert(t, !response.Durable)
	c.killEntry(c.entryNames[0])
	c.platform.SetFaults(platform.Faults{})
	eventually(t, defaultTimeout, "audit record of the withdrawal", func() error {
		var audit []operator.AuditEntry
		if err := c.callOperator(c.entryNames[1], http.MethodGet, "/v1/operator/audit", nil, &audit); err != nil {
			return err
		}
		for _, a := range audit {
			if a.Record.Action == "withdrawKey" {
				return nil
			}
		}
		return errors.New("none")
	})
	assert.NilError(t, c.checkKeyRefused(c.entryNames[1], key))
}

// TestRequestStatusAndCancelThroughAnotherEntry reads and cancels a running and a
// waiting request through another entry than the one that received them. The cap of
// 1 makes the second request wait.
func TestRequestStatusAndCancelThroughAnotherEntry(t *testing.T) {
	t.Parallel()
	c := startCell(t, oneDomain())
	key, _ := c.createTeam("kiln", 1)
	owner := c.owner("izmir-a")
	client := c.client(owner, key)
	other := c.client(c.otherEntry("izmir-a", owner), key)
	answers := map[string]chan caller.Answer{}
	for _, id := range []string{"runs", "waits"} {
		done := make(chan caller.Answer, 1)
		answers[id] = done
		go func() {
			answer, _ := client.Request(context.Background(), caller.Request{
				RequestID: id,
				Service:   service,
				RunMillis: 8000,
			})
			done <- answer
		}()
		eventually(t, defaultTimeout, "request "+id, func() error {
			var answer caller.Answer
			return other.Do(context.Background(), http.MethodGet, "/v1/requests/"+id, nil, &answer)
		})
		c.awaitRunning("kiln", 1, defaultTimeout)
	}
	checkCancel := func(id string, fate caller.Fate) {
		var answer caller.Answer
		assert.NilError(t, other.Do(context.Background(), http.MethodDelete, "/v1/requests/"+id, nil, &answer))
		assert.Equal(t, answer.Fate, fate, answer.Reason)
		assert.Equal(t, (<-answers[id]).Fate, fate)
	}
	checkCancel("waits", caller.FateNotRun)
	checkCancel("runs", caller.FateFailed)
	assert.Equal(t, c.startCount("waits"), 0)
	var answer caller.Answer
	err := other.Do(context.Background(), http.MethodGet, "/v1/requests/nobody", nil, &answer)
	assert.ErrorContains(t, err, "404")
}
