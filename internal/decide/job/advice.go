package job

import (
	"cmp"
	"slices"
)

const (
	// maxQueryWorkers is the most workers that one call may name, from the policy
	// service's protocol.
	maxQueryWorkers = 100
	// minQueryWorkers is the least number of workers in a first call, in which at least
	// one allowed worker is likely when a tenth is allowed.
	minQueryWorkers = 16
	// queryMarginMillis is added to the expected time of a call before its
	// reservation lapses: two hops between regions and a wait at the service.
	queryMarginMillis = 600
	// maxExaminedSteps bounds the steps that one pass looks at for a question, so that
	// a long backlog does not cost more time than it is worth.
	maxExaminedSteps = 64
	// prefetchLeadMillis is how long before the expected end of a step the policy is
	// asked about the next one.
	prefetchLeadMillis = 700
)

// Ticket lets tasks of a step start on one life of a worker until it expires.
type Ticket struct {
	Value         string
	ExpiresMillis int64
}

// Advice is what the policy service has said about a step.
type Advice struct {
	allowed map[*Worker]Ticket
	// denied are workers that were asked about and are not allowed.
	denied map[*Worker]bool
	// validUntil is the latest end of any ticket.
	validUntil    int64
	queried       bool
	queryInFlight bool
	// reserved holds room for a gang while its tickets are renewed.
	reserved      map[*Worker]int
	reservedUntil int64
}

// Question is a call to the policy service that should be made now.
type Question struct {
	Step    *Step
	Workers []*Worker
	// CostMillis is the expected time of the call.
	CostMillis float64
	Priority   int
}

// Answered takes the answer to a question; ok is false when the call failed.
func (q Question) Answered(allowed map[*Worker]Ticket, ok bool) {
	a := &q.Step.Advice
	a.queryInFlight = false
	if !ok {
		a.reserved = nil
		return
	}
	a.queried = true
	if a.allowed == nil {
		a.allowed = map[*Worker]Ticket{}
		a.denied = map[*Worker]bool{}
	}
	for _, w := range q.Workers {
		t, ok := allowed[w]
		if !ok {
			a.denied[w] = true
			delete(a.allowed, w)
			continue
		}
		a.allowed[w] = t
		a.validUntil = max(a.validUntil, t.ExpiresMillis)
	}
}

// DropTicket forgets a ticket that the worker refused.
func (s *Step) DropTicket(w *Worker) {
	if t, ok := s.Advice.allowed[w]; ok {
		t.ExpiresMillis = 0
		s.Advice.allowed[w] = t
	}
}

// Ticket returns the ticket for the worker, or an empty string.
func (s *Step) Ticket(w *Worker) string {
	return s.Advice.allowed[w].Value
}

func (a *Advice) hasValidTicket(w *Worker, at int64) bool {
	return a.allowed[w].ExpiresMillis > at
}

// Questions returns up to limit calls that are worth making now, the most
// urgent first, and marks their steps as being asked about. It answers loads in
// which the policy service is the bottleneck: a first call names only as many
// workers as cost half of its fixed part, and a renewal only those that are
// about to be used. At most longLimit of the calls take over longMillis, so that
// quick ones do not wait behind them.
func (p *Planner) Questions(now int64, limit, slowLimit int, slowMillis float64) []Question {
	var queries []Question
	examined := 0
	consider := func(step *Step, build func(*Step, Queue) (Question, bool)) {
		queue := p.rules.Queues[step.Job.Queue]
		if queue.Policy == nil || step.Advice.queryInFlight {
			return
		}
		slow := queue.Policy.DecisionMillis > slowMillis/2
		if slow && slowLimit <= 0 {
			return
		}
		examined++
		q, ok := build(step, queue)
		if !ok {
			return
		}
		queries = append(queries, q)
		if slow {
			slowLimit--
		}
	}
	for _, step := range p.steps {
		if len(queries) == limit || examined == maxExaminedSteps {
			return queries
		}
		consider(step, func(step *Step, queue Queue) (Question, bool) {
			return p.nextQuery(step, queue, now)
		})
	}
	for _, step := range p.stepsToPrefetch(now) {
		if len(queries) == limit || examined == maxExaminedSteps {
			return queries
		}
		consider(step, p.discoveryQuery)
	}
	return queries
}

