package job_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/citronbay/citronbay/internal/decide/job"
)

// newRulesWithLowQueue returns rules with a queue "low", which is the least urgent one.
func newRulesWithLowQueue() job.Rules {
	rules := newRules(1)
	queue := rules.Queues["plain"]
	queue.Name, queue.Priority = "low", 5
	rules.Queues["low"] = queue
	return rules
}

// acceptGangAndSmallTasks accepts a gang of two, and a job of the less urgent queue with small tasks.
func acceptGangAndSmallTasks(t *testing.T, state *job.State, small int) {
	t.Helper()
	acceptJob(t, state, "gang", "team0", "plain", 1, job.StepSpec{
		Count: 2,
		Needs: cores(40),
		Gang:  true,
	})
	acceptJob(t, state, "small", "team0", "low", 1, job.StepSpec{
		Count: small,
		Needs: cores(10),
	})
}

// allowWorkers answers all queries of the pass and allows the workers with the given numbers.
func allowWorkers(p *job.Planner, workers []*job.Worker, now int64, numbers ...int) {
	for _, q := range p.PolicyQueries(now, limitCalls(1000, 1000)) {
		allowed := map[*job.Worker]job.Ticket{}
		for _, n := range numbers {
			allowed[workers[n]] = job.Ticket{ExpiresMillis: now + 2000}
		}
		q.HandleAnswer(allowed, true)
	}
}

// TestGangThatFitsNowhereHoldsNothing guards against jobs of less urgent queues that never start in an
// empty fleet, since a gang that cannot start there, however many tasks end, reserves the workers. The
// cases of gangs that fit once tasks have ended guard against the opposite error.
func TestGangThatFitsNowhereHoldsNothing(t *testing.T) {
	const workerCount = 3
	for name, c := range map[string]struct {
		gang    job.StepSpec
		queue   string // of the gang; "plain" if empty
		allowed []int  // the workers that the policy of the queue allows
		// prepare changes the workers.
		prepare func(workers []*job.Worker)
		// running are steps whose tasks are placed before.
		running []job.StepSpec
		holds   bool
	}{
		"a task fits on no worker": {
			gang: job.StepSpec{Count: 2, Needs: cores(80)},
		},
		"the tasks fit on the fleet in part": {
			gang: job.StepSpec{Count: workerCount + 1, Needs: cores(40)},
		},
		"limit per worker": {
			gang: job.StepSpec{Count: workerCount + 1, Needs: cores(1), MaxPerWorker: 1},
		},
		"label of one worker": {
			gang:    job.StepSpec{Count: 2, Needs: cores(40), Label: "special"},
			prepare: func(workers []*job.Worker) { workers[1].Labels = []string{"special"} },
		},
		"workers out of use": {
			gang: job.StepSpec{Count: workerCount, Needs: cores(40)},
			prepare: func(workers []*job.Worker) {
				workers[2].Usable = false
			},
		},
		"policy allows one worker": {
			gang:    job.StepSpec{Count: 2, Needs: cores(40)},
			queue:   "advised",
			allowed: []int{1},
		},
		"tasks that last on each worker": {
			gang:    job.StepSpec{Count: workerCount, Needs: cores(40)},
			running: []job.StepSpec{{Count: workerCount, Needs: cores(30), MaxPerWorker: 1, Endless: true}},
		},
		"tasks that last on one worker": {
			gang:    job.StepSpec{Count: workerCount, Needs: cores(60)},
			running: []job.StepSpec{{Count: 1, Needs: cores(30), Endless: true}},
		},
		"fits once tasks have ended": {
			gang:    job.StepSpec{Count: workerCount, Needs: cores(40)},
			running: []job.StepSpec{{Count: workerCount, Needs: cores(50), MaxPerWorker: 1}},
			holds:   true,
		},
		"fits beside tasks that last once others have ended": {
			gang: job.StepSpec{Count: workerCount, Needs: cores(40)},
			running: []job.StepSpec{
				{Count: workerCount, Needs: cores(20), MaxPerWorker: 1, Endless: true},
				{Count: workerCount, Needs: cores(20), MaxPerWorker: 1},
			},
			holds: true,
		},
		"fits within the limit per worker": {
			gang:    job.StepSpec{Count: workerCount, Needs: cores(40), MaxPerWorker: 1},
			running: []job.StepSpec{{Count: workerCount, Needs: cores(50), MaxPerWorker: 1}},
			holds:   true,
		},
	} {
		t.Run(name, func(t *testing.T) {
			state, rules, workers := job.NewState(), newRulesWithLowQueue(), newWorkers(workerCount)
			for n, spec := range c.running {
				acceptJob(t, state, fmt.Sprint("running", n), "team0", "plain", 0, spec)
			}
			job.NewPlanner(state, rules, workers, 0).Plan(0)
			if c.prepare != nil {
				c.prepare(workers)
			}
			queue := "plain"
			if c.queue != "" {
				queue = c.queue
			}
			c.gang.Gang = true
			acceptJob(t, state, "gang", "team0", queue, 1, c.gang)
			allowWorkers(job.NewPlanner(state, rules, workers, 1), workers, 1, c.allowed...)
			acceptJob(t, state, "small", "team0", "low", 1, job.StepSpec{
				Count:        workerCount,
				Needs:        cores(10),
				MaxPerWorker: 1,
			})
			want := 0
			for _, w := range workers {
				if w.Usable && !c.holds {
					want++
				}
			}
			records := job.NewPlanner(state, rules, workers, 2).Plan(2)
			assert.Equal(t, len(records), want, "%v", placedJobs(records))
		})
	}
}

