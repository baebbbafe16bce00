package shard

import (
	"context"

	"github.com/citronbay/citronbay/internal/cluster/caller"
	"github.com/citronbay/citronbay/internal/cluster/operator"
	"github.com/citronbay/citronbay/internal/decide/job"
)

// burstSeconds is how many seconds of its rate a team may send at once before
// its jobs count as excess; traffic swings by a seventh over some seconds.
const burstSeconds = 4

// bucket counts a team's jobs against its agreed rate.
type bucket struct {
	tokens float64
	last   int64
}

// take reports whether one more job is within the rate (jobs a second).
func (b *bucket) take(rate float64, now int64) bool {
	b.tokens = min(rate*burstSeconds, b.tokens+rate*float64(now-b.last)/1000)
	b.last = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Valid reports whether the tenure certainly lasts.
func (s *Shard) Valid() bool {
	return s.tenure.Context().Err() == nil && s.tenure.Remaining() > 0
}

// Serve answers one request of a caller.
func (s *Shard) Serve(ctx context.Context, r caller.Request) caller.Response {
	if !s.Valid() {
		return caller.Response{Status: caller.NotOwner}
	}
	s.mu.Lock()
	route, id, ok := s.agreement.Resolve(r.Host, r.Path)
	if !ok {
		s.mu.Unlock()
		return caller.Response{
			Status: caller.NoQueue,
			Reason: "no queue at " + r.Host + r.Path,
		}
	}
	team, known := s.agreement.TeamByKey[r.Key]
	if !known && !route.Open {
		s.mu.Unlock()
		return caller.Response{
			Status: caller.BadKey,
			Reason: "the key is not granted",
		}
	}
	switch {
	case r.Verb == caller.Submit:
		return s.submit(ctx, r, route, team, id)
	case r.Verb == caller.Cancel:
		return s.cancel(ctx, id, team)
	case id == "":
		defer s.mu.Unlock()
		return caller.Response{
			Status:  caller.OK,
			Queue:   true,
			Pending: s.pending(route.Queue),
		}
	}
	return s.read(ctx, id, team)
}

func (s *Shard) pending(queue string) int {
	n := 0
	for _, j := range s.state.OpenJobs() {
		if j.Queue == queue && !j.Started {
			n++
		}
	}
	return n
}

// submit takes over the lock and releases it.
func (s *Shard) submit(ctx context.Context, r caller.Request, route operator.Route, team, id string) caller.Response {
	if s.state.Job(id) != nil {
		// A copy of an earlier submission: the answer is the same.
		return s.afterCommit(ctx, nil, caller.Response{Status: caller.OK})
	}
	reason := r.Invalid
	if reason == "" && !validID(id) {
		reason = "a job's id has 16 hexadecimal digits"
	}
	if reason == "" && r.Submission == nil {
		reason = "the submission is empty"
	}
	if reason == "" {
		if err := r.Submission.Validate(); err != nil {
			reason = err.Error()
		}
	}
	if reason != "" {
		s.mu.Unlock()
		s.log.Info("jobInvalid", "job", id, "reason", reason)
		return caller.Response{
			Status: caller.Invalid,
			Reason: reason,
		}
	}
	now := s.now()
	excess := s.isExcess(team, now)
	s.log.Info("jobAccepted", "job", id, "team", team, "queue", route.Queue, "excess", excess,
		"steps", len(r.Submission.Steps), "agreement", s.agreement.Version, "open", len(s.state.OpenJobs()))
	records := s.apply(nil, job.Record{
		Kind:       job.RecordAccept,
		Job:        id,
		Team:       team,
		Queue:      route.Queue,
		Millis:     now,
		Submission: r.Submission,
		Excess:     excess,
	})
	s.wake()
	return s.afterCommit(ctx, records, caller.Response{Status: caller.OK})
}

func (s *Shard) isExcess(team string, now int64) bool {
	t, ok := s.agreement.Rules.Teams[team]
	if !ok || t.Rate <= 0 {
		return false
	}
	b := s.buckets[team]
	if b == nil {
		b = &bucket{
			tokens: t.Rate * burstSeconds,
			last:   now,
		}
		s.buckets[team] = b
	}
	return !b.take(t.Rate, now)
}

// afterCommit releases the lock and answers once the records and all before them
// are durable. If that stays open, so does the answer.
func (s *Shard) afterCommit(ctx context.Context, records []job.Record, response caller.Response) caller.Response {
	durable := make(chan struct{})
	s.journal.Append(records, func() {
		close(durable)
	})
	s.mu.Unlock()
	select {
	case <-durable:
		return response
	case <-ctx.Done():
	case <-s.tenure.Context().Done():
	}
	return caller.Response{
		Status: caller.Unknown,
		Reason: "the store has not confirmed the change in time",
	}
}

// read takes over the lock and releases it.
func (s *Shard) read(ctx context.Context, id, team string) caller.Response {
	j := s.state.Job(id)
	if j == nil || (team != "" && j.Team != team) {
		s.mu.Unlock()
		return caller.Response{
			Status: caller.Gone,
			Reason: "no such job",
		}
	}
	response := caller.Response{
		Status: caller.OK,
		State:  stateOf(j),
	}
	if j.Outcome == job.Open {
		s.mu.Unlock()
		return response
	}
	return s.afterCommit(ctx, nil, response)
}

// cancel takes over the lock and releases it.
func (s *Shard) cancel(ctx context.Context, id, team string) caller.Response {
	j := s.state.Job(id)
	if j == nil || (team != "" && j.Team != team) {
		s.mu.Unlock()
		return caller.Response{
			Status: caller.Gone,
			Reason: "no such job",
		}
	}
	var records []job.Record
	if j.Outcome == job.Open {
		records = s.finish(nil, j, job.Cancelled)
	}
	return s.afterCommit(ctx, records, caller.Response{Status: caller.OK})
}

// finish ends the job and stops what still runs of it; the caller holds the lock.
func (s *Shard) finish(records []job.Record, j *job.Job, outcome job.Outcome) []job.Record {
	s.log.Info("jobEnded", "job", j.ID, "team", j.Team, "queue", j.Queue, "outcome", outcome,
		"ageMillis", s.now()-j.SubmittedMillis)
	records = s.apply(records, job.Record{
		Kind:    job.RecordFinish,
		Job:     j.ID,
		Outcome: outcome,
		Millis:  s.now(),
	})
	if outcome == job.Completed {
		return records
	}
	for _, step := range j.Steps {
		for n := range step.Tasks {
			if p := step.Tasks[n].Place; p != nil {
				s.stop(p)
			}
		}
	}
	return records
}

func stateOf(j *job.Job) caller.JobState {
	switch j.Outcome {
	case job.Completed:
		return caller.Completed
	case job.Failed:
		return caller.Failed
	case job.Cancelled:
		return caller.Cancelled
	}
	if j.Started {
		return caller.Running
	}
	return caller.Queued
}

// validID reports whether the id has the form that callers choose.
func validID(id string) bool {
	const idLength = 16
	if len(id) != idLength {
		return false
	}
	for _, c := range id {
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') && (c < 'A' || c > 'F') {
			return false
		}
	}
	return true
}
