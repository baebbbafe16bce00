package shard

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronbay/citronbay/internal/cluster/caller"
	"github.com/citronbay/citronbay/internal/cluster/worker"
	"github.com/citronbay/citronbay/internal/decide/job"
)

// cutWorker is a restartingWorker that answers nothing while it is cut off.
type cutWorker struct {
	*restartingWorker
	cut bool
}

func (w *cutWorker) isCut() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.cut
}

func (w *cutWorker) Stop(ctx context.Context, task job.TaskKey, attempt int, token int64) error {
	if w.isCut() {
		<-ctx.Done()
		return ctx.Err()
	}
	return w.restartingWorker.Stop(ctx, task, attempt, token)
}

func (w *cutWorker) Poll(ctx context.Context, poll worker.Poll) (worker.Report, error) {
	if w.isCut() {
		<-ctx.Done()
		return worker.Report{}, ctx.Err()
	}
	return w.restartingWorker.Poll(ctx, poll)
}

// gangCell is a shard with an open job whose only step is a gang, and workers that have room for one
// member each, or for all if there is one worker.
type gangCell struct {
	*testing.T
	store     *memoryStore
	agreement DatedAgreement
	workers   []*cutWorker
	owner     *Shard
	release   func()
}

const (
	gangMembers  = 3
	gangAttempts = 2
)

// newGangCell returns a cell whose gang runs for the first time, with members on the given number of
// workers. It must run in a synctest bubble.
func newGangCell(t *testing.T, workers int) *gangCell {
	c := &gangCell{
		T:         t,
		store:     newMemoryStore(),
		agreement: testAgreement(1, queueHost, validKey),
	}
	c.agreement.Rules.Queues = map[string]job.Queue{"queue": {
		Name:        "queue",
		Service:     "service",
		MaxFailures: gangAttempts,
	}}
	for range workers {
		c.workers = append(c.workers, &cutWorker{restartingWorker: newRestartingWorker()})
	}
	c.takeOver()
	t.Cleanup(func() { c.release() })
	r := submission(acceptedID, validKey, firstCall)
	r.Submission.Steps[0] = job.StepSpec{
		Count: gangMembers,
		Gang:  true,
		Needs: job.Resources{MilliCores: 1000},
		// The workers report no progress, which counts as stalled after a tenth of this.
		EstimateMillis: 600_000,
	}
	assert.Equal(t, c.owner.Serve(t.Context(), r).Status, caller.OK)
	c.awaitRun(1)
	return c
}

// takeOver has another owner run the shard.
func (c *gangCell) takeOver() {
	if c.release != nil {
		c.release()
	}
	byID := map[string]*cutWorker{}
	var list []worker.Registration
	for n, w := range c.workers {
		r := firstRegistration()
		r.ID, r.Service = fmt.Sprintf("w%d", n), "service"
		r.Capacity = job.Resources{MilliCores: max(1000, int64(1000*gangMembers/len(c.workers)))}
		byID[r.ID] = w
		list = append(list, r)
	}
	c.owner, c.release = runOwner(c.T, c.store, c.agreement, func(o *Options) {
		o.NewWorkerClient = func(r worker.Registration) (worker.Client, func()) {
			return byID[r.ID], func() {}
		}
		o.WorkerLease, o.MaxWorkerLease = 6500*time.Millisecond, maxTestLease
	})
	c.owner.SetWorkers(list)
}

// awaitRun waits until all members run with the attempt number.
func (c *gangCell) awaitRun(attempt int) {
	c.Helper()
	time.Sleep(2 * time.Second)
	running := 0
	for _, w := range c.workers {
		w.mu.Lock()
		for _, a := range w.running {
			assert.Equal(c, a, attempt)
			running++
		}
		w.mu.Unlock()
	}
	assert.Equal(c, running, gangMembers)
}

// fail ends what runs on the workers as failed, at one moment.
func (c *gangCell) fail(workers ...int) {
	for _, n := range workers {
		w := c.workers[n]
		w.mu.Lock()
		for task := range w.running {
			w.end(task, worker.Failed)
		}
		w.mu.Unlock()
	}
}

// setCut cuts the worker off, or ends that.
func (c *gangCell) setCut(n int, cut bool) {
	w := c.workers[n]
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cut = cut
}

func (c *gangCell) state() caller.JobState {
	return c.owner.Serve(c.Context(), jobCall(caller.Read)).State
}

