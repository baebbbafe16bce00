package worker

import (
	"context"
	"errors"

	"github.com/citronbay/citronbay/internal/decide/job"
)

// Registration is a worker's entry in the directory.
type Registration struct {
	ID string
	// Incarnation is the number of the worker's incarnation, higher after each restart.
	Incarnation int64
	// Service is the service whose tasks the worker runs.
	Service string
	Address string
	Zone    string
	Rack    string
	Labels  []string
	// Capacity is the sum of used and free resources.
	Capacity job.Resources
	// Draining workers take no new work.
	Draining bool
	// RemainingMillis is the minimum time until a draining worker leaves.
	RemainingMillis int64
}

// Start is the request to start one attempt of a task.
type Start struct {
	Task    job.TaskKey
	Attempt int
	Payload string
	// UntilMillis is when the worker lease ends, in milliseconds of the worker's clock.
	UntilMillis int64
	// Token is the owner's fencing token.
	Token int64
	// Checkpoint is the checkpoint from which to resume: the last one of the task's
	// earlier attempts or, in a gang, that of any member; empty if there is none.
	Checkpoint string
	// Ticket is the policy service's ticket for the step on this worker, if the
	// step needs one.
	Ticket string
}

// Answer is a worker's answer to a Start, or its reason for refusing a Poll.
type Answer uint8

// The answers. All but Started mean that this copy of the request had no effect;
// an earlier copy that was not answered may have had one.
const (
	Started Answer = iota + 1
	// RefusedToken: the worker has seen a higher fencing token.
	RefusedToken
	// RefusedOld: this attempt or a later one of the task has ended on the worker, or
	// was stopped before it started.
	RefusedOld
	// RefusedLeaseExpired: the worker lease given in the request had already expired.
	RefusedLeaseExpired
	// RefusedResources: the worker's free resources do not suffice.
	RefusedResources
	// RefusedTicket: the worker does not accept the ticket.
	RefusedTicket
	// RefusedUnhealthy: the worker takes no work at present.
	RefusedUnhealthy
	// RefusedInvalid: the worker considers the request malformed.
	RefusedInvalid
	// WrongIncarnation: the address belongs to another worker or another incarnation.
	WrongIncarnation
)

var answerNames = map[Answer]string{
	Started:             "started",
	RefusedToken:        "refusedToken",
	RefusedOld:          "refusedOld",
	RefusedLeaseExpired: "refusedLate",
	RefusedResources:    "refusedRoom",
	RefusedTicket:       "refusedTicket",
	RefusedUnhealthy:    "refusedUnhealthy",
	RefusedInvalid:      "refusedInvalid",
	WrongIncarnation:    "wrongLife",
}

// String returns the answer's name for logs and metrics.
func (a Answer) String() string {
	return answerNames[a]
}

// Poll is the request that polls a worker: it extends the worker lease and asks for
// the running and the ended attempts.
type Poll struct {
	// Token is the owner's fencing token.
	Token int64
	// AckedNumber is the highest Ended.Number that the owner acknowledges: it has
	// durably recorded the ended attempts up to it, and the worker may forget them.
	// Zero acknowledges none. Numbers are those of the incarnation that sent the last
	// report: after a failed poll the owner acknowledges none until the next report.
	AckedNumber int64
	// UntilMillis is the new end of the worker lease, in milliseconds of the worker's
	// clock; zero does not extend the lease.
	UntilMillis int64
	// WaitMillis is how long the worker may wait for an attempt to end before it
	// answers.
	WaitMillis int64
}

// Outcome is how an attempt ended, as its worker reports it.
type Outcome uint8

// The outcomes of an attempt.
const (
	Done Outcome = iota + 1
	Failed
	// Stopped: the owner ordered the stop.
	Stopped
	// LeaseExpired: the worker lease expired while the attempt ran.
	LeaseExpired
	// GangBroken: another member of the gang ended.
	GangBroken
	// GangIncomplete: the other members of the gang did not start in time.
	GangIncomplete
)

var outcomeNames = map[Outcome]string{
	Done:           "done",
	Failed:         "failed",
	Stopped:        "stopped",
	LeaseExpired:   "lapsed",
	GangBroken:     "broken",
	GangIncomplete: "alone",
}

// String returns the outcome's name for logs.
func (o Outcome) String() string {
	return outcomeNames[o]
}

// Running is a running attempt.
type Running struct {
	Task       job.TaskKey
	Attempt    int
	Checkpoint string
	// Percent is the attempt's progress in percent.
	Percent float64
	// Load is a rough figure for the last half second: the tail of the response times in
	// milliseconds if the task's step has a target for it, otherwise the processors in use in
	// thousandths of a core. Zero means that the worker has not reported it.
	Load float64
}

// Ended is an attempt that ended.
type Ended struct {
	// Number increases within an incarnation of the worker.
	Number     int64
	Task       job.TaskKey
	Attempt    int
	Outcome    Outcome
	Checkpoint string
}

// Report is a worker's answer to a poll.
type Report struct {
	// Incarnation identifies the incarnation that sent the report.
	Incarnation int64
	// ClockMillis is a reading of the worker's clock, in milliseconds.
	ClockMillis int64
	Running     []Running
	Ended       []Ended
	// Refused is the reason if the worker refused the poll, otherwise zero. The other
	// fields of a refusal are not set.
	Refused Answer
}

// ErrNotSent reports that a request was not sent and had no effect.
var ErrNotSent = errors.New("worker: request not sent")

// Client sends requests to one worker. After an error other than ErrNotSent, the
// request may have taken effect or may still do so.
type Client interface {
	// Start starts an attempt and returns the worker's answer and its clock in
	// milliseconds.
	Start(ctx context.Context, request Start) (Answer, int64, error)
	// Stop stops an attempt, or prevents it from starting if it has not yet. The token is
	// the owner's fencing token. A refusal by the worker is an error.
	Stop(ctx context.Context, task job.TaskKey, attempt int, token int64) error
	// Poll extends the worker lease and returns the worker's report, which may be a
	// refusal. A request that acknowledges ended attempts reaches only the incarnation
	// that sent the last report through this client: if that may have ended, for instance
	// because its connection has, the request is not sent, and the error is ErrNotSent. A
	// client sends one poll at a time.
	Poll(ctx context.Context, request Poll) (Report, error)
}

// Ticket is the policy service's permission to run a step on a worker.
type Ticket struct {
	Worker string
	Value  string
}

// Advisor is a client of the policy service.
type Advisor interface {
	// Advise returns tickets for those of the workers that may run the step.
	Advise(ctx context.Context, jobID string, step int, workers []string) ([]Ticket, error)
}
