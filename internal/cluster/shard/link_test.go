package shard

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronbay/citronbay/internal/cluster/store"
	"github.com/citronbay/citronbay/internal/cluster/worker"
	"github.com/citronbay/citronbay/internal/decide/job"
)

// TestSuccessorWaitsForLastWorkerLease checks that a successor does not give up the tasks
// of an unresponsive worker while they may still run. In the worst case the previous
// owner does not know that its lease was ended early, extends worker leases for the full
// lease and its grace, and the worker's clock is 2 % slow.
func TestSuccessorWaitsForLastWorkerLease(t *testing.T) {
	const workerLease = 6500 * time.Millisecond
	term := &store.Term{}
	s := &Shard{
		options: Options{
			WorkerLease: workerLease,
			NewWorkerClient: func(worker.Registration) (worker.Client, func()) {
				return nil, func() {}
			},
		},
		state: job.NewState(),
		links: map[string]*link{},
		term:  term,
	}
	claimed := time.Now()
	l := s.newLink(t.Context(), worker.Registration{ID: "w"}, true)
	lastRun := claimed.Add(store.OwnershipLeaseTime + workerLeaseGrace + workerLease*102/100)
	assert.Assert(t, !l.lastExtension.Add(s.maxWorkerLease()).Before(lastRun))
}
