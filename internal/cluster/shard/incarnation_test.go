package shard

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronbay/citronbay/internal/cluster/worker"
	"github.com/citronbay/citronbay/internal/decide/job"
)

// firstRegistration is the directory's entry of the worker's first incarnation.
func firstRegistration() worker.Registration {
	return worker.Registration{
		ID:          "w",
		Incarnation: 1,
	}
}

// TestAttemptIsStoppedIfCancelledBeforeLink guards against an attempt of a predecessor that
// is never stopped because its job was cancelled before the directory listed its worker.
func TestAttemptIsStoppedIfCancelledBeforeLink(t *testing.T) {
	task := job.TaskKey{Job: acceptedID}
	for name, incarnation := range map[string]int64{
		"same incarnation": 1,
		"next incarnation": 2,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				client := newRestartingWorker()
				client.incarnation = incarnation
				client.running[task] = 1
				s, release := newRestartTest(t, client)
				defer release()
				placeOnFirstIncarnation(t, s)
				s.inheritPlacements()
				s.mu.Lock()
				s.appendToJournal(s.finishJob(nil, s.state.Job(acceptedID), job.Cancelled, 0), nil)
				s.mu.Unlock()
				registration := firstRegistration()
				registration.Incarnation = incarnation
				s.SetWorkers([]worker.Registration{registration})
				time.Sleep(10 * time.Second)
				client.mu.Lock()
				defer client.mu.Unlock()
				assert.Equal(t, client.running[task], 0, "the cancelled job's attempt still runs")
			})
		})
	}
}

// fullWorker lists maxEndedPerReport ended attempts in its first report, and none later.
type fullWorker struct {
	*restartingWorker
	reported bool
}

func (w *fullWorker) Poll(ctx context.Context, poll worker.Poll) (worker.Report, error) {
	report, err := w.restartingWorker.Poll(ctx, poll)
	if err != nil || w.reported {
		return report, err
	}
	w.reported = true
	for n := range maxEndedPerReport {
		report.Ended = append(report.Ended, worker.Ended{
			Number:  int64(n + 1),
			Task:    job.TaskKey{Job: unknownID},
			Attempt: 1,
			Outcome: worker.Done,
		})
	}
	return report, nil
}

// TestTaskWaitsAfterFullFirstReport guards against a placement that never ends because the
// first report, in which the attempt is absent, was too full to show that.
func TestTaskWaitsAfterFullFirstReport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, release := newRestartTest(t, &fullWorker{restartingWorker: newRestartingWorker()})
		defer release()
		placeOnFirstIncarnation(t, s)
		s.inheritPlacements()
		s.SetWorkers([]worker.Registration{firstRegistration()})
		time.Sleep(time.Minute)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.expireLinks()
		assert.Assert(t, s.state.Placement(job.TaskKey{Job: acceptedID}) == nil,
			"the task does not run and is still placed after a minute")
	})
}

// TestRestartedAttemptHasNotStalled guards against an attempt that is stopped as stalled in
// the first report of a restarted worker, by the progress of the last incarnation.
func TestRestartedAttemptHasNotStalled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		task := job.TaskKey{Job: acceptedID}
		client := newRestartingWorker()
		client.hold = true
		s, release := newRestartTest(t, client)
		defer release()
		s.SetWorkers([]worker.Registration{firstRegistration()})
		time.Sleep(pollsAnswered)
		s.sendStarts(s.placementsOf([]job.Record{placeOnFirstIncarnation(t, s)}))
		time.Sleep(orderTimeout / 2)
		client.mu.Lock()
		client.hold = false // the second copy is carried out
		client.mu.Unlock()
		time.Sleep(orderTimeout/2 + 1400*time.Millisecond)
		client.restart()
		time.Sleep(10 * time.Millisecond)
		client.mu.Lock()
		client.start(client.held[0])
		client.mu.Unlock()
		time.Sleep(300 * time.Millisecond)
		s.mu.Lock()
		defer s.mu.Unlock()
		client.mu.Lock()
		defer client.mu.Unlock()
		assert.Equal(t, len(client.ended), 0, "the owner has stopped the attempt: %v", client.ended)
		p := s.state.Placement(task)
		assert.Assert(t, p != nil)
		assert.Equal(t, p.Worker.Incarnation, int64(2))
	})
}

