package upstream

import (
	"errors"
	"fmt"
)

// Resources is an amount of the resources of an upstream: thousandths of a processor,
// bytes of memory, accelerators, and the slots of a runner.
type Resources struct {
	MilliProcessors int64 `json:"milliProcessors,omitempty"`
	MemoryBytes     int64 `json:"memoryBytes,omitempty"`
	Accelerators    int64 `json:"accelerators,omitempty"`
	Slots           int64 `json:"slots,omitempty"`
}

// Plus returns the sum of r and other.
func (r Resources) Plus(other Resources) Resources {
	return Resources{
		MilliProcessors: r.MilliProcessors + other.MilliProcessors,
		MemoryBytes:     r.MemoryBytes + other.MemoryBytes,
		Accelerators:    r.Accelerators + other.Accelerators,
		Slots:           r.Slots + other.Slots,
	}
}

// Minus returns r minus other.
func (r Resources) Minus(other Resources) Resources {
	return Resources{
		MilliProcessors: r.MilliProcessors - other.MilliProcessors,
		MemoryBytes:     r.MemoryBytes - other.MemoryBytes,
		Accelerators:    r.Accelerators - other.Accelerators,
		Slots:           r.Slots - other.Slots,
	}
}

// Fits reports whether r is at most free in each of the resources.
func (r Resources) Fits(free Resources) bool {
	return r.MilliProcessors <= free.MilliProcessors &&
		r.MemoryBytes <= free.MemoryBytes &&
		r.Accelerators <= free.Accelerators &&
		r.Slots <= free.Slots
}

// LeaseRequest claims, renews or releases the owner's lease, or asks for the status
// of the upstream.
type LeaseRequest struct {
	// Holder identifies the owner: only it may claim the lease before the lease ends.
	Holder string `json:"holder"`
	// Incarnation is the incarnation on whose clock Until and TasksUntil of a claim
	// are times. An upstream in another incarnation rejects the claim. The other
	// requests need not name it, since an epoch belongs to one incarnation.
	Incarnation string `json:"boot,omitempty"`
	// Epoch is the epoch of the lease to renew or release; zero claims the lease.
	Epoch int64 `json:"epoch,omitempty"`
	// Until is when the lease ends, in milliseconds of the upstream's clock. If it is
	// zero and Release is false, the request only asks for the status.
	Until int64 `json:"until,omitempty"`
	// TasksUntil is when the upstream stops all its tasks, in milliseconds of its
	// clock, unless a later claim or renewal extends it before that time.
	TasksUntil int64 `json:"tasksUntil,omitempty"`
	Release    bool  `json:"release,omitempty"`
	// WaitMillis makes the call a long poll: the upstream responds as soon as a
	// task has ended with a sequence number above SeenSequence, at the latest after
	// this many milliseconds.
	WaitMillis   int64 `json:"waitMillis,omitempty"`
	SeenSequence int64 `json:"seenSequence,omitempty"`
	// AckedSequence acknowledges the ended tasks up to this sequence number, which
	// the upstream then stops reporting.
	AckedSequence int64 `json:"ackedSequence,omitempty"`
}

// LeaseResponse is the status of the upstream: its clock, its lease and its use of
// resources. Clock, and Until, the time at which the lease ends, are in milliseconds
// of the upstream's clock. The response to a claim or renewal also lists the tasks
// that have ended with a sequence number above SeenSequence. Only the response to a
// claim has the capacity and all running tasks.
type LeaseResponse struct {
	// Incarnation identifies one run of the upstream's process. It changes with a
	// restart, after which none of the earlier tasks is running.
	Incarnation string    `json:"boot"`
	Clock       int64     `json:"clock"`
	Holder      string    `json:"holder"`
	Epoch       int64     `json:"epoch"`
	Until       int64     `json:"until"`
	Capacity    Resources `json:"capacity,omitzero"`
	Running     []Running `json:"running,omitempty"`
	Ended       []Ended   `json:"ended,omitempty"`
	Used        Resources `json:"used,omitzero"`
}

// Running is a task that an upstream is running. PriorityClass 0 is the most urgent.
type Running struct {
	Task          string    `json:"task"`
	Team          string    `json:"team"`
	Job           string    `json:"job,omitempty"`
	Size          Resources `json:"size"`
	PriorityClass int       `json:"band,omitempty"`
}

