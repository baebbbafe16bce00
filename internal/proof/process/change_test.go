package process

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronbay/citronbay/internal/api/caller"
	"github.com/citronbay/citronbay/internal/api/operator"
	"github.com/citronbay/citronbay/internal/standin/platform"
)

func (c *cell) usePreset(entry, name string) (operator.ChangeResponse, error) {
	var response operator.ChangeResponse
	err := c.callOperator(entry, http.MethodPost, "/v1/operator/presets/use", operator.PresetRequest{Name: name}, &response)
	return response, err
}

// presetAt returns the preset in force at the entry.
func (c *cell) presetAt(entry string) (string, error) {
	var cell operator.Cell
	err := c.callOperator(entry, http.MethodGet, "/v1/operator/presets", nil, &cell)
	return cell.PresetInForce, err
}

// awaitPreset waits until the preset is in force at all the entries. It fails the
// test after the limit.
func (c *cell) awaitPreset(entries []string, name string, limit time.Duration) {
	c.t.Helper()
	start := time.Now()
	for _, entry := range entries {
		eventually(c.t, limit-time.Since(start), "preset at "+entry, func() error {
			found, err := c.presetAt(entry)
			if err == nil && found != name {
				return fmt.Errorf("preset %s", found)
			}
			return err
		})
	}
	c.t.Logf("preset %s in force at %d entries after %s", name, len(entries), time.Since(start).Round(time.Millisecond))
}

