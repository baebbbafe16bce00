package node

import (
	"sync/atomic"
	"time"
)

const (
	// lagTick is the interval of the timer whose delay a lagMeter measures.
	lagTick = 20 * time.Millisecond
	// lagMemory is for how long a lagMeter remembers a delay: longer than any check of
	// the store that the delay can have disturbed.
	lagMemory = time.Second
	// maxTimerLag is the delay of a timer above which a process is too busy to judge
	// others by timeouts. Timers of an idle process are late by about a millisecond.
	maxTimerLag = 60 * time.Millisecond
)

// lagMeter measures by how much timers of this process fire late, which shows that the
// process gets too little processor time. Create it with startLagMeter.
type lagMeter struct {
	// current and previous are the longest delays, in nanoseconds, in the present and
	// the previous interval of lagMemory.
	current, previous atomic.Int64
}

// startLagMeter returns a meter and the function that stops it.
func startLagMeter() (*lagMeter, func()) {
	m := &lagMeter{}
	done := make(chan struct{})
	go m.run(done)
	return m, func() { close(done) }
}

func (m *lagMeter) run(done <-chan struct{}) {
	rotatedAt := time.Now()
	for {
		start := time.Now()
		select {
		case <-done:
			return
		case <-time.After(lagTick):
		}
		if time.Since(rotatedAt) > lagMemory {
			rotatedAt = time.Now()
			m.previous.Store(m.current.Swap(0))
		}
		m.observe(time.Since(start) - lagTick)
	}
}

func (m *lagMeter) observe(delay time.Duration) {
	m.current.Store(max(m.current.Load(), int64(delay)))
}

// longest returns the longest delay in the last lagMemory or a little more.
func (m *lagMeter) longest() time.Duration {
	return time.Duration(max(m.current.Load(), m.previous.Load()))
}
