package shard

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"github.com/citronbay/citronbay/internal/cluster/store"
	"github.com/citronbay/citronbay/internal/cluster/worker"
	"github.com/citronbay/citronbay/internal/decide/job"
)

// leavingWorker records the tasks that it is told to stop.
type leavingWorker struct {
	worker.Client

	mu      sync.Mutex
	stopped map[int]bool // by index
}

func (w *leavingWorker) Stop(_ context.Context, task job.TaskKey, _ int, _ int64) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped[task.Index] = true
	return nil
}

// TestTasksLeaveBeforeTheirWorker guards against tasks that stay on a worker until it
// leaves as planned, and then cannot run elsewhere until its worker lease has expired.
func TestTasksLeaveBeforeTheirWorker(t *testing.T) {
	for name, c := range map[string]struct {
		remainingMillis int64
		percent         []float64 // of each task, two seconds after their start
		gang            bool
		want            []int
	}{
		"plenty of time left": {
			remainingMillis: 4000,
			percent:         []float64{10, 0},
		},
		"some will complete in time": {
			remainingMillis: 1400,
			percent:         []float64{10, 90, 0},
			want:            []int{0, 2},
		},
		"gang with a slow member": {
			remainingMillis: 1400,
			percent:         []float64{90, 10},
			gang:            true,
			want:            []int{0, 1},
		},
		"time is up": {
			percent: []float64{99},
			want:    []int{0},
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				log := slog.New(slog.NewTextHandler(io.Discard, nil))
				term, release, err := store.Claim(t.Context(), grantingStore{}, "fleet", store.Owner{}, log)
				assert.NilError(t, err)
				defer release()
				client := &leavingWorker{stopped: map[int]bool{}}
				s := newShardWithClient(term, client, log)
				assert.NilError(t, s.state.Apply(job.Record{
					Kind: job.RecordAccept,
					Job:  acceptedID,
					Submission: &job.Submission{
						Steps: []job.StepSpec{{
							Count:          len(c.percent),
							EstimateMillis: 5000,
							Gang:           c.gang,
						}},
					},
				}))
				for n, percent := range c.percent {
					assert.NilError(t, s.state.Apply(job.Record{
						Kind:    job.RecordPlace,
						Job:     acceptedID,
						Index:   n,
						Attempt: 1,
						Worker:  "w",
					}))
					p := s.state.Placement(job.TaskKey{Job: acceptedID, Index: n})
					p.Confirmed, p.StartedMillis, p.Percent = true, s.now()-2000, percent
				}
				l := s.newLink(t.Context(), worker.Registration{
					ID:              "w",
					Draining:        true,
					RemainingMillis: c.remainingMillis,
				}, true)
				defer l.cancel()
				s.links["w"] = l
				s.evacuateLeavingWorkers()
				synctest.Wait()
				want := map[int]bool{}
				for _, index := range c.want {
					want[index] = true
				}
				client.mu.Lock()
				defer client.mu.Unlock()
				assert.DeepEqual(t, client.stopped, want)
			})
		})
	}
}
