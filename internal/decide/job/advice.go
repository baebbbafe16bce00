package job

import (
	"cmp"
	"slices"
)

const (
	// maxAsked is the most workers that one call may name, from the policy
	// service's protocol.
	maxAsked = 100
	// minAsked is the least number of workers in a first call, in which at least
	// one allowed worker is likely when a tenth is allowed.
	minAsked = 16
	// askMarginMillis is added to the expected time of a call before its
	// reservation lapses: two hops between regions and a wait at the service.
	askMarginMillis = 600
	// maxExamined bounds the steps that one pass looks at for a question, so that
	// a long backlog does not cost more time than it is worth.
	maxExamined = 64
	// prefetchMillis is how long before the expected end of a step the policy is
	// asked about the next one.
	prefetchMillis = 700
)

// Ticket lets tasks of a step start on one life of a worker until it expires.
type Ticket struct {
	Value         string
	ExpiresMillis int64
}

// Advice is what the policy service has said about a step.
type Advice struct {
	allowed map[*Worker]Ticket
	// refused are workers that were asked about and are not allowed.
	refused map[*Worker]bool
	// validUntil is the latest end of any ticket.
	validUntil int64
	asked      bool
	asking     bool
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
	a.asking = false
	if !ok {
		a.reserved = nil
		return
	}
	a.asked = true
	if a.allowed == nil {
		a.allowed = map[*Worker]Ticket{}
		a.refused = map[*Worker]bool{}
	}
	for _, w := range q.Workers {
		t, ok := allowed[w]
		if !ok {
			a.refused[w] = true
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

func (a *Advice) valid(w *Worker, now int64) bool {
	return a.allowed[w].ExpiresMillis > now
}

// Questions returns up to limit calls that are worth making now, the most
// urgent first, and marks their steps as being asked about. It answers loads in
// which the policy service is the bottleneck: a first call names only as many
// workers as cost half of its fixed part, and a renewal only those that are
// about to be used. At most longLimit of the calls take over longMillis, so that
// quick ones do not wait behind them.
func (p *Planner) Questions(now int64, limit, longLimit int, longMillis float64) []Question {
	var questions []Question
	examined := 0
	consider := func(step *Step, decide func(*Step, Queue) (Question, bool)) {
		queue := p.rules.Queues[step.Job.Queue]
		if queue.Policy == nil || step.Advice.asking {
			return
		}
		long := queue.Policy.DecisionMillis > longMillis/2
		if long && longLimit <= 0 {
			return
		}
		examined++
		q, ok := decide(step, queue)
		if !ok {
			return
		}
		questions = append(questions, q)
		if long {
			longLimit--
		}
	}
	for _, step := range p.steps {
		if len(questions) == limit || examined == maxExamined {
			return questions
		}
		consider(step, func(step *Step, queue Queue) (Question, bool) {
			return p.question(step, queue, now)
		})
	}
	for _, step := range p.upcoming(now) {
		if len(questions) == limit || examined == maxExamined {
			return questions
		}
		consider(step, p.firstQuestion)
	}
	return questions
}

func (p *Planner) question(step *Step, queue Queue, now int64) (Question, bool) {
	if !step.Advice.asked {
		return p.firstQuestion(step, queue)
	}
	if !step.Spec.Needs.FitsIn(p.most) || !p.withinCap(step, 1) {
		return Question{}, false
	}
	known := p.known(step, queue)
	if !step.Spec.Gang {
		renew, valid := p.renewable(step, known, now)
		if valid {
			return Question{}, false
		}
		if len(renew) > 0 {
			return p.ask(step, queue, renew), true
		}
		return p.firstQuestion(step, queue)
	}
	plan := p.packGang(step, known)
	switch {
	case plan == nil:
		return p.firstQuestion(step, queue)
	case !p.withinCap(step, step.Spec.Count) || p.allValid(step, plan, now):
		return Question{}, false
	}
	return p.renewGang(step, queue, plan, now), true
}

// firstQuestion asks about workers that were never asked about for the step, those
// with most room first.
func (p *Planner) firstQuestion(step *Step, queue Queue) (Question, bool) {
	limit := minAsked
	if queue.Policy.WorkerMillis > 0 {
		limit = max(limit, int(queue.Policy.DecisionMillis/queue.Policy.WorkerMillis/2))
	}
	limit = min(limit, maxAsked)
	var workers []*Worker
	for _, w := range p.workersByRoom() {
		if len(workers) == limit {
			break
		}
		_, allowed := step.Advice.allowed[w]
		if allowed || step.Advice.refused[w] || !p.runsOn(step, queue, w) {
			continue
		}
		if step.Advice.asked && !step.Spec.Needs.FitsIn(w.free) {
			continue
		}
		workers = append(workers, w)
	}
	if len(workers) == 0 {
		return Question{}, false
	}
	return p.ask(step, queue, workers), true
}

// workersByRoom sorts the workers once a pass, since many steps may ask in it.
func (p *Planner) workersByRoom() []*Worker {
	if p.byRoom == nil {
		p.byRoom = slices.Clone(p.workers)
		slices.SortStableFunc(p.byRoom, func(a, b *Worker) int {
			return cmp.Compare(b.free.MilliCores, a.free.MilliCores)
		})
	}
	return p.byRoom
}

// renewable returns workers with room whose tickets have expired, or true when a
// worker with room has a valid one.
func (p *Planner) renewable(step *Step, known []*Worker, now int64) ([]*Worker, bool) {
	const spare = 2
	want := step.Waiting()
	var found []*Worker
	for _, w := range known {
		if !step.Spec.Needs.FitsIn(w.free) {
			continue
		}
		if step.Advice.valid(w, p.startBy(now)) {
			return nil, true
		}
		if len(found) < want+spare {
			found = append(found, w)
		}
	}
	return found, false
}

func (p *Planner) allValid(step *Step, plan map[*Worker]int, now int64) bool {
	for w := range plan {
		if !step.Advice.valid(w, p.startBy(now)) {
			return false
		}
	}
	return true
}

func (p *Planner) renewGang(step *Step, queue Queue, plan map[*Worker]int, now int64) Question {
	workers := make([]*Worker, 0, len(plan))
	for w, n := range plan {
		workers = append(workers, w)
		w.free = w.free.Minus(step.Spec.Needs.Times(int64(n - step.Advice.reserved[w])))
	}
	step.Advice.reserved = plan
	slices.SortFunc(workers, func(a, b *Worker) int {
		return cmp.Compare(a.ID, b.ID)
	})
	q := p.ask(step, queue, workers)
	step.Advice.reservedUntil = now + int64(q.CostMillis) + askMarginMillis
	return q
}

func (p *Planner) ask(step *Step, queue Queue, workers []*Worker) Question {
	step.Advice.asking = true
	return Question{
		Step:       step,
		Workers:    workers,
		CostMillis: queue.Policy.DecisionMillis + queue.Policy.WorkerMillis*float64(len(workers)),
	}
}
