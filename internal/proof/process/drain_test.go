package process

import (
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronbay/citronbay/internal/api/caller"
)

// TestRollingShutdownCutsNothing shuts down every entry, one after the other,
// under load through all of them. A caller finds either an answer, or a
// connection that was refused before anything was sent.
func TestRollingShutdownCutsNothing(t *testing.T) {
	c := startCell(t, threeDomains())
	key, _ := c.team("kiln", 100)
	job := c.fill(c.client(c.order[0], key), 300, 200*time.Millisecond)
	for _, name := range c.order {
		var others []string
		for _, other := range c.order {
			if other != name {
				others = append(others, other)
			}
		}
		through := c.startLoad(key, "through-"+name, []string{name}, 6, caller.Request{
			Service:   service,
			Command:   "shade",
			Payload:   "clay",
			RunMillis: 400,
		})
		beside := c.startLoad(key, "beside-"+name, others, 6, caller.Request{
			Service:    service,
			Command:    "shade",
			Payload:    "clay",
			RunMillis:  100,
			AtMostOnce: true,
		})
		eventually(t, patience, "answers", func() error { return atLeast(through, 6) })
		begun := time.Now()
		c.signal(name, syscall.SIGTERM)
		<-c.entries[name].done
		t.Logf("%s ended after %s", name, time.Since(begun).Round(time.Millisecond))
		through.finish()
		c.start(name)
		eventually(t, patience, "a ready entry", func() error {
			_, err := c.lookup(name, key)
			return err
		})
		c.awaitOwners()
		beside.finish()
		for _, id := range through.broken {
			assert.Equal(t, c.starts(id), 0, "%s ran and was cut: %s", id, through.reasons[id])
		}
		assert.Equal(t, len(through.fates[caller.FateUnknown]), 0, through.why(through.fates[caller.FateUnknown]))
		assert.Equal(t, len(beside.broken), 0, beside.why(beside.broken))
		assert.Equal(t, len(beside.fates[caller.FateUnknown]), 0, beside.why(beside.fates[caller.FateUnknown]))
		c.checkFates(through, false)
		c.checkFates(beside, false)
	}
	ended := awaitJob(t, c.client(c.order[0], key), job, patience)
	assert.Equal(t, ended.Fate, caller.FateCompleted, ended.Reason)
	c.checkNoOverlap()
	c.checkFilled()
}

// silentLimit is the stated time in which a silent connection is replaced.
const silentLimit = 5 * time.Second

// TestSilentConnectionsAreReplaced lets the open connections of one hop go
// silent for good under load; new ones work.
func TestSilentConnectionsAreReplaced(t *testing.T) {
	for name, strike := range map[string]func(c *cell) int{
		"between entries": func(c *cell) int {
			n := 0
			for _, path := range c.paths {
				n += path.SilenceSenders()
			}
			return n
		},
		"to the upstreams": func(c *cell) int {
			n := 0
			for _, m := range c.upstreams {
				n += m.proxy.SilenceConnections()
			}
			return n
		},
		"to the platform": func(c *cell) int {
			n := 0
			for _, e := range c.entries {
				n += e.store.SilenceConnections()
			}
			return n
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := startCell(t, oneDomain())
			key, _ := c.team("kiln", 100)
			load := c.startLoad(key, "silent", c.order, 8, caller.Request{
				Service:        service,
				Command:        "shade",
				Payload:        "clay",
				RunMillis:      50,
				DeadlineMillis: 6000,
			})
			eventually(t, patience, "answers before", func() error { return atLeast(load, 40) })
			for range 2 {
				silenced := strike(c)
				assert.Assert(t, silenced > 0)
				begun := time.Now()
				before := load.count(caller.FateCompleted)
				eventually(t, silentLimit, "answers after", func() error { return atLeast(load, before+40) })
				t.Logf("%d connections silent, 40 answers after %s", silenced, time.Since(begun).Round(time.Millisecond))
			}
			load.finish()
			assert.Equal(t, len(load.broken), 0, load.why(load.broken))
			assert.Equal(t, len(load.fates[caller.FateUnknown]), 0, load.why(load.fates[caller.FateUnknown]))
			_, err := c.usePreset(c.order[0], "peak")
			assert.NilError(t, err)
			c.awaitPreset(c.order, "peak", changeLimit)
			c.checkFates(load, false)
			c.checkNoOverlap()
		})
	}
}
