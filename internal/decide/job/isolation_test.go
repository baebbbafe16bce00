package job_test

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/citronbay/citronbay/internal/decide/job"
)

// acceptSuspect accepts a job with a task, or a gang, that is suspected of one crash.
func acceptSuspect(t *testing.T, state *job.State, id, queue string, spec job.StepSpec) {
	t.Helper()
	acceptJob(t, state, id, "team0", queue, 0, spec)
	runTask(t, state, &job.Worker{ID: "gone"}, id, 0, 0, true)
	endTask(t, state, id, 0, job.AttemptCrashed)
}

// placedWorkers returns the workers of the records by job.
func placedWorkers(records []job.Record) map[string][]string {
	workers := map[string][]string{}
	for _, r := range records {
		workers[r.Job] = append(workers[r.Job], r.Worker)
	}
	return workers
}

// TestCrashingTaskRunsIsolated guards against a task that crashes worker after worker with
// the innocent tasks there. It checks that suspects get empty workers, a bounded number of
// them, that nothing starts beside them, and that the others go on.
func TestCrashingTaskRunsIsolated(t *testing.T) {
	state := job.NewState()
	rules := newRules(1)
	workers := newWorkers(12)
	one := job.StepSpec{
		Count: 1,
		Needs: cores(4),
	}
	for n := range 5 {
		acceptSuspect(t, state, fmt.Sprint("suspect", n), "plain", one)
	}
	acceptJob(t, state, "innocent", "team0", "plain", 0, job.StepSpec{
		Count: 9 * 16,
		Needs: cores(4),
	})
	placed := placedWorkers(job.NewPlanner(state, rules, workers, 1).Plan(1))
	isolated := map[string]bool{}
	for n := range 3 {
		id := fmt.Sprint("suspect", n)
		assert.Equal(t, len(placed[id]), 1, id)
		isolated[placed[id][0]] = true
	}
	assert.Equal(t, len(isolated), 3)
	assert.Equal(t, len(placed["innocent"]), 9*16)
	for _, w := range placed["innocent"] {
		assert.Assert(t, !isolated[w])
	}
	assert.Equal(t, len(placed), 4, "a quarter of the workers is isolated")
}

// TestSuspectDoesNotStarve guards against a suspect that waits for an empty worker in a full
// fleet, while a stream of tasks of higher priority takes all capacity as it becomes free.
func TestSuspectDoesNotStarve(t *testing.T) {
	for name, spec := range map[string]job.StepSpec{
		"task": {Count: 1, Needs: cores(4)},
		"gang": {Count: 20, Needs: cores(4), Gang: true}, // needs two of eight workers
	} {
		t.Run(name, func(t *testing.T) {
			state := job.NewState()
			rules := newRules(1)
			queue := rules.Queues["plain"]
			queue.Name, queue.Priority = "low", 5
			rules.Queues["low"] = queue
			workers := newWorkers(8)
			half := job.StepSpec{
				Count:          1,
				Needs:          cores(32),
				EstimateMillis: 200,
			}
			var running []string
			for now := int64(0); now < 4000; now += 100 {
				for n := range 4 {
					id := fmt.Sprintf("stream%d-%d", now, n)
					acceptJob(t, state, id, "team0", "plain", now, half)
				}
				if now == 1000 {
					acceptSuspect(t, state, "suspect", "low", spec)
				}
				for len(running) > 12 {
					endTask(t, state, running[0], 0, job.AttemptCompleted)
					running = running[1:]
				}
				for _, r := range job.NewPlanner(state, rules, workers, now).Plan(now) {
					if r.Job == "suspect" {
						return
					}
					p := state.Placement(job.TaskKey{Job: r.Job})
					p.Confirmed, p.StartedMillis = true, now
					running = append(running, r.Job)
				}
			}
			t.Fatal("the suspect never started")
		})
	}
}

// TestSuspectJobUsesOneWorker checks that a job's other tasks wait for its suspects, that
// these share a worker, and that the job goes on once they are cleared.
func TestSuspectJobUsesOneWorker(t *testing.T) {
	state := job.NewState()
	rules := newRules(1)
	workers := newWorkers(16)
	acceptSuspect(t, state, "a", "plain", job.StepSpec{
		Count: 5,
		Needs: cores(24),
	})
	runTask(t, state, &job.Worker{ID: "gone"}, "a", 1, 0, true)
	endTask(t, state, "a", 1, job.AttemptCrashed)
	records := job.NewPlanner(state, rules, workers, 0).Plan(0)
	assert.Equal(t, len(records), 2)
	assert.Equal(t, records[0].Worker, records[1].Worker)
	step := state.Job("a").Steps[0]
	for _, r := range records {
		p := step.Tasks[r.Index].Placement
		p.Confirmed, p.StartedMillis = true, 1
		cleared, ok := step.ClearSurvivor(p, 601)
		assert.Assert(t, ok)
		mustApply(t, state, cleared)
	}
	assert.Equal(t, len(job.NewPlanner(state, rules, workers, 601).Plan(601)), 3)
}

