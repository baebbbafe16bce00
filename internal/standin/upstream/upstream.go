package upstream

import (
	"strconv"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/citronbay/citronbay/internal/api/upstream"
)

// maxKeptTasks is how many task ids are kept to recognise repeated starts and to
// answer calls for results; those of running tasks are kept beyond it.
const maxKeptTasks = 50000

// incarnationLength is the length of an incarnation id in characters.
const incarnationLength = 8

// Faults selects the faults that the stand-in injects.
type Faults struct {
	// FailAll makes every task fail when it starts.
	FailAll bool `json:"failAll"`
	// Freeze blocks every call of the upstream's API until it is unset.
	Freeze bool `json:"freeze"`
	// ResponseDelayMillis delays the responses that carry an ended task's result, in
	// milliseconds.
	ResponseDelayMillis int64 `json:"answerMillis"`
	// SendPreviousResponse responds to a call that waits for a task's result with the
	// response to the previous such call.
	SendPreviousResponse bool `json:"crossAnswers"`
	// TruncateResponses closes the connection after half of a response with a result.
	TruncateResponses bool `json:"cutAnswers"`
	// UsageLagMillis makes status reports carry the resources that were in use this
	// many milliseconds earlier.
	UsageLagMillis int64 `json:"usageLagMillis"`
}

// Observed is what the upstream itself has recorded.
type Observed struct {
	// Starts counts the starts of each task.
	Starts map[string]int `json:"starts"`
	// Running holds the team of each task that is running.
	Running map[string]string `json:"running"`
	// Spans lists when each task ran, in Unix milliseconds.
	Spans []Span `json:"spans"`
	// Peak is the largest amount of each resource in use at any moment.
	Peak upstream.Resources `json:"peak"`
	// RefusedOverCapacity counts the starts refused because they exceeded the free
	// capacity.
	RefusedOverCapacity int `json:"overfilled"`
	// Fenced counts the starts refused for a wrong epoch, an expired lease or
	// arrival after NotAfter.
	Fenced int `json:"fenced"`
}

// Span is the time during which a task ran, in Unix milliseconds; End is zero while
// it runs.
type Span struct {
	Task  string `json:"task"`
	Team  string `json:"team"`
	Begin int64  `json:"begin"`
	End   int64  `json:"end"`
}

// Upstream is a simulated worker or runner. Create it with New. Its times are in
// milliseconds of its own clock, which starts at zero, unless stated otherwise.
type Upstream struct {
	capacity    upstream.Resources
	incarnation string
	startTime   time.Time

	mu           sync.Mutex
	faults       Faults
	unfrozen     chan struct{} // closed except while the fault Freeze is set
	lease        ownerLease
	taskExpiry   *time.Timer
	tasks        map[string]*task
	taskOrder    []string
	used         upstream.Resources
	unackedEnds  []upstream.Ended
	lastSequence int64
	usageSamples []usageSample
	taskEnded    chan struct{}
	observed     Observed
	lastResponse upstream.TaskResponse
}

type ownerLease struct {
	holder            string
	epoch             int64
	expiresMillis     int64
	tasksExpireMillis int64
}

// New returns an upstream with the given capacity and no tasks. Its epochs
// start at the Unix time in milliseconds, so that they increase over restarts.
func New(capacity upstream.Resources) *Upstream {
	u := &Upstream{
		capacity:    capacity,
		incarnation: uuid.NewString()[:incarnationLength],
		startTime:   time.Now(),
		lease:       ownerLease{epoch: time.Now().UnixMilli()},
		unfrozen:    make(chan struct{}),
		tasks:       map[string]*task{},
		taskEnded:   make(chan struct{}),
		observed: Observed{
			Starts:  map[string]int{},
			Running: map[string]string{},
		},
	}
	close(u.unfrozen)
	return u
}

func (u *Upstream) nowMillis() int64 {
	return time.Since(u.startTime).Milliseconds()
}

// SetFaults replaces the injected faults.
func (u *Upstream) SetFaults(faults Faults) {
	u.mu.Lock()
	defer u.mu.Unlock()
	switch {
	case faults.Freeze && !u.faults.Freeze:
		u.unfrozen = make(chan struct{})
	case !faults.Freeze && u.faults.Freeze:
		close(u.unfrozen)
	}
	u.faults = faults
	u.usageSamples = nil
	u.recordUsage()
}

// Observe returns a copy of the observations so far.
func (u *Upstream) Observe() Observed {
	u.mu.Lock()
	defer u.mu.Unlock()
	observed := u.observed
	observed.Starts = make(map[string]int, len(u.observed.Starts))
	for id, count := range u.observed.Starts {
		observed.Starts[id] = count
	}
	observed.Running = make(map[string]string, len(u.observed.Running))
	for id, team := range u.observed.Running {
		observed.Running[id] = team
	}
	observed.Spans = append([]Span(nil), u.observed.Spans...)
	return observed
}

