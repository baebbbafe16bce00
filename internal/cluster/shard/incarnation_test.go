package shard

import (
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
				s.appendToJournal(s.finishJob(nil, s.state.Job(acceptedID), job.Cancelled), nil)
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
