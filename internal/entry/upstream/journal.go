package upstream

import (
	"context"
	"time"

	"github.com/citronbay/citronbay/internal/api/caller"
	"github.com/citronbay/citronbay/internal/api/upstream"
	"github.com/citronbay/citronbay/internal/entry/platform"
)

// runPlaced runs a request on the slot assigned to it. If the request must run at
// most once and may be retried by its caller, the journal records it first, and a
// retry is answered from there. If retryable is true, the request's task provably
// never started or has stopped without an answer.
func (s *Shard) runPlaced(ctx context.Context, r *run, request ServeRequest, answer caller.Answer) (final caller.Answer, retryable bool) {
	if !request.journaled() {
		return s.dispatch(ctx, r, request.Request, answer)
	}
	handle, earlier, err := s.recordIntent(ctx, r, request, answer)
	if err != nil {
		s.freeSlot(r)
		s.Log.Warn("journal failed", "step", "begin", "error", err)
		return unplacedAnswer(answer, "the journal cannot be written, so the request cannot be guaranteed to run at most once", request.Retry), false
	}
	if handle == nil {
		s.freeSlot(r)
		return earlier, false
	}
	// The request is not dispatched again under this intent, since a retry
	// that reads the intent relies on the upstream and the task that it names.
	final, _ = s.dispatch(ctx, r, request.Request, answer)
	go s.recordFate(context.WithoutCancel(ctx), handle, final)
	return final, false
}

// recordIntent records the intent to dispatch a request that must run at most
// once. It replaces the intent of an earlier attempt that provably never ran. A
// nil handle without an error means that another attempt was dispatched and may
// have run; the answer then tells what is known of it.
func (s *Shard) recordIntent(ctx context.Context, r *run, request ServeRequest, answer caller.Answer) (*platform.DispatchHandle, caller.Answer, error) {
	s.mu.Lock()
	intent := platform.Intent{
		Task:        r.id,
		Upstream:    r.link.vm.Name,
		Incarnation: r.link.incarnation,
		Epoch:       r.link.epoch,
		Entry:       s.Entry,
	}
	s.mu.Unlock()
	beginCtx, cancel := context.WithTimeout(ctx, s.timings.StoreTimeout)
	defer cancel()
	handle, earlier, err := s.journal.Begin(beginCtx, request.Team, request.Request.RequestID, intent)
	if err != nil || earlier == nil {
		return handle, answer, err
	}
	outcome := s.earlierAnswer(ctx, earlier, answer)
	if outcome.Fate != caller.FateNotRun {
		return nil, outcome, nil
	}
	handle, later, err := s.journal.Replace(beginCtx, request.Team, request.Request.RequestID, intent, earlier)
	if err != nil || later == nil {
		return handle, answer, err
	}
	return nil, s.earlierAnswer(ctx, later, answer), nil
}

// recordFate records the answer in the journal. After a failed write, a retry is
// answered from what the upstream reports.
func (s *Shard) recordFate(ctx context.Context, handle *platform.DispatchHandle, answer caller.Answer) {
	ctx, cancel := context.WithTimeout(ctx, s.timings.StoreTimeout)
	defer cancel()
	if err := s.journal.End(ctx, handle, answer); err != nil {
		s.Log.Warn("journal failed", "step", "end", "error", err)
	}
}

// earlierAnswer answers a retry from the intent of an earlier attempt: with
// the recorded fate, or else with what the upstream reports of the task. The fate
// is FateNotRun only if the task never started and cannot start any more.
func (s *Shard) earlierAnswer(ctx context.Context, earlier *platform.RecordedIntent, answer caller.Answer) caller.Answer {
	if earlier.Answer.Fate != caller.FateInProgress {
		return earlier.Answer
	}
	answer.Upstream = earlier.Upstream
	answer.Fate = caller.FateUnknown
	answer.Reason = "an earlier attempt was dispatched and its outcome is not known"
	s.mu.Lock()
	l, ok := s.links[earlier.Upstream]
	startFenced := ok && l.leaseValid(time.Now()) && l.incarnation == earlier.Incarnation && l.epoch > earlier.Epoch
	s.mu.Unlock()
	if !ok {
		return answer
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	response, err := l.client.Result(callCtx, upstream.StopRequest{Task: earlier.Task})
	if err != nil || response.Incarnation != earlier.Incarnation {
		// An upstream that has restarted knows nothing of the earlier attempt.
		return answer
	}
	if final, ok := endedAnswer(response, answer); ok {
		return final
	}
	if response.State == upstream.StateUnknown && startFenced && time.Since(earlier.Begun) < taskRetention {
		// The upstream does not know the task, and would refuse a late start
		// of it, which carries an outdated epoch.
		return notRunAnswer(answer, "an earlier attempt never reached its upstream")
	}
	return answer
}

// endedAnswer translates the state of a task that has ended, or was stopped
// before it started, into an answer. It returns false for other states.
func endedAnswer(response upstream.TaskResponse, answer caller.Answer) (caller.Answer, bool) {
	answer.Reason = response.Reason
	switch response.State {
	case upstream.StateCompleted:
		answer.Fate = caller.FateCompleted
		answer.Answer = response.Result
	case upstream.StateFailed:
		answer.Fate = caller.FateFailed
	case upstream.StateRefused:
		answer.Fate = caller.FateNotRun
	default:
		return answer, false
	}
	return answer, true
}
