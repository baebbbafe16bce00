package process

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronbay/citronbay/internal/api/caller"
	"github.com/citronbay/citronbay/internal/standin/upstream"
)

// forEachRunner calls apply for each runner.
func (c *cell) forEachRunner(apply func(*proxiedUpstream)) {
	for _, u := range c.upstreams {
		if u.vm.Service != "" {
			apply(u)
		}
	}
}

// startLoadOnAllEntries starts load through all entries and waits for 20
// completed requests.
func (c *cell) startLoadOnAllEntries(key string, callers int, runMillis, deadlineMillis int64, atMostOnce bool) *load {
	c.t.Helper()
	l := c.startLoad(key, "answer", c.entryNames, callers, caller.Request{
		Service:        service,
		Command:        "shade",
		Payload:        "terracotta",
		RunMillis:      runMillis,
		AtMostOnce:     atMostOnce,
		DeadlineMillis: deadlineMillis,
	})
	eventually(c.t, defaultTimeout, "answers before the fault", func() error { return checkCompletedAtLeast(l, 20) })
	return l
}

// TestAnswersMatchTheirRequests guards against a caller getting another
// request's answer or only part of its own. The load compares each answer with its
// request while answers are swapped, delayed, truncated or duplicated.
func TestAnswersMatchTheirRequests(t *testing.T) {
	for name, setFault := range map[string]func(c *cell, on bool){
		"answer of an earlier request from the runner": func(c *cell, on bool) {
			c.forEachRunner(func(u *proxiedUpstream) { u.state.SetFaults(upstream.Faults{SendPreviousResponse: on}) })
		},
		"delayed at the runner": func(c *cell, on bool) {
			faults := upstream.Faults{}
			if on {
				faults.ResponseDelayMillis = 2500
			}
			c.forEachRunner(func(u *proxiedUpstream) { u.state.SetFaults(faults) })
		},
		"truncated at the runner": func(c *cell, on bool) {
			c.forEachRunner(func(u *proxiedUpstream) { u.state.SetFaults(upstream.Faults{TruncateResponses: on}) })
		},
		"truncated between runner and owner": func(c *cell, on bool) {
			limitBytes := int64(0)
			if on {
				limitBytes = 150 // the header and a part of the body of a response
			}
			c.forEachRunner(func(u *proxiedUpstream) {
				u.proxy.SetResponseLimitBytes(limitBytes)
				u.proxy.CloseConnections()
			})
		},
		"delayed, reordered and duplicated between entries": func(c *cell, on bool) {
			for _, peerProxy := range c.peerProxies {
				peerProxy.SetDuplicate(on)
				peerProxy.SetDelay(0)
				if on {
					peerProxy.SetDelay(15 * time.Millisecond)
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
				key, _ := c.createTeam("kiln", 100)
				load := c.startLoadOnAllEntries(key, 6, 20, 8000, atMostOnce)
				setFault(c, true)
				time.Sleep(3 * time.Second)
				setFault(c, false)
				before := load.count(caller.FateCompleted)
				eventually(t, defaultTimeout, "answers after the fault", func() error { return checkCompletedAtLeast(load, before+20) })
				load.finish()
				assert.Equal(t, len(load.invalidIDs), 0, load.reasonSummary(load.invalidIDs))
				c.checkFates(load, atMostOnce)
				c.checkNoOverlap()
				c.checkNoOverfill()
			})
		}
	}
}

// TestNotRunFateIsTrueAfterConnectionLoss guards against the fate notRun for a
// request that ran. Under load, the connections of one hop close or go silent again
// and again, and the fates are compared with the runs that the runners recorded.
func TestNotRunFateIsTrueAfterConnectionLoss(t *testing.T) {
	for name, injectFault := range map[string]func(c *cell, n int){
		"between owner and runner": func(c *cell, _ int) {
			c.forEachRunner(func(u *proxiedUpstream) { u.proxy.CloseConnections() })
		},
		"between owner and runner, with new connections refused": func(c *cell, n int) {
			c.forEachRunner(func(u *proxiedUpstream) { u.proxy.SetDisconnected(n%2 == 0) })
		},
		"between entry and platform": func(c *cell, _ int) {
			for _, e := range c.entries {
				e.platformProxy.CloseConnections()
			}
		},
		"between entries": func(c *cell, _ int) {
			for _, peerProxy := range c.peerProxies {
				peerProxy.SilenceSenders()
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
				key, _ := c.createTeam("kiln", 100)
				load := c.startLoadOnAllEntries(key, 8, 30, 5000, atMostOnce)
				for n := range 12 {
					injectFault(c, n)
					time.Sleep(time.Duration(100+37*n) * time.Millisecond)
				}
				c.forEachRunner(func(u *proxiedUpstream) { u.proxy.SetDisconnected(false) })
				before := load.count(caller.FateCompleted)
				eventually(t, defaultTimeout, "answers after the fault", func() error { return checkCompletedAtLeast(load, before+20) })
				load.finish()
				t.Logf("completed %d, notRun %d, failed %d, unknown %d", len(load.fates[caller.FateCompleted]), len(load.fates[caller.FateNotRun]), len(load.fates[caller.FateFailed]), len(load.fates[caller.FateUnknown]))
				assert.Equal(t, len(load.invalidIDs), 0, load.reasonSummary(load.invalidIDs))
				c.checkFates(load, atMostOnce)
				c.checkNoOverlap()
				c.checkNoOverfill()
			})
		}
	}
}
