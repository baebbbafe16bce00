package job_test

import (
	"fmt"
	"testing"

	"github.com/citronbay/citronbay/internal/decide/job"
)

// newWorkers returns count usable workers of 64 cores each, eight to a rack.
func newWorkers(count int) []*job.Worker {
	var list []*job.Worker
	for n := range count {
		list = append(list, &job.Worker{
			ID:      fmt.Sprintf("w%04d", n),
			Service: "service",
			Rack:    fmt.Sprintf("r%d", n/8),
			Capacity: job.Resources{
				MilliCores: 64000,
				MemoryMB:   262144,
			},
			Usable: true,
		})
	}
	return list
}

// newRules returns rules with one queue that has a policy service, one that has none,
// and the given number of teams.
func newRules(teams int) job.Rules {
	rules := job.Rules{
		Queues: map[string]job.Queue{
			"plain": {
				Name:         "plain",
				Service:      "service",
				MaxFailures:  2,
				SlackFactor:  2,
				TargetMillis: 500,
			},
			"advised": {
				Name:         "advised",
				Service:      "service",
				Priority:     1,
				MaxFailures:  2,
				SlackFactor:  2,
				TargetMillis: 1200,
				Policy: &job.Policy{
					FixedMillis:       60,
					PerWorkerMillis:   0.8,
					TicketValidMillis: 2000,
				},
			},
		},
		Teams: map[string]job.Team{},
	}
	for n := range teams {
		name := fmt.Sprintf("team%d", n)
		rules.Teams[name] = job.Team{
			Name:          name,
			JobsPerSecond: 100,
		}
	}
	return rules
}

// mustApply applies the record and fails the test on an error.
func mustApply(tb testing.TB, state *job.State, r job.Record) {
	tb.Helper()
	if err := state.Apply(r); err != nil {
		tb.Fatal(err)
	}
}

// acceptJob adds a job with the steps to the state.
func acceptJob(tb testing.TB, state *job.State, id, team, queue string, millis int64, steps ...job.StepSpec) {
	tb.Helper()
	mustApply(tb, state, job.Record{
		Kind:       job.RecordAccept,
		Job:        id,
		Team:       team,
		Queue:      queue,
		TimeMillis: millis,
		Submission: &job.Submission{
			Steps: steps,
		},
	})
}

// answerQueries answers all policy queries of a pass. Of each query's workers it allows
// those whose index is a multiple of every.
func answerQueries(p *job.Planner, now int64, every int) {
	for _, q := range p.PolicyQueries(now, limitCalls(1000, 1000)) {
		allowed := map[*job.Worker]job.Ticket{}
		for n, w := range q.Workers {
			if n%every == 0 {
				allowed[w] = job.Ticket{ExpiresMillis: now + 1900}
			}
		}
		q.HandleAnswer(allowed, true)
	}
}

// BenchmarkPlan measures passes over a full fleet with a backlog, as when a team submits
// many times its usual load.
func BenchmarkPlan(b *testing.B) {
	for _, size := range []struct{ workers, teams, backlog int }{
		{48, 6, 50},
		{48, 6, 600},
		{350, 20, 600},
		{2700, 260, 600},
	} {
		b.Run(fmt.Sprintf("workers%d_backlog%d", size.workers, size.backlog), func(b *testing.B) {
			state := job.NewState()
			rules := newRules(size.teams)
			workers := newWorkers(size.workers)
			spec := job.StepSpec{
				Count: 8,
				Needs: job.Resources{
					MilliCores: 6000,
					MemoryMB:   11000,
				},
				EstimateMillis: 2700,
			}
			// A worker holds 10 tasks and a job has 8, so workers*10/8 jobs fill the
			// fleet.
			for n := range size.workers*10/8 + size.backlog {
				queue := "plain"
				if n%2 == 1 {
					queue = "advised"
				}
				acceptJob(b, state, fmt.Sprintf("%016x", n), fmt.Sprintf("team%d", n%size.teams), queue, int64(n), spec)
			}
			now := int64(10_000)
			for range 100 {
				p := job.NewPlanner(state, rules, workers, now)
				p.Plan(now)
				answerQueries(p, now, 2)
			}
			b.ResetTimer()
			for n := range b.N {
				at := now + int64(n)%4000
				p := job.NewPlanner(state, rules, workers, at)
				p.Plan(at)
				// The calls fail, so the steps need them again in the next pass.
				for _, q := range p.PolicyQueries(at, limitCalls(7, 5)) {
					q.HandleAnswer(nil, false)
				}
			}
		})
	}
}

// BenchmarkPlanGangs measures passes over a full fleet in which wide gangs wait and the
// policy service has already answered, as in a burst of the users' comparison jobs,
// which are gangs.
func BenchmarkPlanGangs(b *testing.B) {
	for _, size := range []struct{ workers, gangs int }{
		{48, 20},
		{350, 60},
	} {
		b.Run(fmt.Sprintf("workers%d_gangs%d", size.workers, size.gangs), func(b *testing.B) {
			state := job.NewState()
			rules := newRules(6)
			workers := newWorkers(size.workers)
			for n := range size.workers {
				acceptJob(b, state, fmt.Sprintf("full%d", n), "team0", "plain", 0, job.StepSpec{
					Count: 1,
					Needs: cores(50 - int64(n%5/4)*20), // every fifth worker has capacity for one member
				})
			}
			now := int64(10_000)
			job.NewPlanner(state, rules, workers, now).Plan(now)
			for n := range size.gangs {
				acceptJob(b, state, fmt.Sprintf("gang%d", n), "team1", "advised", now, job.StepSpec{
					Count:          20,
					Needs:          cores(18),
					EstimateMillis: 5000,
					Gang:           true,
				})
			}
			for range 10 {
				answerQueries(job.NewPlanner(state, rules, workers, now), now, 3)
			}
			b.ResetTimer()
			for range b.N {
				job.NewPlanner(state, rules, workers, now).Plan(now)
			}
		})
	}
}

// BenchmarkPreview measures the preview of a job while the fleet is full.
func BenchmarkPreview(b *testing.B) {
	for _, count := range []int{50, 350, 2700} {
		b.Run(fmt.Sprintf("workers%d", count), func(b *testing.B) {
			state, rules, workers := job.NewState(), newRules(20), newWorkers(count)
			spec := job.StepSpec{
				Count:          8,
				Needs:          cores(6),
				EstimateMillis: 2700,
			}
			for n := range count*10/8 + 100 {
				acceptJob(b, state, fmt.Sprintf("%016x", n), fmt.Sprintf("team%d", n%20), "plain", int64(n), spec)
			}
			job.NewPlanner(state, rules, workers, 1).Plan(1)
			trial := job.Trial{
				Team:       "team1",
				Queue:      "plain",
				Submission: &job.Submission{Steps: []job.StepSpec{spec}},
			}
			b.ResetTimer()
			for range b.N {
				_, err := job.Preview(state, rules, workers, trial, 1, unchanged)
				if err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
