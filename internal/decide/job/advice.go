package job

import (
	"cmp"
	"slices"
)

const (
	// maxQueryWorkers is the maximum number of workers that the policy service's
	// protocol allows in one call.
	maxQueryWorkers = 100
	// minQueryWorkers is how many workers a discovery query may name even if they add
	// more than half of the call's fixed time. If a tenth of all workers are allowed, at
	// least one of 16 probably is.
	minQueryWorkers = 16
	// queryMarginMillis is how long a gang's reservation lasts beyond the expected time
	// of the call that renews its tickets: two hops between regions, and queueing at the
	// service.
	queryMarginMillis = 600
	// maxExaminedSteps is the maximum number of steps that one pass examines for
	// queries, which bounds the pass's time under a long backlog. The next passes examine
	// the others.
	maxExaminedSteps = 64
	// gangRoomFactor is how many times the free capacity that a gang's discovery query is
	// expected to yield must suffice for the gang, since others place tasks meanwhile.
	gangRoomFactor = 1.5
	// gangCapacityFactor is how many times a gang must fit on the workers that it may use, beside
	// endless tasks, so that it can wait for the other running tasks to end.
	gangCapacityFactor = 2
	// prefetchLeadMillis is how long before the expected end of a step the policy
	// service is asked about the steps that depend on it.
	prefetchLeadMillis = 700
)

// Ticket is the policy service's permission to start a step's tasks on one incarnation
// of a worker. Value is the service's text, which the worker checks, and ExpiresMillis
// the Unix millisecond at which the ticket expires.
type Ticket struct {
	Value         string
	ExpiresMillis int64
}

// Advice is the state of the policy service's answers about a step, and the capacity that
// is reserved for the step while its tickets are renewed.
type Advice struct {
	// allowed holds the workers that were allowed when last asked about, with their
	// tickets, which may have expired.
	allowed map[*Worker]Ticket
	// denied holds the workers that were not allowed; they are not asked about again.
	denied map[*Worker]bool
	// validUntil is the latest expiry of any ticket so far, as a Unix millisecond.
	validUntil    int64
	answered      bool // whether any call about the step has succeeded
	queryInFlight bool
	// examinedRound is the round of examinations in which the step last needed no query.
	examinedRound int
	// reserved is the number of tasks per worker for which capacity is reserved while
	// a gang's tickets are renewed, until the Unix millisecond reservedUntil.
	reserved      map[*Worker]int
	reservedUntil int64
}

// PolicyQuery is a call to the policy service that the caller should make now. It asks
// which of the workers may run the step.
type PolicyQuery struct {
	Step    *Step
	Workers []*Worker
	// ExpectedMillis is the expected time of the call.
	ExpectedMillis float64

	share *allowedShare
}

// allowedShare counts the answers about workers for steps of one queue, and those that
// allowed the worker. Renewals do not count.
type allowedShare struct {
	asked, allowed int
}

func (s *allowedShare) add(allowed bool) {
	s.asked++
	if allowed {
		s.allowed++
	}
}

// estimate returns the expected share of allowed workers, which is a quarter as long as there
// are no answers.
func (s *allowedShare) estimate() float64 {
	const priorAsked, priorAllowed = 16, 4
	return float64(s.allowed+priorAllowed) / float64(s.asked+priorAsked)
}

// HandleAnswer records the service's answer to the call. The map allowed holds the
// tickets of the workers that may run the step; no more of the step's tasks start on the
// query's other workers. If ok is false, the call failed: allowed is ignored, and the
// step's reservation is dropped.
func (q PolicyQuery) HandleAnswer(allowed map[*Worker]Ticket, ok bool) {
	a := &q.Step.Advice
	a.queryInFlight = false
	if !ok {
		a.reserved = nil
		return
	}
	a.answered = true
	if a.allowed == nil {
		a.allowed = map[*Worker]Ticket{}
		a.denied = map[*Worker]bool{}
	}
	for _, w := range q.Workers {
		t, ok := allowed[w]
		if _, known := a.allowed[w]; !known {
			q.share.add(ok)
		}
		if !ok {
			a.denied[w] = true
			delete(a.allowed, w)
			continue
		}
		a.allowed[w] = t
		a.validUntil = max(a.validUntil, t.ExpiresMillis)
	}
}

// ExpireTicket marks the step's ticket for the worker as expired, so that it is renewed.
// It is for tickets that the worker has rejected.
func (s *Step) ExpireTicket(w *Worker) {
	if t, ok := s.Advice.allowed[w]; ok {
		t.ExpiresMillis = 0
		s.Advice.allowed[w] = t
	}
}

