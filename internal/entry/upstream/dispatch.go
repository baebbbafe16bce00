package upstream

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/citronbay/citronbay/internal/api/caller"
	"github.com/citronbay/citronbay/internal/api/upstream"
)

// dispatch starts the request on its upstream and polls until the outcome is
// known or the deadline is near. Every call names the same task, which the
// upstream starts at most once. If retryable is true, the task provably never
// started or has stopped.
func (s *Shard) dispatch(ctx context.Context, r *run, request caller.Request, answer caller.Answer) (final caller.Answer, retryable bool) {
	start, ok := s.prepareRequestStart(r, request)
	if !ok {
		s.freeSlot(r)
		return notRunAnswer(answer, "the upstream took no new work any more before the start"), true
	}
	ctx, cancel := withStopMargin(ctx)
	defer cancel()
	attempt := dispatchedRequest{
		shard: s,
		run:   r,
		start: start,
	}
	for {
		response, outcome := attempt.poll(ctx)
		switch outcome {
		case outcomeEnded:
			s.freeSlot(r)
			final, _ := endedAnswer(response, answer)
			return final, false
		case outcomeNotStarted:
			s.freeSlot(r)
			return notRunAnswer(answer, response.Reason), true
		case outcomeLost:
			answer.Fate = caller.FateUnknown
			answer.Reason = "the task does not run on the upstream, and its result is not known"
			return answer, true
		case outcomeDeadline:
			return s.stopAfterDeadline(ctx, r, answer, attempt.uncertain), false
		}
	}
}

// withStopMargin returns a context that ends stopMargin before the deadline,
// which leaves time to stop the task.
func withStopMargin(ctx context.Context) (context.Context, context.CancelFunc) {
	if deadline, ok := ctx.Deadline(); ok {
		return context.WithDeadline(ctx, deadline.Add(-stopMargin))
	}
	return context.WithCancel(ctx)
}

// prepareRequestStart returns the call that starts the request under the current
// lease, and records in the run until when that call can take effect. It returns
// false if the lease may have ended or the upstream is leaving.
func (s *Shard) prepareRequestStart(r *run, request caller.Request) (upstream.StartRequest, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if !r.isCounted() || !r.link.leaseValid(now) || r.link.isLeaving() {
		return upstream.StartRequest{}, false
	}
	r.notAfter = r.link.clock.lowerBound(now) + startWindow.Milliseconds()
	return upstream.StartRequest{
		Epoch:         r.link.epoch,
		NotAfter:      r.notAfter,
		Task:          r.id,
		Team:          r.team,
		PriorityClass: r.priorityClass,
		Size:          r.size,
		Command:       request.Command,
		RunMillis:     request.RunMillis,
		Payload:       []byte(request.Payload),
		Wait:          true,
	}, true
}

// callOutcome is what one call about a dispatched task has shown.
type callOutcome int

const (
	// outcomeRetry means that another call is needed.
	outcomeRetry callOutcome = iota
	// outcomeEnded means that the task has completed or failed.
	outcomeEnded
	// outcomeNotStarted means that the task provably never started.
	outcomeNotStarted
	// outcomeLost means that the task has provably stopped, or never begun, and its
	// result is not known.
	outcomeLost
	// outcomeDeadline means that the context ended first.
	outcomeDeadline
)

// dispatchedRequest is the state of the calls about one request's task.
type dispatchedRequest struct {
	shard *Shard
	run   *run
	start upstream.StartRequest
	// uncertain is set once a start may have reached the upstream and was not
	// answered.
	uncertain bool
	// useResultCall is set if the next call asks for the result instead of
	// repeating the start.
	useResultCall bool
}

// poll sends the start or, with useResultCall, asks for the task's result. Both
// calls wait until the task has ended, for callTimeout at most.
func (d *dispatchedRequest) poll(ctx context.Context) (upstream.TaskResponse, callOutcome) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	stopWatching := cancelOnClose(d.run.lost, cancel)
	defer stopWatching()
	var response upstream.TaskResponse
	var err error
	if d.useResultCall {
		response, err = d.run.link.client.Result(callCtx, upstream.StopRequest{Task: d.run.id})
	} else {
		response, err = d.run.link.client.Start(callCtx, d.start)
	}
	if err == nil {
		return response, d.classifyResponse(response)
	}
	return d.classifyError(ctx, err)
}