// TestGangRunFailsOnce guards against a job that is shown as failed after one run of its gang, with
// attempts left, because several members of the run ended failed. After as many failed runs as there
// are attempts the job has failed, and no further run starts.
func TestGangRunFailsOnce(t *testing.T) {
	for name, c := range map[string]struct {
		workers int
		// failRun makes the present run fail; the owner has read all its ends 500 ms later.
		failRun func(c *gangCell)
	}{
		"one member": {
			workers: 3,
			failRun: func(c *gangCell) {
				c.fail(1)
			},
		},
		"all members, one report": {
			workers: 1,
			failRun: func(c *gangCell) {
				c.fail(0)
			},
		},
		"all members, three reports": {
			workers: 3,
			failRun: func(c *gangCell) {
				c.fail(0, 1, 2)
			},
		},
		"a member fails although it is to be stopped": {
			workers: 3,
			failRun: func(c *gangCell) {
				c.setCut(2, true)
				c.fail(0)
				time.Sleep(300 * time.Millisecond)
				c.fail(2)
				c.setCut(2, false)
			},
		},
		"the next owner reads the second failure": {
			workers: 3,
			failRun: func(c *gangCell) {
				c.setCut(2, true)
				c.fail(0)
				time.Sleep(300 * time.Millisecond)
				c.fail(2)
				c.takeOver()
				c.setCut(2, false)
			},
		},
		"the second failure is read during the next run": {
			workers: 4,
			failRun: func(c *gangCell) {
				c.setCut(2, true)
				c.fail(0, 2)
				time.Sleep(2 * maxTestLease)
				c.setCut(2, false)
			},
		},
		"the next owner reads all failures again": {
			workers: 3,
			failRun: func(c *gangCell) {
				c.setCut(2, true)
				c.fail(0, 1, 2)
				time.Sleep(300 * time.Millisecond)
				c.takeOver()
				time.Sleep(300 * time.Millisecond)
				c.takeOver()
				c.setCut(2, false)
			},
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cell := newGangCell(t, c.workers)
				for attempt := 2; attempt <= gangAttempts; attempt++ {
					c.failRun(cell)
					time.Sleep(500 * time.Millisecond)
					assert.Equal(t, cell.state(), caller.Running, "%d of %d runs have failed", attempt-1, gangAttempts)
					cell.awaitRun(attempt)
				}
				c.failRun(cell)
				time.Sleep(500 * time.Millisecond)
				assert.Equal(t, cell.state(), caller.Failed)
				time.Sleep(2 * time.Second)
				for _, w := range cell.workers {
					assert.Equal(t, len(w.running), 0, "no run starts after the last attempt")
				}
			})
		})
	}
}

// TestRunWithoutFailureIsNoAttempt checks the promise beside the limit of attempts: a run of a gang in
// which no member ended failed does not count.
func TestRunWithoutFailureIsNoAttempt(t *testing.T) {
	for name, end := range map[string]func(c *gangCell){
		"stopped": func(c *gangCell) {
			for _, w := range c.workers {
				w.mu.Lock()
				for task := range w.running {
					w.end(task, worker.Stopped)
				}
				w.mu.Unlock()
			}
		},
		"lapsed and broken": func(c *gangCell) {
			for n, w := range c.workers {
				w.mu.Lock()
				for task := range w.running {
					w.end(task, []worker.Outcome{worker.LeaseExpired, worker.GangBroken, worker.GangIncomplete}[n])
				}
				w.mu.Unlock()
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cell := newGangCell(t, gangMembers)
				for attempt := 2; attempt <= 2*gangAttempts; attempt++ {
					end(cell)
					cell.awaitRun(attempt)
					assert.Equal(t, cell.state(), caller.Running)
				}
				cell.fail(0, 1, 2)
				cell.awaitRun(2*gangAttempts + 1)
				cell.fail(0, 1, 2)
				time.Sleep(time.Second)
				assert.Equal(t, cell.state(), caller.Failed)
			})
		})
	}
}

// TestGangRunCountsOnceAgainstWorker guards against the quarantine of a worker because several members
// of one run of a gang ended failed there. Failures in a row, of runs or of other tasks, still count.
func TestGangRunCountsOnceAgainstWorker(t *testing.T) {
	for name, c := range map[string]struct {
		gang bool
		runs int // each with gangMembers failed ends
		done int // a task completes after that many runs; zero means none does
		want int
	}{
		"gang": {
			gang: true,
			runs: 1,
			want: 1,
		},
		"gang that fails three times": {
			gang: true,
			runs: 3,
			want: 3,
		},
		"gang that fails three times, a success between": {
			gang: true,
			runs: 3,
			done: 1,
			want: 2,
		},
		"other tasks": {
			runs: 1,
			want: gangMembers,
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, release := newRestartTest(t, newRestartingWorker())
				defer release()
				s.SetWorkers([]worker.Registration{{
					ID:          "w",
					Incarnation: 1,
				}})
				s.mu.Lock()
				defer s.mu.Unlock()
				assert.NilError(t, s.state.Apply(job.Record{
					Kind: job.RecordAccept,
					Job:  unknownID,
					Submission: &job.Submission{Steps: []job.StepSpec{{
						Count: gangMembers,
						Gang:  c.gang,
					}}},
				}))
				l := s.links["w"]
				number := int64(0)
				report := func(id string, index, attempt int, outcome worker.Outcome) {
					assert.NilError(t, s.state.Apply(job.Record{
						Kind:        job.RecordPlace,
						Job:         id,
						Index:       index,
						Attempt:     attempt,
						Worker:      "w",
						Incarnation: 1,
					}))
					number++
					s.recordEnded(l, []worker.Ended{{
						Number: number,
						Task: job.TaskKey{
							Job:   id,
							Index: index,
						},
						Attempt: attempt,
						Outcome: outcome,
					}})
				}
				for attempt := 1; attempt <= c.runs; attempt++ {
					for n := range gangMembers {
						report(unknownID, n, attempt, worker.Failed)
					}
					if attempt == c.done {
						report(acceptedID, 0, 1, worker.Done)
					}
				}
				assert.Equal(t, l.failures, c.want)
				assert.Equal(t, l.quarantinedUntil.After(time.Now()), c.want >= quarantineFailures)
			})
		})
	}
}