// Lease claims, renews or releases the owner's lease, or returns only the status
// if the request has neither Until nor Release. A claim must name the incarnation. The
// string is the reason for a refusal, empty if there was none.
func (u *Upstream) Lease(request upstream.LeaseRequest) (upstream.LeaseResponse, string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := u.nowMillis()
	claim := request.Epoch == 0
	expired := now >= u.lease.expiresMillis
	switch {
	case request.Until == 0 && !request.Release:
		return u.status(now), ""
	case claim && request.Incarnation != u.incarnation:
		return u.status(now), upstream.ReasonRestarted
	case claim && !expired && u.lease.holder != request.Holder:
		return u.status(now), upstream.ReasonHeld
	case !claim && (request.Epoch != u.lease.epoch || expired):
		return u.status(now), upstream.ReasonFenced
	}
	if request.Release {
		u.lease.expiresMillis = now
		return u.status(now), ""
	}
	if claim {
		u.lease.epoch++
		u.lease.holder = request.Holder
	}
	u.lease.expiresMillis = max(u.lease.expiresMillis, request.Until)
	u.lease.tasksExpireMillis = max(u.lease.tasksExpireMillis, request.TasksUntil)
	u.resetTaskExpiry(now)
	u.dropAcknowledged(request.AckedSequence)
	response := u.status(now)
	if claim {
		response.Capacity = u.capacity
		response.Running = u.runningTasks()
	}
	response.Ended = u.endedAfter(request.SeenSequence)
	return response, ""
}

// StatusAfter returns the status with the ended tasks that are not acknowledged and
// whose sequence number is above the given one.
func (u *Upstream) StatusAfter(after int64) upstream.LeaseResponse {
	u.mu.Lock()
	defer u.mu.Unlock()
	response := u.status(u.nowMillis())
	response.Ended = u.endedAfter(after)
	return response
}

func (u *Upstream) endedAfter(sequence int64) []upstream.Ended {
	var ended []upstream.Ended
	for _, end := range u.unackedEnds {
		if end.Sequence > sequence {
			ended = append(ended, end)
		}
	}
	return ended
}

// HasEndedAfter reports whether a task has ended with a sequence number above the given
// one, and returns a channel that closes when the next one ends.
func (u *Upstream) HasEndedAfter(after int64) (bool, <-chan struct{}) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.lastSequence > after, u.taskEnded
}

func (u *Upstream) resetTaskExpiry(now int64) {
	wait := time.Duration(u.lease.tasksExpireMillis-now) * time.Millisecond
	if u.taskExpiry == nil {
		u.taskExpiry = time.AfterFunc(wait, u.stopExpiredTasks)
		return
	}
	u.taskExpiry.Reset(wait)
}

// stopExpiredTasks stops all tasks if no owner has extended LeaseRequest.TasksUntil in
// time.
func (u *Upstream) stopExpiredTasks() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.nowMillis() < u.lease.tasksExpireMillis {
		return
	}
	for _, t := range u.tasks {
		if t.state == upstream.StateRunning {
			u.endTask(t, upstream.StateFailed, upstream.ReasonLapsed, nil)
		}
	}
}

func (u *Upstream) dropAcknowledged(sequence int64) {
	kept := u.unackedEnds[:0]
	for _, end := range u.unackedEnds {
		if end.Sequence > sequence {
			kept = append(kept, end)
		}
	}
	u.unackedEnds = kept
}

func (u *Upstream) status(now int64) upstream.LeaseResponse {
	return upstream.LeaseResponse{
		Incarnation: u.incarnation,
		Clock:       now,
		Holder:      u.lease.holder,
		Epoch:       u.lease.epoch,
		Until:       u.lease.expiresMillis,
		Used:        u.reportedUsage(now),
	}
}

func (u *Upstream) runningTasks() []upstream.Running {
	var running []upstream.Running
	for id, t := range u.tasks {
		if t.state != upstream.StateRunning {
			continue
		}
		running = append(running, upstream.Running{
			Task:          id,
			Team:          t.request.Team,
			Job:           t.request.Job,
			Size:          t.request.Size,
			PriorityClass: t.request.PriorityClass,
		})
	}
	return running
}

// Start starts a task and returns a channel that closes when it ends, or the reason
// for a refusal: a wrong epoch or expired lease, a task that was stopped before its
// start, arrival after NotAfter, or too little free capacity. It is idempotent: a known
// task is not started again.
func (u *Upstream) Start(request upstream.StartRequest) (<-chan struct{}, string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := u.nowMillis()
	if request.Epoch != u.lease.epoch || now >= u.lease.expiresMillis {
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
		u.observed.RefusedOverCapacity++
		return nil, upstream.ReasonOverfilled
	}
	return u.startTask(request).done, ""
}

// Stop ends a running task. The id of an unknown task is recorded, so that a start
// that arrives later is refused. The string is the reason for a refusal of the call.
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
		u.addTask(request.Task, t)
	}
	if request.Checkpoint {
		ran := resumedMillis(t.request) + u.nowMillis() - t.startedMillis
		t.checkpoint = strconv.AppendInt(nil, ran, 10)
	}
	u.endTask(t, upstream.StateFailed, upstream.ReasonStopped, nil)
	return u.describe(request.Task), ""
}

// Done returns a channel that closes when the task ends; it is nil for an unknown
// task.
func (u *Upstream) Done(id string) <-chan struct{} {
	u.mu.Lock()
	defer u.mu.Unlock()
	if t, ok := u.tasks[id]; ok {
		return t.done
	}
	return nil
}

// Describe returns a task's state and, once it has ended, its result.
func (u *Upstream) Describe(id string) upstream.TaskResponse {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.describe(id)
}

func (u *Upstream) describe(id string) upstream.TaskResponse {
	response := upstream.TaskResponse{
		Incarnation: u.incarnation,
		Task:        id,
		State:       upstream.StateUnknown,
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