// TestGangReservesOnlyWorkersThatItCanUse guards against workers that idle for a gang of which no task
// fits there.
func TestGangReservesOnlyWorkersThatItCanUse(t *testing.T) {
	state, rules, workers := job.NewState(), newRulesWithLowQueue(), newWorkers(4)
	acceptJob(t, state, "running", "team0", "plain", 0, job.StepSpec{
		Count:        2,
		Needs:        cores(50),
		MaxPerWorker: 1,
	})
	for n, w := range workers {
		if n < 2 {
			w.Capacity = cores(30)
		}
	}
	assert.Equal(t, len(job.NewPlanner(state, rules, workers, 0).Plan(0)), 2)
	acceptGangAndSmallTasks(t, state, 8)
	records := job.NewPlanner(state, rules, workers, 2).Plan(2)
	assert.Equal(t, len(records), 6)
	for _, r := range records {
		assert.Assert(t, r.Worker == workers[0].ID || r.Worker == workers[1].ID)
	}
}

// TestRoomOfEndlessTasksFollowsThem checks that the room of endless tasks is not expected to become
// free, also after their worker has restarted, until they end.
func TestRoomOfEndlessTasksFollowsThem(t *testing.T) {
	state, rules, workers := job.NewState(), newRulesWithLowQueue(), newWorkers(2)
	acceptJob(t, state, "lasting", "team0", "plain", 0, job.StepSpec{
		Count:        2,
		Needs:        cores(30),
		MaxPerWorker: 1,
		Endless:      true,
	})
	assert.Equal(t, len(job.NewPlanner(state, rules, workers, 0).Plan(0)), 2)
	for _, w := range workers {
		before := w.Key()
		w.Incarnation++
		state.Move(before, w.Key())
	}
	acceptGangAndSmallTasks(t, state, 1)
	assert.DeepEqual(t, placedJobs(job.NewPlanner(state, rules, workers, 1).Plan(1)), []string{"small"})
	endTask(t, state, "small", 0, job.AttemptCompleted)
	mustApply(t, state, job.Record{
		Kind:    job.RecordJobEnd,
		Job:     "lasting",
		Outcome: job.Cancelled,
	})
	for n := range workers {
		endTask(t, state, "lasting", n, job.AttemptLost)
	}
	acceptJob(t, state, "next", "team0", "low", 2, job.StepSpec{
		Count: 1,
		Needs: cores(10),
	})
	assert.DeepEqual(t, placedJobs(job.NewPlanner(state, rules, workers, 2).Plan(2)), []string{"gang", "next"})
}

