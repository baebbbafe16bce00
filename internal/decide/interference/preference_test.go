package interference_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/citronbay/citronbay/internal/decide/interference"
	"github.com/citronbay/citronbay/internal/decide/job"
)

// trained returns a model that has learned that lookups slow down merges and tasks that serve.
func trained(tb testing.TB) *interference.Model {
	tb.Helper()
	f := newFleet(1, 60)
	f.slope = map[pair]float64{{"merge", "lookup"}: -3, {"serve", "lookup"}: -3}
	f.run(20_000, nil)
	if len(f.found()) != len(f.slope) {
		tb.Fatal("the pairs are not found")
	}
	return f.model
}

func rules() job.Rules {
	r := job.Rules{Queues: map[string]job.Queue{}}
	for name := range kinds {
		r.Queues[name] = job.Queue{
			Name:    name,
			Service: "service",
		}
	}
	return r
}

func tasks(count int) job.StepSpec {
	return job.StepSpec{
		Count:          count,
		Needs:          job.Resources{MilliCores: 2500},
		EstimateMillis: 1000,
	}
}

// accept adds a job to the state.
func accept(tb testing.TB, state *job.State, id, queue string, step job.StepSpec) {
	tb.Helper()
	assert.NilError(tb, state.Apply(job.Record{
		Kind:  job.RecordAccept,
		Job:   id,
		Queue: queue,
		Submission: &job.Submission{
			Steps: []job.StepSpec{step},
		},
	}))
}

// TestTasksAreKeptApart places lookups on a worker with tasks that they slow down, and on an empty
// one. The planner prefers the worker that is fuller; the preference must change that, and nothing
// that matters more.
func TestTasksAreKeptApart(t *testing.T) {
	model := trained(t)
	for name, c := range map[string]struct {
		beside   string // runs on the first worker
		step     job.StepSpec
		change   func(first, second *job.Worker)
		want     map[string]int // tasks by worker
		apart    int
		together int
	}{
		"room": {
			beside: "merge", step: tasks(2),
			want: map[string]int{"second": 2}, apart: 2,
		},
		"no pair": {
			beside: "refresh", step: tasks(2),
			want: map[string]int{"first": 2},
		},
		"room for one": {
			beside: "merge", step: tasks(2),
			change: func(_, second *job.Worker) { second.Capacity.MilliCores = 4000 },
			want:   map[string]int{"first": 1, "second": 1}, apart: 1, together: 1,
		},
		"no room": {
			beside: "merge", step: tasks(2),
			change: func(_, second *job.Worker) { second.Capacity.MilliCores = 1000 },
			want:   map[string]int{"first": 2}, together: 2,
		},
		"not usable": {
			beside: "merge", step: tasks(1),
			change: func(_, second *job.Worker) { second.Usable = false },
			want:   map[string]int{"first": 1}, together: 1,
		},
		"failures": {
			beside: "merge", step: tasks(1),
			change: func(_, second *job.Worker) { second.Penalty = 1 },
			want:   map[string]int{"first": 1}, together: 1,
		},
		"data rack": {
			beside: "merge", step: func() job.StepSpec {
				s := tasks(1)
				s.DataRack = "first"
				return s
			}(),
			want: map[string]int{"first": 1}, together: 1,
		},
		"limit per worker": {
			beside: "merge", step: func() job.StepSpec {
				s := tasks(2)
				s.MaxPerWorker = 1
				return s
			}(),
			want: map[string]int{"first": 1, "second": 1}, apart: 1, together: 1,
		},
		"gang on one rack": {
			beside: "merge", step: func() job.StepSpec {
				s := tasks(5)
				s.Gang, s.PreferOneRack = true, true
				return s
			}(),
			change: func(_, second *job.Worker) { second.Capacity.MilliCores = 5000 },
			want:   map[string]int{"first": 5}, together: 5,
		},
	} {
		t.Run(name, func(t *testing.T) {
			first, second := newWorker("first"), newWorker("second")
			state := job.NewState()
			accept(t, state, c.beside, c.beside, tasks(1))
			job.NewPlanner(state, rules(), []*job.Worker{first}, 1).Plan(1)
			accept(t, state, "lookup", "lookup", c.step)
			if c.change != nil {
				c.change(first, second)
			}
			preference := model.Preference(state)
			records := job.NewPlanner(state, rules(), []*job.Worker{first, second}, 2).WithPreference(preference.Cost).Plan(2)
			got := map[string]int{}
			for _, r := range records {
				got[r.Worker]++
			}
			assert.DeepEqual(t, got, c.want)
			apart, together := preference.Separated(records)
			assert.Equal(t, apart, c.apart)
			assert.Equal(t, together, c.together)
		})
	}
}

