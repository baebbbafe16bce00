package job_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/citronbay/citronbay/internal/decide/job"
)

// TestWaitCauses checks that the causes for which a backlog waits are told apart.
func TestWaitCauses(t *testing.T) {
	state := job.NewState()
	rules := newRules(2)
	capped := rules.Teams["team1"]
	capped.Cap = cores(1)
	rules.Teams["team1"] = capped
	acceptJob(t, state, "fills", "team0", "plain", 0, job.StepSpec{
		Count: 2,
		Needs: cores(40),
	})
	workers := newWorkers(2)
	assert.Equal(t, len(job.NewPlanner(state, rules, workers, 0).Plan(0)), 2)
	for n, spec := range []struct {
		team, queue string
		needs       int64
		gang        bool
		overRate    bool
	}{
		{team: "team0", queue: "plain", needs: 40},
		{team: "team0", queue: "plain", needs: 20, gang: true},
		{team: "team0", queue: "advised", needs: 1},
		{team: "team0", queue: "missing", needs: 1},
		{team: "team1", queue: "plain", needs: 2},
		{team: "team0", queue: "plain", needs: 40, overRate: true},
	} {
		mustApply(t, state, job.Record{
			Kind:     job.RecordAccept,
			Job:      fmt.Sprint(n),
			Team:     spec.team,
			Queue:    spec.queue,
			OverRate: spec.overRate,
			Submission: &job.Submission{
				Steps: []job.StepSpec{{
					Count: 3,
					Needs: cores(spec.needs),
					Gang:  spec.gang,
				}},
			},
		})
	}
	withinRate, overRate := job.NewPlanner(state, rules, workers, 1).WaitCauses(1)
	assert.DeepEqual(t, withinRate, map[job.WaitCause]int{
		job.WaitCapacity: 1,
		job.WaitGang:     1,
		job.WaitPolicy:   1,
		job.WaitCap:      1,
	})
	assert.Equal(t, overRate, 1)
}
