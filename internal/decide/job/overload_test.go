package job_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/citronbay/citronbay/internal/decide/advisor"
	"github.com/citronbay/citronbay/internal/decide/job"
)

// jobClass describes the jobs of one queue in a replay. A task's real run time is its estimate times a
// factor of up to 1 + estimateError either way.
type jobClass struct {
	queue         job.Queue
	perSecond     float64
	tasks         float64 // the mean, exponentially distributed
	needs         job.Resources
	runMillis     float64
	estimateError float64
	gang          bool
	allowedShare  float64
	// burst multiplies perSecond from the start until burstMillis.
	burst       float64
	burstMillis int64
}

// replayResult holds what a replay shows.
type replayResult struct {
	inTime, useful, jobs map[string]int
	// work and earned are the core-seconds of all jobs and of those in time.
	work, earned map[string]float64
	usedShare    float64 // of the processors, while jobs wait
	calls        int
	callMillis   float64
}

// replayLoad replays the arrival of jobs of the classes on the workers for the given time, through the
// given number of nodes that call the policy service.
func replayLoad(tb testing.TB, seed uint64, classes []jobClass, workers []*job.Worker, nodes int, duration int64) replayResult {
	tb.Helper()
	const tickMillis, roundTripMillis, commitMillis, drainMillis = 10, 60, 25, 15_000
	arrivals, durations := rand.New(rand.NewPCG(seed, 45)), rand.New(rand.NewPCG(seed, 46))
	state, rules := job.NewState(), job.Rules{Queues: map[string]job.Queue{}}
	for _, c := range classes {
		rules.Queues[c.queue.Name] = c.queue
	}
	result := replayResult{
		inTime: map[string]int{},
		useful: map[string]int{},
		jobs:   map[string]int{},
		work:   map[string]float64{},
		earned: map[string]float64{},
	}
	type answer struct {
		at   int64
		call *advisor.Call
		q    job.PolicyQuery
	}
	type run struct {
		endsAt int64
		p      *job.Placement
	}
	var answers []answer
	var runs []run
	schedule := advisor.NewSchedule()
	names := make([]string, nodes)
	serviceFree := map[string]int64{}
	for n := range names {
		names[n] = fmt.Sprintf("node%02d", n)
	}
	real := map[string]float64{} // run time by job
	class := map[string]jobClass{}
	allows := func(step *job.Step, w *job.Worker) bool {
		h := rand.NewPCG(uint64(len(w.ID))+hashString(w.ID), hashString(step.Job.ID)+uint64(step.Number))
		return rand.New(h).Float64() < class[step.Job.ID].allowedShare
	}
	var capacity, usedSum, ticks float64
	for _, w := range workers {
		capacity += float64(w.Capacity.MilliCores)
	}
	for now := int64(0); now < duration; now += tickMillis {
		for _, c := range classes {
			rate := c.perSecond
			if now < c.burstMillis {
				rate *= c.burst
			}
			for ; rate > 0 && now < duration-drainMillis; rate -= 1000 / tickMillis {
				millis, tasks := c.runMillis*(0.5+arrivals.Float64()), 1+int(arrivals.ExpFloat64()*(c.tasks-1))
				needs, estimate := 2+arrivals.Int64N(5), millis*math.Exp2(c.estimateError*(2*arrivals.Float64()-1))
				if arrivals.Float64() >= rate*tickMillis/1000 {
					continue
				}
				id := fmt.Sprintf("%s-%d", c.queue.Name, result.jobs[c.queue.Name])
				result.jobs[c.queue.Name]++
				class[id], real[id] = c, millis
				spec := job.StepSpec{
					Count:          min(100, tasks),
					Needs:          c.needs.Times(needs),
					EstimateMillis: int64(estimate),
					Gang:           c.gang,
				}
				acceptJob(tb, state, id, "team", c.queue.Name, now, spec)
				result.work[c.queue.Name] += work(spec, millis)
			}
		}
		var pending []answer
		for _, a := range answers {
			if a.at > now {
				pending = append(pending, a)
				continue
			}
			schedule.Finish(a.call, now)
			allowed := map[*job.Worker]job.Ticket{}
			for _, w := range a.q.Workers {
				if allows(a.q.Step, w) {
					allowed[w] = job.Ticket{ExpiresMillis: now + 1970}
				}
			}
			a.q.HandleAnswer(allowed, true)
		}
		answers = pending
		var running []run
		for _, r := range runs {
			step := state.Job(r.p.Task.Job).Steps[r.p.Task.Step]
			if r.endsAt > now {
				running = append(running, r)
				r.p.Percent = 100 * (1 - float64(r.endsAt-now)/real[step.Job.ID])
				continue
			}
			mustApply(tb, state, job.Record{
				Kind:           job.RecordAttemptEnd,
				Job:            r.p.Task.Job,
				Step:           r.p.Task.Step,
				Index:          r.p.Task.Index,
				Attempt:        r.p.Attempt,
				AttemptOutcome: job.AttemptCompleted,
			})
			j := step.Job
			if !j.Complete() || step.Placed() > 0 {
				continue
			}
			queue := rules.Queues[j.Queue]
			objective := int64(queue.SlackFactor*real[j.ID]) + queue.TargetMillis
			if now-j.SubmittedMillis <= objective {
				result.inTime[j.Queue]++
				result.earned[j.Queue] += work(step.Spec, real[j.ID])
			}
			if now-j.SubmittedMillis <= 3*objective {
				result.useful[j.Queue]++
			}
			mustApply(tb, state, job.Record{
				Kind:       job.RecordJobEnd,
				Job:        j.ID,
				Outcome:    job.Completed,
				TimeMillis: now,
			})
		}
		runs = running
		planner := job.NewPlanner(state, rules, workers, now).WithCommitMillis(commitMillis)
		for _, r := range planner.Plan(now) {
			p := state.Placement(job.TaskKey{
				Job:   r.Job,
				Step:  r.Step,
				Index: r.Index,
			})
			p.StartedMillis = now + commitMillis
			runs = append(runs, run{
				endsAt: now + commitMillis + int64(real[r.Job]*(0.85+0.3*durations.Float64())),
				p:      p,
			})
		}
		available := schedule.Available(names, now)
		slow := 0
		for _, a := range answers {
			if a.q.ExpectedMillis > 200 {
				slow++
			}
		}
		for n, q := range planner.PolicyQueries(now, job.QueryLimits{
			Calls:          len(available),
			SlowCalls:      max(0, nodes/2-slow),
			SpareSlowCalls: max(0, nodes*3/8-slow),
			SlowMillis:     200,
			SpareCalls:     max(0, len(available)-nodes/2),
		}) {
			call, _ := schedule.Start(available[n], q.ExpectedMillis, now)
			serviceFree[available[n]] = max(serviceFree[available[n]], now+roundTripMillis/2) + int64(q.ExpectedMillis)
			answers = append(answers, answer{
				at:   serviceFree[available[n]] + roundTripMillis/2,
				call: call,
				q:    q,
			})
			result.calls++
			result.callMillis += q.ExpectedMillis
		}
		if len(state.UnplacedJobs()) > 20 {
			used := 0.0
			for _, w := range workers {
				used += float64(state.Used(w.Key()).MilliCores)
			}
			usedSum += used / capacity
			ticks++
		}
	}
	result.usedShare = usedSum / max(1, ticks)
	return result
}

