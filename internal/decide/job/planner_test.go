package job_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/citronbay/citronbay/internal/decide/job"
)

// placedJobs returns the IDs of the records' jobs in order, without repeating one for
// consecutive records.
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

// limitCalls returns limits in which a call is slow if its fixed time is over 100 ms.
func limitCalls(calls, slowCalls int) job.QueryLimits {
	return job.QueryLimits{
		Calls:          calls,
		SlowCalls:      slowCalls,
		SpareSlowCalls: slowCalls,
		SlowMillis:     200,
	}
}

// TestOverloadPlacesFeasibleJobsFirst guards against an overload, such as a burst of
// twice the fleet's capacity, in which jobs that are already late make the others late
// too.
func TestOverloadPlacesFeasibleJobsFirst(t *testing.T) {
	state := job.NewState()
	rules := newRules(1)
	spec := job.StepSpec{
		Count:          1,
		Needs:          cores(64),
		EstimateMillis: 1000,
	}
	acceptJob(t, state, "late", "team0", "plain", 3000, spec)
	acceptJob(t, state, "fresh", "team0", "plain", 9000, spec)
	acceptJob(t, state, "useless", "team0", "plain", -90_000, spec)
	now := int64(9100)
	records := job.NewPlanner(state, rules, newWorkers(3), now).Plan(now)
	assert.DeepEqual(t, placedJobs(records), []string{"fresh", "late", "useless"})
}

// TestOverRateJobsWaitBehindAgreedRate guards against a team that submits many times its
// usual load and delays the jobs of a team that keeps to its rate.
func TestOverRateJobsWaitBehindAgreedRate(t *testing.T) {
	state := job.NewState()
	rules := newRules(2)
	for n, overRate := range []bool{true, false} {
		mustApply(t, state, job.Record{
			Kind:       job.RecordAccept,
			Job:        fmt.Sprint(n),
			Team:       fmt.Sprintf("team%d", n),
			Queue:      "plain",
			TimeMillis: int64(n),
			OverRate:   overRate,
			Submission: &job.Submission{
				Steps: []job.StepSpec{{
					Count: 1,
					Needs: cores(64),
				}},
			},
		})
	}
	assert.DeepEqual(t, placedJobs(job.NewPlanner(state, rules, newWorkers(1), 10).Plan(10)), []string{"1"})
}

// TestWideGangDoesNotStarve guards against a stream of small low-priority tasks that
// take all capacity as it becomes free, so that a wide gang never fits.
func TestWideGangDoesNotStarve(t *testing.T) {
	state := job.NewState()
	rules := newRules(1)
	queue := rules.Queues["plain"]
	queue.Name, queue.Priority = "low", 5
	rules.Queues["low"] = queue
	workers := newWorkers(2)
	small := job.StepSpec{
		Count: 1,
		Needs: cores(32),
	}
	for n := range 4 {
		acceptJob(t, state, fmt.Sprintf("small%d", n), "team0", "low", 0, small)
	}
	assert.Equal(t, len(job.NewPlanner(state, rules, workers, 1).Plan(1)), 4)
	acceptJob(t, state, "gang", "team0", "plain", 1, job.StepSpec{
		Count: 2,
		Needs: cores(64),
		Gang:  true,
	})
	for n := range 4 {
		now := int64(100 * (n + 1))
		acceptJob(t, state, fmt.Sprintf("next%d", n), "team0", "low", now, small)
		mustApply(t, state, job.Record{
			Kind:           job.RecordAttemptEnd,
			Job:            fmt.Sprintf("small%d", n),
			Attempt:        1,
			AttemptOutcome: job.AttemptCompleted,
		})
		records := job.NewPlanner(state, rules, workers, now).Plan(now)
		if n < 3 {
			assert.Equal(t, len(records), 0, "freed capacity is reserved for the gang")
			continue
		}
		assert.DeepEqual(t, placedJobs(records), []string{"gang"})
	}
}

