package interference

import "github.com/citronbay/citronbay/internal/decide/job"

const (
	// costFactor weighs a core that interference takes against a core that stays free beside the
	// task: to keep tasks apart is preferred to packing them tightly.
	costFactor = 16
	// servingWeight is what a slowed task counts that serves within its target, relative to one
	// whose end is delayed.
	servingWeight = 4
	// maxCost keeps the preference far below the planner's costs of the wrong data rack and of
	// failures.
	maxCost = 1 << 22
)

// Preference is the cost of interference for the placements of one planning pass.
type Preference struct {
	model *Model
	state *job.State
	// slopes[n][k] is the effect of kind k on kind n in a known pair, and zero in others.
	slopes  [maxKinds][maxKinds]float64
	weights [maxKinds]float64 // of what tasks of the kind lose
	// involved is set for the kinds in known pairs.
	involved  [maxKinds]bool
	occupants map[*job.Worker]*occupancy
	slots     map[*job.Step]int
	// contended holds the steps of which a task would have slowed, or been slowed by, others on a
	// worker with room.
	contended map[*job.Step]bool
}

// occupancy is what runs on a worker, with the cost for the last step that was asked about.
type occupancy struct {
	placements int
	cores      [maxKinds]int64 // by kind
	step       *job.Step
	cost       int64
}

// Preference returns the preference for a pass over the state, or nil if no pair is known.
func (m *Model) Preference(state *job.State) *Preference {
	p := &Preference{
		model: m,
		state: state,
	}
	found := false
	for n := range m.kinds {
		s := &m.kinds[n]
		p.weights[n] = 1 + (servingWeight-1)*s.within.mean()
		for k := range m.kinds {
			if m.known(n, k) {
				p.slopes[n][k] = s.slope[k]
				p.involved[n], p.involved[k] = true, true
				found = true
			}
		}
	}
	if !found {
		return nil
	}
	p.occupants = map[*job.Worker]*occupancy{}
	p.slots = map[*job.Step]int{}
	p.contended = map[*job.Step]bool{}
	return p
}

// Cost returns the processors that interference would take if a task of the step ran on the worker,
// from it and from the tasks there, weighted and in thousandths of a core.
func (p *Preference) Cost(step *job.Step, w *job.Worker) int64 {
	slot := p.slotOf(step)
	if slot < 0 {
		return 0
	}
	o := p.occupancyOf(w)
	if o.step != step {
		o.step, o.cost = step, p.cost(slot, step.Spec.Needs.MilliCores, o.cores, w.Capacity.MilliCores)
	}
	if o.cost > 0 {
		p.contended[step] = true
	}
	return o.cost
}

// slotOf returns the slot of the step's kind, or -1 if it is in no known pair.
func (p *Preference) slotOf(step *job.Step) int {
	slot, ok := p.slots[step]
	if !ok {
		slot, ok = p.model.slots[KindOf(step)]
		if !ok || !p.involved[slot] {
			slot = -1
		}
		p.slots[step] = slot
	}
	return slot
}

// occupancyOf returns what runs on the worker. The pass only adds placements, so their number tells
// whether it has changed.
func (p *Preference) occupancyOf(w *job.Worker) *occupancy {
	placements := p.state.Placements(w.Key())
	o := p.occupants[w]
	if o != nil && o.placements == len(placements) {
		return o
	}
	o = &occupancy{placements: len(placements)}
	p.occupants[w] = o
	for key, placement := range placements {
		if j := p.state.Job(key.Job); j != nil {
			if slot := p.slotOf(j.Steps[key.Step]); slot >= 0 {
				o.cores[slot] += placement.Needs.MilliCores
			}
		}
	}
	return o
}

func (p *Preference) cost(slot int, needs int64, occupants [maxKinds]int64, capacity int64) int64 {
	if capacity <= 0 {
		return 0
	}
	own := float64(needs) / float64(capacity)
	taken := 0.0
	beside := 0.0 // sum of slopes times shares
	for k, cores := range occupants {
		if cores == 0 {
			continue
		}
		beside += p.slopes[slot][k] * float64(cores) / float64(capacity)
		taken += p.weights[k] * float64(cores) * loss(p.slopes[k][slot], own)
	}
	taken += p.weights[slot] * float64(needs) * loss(beside, 1)
	return min(maxCost, int64(costFactor*taken))
}

// Separated returns how many of the placements that the pass has made were of steps whose tasks
// interfere with others on some worker with room: those without interference where they are now,
// and those that found no better worker.
func (p *Preference) Separated(records []job.Record) (apart, together int) {
	if len(p.contended) == 0 {
		return 0, 0
	}
	byKey := map[job.WorkerKey]*job.Worker{}
	for w := range p.occupants {
		byKey[w.Key()] = w
	}
	for _, r := range records {
		j := p.state.Job(r.Job)
		if j == nil || !p.contended[j.Steps[r.Step]] {
			continue
		}
		step := j.Steps[r.Step]
		w := byKey[job.WorkerKey{
			ID:          r.Worker,
			Incarnation: r.Incarnation,
		}]
		if w == nil {
			continue
		}
		slot := p.slotOf(step)
		occupants := p.occupancyOf(w).cores
		occupants[slot] -= step.Spec.Needs.MilliCores
		if p.cost(slot, step.Spec.Needs.MilliCores, occupants, w.Capacity.MilliCores) > 0 {
			together++
		} else {
			apart++
		}
	}
	return apart, together
}
