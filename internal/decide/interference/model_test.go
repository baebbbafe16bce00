package interference_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/citronbay/citronbay/internal/decide/interference"
	"github.com/citronbay/citronbay/internal/decide/job"
)

// pair is a kind and one beside it, by queue.
type pair struct{ slowed, beside string }

// fleet is a synthetic fleet: tasks of some kinds start at random on workers with room, and report
// about four times a second.
type fleet struct {
	random  *rand.Rand
	model   *interference.Model
	workers []*machine
	// slope is the known effect on the log speed of a neighbour with the whole worker.
	slope map[pair]float64
	// noise is the standard deviation of the log of each report's speed.
	noise float64
	// estimateError is the standard deviation of the log of a task's estimate.
	estimateError float64
	now           int64
	started       int
}

type machine struct {
	key   job.WorkerKey
	speed float64
	tasks []*task
}

type task struct {
	attempt interference.Attempt
	work    float64 // run time alone in milliseconds
	done    float64
}

// kinds have a share of a worker of 16 cores and a run time.
var kinds = map[string]struct {
	cores int64
	run   float64
}{
	"batch":   {cores: 4000, run: 5000},
	"refresh": {cores: 2000, run: 2700},
	"lookup":  {cores: 2500, run: 800},
	"merge":   {cores: 3000, run: 4000},
	"serve":   {cores: 1500, run: math.Inf(1)},
}

var kindNames = []string{"batch", "lookup", "merge", "refresh", "serve"}

const workerCores = 16000

func newFleet(seed uint64, workers int) *fleet {
	f := &fleet{
		random:        rand.New(rand.NewPCG(seed, 1)),
		model:         interference.New(),
		slope:         map[pair]float64{},
		noise:         0.15,
		estimateError: 0.5,
	}
	for n := range workers {
		f.workers = append(f.workers, &machine{
			key:   job.WorkerKey{ID: fmt.Sprint(n)},
			speed: 1,
		})
	}
	return f
}

// run lets the fleet work for a time in milliseconds; each step calls change, unless it is nil.
func (f *fleet) run(millis int64, change func(now int64)) {
	const step = 50
	for end := f.now + millis; f.now < end; f.now += step {
		if change != nil {
			change(f.now)
		}
		for _, m := range f.workers {
			f.work(m, step)
			if f.random.IntN(5) == 0 {
				f.report(m)
			}
		}
		f.model.Fit(f.now)
	}
}

func (f *fleet) work(m *machine, step float64) {
	used := int64(0)
	for _, t := range m.tasks {
		used += t.attempt.Cores
	}
	if name := kindNames[f.random.IntN(len(kindNames))]; f.random.IntN(3) == 0 && used+kinds[name].cores <= workerCores {
		f.started++
		work := kinds[name].run * math.Exp(f.random.NormFloat64()*0.5)
		a := interference.Attempt{
			Task:          job.TaskKey{Job: fmt.Sprint(f.started)},
			Kind:          interference.Kind{Queue: name},
			Cores:         kinds[name].cores,
			StartedMillis: f.now,
		}
		if name == "serve" {
			work, a.Percent, a.TailTargetMillis = 8000, 100, 200
		} else {
			a.EstimateMillis = int64(work * math.Exp(f.random.NormFloat64()*f.estimateError))
		}
		m.tasks = append(m.tasks, &task{attempt: a, work: work})
	}
	for _, t := range m.tasks {
		if speed := f.speed(m, t); t.attempt.TailTargetMillis > 0 {
			t.done += step
			t.attempt.TailMillis = 100 / speed
		} else {
			t.done += step * speed
			t.attempt.Percent = math.Floor(100 * t.done / t.work)
		}
	}
	m.tasks = slices.DeleteFunc(m.tasks, func(t *task) bool {
		return t.done >= t.work
	})
}

func (f *fleet) speed(m *machine, t *task) float64 {
	log := math.Log(m.speed) + f.noise*f.random.NormFloat64()*2 // several steps make a report
	for _, other := range m.tasks {
		if other != t {
			log += f.slope[pair{t.attempt.Kind.Queue, other.attempt.Kind.Queue}] * float64(other.attempt.Cores) / workerCores
		}
	}
	return math.Exp(log)
}

func (f *fleet) report(m *machine) {
	var attempts []interference.Attempt
	for _, t := range m.tasks {
		attempts = append(attempts, t.attempt)
	}
	f.model.Observe(m.key, workerCores, attempts, f.now, f.now)
}

func (f *fleet) found() map[pair]float64 {
	pairs := map[pair]float64{}
	for _, p := range f.model.Pairs() {
		pairs[pair{p.Slowed.Queue, p.Beside.Queue}] = p.Slowdown
	}
	return pairs
}

