package job

import (
	"errors"
	"fmt"
)

const (
	// maxSteps bounds the steps of a job; the sheets have at most 4.
	maxSteps = 64
	// maxTasks bounds the tasks of a job, so that its records stay far below the
	// store's limit of a value.
	maxTasks = 4096
	// maxAmount bounds each amount asked for, against overflow of sums.
	maxAmount = 1 << 40
)

// Validate reports why the submission cannot be accepted, naming the step.
func (s Submission) Validate() error {
	if len(s.Steps) == 0 || len(s.Steps) > maxSteps {
		return fmt.Errorf("job has %d steps, allowed are 1 to %d", len(s.Steps), maxSteps)
	}
	tasks := 0
	for n, step := range s.Steps {
		if err := step.validate(n); err != nil {
			return fmt.Errorf("step %d: %w", n, err)
		}
		tasks += step.Count
		if tasks > maxTasks {
			return fmt.Errorf("job has over %d tasks", maxTasks)
		}
	}
	return nil
}

func (s StepSpec) validate(number int) error {
	if s.Count < 1 || s.Count > maxTasks {
		return fmt.Errorf("count is %d, allowed are 1 to %d", s.Count, maxTasks)
	}
	for _, a := range []int64{s.Needs.MilliCores, s.Needs.MemoryMB, s.Needs.Accelerators, s.EstimateMillis, int64(s.PerWorker)} {
		if a < 0 || a > maxAmount {
			return fmt.Errorf("amount %d is out of range", a)
		}
	}
	for _, a := range s.After {
		if a < 0 || a >= number {
			return fmt.Errorf("depends on step %d, which is not an earlier one", a)
		}
	}
	if s.Endless && s.Gang {
		return errors.New("a gang cannot run without end")
	}
	return nil
}