// TestSuspectAsksPolicyAboutMoreWorkers guards against a suspect that fits on none of the
// workers about which the policy service has answered, and never asks about others. While
// it only waits for a worker to be empty, it does not ask.
func TestSuspectAsksPolicyAboutMoreWorkers(t *testing.T) {
	for name, c := range map[string]struct {
		allowed int
		asks    int
	}{
		"none allowed":          {allowed: 0, asks: 1},
		"allowed but not empty": {allowed: 1, asks: 0},
	} {
		t.Run(name, func(t *testing.T) {
			state := job.NewState()
			rules := newRules(1)
			workers := newWorkers(60)
			acceptSuspect(t, state, "a", "advised", job.StepSpec{
				Count: 1,
				Needs: cores(4),
			})
			q := job.NewPlanner(state, rules, workers, 0).PolicyQueries(0, limitCalls(1, 1))[0]
			allowed := map[*job.Worker]job.Ticket{}
			acceptJob(t, state, "busy", "team0", "plain", 0, job.StepSpec{
				Count: 1,
				Needs: cores(4),
			})
			runTask(t, state, q.Workers[0], "busy", 0, 0, true)
			for _, w := range q.Workers[:c.allowed] {
				allowed[w] = job.Ticket{ExpiresMillis: 5000}
			}
			q.HandleAnswer(allowed, true)
			p := job.NewPlanner(state, rules, workers, 1)
			assert.Equal(t, len(p.Plan(1)), 0)
			assert.Equal(t, len(p.PolicyQueries(1, limitCalls(1, 1))), c.asks)
		})
	}
}

// TestInnocentSuspectsRunSoon replays waves of crashes in a fleet that is less than half in use:
// every 5 s, many innocent tasks are suspected at once. It guards against suspects that wait for
// isolation for longer than the 3 s within which a task must run that has room twice over.
func TestInnocentSuspectsRunSoon(t *testing.T) {
	const (
		waveMillis     = 5_000
		endMillis      = 20_000
		maxWaitMillis  = 3_000
		passMillis     = 40
		reportMillis   = 200
		runMillis      = 1_500
		ordinaryMillis = 500
	)
	task := job.StepSpec{
		Count:          1,
		Needs:          cores(4),
		EstimateMillis: runMillis,
	}
	gang := job.StepSpec{
		Count:          17,
		Needs:          cores(40),
		EstimateMillis: runMillis,
		Gang:           true,
	}
	for name, c := range map[string]struct {
		suspects int   // in each wave
		gangs    int   // among them
		late     int   // among them, long past their deadlines
		stream   int64 // the time between further suspects, zero if there are none
		// unanswered is set if the suspects' start orders had no answer.
		unanswered bool
	}{
		"twelve":                          {suspects: 12},
		"forty":                           {suspects: 40},
		"gang beside others":              {suspects: 30, gangs: 1},
		"many whose starts had no answer": {suspects: 150, unanswered: true},
		"late beside a stream":            {suspects: 30, late: 30, stream: 80},
	} {
		t.Run(name, func(t *testing.T) {
			state := job.NewState()
			rules := newRules(1)
			workers := newWorkers(48)
			suspicion := job.HadStarted
			if c.unanswered {
				suspicion = job.MayHaveStarted
			}
			waiting := map[string]int64{} // suspects that have not started, since when
			runs := map[string]int64{}    // the ends of the jobs that run
			suspect := func(id string, submitted, now int64, spec job.StepSpec) {
				acceptJob(t, state, id, "team0", "plain", submitted, spec)
				for n := range spec.Count {
					runTask(t, state, &job.Worker{ID: "gone"}, id, n, now, !c.unanswered)
				}
				for n := range spec.Count {
					endTask(t, state, id, n, suspicion.Outcome())
				}
				waiting[id] = now
			}
			for now := int64(0); now < endMillis; now += passMillis {
				for n := range c.suspects {
					if now%waveMillis != 0 {
						break
					}
					spec, submitted := task, now-1000
					if n < c.gangs {
						spec = gang
					}
					if n < c.late {
						submitted -= 60_000
					}
					suspect(fmt.Sprintf("wave%d-%d", now, n), submitted, now, spec)
				}
				if c.stream > 0 && now%c.stream == 0 {
					suspect(fmt.Sprintf("stream%d", now), now, now, task)
				}
				for n := range 6 {
					acceptJob(t, state, fmt.Sprintf("ordinary%d-%d", now, n), "team0", "plain", now, job.StepSpec{
						Count:          1,
						Needs:          cores(8),
						EstimateMillis: ordinaryMillis,
					})
				}
				for id, end := range runs {
					step := state.Job(id).Steps[0]
					for n := range step.Tasks {
						p := step.Tasks[n].Placement
						if r, ok := step.ClearSurvivor(p, now); ok && now%reportMillis == 0 {
							mustApply(t, state, r)
						}
						if now >= end {
							endTask(t, state, id, n, job.AttemptCompleted)
							delete(runs, id)
						}
					}
				}
				for _, r := range job.NewPlanner(state, rules, workers, now).Plan(now) {
					p := state.Placement(job.TaskKey{Job: r.Job, Index: r.Index})
					p.Confirmed, p.StartedMillis = true, now
					runs[r.Job] = now + state.Job(r.Job).Steps[0].Spec.EstimateMillis
					delete(waiting, r.Job)
				}
				used := int64(0)
				for _, w := range workers {
					used += state.Used(w.Key()).MilliCores
				}
				assert.Assert(t, used < 48*64000/2, "%d ms: %d millicores in use", now, used)
				for id, since := range waiting {
					assert.Assert(t, now-since <= maxWaitMillis, "%d ms: %s has waited for %d ms", now, id, now-since)
				}
			}
		})
	}
}

