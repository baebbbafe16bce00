package worker

import (
	"context"
	"errors"

	"github.com/citronbay/citronbay/internal/decide/job"
)

// Registration is what a worker tells of itself through the directory.
type Registration struct {
	ID      string
	Born    int64
	Service string
	Address string
	Zone    string
	Rack    string
	Labels  []string
	// Capacity is the worker's whole room.
	Capacity job.Resources
	// Draining workers take no new work.
	Draining bool
	// RemainingMillis is the least time until a draining worker leaves.
	RemainingMillis int64
}

// Start orders one attempt of a task.
type Start struct {
	Task    job.TaskKey
	Attempt int
	Payload string
	// UntilMillis is the end of the hold on the worker's own clock.
	UntilMillis int64
	Token       int64
	Checkpoint  string
	Ticket      string
}

// Answer is a worker's answer to a start.
type Answer uint8

// The answers. All but Started mean that this order did nothing.
const (
	Started Answer = iota + 1
	// RefusedToken: the worker has seen a higher fencing token.
	RefusedToken
	// RefusedOld: a later attempt ran or was stopped there.
	RefusedOld
	// RefusedLate: the hold's end had passed already.
	RefusedLate
	RefusedRoom
	RefusedTicket
	// RefusedUnhealthy: the worker takes no work at present.
	RefusedUnhealthy
	RefusedInvalid
	// WrongLife: another life of the worker answers at its address.
	WrongLife
)

var answerNames = map[Answer]string{
	Started:          "started",
	RefusedToken:     "refusedToken",
	RefusedOld:       "refusedOld",
	RefusedLate:      "refusedLate",
	RefusedRoom:      "refusedRoom",
	RefusedTicket:    "refusedTicket",
	RefusedUnhealthy: "refusedUnhealthy",
	RefusedInvalid:   "refusedInvalid",
	WrongLife:        "wrongLife",
}

// String returns the answer's name in logs and metrics.
func (a Answer) String() string {
	return answerNames[a]
}

// Look renews the hold and asks what runs and what ended.
type Look struct {
	Token int64
	// SeenEnd is the number of the last end that is durably recorded.
	SeenEnd int64
	// UntilMillis extends the hold on the worker's own clock; zero leaves it.
	UntilMillis int64
	// WaitMillis is how long the worker may wait for an end.
	WaitMillis int64
}

// How says how an attempt ended.
type How uint8

// The ends of an attempt.
const (
	Done How = iota + 1
	Failed
	Stopped
	// Lapsed: the hold ended first.
	Lapsed
	// Broken: another member of the gang ended.
	Broken
	// Alone: the other members of the gang did not come in time.
	Alone
)

var howNames = map[How]string{
	Done:    "done",
	Failed:  "failed",
	Stopped: "stopped",
	Lapsed:  "lapsed",
	Broken:  "broken",
	Alone:   "alone",
}

// String returns the end's name in logs.
func (h How) String() string {
	return howNames[h]
}

// Running is an attempt that runs.
type Running struct {
	Task       job.TaskKey
	Attempt    int
	Checkpoint string
	Percent    float64
}

// Ended is an attempt that ended; Number rises within a life of the worker.
type Ended struct {
	Number     int64
	Task       job.TaskKey
	Attempt    int
	How        How
	Checkpoint string
}

// Report is a worker's answer to a look.
type Report struct {
	Born        int64
	ClockMillis int64
	Running     []Running
	Ended       []Ended
	// Refused is set when the worker did not take the look.
	Refused Answer
}

// ErrNotSent reports that an order never reached the worker.
var ErrNotSent = errors.New("worker: not sent")

// Client gives orders to one worker. An error other than ErrNotSent leaves open
// whether the order was or will be carried out.
type Client interface {
	Start(ctx context.Context, order Start) (Answer, int64, error)
	Stop(ctx context.Context, task job.TaskKey, attempt int, token int64) error
	Look(ctx context.Context, look Look) (Report, error)
}

// Ticket is the policy service's leave to run a step on a worker.
type Ticket struct {
	Worker string
	Value  string
}

// Advisor asks the policy service which of the workers may run the step.
type Advisor interface {
	Advise(ctx context.Context, jobID string, step int, workers []string) ([]Ticket, error)
}