func newWorker(id string) *job.Worker {
	return &job.Worker{
		ID:      id,
		Service: "service",
		Rack:    id,
		Capacity: job.Resources{
			MilliCores: workerCores,
		},
		Usable: true,
	}
}

// TestServingCountsMore checks that a lookup rather delays a merge than a task that serves within its
// target, and that without known pairs there is no preference.
func TestServingCountsMore(t *testing.T) {
	serving, waiting := newWorker("serving"), newWorker("waiting")
	state := job.NewState()
	accept(t, state, "serve", "serve", tasks(1))
	job.NewPlanner(state, rules(), []*job.Worker{serving}, 1).Plan(1)
	accept(t, state, "merge", "merge", tasks(1))
	job.NewPlanner(state, rules(), []*job.Worker{waiting}, 1).Plan(1)
	accept(t, state, "lookup", "lookup", tasks(1))
	model := trained(t)
	preference := model.Preference(state)
	lookup := state.Job("lookup").Steps[0]
	assert.Assert(t, preference.Cost(lookup, waiting) > 0)
	assert.Assert(t, preference.Cost(lookup, serving) > 2*preference.Cost(lookup, waiting))
	assert.Assert(t, interference.New().Preference(state) == nil)
}

// BenchmarkPlan measures a planning pass in which a tenth of the fleet is free and jobs of four
// kinds wait, without and with a preference. It places a job in each pass.
func BenchmarkPlan(b *testing.B) {
	model := trained(b)
	for _, workers := range []int{50, 350, 2700} {
		for _, with := range []bool{false, true} {
			b.Run(fmt.Sprintf("workers%d_preference%v", workers, with), func(b *testing.B) {
				var list []*job.Worker
				for n := range workers {
					list = append(list, newWorker(fmt.Sprint(n)))
				}
				state := job.NewState()
				for n := range workers * 7 / 10 {
					accept(b, state, fmt.Sprintf("%08d", n), kindNames[n%len(kindNames)], tasks(8))
				}
				job.NewPlanner(state, rules(), list, 1).Plan(1)
				b.ResetTimer()
				for n := range b.N {
					b.StopTimer()
					id := fmt.Sprintf("new%d", n)
					accept(b, state, id, kindNames[n%len(kindNames)], tasks(8))
					b.StartTimer()
					planner := job.NewPlanner(state, rules(), list, 2)
					if with {
						planner = planner.WithPreference(model.Preference(state).Cost)
					}
					planner.Plan(2)
					b.StopTimer()
					state.Withdraw(id)
					b.StartTimer()
				}
			})
		}
	}
}

// BenchmarkObserve measures the report of a worker with eight attempts, and the fits that come with
// it at two reports a second of 350 workers.
func BenchmarkObserve(b *testing.B) {
	model := interference.New()
	var attempts []interference.Attempt
	for n := range 8 {
		attempts = append(attempts, interference.Attempt{
			Task:           job.TaskKey{Job: fmt.Sprint(n)},
			Kind:           interference.Kind{Queue: kindNames[n%len(kindNames)]},
			Cores:          2000,
			EstimateMillis: 5000,
		})
	}
	b.ResetTimer()
	for n := range b.N {
		now := int64(n/350)*500 + 1
		for k := range attempts {
			attempts[k].Percent = float64(now/500*7%90) + 5
		}
		model.Observe(job.WorkerKey{ID: fmt.Sprint(n % 350)}, workerCores, attempts, now, now)
		model.Fit(now)
	}
}
