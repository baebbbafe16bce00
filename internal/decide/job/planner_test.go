package job_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/citronbay/citronbay/internal/decide/job"
)

// placedJobs returns the jobs of the records, in order, each once.
func placedJobs(records []job.Record) []string {
	var ids []string
	for _, r := range records {
		if len(ids) == 0 || ids[len(ids)-1] != r.Job {
			ids = append(ids, r.Job)
		}
	}
	return ids
}

func cores(n int64) job.Resources {
	return job.Resources{MilliCores: n * 1000}
}

// TestOverloadServesWhatCanBeOnTime replays a burst of twice what the fleet can
// do: jobs that are late already must not make the others late too.
func TestOverloadServesWhatCanBeOnTime(t *testing.T) {
	state := job.NewState()
	rules := teamsAndQueues(1)
	whole := job.StepSpec{
		Count:          1,
		Needs:          cores(64),
		EstimateMillis: 1000,
	}
	accept(t, state, "late", "team0", "plain", 3000, whole)
	accept(t, state, "fresh", "team0", "plain", 9000, whole)
	accept(t, state, "useless", "team0", "plain", -90_000, whole)
	now := int64(9100)
	records := job.NewPlanner(state, rules, fleet(3), now).Plan(now)
	assert.DeepEqual(t, placedJobs(records), []string{"fresh", "late", "useless"})
}

// TestExcessWaitsBehindAgreedRate replays one team that sends many times its
// usual while another keeps to its rate.
func TestExcessWaitsBehindAgreedRate(t *testing.T) {
	state := job.NewState()
	rules := teamsAndQueues(2)
	for n, excess := range []bool{true, false} {
		mustApply(t, state, job.Record{
			Kind:   job.RecordAccept,
			Job:    fmt.Sprint(n),
			Team:   fmt.Sprintf("team%d", n),
			Queue:  "plain",
			Millis: int64(n),
			Excess: excess,
			Submission: &job.Submission{
				Steps: []job.StepSpec{{
					Count: 1,
					Needs: cores(64),
				}},
			},
		})
	}
	assert.DeepEqual(t, placedJobs(job.NewPlanner(state, rules, fleet(1), 10).Plan(10)), []string{"1"})
}

// TestWideGangDoesNotStarve replays a stream of small low-priority tasks that
// would fill each hole before the gang finds room.
func TestWideGangDoesNotStarve(t *testing.T) {
	state := job.NewState()
	rules := teamsAndQueues(1)
	queue := rules.Queues["plain"]
	queue.Name, queue.Priority = "low", 5
	rules.Queues["low"] = queue
	workers := fleet(2)
	small := job.StepSpec{
		Count: 1,
		Needs: cores(32),
	}
	for n := range 4 {
		accept(t, state, fmt.Sprintf("small%d", n), "team0", "low", 0, small)
	}
	assert.Equal(t, len(job.NewPlanner(state, rules, workers, 1).Plan(1)), 4)
	accept(t, state, "gang", "team0", "plain", 1, job.StepSpec{
		Count: 2,
		Needs: cores(64),
		Gang:  true,
	})
	for n := range 4 {
		now := int64(100 * (n + 1))
		accept(t, state, fmt.Sprintf("next%d", n), "team0", "low", now, small)
		mustApply(t, state, job.Record{
			Kind:    job.RecordEnd,
			Job:     fmt.Sprintf("small%d", n),
			Attempt: 1,
			End:     job.EndDone,
		})
		records := job.NewPlanner(state, rules, workers, now).Plan(now)
		if n < 3 {
			assert.Equal(t, len(records), 0, "the holes are kept for the gang")
			continue
		}
		assert.DeepEqual(t, placedJobs(records), []string{"gang"})
	}
}

// TestPlacementsKeepAllLimits places random jobs and compares each pass with the
// limits: room, caps, spread, labels, tickets, and gangs whole or not at all.
func TestPlacementsKeepAllLimits(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(fmt.Sprintf("seed%d", seed), func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 11))
			state := job.NewState()
			rules := teamsAndQueues(3)
			limited := rules.Teams["team0"]
			limited.Cap = cores(100)
			rules.Teams["team0"] = limited
			workers := fleet(6)
			for n, w := range workers {
				w.Usable = n != 5
				if n%2 == 0 {
					w.Labels = []string{"even"}
				}
			}
			for pass := range 30 {
				now := int64(pass * 100)
				randomWork(t, state, random, pass, now)
				p := job.NewPlanner(state, rules, workers, now)
				records := p.Plan(now)
				checkLimits(t, state, rules, workers, records)
				for _, q := range p.Questions(now, 4, 2, 200) {
					answer(random, q, now)
				}
				endSome(t, state, random, workers)
			}
		})
	}
}

