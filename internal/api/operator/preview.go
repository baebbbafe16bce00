package operator

// Preview says what would become of a submission now.
type Preview struct {
	Owner            string `json:"owner"`
	AgreementVersion int64  `json:"agreementVersion"`
	Queue            string `json:"queue"`
	Team             string `json:"team"`
	// KnownJob is set if the owner has a job with the ID in the path: a repeated submission gets the
	// answer that the first one got.
	KnownJob bool `json:"knownJob"`
	OverRate bool `json:"overRate"`
	// Accepted says whether the submission would be accepted, and Reason why not. EstimateMillis is
	// the expected time until the job is done, or zero if none is known, and RetryAfterSeconds the
	// Retry-After of the refusal.
	Accepted          bool          `json:"accepted"`
	Reason            string        `json:"reason,omitempty"`
	EstimateMillis    int64         `json:"estimateMillis,omitempty"`
	RetryAfterSeconds int64         `json:"retryAfterSeconds,omitempty"`
	Steps             []PreviewStep `json:"steps"`
}

// PreviewStep says where the tasks of a step would go if the submission were accepted.
type PreviewStep struct {
	Tasks  int `json:"tasks"`
	Starts int `json:"starts"`
	// Ahead is the number of waiting steps of other jobs that go first.
	Ahead int `json:"ahead"`
	// WaitCause is why tasks would wait, as in the metrics, and WaitReason describes it.
	WaitCause  string `json:"waitCause,omitempty"`
	WaitReason string `json:"waitReason,omitempty"`
	// Candidates are the first of the workers with room, in the order in which they are preferred, and
	// CandidateCount is the number of all.
	Candidates     []PreviewCandidate `json:"candidates"`
	CandidateCount int                `json:"candidateCount"`
	// Excluded counts the other workers by cause.
	Excluded map[string]int `json:"excluded"`
}

// PreviewCandidate is a worker on which tasks of a step could start.
type PreviewCandidate struct {
	Worker         string `json:"worker"`
	Rack           string `json:"rack"`
	FreeMilliCores int64  `json:"freeMilliCores"`
	// Cost is the cost of the placement in thousandths of a core, beside the free processors.
	Cost   int64 `json:"cost"`
	Fits   int   `json:"fits"`
	Starts int   `json:"starts"`
}
