package worker

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/citronbay/citronbay/internal/api/upstream"
)

// fleetModel is a reference model of Fleet: it keeps each machine's tasks and adds
// up their sizes on every call.
type fleetModel struct {
	machines []Machine
	tasks    map[string][]upstream.Resources
}

func (f *fleetModel) free(m Machine) upstream.Resources {
	free := m.Capacity
	for _, size := range f.tasks[m.Name] {
		free = free.Minus(size)
	}
	return free
}

func (f *fleetModel) place(size upstream.Resources) string {
	best, bestScore := "", 0.0
	for _, m := range f.machines {
		free := f.free(m)
		if !m.Open || !size.Fits(free) {
			continue
		}
		score := BestFit{}.Score(size, free, m.Capacity)
		if best == "" || score > bestScore {
			best = m.Name
			bestScore = score
		}
	}
	if best != "" {
		f.tasks[best] = append(f.tasks[best], size)
	}
	return best
}

func drawSize(r *rapid.T) upstream.Resources {
	return upstream.Resources{
		MilliProcessors: rapid.Int64Range(1, 4000).Draw(r, "processors"),
		MemoryBytes:     rapid.Int64Range(0, 4000).Draw(r, "memory"),
		Accelerators:    rapid.Int64Range(0, 1).Draw(r, "accelerators"),
	}
}

func TestPlaceMatchesModel(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		fleet := NewFleet(BestFit{})
		model := &fleetModel{tasks: map[string][]upstream.Resources{}}
		for i := range rapid.IntRange(0, 6).Draw(r, "machines") {
			m := Machine{
				Name: fmt.Sprint(i),
				Capacity: upstream.Resources{
					MilliProcessors: rapid.Int64Range(0, 8000).Draw(r, "capacity"),
					MemoryBytes:     8000,
					Accelerators:    1,
				},
				Open: rapid.Bool().Draw(r, "open"),
			}
			fleet.Put(m)
			model.machines = append(model.machines, m)
		}
		for range rapid.IntRange(1, 40).Draw(r, "operations") {
			size := drawSize(r)
			name, ok := fleet.Place(Demand{Size: size})
			assert.Equal(r, name, model.place(size))
			assert.Equal(r, ok, name != "")
			for _, m := range model.machines {
				used, tasks := fleet.Used(m.Name)
				assert.Equal(r, tasks, len(model.tasks[m.Name]))
				assert.Equal(r, m.Capacity.Minus(used), model.free(m))
				assert.Assert(r, used.Fits(m.Capacity), "%s is overfilled", m.Name)
			}
			if freedMachine := fmt.Sprint(rapid.IntRange(0, 6).Draw(r, "victim")); len(model.tasks[freedMachine]) > 0 {
				fleet.Free(freedMachine, model.tasks[freedMachine][0])
				model.tasks[freedMachine] = model.tasks[freedMachine][1:]
			}
		}
	})
}

func TestPlaceAllPlacesAllOrNone(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		fleet := NewFleet(BestFit{})
		for i := range 3 {
			fleet.Put(Machine{
				Name:     fmt.Sprint(i),
				Capacity: upstream.Resources{MilliProcessors: 4000},
				Open:     true,
			})
		}
		size := upstream.Resources{MilliProcessors: rapid.Int64Range(1, 4000).Draw(r, "size")}
		tasks := rapid.IntRange(1, 20).Draw(r, "tasks")
		demand := Demand{Size: size}
		names, ok := fleet.PlaceAll(demand, tasks)
		feasible := fleet.CheckFeasible(demand, tasks)
		assert.Equal(r, ok, feasible == nil)
		placed := 0
		for i := range 3 {
			_, n := fleet.Used(fmt.Sprint(i))
			placed += n
		}
		assert.Equal(r, placed, len(names))
		if !ok {
			assert.Equal(r, placed, 0)
			assert.Assert(r, errors.Is(feasible, ErrNeverFits))
		}
	})
}