// TicketExpired reports whether the step has a ticket for the worker that has expired by the given
// Unix millisecond. Without a policy there is none.
func (s *Step) TicketExpired(w *Worker, now int64) bool {
	t, ok := s.Advice.allowed[w]
	return ok && t.ExpiresMillis <= now
}

// TicketValue returns the value of the step's ticket for the worker, which may have
// expired, or an empty string if there is none.
func (s *Step) TicketValue(w *Worker) string {
	return s.Advice.allowed[w].Value
}

func (a *Advice) hasValidTicket(w *Worker, at int64) bool {
	return a.allowed[w].ExpiresMillis > at
}

// QueryLimits bounds the calls to the policy service that start in one pass.
type QueryLimits struct {
	// Calls is the maximum number of calls.
	Calls int
	// SlowCalls is the maximum number of calls to services whose fixed time is over half
	// of SlowMillis, so that fast calls do not queue behind slow ones. SpareSlowCalls is
	// the same for calls that only shorten a gang's wait.
	SlowCalls, SpareSlowCalls int
	SlowMillis                float64
}

// PolicyQueries returns the calls to the policy service that should be made now, within
// the limits, and marks them as in flight. Calls for steps with tasks to place come first,
// in the order in which the steps are served; calls for steps that become ready soon
// follow. Last come those for gangs that would fit on the workers that they may use, if
// no other than endless tasks ran there: in a full fleet such gangs would otherwise ask about all
// workers, and the policy service would have no time for other jobs.
//
// A discovery query asks about workers on which there is no answer yet, and a renewal
// asks for new tickets on allowed workers. The policy service can be the bottleneck, so
// the workers in a discovery query add at most half of the call's fixed time, unless they
// are minQueryWorkers or fewer or the step is a gang, and a renewal names only workers that
// are about to be used.
//
// Examining a long backlog takes several passes, which make up a round: a step that needed
// no query is examined again only in the next round, so that it does not hide those
// behind it.
func (p *Planner) PolicyQueries(now int64, limits QueryLimits) []PolicyQuery {
	c := &queryCollector{
		planner: p,
		limits:  limits,
	}
	var deferred []*Step
	roundDone := true
	for _, step := range p.steps {
		if c.full() {
			roundDone = false
			break
		}
		queue := p.rules.Queues[step.Job.Queue]
		if step.Advice.examinedRound > p.state.examinedRounds || !c.allows(step, queue) || !p.canUseQuery(step) {
			continue
		}
		c.examined++
		if p.canWait(step, queue) {
			deferred = append(deferred, step)
		} else if q, ok := p.nextQuery(step, queue, now); ok {
			c.add(q, queue)
			continue
		}
		step.Advice.examinedRound = p.state.examinedRounds + 1
	}
	if roundDone {
		p.state.examinedRounds++
	}
	for _, step := range p.stepsToPrefetch(now) {
		c.discover(step)
	}
	slowCalls := limits.SlowCalls - c.limits.SlowCalls
	c.limits.SlowCalls = min(c.limits.SlowCalls, limits.SpareSlowCalls-slowCalls)
	for _, step := range deferred {
		c.discover(step)
	}
	return c.queries
}

// queryCollector collects the queries of one pass within the limits.
type queryCollector struct {
	planner  *Planner
	limits   QueryLimits
	queries  []PolicyQuery
	examined int
}

// full reports whether no further step can be examined in this pass.
func (c *queryCollector) full() bool {
	return len(c.queries) == c.limits.Calls || c.examined == maxExaminedSteps
}

// allows reports whether a query about the step can be added: its queue has a policy
// service, no query about it is in flight, and the limits allow one more.
func (c *queryCollector) allows(step *Step, queue Queue) bool {
	return queue.Policy != nil && !step.Advice.queryInFlight && len(c.queries) < c.limits.Calls &&
		(!c.isSlow(queue) || c.limits.SlowCalls > 0)
}

func (c *queryCollector) isSlow(queue Queue) bool {
	return queue.Policy.FixedMillis > c.limits.SlowMillis/2
}

func (c *queryCollector) add(q PolicyQuery, queue Queue) {
	c.queries = append(c.queries, q)
	if c.isSlow(queue) {
		c.limits.SlowCalls--
	}
}

// discover adds a discovery query about the step if it needs one and the limits allow it.
func (c *queryCollector) discover(step *Step) {
	queue := c.planner.rules.Queues[step.Job.Queue]
	if !c.allows(step, queue) {
		return
	}
	if q, ok := c.planner.discoveryQuery(step, queue); ok {
		c.add(q, queue)
	}
}

// canUseQuery reports whether an answer about the step could let one of its tasks start
// now, or no call about the step has succeeded yet.
func (p *Planner) canUseQuery(step *Step) bool {
	return !step.Advice.answered || (step.Spec.Needs.FitsIn(p.largestFree) && p.withinCap(step, 1) && !p.awaitsIsolation(step))
}

