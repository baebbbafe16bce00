package shard

import (
	"context"
	"errors"
	"time"

	"github.com/citronbay/citronbay/internal/cluster/worker"
	"github.com/citronbay/citronbay/internal/decide/job"
)

const (
	// slowCallMillis is the expected duration above which a call to the policy
	// service is slow; fast calls must not wait behind slow ones.
	slowCallMillis = 200
	// fastCallAdvisors is the number of nodes kept free of slow calls, as long as one
	// node remains for these.
	fastCallAdvisors = 2
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
// each idle node. The caller holds s.mu.
func (s *Shard) askPolicy(planner *job.Planner, now int64) {
	var idle []AdvisorNode
	advisors := s.options.Advisors()
	for _, a := range advisors {
		if !s.busyAdvisors[a.Node] {
			idle = append(idle, a)
		}
	}
	if len(idle) == 0 {
		return
	}
	maxSlow := max(1, len(advisors)-fastCallAdvisors)
	queries := planner.PolicyQueries(now, job.QueryLimits{
		Calls:          len(idle),
		SlowCalls:      max(0, maxSlow-s.slowCalls),
		SpareSlowCalls: max(0, maxSlow/2-s.slowCalls),
		SlowMillis:     slowCallMillis,
	})
	for n, q := range queries {
		s.busyAdvisors[idle[n].Node] = true
		if q.ExpectedMillis > slowCallMillis {
			s.slowCalls++
		}
		go s.askAdvisor(idle[n], q)
	}
}

func (s *Shard) askAdvisor(a AdvisorNode, q job.PolicyQuery) {
	timeout := time.Duration(q.ExpectedMillis)*time.Millisecond + callTimeoutSlack
	ctx, cancel := context.WithTimeout(s.term.Context(), timeout)
	defer cancel()
	ids := make([]string, len(q.Workers))
	for n, w := range q.Workers {
		ids[n] = w.ID
	}
	sent := time.Now()
	tickets, err := a.Ask(ctx, q.Step.Job.ID, q.Step.Number, ids)
	s.mu.Lock()
	defer s.mu.Unlock()
	if errors.Is(err, ErrAdvisorUnreachable) {
		// The node would get the next query at once, as would all others that cannot be reached.
		time.AfterFunc(unreachableAdvisorPause, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			delete(s.busyAdvisors, a.Node)
			s.requestPass()
		})
	} else {
		delete(s.busyAdvisors, a.Node)
	}
	if q.ExpectedMillis > slowCallMillis {
		s.slowCalls--
	}
	if err != nil && s.term.Context().Err() == nil {
		s.log.Warn("adviceFailed", "job", q.Step.Job.ID, "step", q.Step.Number, "node", a.Node, "error", err)
	}
	s.observeCall(q, time.Since(sent), err == nil)
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
