package upstream

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/citronbay/citronbay/internal/api/caller"
	"github.com/citronbay/citronbay/internal/api/upstream"
	"github.com/citronbay/citronbay/internal/decide/task"
	"github.com/citronbay/citronbay/internal/decide/worker"
	"github.com/citronbay/citronbay/internal/entry/platform"
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
	mine := &outcome{done: make(chan struct{})}
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

// runOnce runs a request on the slot that it has. With again set, it has
// provably stopped there, without an answer.
func (s *Shard) runOnce(ctx context.Context, r *run, request ServeRequest, answer caller.Answer) (done caller.Answer, again bool) {
	if !request.Request.AtMostOnce || !request.Named {
		return s.dispatch(ctx, r, request.Request, answer)
	}
	handle, earlier, err := s.begin(ctx, r, request, answer)
	if err != nil {
		s.abandon(r)
		s.Log.Warn("journal failed", "step", "begin", "error", err)
		return refused(answer, "the journal cannot be written, so that running at most once cannot be ensured"), false
	}
	if handle == nil {
		s.abandon(r)
		return earlier, false
	}
	// Nothing is dispatched a second time under this intent: a retry that reads
	// it must be able to rely on its upstream and task.
	done, _ = s.dispatch(ctx, r, request.Request, answer)
	go s.recordFate(context.WithoutCancel(ctx), handle, done)
	return done, false
}

// begin records the intent to dispatch a request that must run at most once.
// Without a handle, an earlier attempt was dispatched, and the answer tells what
// is known of it.
func (s *Shard) begin(ctx context.Context, r *run, request ServeRequest, answer caller.Answer) (*platform.Handle, caller.Answer, error) {
	s.mu.Lock()
	intent := platform.Intent{
		Task:     r.id,
		Upstream: r.link.vm.Name,
		Boot:     r.link.boot,
		Epoch:    r.link.epoch,
		Entry:    s.Entry,
	}
	s.mu.Unlock()
	beginCtx, cancel := context.WithTimeout(ctx, s.timings.StoreTimeout)
	defer cancel()
	handle, earlier, err := s.journal.Begin(beginCtx, request.Team, request.Request.RequestID, intent)
	if err != nil || earlier == nil {
		return handle, answer, err
	}
	found := s.earlierFate(ctx, earlier, answer)
	if found.Fate != caller.FateNotRun {
		return nil, found, nil
	}
	handle, later, err := s.journal.Replace(beginCtx, request.Team, request.Request.RequestID, intent, earlier)
	if err != nil || later == nil {
		return handle, answer, err
	}
	return nil, s.earlierFate(ctx, later, answer), nil
}

func (s *Shard) recordFate(ctx context.Context, handle *platform.Handle, answer caller.Answer) {
	ctx, cancel := context.WithTimeout(ctx, s.timings.StoreTimeout)
	defer cancel()
	if err := s.journal.End(ctx, handle, answer); err != nil {
		s.Log.Warn("journal failed", "step", "end", "error", err)
	}
}

// earlierFate answers a retry from the intent of the first attempt: its fate if
// it is recorded, or what the upstream tells of its task.
func (s *Shard) earlierFate(ctx context.Context, earlier *platform.Earlier, answer caller.Answer) caller.Answer {
	if earlier.Answer.Fate != caller.FateInProgress {
		return earlier.Answer
	}
	answer.Upstream = earlier.Upstream
	answer.Fate = caller.FateUnknown
	answer.Reason = "an earlier attempt was dispatched and its end is not known"
	s.mu.Lock()
	l, ok := s.links[earlier.Upstream]
	superseded := ok && l.holds(time.Now()) && l.boot == earlier.Boot && l.epoch > earlier.Epoch
	s.mu.Unlock()
	if !ok {
		return answer
	}
	askCtx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	response, err := l.client.Result(askCtx, upstream.StopRequest{Task: earlier.Task})
	if err != nil {
		return answer
	}
	if done, ok := ended(response, answer); ok {
		return done
	}
	if response.State == upstream.StateUnknown && superseded && time.Since(earlier.Begun) < remembered {
		// The upstream has not seen the task and refuses it from now on, since
		// its start carries an epoch that is over.
		return refused(answer, "an earlier attempt never reached its upstream")
	}
	return answer
}

// ended translates the state of a task that has ended into an answer.
func ended(response upstream.TaskResponse, answer caller.Answer) (caller.Answer, bool) {
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
		reason = "no slot was free before the deadline"
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
				done.Reason = "the deadline came: " + done.Reason
			}
			return done
		}
	}
	go s.watchAdopted(r)
	answer.Fate = caller.FateUnknown
	answer.Reason = fmt.Sprintf("the deadline came and %s does not answer (start uncertain: %t)", r.link.vm.Name, uncertain)
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
