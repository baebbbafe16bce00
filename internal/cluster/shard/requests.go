package shard

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/citronbay/citronbay/internal/cluster/caller"
	"github.com/citronbay/citronbay/internal/cluster/operator"
	"github.com/citronbay/citronbay/internal/cluster/store"
	"github.com/citronbay/citronbay/internal/decide/admission"
	"github.com/citronbay/citronbay/internal/decide/job"
)

const (
	// storeStallLimit is the age of an unanswered write from which the store counts
	// as unavailable; a store a hundred times slower than usual answers within it.
	storeStallLimit = 600 * time.Millisecond
	// stallCheckInterval is how often a waiting request checks whether the store
	// has stalled.
	stallCheckInterval = 100 * time.Millisecond
	// minDecisionTime is the least time in which a submission is recorded and the answer returns to
	// the caller from another region. Of one that is accepted with less time left, the caller would
	// mostly learn only that it may have been.
	minDecisionTime = 60 * time.Millisecond
	// minRetryMillis is the least delay after which a refused caller should retry;
	// up to as much again is added at random, so that callers do not all retry at
	// once.
	minRetryMillis = 1000
)

// LeaseValid reports whether this process is certainly still the owner: its term has not
// ended and its lease has not expired.
func (s *Shard) LeaseValid() bool {
	return s.term.Context().Err() == nil && s.term.Remaining() > 0
}

// Serve answers one request of a caller once its effect is durable. The status is
// caller.Unknown if ctx or the term of ownership ends first and a submission or
// cancellation may have taken effect or may still do so, and caller.NotOwner if this
// process can no longer answer as the owner.
func (s *Shard) Serve(ctx context.Context, r caller.Request) caller.Response {
	response := s.serve(ctx, r)
	response.Agreement = s.agreementVersion.Load()
	return response
}

// serve is Serve without the version of the agreement in the response.
func (s *Shard) serve(ctx context.Context, r caller.Request) caller.Response {
	arrived := store.Now()
	s.refreshAgreement(ctx, arrived, r.Agreement)
	if s.term.Context().Err() != nil {
		return caller.Response{Status: caller.NotOwner}
	}
	s.mu.Lock()
	if s.isRecordedCall(r) {
		return s.confirmRecordedCall(ctx, r)
	}
	if r.Agreement > s.agreement.Version && arrived.Sub(s.agreement.AsOf) > 0 {
		// An owner with a newer agreement has answered the entry.
		defer s.mu.Unlock()
		return caller.Response{Status: caller.NotOwner}
	}
	a, rejection, allowed := s.authorize(ctx, r)
	if !allowed {
		defer s.mu.Unlock()
		return rejection
	}
	if response, ok := s.durableAnswer(r, a); ok {
		defer s.mu.Unlock()
		return response
	}
	switch {
	case r.Verb == caller.Submit:
		return s.submit(ctx, r, a)
	case !s.LeaseValid():
		defer s.mu.Unlock()
		return caller.Response{Status: caller.NotOwner}
	case r.Verb == caller.Cancel:
		return s.cancelJob(ctx, r, a)
	case a.id == "":
		defer s.mu.Unlock()
		return caller.Response{
			Status:  caller.OK,
			IsQueue: true,
			Pending: s.countPending(a.route.Queue),
		}
	}
	return s.readJob(ctx, r, a)
}

// access is what the agreement makes of a request: its route, the team of its key, which is
// empty for a request without one, and the ID of the job that it concerns.
type access struct {
	route operator.Route
	team  string
	id    string
}

// authorize returns what the agreement makes of the request. If it does not allow the
// request, or cannot decide it now, authorize returns the response and false. The caller
// holds s.mu.
func (s *Shard) authorize(ctx context.Context, r caller.Request) (access, caller.Response, bool) {
	if reason := s.undecided(ctx); reason != "" {
		return access{}, s.refuseUndecided(r, reason), false
	}
	route, id, ok := s.agreement.Resolve(r.Host, r.Path)
	if !ok {
		return access{}, s.reject(r, caller.NoQueue, reasonNoQueue), false
	}
	team, known := s.agreement.TeamByKey[r.Key]
	if !known && !route.AuthExempt {
		return access{}, s.reject(r, caller.BadKey, reasonBadKey), false
	}
	return access{
		route: route,
		team:  team,
		id:    id,
	}, caller.Response{}, true
}

