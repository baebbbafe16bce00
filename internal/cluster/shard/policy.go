package shard

import (
	"context"
	"time"

	"github.com/citronbay/citronbay/internal/cluster/worker"
	"github.com/citronbay/citronbay/internal/decide/job"
)

const (
	// longQuestionMillis separates quick calls to the policy service from those
	// that would make them wait.
	longQuestionMillis = 200
	// quickAdvisors is the number of entries kept free of long calls.
	quickAdvisors = 2
	// questionSlack is what a call may take beyond its expected time.
	questionSlack = 600 * time.Millisecond
	// ticketHopMillis is taken off a ticket's life: the answer's way to the owner.
	ticketHopMillis = 30
)

// askPolicy gives the most urgent questions to the entries that are idle; the
// caller holds the lock.
func (s *Shard) askPolicy(planner *job.Planner, now int64) {
	var idle []Advice
	advisors := s.options.Advisors()
	for _, a := range advisors {
		if !s.asking[a.Node] {
			idle = append(idle, a)
		}
	}
	if len(idle) == 0 {
		return
	}
	long := max(1, len(advisors)-quickAdvisors) - s.askedLong
	questions := planner.Questions(now, len(idle), max(0, long), longQuestionMillis)
	for n, q := range questions {
		s.asking[idle[n].Node] = true
		if q.CostMillis > longQuestionMillis {
			s.askedLong++
		}
		go s.ask(idle[n], q)
	}
}

func (s *Shard) ask(a Advice, q job.Question) {
	limit := time.Duration(q.CostMillis)*time.Millisecond + questionSlack
	ctx, cancel := context.WithTimeout(s.tenure.Context(), limit)
	defer cancel()
	ids := make([]string, len(q.Workers))
	for n, w := range q.Workers {
		ids[n] = w.ID
	}
	tickets, err := a.Ask(ctx, q.Step.Job.ID, q.Step.Number, ids)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.asking[a.Node] = false
	if q.CostMillis > longQuestionMillis {
		s.askedLong--
	}
	if err != nil && s.tenure.Context().Err() == nil {
		s.log.Warn("adviceFailed", "job", q.Step.Job.ID, "step", q.Step.Number, "node", a.Node, "error", err)
	}
	q.Answered(s.tickets(q, tickets), err == nil)
	s.wake()
}

// tickets dates the answers and assigns them to the workers that were asked about.
func (s *Shard) tickets(q job.Question, answers []worker.Ticket) map[*job.Worker]job.Ticket {
	policy := s.agreement.Rules.Queues[q.Step.Job.Queue].Policy
	if policy == nil {
		return nil
	}
	asked := map[string]*job.Worker{}
	for _, w := range q.Workers {
		asked[w.ID] = w
	}
	expires := s.now() + policy.ValidMillis - ticketHopMillis
	allowed := map[*job.Worker]job.Ticket{}
	for _, t := range answers {
		if w := asked[t.Worker]; w != nil {
			allowed[w] = job.Ticket{
				Value:         t.Value,
				ExpiresMillis: expires,
			}
		}
	}
	return allowed
}