// TestPresetSwitchReachesEveryEntry guards against an entry that misses a switch of
// the preset, or goes back to the older one within the next 4 s, while the store
// fails in different ways.
func TestPresetSwitchReachesEveryEntry(t *testing.T) {
	for name, test := range map[string]struct {
		before func(c *cell)
		after  func(c *cell)
	}{
		"no failure": {},
		"watch events lost": {
			before: func(c *cell) { c.platform.SetFaults(platform.Faults{DropWatches: true}) },
		},
		"stale reads": {
			before: func(c *cell) { c.platform.SetFaults(platform.Faults{DropWatches: true}) },
			after:  func(c *cell) { c.platform.SetFaults(platform.Faults{StaleReads: true}) },
		},
		"one entry cut off from the store only": {
			before: func(c *cell) { c.entries[c.entryNames[3]].platformProxy.SetDisconnected(true) },
		},
		"open connections to the store go silent": {
			before: func(c *cell) {
				for _, e := range c.entries {
					e.platformProxy.SilenceConnections()
				}
			},
		},
		"entry restarts during a store outage": {
			after: func(c *cell) {
				c.platform.SetFaults(platform.Faults{Down: true})
				c.killEntry(c.entryNames[2])
				c.startEntry(c.entryNames[2])
				eventually(c.t, defaultTimeout, "restarted entry", func() error {
					_, err := c.presetAt(c.entryNames[2])
					return err
				})
			},
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := startCell(t, threeDomains())
			_, err := c.usePreset(c.entryNames[0], "ordinary")
			assert.NilError(t, err)
			if test.before != nil {
				test.before(c)
			}
			response, err := c.usePreset(c.entryNames[0], "peak")
			assert.NilError(t, err)
			assert.Assert(t, response.Durable)
			if test.after != nil {
				test.after(c)
			}
			c.awaitPreset(c.entryNames, "peak", changeLimit)
			until := time.Now().Add(4 * time.Second)
			for time.Now().Before(until) {
				for _, entry := range c.entryNames {
					found, err := c.presetAt(entry)
					assert.NilError(t, err)
					assert.Equal(t, found, "peak", "%s went back to an older preset", entry)
				}
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
}

// TestConcurrentOperatorsLoseNoAcceptedChange guards against an accepted change that
// is overwritten by a concurrent one and so has no audit record. Two operators switch
// presets through different entries, while the store's responses to writes get lost.
func TestConcurrentOperatorsLoseNoAcceptedChange(t *testing.T) {
	c := startCell(t, threeDomains())
	c.createTeam("kiln", 10)
	var operators sync.WaitGroup
	var mu sync.Mutex
	accepted := map[string]bool{}
	for i, entry := range []string{c.entryNames[0], c.entryNames[5]} {
		operators.Go(func() {
			for n := range 10 {
				response, err := c.usePreset(entry, []string{"ordinary", "peak", "maintenance"}[(i+n)%3])
				if err != nil {
					continue
				}
				mu.Lock()
				accepted[response.Change] = true
				mu.Unlock()
			}
		})
	}
	for n := range 10 {
		c.platform.SetFaults(platform.Faults{LoseWriteResponses: n%2 == 0})
		time.Sleep(100 * time.Millisecond)
	}
	c.platform.SetFaults(platform.Faults{})
	operators.Wait()
	assert.Assert(t, len(accepted) > 10, "%d changes were accepted", len(accepted))
	var last string
	eventually(t, changeLimit, "the same preset at all entries", func() error {
		presets := map[string]bool{}
		for _, entry := range c.entryNames {
			found, err := c.presetAt(entry)
			if err != nil {
				return err
			}
			presets[found] = true
			last = found
		}
		if len(presets) != 1 {
			return fmt.Errorf("presets %v", presets)
		}
		return nil
	})
	var audit []operator.AuditEntry
	assert.NilError(t, c.callOperator(c.entryNames[1], http.MethodGet, "/v1/operator/audit", nil, &audit))
	inForce := ""
	for _, a := range audit {
		if a.Record.Action != "usePreset" {
			continue
		}
		delete(accepted, a.Record.Change)
		assert.Assert(t, inForce == "" || a.Record.From == inForce, "audit record replaces preset %s, in force was %s", a.Record.From, inForce)
		inForce = a.Record.To
	}
	assert.Equal(t, inForce, last)
	assert.Equal(t, len(accepted), 0, "accepted changes without an audit record: %v", accepted)
}

// startsSince returns how many tasks started on the upstream since the time.
func (c *cell) startsSince(u *proxiedUpstream, since time.Time) int {
	n := 0
	for _, span := range u.state.Observe().Spans {
		if span.Begin >= since.UnixMilli() {
			n++
		}
	}
	return n
}

// leaveLimit is the specified time after which a leaving upstream gets no new
// work.
const leaveLimit = 3 * time.Second

// TestLeavingUpstreamGetsNoNewWork guards against a task that starts on a leaving
// worker or runner after leaveLimit, and against work on it that is lost.
func TestLeavingUpstreamGetsNoNewWork(t *testing.T) {
	for name, retire := range map[string]func(c *cell, u *proxiedUpstream) error{
		"listed as leaving": func(c *cell, u *proxiedUpstream) error {
			u.vm.State = "leaving"
			c.platform.SetVM(u.vm)
			return nil
		},
		"removed from the VM list": func(c *cell, u *proxiedUpstream) error {
			u.vm.State = ""
			c.platform.SetVM(u.vm)
			return nil
		},
		"drained by an operator while the VM list is frozen": func(c *cell, u *proxiedUpstream) error {
			c.platform.SetFaults(platform.Faults{FreezeDirectory: true})
			var response operator.ChangeResponse
			err := c.callOperator(c.entryNames[0], http.MethodPost, "/v1/operator/drains", operator.DrainRequest{Upstream: u.vm.Name}, &response)
			if err == nil && !response.Durable {
				return errors.New("the drain is not durable")
			}
			return err
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := startCell(t, oneDomain())
			key, _ := c.createTeam("kiln", 100)
			load := c.startLoadInEachDomain(key, 12, 30*time.Millisecond)
			client := c.client(c.entryNames[0], key)
			job := c.submitBatch(client, 400, 50*time.Millisecond)
			runner, worker := c.upstreams["izmir-a-runner-0"], c.upstreams["izmir-a-worker-0"]
			eventually(t, defaultTimeout, "tasks on runner and worker", func() error {
				if c.startsSince(runner, time.Time{}) == 0 || c.startsSince(worker, time.Time{}) == 0 {
					return errors.New("no task on one of them yet")
				}
				return nil
			})
			assert.NilError(t, retire(c, runner))
			assert.NilError(t, retire(c, worker))
			cutoff := time.Now().Add(leaveLimit)
			time.Sleep(leaveLimit + 2*time.Second)
			assert.Equal(t, c.startsSince(runner, cutoff), 0)
			assert.Equal(t, c.startsSince(worker, cutoff), 0)
			load.finish()
			ended := awaitJob(t, client, job, defaultTimeout)
			assert.Equal(t, ended.Fate, caller.FateCompleted, ended.Reason)
			assert.Equal(t, len(load.invalidIDs), 0, load.reasonSummary(load.invalidIDs))
			assert.Equal(t, len(load.fates[caller.FateUnknown]), 0)
			c.checkNoOverlap()
		})
	}
}
