package shard

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/citronbay/citronbay/internal/cluster/worker"
	"github.com/citronbay/citronbay/internal/decide/advisor"
	"github.com/citronbay/citronbay/internal/decide/job"
)

const (
	// slowCallMillis is the expected duration above which a call to the policy
	// service is slow; fast calls must not wait behind slow ones.
	slowCallMillis = 200
	// Slow calls are made through at most the number of nodes divided by slowCallDivisor at a
	// time, but at least one.
	slowCallDivisor = 2
	// unreachableAdvisorPause is how long a node is not asked after it has not answered.
	unreachableAdvisorPause = time.Second
	// callTimeoutSlack is what a call may take beyond its expected duration.
	callTimeoutSlack = 600 * time.Millisecond
	// ticketTransitMillis is subtracted from a ticket's validity: the time that
	// the answer takes to reach the owner.
	ticketTransitMillis = 30
)

// ErrAdvisorUnreachable reports that a node that should call the policy service has not
// answered.
var ErrAdvisorUnreachable = errors.New("shard: the node that calls the policy service has not answered")

// askPolicy sends the policy queries that the planner puts first, at most one through
// each node that can take a further call. The caller holds s.mu.
func (s *Shard) askPolicy(planner *job.Planner, now int64) {
	advisors := map[string]AdvisorNode{}
	for _, a := range s.options.Advisors() {
		advisors[a.Node] = a
	}
	available := s.advisors.Available(slices.Sorted(maps.Keys(advisors)), now)
	if len(available) == 0 {
		return
	}
	maxSlow := max(1, len(advisors)/slowCallDivisor)
	queries := planner.PolicyQueries(now, job.QueryLimits{
		Calls:          len(available),
		SlowCalls:      max(0, maxSlow-s.slowCalls),
		SpareSlowCalls: max(0, maxSlow*3/4-s.slowCalls),
		SlowMillis:     slowCallMillis,
		SpareCalls:     max(0, len(available)-len(advisors)/2),
	})
	for n, q := range queries {
		if q.ExpectedMillis > slowCallMillis {
			s.slowCalls++
		}
		s.passLoad.addQuery(q)
		call, millis := s.advisors.Start(available[n], q.ExpectedMillis, now)
		go s.askAdvisor(advisors[available[n]], q, call, millis)
	}
}

// askAdvisor makes the call through the node. The call is expected to be answered after the given
// number of milliseconds.
func (s *Shard) askAdvisor(a AdvisorNode, q job.PolicyQuery, call *advisor.Call, millis float64) {
	timeout := time.Duration(millis)*time.Millisecond + callTimeoutSlack
	ctx, cancel := context.WithTimeout(s.term.Context(), timeout)
	defer cancel()
	ids := make([]string, len(q.Workers))
	for n, w := range q.Workers {
		ids[n] = w.ID
	}
	start := time.Now()
	tickets, err := a.Ask(ctx, q.Step.Job.ID, q.Step.Number, ids)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	s.advisors.Finish(call, now)
	s.passLoad.addAnswer(q, time.Since(start))
	if errors.Is(err, ErrAdvisorUnreachable) {
		// The node would get the next query at once, as would all others that cannot be reached.
		s.advisors.Pause(a.Node, now+unreachableAdvisorPause.Milliseconds(), now)
	}
	if q.ExpectedMillis > slowCallMillis {
		s.slowCalls--
	}
	if err != nil && s.term.Context().Err() == nil {
		s.log.Warn("adviceFailed", "job", q.Step.Job.ID, "step", q.Step.Number, "node", a.Node, "error", err)
	}
	s.observeCall(q, time.Since(start).Seconds()*1000/millis, err == nil)
	q.HandleAnswer(s.ticketsByWorker(q, tickets), err == nil)
	s.requestPass()
}

// ticketsByWorker returns the tickets, with the time at which they expire, by worker.
// It ignores tickets for workers that the query did not name.
func (s *Shard) ticketsByWorker(q job.PolicyQuery, tickets []worker.Ticket) map[*job.Worker]job.Ticket {
	policy := s.agreement.Rules.Queues[q.Step.Job.Queue].Policy
	if policy == nil {
		return nil
	}
	asked := map[string]*job.Worker{}
	for _, w := range q.Workers {
		asked[w.ID] = w
	}
	expires := s.now() + policy.TicketValidMillis - ticketTransitMillis
	allowed := map[*job.Worker]job.Ticket{}
	for _, t := range tickets {
		if w := asked[t.Worker]; w != nil {
			allowed[w] = job.Ticket{
				Value:         t.Value,
				ExpiresMillis: expires,
			}
		}
	}
	return allowed
}
