package shard

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronbay/citronbay/internal/cluster/store"
	"github.com/citronbay/citronbay/internal/cluster/worker"
	"github.com/citronbay/citronbay/internal/decide/job"
)

// lapsingStore grants an ownership lease that ends at once. Renewals fail until renewing is set.
type lapsingStore struct {
	emptyStore
	renewing atomic.Bool
}

func (l *lapsingStore) GrantLease(context.Context, time.Duration) (int64, time.Duration, error) {
	return 1, 0, nil
}

func (l *lapsingStore) RenewLease(context.Context, int64) error {
	if !l.renewing.Load() {
		return store.ErrOutcomeUnknown
	}
	return nil
}

// TestLapsedOwnerOrdersNoStart guards against a start order of an owner whose lease is over, such as
// a process that was paused: a worker that has restarted has forgotten the successor's token, and
// would run a task again whose completion the successor has recorded. The order waits until the
// lease is renewed or the term ends.
func TestLapsedOwnerOrdersNoStart(t *testing.T) {
	for name, c := range map[string]struct {
		renewed, ended bool
		wantRun        bool
	}{
		"lapsed":        {},
		"renewed again": {renewed: true, wantRun: true},
		"term ended":    {ended: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				granted := &lapsingStore{}
				client := newRestartingWorker()
				s, release := newRestartTestIn(t, granted, client)
				defer release()
				s.SetWorkers([]worker.Registration{firstRegistration()})
				time.Sleep(pollsAnswered)
				assert.Assert(t, s.term.Remaining() <= 0)
				s.sendStarts(s.placementsOf([]job.Record{placeOnFirstIncarnation(t, s)}))
				time.Sleep(100 * time.Millisecond)
				granted.renewing.Store(c.renewed)
				if c.ended {
					s.term.Revoke(store.ErrRevoked)
				}
				time.Sleep(time.Second)
				client.mu.Lock()
				defer client.mu.Unlock()
				assert.Equal(t, client.running[job.TaskKey{Job: acceptedID}] == 1, c.wantRun)
			})
		})
	}
}
