package job_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/citronbay/citronbay/internal/decide/job"
)

// TestStartBudgetKeepsChoiceForUrgentWork replays a burst on a link that carries the orders of few
// tasks at a time: batch jobs that came first must not be placed before their orders can be sent,
// since their tickets would expire meanwhile and urgent jobs would wait behind them.
func TestStartBudgetKeepsChoiceForUrgentWork(t *testing.T) {
	const tasksPerPass, batchJobs = 4, 10
	cost := func(*job.Job) float64 { return 1 }
	for name, c := range map[string]struct {
		budget     float64
		noLimit    bool
		wantPlaced int // in the first pass
		wantUrgent bool
	}{
		"no limit":  {noLimit: true, wantPlaced: batchJobs * 2, wantUrgent: true},
		"small":     {budget: tasksPerPass, wantPlaced: tasksPerPass, wantUrgent: true},
		"used up":   {budget: 0, wantPlaced: 0, wantUrgent: false},
		"overdrawn": {budget: -100, wantPlaced: 0, wantUrgent: false},
	} {
		t.Run(name, func(t *testing.T) {
			state := job.NewState()
			rules := newRules(1)
			urgent := rules.Queues["plain"]
			urgent.Name, urgent.Priority = "urgent", -1
			rules.Queues["urgent"] = urgent
			spec := job.StepSpec{
				Count:          2,
				Needs:          cores(1),
				EstimateMillis: 1000,
			}
			for n := range batchJobs {
				acceptJob(t, state, fmt.Sprintf("batch%d", n), "team0", "plain", 0, spec)
			}
			pass := func(now int64) []job.Record {
				planner := job.NewPlanner(state, rules, newWorkers(40), now)
				if c.noLimit {
					return planner.Plan(now)
				}
				return planner.WithStartBudget(c.budget, cost).Plan(now)
			}
			assert.Equal(t, len(pass(1)), c.wantPlaced)
			acceptJob(t, state, "urgent", "team0", "urgent", 2, spec)
			records := pass(2)
			assert.Equal(t, len(records) > 0 && records[0].Job == "urgent", c.wantUrgent)
		})
	}
}

// TestStartCostsFollowPriority sums the costs of the orders that wait.
func TestStartCostsFollowPriority(t *testing.T) {
	state := job.NewState()
	rules := newRules(1)
	urgent := rules.Queues["plain"]
	urgent.Name, urgent.Priority = "urgent", -1
	rules.Queues["urgent"] = urgent
	spec := job.StepSpec{
		Count:          3,
		Needs:          cores(1),
		EstimateMillis: 1000,
	}
	acceptJob(t, state, "batch", "team0", "plain", 0, spec)
	acceptJob(t, state, "urgent", "team0", "urgent", 0, spec)
	costs := job.NewPlanner(state, rules, newWorkers(1), 1).StartCosts(func(*job.Job) float64 { return 10 })
	assert.DeepEqual(t, costs, map[int]float64{
		-1:                             30,
		rules.Queues["plain"].Priority: 30,
	})
}
