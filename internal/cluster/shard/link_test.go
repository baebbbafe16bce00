package shard

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronbay/citronbay/internal/cluster/store"
	"github.com/citronbay/citronbay/internal/cluster/worker"
	"github.com/citronbay/citronbay/internal/decide/job"
)

// TestSuccessorWaitsForLastWorkerLease compares when a successor lets the tasks of a
// silent worker go with the last moment at which they may run: an owner whose lease
// was ended early believes in it for its whole time, extends holds for its grace
// after that, and the worker's clock is 2 % slow.
func TestSuccessorWaitsForLastWorkerLease(t *testing.T) {
	const leaseTime = 6500 * time.Millisecond
	term := &store.Tenure{}
	s := &Shard{
		options: Options{
			HoldTime: leaseTime,
			Dial: func(worker.Registration) (worker.Client, func()) {
				return nil, func() {}
			},
		},
		state: job.NewState(),
		links: map[string]*link{},
		term:  term,
	}
	claimed := time.Now()
	l := s.newLink(t.Context(), worker.Registration{ID: "w"}, true)
	lastRun := claimed.Add(store.LeaseTime + workerLeaseGrace + leaseTime*102/100)
	assert.Assert(t, !l.lastExtension.Add(s.maxWorkerLease()).Before(lastRun))
}