func TestPlaceHonorsDemand(t *testing.T) {
	newFleet := func() *Fleet[BestFit] {
		fleet := NewFleet(BestFit{})
		for i := range 2 {
			fleet.Put(Machine{
				Name:     fmt.Sprint(i),
				Rack:     fmt.Sprint("rack-", i),
				Capacity: upstream.Resources{MilliProcessors: 1000},
				Open:     true,
			})
		}
		return fleet
	}
	size := upstream.Resources{MilliProcessors: 100}
	for name, test := range map[string]struct {
		demand Demand
		want   string
		none   bool
	}{
		"first of equal scores": {
			demand: Demand{Size: size},
			want:   "0",
		},
		"avoided": {
			demand: Demand{
				Size:  size,
				Avoid: map[string]bool{"0": true},
			},
			want: "1",
		},
		"spread": {
			demand: Demand{
				Size:   size,
				Spread: map[string]int{"rack-0": 2, "rack-1": 1},
			},
			want: "1",
		},
		"another service": {
			demand: Demand{
				Size:    size,
				Service: "lookup",
			},
			none: true,
		},
	} {
		t.Run(name, func(t *testing.T) {
			got, ok := newFleet().Place(test.demand)
			assert.Equal(t, ok, !test.none)
			assert.Equal(t, got, test.want)
		})
	}
}

// partlyUsedFleet returns a fleet of which a random fraction of each machine's
// processors and of its memory is used; the larger of both is two thirds on average.
func partlyUsedFleet[P Policy](policy P, machines int) *Fleet[P] {
	random := rand.New(rand.NewPCG(3, 4))
	fleet := NewFleet(policy)
	for i := range machines {
		name := fmt.Sprint(i)
		fleet.Put(Machine{
			Name: name,
			Capacity: upstream.Resources{
				MilliProcessors: 64000,
				MemoryBytes:     256 << 30,
				Accelerators:    4,
			},
			Open: true,
		})
		fleet.Use(name, upstream.Resources{
			MilliProcessors: random.Int64N(64000),
			MemoryBytes:     random.Int64N(256 << 30),
		})
	}
	return fleet
}

func BenchmarkPlace(b *testing.B) {
	for _, machines := range []int{50, 225, 500, 2700} {
		b.Run(fmt.Sprintf("machines=%d", machines), func(b *testing.B) {
			fleet := partlyUsedFleet(BestFit{}, machines)
			demand := Demand{Size: upstream.Resources{
				MilliProcessors: 500,
				MemoryBytes:     1 << 30,
			}}
			b.ReportAllocs()
			for b.Loop() {
				if name, ok := fleet.Place(demand); ok {
					fleet.Free(name, demand.Size)
				}
			}
		})
	}
}

// fillFleet places random tasks until 50 of them did not fit, and returns the used
// fraction of the fleet's processors or memory, whichever is larger.
func fillFleet[P Policy](policy P, machines int, seed uint64) float64 {
	random := rand.New(rand.NewPCG(seed, 1))
	fleet := NewFleet(policy)
	for i := range machines {
		fleet.Put(Machine{
			Name: fmt.Sprint(i),
			Capacity: upstream.Resources{
				MilliProcessors: 64000,
				MemoryBytes:     256 << 30,
				Accelerators:    2,
			},
			Open: true,
		})
	}
	var used upstream.Resources
	for misses := 0; misses < 50; {
		size := upstream.Resources{
			MilliProcessors: 250 << random.Int64N(7),
			MemoryBytes:     (1 << 30) << random.Int64N(6),
		}
		if random.IntN(20) == 0 {
			size.Accelerators = 1
		}
		if _, ok := fleet.Place(Demand{Size: size}); !ok {
			misses++
			continue
		}
		used = used.Plus(size)
	}
	return max(fraction(used.MilliProcessors, int64(machines)*64000), fraction(used.MemoryBytes, int64(machines)*(256<<30)))
}

func BenchmarkPacking(b *testing.B) {
	for _, machines := range []int{50, 500} {
		for name, run := range map[string]func(seed uint64) float64{
			"bestFit":    func(seed uint64) float64 { return fillFleet(BestFit{}, machines, seed) },
			"firstFit":   func(seed uint64) float64 { return fillFleet(FirstFit{}, machines, seed) },
			"dotProduct": func(seed uint64) float64 { return fillFleet(DotProduct{}, machines, seed) },
		} {
			b.Run(fmt.Sprintf("%s/machines=%d", name, machines), func(b *testing.B) {
				sum := 0.0
				n := 0
				for b.Loop() {
					sum += run(uint64(n % 20))
					n++
				}
				b.ReportMetric(100*sum/float64(n), "%-used")
			})
		}
	}
}
