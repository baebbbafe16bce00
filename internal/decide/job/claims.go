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

// claimDeduction deducts the claims of the calls in flight from the workers' free capacity, as far as
// they go before the step that is examined: a call about a step that can wait must not hide the
// capacity from one that cannot.
type claimDeduction struct {
	planner *Planner
	// steps are those with claims that are not deducted yet, in the order of their ranks.
	steps []*Step
}

func (p *Planner) newClaimDeduction() *claimDeduction {
	steps := slices.SortedFunc(maps.Keys(p.state.claims), func(a, b *Step) int {
		return cmp.Compare(a.rank, b.rank)
	})
	return &claimDeduction{
		planner: p,
		steps:   steps,
	}
}

// deductUpTo deducts the claims of steps of the rank and of those that go before.
func (d *claimDeduction) deductUpTo(rank int) {
	p, deducted := d.planner, false
	for ; len(d.steps) > 0 && d.steps[0].rank <= rank; d.steps = d.steps[1:] {
		for _, c := range p.state.claims[d.steps[0]] {
			c.worker.free = c.worker.free.Minus(c.amount)
		}
		deducted = true
	}
	if !deducted {
		return
	}
	p.largestFree = Resources{}
	for _, w := range p.workers {
		if w.Usable {
			p.largestFree = p.largestFree.componentMax(w.free)
		}
	}
}

// expectedTasks returns how many tasks of the step fit on the worker now, times the chance that the
// policy service allows it.
func (p *Planner) expectedTasks(step *Step, w *Worker, share float64) float64 {
	if _, allowed := step.Advice.allowed[w]; allowed {
		share = 1
	}
	return share * float64(step.Spec.Needs.fitCount(w.free, min(step.Waiting(), p.remainingPerWorker(step, w))))
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
	if total == 0 || step.Spec.Gang && total < waiting {
		return
	}
	used := min(1, waiting/total)
	list := make([]claim, len(workers))
	for n, w := range workers {
		list[n] = claim{
			worker: w,
			amount: step.Spec.Needs.scaled(used * expected[n]),
		}
		w.free = w.free.Minus(list[n].amount)
	}
	p.state.claims[step] = list
}
