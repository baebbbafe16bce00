package upstream

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/citronbay/citronbay/internal/api/caller"
	"github.com/citronbay/citronbay/internal/api/upstream"
)

// dispatch starts the request on its upstream and asks until its end is known
// or the deadline comes. Every call names the same task, which the upstream
// starts at most once. With again set, the task has provably stopped there.
func (s *Shard) dispatch(ctx context.Context, r *run, request caller.Request, answer caller.Answer) (done caller.Answer, again bool) {
	start, ok := s.startOf(r, request)
	if !ok {
		s.abandon(r)
		return refused(answer, "the lease was lost before the start"), true
	}
	ctx, cancel := beforeDeadline(ctx)
	defer cancel()
	a := asking{
		shard: s,
		run:   r,
		start: start,
	}
	for {
		response, step := a.ask(ctx)
		switch step {
		case stepEnded:
			s.abandon(r)
			done, _ := ended(response, answer)
			return done, false
		case stepNotStarted:
			s.abandon(r)
			return refused(answer, response.Reason), true
		case stepGone:
			answer.Fate = caller.FateUnknown
			answer.Reason = "the upstream's lease lapsed while it ran"
			return answer, true
		case stepDeadline:
			return s.stopLate(ctx, r, answer, a.uncertain), false
		}
	}
}

func beforeDeadline(ctx context.Context) (context.Context, context.CancelFunc) {
	if deadline, ok := ctx.Deadline(); ok {
		return context.WithDeadline(ctx, deadline.Add(-stopTime))
	}
	return context.WithCancel(ctx)
}

// startOf returns the start of a request under the lease held now.
func (s *Shard) startOf(r *run, request caller.Request) (upstream.StartRequest, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if !r.link.holds(now) {
		return upstream.StartRequest{}, false
	}
	r.notAfter = r.link.clock.atLeast(now) + startWindow.Milliseconds()
	return upstream.StartRequest{
		Epoch:     r.link.epoch,
		NotAfter:  r.notAfter,
		Task:      r.id,
		Team:      r.team,
		Band:      r.band,
		Size:      r.size,
		Command:   request.Command,
		RunMillis: request.RunMillis,
		Payload:   []byte(request.Payload),
		Wait:      true,
	}, true
}

// step is what one call for an answer has told.
type step int

const (
	stepAgain step = iota
	stepEnded
	stepNotStarted
	stepGone
	stepDeadline
)

// asking follows one dispatched request. Uncertain is set once a start may have
// reached the upstream without an answer.
type asking struct {
	shard     *Shard
	run       *run
	start     upstream.StartRequest
	uncertain bool
	byResult  bool
}

func (a *asking) ask(ctx context.Context) (upstream.TaskResponse, step) {
	askCtx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	stopGone := cancelWhen(a.run.gone, cancel)
	defer stopGone()
	var response upstream.TaskResponse
	var err error
	if a.byResult {
		response, err = a.run.link.client.Result(askCtx, upstream.StopRequest{Task: a.run.id})
	} else {
		response, err = a.run.link.client.Start(askCtx, a.start)
	}
	if err == nil {
		return response, a.judge(response)
	}
	return a.judgeError(ctx, err)
}

func (a *asking) judge(response upstream.TaskResponse) step {
	switch response.State {
	case upstream.StateCompleted, upstream.StateFailed:
		return stepEnded
	case upstream.StateRefused:
		return stepNotStarted
	}
	// The upstream does not know the task: the start may be sent again.
	a.byResult = false
	return stepAgain
}

func (a *asking) judgeError(ctx context.Context, err error) (upstream.TaskResponse, step) {
	reason := upstream.TaskResponse{Reason: err.Error()}
	select {
	case <-a.run.gone:
		return reason, stepGone
	default:
	}
	fenced := errors.Is(err, upstream.ErrFenced)
	switch {
	case errors.Is(err, upstream.ErrRefused) && !fenced:
		// The upstream looks for a known task first: it never began.
		return reason, stepNotStarted
	case !a.uncertain && (fenced || errors.Is(err, upstream.ErrNotSent)):
		return reason, stepNotStarted
	case ctx.Err() != nil:
		a.uncertain = true
		return reason, stepDeadline
	}
	a.uncertain = a.uncertain || !errors.Is(err, upstream.ErrNotSent)
	a.byResult = true
	sleep(ctx, askPause)
	return reason, stepAgain
}

// cancelWhen cancels when the channel closes; the function returned ends that.
func cancelWhen(closed <-chan struct{}, cancel context.CancelFunc) func() {
	over := make(chan struct{})
	go func() {
		select {
		case <-closed:
			cancel()
		case <-over:
		}
	}()
	return func() { close(over) }
}

// stopLate stops a task whose deadline has come and tells its true fate if the
// upstream still answers.
func (s *Shard) stopLate(ctx context.Context, r *run, answer caller.Answer, uncertain bool) caller.Answer {
	s.mu.Lock()
	epoch := r.link.epoch
	s.mu.Unlock()
	stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTime)
	defer cancel()
	response, err := r.link.client.Stop(stopCtx, upstream.StopRequest{
		Epoch: epoch,
		Task:  r.id,
	})
	if err == nil {
		if done, ok := ended(response, answer); ok {
			s.abandon(r)
			if done.Fate != caller.FateCompleted {
				done.Reason = "the deadline came or it was cancelled: " + done.Reason
			}
			return done
		}
	}
	go s.watchAdopted(r)
	answer.Fate = caller.FateUnknown
	answer.Reason = fmt.Sprintf("the deadline came or it was cancelled, and %s does not answer (start uncertain: %t)", r.link.vm.Name, uncertain)
	return answer
}

// watchAdopted follows a request whose caller is no longer here, until the
// upstream says that it ended, so that its slot and unit are free again.
func (s *Shard) watchAdopted(r *run) {
	for {
		select {
		case <-r.gone:
			return
		default:
		}
		ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
		response, err := r.link.client.Result(ctx, upstream.StopRequest{Task: r.id})
		cancel()
		if err == nil && response.State != upstream.StateRunning && s.endWatch(r, response.State) {
			return
		}
		s.mu.Lock()
		over := r.link.runs[r.id] != r || s.released
		s.mu.Unlock()
		if over {
			return
		}
		time.Sleep(askPause)
	}
}

// endWatch frees an ended run. An unknown task may still be on its way until
// the window of its start has passed.
func (s *Shard) endWatch(r *run, state string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state == upstream.StateUnknown && r.link.clock.atLeast(time.Now()) <= r.notAfter {
		return false
	}
	if s.vacate(r) {
		s.pump()
	}
	return true
}
