package shard

import (
	"context"
	"time"

	"github.com/citronbay/citronbay/internal/api/operator"
	"github.com/citronbay/citronbay/internal/cluster/caller"
	"github.com/citronbay/citronbay/internal/cluster/store"
	"github.com/citronbay/citronbay/internal/decide/admission"
	"github.com/citronbay/citronbay/internal/decide/job"
)

const (
	// maxPreviewCandidates is the maximum number of workers that a preview names for each step.
	maxPreviewCandidates = 20
	// previewWait is for how long a preview waits for those before it: nodes that pass one on to the
	// owner wait little longer for the answer.
	previewWait = time.Second
	// The pause after a preview is previewPauseFactor times as long as the preview, but no longer than
	// maxPreviewPause. It bounds previews, which hold the lock like planning passes, to 1/21 of the
	// time, however many operators ask.
	previewPauseFactor = 20
	maxPreviewPause    = previewWait / 2
)

// PreviewRequest asks where a submission would go now, without sending it.
type PreviewRequest struct {
	// Host and Path are those of the caller's request.
	Host string
	Path string
	// Team is the name of the caller's team; empty for a caller without a key.
	Team       string
	Submission *job.Submission
}

// PreviewResponse is the answer. Unless the status is caller.OK, only the reason is set besides.
type PreviewResponse struct {
	Status  caller.Status
	Reason  string
	Preview operator.Preview
}

// Preview returns where the submission would go now. It changes nothing: it plans on a copy of the
// state, and asks neither the store nor the policy service nor workers. Preview.Owner is left to the
// node. Previews take turns; the status is caller.Refused if it is not this one's turn within
// previewWait, or before the context ends.
func (s *Shard) Preview(ctx context.Context, r PreviewRequest) PreviewResponse {
	if err := r.Submission.Validate(); err != nil {
		return PreviewResponse{
			Status: caller.Invalid,
			Reason: err.Error(),
		}
	}
	if !s.beginPreview(ctx) {
		return PreviewResponse{
			Status: caller.Refused,
			Reason: "the owner answers other operators who ask where requests would go; ask again later",
		}
	}
	defer s.endPreview(time.Now())
	s.mu.Lock()
	route, id, ok := s.agreement.Resolve(r.Host, r.Path)
	_, knownTeam := s.agreement.Rules.Teams[r.Team]
	queue, knownQueue := s.agreement.Rules.Queues[route.Queue]
	s.mu.Unlock()
	switch {
	case !ok || !knownQueue:
		return PreviewResponse{
			Status: caller.NoQueue,
			Reason: "the agreement in force has no such route",
		}
	case r.Team != "" && !knownTeam:
		return PreviewResponse{
			Status: caller.BadKey,
			Reason: "the agreement in force has no such team",
		}
	}
	decision := s.wouldAdmit(r.Team, queue.Name, r.Submission)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	preview := operator.Preview{
		AgreementVersion:  s.agreement.Version,
		Queue:             queue.Name,
		Team:              r.Team,
		KnownJob:          id != "" && s.state.Job(id) != nil,
		OverRate:          s.isOverRate(r.Team, false, now),
		Accepted:          decision.Accepted,
		Reason:            string(decision.Reason),
		EstimateMillis:    decision.EstimateMillis,
		RetryAfterSeconds: (decision.RetryMillis + 999) / 1000,
	}
	steps, err := job.Preview(s.state, s.agreement.Rules, s.plannerWorkers(), job.Trial{
		Team:       r.Team,
		Queue:      queue.Name,
		Submission: r.Submission,
		OverRate:   preview.OverRate,
	}, now, s.previewPlanner)
	if err != nil {
		return PreviewResponse{
			Status: caller.Invalid,
			Reason: err.Error(),
		}
	}
	for n, step := range steps {
		preview.Steps = append(preview.Steps, previewStep(step, r.Submission.Steps[n].Count))
	}
	return PreviewResponse{
		Status:  caller.OK,
		Preview: preview,
	}
}

// beginPreview waits for the preview's turn, and reports whether it has come.
func (s *Shard) beginPreview(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, previewWait)
	defer cancel()
	select {
	case s.previews <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// endPreview lets the next preview begin after a pause.
func (s *Shard) endPreview(start time.Time) {
	time.AfterFunc(pauseAfterPreview(time.Since(start)), func() {
		<-s.previews
	})
}

// pauseAfterPreview returns the pause after a preview of the given duration.
func pauseAfterPreview(took time.Duration) time.Duration {
	return min(previewPauseFactor*took, maxPreviewPause)
}

// wouldAdmit returns what would be decided about the submission.
func (s *Shard) wouldAdmit(team, queue string, submission *job.Submission) admission.Decision {
	s.mu.Lock()
	refusal := responseReason("")
	switch {
	case !s.mayDecide(store.Now()):
		refusal = reasonAgreementUnknown
	case !s.LeaseValid() || s.journal.StalledFor() > storeStallLimit:
		refusal = reasonStoreUnavailable
	case s.overloaded(queue):
		refusal = reasonOverloaded
	}
	s.mu.Unlock()
	if refusal != "" {
		return admission.Decision{
			Reason:      admission.Reason(refusal),
			RetryMillis: minRetryMillis,
		}
	}
	return s.WouldAdmit(team, queue, submission)
}

// previewPlanner gives the planner of a preview, over a copy of the state, what a planning pass gives
// its own. The caller holds s.mu.
func (s *Shard) previewPlanner(state *job.State, planner *job.Planner) *job.Planner {
	planner = planner.WithCommitMillis(s.journal.CommitLatency().Milliseconds())
	if s.interference != nil {
		if preference := s.interference.model.Preference(state); preference != nil {
			planner = planner.WithPreference(preference.Cost)
		}
	}
	if s.options.Link.IsSmall() {
		credit := s.credit.grow(time.Now(), s.startsPerSecond())
		planner = planner.WithStartBudget(credit.bytes, startCost)
	}
	return planner
}

func previewStep(step job.StepPreview, tasks int) operator.PreviewStep {
	p := operator.PreviewStep{
		Tasks:          tasks,
		Starts:         step.Starts,
		Ahead:          step.Ahead,
		WaitCause:      string(step.Cause),
		WaitReason:     step.Reason,
		CandidateCount: len(step.Candidates),
		Excluded:       map[string]int{},
	}
	for cause, count := range step.Excluded {
		p.Excluded[string(cause)] = count
	}
	for n, c := range step.Candidates {
		if n >= maxPreviewCandidates && c.Starts == 0 {
			continue
		}
		p.Candidates = append(p.Candidates, operator.PreviewCandidate{
			Worker:         c.Worker.ID,
			Rack:           c.Worker.Rack,
			FreeMilliCores: c.FreeMilliCores,
			Cost:           c.Cost,
			Fits:           c.Fits,
			Starts:         c.Starts,
		})
	}
	return p
}