// accessibleJob returns the job that the request concerns, if there is one and it is the
// team's or of the route's own queue where that needs no key, and otherwise nil. The caller
// holds s.mu.
func (s *Shard) accessibleJob(a access) *job.Job {
	j := s.state.Job(a.id)
	switch {
	case j == nil:
		return nil
	case a.team != "" && j.Team == a.team, a.route.AuthExempt && j.Queue == a.route.Queue:
		return j
	}
	return nil
}

// isRecordedCall reports whether the request is an attempt at the call that had its job
// accepted or cancelled. Such a request must not be rejected, whatever the agreement now in
// force says about its route and key. Any other call about the same job is judged by that
// agreement. The caller holds s.mu.
func (s *Shard) isRecordedCall(r caller.Request) bool {
	j := s.state.Job(pathID(r.Path))
	if j == nil || r.Call == 0 {
		return false
	}
	switch r.Verb {
	case caller.Submit:
		return j.AcceptedBy == r.Call
	case caller.Cancel:
		return j.CancelledBy == r.Call
	}
	return false
}

// confirmRecordedCall answers an attempt at a call that had its effect, once that is durable.
// The caller holds s.mu, which confirmRecordedCall releases.
func (s *Shard) confirmRecordedCall(ctx context.Context, r caller.Request) caller.Response {
	id := pathID(r.Path)
	s.logConfirmation(r, id, "recordedCall")
	if r.Verb == caller.Cancel {
		return s.respondWhenDurable(ctx, nil, caller.Response{Status: caller.OK})
	}
	return s.awaitAcceptance(ctx, id, nil)
}

// durableAnswer answers from what is durable in the journal: that a job was accepted, or
// how it ended. Such an answer is true even if the store is unavailable or the lease has
// expired. It returns false if there is no such answer. The caller holds s.mu.
func (s *Shard) durableAnswer(r caller.Request, a access) (caller.Response, bool) {
	j := s.accessibleJob(a)
	if j == nil {
		return caller.Response{}, false
	}
	switch {
	case r.Verb == caller.Submit && j.Recorded, r.Verb == caller.Cancel && j.EndRecorded:
		s.logConfirmation(r, a.id, "allowed")
		return caller.Response{Status: caller.OK}, true
	case r.Verb == caller.Read && j.EndRecorded:
		return caller.Response{
			Status: caller.OK,
			State:  jobState(j),
		}, true
	}
	return caller.Response{}, false
}

// logConfirmation logs that a request is confirmed whose effect is there already. The grounds
// are "recordedCall" if this call had that effect, and otherwise "allowed": the agreement
// allows the request. The caller holds s.mu.
func (s *Shard) logConfirmation(r caller.Request, id, grounds string) {
	s.log.Info("requestConfirmed", "job", id, "verb", r.Verb, "call", r.Call, "grounds", grounds,
		"agreement", s.agreement.Version, "agreementAge", s.agreement.AsOf.Age(), "leaseRemaining", s.term.Remaining())
}

// reject answers a request that the agreement does not allow. The caller holds s.mu.
func (s *Shard) reject(r caller.Request, status caller.Status, reason responseReason) caller.Response {
	countSubmission(string(reason))
	s.log.Info("requestTurnedAway", "host", r.Host, "path", r.Path, "verb", r.Verb, "call", r.Call, "reason", reason,
		"agreement", s.agreement.Version, "agreementAge", s.agreement.AsOf.Age())
	return caller.Response{
		Status: status,
		Reason: string(reason),
	}
}

// countPending returns the number of the queue's open jobs that have not started.
func (s *Shard) countPending(queue string) int {
	n := 0
	for _, j := range s.state.OpenJobs() {
		if j.Queue == queue && !j.Started {
			n++
		}
	}
	return n
}