// TestSuspectStartsBesideEndlessTasks guards against a suspect that never starts, since an endless task
// of another job runs on each worker that it may use. As long as there is a worker without one, the
// suspect gets that, and nothing else starts beside a suspect.
func TestSuspectStartsBesideEndlessTasks(t *testing.T) {
	const workerCount = 8
	for name, c := range map[string]struct {
		endless int // workers with an endless task, the first ones
		spec    job.StepSpec
		busy    bool // the workers run other tasks too
		want    int  // placements of the suspect's job in the first pass
	}{
		"task, all workers":             {endless: workerCount, spec: job.StepSpec{Count: 1, Needs: cores(4)}, want: 1},
		"task, all but one":             {endless: workerCount - 1, spec: job.StepSpec{Count: 1, Needs: cores(4)}, want: 1},
		"gang, all workers":             {endless: workerCount, spec: job.StepSpec{Count: 2, Needs: cores(40), Gang: true}, want: 2},
		"no room beside endless tasks":  {endless: workerCount, spec: job.StepSpec{Count: 1, Needs: cores(60)}},
		"tasks that will end run there": {endless: workerCount, spec: job.StepSpec{Count: 1, Needs: cores(4)}, busy: true},
	} {
		t.Run(name, func(t *testing.T) {
			state, rules, workers := job.NewState(), newRules(1), newWorkers(workerCount)
			acceptJob(t, state, "endless", "team0", "plain", 0, job.StepSpec{
				Count:        c.endless,
				Needs:        cores(8),
				MaxPerWorker: 1,
				Endless:      true,
			})
			for n := range c.endless {
				runTask(t, state, workers[n], "endless", n, 0, true)
			}
			if c.busy {
				acceptJob(t, state, "busy", "team0", "plain", 0, job.StepSpec{
					Count: workerCount,
					Needs: cores(8),
				})
				for n, w := range workers {
					runTask(t, state, w, "busy", n, 0, true)
				}
			}
			acceptSuspect(t, state, "suspect", "plain", c.spec)
			acceptJob(t, state, "other", "team0", "plain", 1, job.StepSpec{
				Count: 40 * workerCount,
				Needs: cores(1),
			})
			placed := placedWorkers(job.NewPlanner(state, rules, workers, 1).Plan(1))
			assert.Equal(t, len(placed["suspect"]), c.want)
			for _, w := range placed["suspect"] {
				assert.Assert(t, !slices.Contains(placed["other"], w))
				if c.endless < workerCount {
					assert.Equal(t, w, workers[workerCount-1].ID)
				}
			}
			assert.Assert(t, len(placed["other"]) > 0)
		})
	}
}
