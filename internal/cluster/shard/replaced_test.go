package shard

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronbay/citronbay/internal/cluster/worker"
	"github.com/citronbay/citronbay/internal/decide/job"
)

// replaceableWorker runs the task of the job until it crashes. Then another worker may
// answer at its address.
type replaceableWorker struct {
	worker.Client
	crashed  atomic.Bool
	replaced atomic.Bool
}

func (w *replaceableWorker) Poll(ctx context.Context, _ worker.Poll) (worker.Report, error) {
	select {
	case <-ctx.Done():
		return worker.Report{}, ctx.Err()
	case <-time.After(20 * time.Millisecond):
	}
	switch {
	case w.replaced.Load():
		return worker.Report{Refused: worker.WrongIncarnation}, nil
	case w.crashed.Load():
		return worker.Report{}, worker.ErrNotSent
	}
	return worker.Report{
		Incarnation: 1,
		Running: []worker.Running{
			{
				Task:    job.TaskKey{Job: acceptedID},
				Attempt: 1,
				Percent: 100, // not stalled
			},
		},
	}, nil
}

// TestTaskWaitsForLeaseOfReplacedWorker guards against a task that waits for the worker
// lease to expire although its worker has certainly ended: the directory no longer lists it
// and its address belongs to another worker. Either fact alone ends no attempt.
func TestTaskWaitsForLeaseOfReplacedWorker(t *testing.T) {
	for name, c := range map[string]struct {
		unlistedAfter time.Duration // after the crash; zero if the worker remains listed
		replacedAfter time.Duration // after the crash; zero if nothing answers there
		answersAfter  time.Duration // after the crash; zero if the worker itself never does
		takeover      bool          // the owner has had no answer of the worker
		wantLost      bool
	}{
		"answer first": {
			unlistedAfter: 2 * time.Second,
			replacedAfter: time.Second,
			wantLost:      true,
		},
		"directory first": {
			unlistedAfter: time.Second,
			replacedAfter: 2 * time.Second,
			wantLost:      true,
		},
		"crash before the takeover": {
			unlistedAfter: 2 * time.Second,
			replacedAfter: time.Second,
			takeover:      true,
			wantLost:      true,
		},
		"listed": {
			replacedAfter: time.Second,
		},
		"cut off": {
			unlistedAfter: time.Second,
		},
		"answers again": {
			unlistedAfter: 3 * time.Second,
			replacedAfter: time.Second,
			answersAfter:  2 * time.Second,
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				client := &replaceableWorker{}
				s, release := newRestartTest(t, client)
				defer release()
				placeOnFirstIncarnation(t, s)
				client.crashed.Store(c.takeover)
				s.SetWorkers([]worker.Registration{{
					ID:          "w",
					Incarnation: 1,
				}})
				time.Sleep(pollsAnswered)
				client.crashed.Store(true)
				after := func(d time.Duration, f func()) {
					if d > 0 {
						time.AfterFunc(d, f)
					}
				}
				after(c.unlistedAfter, func() { s.SetWorkers(nil) })
				after(c.replacedAfter, func() { client.replaced.Store(true) })
				after(c.answersAfter, func() {
					client.replaced.Store(false)
					client.crashed.Store(false)
				})
				time.Sleep(4 * time.Second)
				s.mu.Lock()
				defer s.mu.Unlock()
				assert.Equal(t, s.state.Placement(job.TaskKey{Job: acceptedID}) == nil, c.wantLost)
			})
		})
	}
}