// TestPlacementsRespectAllLimits places random jobs and checks after each pass that the
// placements respect worker capacity, team caps, limits per worker, labels and tickets,
// that gangs are placed whole or not at all, and that no task is placed beside a suspect of
// another job, nor the other way round.
func TestPlacementsRespectAllLimits(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(fmt.Sprintf("seed%d", seed), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 11))
			state := job.NewState()
			rules := newRules(3)
			capped := rules.Teams["team0"]
			capped.Cap = cores(100)
			rules.Teams["team0"] = capped
			workers := newWorkers(6)
			for n, w := range workers {
				w.Usable = n != 5
				if n%2 == 0 {
					w.Labels = []string{"even"}
				}
			}
			for pass := range 30 {
				now := int64(pass * 100)
				acceptRandomJobs(t, state, rng, pass, now)
				p := job.NewPlanner(state, rules, workers, now)
				records := p.Plan(now)
				checkLimits(t, state, rules, workers, records)
				for _, q := range p.PolicyQueries(now, limitCalls(4, 2)) {
					answerRandomly(rng, q, now)
				}
				endRandomAttempts(t, state, rng, workers)
			}
		})
	}
}

func acceptRandomJobs(t *testing.T, state *job.State, rng *rand.Rand, pass int, now int64) {
	for n := range rng.IntN(4) {
		spec := job.StepSpec{
			Count:         1 + rng.IntN(6),
			Needs:         cores(1 + rng.Int64N(20)),
			Gang:          rng.IntN(3) == 0,
			MaxPerWorker:  rng.IntN(3),
			PreferOneRack: rng.IntN(4) == 0,
		}
		if rng.IntN(4) == 0 {
			spec.Label = "even"
		}
		queue := []string{"plain", "advised"}[rng.IntN(2)]
		acceptJob(t, state, fmt.Sprintf("%d-%d", pass, n), fmt.Sprintf("team%d", rng.IntN(3)), queue, now, spec)
	}
}

func answerRandomly(rng *rand.Rand, q job.PolicyQuery, now int64) {
	allowed := map[*job.Worker]job.Ticket{}
	for _, w := range q.Workers {
		if rng.IntN(2) == 0 {
			allowed[w] = job.Ticket{
				Value:         "ticket",
				ExpiresMillis: now + rng.Int64N(2000),
			}
		}
	}
	q.HandleAnswer(allowed, rng.IntN(10) > 0)
}

