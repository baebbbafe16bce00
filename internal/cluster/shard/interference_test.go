package shard

import (
	"io"
	"log/slog"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronbay/citronbay/internal/cluster/operator"
	"github.com/citronbay/citronbay/internal/cluster/store"
	"github.com/citronbay/citronbay/internal/cluster/worker"
	"github.com/citronbay/citronbay/internal/decide/job"
)

// TestReportsAreObserved checks that the model observes the attempts of a worker's report that have
// a placement there, and nothing unless interference is enabled.
func TestReportsAreObserved(t *testing.T) {
	for name, c := range map[string]struct {
		enabled bool
		running worker.Running
		want    int
	}{
		"off": {
			running: worker.Running{
				Task:    job.TaskKey{Job: acceptedID},
				Attempt: 2,
				Percent: 40,
			},
		},
		"running": {
			enabled: true,
			running: worker.Running{
				Task:    job.TaskKey{Job: acceptedID},
				Attempt: 2,
				Percent: 40,
				Load:    900,
			},
			want: 1,
		},
		"earlier attempt": {
			enabled: true,
			running: worker.Running{
				Task:    job.TaskKey{Job: acceptedID},
				Attempt: 1,
				Percent: 40,
			},
		},
		"unknown job": {
			enabled: true,
			running: worker.Running{
				Task:    job.TaskKey{Job: "x"},
				Attempt: 2,
				Percent: 40,
			},
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := newShardWithClient(&store.Term{}, &unreachableWorker{}, slog.New(slog.NewTextHandler(io.Discard, nil)))
			s.agreement = DatedAgreement{Agreement: &operator.Agreement{}}
			s.interference = newInterferenceState(c.enabled)
			for _, r := range []job.Record{
				{
					Kind:  job.RecordAccept,
					Job:   acceptedID,
					Queue: "queue",
					Submission: &job.Submission{
						Steps: []job.StepSpec{{Count: 1}},
					},
				},
				{
					Kind:    job.RecordPlace,
					Job:     acceptedID,
					Attempt: 2,
					Worker:  "w",
				},
			} {
				assert.NilError(t, s.state.Apply(r))
			}
			l := s.newLink(t.Context(), worker.Registration{
				ID:       "w",
				Capacity: job.Resources{MilliCores: 16000},
			}, true)
			defer l.cancel()
			l.handleReport(worker.Report{
				ClockMillis: 1000,
				Running:     []worker.Running{c.running},
			}, time.Now(), time.Now())
			planner := job.NewPlanner(s.state, s.agreement.Rules, nil, s.now())
			assert.Assert(t, s.preferApart(planner, s.now()) == planner, "no pair is known")
			if !c.enabled {
				assert.Assert(t, s.interference == nil)
				return
			}
			_, attempts := s.interference.model.Size()
			assert.Equal(t, attempts, c.want)
		})
	}
}