// work returns the core-seconds of the step.
func work(spec job.StepSpec, millis float64) float64 {
	return float64(spec.Count) * float64(spec.Needs.MilliCores) * millis / 1e6
}

func hashString(s string) uint64 {
	h := uint64(14695981039346656037)
	for _, b := range []byte(s) {
		h = (h ^ uint64(b)) * 1099511628211
	}
	return h
}

// orderDeskClasses returns the load of an order desk whose callers compete for room: gangs of half of
// the work, wide jobs and short urgent ones, each with a policy service.
func orderDeskClasses(load, burst float64, burstMillis int64) []jobClass {
	queue := func(name string, priority int, slack float64, target int64, fixed, perWorker float64) job.Queue {
		return job.Queue{
			Name:         name,
			Service:      "service",
			Priority:     priority,
			MaxFailures:  3,
			SlackFactor:  slack,
			TargetMillis: target,
			Policy: &job.Policy{
				FixedMillis:       fixed,
				PerWorkerMillis:   perWorker,
				TicketValidMillis: 2000,
			},
		}
	}
	return []jobClass{
		{
			queue: queue("restock", 1, 2.2, 1200, 440, 6.2), perSecond: 4.2 * load, tasks: 20,
			needs: job.Resources{MilliCores: 1125, MemoryMB: 2275}, runMillis: 5000, estimateError: 0.9,
			gang: true, allowedShare: 0.3,
		},
		{
			queue: queue("refresh", 2, 4, 3000, 100, 1.4), perSecond: 11 * load, tasks: 25,
			needs: job.Resources{MilliCores: 425, MemoryMB: 1600}, runMillis: 2700, estimateError: 0.5,
			allowedShare: 0.45, burst: burst, burstMillis: burstMillis,
		},
		{
			queue: queue("lookup", 0, 1.5, 500, 9, 0.13), perSecond: 90 * load, tasks: 3.2,
			needs: job.Resources{MilliCores: 625, MemoryMB: 1775}, runMillis: 800, estimateError: 0.5,
			allowedShare: 0.7, burst: burst, burstMillis: burstMillis,
		},
	}
}

// TestReplayedOverload replays the load of an order desk: wide gangs, jobs of many tasks and urgent ones,
// with estimates that are off by half and a burst for five seconds. Of each
// queue's work at least the given share has to be done in time. The plain version, which had one call to the
// policy service at a time for each node, let gangs ask one call after the other and served jobs by
// priority first, is that of revision b0b34d8; its shares are given for comparison.
func TestReplayedOverload(t *testing.T) {
	for name, c := range map[string]struct {
		load, burst    float64
		plain, atLeast map[string]float64
	}{
		"more than fits for a while": {
			load:    1.2,
			burst:   2,
			plain:   map[string]float64{},
			atLeast: map[string]float64{},
		},
		"much more than fits": {
			load:    1.5,
			burst:   2.5,
			plain:   map[string]float64{},
			atLeast: map[string]float64{},
		},
	} {
		t.Run(name, func(t *testing.T) {
			workers := newWorkers(350)
			for _, w := range workers {
				w.Capacity = job.Resources{
					MilliCores: 16000,
					MemoryMB:   65536,
				}
			}
			r := replayLoad(t, 0, orderDeskClasses(c.load, c.burst, 5000), workers, 45, 30_000)
			for queue, jobs := range r.jobs {
				t.Logf("%s: %d jobs, %.2f of them and %.2f of their work in time", queue, jobs, float64(r.inTime[queue])/float64(jobs), r.earned[queue]/r.work[queue])
			}
			for queue, share := range c.atLeast {
				assert.Assert(t, r.earned[queue] >= share*r.work[queue], "%s: %.2f, by the plain version %.2f", queue,
					r.earned[queue]/r.work[queue], c.plain[queue])
			}
		})
	}
}
