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

// naiveFleet keeps each machine's tasks and adds them up each time.
type naiveFleet struct {
	machines []Machine
	tasks    map[string][]upstream.Resources
}

func (n *naiveFleet) free(m Machine) upstream.Resources {
	free := m.Capacity
	for _, size := range n.tasks[m.Name] {
		free = free.Minus(size)
	}
	return free
}

func (n *naiveFleet) place(size upstream.Resources) string {
	best, bestScore := "", 0.0
	for _, m := range n.machines {
		free := n.free(m)
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
		n.tasks[best] = append(n.tasks[best], size)
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

func TestPlaceFollowsTheNaiveVersion(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		fleet := NewFleet(BestFit{})
		naive := &naiveFleet{tasks: map[string][]upstream.Resources{}}
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
			naive.machines = append(naive.machines, m)
		}
		for range rapid.IntRange(1, 40).Draw(r, "operations") {
			size := drawSize(r)
			name, ok := fleet.Place(Demand{Size: size})
			assert.Equal(r, name, naive.place(size))
			assert.Equal(r, ok, name != "")
			for _, m := range naive.machines {
				used, tasks := fleet.Used(m.Name)
				assert.Equal(r, tasks, len(naive.tasks[m.Name]))
				assert.Equal(r, m.Capacity.Minus(used), naive.free(m))
				assert.Assert(r, used.Fits(m.Capacity), "%s is overfilled", m.Name)
			}
			if victim := fmt.Sprint(rapid.IntRange(0, 6).Draw(r, "victim")); len(naive.tasks[victim]) > 0 {
				fleet.Free(victim, naive.tasks[victim][0])
				naive.tasks[victim] = naive.tasks[victim][1:]
			}
		}
	})
}

func TestPlaceAllIsAllOrNone(t *testing.T) {
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

func TestDemandsAreMet(t *testing.T) {
	two := func() *Fleet[BestFit] {
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
		"first of equals": {
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
			got, ok := two().Place(test.demand)
			assert.Equal(t, ok, !test.none)
			assert.Equal(t, got, test.want)
		})
	}
}

// mixed returns a fleet that is filled to about two thirds.
func mixed[P Policy](policy P, machines int) *Fleet[P] {
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
			fleet := mixed(BestFit{}, machines)
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

// pack fills a fleet with tasks of a seeded mix until one does not fit, and
// returns the part of the processors and memory that is used, the larger.
func pack[P Policy](policy P, machines int, seed uint64) float64 {
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
	return max(part(used.MilliProcessors, int64(machines)*64000), part(used.MemoryBytes, int64(machines)*(256<<30)))
}

func BenchmarkPacking(b *testing.B) {
	for _, machines := range []int{50, 500} {
		for name, run := range map[string]func(seed uint64) float64{
			"bestFit":    func(seed uint64) float64 { return pack(BestFit{}, machines, seed) },
			"firstFit":   func(seed uint64) float64 { return pack(FirstFit{}, machines, seed) },
			"dotProduct": func(seed uint64) float64 { return pack(DotProduct{}, machines, seed) },
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
