package shard

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestPauseAfterPass checks that the pause is short with a small fleet, longer with a
// large one, and with a backlog just long enough to limit passes to 1/7 of the time. One
// pass during which the process gets no processor time must not stop starts for seconds.
func TestPauseAfterPass(t *testing.T) {
	for name, c := range map[string]struct {
		passDuration, want time.Duration
	}{
		"small fleet": {
			passDuration: 100 * time.Microsecond,
			want:         4 * time.Millisecond,
		},
		"large fleet": {
			passDuration: 300 * time.Microsecond,
			want:         7500 * time.Microsecond,
		},
		"large fleet, slow processor": {
			passDuration: time.Millisecond,
			want:         10 * time.Millisecond,
		},
		"backlog": {
			passDuration: 20 * time.Millisecond,
			want:         120 * time.Millisecond,
		},
		"pass that was held up": {
			passDuration: 700 * time.Millisecond,
			want:         200 * time.Millisecond,
		},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, pauseAfterPass(c.passDuration), c.want)
		})
	}
}
