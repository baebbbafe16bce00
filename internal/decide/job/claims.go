package job

import (
	"cmp"
	"maps"
	"slices"
)

// claims holds what calls to the policy service that are in flight are expected to let start, so that
// no other call asks about the same capacity. It answers a full fleet, in which all steps that wait
// would ask about each worker that becomes free. Placements do not depend on it. It is not part of the
// records.
type claims map[*Step][]claim

// claim is the capacity that a step is expected to use on a worker.
type claim struct {
	worker *Worker
	amount Resources
}

// claimedBefore adds up the claims of the calls in flight, as far as they go before the step that is
// examined: a call about a step that can wait must not hide capacity from one that cannot.
type claimedBefore struct {
	planner *Planner
	// steps are those with claims that are not added yet, in the order of their ranks.
	steps []*Step
}

func (p *Planner) newClaimedBefore() *claimedBefore {
	for _, w := range p.workers {
		w.claimed = Resources{}
	}
	c := &claimedBefore{
		planner: p,
		steps: slices.SortedFunc(maps.Keys(p.state.claims), func(a, b *Step) int {
			return cmp.Compare(a.rank, b.rank)
		}),
	}
	p.computeLargestUnclaimed()
	return c
}

// addUpTo adds the claims of steps of the rank and of those that go before.
func (c *claimedBefore) addUpTo(rank int) {
	added := false
	for ; len(c.steps) > 0 && c.steps[0].rank <= rank; c.steps = c.steps[1:] {
		for _, claim := range c.planner.state.claims[c.steps[0]] {
			claim.worker.claimed = claim.worker.claimed.Plus(claim.amount)
		}
		added = true
	}
	if added {
		c.planner.computeLargestUnclaimed()
	}
}

// computeLargestUnclaimed sets largestUnclaimed.
func (p *Planner) computeLargestUnclaimed() {
	p.largestUnclaimed = Resources{}
	for _, w := range p.workers {
		if w.Usable {
			p.largestUnclaimed = p.largestUnclaimed.componentMax(w.free.Minus(w.claimed))
		}
	}
}

// unclaimed returns the free capacity of the worker that no call in flight will probably use. Gangs
// ask without regard to it, since they may have to wait until workers are drained.
func (s *Step) unclaimed(w *Worker) Resources {
	if s.Spec.Gang {
		return w.free
	}
	return w.free.Minus(w.claimed)
}

// hasRoom reports whether a task of the step may fit on any worker.
func (p *Planner) hasRoom(step *Step) bool {
	if step.Spec.Gang {
		return step.Spec.Needs.FitsIn(p.largestFree)
	}
	return step.Spec.Needs.FitsIn(p.largestUnclaimed)
}

// expectedTasks returns how many tasks of the step fit on the worker now, times the chance that the
// policy service allows it.
func (p *Planner) expectedTasks(step *Step, w *Worker, share float64) float64 {
	if _, allowed := step.Advice.allowed[w]; allowed {
		share = 1
	}
	return share * float64(step.Spec.Needs.fitCount(step.unclaimed(w), min(step.Waiting(), p.remainingPerWorker(step, w))))
}

// claim claims the capacity that the step is expected to use on the workers, if all answers come as
// often as in the share. A gang that is not expected to fit claims none.
func (p *Planner) claim(step *Step, workers []*Worker, share float64) {
	expected := make([]float64, len(workers))
	total := 0.0
	for n, w := range workers {
		expected[n] = p.expectedTasks(step, w, share)
		total += expected[n]
	}
	waiting := float64(step.Waiting())
	if total == 0 || step.Spec.Gang {
		return
	}
	used := min(1, waiting/total)
	list := make([]claim, len(workers))
	for n, w := range workers {
		list[n] = claim{
			worker: w,
			amount: step.Spec.Needs.scaled(used * expected[n]),
		}
		w.claimed = w.claimed.Plus(list[n].amount)
	}
	p.state.claims[step] = list
}
