package job_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/citronbay/citronbay/internal/decide/job"
)

// TestProgressDetectsStalledAttempts checks that attempts without progress are reported as
// stalled, and slow ones are not.
func TestProgressDetectsStalledAttempts(t *testing.T) {
	for name, test := range map[string]struct {
		startPercent, percentPerSecond float64
		checkpointing, want            bool
	}{
		"as estimated":                                   {percentPerSecond: 20},
		"seven times slower than estimated":              {percentPerSecond: 20.0 / 7},
		"no progress":                                    {want: true},
		"no progress since 70 percent":                   {startPercent: 70},
		"no progress since 70 percent, with checkpoints": {startPercent: 70, checkpointing: true, want: true},
		"finished and waiting for the gang":              {startPercent: 100},
	} {
		t.Run(name, func(t *testing.T) {
			var p job.Placement
			step := job.Step{
				Spec: job.StepSpec{
					EstimateMillis: 5000,
					Checkpointing:  test.checkpointing,
				},
			}
			stalled := false
			for now := int64(1000); now < 4500; now += 100 {
				// Whole percents, so that a slow attempt repeats its progress.
				percent := float64(int(test.startPercent + test.percentPerSecond*float64(now)/1000))
				stalled = stalled || step.UpdateProgress(&p, percent, now)
			}
			assert.Equal(t, stalled, test.want)
		})
	}
}
