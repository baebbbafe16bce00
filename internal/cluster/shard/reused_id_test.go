package shard

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronbay/citronbay/internal/cluster/caller"
	"github.com/citronbay/citronbay/internal/cluster/worker"
	"github.com/citronbay/citronbay/internal/decide/job"
)

// pruned is enough for an owner of runOwner to prune a job that has ended.
const pruned = time.Minute + 2*pruneInterval

// jobCall returns a call of the verb about the accepted job.
func jobCall(verb caller.Verb) caller.Request {
	r := submission(acceptedID, validKey, secondCall)
	r.Verb, r.Submission = verb, nil
	return r
}

// submitTasks has the job accepted with the given number of tasks.
func submitTasks(t *testing.T, s *Shard, count int) {
	t.Helper()
	r := submission(acceptedID, validKey, firstCall)
	r.Submission.Steps[0].Count = count
	assert.Equal(t, s.Serve(t.Context(), r).Status, caller.OK)
}

// TestReusedIDDoesNotEndNextOwner guards against a journal from which no owner can recover: it holds
// the acceptance of a job that an owner has pruned, and that of a later job with the same ID.
func TestReusedIDDoesNotEndNextOwner(t *testing.T) {
	for name, c := range map[string]struct {
		reuses     int  // how often the ID comes again
		extraTasks int  // of each later job with the ID
		takeover   bool // a further owner has pruned the job too
		cancelled  bool // the last job with the ID has ended
		want       caller.JobState
	}{
		"same body": {
			reuses: 1,
			want:   caller.Queued,
		},
		"another body": {
			reuses:     1,
			extraTasks: 2,
			want:       caller.Queued,
		},
		"three times": {
			reuses:     3,
			extraTasks: 1,
			want:       caller.Queued,
		},
		"pruned by two owners": {
			reuses:   1,
			takeover: true,
			want:     caller.Queued,
		},
		"ended again": {
			reuses:    2,
			cancelled: true,
			want:      caller.Cancelled,
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				client := newMemoryStore()
				agreement := testAgreement(1, queueHost, validKey)
				owner, release := runOwner(t, client, agreement)
				tasks := 1
				submitTasks(t, owner, tasks)
				for range c.reuses {
					assert.Equal(t, owner.Serve(t.Context(), jobCall(caller.Cancel)).Status, caller.OK)
					time.Sleep(pruned)
					if c.takeover {
						release()
						owner, release = runOwner(t, client, agreement)
						time.Sleep(pruned)
					}
					tasks += c.extraTasks
					submitTasks(t, owner, tasks)
				}
				if c.cancelled {
					assert.Equal(t, owner.Serve(t.Context(), jobCall(caller.Cancel)).Status, caller.OK)
				}
				release()
				next, release := runOwner(t, client, agreement)
				defer release()
				response := next.Serve(t.Context(), jobCall(caller.Read))
				assert.Equal(t, response.Status, caller.OK)
				assert.Equal(t, response.State, c.want)
				assert.Equal(t, next.Serve(t.Context(), submission(unknownID, validKey, secondCall)).Status, caller.OK)
				next.mu.Lock()
				defer next.mu.Unlock()
				assert.Equal(t, len(next.state.Job(acceptedID).Steps[0].Tasks), tasks)
				assert.NilError(t, next.term.Context().Err())
			})
		})
	}
}

// TestRepeatedSubmissionRemainsOneJob checks the promise beside the reuse of an ID: while the state
// of an ended job is kept, a repeated submission is confirmed and starts nothing, at this owner and
// the next one.
func TestRepeatedSubmissionRemainsOneJob(t *testing.T) {
	for name, takeover := range map[string]bool{
		"same owner": false,
		"next owner": true,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				client := newMemoryStore()
				agreement := testAgreement(1, queueHost, validKey)
				owner, release := runOwner(t, client, agreement)
				submitTasks(t, owner, 1)
				assert.Equal(t, owner.Serve(t.Context(), jobCall(caller.Cancel)).Status, caller.OK)
				if takeover {
					release()
					owner, release = runOwner(t, client, agreement)
				}
				defer release()
				time.Sleep(time.Minute - time.Second)
				submitTasks(t, owner, 1)
				assert.Equal(t, owner.Serve(t.Context(), jobCall(caller.Read)).State, caller.Cancelled)
				owner.mu.Lock()
				defer owner.mu.Unlock()
				assert.Equal(t, len(owner.state.OpenJobs()), 0)
			})
		})
	}
}

// rememberingWorker is a restartingWorker that completes each attempt at once and, as long as it
// runs, refuses an attempt that is not higher than one of the task that has ended on it.
type rememberingWorker struct {
	*restartingWorker
	highest map[job.TaskKey]int
	refused int
}

func (w *rememberingWorker) Start(_ context.Context, request worker.Start) (worker.Answer, int64, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if request.Attempt <= w.highest[request.Task] {
		w.refused++
		return worker.RefusedOld, 0, nil
	}
	answer := w.start(request)
	if answer == worker.Started {
		w.highest[request.Task] = request.Attempt
		w.end(request.Task, worker.Done)
	}
	return answer, 0, nil
}

// Poll forgets the ended attempts that are acknowledged.
func (w *rememberingWorker) Poll(ctx context.Context, poll worker.Poll) (worker.Report, error) {
	w.mu.Lock()
	for len(w.ended) > 0 && w.ended[0].Number <= poll.AckedNumber {
		w.ended = w.ended[1:]
	}
	w.mu.Unlock()
	return w.restartingWorker.Poll(ctx, poll)
}

// TestReusedIDRunsOnWorkerThatKnowsIt guards against a job that never runs because its worker has
// seen attempts of an earlier job with the same ID, whose numbers the owner no longer knows.
func TestReusedIDRunsOnWorkerThatKnowsIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client := &rememberingWorker{
			restartingWorker: newRestartingWorker(),
			highest:          map[job.TaskKey]int{},
		}
		agreement := testAgreement(1, queueHost, validKey)
		agreement.Rules.Queues = map[string]job.Queue{"queue": {
			Name:    "queue",
			Service: "service",
		}}
		owner, release := runOwner(t, newMemoryStore(), agreement, func(o *Options) {
			o.NewWorkerClient = func(worker.Registration) (worker.Client, func()) {
				return client, func() {}
			}
			o.WorkerLease, o.MaxWorkerLease = 6500*time.Millisecond, maxTestLease
		})
		defer release()
		registration := firstRegistration()
		registration.Service = "service"
		registration.Capacity = job.Resources{MilliCores: 1000}
		owner.SetWorkers([]worker.Registration{registration})
		for n := range 3 {
			submitTasks(t, owner, 1)
			time.Sleep(2 * time.Second)
			assert.Equal(t, owner.Serve(t.Context(), jobCall(caller.Read)).State, caller.Completed, "job %d", n)
			time.Sleep(pruned)
		}
		assert.Equal(t, client.refused, 1+2, "one attempt for each that has ended on the worker")
	})
}
