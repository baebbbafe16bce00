package caller

import (
	"fmt"
	"strconv"
)

// Bounds on what a caller may submit.
const (
	// MaxName is the longest name or id, in bytes.
	MaxName = 128
	// MaxPayload is the largest payload, in bytes.
	MaxPayload = 256 << 10
	// MaxTasks is the greatest number of tasks of one job.
	MaxTasks = 10000
	// MaxDeadlineMillis is the longest deadline of a request: ten minutes.
	MaxDeadlineMillis = 600_000
	// MaxRunMillis is the longest simulated run: one day.
	MaxRunMillis = 86_400_000
)

// FieldError names the field at fault, its value and the bound it breaks.
type FieldError struct {
	Field string
	Value string
	Bound string
}

// Error returns the field, the value and the bound in one line.
func (e *FieldError) Error() string {
	return fmt.Sprintf("%s: %q breaks the bound: %s", e.Field, e.Value, e.Bound)
}

// Problem returns the answer that refuses the submission.
func (e *FieldError) Problem() Problem {
	return Problem{
		Error: e.Error(),
		Field: e.Field,
		Value: e.Value,
		Bound: e.Bound,
		Fate:  FateNotRun,
	}
}

// Validate returns a FieldError for the first field of the request that
// breaks a bound.
func (r Request) Validate() error {
	return first(
		text("requestId", r.RequestID, 0, MaxName),
		text("service", r.Service, 1, MaxName),
		text("command", r.Command, 0, MaxName),
		length("payload", r.Payload, MaxPayload),
		number("runMillis", r.RunMillis, 0, MaxRunMillis),
		number("deadlineMillis", r.DeadlineMillis, 0, MaxDeadlineMillis),
		urgency(r.Urgency),
	)
}

// Validate returns a FieldError for the first field of the job that breaks a
// bound.
func (j Job) Validate() error {
	return first(
		kind(j.Kind),
		text("name", j.Name, 0, MaxName),
		text("command", j.Command, 0, MaxName),
		length("payload", j.Payload, MaxPayload),
		number("tasks", int64(j.Tasks), 1, MaxTasks),
		number("size.milliProcessors", j.Size.MilliProcessors, 1, 1<<20),
		number("size.memoryBytes", j.Size.MemoryBytes, 0, 1<<45),
		number("size.accelerators", j.Size.Accelerators, 0, 1<<10),
		number("size.slots", j.Size.Slots, 0, 0),
		number("runMillis", j.RunMillis, 0, MaxRunMillis),
		number("deadlineMillis", j.DeadlineMillis, 0, MaxRunMillis),
		urgency(j.Urgency),
	)
}

func first(errs ...*FieldError) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

func text(field, value string, least, most int) *FieldError {
	plain := len(value) >= least && len(value) <= most
	for _, c := range value {
		plain = plain && c > ' ' && c != '/' && c < 0x7f
	}
	if plain {
		return nil
	}
	return &FieldError{
		Field: field,
		Value: value[:min(len(value), MaxName)],
		Bound: fmt.Sprintf("%d to %d printable ASCII characters without spaces or slashes", least, most),
	}
}

func length(field, value string, most int) *FieldError {
	if len(value) <= most {
		return nil
	}
	return &FieldError{
		Field: field,
		Value: fmt.Sprintf("%d bytes", len(value)),
		Bound: fmt.Sprintf("at most %d bytes", most),
	}
}

func number(field string, value, least, most int64) *FieldError {
	if value >= least && value <= most {
		return nil
	}
	return &FieldError{
		Field: field,
		Value: strconv.FormatInt(value, 10),
		Bound: fmt.Sprintf("%d to %d", least, most),
	}
}

func urgency(value Urgency) *FieldError {
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

func kind(value Kind) *FieldError {
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
