package shard

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronbay/citronbay/internal/api/traffic"
	"github.com/citronbay/citronbay/internal/cluster/worker"
	"github.com/citronbay/citronbay/internal/decide/job"
)

const (
	// slowestClock is the slowest rate of a worker's clock that the worker protocol permits.
	slowestClock = 0.98
	// endsAfter is when the short task of a timedWorker ends, counted from a poll that is held.
	endsAfter = 960 * time.Millisecond
)

// shortTask ends while a poll is held.
var shortTask = job.TaskKey{Job: "short"}

// timedWorker is a worker with a clock of its own, which enforces the worker lease. It runs the task
// of the job, and holds polls until they time out or a short task ends. Reports take travel to
// arrive.
type timedWorker struct {
	worker.Client
	rate   float64 // of its clock
	travel time.Duration

	mu       sync.Mutex
	origin   time.Time
	leaseEnd time.Time // by the owner's clock
	killed   bool      // the lease has expired while the task ran
	endSoon  bool      // a short task ends during the next poll that is held
	ended    []worker.Ended
	cut      bool // since the first poll after the report of the short task
}

func newTimedWorker(rate float64, travel time.Duration) *timedWorker {
	return &timedWorker{
		rate:   rate,
		travel: travel,
		origin: time.Now().Add(-time.Hour),
	}
}

// clock returns the worker's clock in milliseconds.
func (w *timedWorker) clock() int64 {
	return int64(float64(time.Since(w.origin).Milliseconds()) * w.rate)
}

// extend extends the lease to a time on the worker's clock, if it has not expired. The caller holds
// w.mu.
func (w *timedWorker) extend(untilMillis int64) {
	if untilMillis == 0 {
		return
	}
	if !w.leaseEnd.IsZero() && time.Now().After(w.leaseEnd) {
		w.killed = true
	}
	left := time.Duration(float64(untilMillis-w.clock()) / w.rate * float64(time.Millisecond))
	if end := time.Now().Add(left); end.After(w.leaseEnd) {
		w.leaseEnd = end
	}
}

// hold waits as long as the poll permits, or until the short task ends.
func (w *timedWorker) hold(ctx context.Context, poll worker.Poll) {
	w.mu.Lock()
	wait := time.Duration(poll.WaitMillis) * time.Millisecond
	ends := w.endSoon && wait > endsAfter
	if ends {
		w.endSoon, wait = false, endsAfter
	}
	w.mu.Unlock()
	sleep(ctx, wait)
	w.mu.Lock()
	defer w.mu.Unlock()
	if ends {
		w.ended = []worker.Ended{{
			Number:  1,
			Task:    shortTask,
			Attempt: 1,
			Outcome: worker.Done,
		}}
	}
}

func (w *timedWorker) Poll(ctx context.Context, poll worker.Poll) (worker.Report, error) {
	w.mu.Lock()
	if !w.cut {
		w.extend(poll.UntilMillis)
		w.cut = len(w.ended) > 0
	}
	cut := w.cut
	w.mu.Unlock()
	if cut {
		<-ctx.Done()
		return worker.Report{}, ctx.Err()
	}
	w.hold(ctx, poll)
	w.mu.Lock()
	report := worker.Report{
		Incarnation: 1,
		ClockMillis: w.clock(),
		Ended:       w.ended,
		Running: []worker.Running{{
			Task:    job.TaskKey{Job: acceptedID},
			Attempt: 1,
			Percent: 100, // not stalled
		}},
	}
	w.mu.Unlock()
	sleep(ctx, w.travel)
	return report, ctx.Err()
}

// isCut reports whether the worker is cut off, and when its lease ends.
func (w *timedWorker) isCut() (cut bool, leaseEnd time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.cut, w.leaseEnd
}

// TestTaskIsNotGivenUpDuringWorkerLease guards against a task that starts elsewhere while its worker,
// which is cut off, still runs it: the owner expected the worker lease to end sooner than it did,
// since it took the worker's clock at the end of a poll for that at its beginning. The write of the
// completion of another task is slow, so that the owner does not count a further extension. The second
// bound guards against the opposite error, a task that waits longer than the lease requires.
func TestTaskIsNotGivenUpDuringWorkerLease(t *testing.T) {
	for name, c := range map[string]struct {
		rate   float64
		travel time.Duration // of reports
	}{
		"reports arrive at once":            {rate: 1},
		"slow clock":                        {rate: slowestClock},
		"reports are late":                  {rate: 1, travel: 500 * time.Millisecond},
		"reports are late, with slow clock": {rate: slowestClock, travel: 500 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				client, slow := newTimedWorker(c.rate, c.travel), &slowStore{}
				s, release := newRestartTestIn(t, slow, client)
				defer release()
				placeOnFirstIncarnation(t, s)
				placeShortTask(t, s)
				s.SetWorkers([]worker.Registration{firstRegistration()})
				time.Sleep(pollsAnswered + 2*c.travel)

				slow.slow.Store(true)
				client.mu.Lock()
				client.endSoon = true
				client.mu.Unlock()
				cut, leaseEnd := client.isCut()
				for !cut {
					time.Sleep(time.Millisecond)
					cut, leaseEnd = client.isCut()
				}
				slow.slow.Store(false)

				for isPlaced(s) {
					s.mu.Lock()
					s.expireLinks()
					s.mu.Unlock()
					time.Sleep(10 * time.Millisecond)
				}
				assert.Assert(t, time.Now().After(leaseEnd), "given up %v before the end of the lease", time.Until(leaseEnd))
				late := onOwnerClock(s.grantedLease()) - s.grantedLease() + s.unresponsiveAfter() + c.travel
				assert.Assert(t, time.Since(leaseEnd) < late, "given up %v after the end of the lease", time.Since(leaseEnd))
			})
		})
	}
}

