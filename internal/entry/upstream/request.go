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
	// callTimeout bounds one call about a task. The call is then repeated on
	// another connection, since a silent connection says nothing about the
	// task.
	callTimeout = 2 * time.Second
	// stopMargin is the part of a request's deadline that is kept for stopping
	// a late task.
	stopMargin = 300 * time.Millisecond
	// maxPlacementAttempts bounds how often a request is placed.
	maxPlacementAttempts = 4
	// namedAnswerRetention is how long the answer to a request whose id the
	// caller gave is kept for retries.
	namedAnswerRetention = time.Minute
	// unnamedAnswerRetention is how long any other answer is kept for retries
	// by entries.
	unnamedAnswerRetention = 10 * time.Second
	// taskRetention is how long an upstream certainly remembers the tasks that
	// it ran. It is compared with the age of an intent that another entry may
	// have written, so the clocks of entries must differ by far less.
	taskRetention = 5 * time.Minute
	// pollInterval is the delay between two calls for the outcome of a task.
	pollInterval = 50 * time.Millisecond
)

// ServeRequest asks the owner to run a quick request for a team. WaitMillis
// bounds the time in milliseconds for which the request may wait for a slot; zero
// means until the deadline.
type ServeRequest struct {
	Request    caller.Request `json:"request"`
	Team       string         `json:"team"`
	WaitMillis int64          `json:"waitMillis"`
	// Named is set if the caller gave the request's id and may retry the
	// request.
	Named bool `json:"named"`
	// Retry is set if an earlier call was sent for the request and its answer
	// was lost, so that an earlier owner of the shard may have started it.
	Retry bool `json:"retry"`
}

// journaled reports whether the journal records the request before it is dispatched.
func (r ServeRequest) journaled() bool {
	return r.Request.AtMostOnce && r.Named
}

// waitingRequest is a request that waits for a slot.
type waitingRequest struct {
	request  caller.Request
	assigned chan *run
	rejected chan string
}

// sharedRequest is a request whose answer is shared with its retries. The
// channel done is closed once the answer is set.
type sharedRequest struct {
	done   chan struct{}
	answer caller.Answer
	cancel context.CancelFunc
}