func (d *dispatchedRequest) classifyResponse(response upstream.TaskResponse) callOutcome {
	switch response.State {
	case upstream.StateCompleted, upstream.StateFailed:
		return outcomeEnded
	case upstream.StateRefused:
		return outcomeNotStarted
	}
	// The upstream does not know the task, so the start may be sent again.
	d.useResultCall = false
	return outcomeRetry
}

// classifyError returns what a failed call shows. If another call is needed, it
// waits for pollInterval and makes that call one for the result.
func (d *dispatchedRequest) classifyError(ctx context.Context, err error) (upstream.TaskResponse, callOutcome) {
	reason := upstream.TaskResponse{Reason: err.Error()}
	select {
	case <-d.run.lost:
		return reason, outcomeLost
	default:
	}
	fenced := errors.Is(err, upstream.ErrFenced)
	switch {
	case errors.Is(err, upstream.ErrRefused) && !fenced:
		// The upstream looks up the task before it refuses a start, so a
		// refused task never began.
		return reason, outcomeNotStarted
	case !d.uncertain && (fenced || errors.Is(err, upstream.ErrNotSent)):
		return reason, outcomeNotStarted
	case ctx.Err() != nil:
		d.uncertain = true
		return reason, outcomeDeadline
	}
	d.uncertain = d.uncertain || !errors.Is(err, upstream.ErrNotSent)
	d.useResultCall = true
	sleep(ctx, pollInterval)
	return reason, outcomeRetry
}

// cancelOnClose calls cancel when the channel is closed, until the returned
// function is called.
func cancelOnClose(closed <-chan struct{}, cancel context.CancelFunc) func() {
	done := make(chan struct{})
	go func() {
		select {
		case <-closed:
			cancel()
		case <-done:
		}
	}()
	return func() { close(done) }
}

// stopAfterDeadline stops the task of a request whose deadline has come or which
// was cancelled. It returns the task's actual fate if the upstream reports within
// stopMargin that the task has ended or never started. Otherwise the fate is unknown,
// and the run stays counted until it has ended.
func (s *Shard) stopAfterDeadline(ctx context.Context, r *run, answer caller.Answer, uncertain bool) caller.Answer {
	s.mu.Lock()
	epoch, counted := r.link.epoch, r.isCounted()
	s.mu.Unlock()
	if !counted {
		answer.Fate = caller.FateUnknown
		answer.Reason = "the upstream has restarted or its task lease has expired"
		return answer
	}
	stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopMargin)
	defer cancel()
	response, err := r.link.client.Stop(stopCtx, upstream.StopRequest{
		Epoch: epoch,
		Task:  r.id,
	})
	if err == nil {
		if final, ok := endedAnswer(response, answer); ok {
			s.freeSlot(r)
			if final.Fate != caller.FateCompleted {
				final.Reason = "the deadline was reached or the request cancelled: " + final.Reason
			}
			return final
		}
	}
	go s.watchUntilEnded(r)
	answer.Fate = caller.FateUnknown
	answer.Reason = fmt.Sprintf("the deadline was reached or the request cancelled, and %s has not confirmed that its task ended (start uncertain: %t)", r.link.vm.Name, uncertain)
	return answer
}

// watchUntilEnded polls the task of a request until the upstream reports that it
// has ended, and then frees its slot and unit. It returns early if the run is no
// longer counted or the shard has stopped placing work.
func (s *Shard) watchUntilEnded(r *run) {
	for {
		select {
		case <-r.lost:
			return
		default:
		}
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		response, err := r.link.client.Result(ctx, upstream.StopRequest{Task: r.id})
		cancel()
		if err == nil && response.State != upstream.StateRunning && s.removeEndedRun(r, response.State) {
			return
		}
		s.mu.Lock()
		finished := r.link.runs[r.id] != r || s.placementStopped
		s.mu.Unlock()
		if finished {
			return
		}
		time.Sleep(pollInterval)
	}
}

// removeEndedRun stops counting a run for which the upstream has reported the
// given state. It leaves the run counted and returns false if the upstream does
// not know the task but may still receive its start in time.
func (s *Shard) removeEndedRun(r *run, state string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state == upstream.StateUnknown && r.link.clock.lowerBound(time.Now()) <= r.notAfter {
		return false
	}
	if s.removeRun(r) {
		s.placeWaiting()
	}
	return true
}
