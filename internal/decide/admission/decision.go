package admission

// Reason is why a submission is refused, as logs, metrics and answers show it; empty if it is
// accepted.
type Reason string

// The reasons.
const (
	// OpenWork means that the owner holds as many or as large open jobs as it can.
	OpenWork Reason = "openWork"
	// OverRate means that the submission is over its team's agreed rate, and the fleet has no
	// room beside the work within the rates.
	OverRate Reason = "overRate"
	// TeamCap, FleetBusy, PolicyBusy and LinkBusy mean that the job could not be done in time, for
	// the work ahead of it under its team's cap, on the workers, at the policy service and on the
	// owner's link.
	TeamCap    Reason = "teamCap"
	FleetBusy  Reason = "fleetBusy"
	PolicyBusy Reason = "policyBusy"
	LinkBusy   Reason = "linkBusy"
)

// AllReasons returns all reasons.
func AllReasons() []Reason {
	return []Reason{OpenWork, OverRate, TeamCap, FleetBusy, PolicyBusy, LinkBusy}
}

var reasonTexts = map[Reason]string{
	OpenWork:   "too many jobs are open",
	OverRate:   "the team submits more than its agreed rate, and there is no room beside the work within the rates",
	TeamCap:    "the job could not be done in time under its team's cap",
	FleetBusy:  "the job could not be done in time, too much work waits for workers",
	PolicyBusy: "the job could not be done in time, too much work waits for the policy service",
	LinkBusy:   "the job could not be done in time, too many orders wait for the owner's link",
}

// Text returns the reason in words, for callers.
func (r Reason) Text() string {
	return reasonTexts[r]
}

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