// Serve runs a request, which must have an id, and returns the answer once its
// fate is known, or once the context ends. The fate is FateUnknown if the request
// may have run, under this owner or an earlier one, and its outcome is not known. Calls with the same team and id share
// the answer of the first one while that one is in progress. Once its request has
// completed or failed, they share it for another minute if the first call had Named
// set, and for 10 seconds otherwise.
func (s *Shard) Serve(ctx context.Context, request ServeRequest) caller.Answer {
	key := request.Team + "/" + request.Request.RequestID
	s.mu.Lock()
	if earlier, ok := s.sharedRequests[key]; ok {
		s.mu.Unlock()
		return awaitShared(ctx, earlier, request.Request.RequestID)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	shared := &sharedRequest{
		done:   make(chan struct{}),
		cancel: cancel,
	}
	s.sharedRequests[key] = shared
	s.mu.Unlock()

	answer := s.serveNew(ctx, request)

	s.mu.Lock()
	defer s.mu.Unlock()
	shared.answer = answer
	close(shared.done)
	switch answer.Fate {
	case caller.FateCompleted, caller.FateFailed:
		time.AfterFunc(answerRetention(request), func() { s.dropShared(key, shared) })
	default:
		delete(s.sharedRequests, key)
	}
	return answer
}

// QueryRequest returns what is known of a request; found is false if this owner
// knows nothing of it. If cancel is true, it cancels the request and waits for
// its fate until the context ends.
func (s *Shard) QueryRequest(ctx context.Context, team, id string, cancel bool) (answer caller.Answer, found bool) {
	s.mu.Lock()
	shared, ok := s.sharedRequests[team+"/"+id]
	s.mu.Unlock()
	if !ok {
		return answer, false
	}
	if cancel {
		shared.cancel()
		return awaitShared(ctx, shared, id), true
	}
	select {
	case <-shared.done:
		return shared.answer, true
	default:
		return caller.Answer{
			RequestID: id,
			Entry:     s.Entry,
			Reason:    "the request is in progress",
		}, true
	}
}

func answerRetention(request ServeRequest) time.Duration {
	if request.Named {
		return namedAnswerRetention
	}
	return unnamedAnswerRetention
}

// serveNew answers from a task that an earlier owner has started, or runs the
// request.
func (s *Shard) serveNew(ctx context.Context, request ServeRequest) caller.Answer {
	answer := caller.Answer{
		RequestID: request.Request.RequestID,
		Entry:     s.Entry,
	}
	if !request.Retry {
		return s.serveWithRetries(ctx, request, answer)
	}
	started, reason := s.findStarted(ctx, request)
	switch {
	case reason != "":
		return unplacedAnswer(answer, reason, true)
	case started != nil:
		return s.awaitStarted(ctx, started, answer)
	default:
		return s.serveWithRetries(ctx, request, answer)
	}
}

// findStarted looks for the request among the tasks that an earlier owner left running. It
// returns a reason if that is not known, because not all links are reconciled by the deadline
// or before this owner releases the shard.
func (s *Shard) findStarted(ctx context.Context, request ServeRequest) (started *run, reason string) {
	for {
		s.mu.Lock()
		reconciled := s.allReconciled()
		released := s.placementStopped
		started := s.findRun(request)
		s.mu.Unlock()
		if reconciled || started != nil {
			return started, ""
		}
		if released {
			return nil, reasonHandover
		}
		sleep(ctx, pollInterval)
		if ctx.Err() != nil {
			return nil, "an earlier owner may have started the request, and not all upstreams have answered"
		}
	}
}

// findRun returns a run of the request that is counted, or nil.
func (s *Shard) findRun(request ServeRequest) *run {
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

// awaitStarted polls a task that an earlier owner has started, until it has ended
// or the context ends, in which case the fate is unknown.
func (s *Shard) awaitStarted(ctx context.Context, r *run, answer caller.Answer) caller.Answer {
	answer.Upstream = r.link.vm.Name
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		response, err := r.link.client.Result(callCtx, upstream.StopRequest{Task: r.id})
		cancel()
		if err == nil {
			if final, ok := endedAnswer(response, answer); ok {
				return final
			}
		}
		sleep(ctx, pollInterval)
	}
	answer.Fate = caller.FateUnknown
	answer.Reason = "the request was started by an earlier owner and had not ended by the deadline"
	return answer
}

func (s *Shard) dropShared(key string, shared *sharedRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.sharedRequests[key] == shared {
		delete(s.sharedRequests, key)
	}
}

func awaitShared(ctx context.Context, shared *sharedRequest, id string) caller.Answer {
	select {
	case <-shared.done:
		return shared.answer
	case <-ctx.Done():
		return caller.Answer{
			RequestID: id,
			Fate:      caller.FateUnknown,
			Reason:    "the first attempt had not ended by the deadline",
		}
	}
}

// serveWithRetries places and runs the request, and does so again while its
// task provably does not run. A request that must run at most once is not
// repeated once it may have run. After a call whose answer was lost, an earlier
// owner may have run the request: only the journal can show that it did not.
func (s *Shard) serveWithRetries(ctx context.Context, request ServeRequest, answer caller.Answer) caller.Answer {
	mayHaveRun := request.Retry
	for range maxPlacementAttempts {
		r, reason := s.waitForSlot(ctx, request)
		if r == nil {
			return unplacedAnswer(answer, reason, mayHaveRun)
		}
		answer.Upstream = r.link.vm.Name
		final, retryable := s.runPlaced(ctx, r, request, answer)
		answer.Reason = final.Reason
		if final.Fate == caller.FateNotRun && !request.journaled() {
			final = unplacedAnswer(final, final.Reason, mayHaveRun)
		}
		mayHaveRun = mayHaveRun || final.Fate != caller.FateNotRun
		if !retryable || (request.Request.AtMostOnce && mayHaveRun) {
			return final
		}
	}
	return unplacedAnswer(answer, "no attempt completed: "+answer.Reason, mayHaveRun)
}

// unplacedAnswer returns the answer to a request that has no slot: it was not
// run, unless an earlier attempt may have run.
func unplacedAnswer(answer caller.Answer, reason string, mayHaveRun bool) caller.Answer {
	if !mayHaveRun {
		return notRunAnswer(answer, reason)
	}
	answer.Fate = caller.FateUnknown
	answer.Reason = "an earlier attempt may have run, and then: " + reason
	return answer
}

func notRunAnswer(answer caller.Answer, reason string) caller.Answer {
	answer.Fate = caller.FateNotRun
	answer.Reason = reason
	return answer
}

// waitForSlot waits for a slot, for request.WaitMillis at most if that is set. If
// none is assigned, it returns the reason instead of a run.
func (s *Shard) waitForSlot(ctx context.Context, request ServeRequest) (*run, string) {
	waiting := &waitingRequest{
		request:  request.Request,
		assigned: make(chan *run, 1),
		rejected: make(chan string, 1),
	}
	item := task.Item[*waitingRequest]{
		ID:            uuid.NewString(),
		Team:          request.Team,
		PriorityClass: request.Request.Urgency.PriorityClass(),
		Value:         waiting,
	}
	if reason := s.enqueueRequest(item); reason != "" {
		return nil, reason
	}
	var timeout <-chan time.Time
	if request.WaitMillis > 0 {
		timer := time.NewTimer(time.Duration(request.WaitMillis) * time.Millisecond)
		defer timer.Stop()
		timeout = timer.C
	}
	reason := ""
	select {
	case r := <-waiting.assigned:
		return r, ""
	case reason = <-waiting.rejected:
	case <-ctx.Done():
		reason = "no slot was free before the deadline or the cancellation"
	case <-timeout:
		reason = ReasonBusy
	}
	s.mu.Lock()
	s.requestQueue.Remove(item.ID)
	s.mu.Unlock()
	// A slot may have been assigned before the item was removed.
	select {
	case r := <-waiting.assigned:
		s.freeSlot(r)
	default:
	}
	return nil, reason
}

// reasonHandover is the reason with which an owner that is being replaced
// rejects work. The router of package shard looks for "hands over" in it.
const reasonHandover = "the entry hands over its upstreams"

// ReasonBusy is the reason given when no slot was free within the requested
// wait, so that another shard may be tried.
const ReasonBusy = "no slot was free in time"

// enqueueRequest queues the request or returns the reason for which it is
// rejected. If the queue is full, a less urgent request is shed to make room, and
// if there is none, this one is rejected.
func (s *Shard) enqueueRequest(item task.Item[*waitingRequest]) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.placementStopped {
		return reasonHandover
	}
	preset := s.Registry.Preset()
	if item.PriorityClass == caller.Low.PriorityClass() && !preset.AdmitLow {
		return "the preset in force admits no work of low urgency"
	}
	if s.requestQueue.Len() >= preset.MaxQueue {
		shed, ok := s.requestQueue.LeastUrgent(item.PriorityClass)
		if !ok {
			return "the queue is full"
		}
		s.requestQueue.Remove(shed.ID)
		shed.Value.rejected <- "shed for more urgent work"
	}
	s.requestQueue.Push(item, false)
	s.placeWaiting()
	return ""
}

// freeSlot frees the slot of a request that has ended or was not dispatched.
func (s *Shard) freeSlot(r *run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.removeRun(r) {
		s.placeWaiting()
	}
}

// placeRequest places one waiting request if its team may run one more, and
// reports whether it did.
func (s *Shard) placeRequest(item task.Item[*waitingRequest]) bool {
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
		id:            requestPrefix(item.Value.request.RequestID) + item.ID,
		team:          item.Team,
		priorityClass: item.PriorityClass,
		size:          demand.Size,
		link:          s.links[name],
		lost:          make(chan struct{}),
	}
	s.addPlacedRun(r)
	item.Value.assigned <- r
	return true
}

func (s *Shard) rejectWaitingRequests(reason string) {
	all := func(task.Item[*waitingRequest]) bool { return true }
	for {
		item, ok := s.requestQueue.Next(func(string) float64 { return 0 }, all)
		if !ok {
			return
		}
		item.Value.rejected <- reason
	}
}
