package caller

import (
	"github.com/citronbay/citronbay/internal/api/upstream"
)

// Fate is the outcome of a request or job. It never claims more than is known for
// certain.
type Fate string

// All values of Fate; the empty string means that the outcome is still open.
const (
	// FateInProgress means that the work is queued or running.
	FateInProgress Fate = ""
	// FateCompleted means that the work ran and its complete result is available.
	FateCompleted Fate = "completed"
	// FateNotRun means that the work did not run and never will.
	FateNotRun Fate = "notRun"
	// FateFailed means that the work ran and failed.
	FateFailed Fate = "failed"
	// FateUnknown means that the work may have run, may be running or may still run.
	FateUnknown Fate = "unknown"
)

// Urgency is the priority that the caller asks for: Urgent work is scheduled
// first, then Normal, then Low.
type Urgency string

// All values of Urgency; the empty string means Normal.
const (
	Urgent Urgency = "urgent"
	Normal Urgency = "normal"
	Low    Urgency = "low"
)

// PriorityClass returns the priority class of the urgency, from 0, which is served
// first, to 2.
func (u Urgency) PriorityClass() int {
	switch u {
	case Urgent:
		return 0
	case Low:
		return 2
	default:
		return 1
	}
}

// Kind says how the tasks of a job are scheduled.
type Kind string

// All values of Kind.
const (
	// KindBatch starts each task on its own as soon as capacity is free.
	KindBatch Kind = "batch"
	// KindAllAtOnce is gang scheduling: all tasks start together, or none does.
	KindAllAtOnce Kind = "allAtOnce"
	// KindService keeps the job's number of tasks running until the job is cancelled.
	KindService Kind = "service"
)

// Request is a quick request to a service. The HTTP response, an Answer, carries its
// result.
type Request struct {
	// RequestID identifies the request across retries by the caller; empty if the
	// caller never retries it.
	RequestID string `json:"requestId,omitempty"`
	// Service is the name of the service that runs the request.
	Service string `json:"service"`
	Command string `json:"command,omitempty"`
	// Payload is passed to the service unchanged.
	Payload string `json:"payload,omitempty"`
	// RunMillis is how long a simulated service takes to answer, in milliseconds.
	RunMillis int64   `json:"runMillis,omitempty"`
	Urgency   Urgency `json:"urgency,omitempty"`
	// AtMostOnce means that the request is not idempotent: once it may have run, it
	// is not run again.
	AtMostOnce bool `json:"atMostOnce,omitempty"`
	// DeadlineMillis limits the duration of the whole call, in milliseconds; zero
	// means the default in the entry's settings.
	DeadlineMillis int64 `json:"deadlineMillis,omitempty"`
}

// Answer is the response to a Request: its fate and, if it completed, the
// complete result (Answer). Reason says why it has not completed. Upstream is the
// name of the runner on which the request was last placed, Entry that of the entry that
// determined the fate.
type Answer struct {
	RequestID string `json:"requestId"`
	Fate      Fate   `json:"fate"`
	Answer    []byte `json:"answer,omitempty"`
	Reason    string `json:"reason,omitempty"`
	Upstream  string `json:"upstream,omitempty"`
	Entry     string `json:"entry,omitempty"`
}

// Job is a submitted set of identical tasks.
type Job struct {
	Kind  Kind   `json:"kind"`
	Name  string `json:"name,omitempty"`
	Tasks int    `json:"tasks"`
	// Size is the resource request of each task.
	Size    upstream.Resources `json:"size"`
	Command string             `json:"command,omitempty"`
	Payload string             `json:"payload,omitempty"`
	// RunMillis is how long a simulated task takes, in milliseconds.
	RunMillis int64   `json:"runMillis,omitempty"`
	Urgency   Urgency `json:"urgency,omitempty"`
	// AtMostOnce means that the tasks are not idempotent: one that may have run is
	// not run again, except that a service's task that fails is restarted.
	AtMostOnce bool `json:"atMostOnce,omitempty"`
	// DeadlineMillis limits how long the job may wait for its first start, in
	// milliseconds; zero means no limit.
	DeadlineMillis int64 `json:"deadlineMillis,omitempty"`
}

// JobStatus is the state of a job, with the number of its tasks in each state. Reason
// says why the job was rejected, or why a task of it did not complete (the latest such
// reason).
type JobStatus struct {
	JobID     string `json:"jobId"`
	Team      string `json:"team"`
	Kind      Kind   `json:"kind"`
	Name      string `json:"name,omitempty"`
	Fate      Fate   `json:"fate"`
	Reason    string `json:"reason,omitempty"`
	Tasks     int    `json:"tasks"`
	Waiting   int    `json:"waiting"`
	Running   int    `json:"running"`
	Completed int    `json:"completed"`
	Failed    int    `json:"failed"`
	Unknown   int    `json:"unknown"`
	// Durable says whether the job is recorded in the platform's store.
	Durable bool `json:"durable"`
}

// Explanation says why tasks of a job wait, or that the job has ended (WaitReason), and
// where its tasks were placed and why (Placements, the first 20).
type Explanation struct {
	JobID      string   `json:"jobId"`
	WaitReason string   `json:"waits,omitempty"`
	Placements []string `json:"placements,omitempty"`
}

// Problem is the body of an error response (status 400 or above).
type Problem struct {
	Error string `json:"error"`
	// Field is the name of the invalid field, if there is one, Value its value and
	// Bound the values allowed.
	Field string `json:"field,omitempty"`
	Value string `json:"value,omitempty"`
	Bound string `json:"bound,omitempty"`
	// Fate is FateNotRun if none of the submitted work was queued.
	Fate Fate `json:"fate,omitempty"`
}
