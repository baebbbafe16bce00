package caller

import (
	"github.com/citronbay/citronbay/internal/api/upstream"
)

// Fate is what became of a request or job, as far as is proved.
type Fate string

// The closed set of fates. InProgress is not yet a fate.
const (
	// FateInProgress says that the work is queued or runs.
	FateInProgress Fate = ""
	// FateCompleted says that the work ran and its whole answer is given.
	FateCompleted Fate = "completed"
	// FateNotRun says that the work did not run and never will.
	FateNotRun Fate = "notRun"
	// FateFailed says that the work ran and failed.
	FateFailed Fate = "failed"
	// FateUnknown says that the work may have run or may still run.
	FateUnknown Fate = "unknown"
)

// Urgency orders work: urgent first, then normal, then low.
type Urgency string

// The three urgencies; the empty one means normal.
const (
	Urgent Urgency = "urgent"
	Normal Urgency = "normal"
	Low    Urgency = "low"
)

// Band returns the priority band of the urgency, 0 being served first.
func (u Urgency) Band() int {
	switch u {
	case Urgent:
		return 0
	case Low:
		return 2
	default:
		return 1
	}
}

// Kind tells how the tasks of a job are to run.
type Kind string

// The kinds of jobs.
const (
	// KindBatch runs each task when there is room for it.
	KindBatch Kind = "batch"
	// KindAllAtOnce starts all tasks together or none.
	KindAllAtOnce Kind = "allAtOnce"
	// KindService keeps the number of tasks running until cancelled.
	KindService Kind = "service"
)

// Request is a quick request against a service, answered in the same call.
type Request struct {
	// RequestID names the request for retries; empty means that it is never
	// retried by the caller.
	RequestID string `json:"requestId,omitempty"`
	// Service names the service that is to answer.
	Service string `json:"service"`
	Command string `json:"command,omitempty"`
	// Payload is handed to the service as it is.
	Payload string `json:"payload,omitempty"`
	// RunMillis is how long a simulated service takes, in milliseconds.
	RunMillis int64   `json:"runMillis,omitempty"`
	Urgency   Urgency `json:"urgency,omitempty"`
	// AtMostOnce marks a request that must not be repeated.
	AtMostOnce bool `json:"atMostOnce,omitempty"`
	// DeadlineMillis bounds the whole call; zero means the default.
	DeadlineMillis int64 `json:"deadlineMillis,omitempty"`
}

// Answer tells a request's fate, and its whole answer if it completed.
type Answer struct {
	RequestID string `json:"requestId"`
	Fate      Fate   `json:"fate"`
	Answer    []byte `json:"answer,omitempty"`
	Reason    string `json:"reason,omitempty"`
	Upstream  string `json:"upstream,omitempty"`
	Entry     string `json:"entry,omitempty"`
}

// Job is a submission of tasks that are alike.
type Job struct {
	Kind  Kind   `json:"kind"`
	Name  string `json:"name,omitempty"`
	Tasks int    `json:"tasks"`
	// Size is what one task is declared to need.
	Size    upstream.Resources `json:"size"`
	Command string             `json:"command,omitempty"`
	Payload string             `json:"payload,omitempty"`
	// RunMillis is how long a simulated task takes, in milliseconds.
	RunMillis  int64   `json:"runMillis,omitempty"`
	Urgency    Urgency `json:"urgency,omitempty"`
	AtMostOnce bool    `json:"atMostOnce,omitempty"`
	// DeadlineMillis is the longest wait for the first start; zero means none.
	DeadlineMillis int64 `json:"deadlineMillis,omitempty"`
}

// JobStatus tells how far a job is.
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
	// Durable tells whether the platform's store holds the job.
	Durable bool `json:"durable"`
}

// Explanation says why a job waits, or where its tasks were placed and why.
type Explanation struct {
	JobID      string   `json:"jobId"`
	Waits      string   `json:"waits,omitempty"`
	Placements []string `json:"placements,omitempty"`
}

// Problem is the body of an answer with a status of 400 or more.
type Problem struct {
	Error string `json:"error"`
	// Field names the field at fault, where there is one.
	Field string `json:"field,omitempty"`
	Value string `json:"value,omitempty"`
	Bound string `json:"bound,omitempty"`
	// Fate is notRun whenever nothing of the request was queued.
	Fate Fate `json:"fate,omitempty"`
}