// submit answers a submission. The caller holds s.mu, which submit releases.
func (s *Shard) submit(ctx context.Context, r caller.Request, a access) caller.Response {
	id := a.id
	if s.accessibleJob(a) != nil {
		// A repeated submission gets the same answer as the first.
		s.logConfirmation(r, id, "allowed")
		return s.awaitAcceptance(ctx, id, nil)
	}
	if !s.LeaseValid() || s.journal.StalledFor() > storeStallLimit {
		s.mu.Unlock()
		return s.refuse(id, reasonStoreUnavailable)
	}
	problem := r.InvalidReason
	if s.state.Job(id) != nil {
		problem = "a job of another team has this id"
	}
	if problem == "" && !isValidID(id) {
		problem = "job id must have 16 hexadecimal digits"
	}
	if problem == "" && r.Submission == nil {
		problem = "the submission is empty"
	}
	if problem == "" {
		if err := r.Submission.Validate(); err != nil {
			problem = err.Error()
		}
	}
	if problem != "" {
		s.mu.Unlock()
		countSubmission(string(reasonInvalid))
		s.log.Info("jobRefused", "job", id, "reason", reasonInvalid, "problem", problem)
		return caller.Response{
			Status: caller.Invalid,
			Reason: problem,
		}
	}
	if endsTooSoon(ctx) {
		s.mu.Unlock()
		return s.refuse(id, reasonDeadline)
	}
	if s.overloaded(a.route.Queue) {
		s.mu.Unlock()
		return s.refuse(id, reasonOverloaded)
	}
	now := s.now()
	decision, overRate := s.admit(id, a.team, a.route.Queue, r.Submission, now)
	if !decision.Accepted {
		s.mu.Unlock()
		return s.refuseAdmission(id, a, decision)
	}
	s.log.Info("jobAccepted", "job", id, "call", r.Call, "team", a.team, "queue", a.route.Queue, "excess", overRate,
		"steps", len(r.Submission.Steps), "estimate", decision.EstimateMillis, "agreement", s.agreement.Version, "open", len(s.state.OpenJobs()))
	records := s.apply(nil, job.Record{
		Kind:       job.RecordAccept,
		Job:        id,
		Team:       a.team,
		Queue:      a.route.Queue,
		TimeMillis: now,
		Submission: r.Submission,
		OverRate:   overRate,
		Call:       r.Call,
	})
	s.requestPass()
	return s.awaitAcceptance(ctx, id, records)
}

// endsTooSoon reports whether ctx ends before the caller can learn that a submission is accepted. The
// owner decides this, not the entry: it knows whether an earlier attempt has been accepted.
func endsTooSoon(ctx context.Context) bool {
	deadline, ok := ctx.Deadline()
	return ok && time.Until(deadline) < minDecisionTime
}

// refuseAdmission answers a submission that admission has refused: nothing of it is recorded.
func (s *Shard) refuseAdmission(id string, a access, d admission.Decision) caller.Response {
	countSubmission(string(d.Reason))
	s.log.Info("jobRefused", "job", id, "reason", d.Reason, "team", a.team, "queue", a.route.Queue,
		"estimate", d.EstimateMillis, "retry", d.RetryMillis)
	return caller.Response{
		Status:      caller.Refused,
		Reason:      d.Reason.Text(),
		RetryMillis: d.RetryMillis,
	}
}

// refuse answers a submission that certainly has no effect and may be retried later.
func (s *Shard) refuse(id string, reason responseReason) caller.Response {
	countSubmission(string(reason))
	s.log.Info("jobRefused", "job", id, "reason", reason, "stalled", s.journal.StalledFor(), "leaseRemaining", s.term.Remaining())
	return refusal(reason)
}

// refuseRequest answers a request that is not decided, has no effect and may be retried
// later.
func (s *Shard) refuseRequest(r caller.Request, reason responseReason) caller.Response {
	if r.Verb == caller.Submit {
		return s.refuse(pathID(r.Path), reason)
	}
	countRefusedRequest(string(reason))
	s.log.Info("requestRefused", "path", r.Path, "verb", r.Verb, "call", r.Call, "reason", reason, "leaseRemaining", s.term.Remaining())
	return refusal(reason)
}

