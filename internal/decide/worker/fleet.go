package worker

import (
	"errors"
	"fmt"

	"github.com/citronbay/citronbay/internal/api/upstream"
)

// Machine is one worker or runner. Open tells whether it takes new tasks.
type Machine struct {
	Name     string
	Rack     string
	Service  string
	Capacity upstream.Resources
	Open     bool
}

// slot is a machine with what its tasks use.
type slot struct {
	machine Machine
	used    upstream.Resources
	tasks   int
}

// Fleet keeps the machines of one owner. Create it with NewFleet.
type Fleet[P Policy] struct {
	policy P
	slots  []*slot
	byName map[string]*slot
}

// NewFleet returns an empty fleet that places by the policy.
func NewFleet[P Policy](policy P) *Fleet[P] {
	return &Fleet[P]{
		policy: policy,
		byName: map[string]*slot{},
	}
}

// Put adds the machine, or replaces its description and keeps what it uses.
func (f *Fleet[P]) Put(machine Machine) {
	if known, ok := f.byName[machine.Name]; ok {
		known.machine = machine
		return
	}
	added := &slot{machine: machine}
	f.byName[machine.Name] = added
	f.slots = append(f.slots, added)
}

// Remove takes the machine out of the fleet.
func (f *Fleet[P]) Remove(name string) {
	if _, ok := f.byName[name]; !ok {
		return
	}
	delete(f.byName, name)
	for i, s := range f.slots {
		if s.machine.Name == name {
			f.slots = append(f.slots[:i], f.slots[i+1:]...)
			return
		}
	}
}

// SetOpen sets whether the machine takes new tasks.
func (f *Fleet[P]) SetOpen(name string, open bool) {
	if s, ok := f.byName[name]; ok {
		s.machine.Open = open
	}
}

// Machines returns the machines' descriptions.
func (f *Fleet[P]) Machines() []Machine {
	machines := make([]Machine, 0, len(f.slots))
	for _, s := range f.slots {
		machines = append(machines, s.machine)
	}
	return machines
}

// Use counts the size as used on the machine, whether it fits or not: it
// records what is known to run there.
func (f *Fleet[P]) Use(name string, size upstream.Resources) {
	if s, ok := f.byName[name]; ok {
		s.used = s.used.Plus(size)
		s.tasks++
	}
}

// Free gives back what Use or Place took.
func (f *Fleet[P]) Free(name string, size upstream.Resources) {
	if s, ok := f.byName[name]; ok {
		s.used = s.used.Minus(size)
		s.tasks--
	}
}

// Used returns what the machine's tasks use and how many they are.
func (f *Fleet[P]) Used(name string) (upstream.Resources, int) {
	if s, ok := f.byName[name]; ok {
		return s.used, s.tasks
	}
	return upstream.Resources{}, 0
}

// Capacity returns the sum of the open machines' capacities.
func (f *Fleet[P]) Capacity() upstream.Resources {
	var sum upstream.Resources
	for _, s := range f.slots {
		if s.machine.Open {
			sum = sum.Plus(s.machine.Capacity)
		}
	}
	return sum
}

// Demand is what a task asks of a machine. Avoid, if not nil, names machines
// that are taken only when no other fits; racks with more of Spread's counts
// are taken after those with fewer.
type Demand struct {
	Size    upstream.Resources
	Service string
	Avoid   map[string]bool
	Spread  map[string]int
}

// Place chooses an open machine that fits the demand, counts the size as used
// there, and returns its name; ok is false when none fits.
func (f *Fleet[P]) Place(demand Demand) (name string, ok bool) {
	best := f.choose(demand)
	if best == nil {
		return "", false
	}
	best.used = best.used.Plus(demand.Size)
	best.tasks++
	return best.machine.Name, true
}

// rank orders machines: not avoided first, then by spread, then by score.
type rank struct {
	avoided bool
	spread  int
	score   float64
}

func (r rank) before(o rank) bool {
	if r.avoided != o.avoided {
		return !r.avoided
	}
	if r.spread != o.spread {
		return r.spread < o.spread
	}
	return r.score > o.score
}

func (f *Fleet[P]) choose(demand Demand) *slot {
	var best *slot
	var bestRank rank
	for _, s := range f.slots {
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
		if best == nil || r.before(bestRank) {
			best = s
			bestRank = r
		}
	}
	return best
}

// PlaceAll places as many tasks of the demand as asked, or none; it returns the
// machine of each.
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

// ErrNeverFits reports a demand that the fleet could not meet even if idle.
var ErrNeverFits = errors.New("worker: fits no machine even when idle")

// CheckFeasible returns ErrNeverFits, with the reason, when the machines could
// not hold that many tasks of the demand at once even if idle.
func (f *Fleet[P]) CheckFeasible(demand Demand, tasks int) error {
	room := 0
	for _, s := range f.slots {
		if s.machine.Service == demand.Service {
			room += multiples(demand.Size, s.machine.Capacity)
		}
	}
	if room >= tasks {
		return nil
	}
	return fmt.Errorf("%w: %d tasks at once asked, the machines hold %d", ErrNeverFits, tasks, room)
}

// multiples returns how many times the size goes into the capacity.
func multiples(size, capacity upstream.Resources) int {
	most := int64(1 << 30)
	for _, d := range [][2]int64{
		{size.MilliProcessors, capacity.MilliProcessors},
		{size.MemoryBytes, capacity.MemoryBytes},
		{size.Accelerators, capacity.Accelerators},
		{size.Slots, capacity.Slots},
	} {
		if d[0] > 0 {
			most = min(most, d[1]/d[0])
		}
	}
	return int(most)
}