// TestReservationsHoldBackOthersBriefly guards against tasks of less urgent queues that wait for longer
// than 3 s, while half of the service is idle, for a gang to start which waits for tasks that take
// long. On a service that is in use by half or more the gang keeps its reservation, but an endless task
// does not wait for it.
func TestReservationsHoldBackOthersBriefly(t *testing.T) {
	const (
		workerCount = 4
		submitted   = int64(10_000)
		pass        = 100
		longest     = 8000
		never       = -1
	)
	for name, c := range map[string]struct {
		runningCores int64 // of a task on each worker
		endAt        int   // when half of these tasks end, counted from the submission; zero if they do not
		endless      bool  // the step that waits is endless
		gang         bool  // the step that waits is a gang
		wantWait     int
	}{
		"under half in use":                    {runningCores: 20, wantWait: 2000},
		"under half in use, gang waits":        {runningCores: 20, gang: true, wantWait: 2000},
		"over half in use":                     {runningCores: 40, wantWait: never},
		"over half in use, gang waits":         {runningCores: 40, gang: true, wantWait: never},
		"under half in use from 3 s":           {runningCores: 40, endAt: 3000, wantWait: 5000},
		"over half in use, endless":            {runningCores: 40, endless: true, wantWait: 2000},
		"under half in use, endless":           {runningCores: 20, endless: true, wantWait: 2000},
		"under half in use from 3 s, gang":     {runningCores: 40, endAt: 3000, gang: true, wantWait: 5000},
		"over half in use, endless, use falls": {runningCores: 40, endAt: 1000, endless: true, wantWait: 2000},
	} {
		t.Run(name, func(t *testing.T) {
			state, rules, workers := job.NewState(), newRulesWithLowQueue(), newWorkers(workerCount)
			acceptJob(t, state, "running", "team0", "plain", 0, job.StepSpec{
				Count:        workerCount,
				Needs:        cores(c.runningCores),
				MaxPerWorker: 1,
			})
			assert.Equal(t, len(job.NewPlanner(state, rules, workers, 0).Plan(0)), workerCount)
			acceptJob(t, state, "wide", "team0", "plain", submitted, job.StepSpec{
				Count: workerCount,
				Needs: cores(60),
				Gang:  true,
			})
			acceptJob(t, state, "low", "team0", "low", submitted, job.StepSpec{
				Count:   2,
				Needs:   cores(4),
				Endless: c.endless,
				Gang:    c.gang,
			})
			wait := never
			for after := 0; after <= longest && wait == never; after += pass {
				if c.endAt > 0 && after == c.endAt {
					endTask(t, state, "running", 0, job.AttemptCompleted)
					endTask(t, state, "running", 1, job.AttemptCompleted)
				}
				now := submitted + int64(after)
				if records := job.NewPlanner(state, rules, workers, now).Plan(now); len(records) > 0 {
					assert.DeepEqual(t, placedJobs(records), []string{"low"})
					wait = after
				}
			}
			assert.Equal(t, wait, c.wantWait)
		})
	}
}

// TestWideGangStartsOnBusyFleet guards against a gang that never fits, since tasks of a less urgent queue
// go ahead of it, as soon as half of the service is idle, on the workers that drain for it.
func TestWideGangStartsOnBusyFleet(t *testing.T) {
	const (
		workerCount, gangWorkers = 10, 8
		tasksPerWorker           = 4
		taskMillis, pass         = 5000, 100
	)
	state, rules, workers := job.NewState(), newRulesWithLowQueue(), newWorkers(workerCount)
	ends := map[string]int64{} // of the placed jobs
	count := 0
	for now := int64(0); now < 4*taskMillis; now += pass {
		for id, at := range ends {
			if at <= now {
				endTask(t, state, id, 0, job.AttemptCompleted)
				delete(ends, id)
			}
		}
		for range 2 { // more than there is room for
			count++
			acceptJob(t, state, fmt.Sprintf("low%04d", count), "team0", "low", now, job.StepSpec{
				Count: 1,
				Needs: cores(64 / tasksPerWorker),
			})
		}
		if now == 2*taskMillis {
			assert.Assert(t, len(ends) > workerCount*tasksPerWorker*9/10, "the fleet is busy")
			acceptJob(t, state, "gang", "team0", "plain", now, job.StepSpec{
				Count: gangWorkers,
				Needs: cores(64),
				Gang:  true,
			})
		}
		for _, r := range job.NewPlanner(state, rules, workers, now).Plan(now) {
			if r.Job == "gang" {
				assert.Assert(t, now <= 3*taskMillis, "the gang has waited for longer than the tasks that ran take")
				return
			}
			ends[r.Job] = now + taskMillis
		}
	}
	t.Fatal("the gang has not started")
}