func refusal(reason responseReason) caller.Response {
	return caller.Response{
		Status:      caller.Refused,
		Reason:      string(reason),
		RetryMillis: minRetryMillis + rand.Int64N(minRetryMillis),
	}
}

// undecided returns why a request is not decided now, or an empty reason. The caller holds
// s.mu.
func (s *Shard) undecided(ctx context.Context) responseReason {
	switch {
	case ctx.Err() != nil:
		// The entry may have the answer to a later attempt at the call already.
		return reasonGivenUp
	case !s.mayDecide(store.Now()):
		return reasonAgreementUnknown
	}
	return ""
}

// refuseUndecided answers a request that is not decided now. A submission of a job that
// exists must not be refused, since the job runs. The caller holds s.mu.
func (s *Shard) refuseUndecided(r caller.Request, reason responseReason) caller.Response {
	id := pathID(r.Path)
	if r.Verb == caller.Submit && s.state.Job(id) != nil {
		return s.answerUnconfirmed(id)
	}
	return s.refuseRequest(r, reason)
}

// awaitAcceptance appends the records to the journal, releases s.mu and answers a
// submission of the job, which must exist, once its acceptance is durable. If the store
// becomes unavailable or ctx or the term ends, it withdraws a submission that is still
// pending in the journal: after the term's end the next owner can be asked at once. The
// caller holds s.mu.
func (s *Shard) awaitAcceptance(ctx context.Context, id string, records []job.Record) caller.Response {
	j := s.state.Job(id)
	if j.Recorded {
		s.mu.Unlock()
		return caller.Response{Status: caller.OK}
	}
	durable := make(chan struct{})
	s.appendToJournal(records, func() {
		close(durable)
	})
	s.mu.Unlock()
	for {
		select {
		case <-durable:
			s.mu.Lock()
			defer s.mu.Unlock()
			if s.state.Job(id) != j {
				return s.refuse(id, reasonStoreUnavailable) // withdrawn by another call, and perhaps submitted again
			}
			countSubmission("accepted")
			return caller.Response{Status: caller.OK}
		case <-time.After(stallCheckInterval):
			if s.journal.StalledFor() > storeStallLimit && s.withdraw(id) {
				return s.refuse(id, reasonStoreUnavailable)
			}
		case <-ctx.Done():
			if s.withdraw(id) {
				return s.refuse(id, reasonStoreUnavailable)
			}
			return s.answerUnconfirmed(id)
		case <-s.term.Context().Done():
			if s.withdraw(id) {
				return caller.Response{Status: caller.NotOwner}
			}
			return s.answerUnconfirmed(id)
		}
	}
}

// answerUnconfirmed answers a submission that may or may not have been accepted.
func (s *Shard) answerUnconfirmed(id string) caller.Response {
	countSubmission(string(reasonUnconfirmed))
	s.log.Warn("jobUnconfirmed", "job", id, "stalled", s.journal.StalledFor(), "leaseRemaining", s.term.Remaining())
	return unconfirmedResponse()
}

func unconfirmedResponse() caller.Response {
	return caller.Response{
		Status: caller.Unknown,
		Reason: "the store has not confirmed the change in time",
	}
}

// withdraw removes a submission that is still pending in the journal, because it has not
// been sent or the store refused it, with all later records of its job. It reports
// whether the job no longer exists.
func (s *Shard) withdraw(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	found := false
	s.journal.Withdraw(func(r job.Record) bool {
		if r.Job != id {
			return false
		}
		found = found || r.Kind == job.RecordAccept
		return found
	})
	if found {
		s.state.Withdraw(id)
		s.log.Info("jobWithdrawn", "job", id, "stalled", s.journal.StalledFor())
	}
	return found || s.state.Job(id) == nil
}

