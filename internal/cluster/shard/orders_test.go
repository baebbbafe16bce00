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

	"github.com/citronbay/citronbay/internal/cluster/store"
	"github.com/citronbay/citronbay/internal/cluster/worker"
	"github.com/citronbay/citronbay/internal/decide/job"
)

// unreachableWorker refuses all connections until reachable is set.
type unreachableWorker struct {
	worker.Client
	reachable atomic.Bool
	stops     atomic.Int64
}

func (w *unreachableWorker) Stop(context.Context, job.TaskKey, int, int64) error {
	w.stops.Add(1)
	if w.reachable.Load() {
		return nil
	}
	return worker.ErrNotSent
}

// newShardWithClient returns a shard without jobs in which every worker has the client.
func newShardWithClient(term *store.Term, client worker.Client, log *slog.Logger) *Shard {
	return &Shard{
		options: Options{
			NewWorkerClient: func(worker.Registration) (worker.Client, func()) {
				return client, func() {}
			},
		},
		term:         term,
		state:        job.NewState(),
		log:          log,
		openedAt:     time.Now(),
		openedMillis: time.Now().UnixMilli(),
		links:        map[string]*link{},
		earlier:      map[string][]job.WorkerKey{},
	}
}

// TestStopWaitsForUnreachableWorker checks that a stop order for a worker that refuses
// connections is not retried before the worker has answered a poll, and is then retried
// at once. Otherwise the stops of all its tasks would keep retrying.
func TestStopWaitsForUnreachableWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := slog.New(slog.NewTextHandler(io.Discard, nil))
		term, release, err := store.Claim(t.Context(), grantingStore{}, "fleet", store.Owner{}, log)
		assert.NilError(t, err)
		defer release()
		client := &unreachableWorker{}
		s := newShardWithClient(term, client, log)
		for _, r := range []job.Record{
			{
				Kind: job.RecordAccept,
				Job:  acceptedID,
				Submission: &job.Submission{
					Steps: []job.StepSpec{{Count: 1}},
				},
			},
			{
				Kind:    job.RecordPlace,
				Job:     acceptedID,
				Attempt: 1,
				Worker:  "w",
			},
		} {
			assert.NilError(t, s.state.Apply(r))
		}
		l := s.newLink(t.Context(), worker.Registration{ID: "w"}, true)
		defer l.cancel()
		go s.retryStop(l, s.state.Placement(job.TaskKey{Job: acceptedID}))
		time.Sleep(5 * time.Second)
		assert.Equal(t, client.stops.Load(), int64(1))
		client.reachable.Store(true)
		s.mu.Lock()
		l.lastAnswer = time.Now()
		s.mu.Unlock()
		time.Sleep(2 * stopRetryInterval)
		assert.Equal(t, client.stops.Load(), int64(2))
	})
}
