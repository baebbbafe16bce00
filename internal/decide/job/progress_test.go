package job_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/citronbay/citronbay/internal/decide/job"
)

// TestProgress tells workers that do nothing from slow ones.
func TestProgress(t *testing.T) {
	for name, test := range map[string]struct {
		begin, perSecond float64 // hundredths
		saves, want      bool
	}{
		"as estimated":         {perSecond: 20},
		"seven times slower":   {perSecond: 20.0 / 7},
		"standing still":       {want: true},
		"most work is done":    {begin: 70},
		"most work is saved":   {begin: 70, saves: true, want: true},
		"waiting for the gang": {begin: 100},
	} {
		t.Run(name, func(t *testing.T) {
			var p job.Placement
			step := job.Step{
				Spec: job.StepSpec{
					EstimateMillis: 5000,
					Checkpoints:    test.saves,
				},
			}
			stalled := false
			for now := int64(1000); now < 4500; now += 100 {
				percent := float64(int(test.begin + test.perSecond*float64(now)/1000))
				stalled = stalled || step.Progress(&p, percent, now)
			}
			assert.Equal(t, stalled, test.want)
		})
	}
}
