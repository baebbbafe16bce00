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
	// prefetchMillis is how long before the expected end of a step the policy is
	// asked about the next one.
	prefetchMillis = 700
)

// Ticket lets tasks of a step start on one life of a worker until it expires.
type Ticket struct {
	Value         string
	ExpiresMillis int64
	Born          int64
}

// Advice is what the policy service has said about a step.
type Advice struct {
	allowed map[string]Ticket
	asked   map[string]bool
	asking  bool
	// reserved holds room for a gang while its tickets are renewed.
	reserved      map[WorkerKey]int
	reservedUntil int64
}

// Question is a call to the policy service that should be made now.
type Question struct {
	Step    *Step
	Workers []string
	// CostMillis is the expected time of the call.
	CostMillis float64
	Priority   int
}

// Answered takes the answer to a question that was asked about the workers;
// ok is false when the call failed.
func (s *Step) Answered(asked []string, allowed map[string]Ticket, ok bool) {
	s.Advice.asking = false
	if !ok {
		s.Advice.reserved = nil
		return
	}
	if s.Advice.asked == nil {
		s.Advice.asked = map[string]bool{}
		s.Advice.allowed = map[string]Ticket{}
	}
	for _, id := range asked {
		s.Advice.asked[id] = true
	}
	for id, t := range allowed {
		s.Advice.allowed[id] = t
	}
}

// DropTicket forgets a ticket that the worker refused.
func (s *Step) DropTicket(worker string) {
	if t, ok := s.Advice.allowed[worker]; ok {
		t.ExpiresMillis = 0
		s.Advice.allowed[worker] = t
	}
}

// Ticket returns the ticket for the worker, if there is one.
func (s *Step) Ticket(w WorkerKey) string {
	t := s.Advice.allowed[w.ID]
	if t.Born != w.Born {
		return ""
	}
	return t.Value
}

func (a *Advice) valid(w *Worker, now int64) bool {
	t, ok := a.allowed[w.ID]
	return ok && t.Born == w.Born && t.ExpiresMillis > now
}

func (a *Advice) knows(w *Worker) bool {
	t, ok := a.allowed[w.ID]
	return ok && t.Born == w.Born
}

// Questions returns up to limit calls that are worth making now, the most
// urgent first, and marks their steps as being asked about. It answers loads in
// which the policy service is the bottleneck: a first call names only as many
// workers as cost half of its fixed part, and a renewal only those that are
// about to be used. At most longLimit of the calls take over longMillis, so that
// quick ones do not wait behind them.
func (p *Planner) Questions(now int64, limit, longLimit int, longMillis float64) []Question {
	var questions []Question
	isLong := func(step *Step) bool {
		policy := p.rules.Queues[step.Job.Queue].Policy
		return policy != nil && policy.DecisionMillis > longMillis/2
	}
	take := func(q Question) {
		questions = append(questions, q)
		if isLong(q.Step) {
			longLimit--
		}
	}
	for _, step := range p.order() {
		if len(questions) == limit {
			return questions
		}
		if isLong(step) && longLimit <= 0 {
			continue
		}
		if q, ok := p.question(step, now); ok {
			take(q)
		}
	}
	for _, step := range p.upcoming(now) {
		if len(questions) == limit {
			return questions
		}
		if isLong(step) && longLimit <= 0 {
			continue
		}
		if q, ok := p.firstQuestion(step, p.rules.Queues[step.Job.Queue]); ok {
			take(q)
		}
	}
	return questions
}

func (p *Planner) question(step *Step, now int64) (Question, bool) {
	queue := p.rules.Queues[step.Job.Queue]
	if queue.Policy == nil || step.Advice.asking {
		return Question{}, false
	}
	if step.Advice.asked == nil {
		return p.firstQuestion(step, queue)
	}
	known := p.candidates(step, queue, func(w *Worker) bool {
		return step.Advice.knows(w)
	})
	if step.Spec.Gang {
		if plan := p.packGang(step, known); plan != nil {
			if p.allValid(step, plan, now) {
				return Question{}, false
			}
			return p.renewGang(step, queue, plan, now), true
		}
	} else if renew := p.renewable(step, known, now); len(renew) > 0 {
		return p.ask(step, queue, renew), true
	}
	return p.firstQuestion(step, queue)
}

// firstQuestion asks about workers that were never asked about for the step.
func (p *Planner) firstQuestion(step *Step, queue Queue) (Question, bool) {
	if queue.Policy == nil || step.Advice.asking {
		return Question{}, false
	}
	workers := p.candidates(step, queue, func(w *Worker) bool {
		return !step.Advice.asked[w.ID]
	})
	if len(workers) == 0 {
		return Question{}, false
	}
	slices.SortStableFunc(workers, func(a, b *Worker) int {
		return cmp.Compare(p.free(b).MilliCores, p.free(a).MilliCores)
	})
	n := minAsked
	if queue.Policy.WorkerMillis > 0 {
		n = max(n, int(queue.Policy.DecisionMillis/queue.Policy.WorkerMillis/2))
	}
	n = min(n, maxAsked, len(workers))
	ids := make([]string, 0, n)
	for _, w := range workers[:n] {
		ids = append(ids, w.ID)
	}
	return p.ask(step, queue, ids), true
}

// renewable returns workers with room whose tickets have expired, when no
// worker with room has a valid one.
func (p *Planner) renewable(step *Step, known []*Worker, now int64) []string {
	want := step.Waiting()
	var ids []string
	for _, w := range known {
		n := step.Spec.Needs.copiesIn(p.freeFor(step, w), want)
		if n == 0 {
			continue
		}
		if step.Advice.valid(w, now) {
			return nil
		}
		ids = append(ids, w.ID)
		if len(ids) >= want+2 {
			break
		}
	}
	return ids
}

func (p *Planner) allValid(step *Step, plan map[*Worker]int, now int64) bool {
	for w := range plan {
		if !step.Advice.valid(w, now) {
			return false
		}
	}
	return true
}

func (p *Planner) renewGang(step *Step, queue Queue, plan map[*Worker]int, now int64) Question {
	ids := make([]string, 0, len(plan))
	step.Advice.reserved = map[WorkerKey]int{}
	for w, n := range plan {
		ids = append(ids, w.ID)
		step.Advice.reserved[w.Key()] = n
	}
	slices.Sort(ids)
	q := p.ask(step, queue, ids)
	step.Advice.reservedUntil = now + int64(q.CostMillis) + askMarginMillis
	return q
}

func (p *Planner) ask(step *Step, queue Queue, ids []string) Question {
	step.Advice.asking = true
	return Question{
		Step:       step,
		Workers:    ids,
		CostMillis: queue.Policy.DecisionMillis + queue.Policy.WorkerMillis*float64(len(ids)),
		Priority:   queue.Priority,
	}
}
