package worker

import (
	"errors"
	"fmt"

	"github.com/citronbay/citronbay/internal/api/upstream"
)

// Machine describes a worker or a runner.
type Machine struct {
	Name string
	Rack string
	// Service is the service that a runner serves; empty for a worker.
	Service  string
	Capacity upstream.Resources
	// Open is whether the machine takes new tasks.
	Open bool
}

// machineState is a machine with the number of its tasks and the sum of their
// sizes.
type machineState struct {
	machine Machine
	used    upstream.Resources
	tasks   int
}

// Fleet holds the machines of one owner. Use NewFleet to create one.
type Fleet[P Policy] struct {
	policy   P
	machines []*machineState
	byName   map[string]*machineState
}

// NewFleet returns an empty fleet that places tasks by the policy.
func NewFleet[P Policy](policy P) *Fleet[P] {
	return &Fleet[P]{
		policy: policy,
		byName: map[string]*machineState{},
	}
}

// Put adds the machine. If a machine of that name exists, its description is
// replaced and its usage is kept.
func (f *Fleet[P]) Put(machine Machine) {
	if known, ok := f.byName[machine.Name]; ok {
		known.machine = machine
		return
	}
	added := &machineState{machine: machine}
	f.byName[machine.Name] = added
	f.machines = append(f.machines, added)
}

// Remove removes the machine from the fleet, if it is there.
func (f *Fleet[P]) Remove(name string) {
	if _, ok := f.byName[name]; !ok {
		return
	}
	delete(f.byName, name)
	for i, s := range f.machines {
		if s.machine.Name == name {
			f.machines = append(f.machines[:i], f.machines[i+1:]...)
			return
		}
	}
}

// SetOpen sets whether the machine takes new tasks. An unknown machine is ignored.
func (f *Fleet[P]) SetOpen(name string, open bool) {
	if s, ok := f.byName[name]; ok {
		s.machine.Open = open
	}
}

// Machines returns the descriptions of all machines, in the order in which they
// were added.
func (f *Fleet[P]) Machines() []Machine {
	machines := make([]Machine, 0, len(f.machines))
	for _, s := range f.machines {
		machines = append(machines, s.machine)
	}
	return machines
}

// Use adds a task of the size to the machine's usage, even if the task does not fit,
// since it already runs there. An unknown machine is ignored.
func (f *Fleet[P]) Use(name string, size upstream.Resources) {
	if s, ok := f.byName[name]; ok {
		s.used = s.used.Plus(size)
		s.tasks++
	}
}

// Free removes a task that Use or Place added to the machine's usage. An unknown
// machine is ignored.
func (f *Fleet[P]) Free(name string, size upstream.Resources) {
	if s, ok := f.byName[name]; ok {
		s.used = s.used.Minus(size)
		s.tasks--
	}
}

// Used returns the sum of the sizes of the machine's tasks and the number of the
// tasks; both are zero for an unknown machine.
func (f *Fleet[P]) Used(name string) (upstream.Resources, int) {
	if s, ok := f.byName[name]; ok {
		return s.used, s.tasks
	}
	return upstream.Resources{}, 0
}

// Capacity returns the sum of the open machines' capacities.
func (f *Fleet[P]) Capacity() upstream.Resources {
	var sum upstream.Resources
	for _, s := range f.machines {
		if s.machine.Open {
			sum = sum.Plus(s.machine.Capacity)
		}
	}
	return sum
}

// Demand is what a task requires of a machine and where it prefers to run.
type Demand struct {
	Size upstream.Resources
	// Service must equal Machine.Service.
	Service string
	// Avoid names machines that are chosen only if no other fits.
	Avoid map[string]bool
	// Spread is the number of tasks of the same job on each rack; racks with fewer are
	// preferred.
	Spread map[string]int
}

// Place chooses an open machine that fits the demand, adds the task to its usage
// and returns its name; ok is false if none fits.
func (f *Fleet[P]) Place(demand Demand) (name string, ok bool) {
	best := f.choose(demand)
	if best == nil {
		return "", false
	}
	best.used = best.used.Plus(demand.Size)
	best.tasks++
	return best.machine.Name, true
}

// rank orders machines: those not in Demand.Avoid first, then by ascending number
// in Demand.Spread, then by descending score.
type rank struct {
	avoided bool
	spread  int
	score   float64
}

func (r rank) betterThan(other rank) bool {
	if r.avoided != other.avoided {
		return !r.avoided
	}
	if r.spread != other.spread {
		return r.spread < other.spread
	}
	return r.score > other.score
}

func (f *Fleet[P]) choose(demand Demand) *machineState {
	var best *machineState
	var bestRank rank
	for _, s := range f.machines {
		if !s.machine.Open || s.machine.Service != demand.Service {
			continue
		}
		free := s.machine.Capacity.Minus(s.used)
		if !demand.Size.Fits(free) {
			continue
		}
		r := rank{
			avoided: demand.Avoid[s.machine.Name],
			spread:  demand.Spread[s.machine.Rack],
			score:   f.policy.Score(demand.Size, free, s.machine.Capacity),
		}
		if best == nil || r.betterThan(bestRank) {
			best = s
			bestRank = r
		}
	}
	return best
}

// PlaceAll places the given number of tasks of the demand, or none if they do not
// all fit. It returns the machine name of each task.
func (f *Fleet[P]) PlaceAll(demand Demand, tasks int) (names []string, ok bool) {
	names = make([]string, 0, tasks)
	for range tasks {
		name, ok := f.Place(demand)
		if !ok {
			for _, placed := range names {
				f.Free(placed, demand.Size)
			}
			return nil, false
		}
		names = append(names, name)
	}
	return names, true
}

// ErrNeverFits reports that the machines could not run the requested tasks at once
// even when idle.
var ErrNeverFits = errors.New("worker: the machines cannot run the tasks at once even when idle")

// CheckFeasible returns an error that wraps ErrNeverFits if the machines could not
// run that many tasks of the demand at once even when idle. Machines that are not
// open count too; Avoid and Spread are ignored.
func (f *Fleet[P]) CheckFeasible(demand Demand, tasks int) error {
	total := 0
	for _, s := range f.machines {
		if s.machine.Service == demand.Service {
			total += fitCount(demand.Size, s.machine.Capacity)
		}
	}
	if total >= tasks {
		return nil
	}
	return fmt.Errorf("%w: %d tasks at once requested, the machines have room for %d", ErrNeverFits, tasks, total)
}

// fitCount returns how many tasks of the size fit into the capacity, at most 1<<30.
func fitCount(size, capacity upstream.Resources) int {
	count := int64(1 << 30)
	for _, amounts := range [][2]int64{
		{size.MilliProcessors, capacity.MilliProcessors},
		{size.MemoryBytes, capacity.MemoryBytes},
		{size.Accelerators, capacity.Accelerators},
		{size.Slots, capacity.Slots},
	} {
		if amounts[0] > 0 {
			count = min(count, amounts[1]/amounts[0])
		}
	}
	return int(count)
}
