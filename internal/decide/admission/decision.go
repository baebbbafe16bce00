package admission

// Reason is why a submission is refused, as logs, metrics and answers show it; empty if it is
// accepted.
type Reason string

// Decision is what is decided about a submission.
type Decision struct {
	// Accepted is set if the submission is accepted.
	Accepted bool
	// Reason is why the submission is refused.
	Reason Reason
	// EstimateMillis is the expected time in milliseconds from now until the job would be done.
	EstimateMillis int64
	// RetryMillis is the time in milliseconds after which the caller of a refused submission
	// may return; zero if it is accepted.
	RetryMillis int64
}
