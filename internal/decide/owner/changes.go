package owner

import (
	"slices"
	"time"
)

const (
	// changeMemory is for how long a change of the owner counts against the next one.
	changeMemory = 20 * time.Second
	// firstPatience is the silence after which an owner is replaced if there was no change
	// lately. It covers three hellos.
	firstPatience = 600 * time.Millisecond
	// secondPatience is the same after one change. It is as long as the ownership lease.
	secondPatience = 1200 * time.Millisecond
	// busyPatience is the least silence after which an owner is replaced whose packets still
	// arrive: its process runs, but is busy or behind a full link.
	busyPatience = 1500 * time.Millisecond
	// maxEarlyChanges is the number of changes within changeMemory after which an owner is
	// replaced only when its lease has ended.
	maxEarlyChanges = 2
)

// Changes holds the times of the latest unplanned changes of the owner. Each takeover loads
// the links and processors of all nodes, so that a node that gets too little of these may
// take the next owner for dead too; what limits such a series is that patience grows with
// each change. The zero value holds none.
type Changes struct {
	times []time.Time
}

// With returns the changes with one more at the given time.
func (c Changes) With(at time.Time) Changes {
	kept := slices.DeleteFunc(slices.Clone(c.times), func(t time.Time) bool {
		return at.Sub(t) > changeMemory
	})
	return Changes{times: append(kept, at)}
}

// Observation is what a node knows of an owner that does not answer.
type Observation struct {
	// Heard is set if packets of the owner have arrived lately.
	Heard bool
	// SmallLink is set if the owner's link may be full. Datagrams are then lost for seconds,
	// while the owner goes on renewing its lease over TCP.
	SmallLink bool
	// Weak is set if the observing node is much weaker than another one, which replaces the
	// owner first.
	Weak bool
}

// Patience returns how long the owner must have given no answer before a node replaces it while
// its lease may still hold. It returns false if only the end of the lease counts.
func (c Changes) Patience(now time.Time, o Observation) (time.Duration, bool) {
	recent := 0
	for _, t := range c.times {
		if now.Sub(t) <= changeMemory {
			recent++
		}
	}
	if o.SmallLink || recent >= maxEarlyChanges {
		return 0, false
	}
	patience := firstPatience
	if recent > 0 {
		patience = secondPatience
	}
	if o.Weak {
		patience *= 2
	}
	if o.Heard {
		patience = max(patience, busyPatience)
	}
	return patience, true
}
