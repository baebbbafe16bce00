package upstream

import (
	"context"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/citronbay/citronbay/internal/api/caller"
	"github.com/citronbay/citronbay/internal/api/upstream"
	"github.com/citronbay/citronbay/internal/decide/task"
	"github.com/citronbay/citronbay/internal/decide/worker"
)

const (
	// askTimeout is how long one call for an answer may take before it is
	// repeated on another connection, since a silent one tells nothing.
	askTimeout = 2 * time.Second
	// stopTime is kept of a request's deadline to stop a task that is late.
	stopTime = 300 * time.Millisecond
	// maxAttempts bounds how often a request is placed.
	maxAttempts = 4
	// namedKept is how long the answer of a request that its caller has named
	// is kept for retries.
	namedKept = time.Minute
	// unnamedKept is how long any other answer is kept for retries by entries.
	unnamedKept = 10 * time.Second
	// remembered is how long an upstream surely knows the tasks that it ran; the
	// clocks of entries must agree far better than that.
	remembered = 5 * time.Minute
	// askPause is the wait between two calls for an answer.
	askPause = 50 * time.Millisecond
)

// ServeRequest asks the owner to run a quick request for a team. WaitMillis
// bounds the time that it may wait for a slot; zero leaves it to the deadline.
type ServeRequest struct {
	Request    caller.Request `json:"request"`
	Team       string         `json:"team"`
	WaitMillis int64          `json:"waitMillis"`
	// Named tells that the caller gave the request's id and may retry it.
	Named bool `json:"named"`
	// Retry tells that an earlier owner of the shard may have begun it.
	Retry bool `json:"retry"`
}

// ticket is a request that waits for a slot.
type ticket struct {
	request  caller.Request
	assigned chan *run
	refused  chan string
}

// outcome is the answer of a named request, for its retries to join.
type outcome struct {
	done   chan struct{}
	answer caller.Answer
	cancel context.CancelFunc
}

