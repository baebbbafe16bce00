package process

import (
	"context"
	"errors"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronbay/citronbay/internal/api/caller"
)

// TestRollingShutdownLosesNoRequest guards against a shutdown that closes a
// connection while its request runs. Each entry in turn is terminated and
// restarted under load through all of them: a caller must get an answer, or an
// error for a request that never started.
func TestRollingShutdownLosesNoRequest(t *testing.T) {
	c := startCell(t, threeDomains())
	key, _ := c.createTeam("kiln", 100)
	job := c.submitBatch(c.client(c.entryNames[0], key), 300, 200*time.Millisecond)
	for _, name := range c.entryNames {
		var others []string
		for _, other := range c.entryNames {
			if other != name {
				others = append(others, other)
			}
		}
		targetLoad := c.startLoad(key, "through-"+name, []string{name}, 6, caller.Request{
			Service:   service,
			Command:   "shade",
			Payload:   "clay",
			RunMillis: 400,
		})
		otherLoad := c.startLoad(key, "beside-"+name, others, 6, caller.Request{
			Service:    service,
			Command:    "shade",
			Payload:    "clay",
			RunMillis:  100,
			AtMostOnce: true,
		})
		eventually(t, defaultTimeout, "answers", func() error { return checkCompletedAtLeast(targetLoad, 6) })
		start := time.Now()
		c.signalEntry(name, syscall.SIGTERM)
		<-c.entries[name].exited
		t.Logf("%s exited after %s", name, time.Since(start).Round(time.Millisecond))
		targetLoad.finish()
		c.startEntry(name)
		eventually(t, defaultTimeout, "restarted entry serves requests", func() error {
			_, err := c.sendRequest(name, key)
			return err
		})
		c.awaitAllLeased()
		otherLoad.finish()
		for _, id := range targetLoad.invalidIDs {
			assert.Equal(t, c.startCount(id), 0, "%s ran and got no valid answer: %s", id, targetLoad.reasons[id])
		}
		assert.Equal(t, len(targetLoad.fates[caller.FateUnknown]), 0, targetLoad.reasonSummary(targetLoad.fates[caller.FateUnknown]))
		assert.Equal(t, len(otherLoad.invalidIDs), 0, otherLoad.reasonSummary(otherLoad.invalidIDs))
		assert.Equal(t, len(otherLoad.fates[caller.FateUnknown]), 0, otherLoad.reasonSummary(otherLoad.fates[caller.FateUnknown]))
		c.checkFates(targetLoad, false)
		c.checkFates(otherLoad, false)
	}
	ended := awaitJob(t, c.client(c.entryNames[0], key), job, defaultTimeout)
	assert.Equal(t, ended.Fate, caller.FateCompleted, ended.Reason)
	c.checkNoOverlap()
	c.checkNoOverfill()
}

// silentConnectionLimit is the specified time within which a silent connection is
// replaced.
const silentConnectionLimit = 5 * time.Second

// TestSilentConnectionsAreReplaced guards against an entry that keeps using a dead
// connection. Under load, all open connections of one hop stop delivering data for
// good without closing; new connections work.
func TestSilentConnectionsAreReplaced(t *testing.T) {
	for name, silence := range map[string]func(c *cell) int{
		"between entries": func(c *cell) int {
			n := 0
			for _, peerProxy := range c.peerProxies {
				n += peerProxy.SilenceSenders()
			}
			return n
		},
		"to the upstreams": func(c *cell) int {
			n := 0
			for _, u := range c.upstreams {
				n += u.proxy.SilenceConnections()
			}
			return n
		},
		"to the platform": func(c *cell) int {
			n := 0
			for _, e := range c.entries {
				n += e.platformProxy.SilenceConnections()
			}
			return n
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := startCell(t, oneDomain())
			key, _ := c.createTeam("kiln", 100)
			load := c.startLoad(key, "silent", c.entryNames, 8, caller.Request{
				Service:        service,
				Command:        "shade",
				Payload:        "clay",
				RunMillis:      50,
				DeadlineMillis: 6000,
			})
			eventually(t, defaultTimeout, "answers before the fault", func() error { return checkCompletedAtLeast(load, 40) })
			for range 2 {
				silenced := silence(c)
				assert.Assert(t, silenced > 0)
				start := time.Now()
				before := load.count(caller.FateCompleted)
				eventually(t, silentConnectionLimit, "answers after the fault", func() error { return checkCompletedAtLeast(load, before+40) })
				t.Logf("%d connections silent, 40 answers after %s", silenced, time.Since(start).Round(time.Millisecond))
			}
			load.finish()
			assert.Equal(t, len(load.invalidIDs), 0, load.reasonSummary(load.invalidIDs))
			assert.Equal(t, len(load.fates[caller.FateUnknown]), 0, load.reasonSummary(load.fates[caller.FateUnknown]))
			_, err := c.usePreset(c.entryNames[0], "peak")
			assert.NilError(t, err)
			c.awaitPreset(c.entryNames, "peak", changeLimit)
			c.checkFates(load, false)
			c.checkNoOverlap()
		})
	}
}

// TestRequestOutlivesItsConnection guards against a running request that its owner stops because the
// connection over which it came has been silent for longer than the idle timeout. The entry has repeated
// the call meanwhile, and gets the answer of the first one.
func TestRequestOutlivesItsConnection(t *testing.T) {
	t.Parallel()
	const (
		id      = "slow"
		runTime = 8 * time.Second // longer than the idle timeout of 6 s
	)
	c := startCell(t, oneDomain())
	key, _ := c.createTeam("kiln", 100)
	client := c.client(c.otherEntry("izmir-a", c.owner("izmir-a")), key)
	answer := make(chan caller.Answer, 1)
	go func() {
		a, err := client.Request(context.Background(), caller.Request{
			RequestID:      id,
			Service:        service,
			Command:        "shade",
			Payload:        "clay",
			RunMillis:      runTime.Milliseconds(),
			DeadlineMillis: 2 * runTime.Milliseconds(),
		})
		assert.Check(t, err)
		answer <- a
	}()
	eventually(t, defaultTimeout, "start of the request", func() error {
		if c.startCount(id) == 0 {
			return errors.New("not started")
		}
		return nil
	})
	for _, peerProxy := range c.peerProxies {
		peerProxy.SilenceSenders()
	}
	a := <-answer
	assert.Equal(t, a.Fate, caller.FateCompleted, a.Reason)
	assert.Equal(t, c.startCount(id), 1)
}
