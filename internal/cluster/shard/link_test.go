package shard

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronbay/citronbay/internal/cluster/store"
	"github.com/citronbay/citronbay/internal/cluster/worker"
	"github.com/citronbay/citronbay/internal/decide/job"
)

// TestSuccessorOutwaitsTheLastHold compares when a successor lets the tasks of a
// silent worker go with the last moment at which they may run: an owner whose lease
// was ended early believes in it for its whole time, extends holds for its grace
// after that, and the worker's clock is 2 % slow.
func TestSuccessorOutwaitsTheLastHold(t *testing.T) {
	const hold = 6500 * time.Millisecond
	tenure := &store.Tenure{}
	s := &Shard{
		options: Options{
			HoldTime: hold,
			Dial: func(worker.Registration) (worker.Client, func()) {
				return nil, func() {}
			},
		},
		state:  job.NewState(),
		links:  map[string]*link{},
		tenure: tenure,
	}
	claimed := time.Now()
	l := s.newLink(t.Context(), worker.Registration{ID: "w"}, true)
	lastRun := claimed.Add(store.LeaseTime + holdGrace + hold*102/100)
	assert.Assert(t, !l.lastExtend.Add(s.lapseTime()).Before(lastRun))
}
