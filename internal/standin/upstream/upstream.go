package upstream

import (
	"strconv"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/citronbay/citronbay/internal/api/upstream"
)

// keptEnds is how many ended tasks are remembered for duplicates and results.
const keptEnds = 50000

// bootLength is the length of the name of an upstream's run.
const bootLength = 8

// Faults are the failures that the stand-in brings about.
type Faults struct {
	// FailAll lets every task fail at its start.
	FailAll bool `json:"failAll"`
	// Freeze holds every call until it is switched off.
	Freeze bool `json:"freeze"`
	// AnswerMillis delays the answers of tasks that have ended.
	AnswerMillis int64 `json:"answerMillis"`
	// CrossAnswers gives the answer of an earlier task.
	CrossAnswers bool `json:"crossAnswers"`
	// CutAnswers breaks off answers half way.
	CutAnswers bool `json:"cutAnswers"`
	// UsageLagMillis lets reports tell what was in use so long ago.
	UsageLagMillis int64 `json:"usageLagMillis"`
}

// Observed is what the upstream saw from its own side.
type Observed struct {
	// Starts counts, by task, how often it began to run.
	Starts map[string]int `json:"starts"`
	// Running holds the tasks that run now, with their team.
	Running map[string]string `json:"running"`
	// Spans lists when each task ran, in wall-clock milliseconds.
	Spans []Span `json:"spans"`
	// Peak is the greatest amount in use at any moment, by dimension.
	Peak upstream.Resources `json:"peak"`
	// Overfilled counts the starts refused since they did not fit.
	Overfilled int `json:"overfilled"`
	// Fenced counts the starts refused for an old epoch or a late arrival.
	Fenced int `json:"fenced"`
}

// Span is one run of one task; End is zero while it runs.
type Span struct {
	Task  string `json:"task"`
	Team  string `json:"team"`
	Begin int64  `json:"begin"`
	End   int64  `json:"end"`
}

// Upstream is a simulated worker or runner. Create it with New.
type Upstream struct {
	capacity upstream.Resources
	boot     string
	begin    time.Time

	mu       sync.Mutex
	faults   Faults
	thaw     chan struct{}
	lease    lease
	lapse    *time.Timer
	tasks    map[string]*task
	order    []string
	used     upstream.Resources
	ended    []upstream.Ended
	sequence int64
	samples  []sample
	signal   chan struct{}
	observed Observed
	last     upstream.TaskResponse
}

type lease struct {
	holder     string
	epoch      int64
	until      int64
	tasksUntil int64
}

// New returns an upstream of the capacity, with nothing running.
func New(capacity upstream.Resources) *Upstream {
	u := &Upstream{
		capacity: capacity,
		boot:     uuid.NewString()[:bootLength],
		begin:    time.Now(),
		lease:    lease{epoch: time.Now().UnixMilli()},
		thaw:     make(chan struct{}),
		tasks:    map[string]*task{},
		signal:   make(chan struct{}),
		observed: Observed{
			Starts:  map[string]int{},
			Running: map[string]string{},
		},
	}
	close(u.thaw)
	return u
}

func (u *Upstream) clock() int64 {
	return time.Since(u.begin).Milliseconds()
}

// SetFaults replaces the faults in force.
func (u *Upstream) SetFaults(faults Faults) {
	u.mu.Lock()
	defer u.mu.Unlock()
	switch {
	case faults.Freeze && !u.faults.Freeze:
		u.thaw = make(chan struct{})
	case !faults.Freeze && u.faults.Freeze:
		close(u.thaw)
	}
	u.faults = faults
	u.samples = nil
	u.noteUse()
}

// Observe returns a copy of what was seen so far.
func (u *Upstream) Observe() Observed {
	u.mu.Lock()
	defer u.mu.Unlock()
	seen := u.observed
	seen.Starts = make(map[string]int, len(u.observed.Starts))
	for id, count := range u.observed.Starts {
		seen.Starts[id] = count
	}
	seen.Running = make(map[string]string, len(u.observed.Running))
	for id, team := range u.observed.Running {
		seen.Running[id] = team
	}
	seen.Spans = append([]Span(nil), u.observed.Spans...)
	return seen
}

// Lease claims, renews or releases the lease; it returns the reason of a
// refusal.
func (u *Upstream) Lease(request upstream.LeaseRequest) (upstream.LeaseResponse, string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := u.clock()
	claim := request.Epoch == 0
	lapsed := now >= u.lease.until
	switch {
	case request.Until == 0 && !request.Release:
		return u.status(now), ""
	case claim && !lapsed && u.lease.holder != request.Holder:
		return u.status(now), upstream.ReasonHeld
	case !claim && (request.Epoch != u.lease.epoch || lapsed):
		return u.status(now), upstream.ReasonFenced
	}
	if request.Release {
		u.lease.until = now
		return u.status(now), ""
	}
	if claim {
		u.lease.epoch++
		u.lease.holder = request.Holder
	}
	u.lease.until = max(u.lease.until, request.Until)
	u.lease.tasksUntil = max(u.lease.tasksUntil, request.TasksUntil)
	u.armLapse(now)
	u.acknowledge(request.AckedSequence)
	response := u.status(now)
	if claim {
		response.Capacity = u.capacity
		response.Running = u.running()
	}
	response.Ended = u.endedAfter(request.SeenSequence)
	return response, ""
}

