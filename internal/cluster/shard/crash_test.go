package shard

import (
	"context"
	"fmt"
	"io"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronbay/citronbay/internal/cluster/worker"
	"github.com/citronbay/citronbay/internal/decide/job"
)

// crashingWorker is a restartingWorker whose polls fail while it is away, or time out if it is
// silent. Another worker answers at its address while it is replaced.
type crashingWorker struct {
	*restartingWorker
	silent         bool
	away, replaced atomic.Bool
}

func (w *crashingWorker) Poll(ctx context.Context, poll worker.Poll) (worker.Report, error) {
	report, err := w.restartingWorker.Poll(ctx, poll)
	if w.replaced.Load() {
		return worker.Report{Refused: worker.WrongIncarnation}, nil
	}
	if w.away.Load() && w.silent {
		<-ctx.Done()
		return worker.Report{}, ctx.Err()
	}
	if w.away.Load() {
		return worker.Report{}, io.EOF
	}
	return report, err
}

// TestTaskCrashesWorkers guards against a task that is started again and again although it
// crashes each worker that starts it. A worker that is only cut off proves nothing.
func TestTaskCrashesWorkers(t *testing.T) {
	const timeAway, cutTime = 3 * time.Second, 20 * time.Second
	const crashTime = 10 * time.Millisecond
	for name, c := range map[string]struct {
		runTimes    []time.Duration // of the attempts, until the worker crashes or is cut off
		cut         bool
		silent      bool // polls time out while the worker is away
		replaced    bool // the worker comes back under another ID
		listed      bool // the directory, not a report, tells the owner of the restart
		wantCrashes int
		wantOutcome job.Outcome
	}{
		"first crash": {
			runTimes:    []time.Duration{crashTime},
			wantCrashes: 1,
		},
		"second crash": {
			runTimes:    []time.Duration{crashTime, crashTime},
			wantCrashes: 2,
			wantOutcome: job.Failed,
		},
		"second crash, listed": {
			runTimes:    []time.Duration{crashTime, crashTime},
			listed:      true,
			wantCrashes: 2,
			wantOutcome: job.Failed,
		},
		"second crash, silent": {
			runTimes:    []time.Duration{crashTime, crashTime},
			silent:      true,
			wantCrashes: 2,
			wantOutcome: job.Failed,
		},
		"second crash, replaced": {
			runTimes:    []time.Duration{crashTime, crashTime},
			replaced:    true,
			wantCrashes: 2,
			wantOutcome: job.Failed,
		},
		"cleared before the second crash": {
			runTimes: []time.Duration{crashTime, 2 * time.Second},
		},
		"long after the start": {
			runTimes: []time.Duration{time.Second},
		},
		"cut off": {
			runTimes: []time.Duration{crashTime, crashTime},
			cut:      true,
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				client := &crashingWorker{
					restartingWorker: newRestartingWorker(),
					silent:           c.silent,
				}
				s, release := newRestartTest(t, client)
				defer release()
				registration := worker.Registration{
					ID:          "w",
					Incarnation: 1,
				}
				s.SetWorkers([]worker.Registration{registration})
				for n, runTime := range c.runTimes {
					time.Sleep(pollsAnswered)
					placed := job.Record{
						Kind:        job.RecordPlace,
						Job:         acceptedID,
						Attempt:     n + 1,
						Worker:      registration.ID,
						Incarnation: registration.Incarnation,
					}
					s.mu.Lock()
					assert.NilError(t, s.state.Apply(placed))
					s.mu.Unlock()
					s.sendStarts(s.placementsOf([]job.Record{placed}))
					time.Sleep(runTime)
					client.away.Store(true)
					if c.cut {
						time.Sleep(cutTime)
						s.mu.Lock()
						s.expireLinks()
						s.mu.Unlock()
						client.mu.Lock()
						client.running = map[job.TaskKey]int{} // its lease has expired too
						client.mu.Unlock()
						client.away.Store(false)
						continue
					}
					client.restart()
					time.Sleep(timeAway)
					client.away.Store(false)
					registration.Incarnation++
					if c.replaced {
						client.replaced.Store(true)
						s.SetWorkers(nil)
						time.Sleep(time.Second)
						client.replaced.Store(false)
						registration.ID += "w"
						s.SetWorkers([]worker.Registration{registration})
					}
					if c.listed {
						s.SetWorkers([]worker.Registration{registration})
					}
					time.Sleep(time.Second)
				}
				explained := s.Explain(acceptedID)
				s.mu.Lock()
				defer s.mu.Unlock()
				j := s.state.Job(acceptedID)
				task := j.Steps[0].Tasks[0]
				assert.Assert(t, task.Placement == nil)
				assert.Equal(t, task.Crashes, c.wantCrashes)
				assert.Equal(t, j.Outcome, c.wantOutcome)
				if c.wantCrashes == 2 {
					assert.Assert(t, slices.Contains(explained, "step 0 task 0: suspected of crashing 2 workers"))
				}
			})
		})
	}
}

// TestCutTasksAreNotSuspected guards against innocent tasks that are suspected of crashing
// their workers because a cut, behind which the workers restart, came just after their start.
// It checks that they can be placed again, and that a task whose worker falls silent alone is
// suspected.
func TestCutTasksAreNotSuspected(t *testing.T) {
	for name, c := range map[string]struct {
		workers     int
		wantCrashes int
	}{
		"cut":       {workers: 4},
		"one alone": {workers: 1, wantCrashes: 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, release := newRestartTest(t, nil)
				defer release()
				clients := map[string]*crashingWorker{}
				s.options.NewWorkerClient = func(r worker.Registration) (worker.Client, func()) {
					return clients[r.ID], func() {}
				}
				var registrations []worker.Registration
				var placed []job.Record
				for n := range c.workers {
					id := fmt.Sprint("w", n)
					clients[id] = &crashingWorker{
						restartingWorker: newRestartingWorker(),
						silent:           true,
					}
					registrations = append(registrations, worker.Registration{
						ID:          id,
						Incarnation: 1,
					})
					placed = append(placed, job.Record{
						Kind:        job.RecordPlace,
						Job:         fmt.Sprint("job", n),
						Attempt:     1,
						Worker:      id,
						Incarnation: 1,
					})
				}
				s.SetWorkers(registrations)
				time.Sleep(pollsAnswered)
				s.mu.Lock()
				for _, r := range placed {
					assert.NilError(t, s.state.Apply(job.Record{
						Kind: job.RecordAccept,
						Job:  r.Job,
						Submission: &job.Submission{
							Steps: []job.StepSpec{{Count: 1}},
						},
					}))
					assert.NilError(t, s.state.Apply(r))
				}
				s.mu.Unlock()
				s.sendStarts(s.placementsOf(placed))
				time.Sleep(10 * time.Millisecond)
				for _, client := range clients {
					client.away.Store(true)
				}
				time.Sleep(3 * time.Second)
				for _, client := range clients {
					client.replaced.Store(true)
					client.away.Store(false)
				}
				s.SetWorkers(nil)
				time.Sleep(2 * time.Second)
				s.mu.Lock()
				defer s.mu.Unlock()
				for _, r := range placed {
					task := s.state.Task(job.TaskKey{Job: r.Job})
					assert.Assert(t, task.Placement == nil)
					assert.Equal(t, task.Crashes, c.wantCrashes)
				}
			})
		})
	}
}