// Serve runs a request, which must have an id, to its end and returns its fate.
// Later calls for the same request join the first one.
func (s *Shard) Serve(ctx context.Context, request ServeRequest) caller.Answer {
	key := request.Team + "/" + request.Request.RequestID
	s.mu.Lock()
	if earlier, ok := s.joined[key]; ok {
		s.mu.Unlock()
		return join(ctx, earlier, request.Request.RequestID)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	mine := &outcome{
		done:   make(chan struct{}),
		cancel: cancel,
	}
	s.joined[key] = mine
	s.mu.Unlock()

	answer := s.serveFirst(ctx, request)

	s.mu.Lock()
	defer s.mu.Unlock()
	mine.answer = answer
	close(mine.done)
	switch answer.Fate {
	case caller.FateCompleted, caller.FateFailed:
		time.AfterFunc(keptFor(request), func() { s.dropOutcome(key, mine) })
	default:
		delete(s.joined, key)
	}
	return answer
}

// AskRequest tells what is known of a named request, and cancels it if asked; it
// waits for the fate of a request that it cancels. Found is false when this owner
// knows nothing of it.
func (s *Shard) AskRequest(ctx context.Context, team, id string, cancel bool) (answer caller.Answer, found bool) {
	s.mu.Lock()
	known, ok := s.joined[team+"/"+id]
	s.mu.Unlock()
	if !ok {
		return answer, false
	}
	if cancel {
		known.cancel()
		return join(ctx, known, id), true
	}
	select {
	case <-known.done:
		return known.answer, true
	default:
		return caller.Answer{
			RequestID: id,
			Entry:     s.Entry,
			Reason:    "it is in progress",
		}, true
	}
}

func keptFor(request ServeRequest) time.Duration {
	if request.Named {
		return namedKept
	}
	return unnamedKept
}

// serveFirst answers from a task that an earlier owner has begun, or runs one.
func (s *Shard) serveFirst(ctx context.Context, request ServeRequest) caller.Answer {
	answer := caller.Answer{
		RequestID: request.Request.RequestID,
		Entry:     s.Entry,
	}
	if !request.Retry {
		return s.serveOnce(ctx, request, answer)
	}
	begun, known := s.findBegun(ctx, request)
	switch {
	case !known:
		return unplaced(answer, "an earlier owner may have begun it, and not all upstreams have answered", true)
	case begun != nil:
		return s.awaitBegun(ctx, begun, answer)
	default:
		return s.serveOnce(ctx, request, answer)
	}
}

// findBegun looks for the request among what an earlier owner has left running;
// known is false if not all upstreams have told by the deadline.
func (s *Shard) findBegun(ctx context.Context, request ServeRequest) (begun *run, known bool) {
	for {
		s.mu.Lock()
		settled := s.allSettled()
		begun := s.runOf(request)
		s.mu.Unlock()
		if settled || begun != nil {
			return begun, true
		}
		sleep(ctx, askPause)
		if ctx.Err() != nil {
			return nil, false
		}
	}
}

func (s *Shard) runOf(request ServeRequest) *run {
	prefix := requestPrefix(request.Request.RequestID)
	for _, l := range s.links {
		for _, r := range l.runs {
			if r.team == request.Team && strings.HasPrefix(r.id, prefix) {
				return r
			}
		}
	}
	return nil
}

func requestPrefix(id string) string {
	return "request/" + id + "/"
}

// awaitBegun asks for the end of a task that an earlier owner has begun.
func (s *Shard) awaitBegun(ctx context.Context, r *run, answer caller.Answer) caller.Answer {
	answer.Upstream = r.link.vm.Name
	for ctx.Err() == nil {
		askCtx, cancel := context.WithTimeout(ctx, askTimeout)
		response, err := r.link.client.Result(askCtx, upstream.StopRequest{Task: r.id})
		cancel()
		if err == nil {
			if done, ok := ended(response, answer); ok {
				return done
			}
		}
		sleep(ctx, askPause)
	}
	answer.Fate = caller.FateUnknown
	answer.Reason = "it was begun by an earlier owner and has not ended by the deadline"
	return answer
}

func (s *Shard) dropOutcome(key string, old *outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.joined[key] == old {
		delete(s.joined, key)
	}
}

func join(ctx context.Context, earlier *outcome, id string) caller.Answer {
	select {
	case <-earlier.done:
		return earlier.answer
	case <-ctx.Done():
		return caller.Answer{
			RequestID: id,
			Fate:      caller.FateUnknown,
			Reason:    "the first attempt has not ended by the deadline",
		}
	}
}

func (s *Shard) serveOnce(ctx context.Context, request ServeRequest, answer caller.Answer) caller.Answer {
	mayHaveRun := false
	for range maxAttempts {
		r, reason := s.place(ctx, request)
		if r == nil {
			return unplaced(answer, reason, mayHaveRun)
		}
		answer.Upstream = r.link.vm.Name
		done, again := s.runOnce(ctx, r, request, answer)
		mayHaveRun = mayHaveRun || done.Fate != caller.FateNotRun
		if !again || (request.Request.AtMostOnce && mayHaveRun) {
			return done
		}
		answer.Reason = done.Reason
	}
	return unplaced(answer, "no upstream took it: "+answer.Reason, mayHaveRun)
}

// unplaced answers a request that has no slot: it was not run, unless an
// earlier attempt of it may have.
func unplaced(answer caller.Answer, reason string, mayHaveRun bool) caller.Answer {
	if !mayHaveRun {
		return refused(answer, reason)
	}
	answer.Fate = caller.FateUnknown
	answer.Reason = "an attempt was stopped before its end, and then: " + reason
	return answer
}

func refused(answer caller.Answer, reason string) caller.Answer {
	answer.Fate = caller.FateNotRun
	answer.Reason = reason
	return answer
}

// place waits for a slot; without one it returns the reason.
func (s *Shard) place(ctx context.Context, request ServeRequest) (*run, string) {
	t := &ticket{
		request:  request.Request,
		assigned: make(chan *run, 1),
		refused:  make(chan string, 1),
	}
	item := task.Item[*ticket]{
		ID:    uuid.NewString(),
		Team:  request.Team,
		Band:  request.Request.Urgency.Band(),
		Value: t,
	}
	if reason := s.enqueue(item); reason != "" {
		return nil, reason
	}
	var patience <-chan time.Time
	if request.WaitMillis > 0 {
		timer := time.NewTimer(time.Duration(request.WaitMillis) * time.Millisecond)
		defer timer.Stop()
		patience = timer.C
	}
	reason := ""
	select {
	case r := <-t.assigned:
		return r, ""
	case reason = <-t.refused:
	case <-ctx.Done():
		reason = "no slot was free before the deadline, or before it was cancelled"
	case <-patience:
		reason = ReasonBusy
	}
	s.mu.Lock()
	s.requests.Remove(item.ID)
	s.mu.Unlock()
	select {
	case r := <-t.assigned:
		s.abandon(r)
	default:
	}
	return nil, reason
}

// handsOver is the reason with which an owner that is being replaced refuses.
const handsOver = "the entry hands over its upstreams"

// ReasonBusy says that no slot was free within the wait asked for, so that
// another shard may be tried.
const ReasonBusy = "no slot was free in time"

// enqueue lets the request wait, or returns why it may not.
func (s *Shard) enqueue(item task.Item[*ticket]) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.released {
		return handsOver
	}
	preset := s.Registry.Preset()
	if item.Band == caller.Low.Band() && !preset.AdmitLow {
		return "the preset in force admits no work of low urgency"
	}
	if s.requests.Len() >= preset.MaxQueue {
		shed, ok := s.requests.LeastUrgent(item.Band)
		if !ok {
			return "the queue is full"
		}
		s.requests.Remove(shed.ID)
		shed.Value.refused <- "shed for more urgent work"
	}
	s.requests.Push(item, false)
	s.pump()
	return ""
}

// abandon gives back the slot of a request that was never dispatched.
func (s *Shard) abandon(r *run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.vacate(r) {
		s.pump()
	}
}

// takeRequest places one waiting request, if its team may run one more.
func (s *Shard) takeRequest(item task.Item[*ticket]) bool {
	if s.ledger.Room(item.Team) <= 0 {
		return false
	}
	demand := worker.Demand{
		Size:    upstream.Resources{Slots: 1},
		Service: item.Value.request.Service,
	}
	name, ok := s.runners.Place(demand)
	if !ok {
		return false
	}
	r := &run{
		id:   requestPrefix(item.Value.request.RequestID) + item.ID,
		team: item.Team,
		band: item.Band,
		size: demand.Size,
		link: s.links[name],
		gone: make(chan struct{}),
	}
	s.placed(r)
	item.Value.assigned <- r
	return true
}

func (s *Shard) refuseWaiting(reason string) {
	all := func(task.Item[*ticket]) bool { return true }
	for {
		item, ok := s.requests.Next(func(string) float64 { return 0 }, all)
		if !ok {
			return
		}
		item.Value.refused <- reason
	}
}