// canWait reports whether the step is a gang that does not fit now but would fit
// gangCapacityFactor times on the workers that it may use, if no other than endless tasks ran there.
func (p *Planner) canWait(step *Step, queue Queue) bool {
	if !step.Spec.Gang || !step.Advice.answered {
		return false
	}
	allowed := p.allowedWorkers(step, queue)
	return p.drainedCapacity(step, allowed) >= gangCapacityFactor*step.Spec.Count && p.packGang(step, allowed) == nil
}

// nextQuery returns the call that the step needs now, which is a discovery query or the
// renewal of expired tickets, or false if it needs none.
func (p *Planner) nextQuery(step *Step, queue Queue, now int64) (PolicyQuery, bool) {
	if !step.Advice.answered {
		return p.discoveryQuery(step, queue)
	}
	allowed := p.allowedWorkers(step, queue)
	if !step.Spec.Gang {
		renew, valid := p.renewalCandidates(step, allowed, now)
		if valid {
			return PolicyQuery{}, false
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
		return PolicyQuery{}, false
	}
	return p.gangRenewalQuery(step, queue, plan, now), true
}

// discoveryQuery returns a query about workers on which there is no answer for the step
// yet, those with the most free processors first, or false if there are none. Until a
// call about the step has succeeded, these include workers on which no task fits now. A
// query for a gang names as many as the gang probably needs to fit at once: in a full fleet
// it fits on the free capacity of many workers sooner than on a few that have to be drained.
func (p *Planner) discoveryQuery(step *Step, queue Queue) (PolicyQuery, bool) {
	limit := minQueryWorkers
	if queue.Policy.PerWorkerMillis > 0 {
		limit = max(limit, int(queue.Policy.FixedMillis/queue.Policy.PerWorkerMillis/2))
	}
	limit = min(limit, maxQueryWorkers)
	neededRoom := 0.0 // in tasks
	if step.Spec.Gang {
		neededRoom = gangRoomFactor * float64(step.Spec.Count) / p.state.shareOf(step.Job.Queue).estimate()
	}
	var workers []*Worker
	room := 0
	for _, w := range p.workersByFree() {
		if len(workers) == maxQueryWorkers || len(workers) >= limit && float64(room) >= neededRoom {
			break
		}
		_, allowed := step.Advice.allowed[w]
		if allowed || step.Advice.denied[w] || !p.eligible(step, queue, w) {
			continue
		}
		if step.Advice.answered && !step.Spec.Needs.FitsIn(w.free) {
			continue
		}
		workers = append(workers, w)
		room += step.Spec.Needs.fitCount(w.free, step.Spec.Count)
	}
	if len(workers) == 0 {
		return PolicyQuery{}, false
	}
	return p.newQuery(step, queue, workers), true
}

// workersByFree returns the workers in decreasing order of free processors. They are
// sorted once a pass, because many steps may need a query in it.
func (p *Planner) workersByFree() []*Worker {
	if p.byFree == nil {
		p.byFree = slices.Clone(p.workers)
		slices.SortStableFunc(p.byFree, func(a, b *Worker) int {
			return cmp.Compare(b.free.MilliCores, a.free.MilliCores)
		})
	}
	return p.byFree
}

// renewalCandidates returns the workers on which a task can be placed and whose tickets
// have expired or expire too soon to be used, up to two more than there are waiting tasks.
// It returns nil and true if any worker on which a task can be placed has a valid ticket.
func (p *Planner) renewalCandidates(step *Step, allowed []*Worker, now int64) ([]*Worker, bool) {
	const spareWorkers = 2
	waiting := step.Waiting()
	var expired []*Worker
	for _, w := range allowed {
		if !step.Spec.Needs.FitsIn(w.free) || p.remainingPerWorker(step, w) < 1 {
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

// gangRenewalQuery returns a query that renews the tickets of the plan's workers, and
// reserves the gang's capacity on them until the gang is placed, the call fails or
// Advice.reservedUntil has passed.
func (p *Planner) gangRenewalQuery(step *Step, queue Queue, plan map[*Worker]int, now int64) PolicyQuery {
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
	step.Advice.reservedUntil = now + int64(q.ExpectedMillis) + queryMarginMillis
	return q
}

// newQuery returns a query about the workers and marks it as in flight.
func (p *Planner) newQuery(step *Step, queue Queue, workers []*Worker) PolicyQuery {
	step.Advice.queryInFlight = true
	return PolicyQuery{
		Step:           step,
		Workers:        workers,
		ExpectedMillis: queue.Policy.FixedMillis + queue.Policy.PerWorkerMillis*float64(len(workers)),
		share:          p.state.shareOf(step.Job.Queue),
	}
}