// respondWhenDurable appends the records to the journal, releases s.mu and responds once
// these and all earlier records are durable. If ctx or the term of ownership ends first,
// the response is that the outcome is unknown. The caller holds s.mu.
func (s *Shard) respondWhenDurable(ctx context.Context, records []job.Record, response caller.Response) caller.Response {
	durable := make(chan struct{})
	s.appendToJournal(records, func() {
		close(durable)
	})
	s.mu.Unlock()
	select {
	case <-durable:
		return response
	case <-ctx.Done():
	case <-s.term.Context().Done():
	}
	return unconfirmedResponse()
}

// readJob answers a request for a job's state. The caller holds s.mu, which readJob
// releases.
func (s *Shard) readJob(ctx context.Context, r caller.Request, a access) caller.Response {
	j := s.accessibleJob(a)
	if j == nil {
		s.mu.Unlock()
		return s.denyJob(ctx, r)
	}
	response := caller.Response{
		Status: caller.OK,
		State:  jobState(j),
	}
	if j.Outcome == job.Open {
		s.mu.Unlock()
		return response
	}
	return s.respondEnded(ctx, response)
}

// respondEnded releases s.mu and returns the given response, that the job has ended, once
// the job's end is durable. If the store is unavailable or ctx ends first, it responds
// that the job is running, since the journal is not known to hold the job's end. If the
// term of ownership ends first, the status is caller.NotOwner. The caller holds s.mu.
func (s *Shard) respondEnded(ctx context.Context, ended caller.Response) caller.Response {
	durable := make(chan struct{})
	s.appendToJournal(nil, func() {
		close(durable)
	})
	s.mu.Unlock()
	for {
		select {
		case <-durable:
			return ended
		case <-time.After(stallCheckInterval):
			if s.journal.StalledFor() < storeStallLimit {
				continue
			}
		case <-ctx.Done():
		case <-s.term.Context().Done():
			return caller.Response{Status: caller.NotOwner}
		}
		return caller.Response{
			Status: caller.OK,
			State:  caller.Running,
		}
	}
}

// cancelJob cancels a job. The caller holds s.mu, which cancelJob releases.
func (s *Shard) cancelJob(ctx context.Context, r caller.Request, a access) caller.Response {
	j := s.accessibleJob(a)
	if j == nil {
		s.mu.Unlock()
		return s.denyJob(ctx, r)
	}
	var records []job.Record
	if j.Outcome == job.Open {
		records = s.finishJob(nil, j, job.Cancelled, r.Call)
	}
	return s.respondWhenDurable(ctx, records, caller.Response{Status: caller.OK})
}

// finishJob ends the job with the outcome and, unless that is job.Completed, stops the
// job's attempts. It returns records followed by that of the end, which has the caller's call
// that cancelled the job, or zero. The caller holds s.mu.
func (s *Shard) finishJob(records []job.Record, j *job.Job, outcome job.Outcome, call uint64) []job.Record {
	s.observeEnd(j, outcome)
	countJobEnd(j.Queue, outcome, time.Duration(s.now()-j.SubmittedMillis)*time.Millisecond)
	attributes := []any{"job", j.ID, "team", j.Team, "queue", j.Queue, "outcome", outcome, "ageMillis", s.now() - j.SubmittedMillis}
	if call != 0 {
		attributes = append(attributes, "call", call)
	}
	s.log.Info("jobEnded", attributes...)
	records = s.apply(records, job.Record{
		Kind:       job.RecordJobEnd,
		Job:        j.ID,
		Outcome:    outcome,
		TimeMillis: s.now(),
		Call:       call,
	})
	if outcome == job.Completed {
		return records
	}
	for _, step := range j.Steps {
		for n := range step.Tasks {
			if p := step.Tasks[n].Placement; p != nil {
				s.requestStop(p)
			}
		}
	}
	return records
}

func jobState(j *job.Job) caller.JobState {
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

// idLength is the length of a job's ID in bytes.
const idLength = 16

// pathID returns the ID at the end of a path to a job, for requests whose route, which says
// where the ID begins, may have been withdrawn.
func pathID(p string) string {
	return p[max(0, len(p)-idLength):]
}

// isValidID reports whether the id has the form of a job's id: 16 hexadecimal digits.
func isValidID(id string) bool {
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
