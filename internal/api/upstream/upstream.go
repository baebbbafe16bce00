package upstream

import (
	"errors"
	"fmt"
)

// Resources is an amount of what an upstream offers: processors in
// thousandths, memory in bytes, whole accelerators, and a runner's slots.
type Resources struct {
	MilliProcessors int64 `json:"milliProcessors,omitempty"`
	MemoryBytes     int64 `json:"memoryBytes,omitempty"`
	Accelerators    int64 `json:"accelerators,omitempty"`
	Slots           int64 `json:"slots,omitempty"`
}

// Plus returns the sum of both amounts.
func (r Resources) Plus(other Resources) Resources {
	return Resources{
		MilliProcessors: r.MilliProcessors + other.MilliProcessors,
		MemoryBytes:     r.MemoryBytes + other.MemoryBytes,
		Accelerators:    r.Accelerators + other.Accelerators,
		Slots:           r.Slots + other.Slots,
	}
}

// Minus returns the difference of both amounts.
func (r Resources) Minus(other Resources) Resources {
	return Resources{
		MilliProcessors: r.MilliProcessors - other.MilliProcessors,
		MemoryBytes:     r.MemoryBytes - other.MemoryBytes,
		Accelerators:    r.Accelerators - other.Accelerators,
		Slots:           r.Slots - other.Slots,
	}
}

// Fits reports whether the amount is at most the free one in each dimension.
func (r Resources) Fits(free Resources) bool {
	return r.MilliProcessors <= free.MilliProcessors &&
		r.MemoryBytes <= free.MemoryBytes &&
		r.Accelerators <= free.Accelerators &&
		r.Slots <= free.Slots
}

// LeaseRequest claims, renews or releases the owner's lease. Epoch zero claims.
// Until is the end of the lease in the upstream's clock, in milliseconds; zero
// asks only for the upstream's status. TasksUntil is when the upstream stops
// its tasks if no owner has renewed the lease by then. WaitMillis lets the upstream hold its
// answer until a task ends beyond SeenSequence. AckedSequence lets the upstream
// forget the ends up to it.
type LeaseRequest struct {
	Holder        string `json:"holder"`
	Epoch         int64  `json:"epoch,omitempty"`
	Until         int64  `json:"until,omitempty"`
	TasksUntil    int64  `json:"tasksUntil,omitempty"`
	Release       bool   `json:"release,omitempty"`
	WaitMillis    int64  `json:"waitMillis,omitempty"`
	SeenSequence  int64  `json:"seenSequence,omitempty"`
	AckedSequence int64  `json:"ackedSequence,omitempty"`
}

// LeaseResponse tells the upstream's clock, who holds its lease and until
// when, and, to the holder, what runs and what has ended beyond the sequence
// seen. Capacity and Running are complete on a claim and absent on renewals.
type LeaseResponse struct {
	// Boot names the upstream's run; after a restart nothing of before runs.
	Boot     string    `json:"boot"`
	Clock    int64     `json:"clock"`
	Holder   string    `json:"holder"`
	Epoch    int64     `json:"epoch"`
	Until    int64     `json:"until"`
	Capacity Resources `json:"capacity,omitzero"`
	Running  []Running `json:"running,omitempty"`
	Ended    []Ended   `json:"ended,omitempty"`
	Used     Resources `json:"used,omitzero"`
}

// Running is one task that an upstream runs.
type Running struct {
	Task string    `json:"task"`
	Team string    `json:"team"`
	Job  string    `json:"job,omitempty"`
	Size Resources `json:"size"`
	Band int       `json:"band,omitempty"`
}

// Ended is one task's end: its result, or the reason for which it failed.
type Ended struct {
	Sequence int64  `json:"sequence"`
	Task     string `json:"task"`
	Job      string `json:"job,omitempty"`
	Team     string `json:"team"`
	Failed   string `json:"failed,omitempty"`
	Result   []byte `json:"result,omitempty"`
	// Checkpoint is what another start of the stopped task can resume from.
	Checkpoint []byte `json:"checkpoint,omitempty"`
}

// StartRequest starts one task under the owner's epoch, if the upstream's
// clock has not passed NotAfter, in milliseconds. A task id that the upstream
// knows is not started again.
type StartRequest struct {
	Epoch     int64     `json:"epoch"`
	NotAfter  int64     `json:"notAfter"`
	Task      string    `json:"task"`
	Job       string    `json:"job,omitempty"`
	Team      string    `json:"team"`
	Band      int       `json:"band,omitempty"`
	Size      Resources `json:"size"`
	Command   string    `json:"command,omitempty"`
	RunMillis int64     `json:"runMillis,omitempty"`
	Payload   []byte    `json:"payload,omitempty"`
	// Resume is the checkpoint of an earlier start.
	Resume []byte `json:"resume,omitempty"`
	// Wait holds the answer until the task has ended and returns its result.
	Wait bool `json:"wait,omitempty"`
}

// Task states as an upstream knows them.
const (
	StateRunning   = "running"
	StateCompleted = "completed"
	StateFailed    = "failed"
	StateRefused   = "refused"
	StateUnknown   = "unknown"
)

// TaskResponse tells a task's state; the digest is the hexadecimal SHA-256 of
// the result, so that an answer cut short or crossed is recognised.
type TaskResponse struct {
	Task   string `json:"task"`
	State  string `json:"state"`
	Reason string `json:"reason,omitempty"`
	Result []byte `json:"result,omitempty"`
	Digest string `json:"digest,omitempty"`
}

// StopRequest stops a task, and makes the upstream refuse the task id from
// then on when it has not begun.
type StopRequest struct {
	Epoch int64  `json:"epoch"`
	Task  string `json:"task"`
	// Checkpoint asks for what another start of the task can resume from.
	Checkpoint bool `json:"checkpoint,omitempty"`
}

// Reasons for which an upstream refuses a call or has ended a task.
const (
	ReasonFenced     = "fenced"
	ReasonHeld       = "held"
	ReasonLate       = "late"
	ReasonStopped    = "stopped"
	ReasonOverfilled = "overfilled"
	ReasonLapsed     = "lapsed"
)

// ErrRefused reports that the upstream answered that it did not act.
var ErrRefused = errors.New("upstream: refused")

// ErrFenced reports that another holder has the lease, or a later epoch does.
var ErrFenced = fmt.Errorf("%w: %s", ErrRefused, ReasonFenced)

// ErrNotSent reports that the call never reached the upstream.
var ErrNotSent = errors.New("upstream: not sent")

// ErrAnswer reports an answer that is cut short, damaged or another task's.
var ErrAnswer = errors.New("upstream: answer is not whole")
