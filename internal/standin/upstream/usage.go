package upstream

import (
	"github.com/citronbay/citronbay/internal/api/upstream"
)

// sample is what was in use from a moment on, in the upstream's clock.
type sample struct {
	at   int64
	used upstream.Resources
}

// noteUse remembers what is in use, while reports lag.
func (u *Upstream) noteUse() {
	if u.faults.UsageLagMillis > 0 {
		u.samples = append(u.samples, sample{
			at:   u.clock(),
			used: u.used,
		})
	}
}

// reported returns what the upstream tells of its use at the moment.
func (u *Upstream) reported(now int64) upstream.Resources {
	for len(u.samples) > 1 && u.samples[1].at <= now-u.faults.UsageLagMillis {
		u.samples = u.samples[1:]
	}
	if u.faults.UsageLagMillis == 0 || len(u.samples) == 0 {
		return u.used
	}
	return u.samples[0].used
}