func randomWork(t *testing.T, state *job.State, random *rand.Rand, pass int, now int64) {
	for n := range random.IntN(4) {
		spec := job.StepSpec{
			Count:     1 + random.IntN(6),
			Needs:     cores(1 + random.Int64N(20)),
			Gang:      random.IntN(3) == 0,
			PerWorker: random.IntN(3),
			OneRack:   random.IntN(4) == 0,
		}
		if random.IntN(4) == 0 {
			spec.Label = "even"
		}
		queue := []string{"plain", "advised"}[random.IntN(2)]
		accept(t, state, fmt.Sprintf("%d-%d", pass, n), fmt.Sprintf("team%d", random.IntN(3)), queue, now, spec)
	}
}

func answer(random *rand.Rand, q job.Question, now int64) {
	allowed := map[*job.Worker]job.Ticket{}
	for _, w := range q.Workers {
		if random.IntN(2) == 0 {
			allowed[w] = job.Ticket{
				Value:         "ticket",
				ExpiresMillis: now + random.Int64N(2000),
			}
		}
	}
	q.Answered(allowed, random.IntN(10) > 0)
}

func endSome(t *testing.T, state *job.State, random *rand.Rand, workers []*job.Worker) {
	for _, w := range workers {
		for key, p := range state.Placements(w.Key()) {
			if random.IntN(3) == 0 {
				mustApply(t, state, job.Record{
					Kind:    job.RecordEnd,
					Job:     key.Job,
					Step:    key.Step,
					Index:   key.Index,
					Attempt: p.Attempt,
					End:     job.EndKind(random.IntN(3)),
				})
			}
		}
	}
}

func checkLimits(t *testing.T, state *job.State, rules job.Rules, workers []*job.Worker, records []job.Record) {
	t.Helper()
	byID := map[string]*job.Worker{}
	for _, w := range workers {
		byID[w.ID] = w
		assert.Assert(t, state.Used(w.Key()).FitsIn(w.Capacity), "%s is overfilled", w.ID)
	}
	for _, team := range rules.Teams {
		assert.Assert(t, state.TeamUsed(team.Name).WithinCap(team.Cap), "%s is over its cap", team.Name)
	}
	for _, r := range records {
		step := state.Job(r.Job).Steps[r.Step]
		w := byID[r.Worker]
		assert.Assert(t, w.Usable)
		if step.Spec.Label != "" {
			assert.Assert(t, len(w.Labels) > 0)
		}
		if state.Job(r.Job).Queue == "advised" {
			assert.Equal(t, step.Ticket(w), "ticket")
		}
		if step.Spec.Gang {
			assert.Equal(t, step.Placed(), step.Spec.Count)
		}
		if step.Spec.PerWorker > 0 {
			on := 0
			for _, task := range step.Tasks {
				if task.Place != nil && task.Place.Worker == w.Key() {
					on++
				}
			}
			assert.Assert(t, on <= step.Spec.PerWorker)
		}
	}
}

// TestTicketsOutlastTheCommit replays a slow store: a ticket that would expire
// before the start is recorded is not used, but renewed.
func TestTicketsOutlastTheCommit(t *testing.T) {
	for name, test := range map[string]struct {
		commitMillis int64
		placed       int
	}{
		"quick store": {commitMillis: 5, placed: 1},
		"slow store":  {commitMillis: 320, placed: 0},
	} {
		t.Run(name, func(t *testing.T) {
			state := job.NewState()
			workers := fleet(1)
			accept(t, state, "a", "team0", "advised", 0, job.StepSpec{
				Count: 1,
				Needs: cores(1),
			})
			p := job.NewPlanner(state, teamsAndQueues(1), workers, 0)
			p.Questions(0, 1, 1, 200)[0].Answered(map[*job.Worker]job.Ticket{
				workers[0]: {ExpiresMillis: 400},
			}, true)
			p = job.NewPlanner(state, teamsAndQueues(1), workers, 0).WithCommitMillis(test.commitMillis)
			assert.Equal(t, len(p.Plan(0)), test.placed)
			assert.Equal(t, len(p.Questions(0, 1, 1, 200)), 1-test.placed)
		})
	}
}
