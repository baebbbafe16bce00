package job_test

import (
	"fmt"
	"slices"
	"strings"
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
		{team: "team0", queue: "plain", needs: 80},
		{team: "team0", queue: "plain", needs: 60, gang: true},
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
		job.WaitFleet:    2,
	})
	assert.Equal(t, overRate, 1)
	for cause := range withinRate {
		assert.Assert(t, slices.Contains(job.AllWaitCauses(), cause))
	}
}

// TestWaitsForEvacuatedWorkers checks that a job that fits only together with workers that are shut off is
// told from one that fits nowhere, and from one that waits for room on the others.
func TestWaitsForEvacuatedWorkers(t *testing.T) {
	for name, c := range map[string]struct {
		shutOff int
		spec    job.StepSpec
		want    job.WaitCause
	}{
		"no worker left":           {shutOff: 2, spec: job.StepSpec{Count: 1, Needs: cores(1)}, want: job.WaitEvacuation},
		"gang needs both":          {shutOff: 1, spec: job.StepSpec{Count: 2, Needs: cores(40), Gang: true}, want: job.WaitEvacuation},
		"fits nowhere":             {shutOff: 1, spec: job.StepSpec{Count: 1, Needs: cores(80)}, want: job.WaitFleet},
		"label that no worker has": {shutOff: 2, spec: job.StepSpec{Count: 1, Needs: cores(1), Label: "none"}, want: job.WaitWorkers},
		"room on the other":        {shutOff: 1, spec: job.StepSpec{Count: 3, Needs: cores(40)}, want: job.WaitCapacity},
	} {
		t.Run(name, func(t *testing.T) {
			state := job.NewState()
			workers := newWorkers(2)
			for _, w := range workers[:c.shutOff] {
				w.Usable, w.ShutOff = false, true
			}
			acceptJob(t, state, "job", "team0", "plain", 0, c.spec)
			job.NewPlanner(state, newRules(1), workers, 0).Plan(0)
			causes, _ := job.NewPlanner(state, newRules(1), workers, 1).WaitCauses(1)
			assert.DeepEqual(t, causes, map[job.WaitCause]int{c.want: 1})
		})
	}
}

// TestWaitCausesOfSuspects checks that the log tells a suspect without an isolated worker from
// one whose worker is not empty yet, and from a step that waits for the suspects of another.
func TestWaitCausesOfSuspects(t *testing.T) {
	state := job.NewState()
	rules := newRules(1)
	workers := newWorkers(4) // one of which may be isolated
	acceptJob(t, state, "busy", "team0", "plain", 0, job.StepSpec{
		Count: 4,
		Needs: cores(40),
	})
	assert.Equal(t, len(job.NewPlanner(state, rules, workers, 0).Plan(0)), 4)
	for _, id := range []string{"a", "b"} {
		acceptJob(t, state, id, "team0", "plain", 0, job.StepSpec{
			Count: 1,
			Needs: cores(4),
		}, job.StepSpec{
			Count: 1,
			Needs: cores(4),
		})
		runTask(t, state, &job.Worker{ID: "gone"}, id, 0, 0, true)
		endTask(t, state, id, 0, job.AttemptCrashed)
	}
	p := job.NewPlanner(state, rules, workers, 1)
	withinRate, _ := p.WaitCauses(1)
	assert.DeepEqual(t, withinRate, map[job.WaitCause]int{
		job.WaitEmptyWorker: 1,
		job.WaitIsolation:   1,
		job.WaitClearing:    2,
	})
	jobs, isolated, placed := p.Isolation()
	assert.DeepEqual(t, []int{jobs, isolated, placed}, []int{2, 1, 0})
}

// TestExplainJobThatFitsNowhere guards against a job that waits for ever without its owner being told why.
func TestExplainJobThatFitsNowhere(t *testing.T) {
	for name, c := range map[string]struct {
		spec job.StepSpec
		want string
	}{
		"task": {
			spec: job.StepSpec{Count: 2, Needs: cores(80)},
			want: "a task does not fit on the 3 allowed workers",
		},
		"gang": {
			spec: job.StepSpec{Count: 4, Needs: cores(40), Gang: true},
			want: "the gang of 4 does not fit on the 3 allowed workers",
		},
		"limit per worker": {
			spec: job.StepSpec{Count: 4, Needs: cores(1), Gang: true, MaxPerWorker: 1},
			want: "the gang of 4 does not fit on the 3 allowed workers",
		},
	} {
		t.Run(name, func(t *testing.T) {
			state := job.NewState()
			acceptJob(t, state, "large", "team0", "plain", 0, c.spec)
			lines := job.NewPlanner(state, newRules(1), newWorkers(3), 0).Explain(state.Job("large").Steps[0], 0)
			assert.Assert(t, strings.Contains(strings.Join(lines, "\n"), c.want), "%v", lines)
		})
	}
}

// TestExplainFailures checks that failures are explained as they count against the limit of attempts.
func TestExplainFailures(t *testing.T) {
	for name, c := range map[string]struct {
		gang bool
		want []string
	}{
		"tasks": {
			want: []string{"step 0 task 0: 1 attempts have failed", "step 0 task 1: 1 attempts have failed"},
		},
		"gang": {
			gang: true,
			want: []string{"step 0: 1 runs of the gang have failed"},
		},
	} {
		t.Run(name, func(t *testing.T) {
			state := job.NewState()
			acceptJob(t, state, "a", "team0", "plain", 0, job.StepSpec{
				Count: 2,
				Gang:  c.gang,
			})
			for n := range 2 {
				mustApply(t, state, job.Record{
					Kind:    job.RecordPlace,
					Job:     "a",
					Index:   n,
					Attempt: 1,
					Worker:  "w",
				})
				mustApply(t, state, job.Record{
					Kind:           job.RecordAttemptEnd,
					Job:            "a",
					Index:          n,
					Attempt:        1,
					AttemptOutcome: job.AttemptFailed,
				})
			}
			lines := job.NewPlanner(state, newRules(1), newWorkers(1), 1).Explain(state.Job("a").Steps[0], 1)
			assert.DeepEqual(t, slices.DeleteFunc(lines, func(line string) bool {
				return !strings.Contains(line, "failed")
			}), c.want)
		})
	}
}