func (p *Planner) nextQuery(step *Step, queue Queue, now int64) (Question, bool) {
	if !step.Advice.queried {
		return p.discoveryQuery(step, queue)
	}
	if !step.Spec.Needs.FitsIn(p.largestFree) || !p.withinCap(step, 1) {
		return Question{}, false
	}
	allowed := p.allowedWorkers(step, queue)
	if !step.Spec.Gang {
		renew, valid := p.renewalCandidates(step, allowed, now)
		if valid {
			return Question{}, false
		}
		if len(renew) > 0 {
			return p.newQuery(step, queue, renew), true
		}
		return p.discoveryQuery(step, queue)
	}
	plan := p.packGang(step, allowed)
	switch {
	case plan == nil:
		return p.discoveryQuery(step, queue)
	case !p.withinCap(step, step.Spec.Count) || p.allTicketsValid(step, plan, now):
		return Question{}, false
	}
	return p.gangRenewalQuery(step, queue, plan, now), true
}

// discoveryQuery asks about workers that were never asked about for the step, those
// with most room first.
func (p *Planner) discoveryQuery(step *Step, queue Queue) (Question, bool) {
	limit := minQueryWorkers
	if queue.Policy.WorkerMillis > 0 {
		limit = max(limit, int(queue.Policy.DecisionMillis/queue.Policy.WorkerMillis/2))
	}
	limit = min(limit, maxQueryWorkers)
	var workers []*Worker
	for _, w := range p.workersByFree() {
		if len(workers) == limit {
			break
		}
		_, allowed := step.Advice.allowed[w]
		if allowed || step.Advice.denied[w] || !p.eligible(step, queue, w) {
			continue
		}
		if step.Advice.queried && !step.Spec.Needs.FitsIn(w.free) {
			continue
		}
		workers = append(workers, w)
	}
	if len(workers) == 0 {
		return Question{}, false
	}
	return p.newQuery(step, queue, workers), true
}

// workersByFree sorts the workers once a pass, since many steps may ask in it.
func (p *Planner) workersByFree() []*Worker {
	if p.byFree == nil {
		p.byFree = slices.Clone(p.workers)
		slices.SortStableFunc(p.byFree, func(a, b *Worker) int {
			return cmp.Compare(b.free.MilliCores, a.free.MilliCores)
		})
	}
	return p.byFree
}

// renewalCandidates returns workers with room whose tickets have expired, or true when a
// worker with room has a valid one.
func (p *Planner) renewalCandidates(step *Step, allowed []*Worker, now int64) ([]*Worker, bool) {
	const spareWorkers = 2
	waiting := step.Waiting()
	var expired []*Worker
	for _, w := range allowed {
		if !step.Spec.Needs.FitsIn(w.free) {
			continue
		}
		if step.Advice.hasValidTicket(w, p.requiredExpiry(now)) {
			return nil, true
		}
		if len(expired) < waiting+spareWorkers {
			expired = append(expired, w)
		}
	}
	return expired, false
}

func (p *Planner) allTicketsValid(step *Step, plan map[*Worker]int, now int64) bool {
	for w := range plan {
		if !step.Advice.hasValidTicket(w, p.requiredExpiry(now)) {
			return false
		}
	}
	return true
}

func (p *Planner) gangRenewalQuery(step *Step, queue Queue, plan map[*Worker]int, now int64) Question {
	workers := make([]*Worker, 0, len(plan))
	for w, n := range plan {
		workers = append(workers, w)
		w.free = w.free.Minus(step.Spec.Needs.Times(int64(n - step.Advice.reserved[w])))
	}
	step.Advice.reserved = plan
	slices.SortFunc(workers, func(a, b *Worker) int {
		return cmp.Compare(a.ID, b.ID)
	})
	q := p.newQuery(step, queue, workers)
	step.Advice.reservedUntil = now + int64(q.CostMillis) + queryMarginMillis
	return q
}

func (p *Planner) newQuery(step *Step, queue Queue, workers []*Worker) Question {
	step.Advice.queryInFlight = true
	return Question{
		Step:       step,
		Workers:    workers,
		CostMillis: queue.Policy.DecisionMillis + queue.Policy.WorkerMillis*float64(len(workers)),
	}
}
