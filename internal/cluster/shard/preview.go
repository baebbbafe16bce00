package shard

import (
	"time"

	"github.com/citronbay/citronbay/internal/api/operator"
	"github.com/citronbay/citronbay/internal/cluster/caller"
	"github.com/citronbay/citronbay/internal/cluster/store"
	"github.com/citronbay/citronbay/internal/decide/admission"
	"github.com/citronbay/citronbay/internal/decide/job"
)

// maxPreviewCandidates is the maximum number of workers that a preview names for each step.
const maxPreviewCandidates = 20

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

// Preview returns where the submission would go now. It changes nothing: it plans on copies of the
// state and the workers, and asks neither the store nor the policy service nor workers. Preview.Owner
// is left to the node.
func (s *Shard) Preview(r PreviewRequest) PreviewResponse {
	if err := r.Submission.Validate(); err != nil {
		return PreviewResponse{
			Status: caller.Invalid,
			Reason: err.Error(),
		}
	}
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
