package shard

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestPauseAfterPass checks that passes are frequent with a small fleet, rarer with a
// large one, and with a backlog no rarer than keeping them to a seventh of the time needs.
func TestPauseAfterPass(t *testing.T) {
	for name, c := range map[string]struct {
		last, want time.Duration
	}{
		"small fleet": {
			last: 100 * time.Microsecond,
			want: 4 * time.Millisecond,
		},
		"large fleet": {
			last: 300 * time.Microsecond,
			want: 7500 * time.Microsecond,
		},
		"large fleet, slow processor": {
			last: time.Millisecond,
			want: 10 * time.Millisecond,
		},
		"backlog": {
			last: 20 * time.Millisecond,
			want: 120 * time.Millisecond,
		},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, pauseAfterPass(c.last), c.want)
		})
	}
}
