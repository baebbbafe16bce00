package process

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronbay/citronbay/internal/api/caller"
	"github.com/citronbay/citronbay/internal/standin/upstream"
)

// eachRunner calls strike for every runner's machine.
func (c *cell) eachRunner(strike func(*machine)) {
	for _, m := range c.upstreams {
		if m.vm.Service != "" {
			strike(m)
		}
	}
}

// comparison begins load through all entries and waits for the first answers.
func (c *cell) comparison(key string, callers int, runMillis, deadlineMillis int64, atMostOnce bool) *load {
	c.t.Helper()
	l := c.startLoad(key, "answer", c.order, callers, caller.Request{
		Service:        service,
		Command:        "shade",
		Payload:        "terracotta",
		RunMillis:      runMillis,
		AtMostOnce:     atMostOnce,
		DeadlineMillis: deadlineMillis,
	})
	eventually(c.t, patience, "answers before", func() error { return atLeast(l, 20) })
	return l
}

// TestCallersGetTheirOwnWholeAnswers lets the load compare each answer with its
// request while answers are crossed, late or cut short on their way.
func TestCallersGetTheirOwnWholeAnswers(t *testing.T) {
	for name, strike := range map[string]func(c *cell, on bool){
		"crossed at the runner": func(c *cell, on bool) {
			c.eachRunner(func(m *machine) { m.state.SetFaults(upstream.Faults{SendPreviousResponse: on}) })
		},
		"late at the runner": func(c *cell, on bool) {
			faults := upstream.Faults{}
			if on {
				faults.ResponseDelayMillis = 2500
			}
			c.eachRunner(func(m *machine) { m.state.SetFaults(faults) })
		},
		"cut short at the runner": func(c *cell, on bool) {
			c.eachRunner(func(m *machine) { m.state.SetFaults(upstream.Faults{TruncateResponses: on}) })
		},
		"cut short on the way from the runner": func(c *cell, on bool) {
			bytes := int64(0)
			if on {
				bytes = 150
			}
			c.eachRunner(func(m *machine) {
				m.proxy.LimitResponseBytes(bytes)
				m.proxy.CloseConnections()
			})
		},
		"delayed, reordered and repeated between entries": func(c *cell, on bool) {
			for _, path := range c.paths {
				path.SetDuplicate(on)
				path.SetDelay(0)
				if on {
					path.SetDelay(15 * time.Millisecond)
				}
			}
		},
	} {
		for mode, atMostOnce := range map[string]bool{
			"repeatable":   false,
			"at most once": true,
		} {
			t.Run(name+"/"+mode, func(t *testing.T) {
				t.Parallel()
				c := startCell(t, oneDomain())
				key, _ := c.team("kiln", 100)
				load := c.comparison(key, 6, 20, 8000, atMostOnce)
				strike(c, true)
				time.Sleep(3 * time.Second)
				strike(c, false)
				after := load.count(caller.FateCompleted)
				eventually(t, patience, "answers after", func() error { return atLeast(load, after+20) })
				load.finish()
				assert.Equal(t, len(load.broken), 0, load.why(load.broken))
				c.checkFates(load, atMostOnce)
				c.checkNoOverlap()
				c.checkFilled()
			})
		}
	}
}

// TestNotRunIsTrueWhenConnectionsEnd ends connections at random moments at every
// hop under load, and compares fates with what the runners saw.
func TestNotRunIsTrueWhenConnectionsEnd(t *testing.T) {
	for name, strike := range map[string]func(c *cell, n int){
		"between owner and runner": func(c *cell, _ int) {
			c.eachRunner(func(m *machine) { m.proxy.CloseConnections() })
		},
		"between owner and runner, refused for a while": func(c *cell, n int) {
			c.eachRunner(func(m *machine) { m.proxy.SetCut(n%2 == 0) })
		},
		"between entry and platform": func(c *cell, _ int) {
			for _, e := range c.entries {
				e.store.CloseConnections()
			}
		},
		"between entries": func(c *cell, _ int) {
			for _, path := range c.paths {
				path.SilenceSenders()
			}
		},
	} {
		for mode, atMostOnce := range map[string]bool{
			"repeatable":   false,
			"at most once": true,
		} {
			t.Run(name+"/"+mode, func(t *testing.T) {
				t.Parallel()
				c := startCell(t, oneDomain())
				key, _ := c.team("kiln", 100)
				load := c.comparison(key, 8, 30, 5000, atMostOnce)
				for n := range 12 {
					strike(c, n)
					time.Sleep(time.Duration(100+37*n) * time.Millisecond)
				}
				c.eachRunner(func(m *machine) { m.proxy.SetCut(false) })
				after := load.count(caller.FateCompleted)
				eventually(t, patience, "answers after", func() error { return atLeast(load, after+20) })
				load.finish()
				t.Logf("completed %d, notRun %d, failed %d, unknown %d", len(load.fates[caller.FateCompleted]), len(load.fates[caller.FateNotRun]), len(load.fates[caller.FateFailed]), len(load.fates[caller.FateUnknown]))
				assert.Equal(t, len(load.broken), 0, load.why(load.broken))
				c.checkFates(load, atMostOnce)
				c.checkNoOverlap()
				c.checkFilled()
			})
		}
	}
}
