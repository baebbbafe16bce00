package shard

import (
	"io"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronbay/citronbay/internal/api/traffic"
	"github.com/citronbay/citronbay/internal/cluster/caller"
	"github.com/citronbay/citronbay/internal/cluster/store"
	"github.com/citronbay/citronbay/internal/cluster/worker"
	"github.com/citronbay/citronbay/internal/decide/job"
)

// TestSubmissionIsRefusedWhenOrdersCannotFollow checks that an owner on a small link refuses at once
// what it could not start in time, and that this does not concern more urgent work or other links.
func TestSubmissionIsRefusedWhenOrdersCannotFollow(t *testing.T) {
	const bytesPerSecond = startShare * 2e6 / 8
	for name, c := range map[string]struct {
		link    traffic.Link
		waiting map[int]float64 // bytes by priority; that of the queue is 1
		refused bool
	}{
		"idle":                          {link: traffic.Link{Mbps: 2}},
		"short backlog":                 {link: traffic.Link{Mbps: 2}, waiting: map[int]float64{1: 3 * bytesPerSecond}},
		"long backlog":                  {link: traffic.Link{Mbps: 2}, waiting: map[int]float64{1: 7 * bytesPerSecond}, refused: true},
		"long backlog of urgent work":   {link: traffic.Link{Mbps: 2}, waiting: map[int]float64{0: 7 * bytesPerSecond}, refused: true},
		"long backlog of less urgent":   {link: traffic.Link{Mbps: 2}, waiting: map[int]float64{2: 700 * bytesPerSecond}},
		"long backlog on a large link":  {link: traffic.Link{Mbps: 1000}, waiting: map[int]float64{1: 7 * bytesPerSecond}},
		"long backlog, link is unknown": {waiting: map[int]float64{1: 7 * bytesPerSecond}},
	} {
		t.Run(name, func(t *testing.T) {
			log := slog.New(slog.NewTextHandler(io.Discard, nil))
			term, release, err := store.Claim(t.Context(), emptyStore{}, "fleet", store.Owner{}, log)
			assert.NilError(t, err)
			defer release()
			s := newShardWithClient(term, nil, log)
			s.options.Link = c.link
			s.credit.waiting = c.waiting
			a := teamsAgreement()
			queue := a.Rules.Queues["queue"]
			queue.Priority = 1
			a.Rules.Queues = map[string]job.Queue{"queue": queue}
			s.agreement = DatedAgreement{Agreement: a}
			s.journal, _, err = store.OpenJournal(t.Context(), emptyStore{}, term, s.snapshot, log)
			assert.NilError(t, err)
			go func() {
				_ = s.journal.Run(&s.mu)
			}()
			response := s.Serve(t.Context(), caller.Request{
				Verb: caller.Submit,
				Host: "jobs.example",
				Path: "/queue/00000000000000aa",
				Key:  "key of a",
				Submission: &job.Submission{
					Steps: []job.StepSpec{{Count: 1}},
				},
			})
			if !c.refused {
				assert.Equal(t, response.Status, caller.OK, response.Reason)
				return
			}
			assert.Equal(t, response.Status, caller.Refused)
			assert.Assert(t, response.RetryMillis > 0)
			assert.Assert(t, s.state.Job("00000000000000aa") == nil)
		})
	}
}

// TestStartCredit computes the credit for start orders, which neither grows without limit nor
// forgives what was spent.
func TestStartCredit(t *testing.T) {
	const perSecond = 1000.0
	most := perSecond * maxStartBacklog.Seconds()
	now := time.Unix(1000, 0)
	for name, c := range map[string]struct {
		credit startCredit
		want   float64
	}{
		"new term":  {want: most},
		"idle":      {credit: startCredit{bytes: 10, updated: now.Add(-time.Hour)}, want: most},
		"spent":     {credit: startCredit{updated: now.Add(-10 * time.Millisecond)}, want: 10},
		"overdrawn": {credit: startCredit{bytes: -500, updated: now.Add(-100 * time.Millisecond)}, want: -400},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, c.credit.grow(now, perSecond).bytes, c.want)
		})
	}
}

// TestExpiredTicketIsNotSent guards against an order that waited for the link until its ticket had
// expired: the worker would reject it, and the permission to run the task there is over.
func TestExpiredTicketIsNotSent(t *testing.T) {
	const validMillis = 500
	for name, c := range map[string]struct {
		wait time.Duration
		sent bool
	}{
		"sent in time":    {wait: 100 * time.Millisecond, sent: true},
		"waited too long": {wait: 600 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				log := slog.New(slog.NewTextHandler(io.Discard, nil))
				term, release, err := store.Claim(t.Context(), emptyStore{}, "fleet", store.Owner{}, log)
				assert.NilError(t, err)
				defer release()
				s := newShardWithClient(term, nil, log)
				s.openedAt = time.Now()
				s.openedMillis = s.openedAt.UnixMilli()
				l := s.newLink(t.Context(), worker.Registration{
					ID:       "w",
					Service:  "service",
					Capacity: job.Resources{MilliCores: 1000},
				}, true)
				l.answered, l.listed, l.lastAnswer = true, true, time.Now()
				s.links["w"] = l
				rules := job.Rules{Queues: map[string]job.Queue{"queue": {
					Name:    "queue",
					Service: "service",
					Policy:  &job.Policy{TicketValidMillis: validMillis},
				}}}
				assert.NilError(t, s.state.Apply(job.Record{
					Kind:  job.RecordAccept,
					Job:   acceptedID,
					Queue: "queue",
					Submission: &job.Submission{Steps: []job.StepSpec{{
						Count: 1,
						Needs: job.Resources{MilliCores: 1000},
					}}},
				}))
				workers := []*job.Worker{l.plannerWorker(time.Now())}
				now := s.now()
				queries := job.NewPlanner(s.state, rules, workers, now).PolicyQueries(now, job.QueryLimits{
					Calls:      1,
					SlowCalls:  1,
					SlowMillis: 200,
				})
				assert.Equal(t, len(queries), 1)
				queries[0].HandleAnswer(map[*job.Worker]job.Ticket{workers[0]: {
					Value:         "ticket",
					ExpiresMillis: now + validMillis,
				}}, true)
				placements := s.placementsOf(job.NewPlanner(s.state, rules, workers, now).Plan(now))
				assert.Equal(t, len(placements), 1)
				time.Sleep(c.wait)
				order, wanted := s.startOrder(l, placements[0])
				assert.Assert(t, wanted)
				assert.Equal(t, order.UntilMillis != 0, c.sent)
			})
		})
	}
}