// News returns the status with the ends beyond the sequence.
func (u *Upstream) News(after int64) upstream.LeaseResponse {
	u.mu.Lock()
	defer u.mu.Unlock()
	response := u.status(u.clock())
	response.Ended = u.endedAfter(after)
	return response
}

func (u *Upstream) endedAfter(sequence int64) []upstream.Ended {
	var ended []upstream.Ended
	for _, end := range u.ended {
		if end.Sequence > sequence {
			ended = append(ended, end)
		}
	}
	return ended
}

// HasNews reports whether tasks have ended beyond the sequence,
// and gives a channel that closes at the next end.
func (u *Upstream) HasNews(after int64) (bool, <-chan struct{}) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.sequence > after, u.signal
}

func (u *Upstream) armLapse(now int64) {
	wait := time.Duration(u.lease.tasksUntil-now) * time.Millisecond
	if u.lapse == nil {
		u.lapse = time.AfterFunc(wait, u.stopLapsed)
		return
	}
	u.lapse.Reset(wait)
}

// stopLapsed stops all tasks when no owner has renewed them in time.
func (u *Upstream) stopLapsed() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.clock() < u.lease.tasksUntil {
		return
	}
	for _, t := range u.tasks {
		if t.state == upstream.StateRunning {
			u.end(t, upstream.StateFailed, upstream.ReasonLapsed, nil)
		}
	}
}

func (u *Upstream) acknowledge(sequence int64) {
	kept := u.ended[:0]
	for _, end := range u.ended {
		if end.Sequence > sequence {
			kept = append(kept, end)
		}
	}
	u.ended = kept
}

func (u *Upstream) status(now int64) upstream.LeaseResponse {
	return upstream.LeaseResponse{
		Boot:   u.boot,
		Clock:  now,
		Holder: u.lease.holder,
		Epoch:  u.lease.epoch,
		Until:  u.lease.until,
		Used:   u.reported(now),
	}
}

func (u *Upstream) running() []upstream.Running {
	var running []upstream.Running
	for id, t := range u.tasks {
		if t.state != upstream.StateRunning {
			continue
		}
		running = append(running, upstream.Running{
			Task: id,
			Team: t.request.Team,
			Job:  t.request.Job,
			Size: t.request.Size,
			Band: t.request.Band,
		})
	}
	return running
}

// Start begins a task unless its id is known or the owner is fenced; it
// returns a channel that closes at the task's end, or the reason of a refusal.
func (u *Upstream) Start(request upstream.StartRequest) (<-chan struct{}, string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := u.clock()
	if request.Epoch != u.lease.epoch || now >= u.lease.until {
		u.observed.Fenced++
		return nil, upstream.ReasonFenced
	}
	if known, ok := u.tasks[request.Task]; ok {
		if known.state == upstream.StateRefused {
			return nil, upstream.ReasonStopped
		}
		return known.done, ""
	}
	if now > request.NotAfter {
		u.observed.Fenced++
		return nil, upstream.ReasonLate
	}
	if !u.used.Plus(request.Size).Fits(u.capacity) {
		u.observed.Overfilled++
		return nil, upstream.ReasonOverfilled
	}
	return u.begins(request).done, ""
}

// Stop ends a running task, and makes an unknown one refused from then on.
func (u *Upstream) Stop(request upstream.StopRequest) (upstream.TaskResponse, string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if request.Epoch != u.lease.epoch {
		return upstream.TaskResponse{}, upstream.ReasonFenced
	}
	t, ok := u.tasks[request.Task]
	if !ok {
		t = &task{
			state: upstream.StateRefused,
			done:  make(chan struct{}),
		}
		close(t.done)
		u.remember(request.Task, t)
	}
	if request.Checkpoint {
		ran := resumed(t.request) + u.clock() - t.begun
		t.checkpoint = strconv.AppendInt(nil, ran, 10)
	}
	u.end(t, upstream.StateFailed, upstream.ReasonStopped, nil)
	return u.describe(request.Task), ""
}

// Done returns a channel that closes when the task has ended; it is nil for an
// unknown task.
func (u *Upstream) Done(id string) <-chan struct{} {
	u.mu.Lock()
	defer u.mu.Unlock()
	if t, ok := u.tasks[id]; ok {
		return t.done
	}
	return nil
}

// Describe returns a task's state and result.
func (u *Upstream) Describe(id string) upstream.TaskResponse {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.describe(id)
}

func (u *Upstream) describe(id string) upstream.TaskResponse {
	response := upstream.TaskResponse{
		Task:  id,
		State: upstream.StateUnknown,
	}
	t, ok := u.tasks[id]
	if !ok {
		return response
	}
	response.State = t.state
	response.Reason = t.reason
	response.Result = t.result
	if t.state == upstream.StateCompleted {
		response.Digest = upstream.Digest(t.result)
	}
	return response
}
