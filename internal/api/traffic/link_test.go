package traffic

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestInterval computes how often messages of 1,000 bytes are sent that may take a tenth of the
// link.
func TestInterval(t *testing.T) {
	const least, most = 10 * time.Millisecond, 200 * time.Millisecond
	for name, c := range map[string]struct {
		mbps float64
		want time.Duration
	}{
		"unknown": {want: least},
		"small":   {mbps: 2, want: 40 * time.Millisecond},
		"tiny":    {mbps: 0.1, want: most},
		"minute":  {mbps: 1e-300, want: most},
		"large":   {mbps: 1000, want: least},
	} {
		t.Run(name, func(t *testing.T) {
			got := Link{Mbps: c.mbps}.Interval(1000, 0.1, least, most)
			assert.Assert(t, (got-c.want).Abs() < time.Microsecond, "%v", got)
		})
	}
}