// Ended is a task that has ended. FailureReason is empty if it completed with a
// result. The upstream numbers the ended tasks consecutively by Sequence.
type Ended struct {
	Sequence      int64  `json:"sequence"`
	Task          string `json:"task"`
	Job           string `json:"job,omitempty"`
	Team          string `json:"team"`
	FailureReason string `json:"failed,omitempty"`
	Result        []byte `json:"result,omitempty"`
	// Checkpoint is the state from which the work of a stopped task can be resumed.
	Checkpoint []byte `json:"checkpoint,omitempty"`
}

// StartRequest starts a task under the epoch of the owner's lease. It is idempotent: a
// task with an id that the upstream knows is not started again. It is rejected if the
// upstream's clock, in milliseconds, is past NotAfter. PriorityClass 0 is the most
// urgent.
type StartRequest struct {
	Epoch         int64     `json:"epoch"`
	NotAfter      int64     `json:"notAfter"`
	Task          string    `json:"task"`
	Job           string    `json:"job,omitempty"`
	Team          string    `json:"team"`
	PriorityClass int       `json:"band,omitempty"`
	Size          Resources `json:"size"`
	Command       string    `json:"command,omitempty"`
	// RunMillis is how long a simulated task runs, in milliseconds; a negative value
	// means until it is stopped.
	RunMillis int64  `json:"runMillis,omitempty"`
	Payload   []byte `json:"payload,omitempty"`
	// Resume is the checkpoint from which to resume the work of an earlier attempt.
	Resume []byte `json:"resume,omitempty"`
	// Wait delays the response until the task has ended, and includes its result. The
	// task is then not listed in LeaseResponse.Ended.
	Wait bool `json:"wait,omitempty"`
}

// Values of TaskResponse.State. StateRefused means that the upstream has rejected the
// call, or rejects starts of the task because it was stopped before it started;
// StateUnknown means that the upstream does not know the task id.
const (
	StateRunning   = "running"
	StateCompleted = "completed"
	StateFailed    = "failed"
	StateRefused   = "refused"
	StateUnknown   = "unknown"
)

// TaskResponse is the state of a task, and its result if it has completed. From the
// task id and the digest, the SHA-256 of the result in hexadecimal, the owner detects
// a response that is damaged or belongs to another task.
type TaskResponse struct {
	// Incarnation is the incarnation that responds, which knows nothing of the tasks
	// of earlier ones. Responses that reject a call omit it.
	Incarnation string `json:"boot,omitempty"`
	Task        string `json:"task"`
	State       string `json:"state"`
	Reason      string `json:"reason,omitempty"`
	Result      []byte `json:"result,omitempty"`
	Digest      string `json:"digest,omitempty"`
}

// StopRequest stops a task, or waits for its result (see Client.Result). If the task
// to stop has not started, the upstream rejects later starts of it.
type StopRequest struct {
	Epoch int64  `json:"epoch"`
	Task  string `json:"task"`
	// Checkpoint asks for a checkpoint, from which the work can be resumed.
	Checkpoint bool `json:"checkpoint,omitempty"`
}

// Reasons for which an upstream rejects a call or a task has failed.
const (
	// ReasonFenced rejects a call whose epoch is not the current one, or a renewal
	// or start after the lease has expired.
	ReasonFenced = "fenced"
	// ReasonHeld rejects the claim of a lease that another holder has.
	ReasonHeld = "held"
	// ReasonRestarted rejects a claim meant for another incarnation.
	ReasonRestarted = "restarted"
	// ReasonLate rejects a start that arrives after StartRequest.NotAfter.
	ReasonLate = "late"
	// ReasonStopped rejects the start of a task that was stopped before, or is the
	// reason for which a stopped task has failed.
	ReasonStopped = "stopped"
	// ReasonOverfilled rejects a start for which the free capacity is too small.
	ReasonOverfilled = "overfilled"
	// ReasonLapsed is the reason for which a task has failed that was stopped at
	// LeaseRequest.TasksUntil.
	ReasonLapsed = "lapsed"
)

// ErrRefused reports that the upstream rejected the call, which has had no effect.
var ErrRefused = errors.New("upstream: refused")

// ErrFenced reports that the caller does not hold the lease: another holder has it,
// or the epoch is outdated or its lease has expired. It wraps ErrRefused.
var ErrFenced = fmt.Errorf("%w: %s", ErrRefused, ReasonFenced)

// ErrNotSent reports that the call was not sent, because no connection was available.
// It has had no effect.
var ErrNotSent = errors.New("upstream: not sent")

// ErrInvalidResponse reports a response that is truncated, damaged or for another task.
var ErrInvalidResponse = errors.New("upstream: invalid response")
