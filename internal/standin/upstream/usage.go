package upstream

import (
	"github.com/citronbay/citronbay/internal/api/upstream"
)

// usageSample is the amount of resources in use from fromMillis on.
type usageSample struct {
	fromMillis int64
	used       upstream.Resources
}

// recordUsage adds a sample of the amount in use if the fault UsageLagMillis is set.
func (u *Upstream) recordUsage() {
	if u.faults.UsageLagMillis > 0 {
		u.usageSamples = append(u.usageSamples, usageSample{
			fromMillis: u.nowMillis(),
			used:       u.used,
		})
	}
}

// reportedUsage returns the amount in use that status reports carry, which lags
// by UsageLagMillis if that fault is set.
func (u *Upstream) reportedUsage(now int64) upstream.Resources {
	for len(u.usageSamples) > 1 && u.usageSamples[1].fromMillis <= now-u.faults.UsageLagMillis {
		u.usageSamples = u.usageSamples[1:]
	}
	if u.faults.UsageLagMillis == 0 || len(u.usageSamples) == 0 {
		return u.used
	}
	return u.usageSamples[0].used
}
