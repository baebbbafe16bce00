package caller

import (
	"fmt"
	"strconv"
)

// Limits on what a caller may submit.
const (
	// MaxNameBytes is the maximum length of a name or id, in bytes.
	MaxNameBytes = 128
	// MaxPayloadBytes is the maximum size of a payload, in bytes.
	MaxPayloadBytes = 256 << 10
	// MaxTasks is the maximum number of tasks of a job.
	MaxTasks = 10000
	// MaxDeadlineMillis is the maximum deadline of a request: ten minutes.
	MaxDeadlineMillis = 600_000
	// MaxRunMillis is the maximum duration of a simulated run, and the maximum
	// deadline of a job's first start: one day.
	MaxRunMillis = 86_400_000
)

// FieldError reports an invalid field, its value and the values allowed.
type FieldError struct {
	Field string
	Value string
	Bound string
}

// Error returns the field, its value and the values allowed in one line.
func (e *FieldError) Error() string {
	return fmt.Sprintf("%s: invalid value %q: must be %s", e.Field, e.Value, e.Bound)
}

// Problem returns the body of the response that rejects the submission, with the fate
// FateNotRun.
func (e *FieldError) Problem() Problem {
	return Problem{
		Error: e.Error(),
		Field: e.Field,
		Value: e.Value,
		Bound: e.Bound,
		Fate:  FateNotRun,
	}
}

// Validate returns a *FieldError for the first invalid field of the request, or nil.
func (r Request) Validate() error {
	return firstError(
		checkName("requestId", r.RequestID, 0, MaxNameBytes),
		checkName("service", r.Service, 1, MaxNameBytes),
		checkName("command", r.Command, 0, MaxNameBytes),
		checkLength("payload", r.Payload, MaxPayloadBytes),
		checkRange("runMillis", r.RunMillis, 0, MaxRunMillis),
		checkRange("deadlineMillis", r.DeadlineMillis, 0, MaxDeadlineMillis),
		checkUrgency(r.Urgency),
	)
}

// Validate returns a *FieldError for the first invalid field of the job, or nil. The
// size may not ask for slots, which only requests use.
func (j Job) Validate() error {
	return firstError(
		checkKind(j.Kind),
		checkName("name", j.Name, 0, MaxNameBytes),
		checkName("command", j.Command, 0, MaxNameBytes),
		checkLength("payload", j.Payload, MaxPayloadBytes),
		checkRange("tasks", int64(j.Tasks), 1, MaxTasks),
		checkRange("size.milliProcessors", j.Size.MilliProcessors, 1, 1<<20),
		checkRange("size.memoryBytes", j.Size.MemoryBytes, 0, 1<<45),
		checkRange("size.accelerators", j.Size.Accelerators, 0, 1<<10),
		checkRange("size.slots", j.Size.Slots, 0, 0),
		checkRange("runMillis", j.RunMillis, 0, MaxRunMillis),
		checkRange("deadlineMillis", j.DeadlineMillis, 0, MaxRunMillis),
		checkUrgency(j.Urgency),
	)
}

func firstError(errs ...*FieldError) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// checkName limits the length, in bytes, and the characters of a name or id. The
// error quotes at most the first MaxNameBytes bytes of the value.
func checkName(field, value string, minLength, maxLength int) *FieldError {
	valid := len(value) >= minLength && len(value) <= maxLength
	for _, char := range value {
		valid = valid && char > ' ' && char != '/' && char < 0x7f
	}
	if valid {
		return nil
	}
	return &FieldError{
		Field: field,
		Value: value[:min(len(value), MaxNameBytes)],
		Bound: fmt.Sprintf("%d to %d printable ASCII characters without spaces or slashes", minLength, maxLength),
	}
}

func checkLength(field, value string, maxLength int) *FieldError {
	if len(value) <= maxLength {
		return nil
	}
	return &FieldError{
		Field: field,
		Value: fmt.Sprintf("%d bytes", len(value)),
		Bound: fmt.Sprintf("at most %d bytes", maxLength),
	}
}

func checkRange(field string, value, minimum, maximum int64) *FieldError {
	if value >= minimum && value <= maximum {
		return nil
	}
	return &FieldError{
		Field: field,
		Value: strconv.FormatInt(value, 10),
		Bound: fmt.Sprintf("%d to %d", minimum, maximum),
	}
}

func checkUrgency(value Urgency) *FieldError {
	switch value {
	case "", Urgent, Normal, Low:
		return nil
	}
	return &FieldError{
		Field: "urgency",
		Value: string(value),
		Bound: "one of urgent, normal, low",
	}
}

func checkKind(value Kind) *FieldError {
	switch value {
	case KindBatch, KindAllAtOnce, KindService:
		return nil
	}
	return &FieldError{
		Field: "kind",
		Value: string(value),
		Bound: "one of batch, allAtOnce, service",
	}
}