// assertNoOthers checks that the model has found no other pairs than the fleet's.
func (f *fleet) assertNoOthers(t *testing.T) {
	t.Helper()
	for p, slowdown := range f.found() {
		_, ok := f.slope[p]
		assert.Assert(t, ok, "at %d ms: %v: %.3f", f.now, p, slowdown)
	}
}

// TestPairsAreFound checks that the model finds the pairs of kinds that slow each other down, about
// how much, and at no time others.
func TestPairsAreFound(t *testing.T) {
	two := map[pair]float64{
		{"lookup", "batch"}:    -2,
		{"refresh", "refresh"}: -3,
	}
	for name, c := range map[string]struct {
		slope   map[pair]float64
		workers int
		noise   float64
		change  func(f *fleet, now int64)
	}{
		"no pair":   {workers: 60, noise: 0.15},
		"two pairs": {slope: two, workers: 60, noise: 0.15},
		"noise":     {slope: two, workers: 400, noise: 0.3},
		"few workers": {
			slope:   map[pair]float64{{"merge", "batch"}: -4},
			workers: 12,
			noise:   0.15,
		},
		"a task that serves": {
			slope:   map[pair]float64{{"serve", "merge"}: -3, {"merge", "serve"}: -3},
			workers: 60,
			noise:   0.15,
		},
		"slow workers and racks": {
			slope: two, workers: 80, noise: 0.15,
			change: func(f *fleet, now int64) {
				for n, m := range f.workers {
					m.speed = 1
					if rack := n / 8; rack < 2 || (now/3000+int64(rack))%6 == 0 {
						m.speed = 0.2 // two racks throughout, others for some seconds in turn
					}
				}
			},
		},
		"slow workers without a pair": {
			workers: 80, noise: 0.15,
			change: func(f *fleet, now int64) {
				for n, m := range f.workers {
					m.speed = 1
					if n%4 == 0 && now%5000 < 2500 {
						m.speed = 0.15
					}
				}
			},
		},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(3) {
				f := newFleet(seed, c.workers)
				f.noise = c.noise
				if c.slope != nil {
					f.slope = c.slope
				}
				f.run(20_000, func(now int64) {
					f.assertNoOthers(t)
					if c.change != nil {
						c.change(f, now)
					}
				})
				found := f.found()
				assert.Equal(t, len(found), len(f.slope), "seed %d: %v", seed, found)
				ruledOut, undecided := f.model.Undecided()
				assert.Assert(t, len(found)+ruledOut+undecided <= len(kinds)*len(kinds))
				for p, slope := range f.slope {
					want := 1 - math.Exp(slope*float64(kinds[p.beside].cores)/workerCores)
					assert.Assert(t, math.Abs(found[p]-want) < 0.4*want, "seed %d: %v: %.3f, want %.3f", seed, p, found[p], want)
				}
			}
		})
	}
}

// TestPairsChange checks that a pair that no longer slows its tasks is forgotten, and that a new one
// is found, within a few times the decay of the weights.
func TestPairsChange(t *testing.T) {
	f := newFleet(1, 60)
	f.slope = map[pair]float64{{"merge", "batch"}: -3}
	f.run(20_000, nil)
	assert.DeepEqual(t, len(f.found()), 1)
	f.slope = map[pair]float64{{"refresh", "merge"}: -3}
	f.run(25_000, nil)
	assert.Equal(t, len(f.found()), 1)
	f.assertNoOthers(t)
}

// TestMemoryIsBounded checks that more kinds, workers and attempts than the model has room for leave
// it able to learn about frequent ones, and that workers that no longer report are forgotten.
func TestMemoryIsBounded(t *testing.T) {
	f := newFleet(1, 60)
	f.slope = map[pair]float64{{"merge", "batch"}: -4}
	f.run(25_000, func(now int64) {
		f.model.Observe(job.WorkerKey{ID: fmt.Sprint("rare", now)}, workerCores, []interference.Attempt{{
			Task:          job.TaskKey{Job: "rare"},
			Kind:          interference.Kind{Image: fmt.Sprint(now)},
			Cores:         1000,
			StartedMillis: now,
		}}, now, now)
	})
	assert.Equal(t, len(f.found()), 1)
	f.assertNoOthers(t)
	for n := range 2000 {
		f.model.Observe(job.WorkerKey{ID: fmt.Sprint("new", n)}, workerCores, []interference.Attempt{{
			Task: job.TaskKey{Job: "new"},
			Kind: interference.Kind{Queue: "batch"},
		}}, f.now, f.now)
	}
	f.model.Observe(job.WorkerKey{ID: "0"}, workerCores, make([]interference.Attempt, 1000), f.now, f.now)
	kinds, attempts := f.model.Size()
	assert.Assert(t, kinds <= 24 && attempts <= 1024, "%d kinds, %d attempts", kinds, attempts)
	f.now += 10_000
	f.model.Fit(f.now)
	_, attempts = f.model.Size()
	assert.Equal(t, attempts, 0)
}