// placeShortTask adds a job with shortTask, which runs on the worker.
func placeShortTask(t *testing.T, s *Shard) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range []job.Record{
		{
			Kind:       job.RecordAccept,
			Job:        shortTask.Job,
			Submission: &job.Submission{Steps: []job.StepSpec{{Count: 1}}},
		},
		{
			Kind:        job.RecordPlace,
			Job:         shortTask.Job,
			Attempt:     1,
			Worker:      "w",
			Incarnation: 1,
		},
	} {
		assert.NilError(t, s.state.Apply(r))
	}
}

// isPlaced reports whether the job's task is placed.
func isPlaced(s *Shard) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Placement(job.TaskKey{Job: acceptedID}) != nil
}

// TestSlowWorkerKeepsLease guards against a lease that is reckoned too short: a worker whose reports
// are late, up to the time-out of polls, keeps its tasks.
func TestSlowWorkerKeepsLease(t *testing.T) {
	for name, c := range map[string]struct {
		rate   float64
		travel time.Duration
	}{
		"slow clock":       {rate: slowestClock},
		"late reports":     {rate: 1, travel: pollTimeoutSlack - 10*time.Millisecond},
		"both":             {rate: slowestClock, travel: pollTimeoutSlack - 10*time.Millisecond},
		"reports in time":  {rate: 1},
		"a fast one, late": {rate: 1 / slowestClock, travel: pollTimeoutSlack - 10*time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				client := newTimedWorker(c.rate, c.travel)
				s, release := newRestartTest(t, client)
				defer release()
				placeOnFirstIncarnation(t, s)
				s.SetWorkers([]worker.Registration{firstRegistration()})
				var least time.Duration
				for begin := time.Now(); time.Since(begin) < time.Minute; time.Sleep(10 * time.Millisecond) {
					client.mu.Lock()
					assert.Assert(t, !client.killed)
					if left := time.Until(client.leaseEnd); !client.leaseEnd.IsZero() && (least == 0 || left < least) {
						least = left
					}
					client.mu.Unlock()
				}
				// A poll that fails is repeated once while the lease lasts.
				assert.Assert(t, least > s.options.WorkerLease-2*(s.pollWait()+pollTimeoutSlack), "the lease had %v left", least)
			})
		})
	}
}

// partitionedWorker is a timedWorker that a partition separates from the owner: polls that are sent
// meanwhile, and reports that would arrive, get lost.
type partitionedWorker struct {
	*timedWorker
	from, to time.Time
}

func (w *partitionedWorker) isPartitioned() bool {
	now := time.Now()
	return now.After(w.from) && now.Before(w.to)
}

func (w *partitionedWorker) Poll(ctx context.Context, poll worker.Poll) (worker.Report, error) {
	if w.isPartitioned() {
		<-ctx.Done()
		return worker.Report{}, ctx.Err()
	}
	report, err := w.timedWorker.Poll(ctx, poll)
	if w.isPartitioned() {
		<-ctx.Done()
		return worker.Report{}, ctx.Err()
	}
	return report, err
}

// TestPartitionEndsNoTask guards against a worker lease that is shorter than it has to be: a partition of
// 5.5 s, the most common length, ends no task, whenever it begins and however long polls wait.
func TestPartitionEndsNoTask(t *testing.T) {
	const (
		partition = 5500 * time.Millisecond
		phases    = 40
	)
	for name, c := range map[string]struct {
		rate float64
		link traffic.Link
	}{
		"usual polls":              {rate: 1},
		"usual polls, slow clock":  {rate: slowestClock},
		"polls that wait for long": {rate: 1, link: traffic.Link{Mbps: 0.01}},
	} {
		t.Run(name, func(t *testing.T) {
			for n := range phases {
				synctest.Test(t, func(t *testing.T) {
					begin := time.Now().Add(5*time.Second + time.Duration(n)*maxPollWait/phases)
					client := &partitionedWorker{
						timedWorker: newTimedWorker(c.rate, time.Millisecond),
						from:        begin,
						to:          begin.Add(partition),
					}
					s, release := newRestartTest(t, client)
					defer release()
					s.options.Link = c.link
					placeOnFirstIncarnation(t, s)
					s.SetWorkers([]worker.Registration{firstRegistration()})
					time.Sleep(20 * time.Second)
					client.mu.Lock()
					defer client.mu.Unlock()
					assert.Assert(t, !client.killed, "the lease has ended in phase %d", n)
				})
			}
		})
	}
}
