package caller

import "github.com/citronbay/citronbay/internal/decide/job"

// Verb is the operation that a request asks for.
type Verb uint8

// The operations.
const (
	Submit Verb = iota + 1
	// Read reads the state of a job or of a queue.
	Read
	Cancel
)

// String returns the verb's name, for logs.
func (v Verb) String() string {
	switch v {
	case Submit:
		return "submit"
	case Read:
		return "read"
	case Cancel:
		return "cancel"
	}
	return "unknown"
}

// Request is a request of a caller. Host and the prefix of Path select the queue; the
// rest of Path is the job's ID, or empty for the queue itself.
type Request struct {
	Verb Verb   `cbor:"1,keyasint"`
	Host string `cbor:"2,keyasint"`
	Path string `cbor:"3,keyasint"`
	// Key is the caller's API key; empty if it sent none.
	Key string `cbor:"4,keyasint,omitempty"`
	// Submission is the decoded body of a Submit.
	Submission *job.Submission `cbor:"5,keyasint,omitempty"`
	// InvalidReason says why the body of a Submit could not be decoded; empty if it
	// was decoded.
	InvalidReason string `cbor:"6,keyasint,omitempty"`
	// Call identifies the caller's call among all calls; it is never zero. The entry draws
	// it, and all attempts to pass the call to an owner carry the same one. Two calls that
	// submit the same job differ in it.
	Call uint64 `cbor:"8,keyasint,omitempty"`
	// Agreement is the newest version of the agreement that the entry has seen in a
	// Response, or zero. An owner that has an older one reads it again before it answers.
	Agreement int64 `cbor:"9,keyasint,omitempty"`
}

// Status is the outcome of a request.
type Status uint8

// The statuses. All but Unknown are definite and are not revised later.
const (
	// Unknown means that the request may or may not have taken effect.
	Unknown Status = iota
	OK
	// Refused means that the request had no effect; the caller may retry later.
	Refused
	// Invalid means that the submission was rejected and would be rejected again.
	Invalid
	// NoQueue means that no queue is configured for the host and path.
	NoQueue
	// BadKey means that the key is missing or unknown.
	BadKey
	// NoJob means that no such job exists, or that it belongs to another team.
	NoJob
	// NotOwner means that the node does not own the shard; another one must be
	// asked.
	NotOwner
)

var statusNames = map[Status]string{
	Unknown:  "unknown",
	OK:       "ok",
	Refused:  "refused",
	Invalid:  "invalid",
	NoQueue:  "noQueue",
	BadKey:   "badKey",
	NoJob:    "noJob",
	NotOwner: "notOwner",
}

// String returns the status's name, for logs.
func (s Status) String() string {
	return statusNames[s]
}

// JobState is a job's state as reported to its caller.
type JobState uint8

// The states of a job.
const (
	Queued JobState = iota + 1
	Running
	Completed
	Failed
	Cancelled
)

// Response is the answer to a request.
type Response struct {
	Status Status   `cbor:"1,keyasint"`
	State  JobState `cbor:"2,keyasint,omitempty"`
	// Pending is the number of the queue's jobs that have not started, if IsQueue is
	// set.
	Pending int `cbor:"3,keyasint,omitempty"`
	// IsQueue is set if the request read a queue instead of a job.
	IsQueue bool `cbor:"4,keyasint,omitempty"`
	// Reason explains a status other than OK.
	Reason string `cbor:"5,keyasint,omitempty"`
	// RetryMillis is the delay after which the caller may retry, if Status is Refused.
	RetryMillis int64 `cbor:"6,keyasint,omitempty"`
	// Agreement is the version of the agreement that the owner had when it answered, or
	// zero if no owner has answered.
	Agreement int64 `cbor:"7,keyasint,omitempty"`
}