// TestRestartedWorkerIsNotUsedAsBefore guards against starts on a restarted worker
// according to the kind and capacity of its last incarnation, which may be different ones.
func TestRestartedWorkerIsNotUsedAsBefore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client := newRestartingWorker()
		s, release := newRestartTest(t, client)
		defer release()
		registration := firstRegistration()
		registration.Capacity = job.Resources{MilliCores: 32000}
		registration.Labels = []string{"large"}
		s.SetWorkers([]worker.Registration{registration})
		time.Sleep(pollsAnswered)
		client.restart()
		time.Sleep(500 * time.Millisecond)
		s.mu.Lock()
		w := *s.links["w"].plannerWorker(time.Now())
		s.mu.Unlock()
		assert.Equal(t, w.Incarnation, int64(2))
		assert.Assert(t, !w.Usable, "the directory has not said yet what the new incarnation is")

		registration.Incarnation = 2
		registration.Capacity = job.Resources{MilliCores: 8000}
		registration.Labels = []string{"small"}
		s.SetWorkers([]worker.Registration{registration})
		s.mu.Lock()
		w = *s.links["w"].plannerWorker(time.Now())
		s.mu.Unlock()
		assert.Assert(t, w.Usable)
		assert.Equal(t, w.Capacity, registration.Capacity)
	})
}

// TestStaleEntryOfHigherIncarnation guards against a directory entry of the last incarnation
// that replaces the link to the present one, whose number is lower: it is a time of day,
// which may have been set back before the restart.
func TestStaleEntryOfHigherIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		task := job.TaskKey{Job: acceptedID}
		client := newRestartingWorker()
		client.incarnation = 2
		s, release := newRestartTest(t, client)
		defer release()
		stale := firstRegistration()
		stale.Incarnation = 2
		s.SetWorkers([]worker.Registration{stale})
		time.Sleep(pollsAnswered)
		client.restart()
		client.mu.Lock()
		client.incarnation = 1
		client.mu.Unlock()
		time.Sleep(pollsAnswered)
		s.sendStarts(s.placementsOf([]job.Record{placeOnFirstIncarnation(t, s)}))
		time.Sleep(pollsAnswered)
		s.mu.Lock()
		assert.Assert(t, s.state.Placement(task).Settled())
		s.mu.Unlock()

		s.SetWorkers([]worker.Registration{stale})
		s.mu.Lock()
		defer s.mu.Unlock()
		client.mu.Lock()
		defer client.mu.Unlock()
		assert.Equal(t, client.running[task], 1)
		assert.Assert(t, s.state.Placement(task) != nil, "the owner may start the task elsewhere, and it runs")
	})
}

// maxTestLease is the longest lease that a leasedWorker grants, as on the platform.
const maxTestLease = 10 * time.Second

// leasedWorker is a restartingWorker with a clock and a lease, which can be cut off.
type leasedWorker struct {
	*restartingWorker
	clockOrigin time.Time
	leaseEnd    time.Time
	cut         bool // requests get no answer and have no effect
}

func (w *leasedWorker) Start(ctx context.Context, request worker.Start) (worker.Answer, int64, error) {
	w.mu.Lock()
	until := min(time.Duration(request.UntilMillis)*time.Millisecond, time.Since(w.clockOrigin)+maxTestLease)
	w.leaseEnd = w.clockOrigin.Add(until)
	w.mu.Unlock()
	answer, clock, err := w.restartingWorker.Start(ctx, request)
	w.mu.Lock()
	w.cut = true
	w.mu.Unlock()
	return answer, clock, err
}

func (w *leasedWorker) Poll(ctx context.Context, poll worker.Poll) (worker.Report, error) {
	w.mu.Lock()
	cut := w.cut
	w.mu.Unlock()
	if cut {
		<-ctx.Done()
		return worker.Report{}, ctx.Err()
	}
	report, err := w.restartingWorker.Poll(ctx, poll)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.cut {
		return worker.Report{}, context.DeadlineExceeded
	}
	report.ClockMillis = time.Since(w.clockOrigin).Milliseconds()
	return report, err
}

// TestLeaseOfRestartedWorkerOutlastsOwner guards against an attempt that is given up while
// it runs: the end of the lease in its start order is a time on the clock of the last
// incarnation, and on that of the present one it is the longest lease away.
func TestLeaseOfRestartedWorkerOutlastsOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client := &leasedWorker{
			restartingWorker: newRestartingWorker(),
			clockOrigin:      time.Now().Add(-time.Hour),
		}
		s, release := newRestartTest(t, client)
		defer release()
		s.SetWorkers([]worker.Registration{firstRegistration()})
		time.Sleep(pollsAnswered)
		placed := placeOnFirstIncarnation(t, s)
		client.restart()
		client.mu.Lock()
		client.clockOrigin = time.Now()
		client.mu.Unlock()
		s.sendStarts(s.placementsOf([]job.Record{placed}))
		synctest.Wait()
		client.mu.Lock()
		leaseEnd := client.leaseEnd
		client.mu.Unlock()
		assert.Equal(t, leaseEnd.Sub(time.Now()), maxTestLease)
		for time.Now().Before(leaseEnd) {
			s.mu.Lock()
			s.expireLinks()
			p := s.state.Placement(job.TaskKey{Job: acceptedID})
			s.mu.Unlock()
			assert.Assert(t, p != nil, "given up %v before the end of the lease", time.Until(leaseEnd))
			time.Sleep(100 * time.Millisecond)
		}
	})
}

