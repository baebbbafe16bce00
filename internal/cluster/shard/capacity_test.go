package shard

import (
	"context"
	"io"
	"log/slog"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronbay/citronbay/internal/cluster/caller"
	"github.com/citronbay/citronbay/internal/cluster/operator"
	"github.com/citronbay/citronbay/internal/cluster/store"
	"github.com/citronbay/citronbay/internal/cluster/worker"
	"github.com/citronbay/citronbay/internal/decide/job"
)

// slowStore has an empty journal, and commits wait while slow is set.
type slowStore struct {
	grantingStore
	slow atomic.Bool
}

func (s *slowStore) Commit(ctx context.Context, txn store.Txn) (store.TxnResult, error) {
	for s.slow.Load() {
		time.Sleep(time.Millisecond)
	}
	return s.grantingStore.Commit(ctx, txn)
}

func (*slowStore) Range(context.Context, string) ([]store.Item, int64, error) {
	return nil, 1, nil
}

// acceptingWorker accepts all start orders, counts them, and reports no attempts.
type acceptingWorker struct {
	worker.Client
	started atomic.Int64
}

func (*acceptingWorker) Poll(ctx context.Context, poll worker.Poll) (worker.Report, error) {
	sleep(ctx, time.Duration(poll.WaitMillis)*time.Millisecond)
	return worker.Report{}, nil
}

func (w *acceptingWorker) Start(context.Context, worker.Start) (worker.Answer, int64, error) {
	w.started.Add(1)
	return worker.Started, 0, nil
}

// TestCapacityShrinksBeforeStart checks tasks that were placed when their worker's capacity
// was larger and whose start orders wait for the store. None that no longer fits may start,
// and all start once the capacity has grown again.
func TestCapacityShrinksBeforeStart(t *testing.T) {
	const tasks, tick = 2, 100 * time.Millisecond
	for name, c := range map[string]struct {
		gang        bool
		capacity    int64 // in tasks
		wantStarted int64
	}{
		"unchanged":               {capacity: tasks, wantStarted: tasks},
		"room for one task":       {capacity: 1, wantStarted: 1},
		"no room":                 {},
		"room for half of a gang": {gang: true, capacity: 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				log := slog.New(slog.NewTextHandler(io.Discard, nil))
				client, w := &slowStore{}, &acceptingWorker{}
				term, release, err := store.Claim(t.Context(), client, "fleet", store.Owner{}, log)
				assert.NilError(t, err)
				defer release()
				s, err := Open(t.Context(), Options{
					Store: client,
					Term:  term,
					Agreement: func() DatedAgreement {
						return DatedAgreement{Agreement: &operator.Agreement{
							Routes: []operator.Route{{
								Host:       "jobs.example",
								Prefix:     "/queue/",
								Queue:      "queue",
								AuthExempt: true,
							}},
							Rules: job.Rules{Queues: map[string]job.Queue{"queue": {Service: "service"}}},
						}}
					},
					NewWorkerClient: func(worker.Registration) (worker.Client, func()) {
						return w, func() {}
					},
					Advisors:    func() []AdvisorNode { return nil },
					WorkerLease: 6 * time.Second,
					Log:         log,
				})
				assert.NilError(t, err)
				go func() { _ = s.Run() }()
				setCapacity := func(capacity int64) {
					s.SetWorkers([]worker.Registration{{
						ID:       "w",
						Service:  "service",
						Capacity: job.Resources{MilliCores: 1000 * capacity},
					}})
				}
				setCapacity(tasks)
				time.Sleep(tick)
				client.slow.Store(true)
				go s.Serve(t.Context(), caller.Request{
					Verb: caller.Submit,
					Host: "jobs.example",
					Path: "/queue/" + acceptedID,
					Submission: &job.Submission{Steps: []job.StepSpec{{
						Count: tasks,
						Needs: job.Resources{MilliCores: 1000},
						Gang:  c.gang,
					}}},
				})
				time.Sleep(tick)
				assert.Equal(t, w.started.Load(), int64(0))
				setCapacity(c.capacity)
				client.slow.Store(false)
				time.Sleep(tick)
				assert.Equal(t, w.started.Load(), c.wantStarted)
				setCapacity(tasks)
				time.Sleep(tick)
				assert.Equal(t, w.started.Load(), int64(tasks))
			})
		})
	}
}
