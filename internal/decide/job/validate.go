package job

import (
	"errors"
	"fmt"
)

const (
	// maxSteps is the maximum number of steps of a job; the users' workloads have at
	// most 4.
	maxSteps = 64
	// maxTasks is the maximum number of tasks of a job, so that its records stay far
	// below the store's limit on the size of a value.
	maxTasks = 4096
	// maxAmount is the maximum of each of a step's needs, its estimate and its maximum
	// per worker, so that sums do not overflow.
	maxAmount = 1 << 40
)

// Validate returns an error if the submission cannot be accepted. If the fault is in one
// step, the error names the step.
func (s Submission) Validate() error {
	if len(s.Steps) == 0 || len(s.Steps) > maxSteps {
		return fmt.Errorf("job has %d steps, must have 1 to %d", len(s.Steps), maxSteps)
	}
	tasks := 0
	for n, step := range s.Steps {
		if err := step.validate(n); err != nil {
			return fmt.Errorf("step %d: %w", n, err)
		}
		tasks += step.Count
		if tasks > maxTasks {
			return fmt.Errorf("job has more than %d tasks", maxTasks)
		}
	}
	return nil
}

func (s StepSpec) validate(number int) error {
	if s.Count < 1 || s.Count > maxTasks {
		return fmt.Errorf("count is %d, must be 1 to %d", s.Count, maxTasks)
	}
	for _, a := range []int64{s.Needs.MilliCores, s.Needs.MemoryMB, s.Needs.Accelerators, s.EstimateMillis, int64(s.MaxPerWorker)} {
		if a < 0 || a > maxAmount {
			return fmt.Errorf("one of the needs, the estimate or the maximum per worker is %d, which is negative or too large", a)
		}
	}
	for _, a := range s.After {
		if a < 0 || a >= number {
			return fmt.Errorf("depends on step %d, which is not an earlier step", a)
		}
	}
	if s.Endless && s.Gang {
		return errors.New("a gang cannot be endless")
	}
	return nil
}