func endRandomAttempts(t *testing.T, state *job.State, rng *rand.Rand, workers []*job.Worker) {
	for _, w := range workers {
		for key, p := range state.Placements(w.Key()) {
			if rng.IntN(3) == 0 {
				mustApply(t, state, job.Record{
					Kind:           job.RecordAttemptEnd,
					Job:            key.Job,
					Step:           key.Step,
					Index:          key.Index,
					Attempt:        p.Attempt,
					AttemptOutcome: job.AttemptOutcome(rng.IntN(5)),
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
		assert.Assert(t, state.Used(w.Key()).FitsIn(w.Capacity), "%s is placed beyond its capacity", w.ID)
	}
	for _, team := range rules.Teams {
		assert.Assert(t, state.TeamUsed(team.Name).WithinCap(team.Cap), "%s is over its cap", team.Name)
	}
	for _, r := range records {
		step := state.Job(r.Job).Steps[r.Step]
		w := byID[r.Worker]
		assert.Assert(t, w.Usable)
		for key, p := range state.Placements(w.Key()) {
			suspect := step.Crashes(r.Index) > 0 || state.Job(key.Job).Steps[key.Step].Crashes(key.Index) > 0
			assert.Assert(t, key.Job == r.Job || !suspect, "%v is placed beside %v", r, p)
		}
		if step.Spec.Label != "" {
			assert.Assert(t, len(w.Labels) > 0)
		}
		if state.Job(r.Job).Queue == "advised" {
			assert.Equal(t, step.TicketValue(w), "ticket")
		}
		if step.Spec.Gang {
			assert.Equal(t, step.Placed(), step.Spec.Count)
		}
		if step.Spec.MaxPerWorker > 0 {
			count := 0
			for _, task := range step.Tasks {
				if task.Placement != nil && task.Placement.Worker == w.Key() {
					count++
				}
			}
			assert.Assert(t, count <= step.Spec.MaxPerWorker)
		}
	}
}

// TestTicketsOutlastCommit guards against starts with expired tickets when the store is
// slow: a ticket that would expire before the placement is durable is renewed, not used.
func TestTicketsOutlastCommit(t *testing.T) {
	for name, test := range map[string]struct {
		commitMillis int64
		placed       int
	}{
		"quick store": {commitMillis: 5, placed: 1},
		"slow store":  {commitMillis: 320, placed: 0},
	} {
		t.Run(name, func(t *testing.T) {
			state := job.NewState()
			workers := newWorkers(1)
			acceptJob(t, state, "a", "team0", "advised", 0, job.StepSpec{
				Count: 1,
				Needs: cores(1),
			})
			p := job.NewPlanner(state, newRules(1), workers, 0)
			p.PolicyQueries(0, limitCalls(1, 1))[0].HandleAnswer(map[*job.Worker]job.Ticket{
				workers[0]: {ExpiresMillis: 400},
			}, true)
			p = job.NewPlanner(state, newRules(1), workers, 0).WithCommitMillis(test.commitMillis)
			assert.Equal(t, len(p.Plan(0)), test.placed)
			assert.Equal(t, len(p.PolicyQueries(0, limitCalls(1, 1))), 1-test.placed)
		})
	}
}

// TestGangInFullFleetAsksAboutFewWorkers guards against gangs that wait for capacity and
// ask about one set of workers after another, until the policy service has no time for
// other jobs. A gang asks on with calls to spare, and while it would not fit comfortably
// on the workers that it may use even if nothing else ran there.
func TestGangInFullFleetAsksAboutFewWorkers(t *testing.T) {
	const gangTasks, blockedWorkers = 6, 4
	for name, test := range map[string]struct {
		allowed    int // workers allowed by the first answer, with room for two tasks each
		spareCalls int
		asks       bool
	}{
		"too few allowed":                   {allowed: 5, asks: true},
		"enough if drained":                 {allowed: 6},
		"enough if drained, calls to spare": {allowed: 6, spareCalls: 1, asks: true},
	} {
		t.Run(name, func(t *testing.T) {
			state := job.NewState()
			rules := newRules(1)
			workers := newWorkers(100)
			acceptJob(t, state, "gang", "team0", "advised", 0, job.StepSpec{
				Count: gangTasks,
				Needs: cores(32),
				Gang:  true,
			})
			query := job.NewPlanner(state, rules, workers, 0).PolicyQueries(0, limitCalls(1, 1))[0]
			tickets := map[*job.Worker]job.Ticket{}
			for _, w := range query.Workers[:test.allowed] {
				tickets[w] = job.Ticket{ExpiresMillis: 2000}
			}
			query.HandleAnswer(tickets, true)
			acceptJob(t, state, "blocker", "team0", "plain", 0, job.StepSpec{
				Count: blockedWorkers,
				Needs: cores(64),
			})
			for n, w := range query.Workers[:blockedWorkers] {
				mustApply(t, state, job.Record{
					Kind:    job.RecordPlace,
					Job:     "blocker",
					Index:   n,
					Attempt: 1,
					Worker:  w.ID,
				})
			}
			p := job.NewPlanner(state, rules, workers, 1)
			assert.Equal(t, len(p.Plan(1)), 0)
			queries := p.PolicyQueries(1, job.QueryLimits{
				Calls:          1,
				SlowCalls:      1,
				SpareSlowCalls: test.spareCalls,
				SlowMillis:     2 * rules.Queues["advised"].Policy.FixedMillis / 3,
			})
			assert.Equal(t, len(queries) == 1, test.asks)
		})
	}
}

// TestWaitingGangsLeaveRoomForOthers guards against a fleet in which gangs that wait
// reserve most workers, which idle while jobs of lower priority wait too.
func TestWaitingGangsLeaveRoomForOthers(t *testing.T) {
	const workerCount, gangCount = 12, 6
	state := job.NewState()
	rules := newRules(1)
	queue := rules.Queues["plain"]
	queue.Name, queue.Priority = "low", 5
	rules.Queues["low"] = queue
	workers := newWorkers(workerCount)
	acceptJob(t, state, "running", "team0", "plain", 0, job.StepSpec{
		Count: workerCount,
		Needs: cores(40),
	})
	assert.Equal(t, len(job.NewPlanner(state, rules, workers, 0).Plan(0)), workerCount)
	for n := range gangCount {
		acceptJob(t, state, fmt.Sprint("gang", n), "team0", "plain", 1, job.StepSpec{
			Count: 2,
			Needs: cores(64),
			Gang:  true,
		})
	}
	acceptJob(t, state, "low", "team0", "low", 1, job.StepSpec{
		Count: workerCount,
		Needs: cores(24),
	})
	records := job.NewPlanner(state, rules, workers, 2).Plan(2)
	assert.DeepEqual(t, placedJobs(records), []string{"low"})
	assert.Equal(t, len(records), workerCount*2/3)
}

// TestStepsThatNeedNoQueryDoNotStarveOthers guards against a backlog at the head of the
// order whose steps wait for their team's cap or for capacity, and hide the steps behind
// them from the policy service.
func TestStepsThatNeedNoQueryDoNotStarveOthers(t *testing.T) {
	const backlog, maxPasses = 200, 5
	for name, head := range map[string]job.StepSpec{
		"team at its cap": {
			Count: 1,
			Needs: cores(8),
		},
		"larger than any room": {
			Count: 1,
			Needs: cores(48),
		},
		"gangs that do not fit": {
			Count: 5,
			Needs: cores(24),
			Gang:  true,
		},
	} {
		t.Run(name, func(t *testing.T) {
			state := job.NewState()
			rules := newRules(2)
			capped := rules.Teams["team0"]
			capped.Cap = cores(150)
			rules.Teams["team0"] = capped
			workers := newWorkers(4)
			acceptJob(t, state, "running", "team1", "plain", 0, job.StepSpec{
				Count: 4,
				Needs: cores(32),
			})
			assert.Equal(t, len(job.NewPlanner(state, rules, workers, 0).Plan(0)), 4)
			for n := range backlog {
				acceptJob(t, state, fmt.Sprintf("head%03d", n), "team0", "advised", 1, head)
			}
			for now := int64(2); now < 12; now++ {
				answerQueries(job.NewPlanner(state, rules, workers, now), now, 1)
				job.NewPlanner(state, rules, workers, now).Plan(now)
			}
			acceptJob(t, state, "tail", "team1", "advised", 12, job.StepSpec{
				Count: 1,
				Needs: cores(0),
			})
			for pass := range maxPasses {
				now := int64(12 + pass)
				queries := job.NewPlanner(state, rules, workers, now).PolicyQueries(now, limitCalls(1, 1))
				if len(queries) > 0 {
					assert.Equal(t, queries[0].Step.Job.ID, "tail")
					return
				}
			}
			t.Fatalf("no query in %d passes", maxPasses)
		})
	}
}

// TestStepAtLimitPerWorkerAsksAboutOthers guards against a step that waits for its own tasks
// to end on the few workers that it has asked about, while others idle.
func TestStepAtLimitPerWorkerAsksAboutOthers(t *testing.T) {
	state := job.NewState()
	rules := newRules(1)
	workers := newWorkers(80)
	acceptJob(t, state, "spread", "team0", "advised", 0, job.StepSpec{
		Count:        60,
		Needs:        cores(1),
		MaxPerWorker: 1,
	})
	for now := int64(0); now < 3; now++ {
		p := job.NewPlanner(state, rules, workers, now)
		p.Plan(now)
		answerQueries(p, now, 1)
	}
	p := job.NewPlanner(state, rules, workers, 3)
	p.Plan(3)
	assert.Equal(t, state.Job("spread").Steps[0].Placed(), 60)
}

// TestGangInFragmentedFleetAsksAboutEnoughWorkers guards against gangs that learn of so few
// workers that they must wait until these are drained, although they would fit on the free
// capacity of all workers that they may use.
func TestGangInFragmentedFleetAsksAboutEnoughWorkers(t *testing.T) {
	const gangTasks, allowedEvery = 12, 4
	state := job.NewState()
	rules := newRules(1)
	workers := newWorkers(100)
	acceptJob(t, state, "running", "team0", "plain", 0, job.StepSpec{
		Count:        100,
		Needs:        cores(32),
		MaxPerWorker: 1,
	})
	assert.Equal(t, len(job.NewPlanner(state, rules, workers, 0).Plan(0)), 100)
	acceptJob(t, state, "gang", "team0", "advised", 0, job.StepSpec{
		Count: gangTasks,
		Needs: cores(32),
		Gang:  true,
	})
	answerQueries(job.NewPlanner(state, rules, workers, 1), 1, allowedEvery)
	records := job.NewPlanner(state, rules, workers, 2).Plan(2)
	assert.Equal(t, len(records), gangTasks)
}

// TestWaitingGangsAskInLongBacklog guards against a backlog in which the gangs that go first
// never use the calls to spare.
func TestWaitingGangsAskInLongBacklog(t *testing.T) {
	const gangCount = 100
	state := job.NewState()
	rules := newRules(1)
	workers := newWorkers(300)
	acceptJob(t, state, "running", "team0", "plain", 0, job.StepSpec{
		Count: 300,
		Needs: cores(40),
	})
	assert.Equal(t, len(job.NewPlanner(state, rules, workers, 0).Plan(0)), 300)
	for n := range gangCount {
		acceptJob(t, state, fmt.Sprintf("gang%03d", n), "team0", "advised", 1, job.StepSpec{
			Count: 25,
			Needs: cores(20),
			Gang:  true,
		})
	}
	limits := job.QueryLimits{
		Calls:      gangCount,
		SlowCalls:  gangCount,
		SlowMillis: rules.Queues["advised"].Policy.FixedMillis,
	}
	for now := int64(1); now < 5; now++ {
		for _, q := range job.NewPlanner(state, rules, workers, now).PolicyQueries(now, limits) {
			allowed := map[*job.Worker]job.Ticket{}
			for _, w := range q.Workers[:len(q.Workers)/5] { // too few to fit now
				allowed[w] = job.Ticket{}
			}
			q.HandleAnswer(allowed, true)
		}
	}
	limits.SpareSlowCalls = gangCount
	asked := map[string]bool{}
	for now := int64(5); now < 8; now++ {
		for _, q := range job.NewPlanner(state, rules, workers, now).PolicyQueries(now, limits) {
			asked[q.Step.Job.ID] = true
		}
	}
	assert.Equal(t, len(asked), gangCount)
}

// TestShrunkCapacity checks that nothing is placed beyond a capacity that became smaller
// while the worker runs, whether the room was free or reserved for a gang before, and that
// a capacity that grows again is used at once.
func TestShrunkCapacity(t *testing.T) {
	for name, c := range map[string]struct {
		queue           string
		spec            job.StepSpec
		running         int   // tasks of 16 cores that run, or are being stopped
		shrunk          int64 // in cores
		wantPlaced      int
		wantPlacedGrown int // at 64 cores again
	}{
		"room for one task": {
			queue: "plain",
			spec: job.StepSpec{
				Count: 3,
				Needs: cores(16),
			},
			running:         1,
			shrunk:          32,
			wantPlaced:      1,
			wantPlacedGrown: 2,
		},
		"less than what runs": {
			queue: "plain",
			spec: job.StepSpec{
				Count: 2,
				Needs: cores(1),
			},
			running:         2,
			shrunk:          16,
			wantPlacedGrown: 2,
		},
		"less than what runs, no processors needed": {
			queue: "plain",
			spec: job.StepSpec{
				Count: 1,
				Needs: job.Resources{MemoryMB: 1},
			},
			running:         2,
			shrunk:          16,
			wantPlacedGrown: 1,
		},
		"gang with a reservation": {
			queue: "advised",
			spec: job.StepSpec{
				Count: 2,
				Needs: cores(32),
				Gang:  true,
			},
			shrunk:          63,
			wantPlacedGrown: 2,
		},
		"gang that fits beside what runs": {
			queue: "advised",
			spec: job.StepSpec{
				Count: 2,
				Needs: cores(16),
				Gang:  true,
			},
			running:    1,
			shrunk:     48,
			wantPlaced: 2,
		},
	} {
		t.Run(name, func(t *testing.T) {
			state := job.NewState()
			rules := newRules(1)
			workers := newWorkers(1)
			acceptJob(t, state, "running", "team0", "plain", 0, job.StepSpec{
				Count: c.running,
				Needs: cores(16),
			})
			for n := range c.running {
				mustApply(t, state, job.Record{
					Kind:    job.RecordPlace,
					Job:     "running",
					Index:   n,
					Attempt: 1,
					Worker:  workers[0].ID,
				})
			}
			acceptJob(t, state, "new", "team0", c.queue, 0, c.spec)
			plan := func(now, capacity int64) int {
				workers[0].Capacity.MilliCores = capacity * 1000
				return len(job.NewPlanner(state, rules, workers, now).Plan(now))
			}
			if c.queue == "advised" { // the second query is a renewal, which reserves room
				for now, expires := range []int64{1, 2000} {
					p := job.NewPlanner(state, rules, workers, int64(now))
					assert.Equal(t, len(p.Plan(int64(now))), 0)
					p.PolicyQueries(int64(now), limitCalls(1, 1))[0].HandleAnswer(map[*job.Worker]job.Ticket{
						workers[0]: {ExpiresMillis: expires},
					}, true)
				}
			}
			assert.Equal(t, plan(20, c.shrunk), c.wantPlaced)
			assert.Assert(t, c.wantPlaced == 0 || state.Used(workers[0].Key()).FitsIn(workers[0].Capacity))
			assert.Equal(t, plan(30, 64), c.wantPlacedGrown)
		})
	}
}
