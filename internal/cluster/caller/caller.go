package caller

import "github.com/citronbay/citronbay/internal/decide/job"

// Verb is what a request wants.
type Verb uint8

// The verbs.
const (
	Submit Verb = iota + 1
	Read
	Cancel
)

// Request is one call of a caller; Host and Path select the queue.
type Request struct {
	Verb Verb   `cbor:"1,keyasint"`
	Host string `cbor:"2,keyasint"`
	Path string `cbor:"3,keyasint"`
	Key  string `cbor:"4,keyasint,omitempty"`
	// Submission is the decoded body of a Submit.
	Submission *job.Submission `cbor:"5,keyasint,omitempty"`
	// Invalid says why the body of a Submit cannot be accepted.
	Invalid string `cbor:"6,keyasint,omitempty"`
	// Repeated tells that an earlier try at the same call has no answer and may
	// have taken effect.
	Repeated bool `cbor:"7,keyasint,omitempty"`
}

// Status is how a request ended.
type Status uint8

// The statuses. All but Unknown are final and true.
const (
	// Unknown means that a submission may or may not have been accepted.
	Unknown Status = iota
	OK
	// Refused work never runs; the caller may come back later.
	Refused
	// Invalid work never runs, however often it is sent.
	Invalid
	NoQueue
	BadKey
	// Gone means that no such job exists.
	Gone
	// NotOwner means that another entry must be asked.
	NotOwner
)

// JobState is what a caller is told of its job.
type JobState uint8

// The states of a job.
const (
	Queued JobState = iota + 1
	Running
	Completed
	Failed
	Cancelled
)

// Response answers a request.
type Response struct {
	Status Status   `cbor:"1,keyasint"`
	State  JobState `cbor:"2,keyasint,omitempty"`
	// Pending is the number of the queue's jobs that have not started, when a
	// queue was asked about.
	Pending int  `cbor:"3,keyasint,omitempty"`
	Queue   bool `cbor:"4,keyasint,omitempty"`
	// Reason explains a status other than OK.
	Reason string `cbor:"5,keyasint,omitempty"`
	// RetryMillis is when a refused caller should come back, in milliseconds.
	RetryMillis int64 `cbor:"6,keyasint,omitempty"`
}