// TestTaskStartsAfterLateCompletion guards against a task that starts again although an
// attempt that was given up has completed, and its end is acknowledged.
func TestTaskStartsAfterLateCompletion(t *testing.T) {
	for name, c := range map[string]struct {
		spec          job.StepSpec
		placed        bool // the next attempt is placed elsewhere
		wantRemaining int  // tasks that are not done
	}{
		"not placed": {
			spec: job.StepSpec{Count: 1},
		},
		"placed elsewhere": {
			spec:   job.StepSpec{Count: 1},
			placed: true,
		},
		"one of two tasks": {
			spec:          job.StepSpec{Count: 2},
			wantRemaining: 1,
		},
		"gang": {
			spec: job.StepSpec{
				Count: 2,
				Gang:  true,
			},
		},
		"endless": {
			spec: job.StepSpec{
				Count:   1,
				Endless: true,
			},
			wantRemaining: 1,
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, release := newRestartTest(t, newRestartingWorker())
				defer release()
				s.mu.Lock()
				defer s.mu.Unlock()
				task := job.TaskKey{Job: unknownID}
				records := []job.Record{
					{
						Kind: job.RecordAccept,
						Job:  unknownID,
						Submission: &job.Submission{
							Steps: []job.StepSpec{c.spec},
						},
					},
					{
						Kind:    job.RecordPlace,
						Job:     unknownID,
						Attempt: 1,
						Worker:  "w",
					},
					{
						Kind:    job.RecordAttemptEnd,
						Job:     unknownID,
						Attempt: 1,
					},
				}
				if c.placed {
					records = append(records, job.Record{
						Kind:    job.RecordPlace,
						Job:     unknownID,
						Attempt: 2,
						Worker:  "other",
					})
				}
				for _, r := range records {
					assert.NilError(t, s.state.Apply(r))
				}
				l := s.newLink(t.Context(), firstRegistration(), true)
				defer l.cancel()
				changes, _ := s.recordEnded(l, []worker.Ended{{
					Number:  1,
					Task:    task,
					Attempt: 1,
					Outcome: worker.Done,
				}})
				remaining := 0
				for _, t := range s.state.Job(unknownID).Steps[0].Tasks {
					if !t.Done {
						remaining++
					}
				}
				assert.Equal(t, remaining, c.wantRemaining)
				assert.Equal(t, s.state.Job(unknownID).Outcome == job.Completed, c.wantRemaining == 0)
				if p := s.state.Placement(task); p != nil {
					assert.Assert(t, p.Stopping)
				}
				rebuilt := job.NewState()
				for _, r := range append(records, changes...) {
					assert.NilError(t, rebuilt.Apply(r))
				}
				assert.Equal(t, rebuilt.Job(unknownID).Outcome, s.state.Job(unknownID).Outcome)
			})
		})
	}
}

// TestLateOrderAfterNextRestart guards against a task that runs on a late copy of a start
// order of an attempt that was given up: the incarnation that showed that the attempt does
// not run had seen a higher token or a stop order, but the next one has seen neither.
func TestLateOrderAfterNextRestart(t *testing.T) {
	task := job.TaskKey{Job: acceptedID}
	for name, giveUp := range map[string]func(s *Shard, client *restartingWorker){
		"stopped before the restart": func(*Shard, *restartingWorker) {
			time.Sleep(3 * time.Second)
		},
		"absent from the report after an earlier restart": func(s *Shard, client *restartingWorker) {
			time.Sleep(100 * time.Millisecond)
			client.restart()
			registration := firstRegistration()
			registration.Incarnation = 2
			s.SetWorkers([]worker.Registration{registration})
			time.Sleep(time.Second)
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				client := newRestartingWorker()
				client.hold = true
				s, release := newRestartTest(t, client)
				defer release()
				s.SetWorkers([]worker.Registration{firstRegistration()})
				time.Sleep(pollsAnswered)
				s.sendStarts(s.placementsOf([]job.Record{placeOnFirstIncarnation(t, s)}))
				giveUp(s, client)
				client.restart()

				s.mu.Lock()
				defer s.mu.Unlock()
				client.mu.Lock()
				defer client.mu.Unlock()
				for _, request := range client.held {
					client.start(request)
				}
				waiting := s.state.Placement(task) == nil
				assert.Assert(t, !waiting || client.running[task] == 0,
					"the owner may start the task elsewhere, and it runs")
			})
		})
	}
}
